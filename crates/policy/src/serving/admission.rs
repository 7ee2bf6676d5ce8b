//! Admission of requests whose stage services may be overloaded.
//!
//! During a burst beyond the capacity of a stage service, every request in its queue would miss its
//! latency objective. Requests that are not expected to meet the objective are therefore refused on
//! arrival, the less urgent ones at a smaller backlog, so that admitted requests meet theirs.

use arbutus_coord::Millis;

/// Largest expected latency of an admitted request of priority 0, as a percentage of its objective.
/// It exceeds 100 because the reported backlog is out of date and shrinks when other instances
/// refuse requests.
const TOP_PRIORITY_OBJECTIVE_PERCENT: u64 = 115;
/// Reduction of that percentage for each priority level after 0.
const PRIORITY_STEP_PERCENT: u64 = 15;
/// Lower bound of that percentage, which applies to the least urgent requests.
const MIN_OBJECTIVE_PERCENT: u64 = 85;
/// Bounds of the delay after which a refused client is asked to retry.
const MIN_RETRY_AFTER_MS: Millis = Millis(400);
const MAX_RETRY_AFTER_MS: Millis = Millis(3_000);

/// Expected latency of a request on its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// Time until the response or its first event if all queues were empty.
    pub unloaded_ms: Millis,
    /// Queueing delay along the slowest chain of dependent stages.
    pub queueing_ms: Millis,
    /// Latency objective of the route.
    pub objective_ms: Millis,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is expected to meet its objective, or the queues are empty.
    Admit,
    /// The request would miss its objective and delay other requests.
    Refuse {
        /// Delay after which the client is asked to retry.
        retry_after_ms: Millis,
    },
}

/// Decides whether a request is admitted.
#[must_use]
pub fn decide(forecast: &Forecast) -> Admission {
    let expected_ms = forecast.unloaded_ms + forecast.queueing_ms;
    let reduction = PRIORITY_STEP_PERCENT * u64::from(forecast.priority);
    let allowed_percent = TOP_PRIORITY_OBJECTIVE_PERCENT
        .saturating_sub(reduction)
        .max(MIN_OBJECTIVE_PERCENT);
    let allowed_ms = forecast.objective_ms.percent(allowed_percent);
    // With empty queues, refusing the request would not help any other request.
    if forecast.queueing_ms == Millis::ZERO || expected_ms <= allowed_ms {
        return Admission::Admit;
    }
    let excess_ms = expected_ms - allowed_ms;
    Admission::Refuse {
        retry_after_ms: excess_ms
            .times(2)
            .max(MIN_RETRY_AFTER_MS)
            .min(MAX_RETRY_AFTER_MS),
    }
}
