//! The retry budget of a service, divided among the instances.
//!
//! In each time window, all instances together may send a service as many retries as a ratio of
//! the requests for it plus a fixed number. The budget of each instance is the ratio of its own
//! requests plus an equal share of the fixed number, so the total is bounded without communication.

use std::collections::VecDeque;

use arbutus_coord::Millis;

/// Share of the allowed retries that an instance may spend; the rest is a margin for instances that
/// are not in the list of instances yet.
const USED_SHARE: f64 = 0.8;

/// Limits on the retries of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    pub extra_retries: f64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

/// The share of one instance in the retry budget of one service.
#[derive(Debug, Default)]
pub struct WindowedRetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl WindowedRetryBudget {
    /// Records a request for the service.
    pub fn record_request(&mut self, now: Millis, limits: &RetryLimits) {
        remove_expired(&mut self.requests, now, limits.window_ms);
        self.requests.push_back(now);
    }

    /// Spends one retry of the budget, and returns false if none is left.
    pub fn try_retry(&mut self, now: Millis, limits: &RetryLimits, instances: usize) -> bool {
        if !self.allows_retry(now, limits, instances) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns whether the budget allows another retry; `instances` is the number of known
    /// instances.
    pub fn allows_retry(&mut self, now: Millis, limits: &RetryLimits, instances: usize) -> bool {
        remove_expired(&mut self.requests, now, limits.window_ms);
        remove_expired(&mut self.retries, now, limits.window_ms);
        let local_extra_retries = limits.extra_retries / instances.max(1) as f64;
        let allowed =
            (self.requests.len() as f64 * limits.ratio + local_extra_retries) * USED_SHARE;
        ((self.retries.len() + 1) as f64) <= allowed
    }
}

fn remove_expired(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|&time| time + window_ms < now) {
        times.pop_front();
    }
}
