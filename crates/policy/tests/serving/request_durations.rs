//! Guards against requests that an instance accepts shortly before its end and that take too long,
//! because one fast request hides that others are slow, or one slow request is remembered for ever.

use arbutus_coord::Millis;
use arbutus_policy::serving::request_durations::RequestDurations;

#[test]
fn the_forecast_follows_the_slowest_recent_requests() {
    let mut durations = RequestDurations::default();
    assert_eq!(durations.forecast("a"), None);
    durations.record("a", Millis(2_500));
    for _ in 0..5 {
        durations.record("a", Millis(300));
    }
    let after_fast_ones = durations.forecast("a").expect("requests were recorded");
    assert!(after_fast_ones >= Millis(2_200), "{after_fast_ones}");
    for _ in 0..200 {
        durations.record("a", Millis(300));
    }
    assert_eq!(durations.forecast("a"), Some(Millis(300)));
    assert_eq!(durations.forecast("b"), None);
}
