//! Guards against more calls at a target than it can handle, against calls without a valid grant,
//! and against instances that never get a slot.

mod deployment;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Instance;
use arbutus_coord::grant::Demand;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantOwner;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::OwnerInput;
use arbutus_coord::grant::SlowStart;
use arbutus_coord::grant::TargetReport;
use arbutus_coord::grant::divide;
use deployment::Deployment;
use deployment::Faults;
use deployment::QUIET;

const DEFAULT_SEED: u64 = 20_261_204;

const FAULTY: Faults = Faults {
    loss_percent: 10,
    repeat_percent: 10,
    max_delay_ms: 60,
    pauses: true,
    two_owners: false,
    beliefs_change: false,
};

/// Returns a test driver with a fixed seed, which `ARBUTUS_SEED` replaces, and prints the seed.
fn checker(tests: u64) -> QuickCheck {
    let seed = std::env::var("ARBUTUS_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, seed))
        .tests(tests)
}

fn one_owner_keeps_the_bound(seed: u64, holders: u8, capacity: u8) {
    let capacity = 1 + u32::from(capacity % 8);
    let mut deployment = Deployment::new(seed, 1 + usize::from(holders % 6), capacity, FAULTY);
    let arrivals_percent = [1, 4, 10][usize::from(holders / 6 % 3)];
    deployment.max_call_ms = [40, 400, 5_000][usize::from(holders / 18 % 3)];
    for _ in 0..3_000 {
        deployment.step(arrivals_percent);
        let in_hand = deployment.in_hand();
        assert!(
            in_hand <= capacity,
            "{in_hand} of {capacity} at {} ({seed}, {holders}, {capacity})",
            deployment.now
        );
    }
}

#[test]
fn the_sum_never_exceeds_the_allowed_slots() {
    checker(150).quickcheck(one_owner_keeps_the_bound as fn(u64, u8, u8));
}

/// The target turns cold, restarts and stops reporting; the sum then falls within the lifetime of
/// a grant and never rises above what is allowed.
fn shrinking_keeps_the_bound(seed: u64, changes: Vec<u8>) {
    let mut deployment = Deployment::new(seed, 5, 8, FAULTY);
    let mut previous = 0;
    let mut history = Vec::new();
    let lifetime_steps = 1_500 / 5 + 1;
    for change in changes.into_iter().take(12) {
        match change % 5 {
            0 => deployment.report.boot_id += 1,
            1 => deployment.report.warm = !deployment.report.warm,
            2 => deployment.reports = !deployment.reports,
            3 => deployment.handle(0, OwnerInput::Blocked(change > 127)),
            _ => deployment.handle(0, OwnerInput::SuspectCold),
        }
        for _ in 0..usize::from(change) * 2 {
            deployment.step(6);
            history.push(deployment.allowed());
            let recent = &history[history.len().saturating_sub(lifetime_steps)..];
            let highest = recent.iter().copied().max().unwrap_or(0);
            let in_hand = deployment.in_hand();
            assert!(
                in_hand <= highest.max(previous),
                "{in_hand} above {highest}"
            );
            previous = in_hand;
        }
    }
}

#[test]
fn a_cold_target_gets_no_more_than_its_window() {
    checker(60).quickcheck(shrinking_keeps_the_bound as fn(u64, Vec<u8>));
}

/// A new owner takes over again and again, while no instance is paused; the calls of up to 400 ms
/// of all holders are reported before it grants new slots.
fn takeover_keeps_the_bound(seed: u64, capacity: u8) {
    let capacity = 1 + u32::from(capacity % 8);
    let faults = Faults {
        pauses: false,
        ..FAULTY
    };
    let mut deployment = Deployment::new(seed, 5, capacity, faults);
    for step in 0..4_000 {
        if step % 700 == 699 {
            deployment.take_over();
        }
        deployment.step(4);
        let in_hand = deployment.in_hand();
        assert!(
            in_hand <= capacity,
            "{in_hand} of {capacity} at {}",
            deployment.now
        );
    }
}

#[test]
fn a_new_owner_keeps_the_bound() {
    checker(60).quickcheck(takeover_keeps_the_bound as fn(u64, u8));
}

/// An owner that was paused must not confirm slots while another owner may grant them anew: a cold
/// target got a second call after its owner was resumed.
#[test]
fn an_owner_that_was_paused_confirms_no_slots() {
    let settings = GrantSettings::default();
    let mut owner = GrantOwner::new(Millis(0), settings, true);
    let report = TargetReport {
        boot_id: 1,
        warm: false,
        capacity: 8,
        cold_capacity: 1,
        in_flight: 0,
        queued: 0,
        age_ms: Millis::ZERO,
    };
    let ask = |owner: &mut GrantOwner, now: Millis, sequence: u64, held: u32| {
        owner.handle(now, OwnerInput::Report(report));
        let request = GrantRequest {
            holder_boot_id: 1,
            sequence,
            held,
            in_use: 0,
            needed: 1,
            wanted: 1,
        };
        let holder = Instance::from_index(1);
        let outputs = owner.handle(now, OwnerInput::Request { holder, request });
        let reply = outputs
            .iter()
            .find(|output| output.reply.sequence == sequence);
        reply.map(|output| output.reply.slots)
    };
    assert_eq!(ask(&mut owner, Millis(100), 1, 0), Some(1));
    // The owner was paused for three seconds, in which another one granted the slot.
    let resumed = Millis(3_100);
    assert_eq!(ask(&mut owner, resumed, 2, 1), Some(0));
    let settled = resumed + settings.lifetime_ms + settings.takeover_margin_ms;
    let mut now = resumed;
    while now < settled {
        now = now + Millis(250);
        owner.handle(now, OwnerInput::Tick);
    }
    assert_eq!(ask(&mut owner, now, 3, 0), Some(1));
}

/// Measures how far two owners at once exceed the allowed slots.
fn two_owners_at_most_double(faults: Faults) {
    const ALLOWED: u32 = 6;
    const SEEDS: u64 = 40;
    const STEPS: u32 = 3_000;
    let (mut worst, mut above, mut sum) = (0, 0_u64, 0_u64);
    for seed in 0..SEEDS {
        let mut deployment = Deployment::new(seed, 6, ALLOWED, faults);
        for _ in 0..STEPS {
            deployment.step(6);
            worst = worst.max(deployment.in_hand());
            above += u64::from(deployment.running() > ALLOWED);
            sum += u64::from(deployment.running());
        }
    }
    let steps = SEEDS * u64::from(STEPS);
    println!(
        "two owners, beliefs change: {}, {ALLOWED} allowed: worst sum {worst}, mean running {:.1}, \
         more than allowed running for {:.1} % of the time",
        faults.beliefs_change,
        sum as f64 / steps as f64,
        100.0 * above as f64 / steps as f64
    );
    assert!(worst <= 2 * ALLOWED);
    // Each owner sees the calls of the other one in the target's report.
    assert!(above * 100 < steps * 40, "the overshoot lasts");
}

#[test]
fn two_owners_at_once_at_most_double_the_slots() {
    let split = Faults {
        two_owners: true,
        ..FAULTY
    };
    two_owners_at_most_double(split);
    two_owners_at_most_double(Faults {
        beliefs_change: true,
        ..split
    });
}

/// Measures the sum while live holders are declared dead wrongly and their calls go on.
#[test]
fn wrong_declarations_of_death_keep_twice_the_slots() {
    const ALLOWED: u32 = 6;
    let (mut worst, mut above) = (0, 0);
    for seed in 0..40 {
        let mut deployment = Deployment::new(seed, 6, ALLOWED, FAULTY);
        deployment.max_call_ms = 5_000;
        for step in 0..3_000 {
            if step % 100 == 99 {
                let holder = Instance::from_index(deployment.random.below(6) as u32);
                deployment.handle(0, OwnerInput::HolderDead(holder));
            }
            deployment.step(6);
            worst = worst.max(deployment.in_hand());
            above += u32::from(deployment.in_hand() > ALLOWED);
        }
    }
    println!(
        "wrong deaths, {ALLOWED} allowed: worst sum {worst}, above for {above} of 120000 steps"
    );
    assert!(worst <= 2 * ALLOWED);
}

#[test]
fn every_holder_gets_a_slot_in_turn() {
    for capacity in [1, 2, 3] {
        let mut deployment = Deployment::new(7, 6, capacity, QUIET);
        deployment.max_call_ms = 50;
        for _ in 0..4_000 {
            deployment.step(50);
        }
        let served: Vec<u64> = deployment.nodes.iter().map(|node| node.served).collect();
        println!(
            "{capacity} slots: served {served:?}, messages {}",
            deployment.messages
        );
        let total: u64 = served.iter().sum();
        let fewest = served.iter().min().copied().unwrap_or(0);
        assert!(
            fewest * 6 * 2 > total,
            "half of a fair share each: {served:?}"
        );
        assert!(
            total > 4_000 / 10 * u64::from(capacity) / 2,
            "slots are in use: {served:?}"
        );
    }
}

#[test]
fn a_drained_target_gets_no_new_call_after_the_bound() {
    let mut deployment = Deployment::new(3, 4, 8, FAULTY);
    for _ in 0..1_000 {
        deployment.step(6);
    }
    deployment.handle(0, OwnerInput::Blocked(true));
    let closed_at = deployment.now;
    while deployment.now < closed_at + Millis(5_000) {
        deployment.step(6);
    }
    let served =
        |deployment: &Deployment| -> u64 { deployment.nodes.iter().map(|node| node.served).sum() };
    let before = served(&deployment);
    for _ in 0..1_000 {
        deployment.step(6);
    }
    assert_eq!(served(&deployment), before);
}

#[test]
fn a_window_grows_with_warm_reports_and_closes_when_cold() {
    let settings = GrantSettings::default();
    let mut slow_start = SlowStart::new(settings);
    let cold = TargetReport {
        boot_id: 1,
        warm: false,
        capacity: 8,
        cold_capacity: 1,
        in_flight: 0,
        queued: 0,
        age_ms: Millis::ZERO,
    };
    let warm = TargetReport { warm: true, ..cold };
    let mut windows = Vec::new();
    let restarted = TargetReport { boot_id: 2, ..warm };
    let queued = TargetReport {
        queued: 1,
        ..restarted
    };
    for (at, report) in [
        cold, warm, warm, warm, warm, restarted, restarted, queued, cold,
    ]
    .into_iter()
    .enumerate()
    {
        let now = Millis(10_000 + 250 * at as u64);
        slow_start.on_report(now, report);
        windows.push(slow_start.allowed(now));
    }
    assert_eq!(windows, [1, 2, 4, 8, 8, 1, 2, 2, 1]);
    let stale = TargetReport {
        age_ms: Millis(1_001),
        ..warm
    };
    let mut slow_start = SlowStart::new(settings);
    slow_start.on_report(Millis(10_000), warm);
    slow_start.on_report(Millis(10_250), warm);
    assert_eq!(slow_start.allowed(Millis(10_250)), 2);
    assert_eq!(slow_start.allowed(Millis(11_251)), 1, "no fresh report");
    slow_start.on_report(Millis(13_000), stale);
    assert_eq!(slow_start.allowed(Millis(13_000)), 1, "an old report");
}

#[test]
fn a_holder_that_gives_up_can_be_created_again() {
    let mut deployment = Deployment::new(5, 1, 4, QUIET);
    for round in 1..=3 {
        deployment.nodes[0].waiting = 2;
        for _ in 0..800 {
            deployment.step(0);
        }
        assert_eq!(deployment.nodes[0].served, 2 * round);
        let holder = &mut deployment.nodes[0].holder;
        assert!(holder.is_idle(deployment.now), "{holder:?}");
        assert_eq!(deployment.owners[0].reserved(), 0);
        *holder = GrantHolder::new(GrantSettings::default(), 100);
    }
}

fn division_is_fair(slots: u8, demands: Vec<(u8, u8, u8)>) -> bool {
    let slots = u32::from(slots);
    let demands: Vec<Demand> = demands
        .into_iter()
        .map(|(needed, spare, turn)| Demand {
            needed: u32::from(needed),
            wanted: u32::from(needed) + u32::from(spare),
            turn: u64::from(turn),
        })
        .collect();
    let shares = divide(slots, &demands);
    let wanted: u32 = demands.iter().map(|demand| demand.wanted).sum();
    let pairs = || demands.iter().zip(&shares);
    let unmet = pairs().filter(|(demand, share)| **share < demand.needed);
    let lowest_unmet = unmet.map(|(_, share)| *share).min();
    let fair = lowest_unmet.is_none_or(|lowest| {
        pairs().all(|(demand, &share)| share <= lowest + 1 && share <= demand.needed)
    });
    fair && shares.iter().sum::<u32>() == slots.min(wanted)
}

#[test]
fn division_is_max_min_fair_and_complete() {
    checker(3_000).quickcheck(division_is_fair as fn(u8, Vec<(u8, u8, u8)>) -> bool);
}
