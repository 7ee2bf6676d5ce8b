//! Guards against too many retries, too many requests to cold targets, and quarantines of requests
//! that crash no targets. The limits on retries and on requests to cold targets apply to the sum
//! over all instances, which do not communicate about them.

use crate::support::most_in_window;
use arbutus_coord::Millis;
use arbutus_policy::serving::cold_targets;
use arbutus_policy::serving::cold_targets::ColdTargetPacer;
use arbutus_policy::serving::crash_quarantine;
use arbutus_policy::serving::crash_quarantine::CrashPhase;
use arbutus_policy::serving::crash_quarantine::CrashQuarantine;
use arbutus_policy::serving::crash_quarantine::CrashReport;
use arbutus_policy::serving::prompt_quarantine::TargetHash;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_policy::serving::retry_budget::WindowedRetryBudget;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra_retries: 119.0,
    window_ms: Millis(10_000),
};

#[test]
fn retries_of_all_instances_stay_within_the_bound_when_every_request_fails() {
    for instances in [1, 17, 126] {
        let mut retries = Vec::new();
        let mut requests = 0;
        for _ in 0..instances {
            let mut budget = WindowedRetryBudget::default();
            for step in 0..300 {
                let now = Millis(step * 50);
                if step % 5 == 0 {
                    budget.record_request(now, &LIMITS);
                    requests += 1;
                }
                if budget.try_retry(now, &LIMITS, instances) {
                    retries.push(now);
                }
            }
        }
        let requests_in_window = f64::from(requests) * 10.0 / 15.0;
        let bound = LIMITS.ratio * requests_in_window + LIMITS.extra_retries;
        let max_count = most_in_window(&retries, LIMITS.window_ms.0);
        assert!(
            max_count as f64 <= bound,
            "{instances}: {max_count} > {bound}"
        );
        assert!(max_count > 0, "{instances}: no retry at all");
    }
}

/// Returns the maximum number of requests that a cold target gets in one second when all instances
/// send as often as they may. The last `unlisted` instances are missing from the lists of all
/// others.
fn max_requests_to_cold_target(instances: usize, unlisted: usize, tolerated_per_s: f64) -> usize {
    let names: Vec<String> = (0..instances).map(|index| format!("i{index}")).collect();
    let mut sent = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let known = names[..instances - unlisted].iter().map(String::as_str);
        let others = known.filter(|other| other != name);
        if !cold_targets::is_designated_sender("cold", name, others, tolerated_per_s) {
            continue;
        }
        let mut pacer = ColdTargetPacer::default();
        // The instances start at different times within a second.
        for step in 0..2_000_u64 {
            let now = Millis(step * 5 + index as u64 * 7 % 1_000);
            if pacer.may_send(now, "cold") {
                pacer.record_send(now, "cold");
                sent.push(now);
            }
        }
    }
    most_in_window(&sent, 1_000)
}

#[test]
fn a_cold_target_gets_no_more_than_it_tolerates_from_all_instances() {
    // The limit in the deployment is 1.5 times 8.9 requests per second, plus 5.
    let tolerated_per_s = 8.9 * 1.5 + 5.0;
    for instances in [1, 17, 25, 126, 300] {
        for unlisted in [0, instances / 10] {
            let max_count = max_requests_to_cold_target(instances, unlisted, tolerated_per_s);
            assert!(
                max_count as f64 <= tolerated_per_s,
                "{instances}: {max_count}"
            );
            assert!(max_count > 0, "{instances}: no instance may send");
        }
    }
}

fn run_of(target: &str) -> TargetHash {
    TargetHash::new(target, Some(1))
}

#[test]
fn a_request_that_crashed_two_targets_is_quarantined_at_every_instance() {
    let fingerprint = crash_quarantine::fingerprint("/x", "bakers", b"body");
    let mut first = CrashQuarantine::new();
    let mut second = CrashQuarantine::new();
    let now = Millis(1_000);
    first.record_crash(now, fingerprint, run_of("a"), CrashPhase::BeforeResponse);
    assert_eq!(first.remaining(now, fingerprint), None);
    let entry = first
        .record_crash(now, fingerprint, run_of("b"), CrashPhase::BeforeResponse)
        .expect("the request is quarantined");
    second.merge(now, &entry);
    assert!(first.remaining(now, fingerprint).is_some());
    assert!(second.remaining(now, fingerprint).is_some());
    for other in [
        crash_quarantine::fingerprint("/y", "bakers", b"body"),
        crash_quarantine::fingerprint("/x", "others", b"body"),
        crash_quarantine::fingerprint("/x", "bakers", b"other"),
    ] {
        assert_eq!(second.remaining(now, other), None);
    }
}

#[test]
fn failures_at_one_target_count_as_one_crash() {
    let fingerprint = crash_quarantine::fingerprint("/x", "bakers", b"body");
    let mut quarantine = CrashQuarantine::new();
    let now = Millis(1_000);
    for _ in 0..5 {
        quarantine.record_crash(now, fingerprint, run_of("a"), CrashPhase::BeforeResponse);
    }
    assert_eq!(quarantine.remaining(now, fingerprint), None);
}

/// Guards against a frequent request that is refused for a minute at instances that had no response
/// of their own before connections broke.
#[test]
fn a_recent_response_of_a_peer_ends_a_quarantine() {
    let fingerprint = crash_quarantine::fingerprint("/popular", "bakers", b"");
    let mut peer = CrashQuarantine::new();
    peer.record_response(Millis(20_000), fingerprint);
    let age_ms = peer.recent_response_age(Millis(45_000), fingerprint);
    assert_eq!(age_ms, Some(Millis(25_000)));
    assert_eq!(peer.recent_response_age(Millis(50_000), fingerprint), None);
    let mut quarantine = CrashQuarantine::new();
    for target in ["a", "b"] {
        quarantine.record_crash(
            Millis(44_000),
            fingerprint,
            run_of(target),
            CrashPhase::BeforeResponse,
        );
    }
    assert!(quarantine.remaining(Millis(45_000), fingerprint).is_some());
    assert!(!quarantine.record_peer_response(Millis(45_000), fingerprint, Millis(30_000)));
    assert!(quarantine.record_peer_response(Millis(45_000), fingerprint, Millis(25_000)));
    assert_eq!(quarantine.remaining(Millis(45_000), fingerprint), None);
    // The quarantine does not come back when the response is no longer recent.
    assert_eq!(quarantine.remaining(Millis(51_000), fingerprint), None);
    // The instance already knows of a response, and tells its peers no more of it.
    assert!(!quarantine.record_peer_response(Millis(46_000), fingerprint, Millis(1_000)));
}

#[test]
fn a_request_with_a_recent_response_is_not_quarantined() {
    // Otherwise two broken connections would block a frequent request at all instances for a
    // minute.
    let fingerprint = crash_quarantine::fingerprint("/popular", "bakers", b"");
    let mut with_response = CrashQuarantine::new();
    with_response.record_response(Millis(1_000), fingerprint);
    assert_eq!(
        with_response.record_crash(
            Millis(2_000),
            fingerprint,
            run_of("a"),
            CrashPhase::BeforeResponse
        ),
        None
    );
    assert_eq!(
        with_response.record_crash(
            Millis(2_000),
            fingerprint,
            run_of("b"),
            CrashPhase::BeforeResponse
        ),
        None
    );
    assert_eq!(with_response.remaining(Millis(2_000), fingerprint), None);
    // An entry from another instance does not count either until the last response is 30 s old.
    let mut other = CrashQuarantine::new();
    other.record_crash(
        Millis(2_000),
        fingerprint,
        run_of("a"),
        CrashPhase::BeforeResponse,
    );
    let entry = other.record_crash(
        Millis(2_000),
        fingerprint,
        run_of("b"),
        CrashPhase::BeforeResponse,
    );
    with_response.merge(Millis(2_000), &entry.expect("the request is quarantined"));
    assert_eq!(with_response.remaining(Millis(2_000), fingerprint), None);
    assert!(other.remaining(Millis(2_000), fingerprint).is_some());
    assert!(
        with_response
            .remaining(Millis(32_000), fingerprint)
            .is_some()
    );
}

/// Guards against a response that clears its request when it begins, and against a request that is
/// quarantined after two targets ended for other reasons while they responded.
#[test]
fn a_request_that_crashed_three_targets_within_its_response_is_quarantined() {
    let fingerprint = crash_quarantine::fingerprint("/x", "bakers", b"body");
    let mut first = CrashQuarantine::new();
    let mut second = CrashQuarantine::new();
    let now = Millis(1_000);
    let crash = |quarantine: &mut CrashQuarantine, target: TargetHash| {
        let report = quarantine.record_crash(now, fingerprint, target, CrashPhase::WithinResponse);
        report.expect("the request got no response")
    };
    // Two runs of a target that starts again under its identifier count as two.
    second.merge(now, &crash(&mut first, TargetHash::new("a", Some(1))));
    second.merge(now, &crash(&mut first, TargetHash::new("a", Some(2))));
    assert_eq!(second.remaining(now, fingerprint), None);
    first.merge(now, &crash(&mut second, run_of("b")));
    assert!(first.remaining(now, fingerprint).is_some());
    assert!(second.remaining(now, fingerprint).is_some());
}

/// Guards against a request that harms no target and is refused for a minute, because it was in
/// progress wherever another one crashed a target, and against trials by each instance.
#[test]
fn one_instance_tries_a_quarantined_request_once() {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    let due = |quarantines: &[CrashQuarantine], now: Millis, fingerprint| {
        let due = (0..NAMES.len()).filter(|&index| {
            let peers = NAMES.into_iter().filter(|name| *name != NAMES[index]);
            quarantines[index].is_trial_due(now, fingerprint)
                && crash_quarantine::is_tester(NAMES[index], peers)
        });
        due.collect::<Vec<usize>>()
    };
    for body in [b"one", b"two"] {
        let fingerprint = crash_quarantine::fingerprint("/x", "bakers", body);
        let mut quarantines: Vec<CrashQuarantine> =
            NAMES.iter().map(|_| CrashQuarantine::new()).collect();
        for target in ["a", "b"] {
            let report = quarantines[0].record_crash(
                Millis(1_000),
                fingerprint,
                run_of(target),
                CrashPhase::BeforeResponse,
            );
            let report = report.expect("the request got no response");
            for quarantine in &mut quarantines[1..] {
                quarantine.merge(Millis(1_100), &report);
            }
        }
        assert_eq!(due(&quarantines, Millis(2_900), fingerprint), []);
        let allowed = due(&quarantines, Millis(3_200), fingerprint);
        let [tester] = allowed[..] else {
            panic!("{allowed:?} may try the request");
        };
        quarantines[tester].begin_trial(fingerprint);
        assert_eq!(due(&quarantines, Millis(3_200), fingerprint), []);
        let report = quarantines[tester].record_crash(
            Millis(3_300),
            fingerprint,
            run_of("c"),
            CrashPhase::WithinResponse,
        );
        quarantines[tester].end_trial(Millis(3_300), fingerprint, true);
        let report = report.expect("the trial failed");
        // An instance that starts now learns the same from any other one.
        let mut restarted = CrashQuarantine::new();
        for known in quarantines[tester].reports(Millis(3_300), 8) {
            restarted.merge(Millis(3_300), &known);
        }
        let remaining = restarted.remaining(Millis(3_300), fingerprint);
        assert!(remaining.is_some());
        for quarantine in &mut quarantines {
            quarantine.merge(Millis(3_400), &report);
        }
        quarantines[(tester + 1) % NAMES.len()] = restarted;
        assert_eq!(due(&quarantines, Millis(20_000), fingerprint), []);
    }
}

/// Guards against a quarantine that outlasts a complete response to the trial.
#[test]
fn a_complete_response_ends_a_quarantine() {
    let fingerprint = crash_quarantine::fingerprint("/popular", "bakers", b"");
    let mut quarantine = CrashQuarantine::new();
    for target in ["a", "b", "c"] {
        quarantine.record_crash(
            Millis(1_000),
            fingerprint,
            run_of(target),
            CrashPhase::BeforeResponse,
        );
    }
    assert!(quarantine.is_trial_due(Millis(3_000), fingerprint));
    quarantine.begin_trial(fingerprint);
    assert!(quarantine.record_response(Millis(3_100), fingerprint));
    assert_eq!(quarantine.remaining(Millis(40_000), fingerprint), None);
    // There is nothing to tell other instances any more.
    assert!(!quarantine.record_response(Millis(3_200), fingerprint));
}

/// Guards against two requests that are tried together: both are blamed for the crash that one of
/// them causes.
#[test]
fn requests_are_tried_one_after_the_other() {
    let [first, second] = [b"one", b"two"].map(|body| crash_quarantine::fingerprint("/", "", body));
    let mut quarantine = CrashQuarantine::new();
    for target in ["a", "b"] {
        for fingerprint in [first, second] {
            let phase = CrashPhase::BeforeResponse;
            quarantine.record_crash(Millis(1_000), fingerprint, run_of(target), phase);
        }
    }
    assert!(quarantine.is_trial_due(Millis(3_000), first));
    quarantine.begin_trial(first);
    assert!(!quarantine.is_trial_due(Millis(3_000), second));
    // No target accepted the request.
    quarantine.end_trial(Millis(3_100), first, false);
    assert!(quarantine.is_trial_due(Millis(3_100), first));
    quarantine.begin_trial(first);
    // The client left before the response.
    quarantine.end_trial(Millis(3_500), first, true);
    assert!(quarantine.is_trial_due(Millis(3_500), second));
    assert!(!quarantine.is_trial_due(Millis(20_000), first));
    assert!(quarantine.is_trial_due(Millis(24_000), first));
}

/// Guards against an instance that never hears of a quarantine, because it was unreachable when the
/// crashes were reported, and against reminders that grow with the number of instances.
#[test]
fn instances_are_reminded_of_quarantined_requests() {
    let quarantined = crash_quarantine::fingerprint("/quarantined", "bakers", b"");
    let popular = crash_quarantine::fingerprint("/popular", "bakers", b"");
    let mut quarantine = CrashQuarantine::new();
    quarantine.record_response(Millis(1_000), popular);
    for target in ["a", "b"] {
        for fingerprint in [quarantined, popular] {
            let phase = CrashPhase::BeforeResponse;
            quarantine.record_crash(Millis(1_000), fingerprint, run_of(target), phase);
        }
    }
    let mut reminded = |now: u64, peers: usize| {
        let reports = quarantine.take_reminders(Millis(now), peers, 64);
        reports
            .iter()
            .filter_map(CrashReport::fingerprint)
            .collect::<Vec<_>>()
    };
    assert_eq!(reminded(1_000, 16), [quarantined]);
    assert_eq!(reminded(5_900, 16), []);
    assert_eq!(reminded(6_000, 16), [quarantined]);
    assert_eq!(reminded(39_900, 1_700), []);
    assert_eq!(reminded(40_000, 1_700), [quarantined]);
    assert_eq!(reminded(61_000, 16), []);
}
