//! Guards against requests for targets that are gone, evacuated or replaced by another incarnation.

use std::collections::BTreeSet;

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_directory::TargetChange;
use arbutus_policy::serving::target_directory::TargetDirectory;

fn usable(directory: &TargetDirectory, service: &str) -> Vec<String> {
    let known = directory.usable(service);
    known.map(|known| known.entry.id.clone()).collect()
}

#[test]
fn draining_and_removed_targets_get_no_requests() {
    let mut directory = TargetDirectory::default();
    let entries = vec![target("a", "s", "x"), target("b", "s", "y")];
    directory.replace(Millis(0), entries, false);
    let mut draining = target("a", "s", "x");
    draining.accepts_work = false;
    assert_eq!(
        directory.upsert(Millis(1), draining),
        Some(TargetChange::Draining("a".to_owned()))
    );
    assert_eq!(usable(&directory, "s"), ["b"]);
    assert!(!directory.may_send("a", Some(1)));
    assert_eq!(
        directory.replace(Millis(2), vec![target("a", "s", "x")], false),
        [TargetChange::Gone("b".to_owned())]
    );
    assert!(!directory.may_send("b", Some(1)));
}

#[test]
fn a_new_incarnation_with_the_same_identifier_is_another_target() {
    let mut directory = TargetDirectory::default();
    directory.replace(Millis(0), vec![target("a", "s", "x")], false);
    let mut restarted = target("a", "s", "x");
    restarted.incarnation = Some(2);
    restarted.cold_remaining_ms = Millis(3_000);
    assert_eq!(
        directory.upsert(Millis(10_000), restarted),
        Some(TargetChange::Appeared("a".to_owned()))
    );
    assert!(!directory.may_send("a", Some(1)));
    assert!(directory.may_send("a", Some(2)));
    let known = directory.get("a").expect("the target is known");
    assert!(directory.is_cold(Millis(12_000), known, Millis(3_000)));
    assert!(!directory.is_cold(Millis(13_000), known, Millis(3_000)));
}

#[test]
fn an_evacuated_domain_gets_no_requests_and_is_cold_afterwards() {
    let mut directory = TargetDirectory::default();
    let entries = vec![target("a", "s", "x"), target("b", "s", "y")];
    directory.replace(Millis(0), entries, false);
    directory.set_evacuated(Millis(1_000), BTreeSet::from(["x".to_owned()]));
    assert_eq!(usable(&directory, "s"), ["b"]);
    assert!(!directory.may_send("a", Some(1)));
    let (_, ended) = directory.set_evacuated(Millis(9_000), BTreeSet::new());
    assert_eq!(ended, ["x"]);
    let known = directory.get("a").expect("the target is known");
    assert!(directory.is_cold(Millis(10_000), known, Millis(3_000)));
    assert!(!directory.is_cold(Millis(12_000), known, Millis(3_000)));
}

#[test]
fn entries_that_expire_during_an_outage_are_used_for_a_grace_period() {
    let mut directory = TargetDirectory::default();
    let entries = vec![target("a", "s", "x"), target("b", "s", "x")];
    directory.replace(Millis(0), entries, false);
    // Both entries expired during the outage; only one target registers again after it.
    assert_eq!(directory.replace(Millis(5_000), Vec::new(), true), []);
    assert_eq!(usable(&directory, "s"), ["a", "b"]);
    directory.upsert(Millis(6_000), target("a", "s", "x"));
    assert_eq!(
        directory.expire(Millis(6_700)),
        [TargetChange::Gone("b".to_owned())]
    );
    assert_eq!(usable(&directory, "s"), ["a"]);
}

#[test]
fn removals_reported_after_an_outage_are_deferred() {
    let mut directory = TargetDirectory::default();
    directory.replace(Millis(0), vec![target("a", "s", "x")], false);
    assert_eq!(directory.remove(Millis(5_000), "a", true), None);
    assert_eq!(usable(&directory, "s"), ["a"]);
    directory.upsert(Millis(6_000), target("a", "s", "x"));
    assert_eq!(directory.expire(Millis(9_000)), []);
    assert_eq!(
        directory.remove(Millis(9_000), "a", false),
        Some(TargetChange::Gone("a".to_owned()))
    );
}

/// Guards against the old state in a copy of the store, which names targets that have left since, and
/// lacks targets that have appeared since.
#[test]
fn a_copy_of_the_store_neither_restores_nor_removes_targets() {
    let mut directory = TargetDirectory::default();
    let entries = ["stays", "drains", "leaves", "starts"].map(|id| target(id, "s", "x"));
    directory.replace(Millis(0), entries.to_vec(), false);
    let mut draining = target("drains", "s", "x");
    draining.accepts_work = false;
    directory.upsert(Millis(1_000), draining);
    directory.remove(Millis(1_000), "leaves", false);
    let copy = ["stays", "drains", "leaves", "unknown"].map(|id| target(id, "s", "x"));
    directory.replace_by_copy(Millis(2_000), copy.to_vec());
    assert_eq!(usable(&directory, "s"), ["starts", "stays"]);
    // Another list shows nothing new; the targets write their entries again all the time.
    directory.replace_by_copy(Millis(2_500), copy.to_vec());
    assert_eq!(usable(&directory, "s"), ["starts", "stays"]);
    directory.upsert(Millis(3_000), target("starts", "s", "x"));
    directory.upsert(Millis(3_000), target("stays", "s", "x"));
    assert_eq!(
        directory.expire(Millis(4_000)),
        [TargetChange::Appeared("unknown".to_owned())]
    );
    directory.replace(Millis(4_500), copy.to_vec(), false);
    assert_eq!(usable(&directory, "s"), ["stays", "unknown"]);
    // The target that had left starts again under its identifier.
    directory.upsert(Millis(5_000), target("leaves", "s", "x"));
    assert_eq!(usable(&directory, "s"), ["leaves", "stays", "unknown"]);
}
