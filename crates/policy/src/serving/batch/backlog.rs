//! Estimates of when the pieces of a queue are computed.

use crate::serving::batch::BatchQueue;
use crate::serving::batch::FULL_PAUSE_MS;
use crate::serving::batch::MAX_PAUSE_MS;
use arbutus_coord::Millis;

impl BatchQueue {
    /// Returns the first end of the pauses that the targets have asked for; `None` if there are no
    /// targets.
    pub(super) fn backoff_end(&self) -> Option<Millis> {
        let ends = self.targets.values().map(|target| target.backoff_until);
        ends.min()
    }

    /// Returns how long the targets need to compute the waiting pieces whose due time has not
    /// passed, or how long all of them take no calls.
    #[must_use]
    pub fn backlog_ms(&self, now: Millis) -> Millis {
        let waiting = self
            .pieces
            .values()
            .filter(|piece| !piece.in_call && piece.due >= now)
            .count();
        let usable = self
            .targets
            .values()
            .filter(|target| target.paused_until <= now + FULL_PAUSE_MS);
        // Calls contain fewer pieces than their maximum while result space is short.
        let pieces_per_call = self.spec.max_pieces_per_call as f64 * self.mean_fill;
        let call_ms = self.spec.call_overhead_ms + self.spec.ms_per_piece * pieces_per_call;
        let pieces_per_ms: f64 = usable
            .map(|target| pieces_per_call / (call_ms * target.slowness))
            .sum();
        let backoff_ms = self.backoff_end().unwrap_or(now) - now;
        if waiting == 0 || backoff_ms > Millis::ZERO {
            return backoff_ms;
        }
        if pieces_per_ms <= 0.0 {
            return Millis(MAX_PAUSE_MS);
        }
        Millis((waiting as f64 / pieces_per_ms) as u64)
    }
}
