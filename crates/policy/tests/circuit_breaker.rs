//! Guards against calls to failing targets, against several probes of a target at once, and against
//! outlier detection that excludes most targets.

mod common;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Target;
use arbutus_policy::circuit_breaker::CallOutcome;
use arbutus_policy::circuit_breaker::CircuitBreakerSettings;
use arbutus_policy::circuit_breaker::CircuitBreakers;
use arbutus_policy::circuit_breaker::Permit;

const OK: CallOutcome = CallOutcome::Success {
    latency_ms: Millis(10),
};
const SLOW: CallOutcome = CallOutcome::Success {
    latency_ms: Millis(100),
};

fn target(index: u32) -> Target {
    Target::from_index(index)
}

#[test]
fn consecutive_failures_open_a_breaker_and_a_probe_closes_it() {
    let settings = CircuitBreakerSettings::default();
    let mut breakers = CircuitBreakers::new(settings);
    for _ in 1..settings.consecutive_failures {
        assert!(!breakers.record_outcome(Millis(0), target(0), CallOutcome::Failure));
    }
    assert!(breakers.record_outcome(Millis(0), target(0), CallOutcome::Failure));
    assert_eq!(breakers.start_call(Millis(999), target(0)), Permit::Refused);
    assert_eq!(breakers.start_call(Millis(1_000), target(0)), Permit::Probe);
    assert_eq!(
        breakers.start_call(Millis(1_001), target(0)),
        Permit::Refused
    );
    assert!(!breakers.record_outcome(Millis(1_002), target(0), CallOutcome::Failure));
    assert_eq!(
        breakers.call_permit(Millis(3_001), target(0)),
        Permit::Refused
    );
    assert_eq!(breakers.start_call(Millis(3_002), target(0)), Permit::Probe);
    assert!(breakers.record_outcome(Millis(3_003), target(0), OK));
    assert_eq!(
        breakers.start_call(Millis(3_004), target(0)),
        Permit::Allowed
    );
}

#[test]
fn a_slow_or_failing_outlier_opens_its_breaker() {
    for outlier in [SLOW, CallOutcome::Failure] {
        let mut breakers = CircuitBreakers::new(CircuitBreakerSettings::default());
        for step in 0..60_u64 {
            for index in 0..4 {
                let is_outlier = index == 3 && (outlier == SLOW || step % 2 == 0);
                breakers.record_outcome(
                    Millis(step),
                    target(index),
                    if is_outlier { outlier } else { OK },
                );
            }
        }
        assert_eq!(
            breakers.call_permit(Millis(60), target(3)),
            Permit::Refused,
            "{outlier:?}"
        );
        assert_eq!(breakers.open_breaker_count(), 1);
    }
}

/// Checks that at most a third of the breakers are open, and that the probes of a target are at
/// least the open time apart.
///
/// Each step has the time since the previous step in units of 4 ms, the target of a call and its
/// outcome. The threshold of consecutive failures is never reached, so only outlier detection opens
/// breakers.
fn open_breakers_and_probes_are_bounded(steps: Vec<(u8, u8, u8)>) -> bool {
    let settings = CircuitBreakerSettings {
        consecutive_failures: u32::MAX,
        min_samples: 3,
        ..CircuitBreakerSettings::default()
    };
    let mut breakers = CircuitBreakers::new(settings);
    let mut now = Millis::ZERO;
    let mut last_probes = [None; 6];
    for (gap, index, outcome) in steps {
        now = now + Millis(u64::from(gap) * 4);
        let target_index = usize::from(index % 6);
        let target = target(u32::from(index % 6));
        if breakers.start_call(now, target) == Permit::Probe {
            let last_probe: &mut Option<Millis> = &mut last_probes[target_index];
            let is_spaced = last_probe.is_none_or(|last| now >= last + settings.open_ms);
            assert!(is_spaced, "two probes of a target within the open time");
            *last_probe = Some(now);
        }
        let outcome = match outcome % 4 {
            0 | 1 => OK,
            2 => SLOW,
            _ => CallOutcome::Failure,
        };
        breakers.record_outcome(now, target, outcome);
        // `max_outlier_percent` allows two of six open breakers.
        if breakers.open_breaker_count() > 2 {
            return false;
        }
    }
    true
}

#[test]
fn outliers_open_at_most_a_third_of_the_breakers_and_probes_are_spaced() {
    common::checker(2_000)
        .quickcheck(open_breakers_and_probes_are_bounded as fn(Vec<(u8, u8, u8)>) -> bool);
}
