//! Guards against instances that together send a target more requests than the limit that it names,
//! although each of them keeps to a limit of its own.

use crate::support::most_in_window;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_limits::LimitReport;
use arbutus_policy::serving::target_limits::SenderRank;
use arbutus_policy::serving::target_limits::TargetLimits;

const TARGET: &str = "t";
/// Requests in a window of this length count against a limit.
const WINDOW_MS: u64 = 4_000;
/// Time between two requests that each instance would like to send.
const DEMAND_INTERVAL_MS: u64 = 100;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i{index}")).collect()
}

fn rank(names: &[String], local: &str) -> SenderRank {
    let peers = names.iter().filter(|name| *name != local);
    SenderRank::of(
        TARGET,
        domain(TARGET),
        (local, domain(local)),
        peers.map(|name| (name.as_str(), domain(name))),
    )
}

/// Returns the failure domain of an instance or target.
fn domain(name: &str) -> &'static str {
    ["x", "y", "z"][name.len() % 3]
}

/// Returns limits that know of one, named at a time.
fn limited(named_at: Millis, max_requests_per_s: f64) -> TargetLimits {
    let mut limits = TargetLimits::default();
    let report = limits.record_response(named_at, TARGET, Some(max_requests_per_s), named_at);
    assert!(report.is_some(), "peers are told of a new limit");
    limits
}

/// Returns when instances send requests to a target that names a limit at time 0, if each of them
/// has more requests than it may send.
fn sends(instances: usize, max_requests_per_s: f64, duration_ms: u64) -> Vec<Millis> {
    let names = names(instances);
    let mut states: Vec<(SenderRank, TargetLimits)> = names
        .iter()
        .map(|name| {
            let limits = limited(Millis::ZERO, max_requests_per_s);
            (rank(&names, name), limits)
        })
        .collect();
    let mut sends = Vec::new();
    for now in 0..duration_ms {
        for index in 0..instances {
            let has_request = (now + index as u64 * 7).is_multiple_of(DEMAND_INTERVAL_MS);
            let (rank, limits) = &mut states[index];
            if !has_request || !limits.try_take(Millis(now), TARGET, *rank) {
                continue;
            }
            sends.push(Millis(now));
            let (sent_at, responded_at) = (Millis(now), Millis(now + 5));
            let report =
                limits.record_response(responded_at, TARGET, Some(max_requests_per_s), sent_at);
            if let Some(report) = report {
                for (_, peer) in &mut states {
                    peer.merge(Millis(now + 30), &report);
                }
            }
        }
    }
    sends
}

#[test]
fn all_instances_together_keep_to_the_limit_and_use_most_of_it() {
    for instances in [1, 2, 17, 126] {
        for max_requests_per_s in [0.25, 1.0, 2.5, 8.0, 40.0] {
            let sends = sends(instances, max_requests_per_s, 40_000);
            let case = format!("{instances} instances, {max_requests_per_s} a second");
            let most = most_in_window(&sends, WINDOW_MS);
            let allowed = 1.5 * max_requests_per_s * 4.0 + 5.0;
            assert!(most as f64 <= allowed, "{case}: {most}");
            // The demand of a single instance is 10 requests per second.
            let possible_per_s = max_requests_per_s.min(instances as f64 * 10.0);
            let expected = possible_per_s * 40.0 * 0.5;
            assert!(sends.len() as f64 >= expected, "{case}: {}", sends.len());
        }
    }
}

/// Guards against a burst of all instances at the moment at which they learn of a limit.
#[test]
fn no_instance_has_a_permit_when_it_learns_of_a_limit() {
    let names = names(17);
    for name in &names {
        let mut told = limited(Millis(1_000), 1.0);
        assert!(!told.try_take(Millis(1_000), TARGET, rank(&names, name)));
        let mut reported = TargetLimits::default();
        for report in told.reports(Millis(1_200)) {
            assert!(reported.merge(Millis(1_250), &report));
        }
        assert!(!reported.try_take(Millis(1_250), TARGET, rank(&names, name)));
    }
}

/// Guards against a target that gets no requests, because the instances that may send to it are
/// lost, and whose limit therefore never ends.
#[test]
fn a_limit_of_zero_is_asked_about_and_ends_without_confirmation() {
    let sends = sends(17, 0.0, 60_000);
    assert!((3..=8).contains(&sends.len()), "{sends:?}");
    let limits = limited(Millis::ZERO, 1.0);
    assert_eq!(limits.known(Millis(29_999), TARGET), Some(1.0));
    assert_eq!(limits.known(Millis(30_000), TARGET), None);
    assert_eq!(limits.reports(Millis(30_000)), []);
}

/// Guards against a limit that lasts longer than the target names it, or that ends because a
/// response without it was on its way when it began.
#[test]
fn only_a_later_request_shows_that_a_limit_has_ended() {
    let mut limits = limited(Millis(1_000), 2.0);
    let sent_before = limits.record_response(Millis(1_010), TARGET, None, Millis(990));
    assert_eq!(sent_before, None);
    assert_eq!(limits.known(Millis(1_010), TARGET), Some(2.0));
    let ended = limits.record_response(Millis(2_000), TARGET, None, Millis(1_990));
    let ended = ended.expect("peers are told of the end");
    assert_eq!(ended.max_requests_per_s, None);
    assert!(limits.try_take(Millis(2_000), TARGET, SenderRank::Only));
    // A peer that heard of the limit before its end does not revive it.
    let older = LimitReport {
        target: TARGET.to_owned(),
        max_requests_per_s: Some(2.0),
        age_ms: Millis(500),
    };
    assert!(!limits.merge(Millis(2_100), &older));
    assert_eq!(limits.known(Millis(2_100), TARGET), None);
    let mut peer = limited(Millis(1_500), 2.0);
    assert!(peer.merge(Millis(2_050), &ended));
    assert_eq!(peer.known(Millis(2_050), TARGET), None);
}

/// Guards against a limited target that gets no requests, because the instances that may send to it
/// prefer targets of their own failure domains.
#[test]
fn instances_of_the_domain_of_the_target_send_first() {
    let peers = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y"), ("e", "z")];
    let position = |local: (&str, &str)| {
        let others = peers.iter().copied().filter(|peer| *peer != local);
        match SenderRank::of(TARGET, "y", local, others) {
            SenderRank::OneOf { position, .. } => position,
            SenderRank::Only => unreachable!("any instance may send"),
        }
    };
    let mut ranked = peers;
    ranked.sort_by_key(|&peer| position(peer));
    let positions: Vec<usize> = ranked.iter().map(|&peer| position(peer)).collect();
    assert_eq!(positions, [0, 1, 2, 3, 4]);
    assert!(
        ranked[..2].iter().all(|&(_, domain)| domain == "y"),
        "{ranked:?}"
    );
}

/// Guards against a report to all peers for each response of a limited target.
#[test]
fn peers_are_told_of_changes_and_from_time_to_time() {
    let mut limits = limited(Millis::ZERO, 2.0);
    let mut reports = 0;
    for now in (100..10_000).step_by(100) {
        let report = limits.record_response(Millis(now), TARGET, Some(2.0), Millis(now - 50));
        reports += usize::from(report.is_some());
    }
    assert_eq!(reports, 1);
    let changed = limits.record_response(Millis(10_050), TARGET, Some(0.5), Millis(10_000));
    let changed = changed.expect("peers are told of a change");
    assert_eq!(changed.max_requests_per_s, Some(0.5));
    // Without a limit, nothing is reported.
    let mut unlimited = TargetLimits::default();
    assert_eq!(
        unlimited.record_response(Millis(1), TARGET, None, Millis(0)),
        None
    );
    let malformed = LimitReport {
        max_requests_per_s: Some(f64::NAN),
        ..changed
    };
    assert!(!unlimited.merge(Millis(1), &malformed));
}
