//! Guards against a ramp that is worse than a simpler rule, or than none: compares the rules that
//! `docs/design/target-pace.md` weighs.

use std::collections::BTreeMap;

use crate::target_model::Fleet;
use crate::target_model::Mode;
use crate::target_model::WeightRule;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_ramp::MIN_WEIGHT;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_ramp::TargetRamp;

const TARGETS: usize = 30;
const SENDERS: usize = 74;
const RUNS: u64 = 10;
/// Runs for the figure of the slow target, which differs by 0.1 between means of 10 runs.
const SLOW_RUNS: u64 = 60;
const START_WEIGHT: f64 = 0.1;
const NORMAL_RATE_PER_S: f64 = 3.9;
const BUSY_RATE_PER_S: f64 = 7.0;
/// Time after a fall in which no rule falls again.
const FALL_INTERVAL_MS: Millis = Millis(800);

fn bad_count(outcomes: OutcomeCounts) -> u32 {
    outcomes.late + outcomes.refused + outcomes.failed
}

/// Every target has the weight 1.
#[derive(Default)]
struct NoRamp;

impl WeightRule for NoRamp {
    fn record_start(&mut self, _: Millis, _: &str) {}

    fn record_outcomes(&mut self, _: Millis, _: &str, _: OutcomeCounts) {}

    fn weight(&self, _: Millis, _: &str) -> f64 {
        1.0
    }
}

/// Additive increase with each response in time, multiplicative decrease with each bad outcome.
#[derive(Default)]
struct AdditiveIncrease {
    targets: BTreeMap<String, (f64, Millis)>,
}

impl WeightRule for AdditiveIncrease {
    fn record_start(&mut self, _: Millis, target: &str) {
        let start = (START_WEIGHT, Millis::ZERO);
        self.targets.insert(target.to_owned(), start);
    }

    fn record_outcomes(&mut self, now: Millis, target: &str, outcomes: OutcomeCounts) {
        let known = self.targets.entry(target.to_owned());
        let (weight, fell_at) = known.or_insert((1.0, Millis::ZERO));
        if bad_count(outcomes) == 0 {
            *weight = (*weight + 0.1 * f64::from(outcomes.in_time)).min(1.0);
        } else if now >= *fell_at + FALL_INTERVAL_MS {
            (*weight, *fell_at) = ((*weight / 2.0).max(MIN_WEIGHT), now);
        }
    }

    fn weight(&self, _: Millis, target: &str) -> f64 {
        self.targets.get(target).map_or(1.0, |&(weight, _)| weight)
    }
}

#[derive(Clone, Copy)]
struct Gradient {
    weight: f64,
    least: f64,
    recent: f64,
}

/// The weight follows the least time of a target, in relation to the expected one, divided by its
/// recent mean.
#[derive(Default)]
struct LatencyGradient {
    targets: BTreeMap<String, Gradient>,
}

impl LatencyGradient {
    fn record(&mut self, target: &str, ratio: f64) {
        let initial = Gradient {
            weight: 1.0,
            least: 1.0,
            recent: 1.0,
        };
        let known = self.targets.entry(target.to_owned()).or_insert(initial);
        known.recent += (ratio - known.recent) * 0.3;
        known.least = (known.least * 1.01).min(ratio.max(1.0));
        let gradient = (2.0 * known.least / known.recent).clamp(0.5, 1.0);
        known.weight = (known.weight * gradient + 0.1).clamp(MIN_WEIGHT, 1.0);
    }
}

impl WeightRule for LatencyGradient {
    fn record_start(&mut self, _: Millis, target: &str) {
        let start = Gradient {
            weight: START_WEIGHT,
            least: 1.0,
            recent: 1.0,
        };
        self.targets.insert(target.to_owned(), start);
    }

    fn record_outcomes(&mut self, _: Millis, target: &str, outcomes: OutcomeCounts) {
        for _ in 0..bad_count(outcomes) {
            self.record(target, 10.0);
        }
    }

    fn record_time(&mut self, _: Millis, target: &str, expected_ms: f64, observed_ms: f64) {
        self.record(target, (observed_ms + 20.0) / (expected_ms + 20.0));
    }

    fn weight(&self, _: Millis, target: &str) -> f64 {
        self.targets.get(target).map_or(1.0, |known| known.weight)
    }
}

#[derive(Clone, Copy)]
struct Concurrency {
    weight: f64,
    /// Requests without a first event.
    awaiting: f64,
    /// Mean time, and the least value of this mean.
    mean_ms: f64,
    least_ms: f64,
    /// Responses per millisecond.
    throughput: f64,
    responded_at: Millis,
}

/// The weight falls while more requests are without a first event than throughput x least time, and
/// one more, and rises otherwise.
#[derive(Default)]
struct ConcurrencyLimit {
    targets: BTreeMap<String, Concurrency>,
}

impl ConcurrencyLimit {
    fn start(weight: f64) -> Concurrency {
        Concurrency {
            weight,
            awaiting: 0.0,
            mean_ms: 100.0,
            least_ms: 100.0,
            throughput: 0.0,
            responded_at: Millis::ZERO,
        }
    }
}

impl WeightRule for ConcurrencyLimit {
    fn record_start(&mut self, _: Millis, target: &str) {
        let start = Self::start(START_WEIGHT);
        self.targets.insert(target.to_owned(), start);
    }

    fn record_outcomes(&mut self, now: Millis, target: &str, outcomes: OutcomeCounts) {
        let known = self.targets.entry(target.to_owned());
        let known = known.or_insert(Self::start(1.0));
        let ended = f64::from(outcomes.in_time + bad_count(outcomes));
        known.awaiting = (known.awaiting + f64::from(outcomes.sent) - ended).max(0.0);
        if outcomes.in_time > 0 {
            let gap_ms = (now - known.responded_at).0.max(1) as f64;
            known.throughput += (1.0 / gap_ms - known.throughput) * 0.2;
            known.responded_at = now;
        }
        let limit = 1.0 + 2.0 * known.throughput * known.least_ms;
        if known.awaiting > limit || bad_count(outcomes) > 0 {
            known.weight = (known.weight * 0.7).max(MIN_WEIGHT);
        } else if outcomes.in_time > 0 {
            known.weight = (known.weight * 1.4).min(1.0);
        }
    }

    fn record_time(&mut self, _: Millis, target: &str, _: f64, observed_ms: f64) {
        if let Some(known) = self.targets.get_mut(target) {
            known.mean_ms += (observed_ms - known.mean_ms) * 0.2;
            known.least_ms = (known.least_ms * 1.01).min(known.mean_ms);
        }
    }

    fn weight(&self, _: Millis, target: &str) -> f64 {
        self.targets.get(target).map_or(1.0, |known| known.weight)
    }
}

/// What a rule achieves, as means over all runs.
#[derive(Debug, Default)]
struct Figures {
    /// Fraction of the first 20 requests in time at a target that is slow for 5 s.
    slow_in_time: f64,
    /// Share of a target that hangs for 30 s.
    hanging_share: f64,
    /// Time from a start until the weight is at least 0.95 while other targets are full.
    recovery_ms: f64,
    /// Mean weight with disturbances, and requests in time.
    noise_weight: f64,
    noise_in_time: f64,
    /// Requests in time while the whole service has too little capacity for 5 s, and 10 s later.
    overload_in_time: f64,
}

fn mean_weight<R: WeightRule>(fleet: &Fleet<R>) -> f64 {
    let weights = (0..TARGETS).map(|target| fleet.weight(target));
    weights.sum::<f64>() / TARGETS as f64
}

fn warm_fleet<R: WeightRule>(rate_per_s: f64, run: u64) -> Fleet<R> {
    let mut fleet = Fleet::with_rule(TARGETS, SENDERS, rate_per_s, run);
    fleet.run(5_000);
    fleet
}

fn measure<R: WeightRule>() -> Figures {
    let mut figures = Figures::default();
    for run in 0..SLOW_RUNS {
        let mut slow = warm_fleet::<R>(NORMAL_RATE_PER_S, run);
        slow.targets[0].slowness = 6.0;
        let from_ms = slow.now_ms;
        slow.start(0);
        slow.run(5_000);
        slow.targets[0].slowness = 1.0;
        slow.run(10_000);
        let first = slow.sent_to(0, from_ms).take(20);
        let in_time = first.filter(|sent| sent.is_in_time).count();
        figures.slow_in_time += in_time as f64 / 20.0 / SLOW_RUNS as f64;
    }
    for run in 0..RUNS {
        let share_of_run = 1.0 / RUNS as f64;
        let fleet = |rate_per_s| warm_fleet::<R>(rate_per_s, run);
        let mut hanging = fleet(NORMAL_RATE_PER_S);
        hanging.targets[0].mode = Mode::Hangs;
        let from_ms = hanging.now_ms;
        hanging.start(0);
        hanging.run(30_000);
        figures.hanging_share += hanging.share(0, from_ms) * share_of_run;

        let mut full = fleet(9.5);
        let from_ms = full.now_ms;
        full.start(0);
        while full.weight(0) < 0.95 && full.now_ms < from_ms + 60_000 {
            full.run(50);
        }
        figures.recovery_ms += (full.now_ms - from_ms) as f64 * share_of_run;

        let mut noise = fleet(BUSY_RATE_PER_S);
        noise.has_noise = true;
        let from_ms = noise.now_ms;
        for _ in 0..200 {
            noise.run(100);
            figures.noise_weight += mean_weight(&noise) * share_of_run / 200.0;
        }
        figures.noise_in_time += noise.in_time(from_ms) * share_of_run;

        let mut overload = fleet(NORMAL_RATE_PER_S);
        overload.rate_per_s = 20.0;
        let from_ms = overload.now_ms;
        overload.run(5_000);
        overload.rate_per_s = NORMAL_RATE_PER_S;
        overload.run(10_000);
        figures.overload_in_time += overload.in_time(from_ms) * share_of_run;
    }
    figures
}

#[test]
fn the_ramp_is_not_worse_than_simpler_rules() {
    let none = measure::<NoRamp>();
    let additive = measure::<AdditiveIncrease>();
    let gradient = measure::<LatencyGradient>();
    let concurrency = measure::<ConcurrencyLimit>();
    let ramp = measure::<TargetRamp>();
    println!("no ramp {none:?}");
    println!("additive increase {additive:?}");
    println!("latency gradient {gradient:?}");
    println!("concurrency limit {concurrency:?}");
    println!("ramp {ramp:?}");
    assert!(ramp.slow_in_time >= none.slow_in_time + 0.2);
    assert!(ramp.hanging_share <= 0.25 * none.hanging_share);
    for other in [&additive, &gradient, &concurrency] {
        assert!(ramp.slow_in_time >= other.slow_in_time - 0.05);
        assert!(ramp.noise_weight > other.noise_weight);
    }
    for other in [&none, &gradient, &concurrency] {
        assert!(ramp.noise_in_time >= other.noise_in_time - 0.01);
    }
    assert!(ramp.recovery_ms <= 5_000.0);
}
