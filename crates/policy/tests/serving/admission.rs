//! Guards against late responses to all requests during a burst beyond the capacity of a stage
//! service. They occur if no request is refused on arrival.

use arbutus_coord::Millis;
use arbutus_policy::serving::admission::Admission;
use arbutus_policy::serving::admission::Forecast;
use arbutus_policy::serving::admission::decide;

fn forecast(queueing_ms: u64, priority: u32) -> Forecast {
    Forecast {
        unloaded_ms: Millis(1_500),
        queueing_ms: Millis(queueing_ms),
        objective_ms: Millis(2_000),
        priority,
    }
}

#[test]
fn a_request_expected_to_meet_its_objective_is_admitted() {
    for priority in 0..4 {
        assert_eq!(decide(&forecast(100, priority)), Admission::Admit);
    }
}

#[test]
fn nothing_is_refused_while_the_queues_are_empty() {
    let mut slow = forecast(0, 3);
    slow.unloaded_ms = Millis(9_000);
    assert_eq!(decide(&slow), Admission::Admit);
}

#[test]
fn less_urgent_requests_are_refused_at_a_smaller_backlog() {
    let refusal_backlog = |priority| {
        (0..5_000).find(|&backlog| decide(&forecast(backlog, priority)) != Admission::Admit)
    };
    assert!(refusal_backlog(0) > refusal_backlog(1));
    assert!(refusal_backlog(1) > refusal_backlog(2));
}

#[test]
fn the_retry_delay_grows_with_the_backlog_and_is_bounded() {
    let retry_delay = |backlog| match decide(&forecast(backlog, 0)) {
        Admission::Admit => Millis::ZERO,
        Admission::Refuse { retry_after_ms } => retry_after_ms,
    };
    assert!(retry_delay(1_000) >= Millis(400));
    assert!(retry_delay(2_000) > retry_delay(1_000));
    assert_eq!(retry_delay(60_000), Millis(3_000));
}

/// A service that computes one piece every 10 ms gets 1.5 times as many for four seconds. The
/// objective is 800 ms; the test counts responses within 1 s.
#[test]
fn most_requests_admitted_during_a_burst_get_a_response_within_a_second() {
    let simulate = |uses_admission: bool| {
        let mut idle_at: u64 = 0;
        let (mut admitted, mut within_1_s) = (0, 0);
        for request in 0..600_u64 {
            let now = request * 20 / 3;
            let backlog = idle_at.saturating_sub(now);
            let mut forecast = forecast(backlog, 0);
            forecast.unloaded_ms = Millis(500);
            forecast.objective_ms = Millis(800);
            if uses_admission && decide(&forecast) != Admission::Admit {
                continue;
            }
            admitted += 1;
            idle_at = idle_at.max(now) + 10;
            within_1_s += u64::from(idle_at - now + 500 <= 1_000);
        }
        (admitted, within_1_s)
    };
    let (admitted_without, within_1_s_without) = simulate(false);
    let (admitted, within_1_s_with) = simulate(true);
    assert!(
        within_1_s_with * 10 >= admitted * 9,
        "{within_1_s_with} of {admitted}"
    );
    assert!(
        within_1_s_with > within_1_s_without,
        "{within_1_s_without} of {admitted_without}"
    );
}
