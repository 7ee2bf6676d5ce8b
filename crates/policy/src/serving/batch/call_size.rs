//! How many of the waiting pieces a call takes, and when it starts.
//!
//! All results of a call are there at its end, so each piece lengthens the call for all others in
//! it. Pieces that a target leaves are computed by the next one that becomes idle, which may be
//! milliseconds later. A target that takes all that wait makes one long call, and the next one a
//! short one; most pieces are then in the long calls.

use crate::serving::batch::BatchQueue;
use crate::serving::batch::state::StageTarget;
use arbutus_coord::Millis;

/// Returns the number of pieces for a call that starts now, at least 1, such that the sum of the
/// times until the results of all waiting pieces are there is the least.
///
/// `other_starts_ms` are the times until the other targets can start a call.
#[must_use]
pub fn pieces_for_call(waiting: usize, ms_per_piece: f64, other_starts_ms: &[f64]) -> usize {
    if ms_per_piece <= 0.0 {
        return waiting.max(1);
    }
    // With n pieces that start after s, one more piece adds s + 2 * n * ms_per_piece to the sum (and
    // the fixed part of a call, which is the same everywhere). This is the same at all targets that
    // get pieces, and no more than s at the others.
    let mut starts_ms: Vec<f64> = other_starts_ms.to_vec();
    starts_ms.sort_by(f64::total_cmp);
    let doubled_ms = 2.0 * ms_per_piece;
    let mut marginal_ms = doubled_ms * waiting as f64;
    let mut total_starts_ms = 0.0;
    for (index, start_ms) in starts_ms.into_iter().enumerate() {
        if marginal_ms <= start_ms {
            break;
        }
        total_starts_ms += start_ms;
        marginal_ms = (doubled_ms * waiting as f64 + total_starts_ms) / (index + 2) as f64;
    }
    ((marginal_ms / doubled_ms).ceil() as usize).clamp(1, waiting.max(1))
}

impl BatchQueue {
    /// Returns when the next call to a target of a failure domain may start.
    ///
    /// Calls of the targets are kept apart, so that a piece that arrives finds one that ends soon.
    /// If all started within a few milliseconds, each with the few pieces that wait then, all pieces
    /// that arrive during these calls would wait for their end. The fewer targets are idle, the
    /// further apart calls start.
    pub(super) fn earliest_start(&self, failure_domain: &str) -> Millis {
        let targets = self.targets.values();
        let local = targets.filter(|target| target.failure_domain == failure_domain);
        let (mut total, mut busy, mut expected_ms) = (0.0_f64, 0.0_f64, 0.0);
        for target in local {
            total += 1.0;
            if let Some(call) = &target.call {
                busy += 1.0;
                expected_ms += call.expected_ms;
            }
        }
        let last_start_at = self.last_start_at.get(failure_domain);
        let (Some(&last_start_at), true) = (last_start_at, total > 1.0 && busy > 0.0) else {
            return Millis::ZERO;
        };
        let mean_call_ms = expected_ms / busy;
        let interval_ms = mean_call_ms / total * busy / (total - 1.0);
        last_start_at + Millis(interval_ms as u64)
    }

    /// Returns the times until the other targets of the same domain can start a call.
    pub(super) fn other_starts_ms(&self, now: Millis, id: &str) -> Vec<f64> {
        let local = &self.targets[id].failure_domain;
        let others = self
            .targets
            .iter()
            .filter(|(other_id, other)| other_id.as_str() != id && other.failure_domain == *local);
        let others: Vec<&StageTarget> = others.map(|(_, other)| other).collect();
        // Even an idle target is worth something to the pieces that arrive during the fixed part of
        // a call: with this many targets, they find the next one idle after this time.
        let reserve_ms = self.spec.call_overhead_ms / (others.len() + 1) as f64;
        others
            .into_iter()
            .map(|other| {
                let call_end_ms = other.call.as_ref().map_or(0.0, |call| {
                    call.started_at.0 as f64 + call.expected_ms - now.0 as f64
                });
                let pause_ms = (other.paused_until - now).0 as f64;
                call_end_ms.max(pause_ms).max(reserve_ms)
            })
            .collect()
    }
}
