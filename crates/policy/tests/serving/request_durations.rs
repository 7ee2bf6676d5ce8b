//! Guards against requests that an instance accepts shortly before its end and that take too long,
//! because some fast requests hide that others are slow, and against refusals of all requests of a
//! route because a single one was slow.

use arbutus_coord::Millis;
use arbutus_policy::serving::request_durations::RequestDurations;

const ROUTE: &str = "/stream/";

/// Records requests of which every `slow_every`-th takes 5 s and the others 300 ms.
fn forecast_after(requests: usize, slow_every: usize) -> Millis {
    let mut durations = RequestDurations::default();
    for number in 0..requests {
        let is_slow = number % slow_every == slow_every - 1;
        durations.record(ROUTE, Millis(if is_slow { 5_000 } else { 300 }));
    }
    durations.forecast(ROUTE).expect("requests were recorded")
}

#[test]
fn the_forecast_holds_for_nine_in_ten_requests() {
    assert_eq!(RequestDurations::default().forecast(ROUTE), None);
    assert_eq!(forecast_after(1, 2), Millis(300));
    // Slower than the forecast are fewer than one in ten, then more.
    assert!(forecast_after(2_000, 40) < Millis(400));
    assert!(forecast_after(2_000, 4) > Millis(4_000));
}

#[test]
fn the_forecast_forgets_a_slow_request() {
    let mut durations = RequestDurations::default();
    durations.record(ROUTE, Millis(2_500));
    durations.record(ROUTE, Millis(300));
    assert!(durations.forecast(ROUTE) > Some(Millis(2_400)));
    for _ in 0..250 {
        durations.record(ROUTE, Millis(300));
    }
    assert_eq!(durations.forecast(ROUTE), Some(Millis(300)));
    assert_eq!(durations.forecast("/other/"), None);
}
