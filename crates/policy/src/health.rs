//! A circuit breaker for each target of a service, with outlier detection.
//!
//! A breaker opens after consecutive failures, or when the error rate or the latency of the target
//! makes it an outlier among the targets of its service. Because being an outlier is relative,
//! outlier detection opens at most a bounded share of the breakers; consecutive failures always
//! open the breaker. After a delay that doubles with each opening, the breaker allows one probe
//! call at a time, whose outcome decides whether it closes.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;

/// The weight of the newest sample in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The number of openings after which the open time no longer doubles.
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
    /// Outlier detection opens no breaker while at least this percentage of them is not closed.
    pub max_outlier_percent: u32,
    /// How long a breaker stays open the first time; the time doubles with each opening.
    pub open_ms: Millis,
    /// How long after the start of a probe without an outcome another probe is allowed.
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
    /// The breaker is open, or another call is the probe.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Breaker {
    Closed,
    Open { until: Millis },
    HalfOpen { since: Millis },
}

#[derive(Clone, Debug)]
struct Health {
    breaker: Breaker,
    openings: u32,
    failure_streak: u32,
    samples: u32,
    error_rate: f64,
    latency_ms: f64,
}

impl Health {
    fn new() -> Self {
        Self {
            breaker: Breaker::Closed,
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

    /// Discards the samples, so that only the probe and later calls count.
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
    targets: BTreeMap<Target, Health>,
}

impl CircuitBreakers {
    /// Creates closed breakers for all targets.
    #[must_use]
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
        }
    }

    /// Returns whether a call to a target would be allowed, without starting one.
    #[must_use]
    pub fn permit(&self, now: Millis, target: Target) -> Permit {
        let Some(health) = self.targets.get(&target) else {
            return Permit::Allowed;
        };
        match health.breaker {
            Breaker::Closed => Permit::Allowed,
            Breaker::Open { until } if now >= until => Permit::Probe,
            Breaker::HalfOpen { since } if now >= since + self.settings.probe_timeout_ms => {
                Permit::Probe
            }
            Breaker::Open { .. } | Breaker::HalfOpen { .. } => Permit::Refused,
        }
    }

    /// Returns whether a call to a target is allowed; a call that is the probe excludes other
    /// probes until its outcome is recorded or the probe timeout has passed.
    pub fn start_call(&mut self, now: Millis, target: Target) -> Permit {
        let permit = self.permit(now, target);
        if permit == Permit::Probe
            && let Some(health) = self.targets.get_mut(&target)
        {
            health.breaker = Breaker::HalfOpen { since: now };
        }
        permit
    }

    /// Records how a call ended.
    ///
    /// Returns true if a closed breaker opened, or if a probe closed its breaker.
    pub fn record_outcome(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        let health = self.targets.entry(target).or_insert_with(Health::new);
        let previous = health.breaker;
        if let Breaker::HalfOpen { .. } = previous {
            health.clear_samples();
            health.breaker = Breaker::Closed;
        }
        health.add_sample(outcome);
        if previous == Breaker::Closed {
            if self.is_failing(target) || self.is_outlier(target) {
                self.open(now, target);
                return true;
            }
            self.reduce_openings(target);
            return false;
        }
        // A call that started before the breaker opened is no probe.
        if let Breaker::Open { .. } = previous {
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
        let health = self.targets.get(&target)?;
        (health.latency_ms > 0.0).then(|| Millis(health.latency_ms.round() as u64))
    }

    /// Returns the number of breakers that are open or half open.
    #[must_use]
    pub fn open_breakers(&self) -> usize {
        let not_closed = |health: &&Health| health.breaker != Breaker::Closed;
        self.targets.values().filter(not_closed).count()
    }

    /// Removes the breaker of a target that has left or restarted.
    pub fn remove(&mut self, target: Target) {
        self.targets.remove(&target);
    }

    fn open(&mut self, now: Millis, target: Target) {
        let Some(health) = self.targets.get_mut(&target) else {
            return;
        };
        let doublings = health.openings.min(MAX_DOUBLINGS);
        health.openings = health.openings.saturating_add(1);
        let until = now + self.settings.open_ms.times(1 << doublings);
        health.breaker = Breaker::Open { until };
    }

    /// Counts one opening less, which shortens the next open time, after each `min_samples` calls.
    fn reduce_openings(&mut self, target: Target) {
        let min_samples = self.settings.min_samples.max(1);
        if let Some(health) = self.targets.get_mut(&target)
            && health.samples % min_samples == 0
        {
            health.openings = health.openings.saturating_sub(1);
        }
    }

    fn is_failing(&self, target: Target) -> bool {
        let threshold = self.settings.consecutive_failures;
        self.targets
            .get(&target)
            .is_some_and(|health| health.failure_streak >= threshold)
    }

    fn is_outlier(&self, target: Target) -> bool {
        let settings = &self.settings;
        let Some(health) = self.targets.get(&target) else {
            return false;
        };
        let max_open = self.targets.len() * settings.max_outlier_percent as usize / 100;
        if health.samples < settings.min_samples || self.open_breakers() >= max_open {
            return false;
        }
        let error_excess = f64::from(settings.error_excess_percent) / 100.0;
        let has_errors = self
            .median_of_others(target, |other| other.error_rate)
            .is_some_and(|median| health.error_rate > median + error_excess);
        let is_slow = self
            .median_of_others(target, |other| other.latency_ms)
            .is_some_and(|median| {
                median > 0.0 && health.latency_ms > median * settings.latency_factor
            });
        has_errors || is_slow
    }

    fn median_of_others(&self, target: Target, value: impl Fn(&Health) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self
            .targets
            .iter()
            .filter(|&(&other, health)| {
                other != target && health.samples >= self.settings.min_samples
            })
            .map(|(_, health)| value(health))
            .collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }
}
