//! Statistics of a group of requests, for example those of one class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::loadgen::checked_request::Observation;
use crate::loadgen::checked_request::Outcome;

/// Longest latency that a histogram records; a longer one is recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Panics if the constant bounds are invalid for a histogram.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the constant bounds should be valid");
        Self { histogram }
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram
            .saturating_record(latency_us.min(MAX_LATENCY_US));
    }

    /// Returns the percentiles; all are 0 if the histogram is empty.
    #[must_use]
    pub fn percentiles(&self) -> Percentiles {
        let quantile_ms = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1e3;
        if self.histogram.is_empty() {
            return Percentiles::default();
        }
        Percentiles {
            count: self.histogram.len(),
            p50_ms: quantile_ms(0.5),
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            max_ms: self.histogram.max() as f64 / 1e3,
        }
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Collects the statistics of a group of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestStatsBuilder {
    outcomes: BTreeMap<Outcome, u64>,
    requests: u64,
    not_executed_with_retry_after: u64,
    stalls: u64,
    stalled_streams: u64,
    failed_connections: u64,
    latency: LatencyHistogram,
    first_token: LatencyHistogram,
    token_gap: LatencyHistogram,
}

/// Statistics of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestStats {
    /// Number of requests.
    pub requests: u64,
    /// Share of the requests with a complete response before the deadline.
    pub attainment: f64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Requests refused as not executed with the header `Retry-After`.
    #[serde(rename = "not_run_with_retry_after")]
    pub not_executed_with_retry_after: u64,
    /// Number of token gaps that are longer than `stall_ms` of the class.
    pub stalls: u64,
    /// Number of streams with at least one stall.
    pub stalled_streams: u64,
    /// Number of failed attempts to connect to an instance.
    #[serde(rename = "refused_connections")]
    pub failed_connections: u64,
    /// Time from the scheduled start to the end of complete responses, including late ones.
    pub latency: Percentiles,
    /// Time from the scheduled start to the first token.
    pub first_token: Percentiles,
    /// Time between consecutive tokens.
    pub token_gap: Percentiles,
}

impl RequestStatsBuilder {
    /// Adds a request.
    ///
    /// A token gap that is longer than `stall_limit` counts as a stall.
    pub fn add(
        &mut self,
        observation: &Observation,
        failed_connections: u32,
        stall_limit: Duration,
    ) {
        self.requests += 1;
        *self.outcomes.entry(observation.outcome).or_default() += 1;
        let is_not_executed = observation.outcome == Outcome::NotExecuted;
        self.not_executed_with_retry_after +=
            u64::from(is_not_executed && observation.has_retry_after);
        self.failed_connections += u64::from(failed_connections);
        let stalls = observation
            .token_gaps
            .iter()
            .filter(|&&gap| gap > stall_limit)
            .count() as u64;
        self.stalls += stalls;
        self.stalled_streams += u64::from(stalls > 0);
        if matches!(observation.outcome, Outcome::Completed | Outcome::Late) {
            self.latency.record(observation.latency);
        }
        if let Some(first_token) = observation.first_token {
            self.first_token.record(first_token);
        }
        for &gap in &observation.token_gaps {
            self.token_gap.record(gap);
        }
    }

    /// Returns the statistics of all requests added so far.
    #[must_use]
    pub fn build(self) -> RequestStats {
        let completed = self.outcomes.get(&Outcome::Completed).copied().unwrap_or(0);
        RequestStats {
            requests: self.requests,
            attainment: ratio(completed as f64, self.requests as f64),
            outcomes: self.outcomes,
            not_executed_with_retry_after: self.not_executed_with_retry_after,
            stalls: self.stalls,
            stalled_streams: self.stalled_streams,
            failed_connections: self.failed_connections,
            latency: self.latency.percentiles(),
            first_token: self.first_token.percentiles(),
            token_gap: self.token_gap.percentiles(),
        }
    }
}

impl RequestStats {
    /// Returns the number of requests with the given outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the number of requests that were sent and got neither a complete response nor a
    /// refusal as not executed.
    #[must_use]
    pub fn interrupted(&self) -> u64 {
        [
            Outcome::Unknown,
            Outcome::Error,
            Outcome::Truncated,
            Outcome::WrongResponse,
        ]
        .into_iter()
        .map(|outcome| self.count(outcome))
        .sum()
    }
}

/// Divides two numbers; returns 0 if the denominator is 0.
#[must_use]
pub fn ratio(numerator: f64, denominator: f64) -> f64 {
    if denominator == 0.0 {
        0.0
    } else {
        numerator / denominator
    }
}
