//! Guards against a wrong pace of a target: requests differ in size by a factor of 500, targets are
//! disturbed for half a second, and most instances send a target only a few requests a day.

use crate::support::assert_close;
use crate::target_model::Fleet;
use crate::target_model::name;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_pace::MAX_PACE;
use arbutus_policy::serving::target_pace::MIN_PACE;
use arbutus_policy::serving::target_pace::PACE_VALID_MS;
use arbutus_policy::serving::target_pace::PaceSample;
use arbutus_policy::serving::target_pace::PaceTable;

const TARGETS: usize = 30;
const SENDERS: usize = 74;
const RUNS: u64 = 10;
const RATES_PER_S: [f64; 3] = [1.3, 3.9, 6.0];

fn pace(fleet: &Fleet, target: usize) -> f64 {
    fleet.pace.pace(fleet.now(), &name(target))
}

/// A choice that takes a disturbance for the pace sends the load to targets that are disturbed next.
#[test]
fn sizes_and_disturbances_do_not_change_the_pace() {
    for rate_per_s in RATES_PER_S {
        let (mut wrong, mut all, mut worst) = (0.0, 0.0, 1.0_f64);
        let (mut slow, mut fast) = (0.0, 0.0);
        for run in 0..RUNS {
            let mut fleet = Fleet::new(TARGETS, SENDERS, rate_per_s, run);
            fleet.has_noise = true;
            fleet.targets[0].slowness = 2.5;
            fleet.targets[1].slowness = 0.5;
            fleet.run(10_000);
            for _ in 0..20 {
                fleet.run(500);
                for pace in (2..TARGETS).map(|target| pace(&fleet, target)) {
                    all += 1.0;
                    wrong += f64::from(u8::from(!(0.75..=1.33).contains(&pace)));
                    worst = worst.max(pace.max(1.0 / pace));
                }
            }
            slow += pace(&fleet, 0) / RUNS as f64;
            fast += pace(&fleet, 1) / RUNS as f64;
        }
        println!(
            "{rate_per_s}/s: {:.1} % of the paces are wrong, worst by {worst:.2}; targets of pace \
             2.5 and 0.5: {slow:.2}, {fast:.2}",
            100.0 * wrong / all
        );
        assert!(wrong <= 0.02 * all, "{wrong} of {all} paces are wrong");
        assert!(worst <= 2.0, "worst by {worst:.2}");
        assert!(slow >= 1.6, "{slow:.2} for a slow target");
        assert!(fast <= 0.85, "{fast:.2} for a fast target");
    }
}

/// The mean time until the pace of a target shows that it has turned slow, and fast again.
#[test]
fn the_pace_follows_a_target_that_turns_slow_for_good() {
    const LIMIT_MS: u64 = 60_000;
    for rate_per_s in RATES_PER_S {
        let (mut slow_ms, mut fast_ms) = (0, 0);
        for run in 0..RUNS {
            let mut fleet = Fleet::new(TARGETS, SENDERS, rate_per_s, run);
            fleet.has_noise = true;
            fleet.run(20_000);
            fleet.targets[0].slowness = 2.5;
            let turned_ms = fleet.now_ms;
            while pace(&fleet, 0) < 1.5 && fleet.now_ms < turned_ms + LIMIT_MS {
                fleet.run(100);
            }
            slow_ms += (fleet.now_ms - turned_ms) / RUNS;
            fleet.run(10_000);
            fleet.targets[0].slowness = 1.0;
            let turned_ms = fleet.now_ms;
            while pace(&fleet, 0) > 1.33 && fleet.now_ms < turned_ms + LIMIT_MS {
                fleet.run(100);
            }
            fast_ms += (fleet.now_ms - turned_ms) / RUNS;
        }
        println!("{rate_per_s}/s: slow after {slow_ms} ms, fast after {fast_ms} ms");
        assert!(slow_ms <= 12_000, "slow after {slow_ms} ms");
        assert!(fast_ms <= 15_000, "fast after {fast_ms} ms");
    }
}

/// A delay of 15 ms is ten times the expected time of the smallest requests, and nothing for others.
#[test]
fn a_short_delay_of_small_requests_is_not_a_slow_target() {
    let mut table = PaceTable::default();
    for now in (0..10_000).step_by(200).map(Millis) {
        table.record(now, "t", Millis(1), Millis(16));
    }
    let small = table.pace(Millis(10_000), "t");
    assert!(small < 1.75, "{small:.2}");
    // One large request in five shows that the target is as fast as the others.
    for now in (10_000..20_000).step_by(200).map(Millis) {
        let work = if now.0 % 1_000 == 0 { 500 } else { 1 };
        table.record(now, "t", Millis(work), Millis(work + 15));
    }
    let mixed = table.pace(Millis(20_000), "t");
    assert!(mixed < 1.3, "{mixed:.2}");
}

/// Each instance sends a target about two requests a day, so that only the sum over the instances
/// says something, and it must not be counted twice where it returns to an instance.
#[test]
fn an_instance_gets_the_pace_that_others_observed() {
    let mut aggregator = PaceTable::default();
    let mut members: Vec<PaceTable> = (0..10).map(|_| PaceTable::default()).collect();
    for (member, now) in members.iter_mut().zip((0..).step_by(700).map(Millis)) {
        member.record(now, "t", Millis(200), Millis(800));
        let samples = member.take_samples();
        assert_eq!(samples.len(), 1);
        assert!(member.take_samples().is_empty());
        for (target, sample) in samples {
            aggregator.merge(now, &target, sample);
        }
    }
    let now = Millis(7_000);
    let pace = aggregator.pace(now, "t");
    assert!((2.5..4.0).contains(&pace), "{pace:.2}");
    let estimate = aggregator.estimate(now, "t").expect("evidence");
    for member in &mut members {
        member.adopt(now, "t", Millis(400), estimate);
        let adopted = member.pace(now, "t");
        assert!(
            (adopted - pace).abs() < 0.1,
            "{adopted:.2} instead of {pace:.2}"
        );
    }
    // Without summaries, an instance goes on with the last one until it is too old.
    let members = &mut members[..1];
    let later = members[0].pace(now + Millis(20_000), "t");
    assert!(1.5 < later && later < pace, "{later:.2} after 20 s");
    assert_close(members[0].pace(now + PACE_VALID_MS, "t"), 1.0);
    members[0].expire(now + PACE_VALID_MS);
    assert_eq!(members[0].estimate(now + PACE_VALID_MS, "t"), None);
}

#[test]
fn the_pace_of_a_restarted_target_is_1() {
    let mut table = PaceTable::default();
    for now in (0..5_000).step_by(100).map(Millis) {
        table.record(now, "t", Millis(100), Millis(1_000));
    }
    assert!(table.pace(Millis(5_000), "t") > 3.0);
    table.remove("t");
    assert_close(table.pace(Millis(5_000), "t"), 1.0);
    // Its observations are not sent either.
    assert!(table.take_samples().is_empty());
}

#[test]
fn invalid_samples_are_ignored_and_the_pace_is_bounded() {
    let mut table = PaceTable::default();
    for (log_ratio_sum, weight) in [
        (f32::NAN, 1.0),
        (1.0, f32::INFINITY),
        (1.0, 0.0),
        (1.0, -1.0),
    ] {
        let sample = PaceSample {
            log_ratio_sum,
            weight,
        };
        table.merge(Millis(0), "t", sample);
        table.adopt(Millis(0), "t", Millis(0), sample);
        assert_close(table.pace(Millis(0), "t"), 1.0);
    }
    for now in (0..10_000).step_by(100).map(Millis) {
        table.record(now, "slow", Millis(1_000), Millis(600_000));
        table.record(now, "fast", Millis(1_000), Millis(0));
    }
    let slow = table.pace(Millis(10_000), "slow");
    let fast = table.pace(Millis(10_000), "fast");
    assert!((5.0..=MAX_PACE).contains(&slow), "{slow:.2}");
    assert!((MIN_PACE..=0.4).contains(&fast), "{fast:.2}");
}
