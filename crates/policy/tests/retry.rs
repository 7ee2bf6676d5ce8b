//! Guards against retries that multiply the load during an outage, and against retries that start
//! too late to finish.

mod common;

use arbutus_coord::Millis;
use arbutus_policy::retry::RetryBudget;
use arbutus_policy::retry::RetryRefusal;
use arbutus_policy::retry::RetryRequest;
use arbutus_policy::retry::RetrySettings;

/// Checks that retries stay within the budget, and that each has a delay with the right jitter and
/// can finish before the deadline.
///
/// Each step has the time since the previous step in milliseconds, whether a call succeeds, and a
/// random number. If the call fails, a retry is requested.
fn retries_stay_within_budget(percent: u8, steps: Vec<(u8, bool, u64)>) -> bool {
    let settings = RetrySettings {
        budget_percent: u32::from(percent % 50),
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(Millis::ZERO, settings);
    let mut now = Millis::ZERO;
    let (mut successes, mut retries) = (0_u64, 0_u64);
    for (gap, success, random) in steps {
        now = now + Millis(u64::from(gap));
        if success {
            successes += 1;
            budget.record_success();
            continue;
        }
        let request = RetryRequest {
            attempts: 1 + (random % 2) as u32,
            deadline: now + Millis(random % 200),
            expected_ms: Millis(random % 90),
            random,
        };
        if let Ok(delay) = budget.try_retry(now, request) {
            retries += 1;
            let backoff = settings.base_delay_ms.times(1 << (request.attempts - 1));
            assert!(
                delay.0 * 2 >= backoff.0 && delay <= backoff,
                "the delay should be between half of the backoff and all of it"
            );
            assert!(now + delay + request.expected_ms < request.deadline);
        }
    }
    // The allowed retries are those of the first second and of the elapsed time at the minimum
    // rate, plus `budget_percent` of the successful calls. Both sides are multiplied by 1000 ms and
    // 100 percent, so that the numbers stay integers.
    let min_rate = u64::from(settings.min_retries_per_s);
    let allowed = min_rate * 1_000 * 100
        + min_rate * now.0 * 100
        + successes * u64::from(settings.budget_percent) * 1_000;
    retries * 1_000 * 100 <= allowed
}

#[test]
fn retries_are_a_bounded_share_of_successful_calls() {
    common::checker(2_000)
        .quickcheck(retries_stay_within_budget as fn(u8, Vec<(u8, bool, u64)>) -> bool);
}

#[test]
fn an_outage_allows_only_the_minimum_retry_rate() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(Millis::ZERO, settings);
    let mut retries = 0;
    for step in 0..10_000_u64 {
        let now = Millis(step);
        let request = RetryRequest {
            attempts: 1,
            deadline: now + Millis(4_000),
            expected_ms: Millis(10),
            random: step,
        };
        match budget.try_retry(now, request) {
            Ok(_) => retries += 1,
            Err(refusal) => assert_eq!(refusal, RetryRefusal::BudgetExhausted),
        }
    }
    assert!(
        (9..=11).contains(&retries),
        "expected one retry per second for 10 s, got {retries}"
    );
}
