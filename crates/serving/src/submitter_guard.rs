//! The end of a submitter of pieces.

use std::rc::Rc;

use crate::stage_queues::StageQueues;

/// Removes a submitter when dropped.
#[derive(Debug)]
pub struct SubmitterGuard {
    /// The queues of the submitter.
    pub queues: Rc<StageQueues>,
    /// Number of the submitter.
    pub submitter: u64,
}

impl Drop for SubmitterGuard {
    fn drop(&mut self) {
        self.queues.remove_submitter(self.submitter);
    }
}
