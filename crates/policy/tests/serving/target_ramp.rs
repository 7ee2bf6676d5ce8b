//! Guards against a flood at a target that has just started or returned, and against a target that
//! stays idle although it can handle a normal share.

use std::ops::Range;

use crate::support::assert_close;
use crate::target_model::Fleet;
use crate::target_model::MEAN_WORK_MS;
use crate::target_model::Mode;
use crate::target_model::name;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_ramp::MAX_IDLE_WEIGHT;
use arbutus_policy::serving::target_ramp::MIN_WEIGHT;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_ramp::RampCause;
use arbutus_policy::serving::target_ramp::RampChange;
use arbutus_policy::serving::target_ramp::RampState;
use arbutus_policy::serving::target_ramp::TargetRamp;
use arbutus_policy::serving::target_ramp::is_candidate;

const TARGETS: usize = 30;
const LOW_RATE_PER_S: f64 = 1.3;
const NORMAL_RATE_PER_S: f64 = 3.9;
/// Work for 76 % of the time of all targets; requests wait for 0.4 s on average.
const FULL_RATE_PER_S: f64 = 9.5;
const SENDER_COUNTS: [usize; 3] = [1, 10, 74];
const WARM_UP_MS: u64 = 5_000;
/// Runs with other random numbers, over which each figure is averaged.
const RUNS: u64 = 10;

/// Returns a fleet in which all targets have had a normal share for a time.
fn warm_fleet(senders: usize, rate_per_s: f64, run: u64) -> Fleet {
    let mut fleet = Fleet::new(TARGETS, senders, rate_per_s, run);
    fleet.run(WARM_UP_MS);
    fleet
}

/// Returns the mean of each figure over all runs.
fn mean<const FIGURES: usize>(measure: impl Fn(u64) -> [f64; FIGURES]) -> [f64; FIGURES] {
    let mut mean = [0.0; FIGURES];
    for figures in (0..RUNS).map(measure) {
        for (mean, figure) in mean.iter_mut().zip(figures) {
            *mean += figure / RUNS as f64;
        }
    }
    mean
}

/// Returns the fraction of the first requests to a target from a time on that were in time.
fn in_time_of_first(fleet: &Fleet, target: usize, from_ms: u64, count: usize) -> f64 {
    let first = fleet.sent_to(target, from_ms).take(count);
    first.filter(|sent| sent.is_in_time).count() as f64 / count as f64
}

/// Returns the mean weight of some targets.
fn mean_weight(fleet: &Fleet, targets: Range<usize>) -> f64 {
    let count = targets.len() as f64;
    targets.map(|target| fleet.weight(target)).sum::<f64>() / count
}

/// Runs until a target has a normal share, and returns how long that took.
fn run_until_steady(fleet: &mut Fleet, target: usize) -> u64 {
    const MAX_MS: u64 = 60_000;
    let from_ms = fleet.now_ms;
    while fleet.weight(target) < 1.0 {
        assert!(
            fleet.now_ms - from_ms < MAX_MS,
            "weight {} after {MAX_MS} ms",
            fleet.weight(target)
        );
        fleet.run(10);
    }
    fleet.now_ms - from_ms
}

/// With a normal share at once, a target that needs six times as long in its first seconds gets
/// twice the work that it handles then, and most of its requests are late. One in seven requests is
/// late even at an idle target then, because it takes more than 200 ms at a fast one.
#[test]
fn a_target_that_is_slow_at_first_gets_what_it_handles() {
    for senders in SENDER_COUNTS {
        let measure = |uses_ramp: bool, run| {
            let mut fleet = warm_fleet(senders, NORMAL_RATE_PER_S, run);
            let from_ms = fleet.now_ms;
            fleet.targets[0].slowness = 6.0;
            if uses_ramp {
                fleet.start(0);
            }
            fleet.run(5_000);
            fleet.targets[0].slowness = 1.0;
            let fast_ms = fleet.now_ms;
            fleet.run(1_000);
            run_until_steady(&mut fleet, 0);
            let steady_ms = fleet.now_ms;
            fleet.run(10_000);
            let in_time = in_time_of_first(&fleet, 0, from_ms, 20);
            let mut later = fleet.sent_to(0, fast_ms);
            let first = later.find(|sent| sent.is_in_time).expect("a response");
            let steady_ms = steady_ms.saturating_sub(first.at_ms) as f64;
            [in_time, steady_ms, fleet.share(0, fleet.now_ms - 10_000)]
        };
        let [with, steady_ms, share] = mean(|run| measure(true, run));
        let [without, ..] = mean(|run| measure(false, run));
        println!(
            "{senders} senders: {with:.2} in time, without ramp {without:.2}; steady {steady_ms:.0} \
             ms after the first response, then share {share:.2}"
        );
        assert!(with >= 0.65, "{with:.2} in time");
        assert!(with >= without + 0.2, "{without:.2} in time without ramp");
        assert!(
            steady_ms <= 7_000.0,
            "steady {steady_ms} ms after the first response"
        );
        assert!(share >= 0.8, "share {share:.2}");
    }
}

/// Requests that wait in vain until their objective has passed are lost, so the target must get only
/// as many as it takes to notice that it serves again.
#[test]
fn a_target_that_is_ready_but_does_not_serve_gets_few_requests() {
    let modes = [
        (Mode::Refuses, RampCause::Refused),
        (Mode::Hangs, RampCause::Late),
    ];
    for (mode, cause) in modes {
        for (senders, rate_per_s) in senders_and_rates() {
            let [share, serving_ms, steady_ms] = mean(|run| {
                let mut fleet = warm_fleet(senders, rate_per_s, run);
                let from_ms = fleet.now_ms;
                fleet.targets[0].mode = mode;
                fleet.start(0);
                fleet.run(30_000);
                let share = fleet.share(0, from_ms);
                assert_ne!(fleet.ramp.state(fleet.now(), &name(0)), RampState::Steady);
                assert_eq!(fleet.ramp.cause(&name(0)), Some(cause));
                fleet.targets[0].mode = Mode::Serves;
                let back_ms = fleet.now_ms;
                run_until_steady(&mut fleet, 0);
                let first = fleet.sent_to(0, back_ms).next().expect("a request");
                let serving_ms = (first.at_ms - back_ms) as f64;
                [share, serving_ms, (fleet.now_ms - first.at_ms) as f64]
            });
            println!(
                "{senders} senders, {rate_per_s}/s: share {share:.2}; first request after \
                 {serving_ms:.0} ms, steady {steady_ms:.0} ms later"
            );
            assert!(share <= 0.25, "share {share:.2}");
            assert!(
                serving_ms <= 10_000.0,
                "first request after {serving_ms} ms"
            );
            assert!(steady_ms <= 7_000.0, "steady {steady_ms} ms later");
        }
    }
}

fn senders_and_rates() -> impl Iterator<Item = (usize, f64)> {
    let rates = [LOW_RATE_PER_S, NORMAL_RATE_PER_S, 7.0];
    let senders = SENDER_COUNTS.into_iter();
    senders.flat_map(move |senders| rates.map(|rate| (senders, rate)))
}

/// Senders prefer a target without waiting work while all others have some, so that all of them send
/// to it at once before its reports show the load.
#[test]
fn a_target_that_recovers_while_others_are_full_is_neither_flooded_nor_idle() {
    for senders in SENDER_COUNTS {
        let [in_time, steady_ms, share] = mean(|run| {
            let mut fleet = warm_fleet(senders, FULL_RATE_PER_S, run);
            fleet.targets[0].mode = Mode::Hangs;
            fleet.run(10_000);
            fleet.targets[0].mode = Mode::Serves;
            let from_ms = fleet.now_ms;
            fleet.start(0);
            let steady_ms = run_until_steady(&mut fleet, 0);
            fleet.run(10_000);
            let in_time = in_time_of_first(&fleet, 0, from_ms, 30);
            let share = fleet.share(0, fleet.now_ms - 10_000);
            [in_time, steady_ms as f64, share]
        });
        println!("{senders} senders: {in_time:.2} in time, {steady_ms:.0} ms, share {share:.2}");
        assert!(in_time >= 0.9, "{in_time:.2} in time");
        assert!(steady_ms <= 5_000.0, "{steady_ms} ms");
        assert!((0.8..=1.3).contains(&share), "share {share:.2}");
    }
}

/// A third of the targets returns at once and needs four times as long for 3 s.
#[test]
fn a_domain_that_returns_neither_loses_requests_nor_stays_idle() {
    const RETURNING: usize = 10;
    for senders in SENDER_COUNTS {
        let measure = |uses_ramp: bool, run| {
            let mut fleet = warm_fleet(senders, 6.0, run);
            let from_ms = fleet.now_ms;
            for target in 0..RETURNING {
                fleet.targets[target].slowness = 4.0;
                if uses_ramp {
                    fleet.start(target);
                }
            }
            fleet.run(3_000);
            for target in 0..RETURNING {
                fleet.targets[target].slowness = 1.0;
            }
            fleet.run(5_000);
            [fleet.in_time(from_ms), mean_weight(&fleet, 0..RETURNING)]
        };
        let [with, weight] = mean(|run| measure(true, run));
        let [without, _] = mean(|run| measure(false, run));
        println!(
            "{senders} senders: {with:.3} in time, without ramp {without:.3}; fast for 5 s: weight \
             {weight:.2}"
        );
        assert!(with >= 0.95, "{with:.3} in time");
        assert!(with >= without + 0.03, "{without:.3} in time without ramp");
        assert!(weight >= 0.8, "weight {weight:.2}");
    }
}

/// A target that serves for 4 s and hangs for 2 s: if every return counted like the first, it would
/// be at a normal share each time when it hangs.
#[test]
fn a_target_that_flaps_gets_less_with_each_flap() {
    for senders in SENDER_COUNTS {
        let [early, late, steady_ms, calm_ms] = mean(|run| {
            let mut fleet = warm_fleet(senders, NORMAL_RATE_PER_S, run);
            let mut lost = Vec::new();
            for _ in 0..8 {
                fleet.targets[0].mode = Mode::Serves;
                fleet.start(0);
                fleet.run(4_000);
                fleet.targets[0].mode = Mode::Hangs;
                let from_ms = fleet.now_ms;
                fleet.run(2_000);
                lost.push(fleet.sent_to(0, from_ms).count() as f64);
            }
            fleet.targets[0].mode = Mode::Serves;
            fleet.start(0);
            let steady_ms = run_until_steady(&mut fleet, 0);
            // A minute after the last start the flaps no longer count.
            fleet.run(60_000);
            fleet.start(0);
            let calm_ms = run_until_steady(&mut fleet, 0);
            [lost[0], lost[7], steady_ms as f64, calm_ms as f64]
        });
        println!(
            "{senders} senders: {early:.1} lost in the first flap, {late:.1} in the eighth; steady \
             after {steady_ms:.0} ms, a minute later after {calm_ms:.0} ms"
        );
        assert!(late <= early / 2.0, "{late} of {early} lost");
        assert!(steady_ms <= 25_000.0, "{steady_ms} ms");
        assert!(calm_ms <= 5_000.0, "{calm_ms} ms");
    }
}

/// Every target is 2.5 times slower for 15 % of the time. Weights that followed it would stay low
/// and move the load to targets that are disturbed next.
#[test]
fn disturbances_of_half_a_second_do_not_keep_the_weight_low() {
    const STARTING: usize = 10;
    // At 7 requests per second the disturbed targets work for 69 % of the time, and some queues last
    // much longer than the disturbance.
    for (senders, rate_per_s) in senders_and_rates() {
        let measure = |uses_ramp: bool, run| {
            let mut fleet = Fleet::new(TARGETS, senders, rate_per_s, run);
            fleet.has_noise = true;
            fleet.ignores_weights = !uses_ramp;
            let mut mean = 0.0;
            for _ in 0..200 {
                fleet.run(100);
                mean += mean_weight(&fleet, 0..TARGETS) / 200.0;
            }
            let in_time = fleet.in_time(0);
            (0..STARTING).for_each(|target| fleet.start(target));
            fleet.run(6_000);
            [mean, in_time, mean_weight(&fleet, 0..STARTING)]
        };
        let [mean_weight, with, started] = mean(|run| measure(true, run));
        let [_, without, _] = mean(|run| measure(false, run));
        println!(
            "{senders} senders, {rate_per_s}/s: mean weight {mean_weight:.3}, {with:.3} in time, \
             without ramp {without:.3}; 6 s after a start {started:.2}"
        );
        let min_weight = if rate_per_s > NORMAL_RATE_PER_S {
            0.9
        } else {
            0.98
        };
        assert!(mean_weight >= min_weight, "mean weight {mean_weight:.3}");
        assert!(
            with >= without - 0.015,
            "{with:.3} in time, without {without:.3}"
        );
        assert!(started >= 0.85, "weight {started:.2} 6 s after a start");
    }
}

/// If a target gets more work than it handles for long, all its requests are late in the end.
#[test]
fn a_target_that_turns_slow_for_good_gets_less_than_it_handles() {
    const SLOWNESS: f64 = 12.0;
    for (senders, rate_per_s) in senders_and_rates() {
        let [share, others, back_ms] = mean(|run| {
            let mut fleet = warm_fleet(senders, rate_per_s, run);
            fleet.targets[0].slowness = SLOWNESS;
            fleet.run(20_000);
            let share = fleet.share(0, fleet.now_ms - 10_000);
            let others = mean_weight(&fleet, 1..TARGETS);
            fleet.targets[0].slowness = 1.0;
            let fast_ms = fleet.now_ms;
            run_until_steady(&mut fleet, 0);
            let mut later = fleet.sent_to(0, fast_ms);
            let first_ms = later.find(|sent| sent.is_in_time).map(|sent| sent.at_ms);
            let back_ms = fleet.now_ms - first_ms.unwrap_or(fast_ms);
            [share, others, back_ms as f64]
        });
        println!(
            "{senders} senders, {rate_per_s}/s: share {share:.2}, weight of the others \
             {others:.2}; steady {back_ms:.0} ms after the first response of a fast target"
        );
        let handled_share = 1_000.0 / (MEAN_WORK_MS * SLOWNESS) / rate_per_s;
        assert!(
            share <= 0.9 * handled_share,
            "share {share:.2} of {handled_share:.2}"
        );
        assert!(others >= 0.97, "weight of the others {others:.2}");
        assert!(
            back_ms <= 7_000.0,
            "steady {back_ms} ms after the first response"
        );
    }
}

fn outcomes(in_time: u32, late: u32) -> OutcomeCounts {
    OutcomeCounts {
        sent: in_time + late,
        in_time,
        late,
        ..OutcomeCounts::default()
    }
}

/// If all targets of a service are late because it has too little capacity, lower weights help no
/// request and would let the targets with the fewest reports take the load of the others.
#[test]
fn an_overload_of_the_whole_service_changes_no_weights() {
    let mut ramp = TargetRamp::default();
    for now in (0..10_000).step_by(500).map(Millis) {
        let outcomes = if now < Millis(3_000) {
            outcomes(4, 0)
        } else {
            outcomes(1, 3)
        };
        for target in 0..TARGETS {
            ramp.record_outcomes(now, &name(target), outcomes);
        }
    }
    let weights = (0..TARGETS).map(|target| ramp.weight(Millis(10_000), &name(target)));
    assert!(weights.min_by(f64::total_cmp) >= Some(1.0));
    assert!(ramp.take_changes().is_empty());
}

#[test]
fn a_target_without_requests_rises_slowly_but_not_to_a_normal_share() {
    let mut ramp = TargetRamp::default();
    ramp.record_start(Millis(0), "t");
    assert!(ramp.weight(Millis(900), "t") <= 0.1);
    assert!(ramp.weight(Millis(2_500), "t") > 0.2);
    assert_close(ramp.weight(Millis(600_000), "t"), MAX_IDLE_WEIGHT);
    // After falls it rises much more slowly, so that it is not tried again and again.
    for now in (601_000..620_000).step_by(1_000).map(Millis) {
        ramp.record_outcomes(now, "t", outcomes(0, 1));
    }
    assert_eq!(ramp.state(Millis(621_000), "t"), RampState::Probing);
    assert!(ramp.weight(Millis(624_000), "t") > MIN_WEIGHT);
    // A response in time ends that.
    ramp.record_outcomes(Millis(625_000), "t", outcomes(1, 0));
    assert_close(ramp.weight(Millis(628_000), "t"), MAX_IDLE_WEIGHT);
}

#[test]
fn a_queue_lowers_the_weight_of_a_ramping_target_only() {
    let mut ramp = TargetRamp::default();
    ramp.record_outcomes(Millis(0), "steady", outcomes(1, 0));
    ramp.record_start(Millis(0), "ramping");
    ramp.record_outcomes(Millis(600), "ramping", outcomes(1, 0));
    let before = ramp.weight(Millis(700), "ramping");
    for target in ["steady", "ramping"] {
        ramp.record_queue(Millis(700), target, 20, 32);
    }
    assert_close(ramp.weight(Millis(700), "steady"), 1.0);
    assert!(ramp.weight(Millis(700), "ramping") < before);
    assert_eq!(ramp.cause("ramping"), Some(RampCause::Queue));
    // Several reports of the same queue count once.
    let after = ramp.weight(Millis(700), "ramping");
    ramp.record_queue(Millis(900), "ramping", 20, 32);
    assert_close(ramp.weight(Millis(900), "ramping"), after);
}

/// If a new aggregator started all ramps again, the loss of one would move the load of the whole
/// domain; if it knew of none, targets that do not serve would get a normal share.
#[test]
fn a_new_aggregator_goes_on_with_the_weights_of_the_last_one() {
    let mut ramp = TargetRamp::default();
    ramp.adopt(Millis(0), "slow", 0.2);
    ramp.adopt(Millis(0), "steady", 1.0);
    ramp.adopt(Millis(0), "invalid", f64::NAN);
    assert_close(ramp.weight(Millis(0), "slow"), 0.2);
    assert_eq!(ramp.cause("slow"), Some(RampCause::Adopted));
    for target in ["steady", "invalid", "unknown"] {
        assert_eq!(ramp.state(Millis(0), target), RampState::Steady);
    }
    // Its own evidence takes precedence over a weight that arrives late.
    ramp.record_outcomes(Millis(900), "slow", outcomes(1, 0));
    ramp.adopt(Millis(1_000), "slow", 0.1);
    assert!(ramp.weight(Millis(1_000), "slow") > 0.2);
}

#[test]
fn the_start_the_loss_and_the_regain_of_a_normal_share_are_reported_once() {
    let mut ramp = TargetRamp::default();
    ramp.record_start(Millis(0), "t");
    let serve = |ramp: &mut TargetRamp, from: u64, outcomes: OutcomeCounts| {
        for now in (from..from + 8_000).step_by(500).map(Millis) {
            ramp.record_outcomes(now, "t", outcomes);
        }
    };
    serve(&mut ramp, 500, outcomes(2, 0));
    let refused = OutcomeCounts {
        sent: 2,
        refused: 2,
        ..OutcomeCounts::default()
    };
    serve(&mut ramp, 10_000, refused);
    serve(&mut ramp, 20_000, outcomes(2, 0));
    let changes = ramp.take_changes();
    let causes: Vec<_> = changes.iter().map(|change| change.cause).collect();
    let started = Some(RampCause::Started);
    assert_eq!(causes, [started, None, Some(RampCause::Refused), None]);
    let last = RampChange {
        target: "t".to_owned(),
        state: RampState::Steady,
        weight: 1.0,
        cause: None,
    };
    assert_eq!(changes.last(), Some(&last));
    assert!(ramp.take_changes().is_empty());
}

#[test]
fn the_share_of_candidates_is_the_weight() {
    const DRAWS: u64 = 10_000;
    for weight in [MIN_WEIGHT, 0.3, 1.0] {
        let draws = (0..DRAWS).map(|draw| draw * (u64::MAX / DRAWS));
        let taken = draws.filter(|&random| is_candidate(weight, random)).count();
        let share = taken as f64 / DRAWS as f64;
        assert!((share - weight).abs() < 0.001, "{share} of {weight}");
    }
}
