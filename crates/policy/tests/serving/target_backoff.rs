//! Guards against requests for a target in the pause that it has asked for, against a flood at its
//! end, and against a flood at the other targets meanwhile.

use crate::support::most_in_window;
use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_backoff::MAX_BACKOFF_MS;
use arbutus_policy::serving::target_backoff::TargetBackoffs;
use arbutus_policy::serving::target_selection::SelectionCriteria;
use arbutus_policy::serving::target_selection::TargetStates;

/// Returns when requests are sent to a target from a time on, if one is waiting at any time.
fn sends(backoffs: &mut TargetBackoffs, from: u64, to: u64) -> Vec<Millis> {
    let mut sends = Vec::new();
    for now in (from..to).map(Millis) {
        if backoffs.wait_ms(now, "t") == Millis::ZERO {
            backoffs.record_send(now, "t");
            sends.push(now);
        }
    }
    sends
}

#[test]
fn nothing_is_sent_during_a_pause_and_little_right_after_it() {
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(100), "t", Millis(2_000));
    let sends = sends(&mut backoffs, 100, 4_000);
    assert_eq!(sends.first(), Some(&Millis(2_100)));
    assert!(most_in_window(&sends[..10], 100) <= 1, "{:?}", &sends[..10]);
    // Waiting requests are sent without a pause again after the ramp.
    assert_eq!(sends.last(), Some(&Millis(3_999)));
    assert_eq!(backoffs.expire(Millis(4_000)), 0);
}

#[test]
fn responses_of_requests_on_their_way_do_not_shorten_a_pause() {
    let mut backoffs = TargetBackoffs::default();
    assert_eq!(
        backoffs.record(Millis(0), "t", Millis(3_000)),
        Millis(3_000)
    );
    assert_eq!(backoffs.record(Millis(10), "t", Millis(500)), Millis(2_990));
    assert_eq!(
        backoffs.record(Millis(20), "t", Millis(4_000)),
        Millis(4_000)
    );
    assert_eq!(sends(&mut backoffs, 20, 4_030), [Millis(4_020)]);
    // The first request after the pause is refused again.
    backoffs.record(Millis(4_030), "t", Millis(1_000));
    assert_eq!(sends(&mut backoffs, 4_030, 5_040), [Millis(5_030)]);
}

#[test]
fn a_pause_of_years_is_cut_and_one_of_no_length_is_none() {
    let mut backoffs = TargetBackoffs::default();
    let ten_years = Millis(10 * 365 * 24 * 3_600_000);
    assert_eq!(backoffs.record(Millis(0), "t", ten_years), MAX_BACKOFF_MS);
    assert_eq!(backoffs.record(Millis(0), "t", Millis::MAX), MAX_BACKOFF_MS);
    assert_eq!(backoffs.record(Millis(0), "u", Millis::ZERO), Millis::ZERO);
    assert_eq!(backoffs.wait_ms(Millis(0), "u"), Millis::ZERO);
    assert!(!backoffs.is_paused(Millis(0), "u"));
}

#[test]
fn a_pause_that_begins_while_a_connection_is_opened_is_seen_before_the_send() {
    let mut backoffs = TargetBackoffs::default();
    assert_eq!(backoffs.wait_ms(Millis(0), "t"), Millis::ZERO);
    backoffs.record_send(Millis(0), "t");
    backoffs.record(Millis(5), "t", Millis(1_000));
    assert!(backoffs.is_paused(Millis(6), "t"));
    // The permit that a request took itself does not keep it from being sent.
    assert_eq!(backoffs.wait_ms(Millis(1_005), "t"), Millis::ZERO);
    backoffs.record_send(Millis(1_005), "t");
    assert!(!backoffs.is_paused(Millis(1_006), "t"));
}

/// While one target of ten pauses, requests of a burst go to the others evenly.
#[test]
fn the_requests_of_a_paused_target_are_spread_over_the_others() {
    let targets: Vec<TargetEntry> = (0..10)
        .map(|number| target(&format!("t{number}"), "s", "x"))
        .collect();
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(0), "t0", Millis(5_000));
    let mut states = TargetStates::default();
    let mut counts = [0; 10];
    for request in 0..90_u64 {
        let now = Millis(request * 10);
        let candidates: Vec<&TargetEntry> = targets
            .iter()
            .filter(|entry| backoffs.wait_ms(now, &entry.id) == Millis::ZERO)
            .collect();
        let criteria = SelectionCriteria {
            local_domain: "x",
            shared_prefix: None,
            random: request,
        };
        let selected = states.select(now, &candidates, &criteria);
        let entry = candidates[selected.expect("other targets are usable")];
        states.record_send(&entry.id);
        counts[targets
            .iter()
            .position(|known| known.id == entry.id)
            .unwrap_or(0)] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(counts[1..].iter().all(|&count| count == 10), "{counts:?}");
}
