//! Guards against requests for a target that has said that it shuts down, while the list of targets
//! lags behind, cannot be read or loses and regains the entry.

use std::collections::BTreeSet;

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::leaving_targets::LeavingTargets;
use arbutus_policy::serving::target_directory::TargetChange;
use arbutus_policy::serving::target_directory::TargetDirectory;

fn directory() -> TargetDirectory {
    let mut directory = TargetDirectory::default();
    let entries = vec![target("a", "s", "x"), target("b", "s", "y")];
    directory.replace(Millis(0), entries, false);
    directory
}

fn usable(directory: &TargetDirectory) -> Vec<&str> {
    let known = directory.usable("s");
    known.map(|known| known.entry.id.as_str()).collect()
}

#[test]
fn the_word_of_a_target_counts_more_than_the_list() {
    let mut directory = directory();
    let change = directory.mark_leaving(Millis(1), "a", Some(1));
    assert_eq!(change, Some(TargetChange::Draining("a".to_owned())));
    assert_eq!(directory.mark_leaving(Millis(2), "a", Some(1)), None);
    assert_eq!(usable(&directory), ["b"]);
    assert!(!directory.may_send("a", Some(1)));
    // The entry is written again, expires during an outage and returns.
    directory.upsert(Millis(3), target("a", "s", "x"));
    assert_eq!(usable(&directory), ["b"]);
    directory.remove(Millis(4), "a", false);
    directory.upsert(Millis(5), target("a", "s", "x"));
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_new_incarnation_ends_it_and_nothing_else() {
    let mut directory = directory();
    directory.mark_leaving(Millis(1), "a", Some(1));
    let mut restarted = target("a", "s", "x");
    restarted.incarnation = Some(2);
    directory.upsert(Millis(60_000), restarted);
    assert_eq!(usable(&directory), ["a", "b"]);
    // A late response of the previous incarnation.
    assert_eq!(directory.mark_leaving(Millis(60_001), "a", Some(1)), None);
    assert_eq!(usable(&directory), ["a", "b"]);
}

#[test]
fn a_target_may_leave_before_its_entry_is_known() {
    let mut directory = TargetDirectory::default();
    assert_eq!(directory.mark_leaving(Millis(0), "a", Some(1)), None);
    let entries = vec![target("a", "s", "x"), target("b", "s", "y")];
    directory.replace(Millis(1), entries, false);
    assert_eq!(usable(&directory), ["b"]);
}

#[test]
fn a_service_is_closed_if_it_has_targets_but_none_takes_requests() {
    let mut directory = directory();
    assert!(!directory.is_closed("s"));
    directory.mark_leaving(Millis(1), "a", Some(1));
    assert!(!directory.is_closed("s"));
    directory.set_evacuated(Millis(2), BTreeSet::from(["y".to_owned()]));
    assert!(directory.is_closed("s"));
    // The targets of a service without entries may still register.
    assert!(!directory.is_closed("other"));
}

#[test]
fn the_number_of_remembered_targets_is_bounded() {
    let mut leaving = LeavingTargets::default();
    for number in 0..5_000 {
        leaving.mark(Millis(number), &format!("t{number}"), None);
    }
    assert_eq!(leaving.reports().len(), 4_096);
    assert!(!leaving.contains("t0", None));
    assert!(leaving.contains("t4999", None));
}
