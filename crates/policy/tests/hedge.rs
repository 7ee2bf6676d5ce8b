//! Guards against a slow service that gets twice the load because all calls to it are hedged, and
//! against a hedge delay that does not follow the recent latencies.

mod common;

use arbutus_coord::Millis;
use arbutus_policy::hedge::HedgePolicy;
use arbutus_policy::hedge::HedgeSettings;

/// Checks that hedges stay within `max_percent` of the calls.
///
/// Each step is one call. It has the time since the previous call in milliseconds and a number: the
/// latency of the call, and modulo 3 how often a hedge is tried.
fn hedges_are_a_bounded_share(steps: Vec<(u8, u8)>) -> bool {
    let settings = HedgeSettings::default();
    let mut policy = HedgePolicy::new(settings);
    let mut now = Millis::ZERO;
    let (mut calls, mut hedges) = (0_u64, 0_u64);
    for (gap, number) in steps {
        now = now + Millis(u64::from(gap));
        calls += 1;
        policy.start_call();
        for _ in 0..number % 3 {
            hedges += u64::from(policy.try_hedge());
        }
        policy.record_latency(now, Millis(u64::from(number)));
    }
    hedges * 100 <= calls * u64::from(settings.max_percent)
}

#[test]
fn at_most_a_tenth_of_the_calls_is_hedged() {
    common::checker(2_000).quickcheck(hedges_are_a_bounded_share as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn the_delay_is_the_95th_percentile_of_recent_calls() {
    let mut policy = HedgePolicy::new(HedgeSettings::default());
    assert_eq!(policy.start_call(), None);
    for latency in 1..=100 {
        policy.record_latency(Millis(latency), Millis(latency));
    }
    assert_eq!(policy.start_call(), Some(Millis(95)));
    for latency in 0..100 {
        policy.record_latency(Millis(200_000 + latency), Millis(10));
    }
    assert_eq!(
        policy.start_call(),
        Some(Millis(10)),
        "old latencies should be dropped"
    );
}
