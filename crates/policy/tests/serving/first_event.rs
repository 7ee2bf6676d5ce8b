//! Guards against refusals of requests with a tight latency objective that their service would meet:
//! services differ several times in how fast they process prompts.

use arbutus_coord::Millis;
use arbutus_policy::serving::admission;
use arbutus_policy::serving::admission::Admission;
use arbutus_policy::serving::admission::Forecast;
use arbutus_policy::serving::first_event::FirstEventForecast;

/// Returns the time to the first event at a service that processes 110 tokens per millisecond.
fn fast_ms(tokens: u64) -> Millis {
    Millis(40 + tokens / 110)
}

/// Records requests with short and long prompts.
fn observe(forecast: &mut FirstEventForecast, requests: u64, time: impl Fn(u64) -> Millis) {
    for request in 0..requests {
        let tokens = 500 + request * 7_919 % 20_000;
        forecast.record("s", tokens, time(tokens));
    }
}

fn admit(forecast: &FirstEventForecast, tokens: u64, queueing_ms: u64) -> Admission {
    const STAGE_MS: Millis = Millis(227);
    admission::decide(&Forecast {
        unloaded_ms: STAGE_MS + forecast.expected_ms("s", tokens),
        queueing_ms: Millis(queueing_ms),
        objective_ms: Millis(690),
        priority: 0,
    })
}

#[test]
fn the_forecast_follows_the_observed_times() {
    let mut forecast = FirstEventForecast::default();
    assert_eq!(forecast.expected_ms("s", 9_600), Millis(400));
    observe(&mut forecast, 200, fast_ms);
    for tokens in [0, 2_000, 9_000, 20_000] {
        let expected_ms = forecast.expected_ms("s", tokens).0;
        assert!(
            expected_ms.abs_diff(fast_ms(tokens).0) <= 15,
            "{expected_ms} ms for {tokens} tokens"
        );
    }
    // A service without observations keeps the figures of a slow one.
    assert_eq!(forecast.expected_ms("other", 9_600), Millis(400));
}

#[test]
fn a_service_that_turns_slow_is_noticed() {
    let mut forecast = FirstEventForecast::default();
    observe(&mut forecast, 200, fast_ms);
    observe(&mut forecast, 100, |tokens| fast_ms(tokens).times(4));
    let expected_ms = forecast.expected_ms("s", 9_000).0;
    assert!(expected_ms > fast_ms(9_000).0 * 3, "{expected_ms} ms");
}

#[test]
fn a_stalled_target_does_not_govern_the_forecast() {
    let mut forecast = FirstEventForecast::default();
    observe(&mut forecast, 200, fast_ms);
    forecast.record("s", 9_000, Millis(60_000));
    let expected_ms = forecast.expected_ms("s", 9_000).0;
    assert!(expected_ms < fast_ms(9_000).0 + 60, "{expected_ms} ms");
}

#[test]
fn the_forecast_is_not_negative_and_does_not_fall_with_the_prompt() {
    let mut forecast = FirstEventForecast::default();
    // Long prompts are cached more often.
    observe(&mut forecast, 200, |tokens| Millis(300 - tokens / 100));
    assert!(forecast.expected_ms("s", 100_000) >= forecast.expected_ms("s", 0));
    observe(&mut forecast, 400, |_| Millis::ZERO);
    assert!(forecast.expected_ms("s", 0) <= Millis(1));
}

/// Long prompts were refused at almost any backlog, although they met the objective of 690 ms.
#[test]
fn a_long_prompt_at_a_fast_service_is_admitted_behind_a_short_backlog() {
    let mut forecast = FirstEventForecast::default();
    assert_ne!(admit(&forecast, 20_000, 50), Admission::Admit);
    observe(&mut forecast, 200, fast_ms);
    assert_eq!(admit(&forecast, 20_000, 200), Admission::Admit);
    assert_ne!(admit(&forecast, 20_000, 700), Admission::Admit);
}
