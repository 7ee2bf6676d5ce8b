//! Guards against a request that crashes one target after another, against a quarantine of requests
//! that did not fail twice, and against entries that never expire or use unbounded memory because
//! instances keep sending them to each other.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutus_coord::Millis;
use arbutus_policy::quarantine::AttemptHash;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::quarantine::Quarantine;
use arbutus_policy::quarantine::QuarantineSettings;

const SETTINGS: QuarantineSettings = QuarantineSettings {
    duration_ms: Millis(10_000),
    max_entries: 8,
};

#[test]
fn failures_of_two_distinct_attempts_quarantine_at_all_instances() {
    let mut first = Quarantine::new(SETTINGS);
    let mut second = Quarantine::new(SETTINGS);
    let fingerprint = Fingerprint(1);
    let entry = first.record_failure(Millis(0), fingerprint, AttemptHash(1));
    assert_eq!(
        first.record_failure(Millis(1), fingerprint, AttemptHash(1)),
        first_entry(&first, 1)
    );
    assert_eq!(
        first.remaining(Millis(1), fingerprint),
        None,
        "an attempt should count once"
    );
    let entry = entry.expect("a new entry should be sent");
    assert!(second.merge(Millis(2), &entry));
    assert!(!second.merge(Millis(3), &entry));
    let entry_with_both = second.record_failure(Millis(4), fingerprint, AttemptHash(2));
    assert!(second.remaining(Millis(4), fingerprint).is_some());
    assert!(first.merge(
        Millis(5),
        &entry_with_both.expect("a new entry should be sent")
    ));
    assert!(first.remaining(Millis(5), fingerprint).is_some());
    assert_eq!(
        first.remaining(Millis(10_005), fingerprint),
        None,
        "the quarantine should expire"
    );
}

fn first_entry(
    quarantine: &Quarantine,
    now: u64,
) -> Option<arbutus_policy::quarantine::QuarantineEntry> {
    quarantine.entries(Millis(now), 1).pop()
}

#[test]
fn a_success_clears_a_single_failure_only() {
    let mut quarantine = Quarantine::new(SETTINGS);
    quarantine.record_failure(Millis(0), Fingerprint(1), AttemptHash(1));
    quarantine.record_success(Fingerprint(1));
    quarantine.record_failure(Millis(1), Fingerprint(1), AttemptHash(2));
    assert_eq!(quarantine.remaining(Millis(1), Fingerprint(1)), None);
    quarantine.record_failure(Millis(2), Fingerprint(1), AttemptHash(3));
    quarantine.record_success(Fingerprint(1));
    assert!(quarantine.remaining(Millis(2), Fingerprint(1)).is_some());
}

/// Checks that only requests with two failed attempts are quarantined, that the number of
/// fingerprints stays bounded, and that all entries expire.
///
/// Three instances record failures and exchange all entries after every step. Each step has the
/// time since the previous step in units of 4 ms, the instance, the fingerprint and the attempt.
/// The message delay is below the time that each hop subtracts from an entry.
fn entries_are_correct_and_expire(steps: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut instances = vec![Quarantine::new(SETTINGS); 3];
    let mut now = Millis::ZERO;
    let mut failures: BTreeMap<Fingerprint, BTreeSet<AttemptHash>> = BTreeMap::new();
    for (gap, instance, fingerprint, attempt) in steps {
        now = now + Millis(u64::from(gap) * 4);
        let fingerprint = Fingerprint(u64::from(fingerprint % 12));
        let attempt = AttemptHash(u64::from(attempt));
        failures.entry(fingerprint).or_default().insert(attempt);
        instances[usize::from(instance % 3)].record_failure(now, fingerprint, attempt);
        gossip(&mut instances, now, Millis(u64::from(gap)));
        for instance in &instances {
            if instance.len() > SETTINGS.max_entries {
                return false;
            }
            let quarantined = |&(fingerprint, _): &(&Fingerprint, _)| {
                instance.remaining(now, *fingerprint).is_some()
            };
            if failures
                .iter()
                .filter(quarantined)
                .any(|(_, attempts)| attempts.len() < 2)
            {
                return false;
            }
        }
    }
    let end = now + SETTINGS.duration_ms + Millis(1_000);
    while now < end {
        now = now + Millis(100);
        gossip(&mut instances, now, Millis(250));
    }
    instances
        .iter()
        .all(|instance| instance.entries(now, usize::MAX).is_empty())
}

fn gossip(instances: &mut [Quarantine], now: Millis, delay: Millis) {
    let sent: Vec<_> = instances
        .iter()
        .flat_map(|instance| instance.entries(now, usize::MAX))
        .collect();
    for instance in instances {
        for entry in &sent {
            instance.merge(now + delay, entry);
        }
    }
}

#[test]
fn gossip_neither_creates_nor_extends_a_quarantine() {
    common::checker(200)
        .quickcheck(entries_are_correct_and_expire as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
