//! Admission of requests whose stages are overloaded.
//!
//! When a stage service has more work than it can do, every request in its queue becomes late.
//! Requests that cannot be on time are therefore refused on arrival, the less urgent ones at a
//! smaller backlog, so that those which are admitted are on time. The pattern is a burst beyond the
//! capacity of a stage service.

use arbutus_coord::Millis;

/// The part of the objective, in percent, that the expected time of the most urgent requests may
/// take. Above 100, since a backlog is known late and shrinks with refusals elsewhere.
const MOST_URGENT_PERCENT: u64 = 115;
/// How much less each lower rank gets.
const RANK_STEP_PERCENT: u64 = 15;
/// The least part of the objective that any rank gets.
const LEAST_PERCENT: u64 = 85;
/// The shortest time after which a refused client is asked to come back.
const SHORTEST_RETRY_MS: Millis = Millis(400);
/// The longest time after which a refused client is asked to come back.
const LONGEST_RETRY_MS: Millis = Millis(3_000);

/// What is expected of a request.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// The time until the first event if nothing waited anywhere.
    pub unloaded_ms: Millis,
    /// The time that the queues on the longest way of stages add.
    pub waiting_ms: Millis,
    /// Within which time an answer is on time.
    pub objective_ms: Millis,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is expected to be on time, or nothing waits.
    Admit,
    /// The request would be late and make others late.
    Refuse {
        /// When the queues are expected to be shorter.
        retry_after_ms: Millis,
    },
}

/// Decides on a request.
#[must_use]
pub fn decide(forecast: &Forecast) -> Admission {
    let expected_ms = forecast.unloaded_ms + forecast.waiting_ms;
    let less = RANK_STEP_PERCENT * u64::from(forecast.priority);
    let percent = MOST_URGENT_PERCENT.saturating_sub(less).max(LEAST_PERCENT);
    let allowed_ms = Millis(forecast.objective_ms.0 * percent / 100);
    // Without a queue, a refusal would free nothing for others.
    if forecast.waiting_ms == Millis::ZERO || expected_ms <= allowed_ms {
        return Admission::Admit;
    }
    let excess_ms = expected_ms - allowed_ms;
    Admission::Refuse {
        retry_after_ms: excess_ms
            .times(2)
            .max(SHORTEST_RETRY_MS)
            .min(LONGEST_RETRY_MS),
    }
}
