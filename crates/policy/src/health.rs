//! A circuit breaker for each target of a service, with outlier detection.
//!
//! A breaker opens after consecutive failures, or when the target is an outlier among the targets
//! of its service by its error rate or its latency. Outliers are relative, so they open at most a
//! bounded share of the breakers; consecutive failures always open. After a delay that doubles
//! with each opening, one probe at a time decides whether the breaker closes.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;

/// The weight of the newest measurement in the moving averages.
const NEW_WEIGHT: f64 = 0.1;
/// The largest exponent of the doubling of the open time.
const MAX_DOUBLINGS: u32 = 5;

/// Settings of the circuit breakers.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreakerSettings {
    /// The consecutive failures that open a breaker.
    pub consecutive_failures: u32,
    /// The error rate, in percent above that of the median target, that opens a breaker.
    pub error_excess_percent: u32,
    /// The latency, as a multiple of that of the median target, that opens a breaker.
    pub latency_factor: f64,
    /// The measurements without which a target is no outlier.
    pub min_samples: u32,
    /// The largest share of breakers that outlier detection opens.
    pub max_outlier_percent: u32,
    /// How long a breaker stays open the first time.
    pub open_ms: Millis,
    /// After which time a probe without an outcome is given up.
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
    /// The target answered.
    Success {
        /// The time from the call to the answer, or to the first token of a stream.
        latency_ms: Millis,
    },
    /// The target could not be reached, failed or stalled.
    Failure,
}

/// Whether a call may go to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The breaker is closed.
    Allowed,
    /// The breaker is half open and this call decides.
    Probe,
    /// The breaker is open, or another call probes.
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
    consecutive: u32,
    samples: u32,
    error_rate: f64,
    latency_ms: f64,
}

impl Health {
    fn new() -> Self {
        Self {
            breaker: Breaker::Closed,
            openings: 0,
            consecutive: 0,
            samples: 0,
            error_rate: 0.0,
            latency_ms: 0.0,
        }
    }

    fn measure(&mut self, outcome: CallOutcome) {
        self.samples = self.samples.saturating_add(1);
        let error = f64::from(u8::from(outcome == CallOutcome::Failure));
        self.error_rate += NEW_WEIGHT * (error - self.error_rate);
        match outcome {
            CallOutcome::Failure => self.consecutive = self.consecutive.saturating_add(1),
            CallOutcome::Success { latency_ms } => {
                self.consecutive = 0;
                let latency_ms = latency_ms.0 as f64;
                if self.latency_ms == 0.0 {
                    self.latency_ms = latency_ms;
                }
                self.latency_ms += NEW_WEIGHT * (latency_ms - self.latency_ms);
            }
        }
    }

    /// Forgets measurements, so that a target is judged by its behaviour after the probe.
    fn forget(&mut self) {
        self.consecutive = 0;
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
    /// Creates a table in which every breaker is closed.
    #[must_use]
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
        }
    }

    /// Returns what a call to a target would be, without starting one.
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

    /// Starts a call to a target and reserves the probe if the breaker is half open.
    pub fn start_call(&mut self, now: Millis, target: Target) -> Permit {
        let permit = self.permit(now, target);
        if permit == Permit::Probe
            && let Some(health) = self.targets.get_mut(&target)
        {
            health.breaker = Breaker::HalfOpen { since: now };
        }
        permit
    }

    /// Records how a call ended, and returns whether the breaker opened or closed because of it.
    pub fn record_outcome(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        let health = self.targets.entry(target).or_insert_with(Health::new);
        let before = health.breaker;
        if let Breaker::HalfOpen { .. } = before {
            health.forget();
            health.breaker = Breaker::Closed;
        }
        health.measure(outcome);
        if before == Breaker::Closed {
            if self.is_failing(target) || self.is_outlier(target) {
                self.open(now, target);
                return true;
            }
            self.relax(target);
            return false;
        }
        // The outcome of a call that began before the breaker opened decides nothing.
        if let Breaker::Open { .. } = before {
            return false;
        }
        if outcome == CallOutcome::Failure {
            self.open(now, target);
        }
        outcome != CallOutcome::Failure
    }

    /// Returns the moving average of a target's latency.
    #[must_use]
    pub fn mean_latency(&self, target: Target) -> Option<Millis> {
        let health = self.targets.get(&target)?;
        (health.latency_ms > 0.0).then(|| Millis(health.latency_ms.round() as u64))
    }

    /// Returns the number of breakers that are not closed.
    #[must_use]
    pub fn open_breakers(&self) -> usize {
        let not_closed = |health: &&Health| health.breaker != Breaker::Closed;
        self.targets.values().filter(not_closed).count()
    }

    /// Forgets a target that has left, or that has started again.
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

    /// Shortens the next open time after a target has been well for as many calls as are needed
    /// to judge it.
    fn relax(&mut self, target: Target) {
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
            .is_some_and(|health| health.consecutive >= threshold)
    }

    fn is_outlier(&self, target: Target) -> bool {
        let settings = &self.settings;
        let Some(health) = self.targets.get(&target) else {
            return false;
        };
        let allowed = self.targets.len() * settings.max_outlier_percent as usize / 100;
        if health.samples < settings.min_samples || self.open_breakers() >= allowed {
            return false;
        }
        let excess = f64::from(settings.error_excess_percent) / 100.0;
        let errs = self
            .median_of_others(target, |other| other.error_rate)
            .is_some_and(|median| health.error_rate > median + excess);
        let slow = self
            .median_of_others(target, |other| other.latency_ms)
            .is_some_and(|median| {
                median > 0.0 && health.latency_ms > median * settings.latency_factor
            });
        errs || slow
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
