//! A circuit breaker for each target of a service, with outlier detection.
//!
//! A breaker opens after consecutive failures, or when the error rate or the latency of the target
//! makes it an outlier among the targets of its service. Outlier detection opens only a bounded
//! share of the breakers, because it compares the targets with each other and some target is always
//! the slowest. Consecutive failures always open the breaker.
//!
//! A breaker stays open for a delay that doubles each time. It then allows one probe call at a
//! time, whose outcome decides whether it closes.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;

/// The weight of the newest sample in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The maximum number of times that the duration for which a breaker stays open doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Settings of the circuit breakers.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreakerSettings {
    /// The number of consecutive failures that opens a breaker.
    pub consecutive_failures: u32,
    /// A breaker opens if the error rate of its target is above the median of the other targets by
    /// more than this many percentage points.
    pub error_excess_percent: u32,
    /// A breaker opens if the latency of its target is above this multiple of the median of the
    /// other targets.
    pub latency_factor: f64,
    /// The number of samples below which a target is never an outlier and does not count for the
    /// medians.
    pub min_samples: u32,
    /// The percentage of breakers that outlier detection may open. It opens no more while that many
    /// breakers are open or half open, for whatever reason.
    pub max_outlier_percent: u32,
    /// How long a breaker stays open the first time; the duration doubles each time it opens.
    pub open_ms: Millis,
    /// How long a probe may take. If its outcome is not recorded by then, another probe is allowed.
    pub probe_timeout_ms: Millis,
}

impl Default for CircuitBreakerSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            error_excess_percent: 30,
            latency_factor: 4.0,
            min_samples: 20,
            max_outlier_percent: 34,
            open_ms: Millis(1_000),
            probe_timeout_ms: Millis(5_000),
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target responded.
    Success {
        /// The time from the call to the response, or to the first token of a stream.
        latency_ms: Millis,
    },
    /// The target could not be reached, returned an error or stalled.
    Failure,
}

/// Whether a call to a target is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The breaker is closed.
    Allowed,
    /// The call is allowed as the probe that decides whether the breaker closes.
    Probe,
    /// The breaker is open, or a probe is in progress.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakerState {
    Closed,
    Open { until: Millis },
    HalfOpen { since: Millis },
}

#[derive(Clone, Debug)]
struct CircuitBreaker {
    state: BreakerState,
    /// How often the breaker has opened, reduced by one after each `min_samples` calls while it is
    /// closed.
    openings: u32,
    /// The number of consecutive failures since the last successful call.
    failure_streak: u32,
    samples: u32,
    /// The moving average of the share of calls that failed.
    error_rate: f64,
    /// The moving average of the latency; 0 before the first successful call.
    latency_ms: f64,
}

impl CircuitBreaker {
    fn new() -> Self {
        Self {
            state: BreakerState::Closed,
            openings: 0,
            failure_streak: 0,
            samples: 0,
            error_rate: 0.0,
            latency_ms: 0.0,
        }
    }

    fn add_sample(&mut self, outcome: CallOutcome) {
        self.samples = self.samples.saturating_add(1);
        let error = f64::from(u8::from(outcome == CallOutcome::Failure));
        self.error_rate += EWMA_WEIGHT * (error - self.error_rate);
        match outcome {
            CallOutcome::Failure => self.failure_streak = self.failure_streak.saturating_add(1),
            CallOutcome::Success { latency_ms } => {
                self.failure_streak = 0;
                let latency_ms = latency_ms.0 as f64;
                if self.latency_ms == 0.0 {
                    self.latency_ms = latency_ms;
                }
                self.latency_ms += EWMA_WEIGHT * (latency_ms - self.latency_ms);
            }
        }
    }

    /// Discards the samples, so that only the probe and later calls determine the averages.
    fn clear_samples(&mut self) {
        self.failure_streak = 0;
        self.samples = 0;
        self.error_rate = 0.0;
        self.latency_ms = 0.0;
    }
}

/// The circuit breakers of the targets of one service.
#[derive(Clone, Debug)]
pub struct CircuitBreakers {
    settings: CircuitBreakerSettings,
    breakers: BTreeMap<Target, CircuitBreaker>,
}

impl CircuitBreakers {
    /// Creates a collection without breakers. A target without a breaker counts as closed, and its
    /// breaker is created with the first outcome.
    #[must_use]
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        Self {
            settings,
            breakers: BTreeMap::new(),
        }
    }

    /// Returns whether a call to a target would be allowed, without changing the breaker.
    #[must_use]
    pub fn call_permit(&self, now: Millis, target: Target) -> Permit {
        let Some(breaker) = self.breakers.get(&target) else {
            return Permit::Allowed;
        };
        match breaker.state {
            BreakerState::Closed => Permit::Allowed,
            BreakerState::Open { until } if now >= until => Permit::Probe,
            BreakerState::HalfOpen { since } if now >= since + self.settings.probe_timeout_ms => {
                Permit::Probe
            }
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => Permit::Refused,
        }
    }

    /// Returns whether a call to a target is allowed. If the call is the probe, the breaker becomes
    /// half open: no other probe is allowed until the outcome is recorded or the probe timeout has
    /// passed.
    pub fn start_call(&mut self, now: Millis, target: Target) -> Permit {
        let permit = self.call_permit(now, target);
        if permit == Permit::Probe
            && let Some(breaker) = self.breakers.get_mut(&target)
        {
            breaker.state = BreakerState::HalfOpen { since: now };
        }
        permit
    }

    /// Records how a call ended.
    ///
    /// Returns whether a closed breaker opened, or a half-open one closed. It returns false if a
    /// failed probe opens the breaker again.
    pub fn record_outcome(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        let breaker = self
            .breakers
            .entry(target)
            .or_insert_with(CircuitBreaker::new);
        let previous = breaker.state;
        if let BreakerState::HalfOpen { .. } = previous {
            breaker.clear_samples();
            breaker.state = BreakerState::Closed;
        }
        breaker.add_sample(outcome);
        if previous == BreakerState::Closed {
            if self.has_reached_failure_threshold(target) || self.is_outlier(target) {
                self.open(now, target);
                return true;
            }
            self.reduce_openings(target);
            return false;
        }
        // The call started before the breaker opened, so it is not the probe that may close it.
        if let BreakerState::Open { .. } = previous {
            return false;
        }
        if outcome == CallOutcome::Failure {
            self.open(now, target);
        }
        outcome != CallOutcome::Failure
    }

    /// Returns the moving average of a target's latency, or `None` without a successful call.
    #[must_use]
    pub fn mean_latency(&self, target: Target) -> Option<Millis> {
        let breaker = self.breakers.get(&target)?;
        (breaker.latency_ms > 0.0).then(|| Millis(breaker.latency_ms.round() as u64))
    }

    /// Returns the number of breakers that are open or half open.
    #[must_use]
    pub fn open_breaker_count(&self) -> usize {
        let not_closed = |breaker: &&CircuitBreaker| breaker.state != BreakerState::Closed;
        self.breakers.values().filter(not_closed).count()
    }

    /// Removes the breaker of a target that was removed from the service or has restarted.
    pub fn remove(&mut self, target: Target) {
        self.breakers.remove(&target);
    }

    fn open(&mut self, now: Millis, target: Target) {
        let Some(breaker) = self.breakers.get_mut(&target) else {
            return;
        };
        let doublings = breaker.openings.min(MAX_DOUBLINGS);
        breaker.openings = breaker.openings.saturating_add(1);
        let until = now + self.settings.open_ms.times(1 << doublings);
        breaker.state = BreakerState::Open { until };
    }

    /// Reduces `openings` by one after each `min_samples` calls, which are enough to judge a
    /// target. The breaker then stays open for a shorter time when it opens next.
    fn reduce_openings(&mut self, target: Target) {
        let min_samples = self.settings.min_samples.max(1);
        if let Some(breaker) = self.breakers.get_mut(&target)
            && breaker.samples % min_samples == 0
        {
            breaker.openings = breaker.openings.saturating_sub(1);
        }
    }

    fn has_reached_failure_threshold(&self, target: Target) -> bool {
        let threshold = self.settings.consecutive_failures;
        self.breakers
            .get(&target)
            .is_some_and(|breaker| breaker.failure_streak >= threshold)
    }

    fn is_outlier(&self, target: Target) -> bool {
        let settings = &self.settings;
        let Some(breaker) = self.breakers.get(&target) else {
            return false;
        };
        let max_open = self.breakers.len() * settings.max_outlier_percent as usize / 100;
        if breaker.samples < settings.min_samples || self.open_breaker_count() >= max_open {
            return false;
        }
        let error_excess = f64::from(settings.error_excess_percent) / 100.0;
        let has_errors = self
            .median_of_others(target, |other| other.error_rate)
            .is_some_and(|median| breaker.error_rate > median + error_excess);
        let is_slow = self
            .median_of_others(target, |other| other.latency_ms)
            .is_some_and(|median| {
                median > 0.0 && breaker.latency_ms > median * settings.latency_factor
            });
        has_errors || is_slow
    }

    fn median_of_others(
        &self,
        target: Target,
        value: impl Fn(&CircuitBreaker) -> f64,
    ) -> Option<f64> {
        let mut values: Vec<f64> = self
            .breakers
            .iter()
            .filter(|&(&other, breaker)| {
                other != target && breaker.samples >= self.settings.min_samples
            })
            .map(|(_, breaker)| value(breaker))
            .collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }
}
