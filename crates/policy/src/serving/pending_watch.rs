//! When a pending watch of the store has to be checked.
//!
//! A store can lose the response of a watch and leave the connection open, which looks like a watch
//! that waits for a change. Therefore the revision of the store is read on another connection. A
//! watch that does not reach this revision has lost its response, or the changes up to it are not
//! of its kind; a call that returns at once tells which.

use arbutus_coord::Millis;

/// How long the response of a watch may take after the store was read at a later revision. A slow
/// store takes up to 300 ms.
const RESPONSE_GRACE_MS: Millis = Millis(300);

/// A watch that waits for changes after a revision.
#[derive(Clone, Copy, Debug)]
pub struct PendingWatch {
    revision: u64,
    /// When the store was first known to be at a later revision.
    behind_since: Option<Millis>,
}

impl PendingWatch {
    /// Creates a watch for changes after `revision`.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self {
            revision,
            behind_since: None,
        }
    }

    /// Returns the revision up to which all changes of the kind are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that the store was at `revision`, read up to date.
    pub fn record_store_revision(&mut self, now: Millis, revision: u64) {
        if revision > self.revision {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns when the watch has to be checked; `None` if it has reached the known revision of the
    /// store.
    #[must_use]
    pub fn check_due_at(&self) -> Option<Millis> {
        self.behind_since.map(|since| since + RESPONSE_GRACE_MS)
    }

    /// Records a check that found no change of the kind up to `revision`.
    pub fn record_unchanged(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.behind_since = None;
    }
}
