//! Guards against requests for full, failing or remote targets while better ones are available.

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_selection::SelectionCriteria;
use arbutus_policy::serving::target_selection::TargetOutcome;
use arbutus_policy::serving::target_selection::TargetStates;

const NOW: Millis = Millis(10_000);

fn criteria(shared_prefix: Option<&str>) -> SelectionCriteria<'_> {
    SelectionCriteria {
        local_domain: "x",
        shared_prefix,
        random: 7,
    }
}

fn select(states: &TargetStates, entries: &[TargetEntry], prefix: Option<&str>) -> String {
    let candidates: Vec<&TargetEntry> = entries.iter().collect();
    let index = states
        .select(NOW, &candidates, &criteria(prefix))
        .expect("there are candidates");
    entries[index].id.clone()
}

#[test]
fn the_local_domain_is_preferred_until_it_is_loaded() {
    let entries = [target("far", "s", "y"), target("near", "s", "x")];
    let mut states = TargetStates::default();
    assert_eq!(select(&states, &entries, None), "near");
    for _ in 0..3 {
        states.record_send("near");
    }
    assert_eq!(select(&states, &entries, None), "far");
}

#[test]
fn requests_sent_since_a_load_report_add_to_it() {
    let entries = [target("a", "s", "x"), target("b", "s", "x")];
    let mut states = TargetStates::default();
    states.record_load_report(NOW, "a", 0, 0);
    states.record_load_report(NOW, "b", 1, 0);
    states.record_send("a");
    states.record_send("a");
    assert_eq!(select(&states, &entries, None), "b");
}

#[test]
fn a_failing_target_is_avoided_and_tried_again_later() {
    let entries = [target("far", "s", "y"), target("near", "s", "x")];
    let mut states = TargetStates::default();
    states.record_send("near");
    states.record_outcome(NOW, "near", TargetOutcome::Broken);
    assert_eq!(select(&states, &entries, None), "far");
    assert!(!states.is_paused(NOW + Millis(5_000), "near"));
    // A paused target is used if there is no other one.
    assert_eq!(select(&states, &entries[1..], None), "near");
}

#[test]
fn single_failures_of_requests_do_not_pause_a_target() {
    // About a tenth of the requests fail at any target for reasons of the request itself. In this
    // test, one in seven fails.
    let mut states = TargetStates::default();
    for request in 0..100 {
        states.record_send("a");
        let outcome = if request % 7 == 0 {
            TargetOutcome::Failed
        } else {
            TargetOutcome::Responded
        };
        states.record_outcome(NOW, "a", outcome);
        assert!(!states.is_paused(NOW, "a"), "after {request}");
    }
}

#[test]
fn requests_with_the_same_prefix_go_to_one_target_until_it_is_loaded() {
    let entries: Vec<TargetEntry> = (0..9)
        .map(|index| target(&format!("t{index}"), "s", ["x", "y", "z"][index % 3]))
        .collect();
    let states = TargetStates::default();
    let first = select(&states, &entries, Some("prefix"));
    for _ in 0..10 {
        assert_eq!(select(&states, &entries, Some("prefix")), first);
    }
    let mut loaded_states = TargetStates::default();
    for _ in 0..2 {
        loaded_states.record_send(&first);
    }
    assert_ne!(select(&loaded_states, &entries, Some("prefix")), first);
}
