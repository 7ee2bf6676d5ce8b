//! Guards against a request that crashes target after target, against innocent requests in
//! quarantine, and against entries that gossip keeps alive or that fill the memory.

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
fn two_failures_of_distinct_attempts_quarantine_everywhere() {
    let mut here = Quarantine::new(SETTINGS);
    let mut there = Quarantine::new(SETTINGS);
    let poison = Fingerprint(1);
    let entry = here.record_failure(Millis(0), poison, AttemptHash(1));
    assert_eq!(
        here.record_failure(Millis(1), poison, AttemptHash(1)),
        entry_of(&here, 1)
    );
    assert_eq!(
        here.remaining(Millis(1), poison),
        None,
        "the same attempt counts once"
    );
    let entry = entry.expect("a fresh entry is shared");
    assert!(there.merge(Millis(2), &entry));
    assert!(!there.merge(Millis(3), &entry));
    let both = there.record_failure(Millis(4), poison, AttemptHash(2));
    assert!(there.remaining(Millis(4), poison).is_some());
    assert!(here.merge(Millis(5), &both.expect("a fresh entry is shared")));
    assert!(here.remaining(Millis(5), poison).is_some());
    assert_eq!(
        here.remaining(Millis(10_005), poison),
        None,
        "the time is bounded"
    );
}

fn entry_of(
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

/// Three instances record failures (step, instance, fingerprint, attempt) and gossip all entries
/// at every step; delays are below the decay of a hop.
fn entries_are_sound_and_expire(steps: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut nodes = vec![Quarantine::new(SETTINGS); 3];
    let mut now = Millis::ZERO;
    let mut failures: BTreeMap<Fingerprint, BTreeSet<AttemptHash>> = BTreeMap::new();
    for (gap, node, fingerprint, attempt) in steps {
        now = now + Millis(u64::from(gap) * 4);
        let fingerprint = Fingerprint(u64::from(fingerprint % 12));
        let attempt = AttemptHash(u64::from(attempt));
        failures.entry(fingerprint).or_default().insert(attempt);
        nodes[usize::from(node % 3)].record_failure(now, fingerprint, attempt);
        gossip(&mut nodes, now, Millis(u64::from(gap)));
        for node in &nodes {
            if node.len() > SETTINGS.max_entries {
                return false;
            }
            let quarantined =
                |&(fingerprint, _): &(&Fingerprint, _)| node.remaining(now, *fingerprint).is_some();
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
        gossip(&mut nodes, now, Millis(250));
    }
    nodes
        .iter()
        .all(|node| node.entries(now, usize::MAX).is_empty())
}

fn gossip(nodes: &mut [Quarantine], now: Millis, delay: Millis) {
    let sent: Vec<_> = nodes
        .iter()
        .flat_map(|node| node.entries(now, usize::MAX))
        .collect();
    for node in nodes {
        for entry in &sent {
            node.merge(now + delay, entry);
        }
    }
}

#[test]
fn gossip_neither_invents_nor_prolongs() {
    common::checker(200)
        .quickcheck(entries_are_sound_and_expire as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
