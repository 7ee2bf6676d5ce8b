//! The pieces of a queue and the targets that compute them.

use std::collections::BTreeMap;

use crate::serving::batch::types::PieceSource;
use crate::serving::batch::types::SubmissionId;
use arbutus_coord::Millis;

#[derive(Debug)]
pub(super) struct QueuedPiece {
    pub(super) submission: SubmissionId,
    pub(super) request: String,
    pub(super) stage: u32,
    pub(super) piece: u32,
    pub(super) source: PieceSource,
    pub(super) failure_domain: String,
    pub(super) queued_at: Millis,
    pub(super) due: Millis,
    pub(super) deadline: Millis,
    pub(super) priority: u32,
    pub(super) result_bytes: u64,
    /// Number of calls that contained the piece. Calls that did not compute it because the target
    /// was full or out of result space do not count.
    pub(super) attempts: u32,
    pub(super) in_call: bool,
    /// Whether any piece of the same submission was sent.
    pub(super) is_started: bool,
    /// Whether the submitter was told that the inputs were read; it may have released them since.
    pub(super) inputs_read: bool,
}

#[derive(Debug)]
pub(super) struct StageTarget {
    pub(super) failure_domain: String,
    pub(super) call: Option<RunningCall>,
    pub(super) paused_until: Millis,
    /// End of the pause that the target has asked for.
    pub(super) backoff_until: Millis,
    /// Number of broken calls since the last response.
    pub(super) consecutive_failures: u32,
    /// Moving average of the ratio of the actual to the nominal duration of calls.
    pub(super) slowness: f64,
    /// Sizes and expiry times of the results that the target stores, by handle.
    pub(super) results: BTreeMap<String, (u64, Millis)>,
    /// Share of the result space that calls may use. It is less than 1 because sizes are approximate
    /// and other owners may use the target too.
    pub(super) space_share: f64,
}

#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) piece_keys: Vec<u64>,
    pub(super) started_at: Millis,
    /// Nominal duration times the slowness of the target.
    pub(super) expected_ms: f64,
    /// Duration that follows from the configuration of the service and the number of pieces.
    pub(super) nominal_ms: f64,
}

impl StageTarget {
    /// Returns whether the target can get a call.
    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.call.is_none() && self.paused_until <= now
    }
}
