//! Result space at the targets of a stage service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::serving::batch::BatchQueue;
use crate::serving::batch::SubmissionId;
use crate::serving::batch::state::StageTarget;
use arbutus_coord::Millis;

/// Number of pieces and total result size of a stage of a request.
#[derive(Clone, Copy, Debug, Default)]
struct StageSize {
    pieces: usize,
    bytes: u64,
}

/// The started stages, of which at least one piece was sent, and the result space that they leave
/// free.
#[derive(Debug)]
pub(super) struct StartedStages {
    /// Total result space of all targets that no started stage needs.
    free_bytes: u64,
    started: BTreeSet<SubmissionId>,
    /// Stages that are not started.
    waiting: BTreeMap<SubmissionId, StageSize>,
    /// Maximum number of pieces in one call.
    max_pieces_per_call: usize,
}

impl StartedStages {
    /// Starts a stage if its pieces and results fit, and returns whether it is started.
    ///
    /// `remaining_pieces` is the number of pieces that the call can still take, and
    /// `available_bytes` is the result space that is left at its target. The call has to take all
    /// pieces of the stage, and all their results have to fit into the space at the target and into
    /// the space that no started stage needs. A stage with too many pieces for any call starts in
    /// an empty call, and a stage that is too large for the space starts if no other stage is
    /// started.
    pub(super) fn try_start(
        &mut self,
        submission: SubmissionId,
        remaining_pieces: usize,
        available_bytes: u64,
    ) -> bool {
        if self.started.contains(&submission) {
            return true;
        }
        let size = self.waiting.get(&submission).copied().unwrap_or_default();
        let fits_call =
            size.pieces <= remaining_pieces || remaining_pieces == self.max_pieces_per_call;
        let fits_space =
            size.bytes <= available_bytes.min(self.free_bytes) || self.started.is_empty();
        if !fits_call || !fits_space {
            return false;
        }
        self.free_bytes = self.free_bytes.saturating_sub(size.bytes);
        self.started.insert(submission);
        true
    }
}

impl BatchQueue {
    /// Returns the stages that are started and the result space that they leave free.
    pub(super) fn started_stages(&self, now: Millis) -> StartedStages {
        let targets = self.targets.values();
        let mut stages = StartedStages {
            free_bytes: targets
                .map(|target| self.available_space(now, target))
                .sum(),
            started: BTreeSet::new(),
            waiting: BTreeMap::new(),
            max_pieces_per_call: self.spec.max_pieces_per_call,
        };
        for piece in self.pieces.values() {
            if piece.is_started {
                stages.free_bytes = stages.free_bytes.saturating_sub(piece.result_bytes);
                stages.started.insert(piece.submission);
            } else {
                let size = stages.waiting.entry(piece.submission).or_default();
                size.pieces += 1;
                size.bytes += piece.result_bytes;
            }
        }
        stages
    }

    /// Returns the space for further results at a target, which must not have a running call.
    pub(super) fn available_space(&self, now: Millis, target: &StageTarget) -> u64 {
        let used: u64 = target
            .results
            .values()
            .filter(|&&(_, until)| until > now)
            .map(|&(bytes, _)| bytes)
            .sum();
        let usable = (self.spec.result_space_bytes as f64 * target.space_share) as u64;
        usable.saturating_sub(used)
    }
}
