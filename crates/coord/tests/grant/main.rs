//! Tests that a target gets no more calls than it can handle, that no call starts without a valid
//! grant, and that each instance gets slots.

mod simulation;

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
use simulation::Faults;
use simulation::NO_FAULTS;
use simulation::Simulation;

const DEFAULT_SEED: u64 = 20_261_204;

const FAULTY: Faults = Faults {
    loss_percent: 10,
    duplicate_percent: 10,
    max_delay_ms: 60,
    pauses: true,
    two_owners: false,
    holders_switch_owner: false,
};

/// Returns a test runner with the seed from `ARBUTUS_SEED` or a default, and prints the seed.
fn test_runner(tests: u64) -> QuickCheck {
    let seed = std::env::var("ARBUTUS_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, seed))
        .tests(tests)
}

/// While there is one owner, the granted or used slots stay within the capacity, although messages
/// are lost, duplicated and delayed and instances pause.
fn one_owner_keeps_the_bound(seed: u64, holders: u8, capacity: u8) {
    let capacity = 1 + u32::from(capacity % 8);
    let mut simulation = Simulation::new(seed, 1 + usize::from(holders % 6), capacity, FAULTY);
    let arrivals_percent = [1, 4, 10][usize::from(holders / 6 % 3)];
    simulation.max_call_ms = [40, 400, 5_000][usize::from(holders / 18 % 3)];
    for _ in 0..3_000 {
        simulation.step(arrivals_percent);
        let granted_or_used = simulation.granted_or_used();
        assert!(
            granted_or_used <= capacity,
            "{granted_or_used} of {capacity} slots at {} ({seed}, {holders}, {capacity})",
            simulation.now
        );
    }
}

#[test]
fn granted_or_used_slots_never_exceed_the_allowed_slots() {
    test_runner(150).quickcheck(one_owner_keeps_the_bound as fn(u64, u8, u8));
}

/// The target becomes cold, restarts and stops reporting. The granted or used slots have to decrease
/// to the allowed slots within the lifetime of a grant and must not increase above them.
fn decreasing_capacity_keeps_the_bound(seed: u64, changes: Vec<u8>) {
    let mut simulation = Simulation::new(seed, 5, 8, FAULTY);
    let mut previous = 0;
    let mut history = Vec::new();
    let lifetime_steps = 1_500 / 5 + 1;
    for change in changes.into_iter().take(12) {
        match change % 5 {
            0 => simulation.report.boot_id += 1,
            1 => simulation.report.warm = !simulation.report.warm,
            2 => simulation.sends_reports = !simulation.sends_reports,
            3 => simulation.handle(0, OwnerInput::Blocked(change > 127)),
            _ => simulation.handle(0, OwnerInput::SuspectCold),
        }
        for _ in 0..usize::from(change) * 2 {
            simulation.step(6);
            history.push(simulation.allowed());
            let recent = &history[history.len().saturating_sub(lifetime_steps)..];
            let highest = recent.iter().copied().max().unwrap_or(0);
            let granted_or_used = simulation.granted_or_used();
            assert!(
                granted_or_used <= highest.max(previous),
                "{granted_or_used} slots are granted or used, above {highest}"
            );
            previous = granted_or_used;
        }
    }
}

#[test]
fn a_cold_target_gets_no_more_calls_than_its_window() {
    test_runner(60).quickcheck(decreasing_capacity_keeps_the_bound as fn(u64, Vec<u8>));
}

/// A new owner takes over repeatedly, while no instance is paused. Calls take at most 400 ms, and the
/// new owner waits for longer than that, so holders report all calls before it grants new slots.
fn takeover_keeps_the_bound(seed: u64, capacity: u8) {
    let capacity = 1 + u32::from(capacity % 8);
    let faults = Faults {
        pauses: false,
        ..FAULTY
    };
    let mut simulation = Simulation::new(seed, 5, capacity, faults);
    for step in 0..4_000 {
        if step % 700 == 699 {
            simulation.take_over();
        }
        simulation.step(4);
        let granted_or_used = simulation.granted_or_used();
        assert!(
            granted_or_used <= capacity,
            "{granted_or_used} of {capacity} slots at {}",
            simulation.now
        );
    }
}

#[test]
fn a_new_owner_keeps_the_bound() {
    test_runner(60).quickcheck(takeover_keeps_the_bound as fn(u64, u8));
}

/// An owner that was paused must not confirm held slots, because another owner may have granted
/// them to others. Otherwise a cold target gets a second call when its owner is resumed.
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
    let request_slots = |owner: &mut GrantOwner, now: Millis, sequence: u64, held: u32| {
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
    assert_eq!(request_slots(&mut owner, Millis(100), 1, 0), Some(1));
    // The owner was paused for three seconds, in which another owner granted the slot.
    let resumed = Millis(3_100);
    assert_eq!(request_slots(&mut owner, resumed, 2, 1), Some(0));
    let expiry_wait_ends = resumed + settings.lifetime_ms + settings.takeover_margin_ms;
    let mut now = resumed;
    while now < expiry_wait_ends {
        now = now + Millis(250);
        owner.handle(now, OwnerInput::Tick);
    }
    assert_eq!(request_slots(&mut owner, now, 3, 0), Some(1));
}

/// Checks that two owners at the same time at most double the slots, and that more calls than allowed
/// run for less than 40 % of the time. Prints the measured values.
fn two_owners_at_most_double(faults: Faults) {
    const ALLOWED: u32 = 6;
    const SEEDS: u64 = 40;
    const STEPS: u32 = 3_000;
    let (mut highest_sum, mut steps_above, mut sum) = (0, 0_u64, 0_u64);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, 6, ALLOWED, faults);
        for _ in 0..STEPS {
            simulation.step(6);
            highest_sum = highest_sum.max(simulation.granted_or_used());
            steps_above += u64::from(simulation.running() > ALLOWED);
            sum += u64::from(simulation.running());
        }
    }
    let steps = SEEDS * u64::from(STEPS);
    println!(
        "two owners, holders switch: {}, {ALLOWED} allowed: highest sum {highest_sum}, \
         mean running {:.1}, more than allowed running for {:.1} % of the time",
        faults.holders_switch_owner,
        sum as f64 / steps as f64,
        100.0 * steps_above as f64 / steps as f64
    );
    assert!(highest_sum <= 2 * ALLOWED);
    // The target's reports show each owner the calls of the other one, so both reduce their grants.
    assert!(
        steps_above * 100 < steps * 40,
        "the limit is exceeded for too long"
    );
}

#[test]
fn two_owners_at_once_at_most_double_the_slots() {
    let with_two_owners = Faults {
        two_owners: true,
        ..FAULTY
    };
    two_owners_at_most_double(with_two_owners);
    two_owners_at_most_double(Faults {
        holders_switch_owner: true,
        ..with_two_owners
    });
}

/// An owner that drops a live holder may grant its slots again while its calls continue. Checks that
/// this at most doubles the granted or used slots.
#[test]
fn live_holders_declared_dead_at_most_double_the_slots() {
    const ALLOWED: u32 = 6;
    let (mut highest_sum, mut steps_above) = (0, 0);
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, 6, ALLOWED, FAULTY);
        simulation.max_call_ms = 5_000;
        for step in 0..3_000 {
            if step % 100 == 99 {
                let holder = Instance::from_index(simulation.random.below(6) as u32);
                simulation.handle(0, OwnerInput::HolderDead(holder));
            }
            simulation.step(6);
            highest_sum = highest_sum.max(simulation.granted_or_used());
            steps_above += u32::from(simulation.granted_or_used() > ALLOWED);
        }
    }
    println!(
        "live holders declared dead, {ALLOWED} allowed: highest sum {highest_sum}, above for \
         {steps_above} of 120000 steps"
    );
    assert!(highest_sum <= 2 * ALLOWED);
}

/// When holders outnumber slots, a holder that renews its grant in time must not keep the slot from
/// the others.
#[test]
fn every_holder_gets_a_slot_in_turn() {
    for capacity in [1, 2, 3] {
        let mut simulation = Simulation::new(7, 6, capacity, NO_FAULTS);
        simulation.max_call_ms = 50;
        for _ in 0..4_000 {
            simulation.step(50);
        }
        let started_calls: Vec<u64> = simulation
            .instances
            .iter()
            .map(|instance| instance.started_calls)
            .collect();
        println!(
            "{capacity} slots: started calls {started_calls:?}, messages {}",
            simulation.messages
        );
        let total: u64 = started_calls.iter().sum();
        let fewest = started_calls.iter().min().copied().unwrap_or(0);
        assert!(
            fewest * 6 * 2 > total,
            "each gets at least half of a fair share: {started_calls:?}"
        );
        assert!(
            total > 4_000 / 10 * u64::from(capacity) / 2,
            "the slots are used: {started_calls:?}"
        );
    }
}

/// Holders that do not know of the drain have to stop when their grants expire.
#[test]
fn a_drained_target_gets_no_new_call_after_its_grants_expired() {
    let mut simulation = Simulation::new(3, 4, 8, FAULTY);
    for _ in 0..1_000 {
        simulation.step(6);
    }
    simulation.handle(0, OwnerInput::Blocked(true));
    let blocked_at = simulation.now;
    while simulation.now < blocked_at + Millis(5_000) {
        simulation.step(6);
    }
    let started_calls = |simulation: &Simulation| -> u64 {
        simulation
            .instances
            .iter()
            .map(|instance| instance.started_calls)
            .sum()
    };
    let before = started_calls(&simulation);
    for _ in 0..1_000 {
        simulation.step(6);
    }
    assert_eq!(started_calls(&simulation), before);
}

#[test]
fn slow_start_window_grows_with_warm_reports_and_shrinks_when_cold() {
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
    assert_eq!(
        slow_start.allowed(Millis(11_251)),
        1,
        "the last report is stale"
    );
    slow_start.on_report(Millis(13_000), stale);
    assert_eq!(
        slow_start.allowed(Millis(13_000)),
        1,
        "the new report is stale"
    );
}

/// The owner ignores sequence numbers that it has seen, so a new holder with the boot identifier of
/// its predecessor must not start its numbers again.
#[test]
fn an_idle_holder_can_be_created_again() {
    let mut simulation = Simulation::new(5, 1, 4, NO_FAULTS);
    for round in 1..=3 {
        simulation.instances[0].waiting = 2;
        for _ in 0..800 {
            simulation.step(0);
        }
        assert_eq!(simulation.instances[0].started_calls, 2 * round);
        let holder = &mut simulation.instances[0].holder;
        assert!(holder.is_idle(simulation.now), "{holder:?}");
        assert_eq!(simulation.owners[0].reserved(), 0);
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
    test_runner(3_000).quickcheck(division_is_fair as fn(u8, Vec<(u8, u8, u8)>) -> bool);
}
