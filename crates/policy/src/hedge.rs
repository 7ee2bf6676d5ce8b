//! Hedged requests: a second attempt of an idempotent lookup that takes unusually long.
//!
//! The second attempt starts after the measured 95th percentile, so about 5 % of calls would be
//! hedged while the service is healthy. When the whole service becomes slow, more calls pass that
//! delay; the bounded share of calls then keeps hedges from adding to the overload.

use crate::latency::RecentLatency;
use arbutus_coord::Millis;

const HEDGE_COST: u64 = 100;

/// Settings of hedged requests.
#[derive(Clone, Copy, Debug)]
pub struct HedgeSettings {
    /// The largest share of calls that are hedged.
    pub max_percent: u32,
    /// The largest number of hedges that can be saved up.
    pub bucket_capacity: u32,
    /// The quantile of the latency after which a call is hedged.
    pub quantile: f64,
    /// The measurements without which no call is hedged.
    pub min_samples: u64,
    /// The shortest delay, so that very fast services are not hedged for noise.
    pub min_delay_ms: Millis,
    /// The span after which measurements begin to be forgotten.
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

/// The hedging of the calls of one service.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    latency: RecentLatency,
    saved: u64,
}

impl HedgePolicy {
    /// Creates a policy without measurements.
    #[must_use]
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            latency: RecentLatency::new(settings.window_ms),
            saved: 0,
        }
    }

    /// Counts a call and returns after which delay it may be hedged.
    ///
    /// It returns nothing while there are too few measurements.
    pub fn start_call(&mut self) -> Option<Millis> {
        let max = u64::from(self.settings.bucket_capacity) * HEDGE_COST;
        self.saved = (self.saved + u64::from(self.settings.max_percent)).min(max);
        if self.latency.count() < self.settings.min_samples {
            return None;
        }
        let delay = self.latency.quantile(self.settings.quantile)?;
        Some(delay.max(self.settings.min_delay_ms))
    }

    /// Returns whether a call whose delay has passed is hedged, and takes it from the share.
    pub fn try_hedge(&mut self) -> bool {
        let allowed = self.saved >= HEDGE_COST;
        if allowed {
            self.saved -= HEDGE_COST;
        }
        allowed
    }

    /// Records the latency of an attempt that was answered.
    pub fn record_latency(&mut self, now: Millis, latency_ms: Millis) {
        self.latency.record(now, latency_ms);
    }
}
