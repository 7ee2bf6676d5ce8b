//! The pattern: a burst beyond the capacity of a stage service. Without refusals on arrival, every
//! request becomes late.

use arbutus_coord::Millis;
use arbutus_policy::serving::admission::Admission;
use arbutus_policy::serving::admission::Forecast;
use arbutus_policy::serving::admission::decide;

fn forecast(waiting_ms: u64, priority: u32) -> Forecast {
    Forecast {
        unloaded_ms: Millis(1_500),
        waiting_ms: Millis(waiting_ms),
        objective_ms: Millis(2_000),
        priority,
    }
}

#[test]
fn a_request_that_can_be_on_time_is_admitted() {
    for priority in 0..4 {
        assert_eq!(decide(&forecast(100, priority)), Admission::Admit);
    }
}

#[test]
fn without_a_queue_nothing_is_refused() {
    let mut slow = forecast(0, 3);
    slow.unloaded_ms = Millis(9_000);
    assert_eq!(decide(&slow), Admission::Admit);
}

#[test]
fn less_urgent_requests_are_refused_at_a_smaller_backlog() {
    let refused_at = |priority| {
        (0..5_000).find(|&waiting| decide(&forecast(waiting, priority)) != Admission::Admit)
    };
    assert!(refused_at(0) > refused_at(1));
    assert!(refused_at(1) > refused_at(2));
}

#[test]
fn the_retry_delay_grows_with_the_backlog_and_is_bounded() {
    let delay = |waiting| match decide(&forecast(waiting, 0)) {
        Admission::Admit => Millis::ZERO,
        Admission::Refuse { retry_after_ms } => retry_after_ms,
    };
    assert!(delay(1_000) >= Millis(400));
    assert!(delay(2_000) > delay(1_000));
    assert_eq!(delay(60_000), Millis(3_000));
}

/// A service that makes one piece every 10 ms gets 1.5 times that for two seconds.
#[test]
fn under_a_burst_most_admitted_requests_are_on_time() {
    let run = |admits: bool| {
        let mut free_at: u64 = 0;
        let (mut admitted, mut on_time) = (0, 0);
        for request in 0..600_u64 {
            let now = request * 20 / 3;
            let waiting = free_at.saturating_sub(now);
            let mut expected = forecast(waiting, 0);
            expected.unloaded_ms = Millis(500);
            expected.objective_ms = Millis(800);
            if admits && decide(&expected) != Admission::Admit {
                continue;
            }
            admitted += 1;
            free_at = free_at.max(now) + 10;
            on_time += u64::from(free_at - now + 500 <= 1_000);
        }
        (admitted, on_time)
    };
    let (all, on_time_without) = run(false);
    let (admitted, on_time_with) = run(true);
    assert!(
        on_time_with * 10 >= admitted * 9,
        "{on_time_with} of {admitted}"
    );
    assert!(on_time_with > on_time_without, "{on_time_without} of {all}");
}
