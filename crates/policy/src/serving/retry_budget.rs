//! The budget of repeated sends, divided among the instances.
//!
//! A service may get repeats up to a ratio of the requests for it plus a fixed number in each
//! window, summed over all instances. Each instance spends the ratio of its own requests and an
//! equal part of the fixed number, so the sum holds without any exchange.

use std::collections::VecDeque;

use arbutus_coord::Millis;

/// The part of the allowed repeats that is used; the rest covers instances that are not known yet.
const USED_SHARE: f64 = 0.8;

/// The limits on repeated sends of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// The repeats for each request.
    pub ratio: f64,
    /// The repeats in a window beyond the ratio.
    pub extra_retries: f64,
    /// The length of a window.
    pub window_ms: Millis,
}

/// The repeats of one service at one instance.
#[derive(Debug, Default)]
pub struct WindowedRetryBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl WindowedRetryBudget {
    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Millis, limits: &RetryLimits) {
        forget(&mut self.requests, now, limits.window_ms);
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget, and returns whether there was one.
    pub fn try_retry(&mut self, now: Millis, limits: &RetryLimits, instances: usize) -> bool {
        if !self.has_retry(now, limits, instances) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Returns whether a repeat is left.
    pub fn has_retry(&mut self, now: Millis, limits: &RetryLimits, instances: usize) -> bool {
        forget(&mut self.requests, now, limits.window_ms);
        forget(&mut self.repeats, now, limits.window_ms);
        let own_slack = limits.extra_retries / instances.max(1) as f64;
        let allowed = (self.requests.len() as f64 * limits.ratio + own_slack) * USED_SHARE;
        ((self.repeats.len() + 1) as f64) <= allowed
    }
}

fn forget(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|&time| time + window_ms < now) {
        times.pop_front();
    }
}
