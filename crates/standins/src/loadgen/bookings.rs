//! Compares the responses to non-idempotent requests with the executions at the targets.
//!
//! Scenarios call a non-idempotent request a booking.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use crate::client::Client;
use crate::executions::ExecutionList;
use crate::loadgen::checked_request::Outcome;
use crate::loadgen::event::EventError;
use crate::loadgen::event::list_targets;

/// Maximum number of markers in [`BookingReport::examples`].
const MAX_EXAMPLES: usize = 5;

/// Number of executions of each booking, summed over all targets of a deployment.
#[derive(Clone, Debug, Default)]
pub struct ExecutionCounts {
    by_marker: BTreeMap<String, u32>,
    /// Names of the targets whose executions could not be read, for example because they crashed.
    pub unreachable_targets: Vec<String>,
}

impl ExecutionCounts {
    /// Reads the executions of all targets that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read.
    pub fn read(platform: SocketAddr) -> Result<Self, EventError> {
        let client = Client::new();
        let mut counts = Self::default();
        for entry in list_targets(platform)? {
            let list = entry
                .address
                .parse()
                .ok()
                .and_then(|address| client.get(address, "/executions").ok())
                .and_then(|value| serde_json::from_value::<ExecutionList>(value).ok());
            match list {
                Some(list) => counts.add(list),
                None => counts.unreachable_targets.push(entry.name),
            }
        }
        Ok(counts)
    }

    /// Adds the executions of one target.
    pub fn add(&mut self, list: ExecutionList) {
        for execution in list.executions {
            *self.by_marker.entry(execution.marker).or_default() += execution.count;
        }
    }
}

/// Outcomes of the requests of one booking: the original request and its client retry.
#[derive(Clone, Debug, Default)]
struct BookingResponses {
    /// Bodies of the successful responses.
    successful_bodies: Vec<Value>,
    /// Number of requests that were refused as not executed, or not sent.
    not_executed: u32,
    requests: u32,
}

/// Outcomes of all bookings of a run, by marker.
#[derive(Clone, Debug, Default)]
pub struct BookingLog {
    by_marker: BTreeMap<String, BookingResponses>,
}

/// Comparison of the responses to bookings with their executions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BookingReport {
    /// Number of bookings; a client retry does not count as another booking.
    pub bookings: u64,
    /// Bookings that no target executed.
    #[serde(rename = "runs_0")]
    pub never_executed: u64,
    /// Bookings that were executed once.
    #[serde(rename = "runs_1")]
    pub executed_once: u64,
    /// Bookings that were executed more than once: a violation.
    #[serde(rename = "runs_2_or_more")]
    pub executed_repeatedly: u64,
    /// Bookings with at least one successful response.
    #[serde(rename = "told_settled")]
    pub reported_settled: u64,
    /// Bookings whose requests were all refused as not executed, or not sent.
    #[serde(rename = "told_not_run")]
    pub reported_not_executed: u64,
    /// Other bookings: the responses report an unknown outcome or an error, or are missing.
    #[serde(rename = "told_unknown")]
    pub reported_unknown: u64,
    /// Bookings that a target executed, but that the responses report as not executed: a violation.
    #[serde(rename = "not_run_but_executed")]
    pub executed_but_reported_not_executed: u64,
    /// Bookings with a successful response that no target has counted as executed: a violation.
    ///
    /// A target that crashes loses its counts, so bookings that it executed before are counted here
    /// too.
    #[serde(rename = "settled_but_not_executed")]
    pub reported_settled_but_not_executed: u64,
    /// Bookings with successful responses that differ: a violation.
    #[serde(rename = "different_answers")]
    pub different_responses: u64,
    /// Bookings counted in `reported_unknown` that a target executed.
    #[serde(rename = "unknown_and_executed")]
    pub executed_but_reported_unknown: u64,
    /// Bookings with a successful response to one request, and another request that was refused as
    /// not executed or not sent. This is no violation.
    #[serde(rename = "not_run_beside_settled")]
    pub settled_and_refused: u64,
    /// Names of the targets whose executions could not be read.
    #[serde(rename = "unreachable")]
    pub unreachable_targets: Vec<String>,
    /// Markers of some bookings with a violation.
    pub examples: Vec<String>,
}

impl BookingLog {
    /// Adds the outcome of one request of a booking, with the body of a successful response.
    pub fn add(&mut self, marker: &str, outcome: Outcome, response: Option<&Value>) {
        let entry = self.by_marker.entry(marker.to_owned()).or_default();
        entry.requests += 1;
        match outcome {
            Outcome::Completed | Outcome::Late => entry.successful_bodies.extend(response.cloned()),
            // No byte of an `Unsent` or `NotStarted` request was sent, so no instance can have
            // executed it.
            Outcome::NotExecuted | Outcome::Unsent | Outcome::NotStarted => entry.not_executed += 1,
            _ => {}
        }
    }

    /// Compares the responses with the executions.
    #[must_use]
    pub fn compare(&self, counts: &ExecutionCounts) -> BookingReport {
        let mut report = BookingReport {
            bookings: self.by_marker.len() as u64,
            unreachable_targets: counts.unreachable_targets.clone(),
            ..BookingReport::default()
        };
        for (marker, responses) in &self.by_marker {
            let executions = counts.by_marker.get(marker).copied().unwrap_or(0);
            if report.add(responses, executions) && report.examples.len() < MAX_EXAMPLES {
                report.examples.push(marker.clone());
            }
        }
        report
    }
}

impl BookingReport {
    /// Returns the number of violations; a booking can count more than once.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.executed_repeatedly
            + self.executed_but_reported_not_executed
            + self.reported_settled_but_not_executed
            + self.different_responses
    }

    /// Adds one booking, and returns whether it violates a guarantee.
    fn add(&mut self, responses: &BookingResponses, executions: u32) -> bool {
        let before = self.violations();
        match executions {
            0 => self.never_executed += 1,
            1 => self.executed_once += 1,
            _ => self.executed_repeatedly += 1,
        }
        if !responses.successful_bodies.is_empty() {
            self.reported_settled += 1;
            self.reported_settled_but_not_executed += u64::from(executions == 0);
            self.settled_and_refused += u64::from(responses.not_executed > 0);
            let first = &responses.successful_bodies[0];
            self.different_responses +=
                u64::from(responses.successful_bodies.iter().any(|each| each != first));
        } else if responses.not_executed == responses.requests {
            self.reported_not_executed += 1;
            self.executed_but_reported_not_executed += u64::from(executions > 0);
        } else {
            self.reported_unknown += 1;
            self.executed_but_reported_unknown += u64::from(executions > 0);
        }
        self.violations() > before
    }
}
