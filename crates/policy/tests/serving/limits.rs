//! Guards against too many repeated sends and too many requests at cold targets, summed over all
//! instances, which exchange nothing about them.

use arbutus_coord::Millis;
use arbutus_policy::serving::cold_targets;
use arbutus_policy::serving::cold_targets::ColdTargetPacer;
use arbutus_policy::serving::crash_quarantine;
use arbutus_policy::serving::crash_quarantine::CrashQuarantine;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_policy::serving::retry_budget::WindowedRetryBudget;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra_retries: 119.0,
    window_ms: Millis(10_000),
};

/// Returns the most events in any window of a length.
fn most_in_window(times: &[Millis], length_ms: u64) -> usize {
    times
        .iter()
        .map(|&start| {
            let inside = times
                .iter()
                .filter(|&&time| time >= start && time < start + Millis(length_ms));
            inside.count()
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn repeats_of_all_instances_stay_within_the_bound_when_every_request_fails() {
    for instances in [1, 17, 126] {
        let mut repeats = Vec::new();
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
                    repeats.push(now);
                }
            }
        }
        let requests_in_window = f64::from(requests) * 10.0 / 15.0;
        let bound = LIMITS.ratio * requests_in_window + LIMITS.extra_retries;
        let most = most_in_window(&repeats, LIMITS.window_ms.0);
        assert!(most as f64 <= bound, "{instances}: {most} > {bound}");
        assert!(most > 0, "{instances}: no repeat at all");
    }
}

/// Returns the most requests in a second that a cold target gets from instances that send as often
/// as they may, where the last `unknown` instances are not in the lists of the others.
fn most_cold_sends(instances: usize, unknown: usize, tolerated_per_s: f64) -> usize {
    let names: Vec<String> = (0..instances).map(|index| format!("i{index}")).collect();
    let mut sent = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let known = names[..instances - unknown].iter().map(String::as_str);
        let others = known.filter(|other| other != name);
        if !cold_targets::is_designated_sender("cold", name, others, tolerated_per_s) {
            continue;
        }
        let mut sends = ColdTargetPacer::default();
        // Instances begin at different times within a second.
        for step in 0..2_000_u64 {
            let now = Millis(step * 5 + index as u64 * 7 % 1_000);
            if sends.may_send(now, "cold") {
                sends.record_send(now, "cold");
                sent.push(now);
            }
        }
    }
    most_in_window(&sent, 1_000)
}

#[test]
fn a_cold_target_gets_no_more_than_it_tolerates_from_all_instances() {
    // 8.9 requests a second, times 1.5 and 5 more: the bound of the deployment.
    let tolerated_per_s = 8.9 * 1.5 + 5.0;
    for instances in [1, 17, 25, 126, 300] {
        for unknown in [0, instances / 10] {
            let most = most_cold_sends(instances, unknown, tolerated_per_s);
            assert!(most as f64 <= tolerated_per_s, "{instances}: {most}");
            assert!(most > 0, "{instances}: nobody may send");
        }
    }
}

#[test]
fn a_request_that_crashed_two_targets_is_quarantined_at_every_instance() {
    let print = crash_quarantine::fingerprint("/x", "bakers", b"body");
    let mut first = CrashQuarantine::new();
    let mut second = CrashQuarantine::new();
    let now = Millis(1_000);
    first.record_crash(now, print, "a");
    assert_eq!(first.remaining(now, print), None);
    let entry = first.record_crash(now, print, "b").expect("it is shared");
    second.merge(now, &entry);
    assert!(first.remaining(now, print).is_some());
    assert!(second.remaining(now, print).is_some());
    for other in [
        crash_quarantine::fingerprint("/y", "bakers", b"body"),
        crash_quarantine::fingerprint("/x", "others", b"body"),
        crash_quarantine::fingerprint("/x", "bakers", b"other"),
    ] {
        assert_eq!(second.remaining(now, other), None);
    }
}

#[test]
fn requests_in_progress_at_one_target_count_as_one_crash() {
    let print = crash_quarantine::fingerprint("/x", "bakers", b"body");
    let mut crashing = CrashQuarantine::new();
    let now = Millis(1_000);
    for _ in 0..5 {
        crashing.record_crash(now, print, "a");
    }
    assert_eq!(crashing.remaining(now, print), None);
}

#[test]
fn a_request_that_is_answered_elsewhere_is_not_quarantined() {
    // Two lost connections refused a popular lookup for a minute at every instance.
    let print = crash_quarantine::fingerprint("/popular", "bakers", b"");
    let mut answering = CrashQuarantine::new();
    answering.record_response(Millis(1_000), print);
    assert_eq!(answering.record_crash(Millis(2_000), print, "a"), None);
    assert_eq!(answering.record_crash(Millis(2_000), print, "b"), None);
    assert_eq!(answering.remaining(Millis(2_000), print), None);
    // What another instance reports does not count either while answers come.
    let mut other = CrashQuarantine::new();
    other.record_crash(Millis(2_000), print, "a");
    let entry = other.record_crash(Millis(2_000), print, "b");
    answering.merge(Millis(2_000), &entry.expect("it is shared"));
    assert_eq!(answering.remaining(Millis(2_000), print), None);
    assert!(other.remaining(Millis(2_000), print).is_some());
    assert!(answering.remaining(Millis(32_000), print).is_some());
}
