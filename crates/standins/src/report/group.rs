//! Figures of a group of requests, for example those of one class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::loadgen::caller::Outcome;
use crate::loadgen::caller::Seen;

/// The longest time that a histogram distinguishes.
const MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The largest value.
    pub max_ms: f64,
}

/// A histogram of times.
#[derive(Clone, Debug)]
pub struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Panics when the constant bounds are not valid for a histogram.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants");
        Self { histogram }
    }

    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
        self.histogram.saturating_record(time_us.min(MAX_US));
    }

    /// Returns the percentiles.
    #[must_use]
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1e3;
        if self.histogram.is_empty() {
            return Percentiles::default();
        }
        Percentiles {
            count: self.histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: self.histogram.max() as f64 / 1e3,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self::new()
    }
}

/// Figures of a group while it is collected.
#[derive(Clone, Debug, Default)]
pub struct GroupBuilder {
    outcomes: BTreeMap<Outcome, u64>,
    total: u64,
    not_run_with_retry_after: u64,
    stalls: u64,
    stalled_streams: u64,
    refused_connections: u64,
    latency: Times,
    first_token: Times,
    token_gap: Times,
}

/// Figures of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Group {
    /// The requests.
    pub requests: u64,
    /// The share of requests that were answered whole before the deadline.
    pub attainment: f64,
    /// The requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The refusals as not run that named a time for a retry.
    pub not_run_with_retry_after: u64,
    /// Silences within streams that were longer than the class allows.
    pub stalls: u64,
    /// Streams with at least one such silence.
    pub stalled_streams: u64,
    /// Connections that were refused before another instance accepted one.
    pub refused_connections: u64,
    /// Time from arrival to the whole answer, of whole and late answers.
    pub latency: Percentiles,
    /// Time from arrival to the first token.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub token_gap: Percentiles,
}

impl GroupBuilder {
    /// Adds a request, given the longest silence that its class allows.
    pub fn add(&mut self, seen: &Seen, refused_connections: u32, stall: Duration) {
        self.total += 1;
        *self.outcomes.entry(seen.outcome).or_default() += 1;
        let is_refusal = seen.outcome == Outcome::NotRun;
        self.not_run_with_retry_after += u64::from(is_refusal && seen.has_retry_after);
        self.refused_connections += u64::from(refused_connections);
        let stalls = seen.gaps.iter().filter(|&&gap| gap > stall).count() as u64;
        self.stalls += stalls;
        self.stalled_streams += u64::from(stalls > 0);
        if matches!(seen.outcome, Outcome::Whole | Outcome::Late) {
            self.latency.add(seen.latency);
        }
        if let Some(first_token) = seen.first_token {
            self.first_token.add(first_token);
        }
        for &gap in &seen.gaps {
            self.token_gap.add(gap);
        }
    }

    /// Returns the figures.
    #[must_use]
    pub fn build(self) -> Group {
        let whole = self.outcomes.get(&Outcome::Whole).copied().unwrap_or(0);
        Group {
            requests: self.total,
            attainment: ratio(whole as f64, self.total as f64),
            outcomes: self.outcomes,
            not_run_with_retry_after: self.not_run_with_retry_after,
            stalls: self.stalls,
            stalled_streams: self.stalled_streams,
            refused_connections: self.refused_connections,
            latency: self.latency.percentiles(),
            first_token: self.first_token.percentiles(),
            token_gap: self.token_gap.percentiles(),
        }
    }
}

impl Group {
    /// Returns the number of requests with an outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the requests that were interrupted: neither answered nor refused as not run.
    #[must_use]
    pub fn interrupted(&self) -> u64 {
        [
            Outcome::Unknown,
            Outcome::Error,
            Outcome::Truncated,
            Outcome::Wrong,
        ]
        .into_iter()
        .map(|outcome| self.count(outcome))
        .sum()
    }
}

/// Divides, and returns 0 when there is nothing to divide by.
#[must_use]
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}
