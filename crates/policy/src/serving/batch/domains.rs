//! Which pieces may go to targets outside their own failure domain.

use crate::serving::batch::BatchQueue;
use crate::serving::batch::PieceSource;
use crate::serving::batch::state::QueuedPiece;
use arbutus_coord::Millis;

/// How long a piece waits for a target in its own failure domain before it may go to another one.
pub(super) const LOCAL_DOMAIN_WAIT_MS: Millis = Millis(120);
/// Pieces without inputs and with smaller results do not wait for a target in their own failure
/// domain.
const LARGE_RESULT_BYTES: u64 = 256 * 1_024;

impl BatchQueue {
    /// Returns whether a piece may go to a target outside its own failure domain. With
    /// `is_extra`, the piece would extend a call that the target gets anyway.
    pub(super) fn may_use_other_domain(
        &self,
        now: Millis,
        piece: &QueuedPiece,
        is_extra: bool,
    ) -> bool {
        if piece.result_bytes < LARGE_RESULT_BYTES && matches!(piece.source, PieceSource::Key(_)) {
            return true;
        }
        if piece.queued_at + LOCAL_DOMAIN_WAIT_MS <= now {
            return !is_extra || self.is_urgent(now, piece);
        }
        !self.targets.values().any(|target| {
            target.failure_domain == piece.failure_domain && target.paused_until <= now
        })
    }

    /// Returns whether a piece that is not late becomes late if it waits for another call.
    fn is_urgent(&self, now: Millis, piece: &QueuedPiece) -> bool {
        let pieces = self.spec.max_pieces_per_call as f64;
        let call_ms = self.spec.call_overhead_ms + self.spec.ms_per_piece * pieces;
        piece.due >= now && piece.due < now + Millis(call_ms as u64).times(2)
    }
}
