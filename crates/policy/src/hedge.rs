//! Hedged requests: a second attempt for an idempotent call that takes unusually long.
//!
//! The second attempt starts after a quantile of the measured latency. With the default, the 95th
//! percentile, about 5 % of the calls are hedged while the service is healthy. When the whole
//! service becomes slow, more calls take longer than this delay. A token bucket then bounds the
//! share of hedged calls, so that hedges do not add to the overload.

use crate::latency::RecentLatency;
use arbutus_coord::Millis;

/// The cost of one hedge, in units of the token bucket. Each call adds `max_percent` units.
const HEDGE_COST: u64 = 100;

/// Settings of hedged requests.
#[derive(Clone, Copy, Debug)]
pub struct HedgeSettings {
    /// The maximum share of calls that are hedged, in percent.
    pub max_percent: u32,
    /// The capacity of the token bucket, in hedges.
    pub bucket_capacity: u32,
    /// The quantile of the recent latencies after which a call is hedged, from 0 to 1.
    pub quantile: f64,
    /// The number of recent latencies below which no call is hedged.
    pub min_samples: u64,
    /// The shortest delay, so that noise does not cause hedges of a very fast service.
    pub min_delay_ms: Millis,
    /// The time window of [`RecentLatency`]; a latency is dropped about one to two windows
    /// after it was recorded.
    pub window_ms: Millis,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            max_percent: 10,
            bucket_capacity: 10,
            quantile: 0.95,
            min_samples: 20,
            min_delay_ms: Millis(5),
            window_ms: Millis(30_000),
        }
    }
}

/// Decides which calls to one service are hedged, and after which delay.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    latency: RecentLatency,
    bucket_level: u64,
}

impl HedgePolicy {
    /// Creates a policy without latencies and with an empty token bucket.
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            latency: RecentLatency::new(settings.window_ms),
            bucket_level: 0,
        }
    }

    /// Counts a call and returns the delay after which it may be hedged.
    ///
    /// Returns `None` while there are too few latencies.
    pub fn start_call(&mut self) -> Option<Millis> {
        let capacity = u64::from(self.settings.bucket_capacity) * HEDGE_COST;
        self.bucket_level =
            (self.bucket_level + u64::from(self.settings.max_percent)).min(capacity);
        if self.latency.count() < self.settings.min_samples {
            return None;
        }
        let delay = self.latency.quantile(self.settings.quantile)?;
        Some(delay.max(self.settings.min_delay_ms))
    }

    /// Returns whether a call whose delay has passed may be hedged, and takes the cost of the hedge
    /// from the token bucket.
    pub fn try_hedge(&mut self) -> bool {
        let allowed = self.bucket_level >= HEDGE_COST;
        if allowed {
            self.bucket_level -= HEDGE_COST;
        }
        allowed
    }

    /// Records the latency of an attempt that got a response.
    pub fn record_latency(&mut self, now: Millis, latency_ms: Millis) {
        self.latency.record(now, latency_ms);
    }
}
