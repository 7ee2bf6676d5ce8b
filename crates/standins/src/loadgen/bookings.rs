//! Compares what callers of non-idempotent requests were told with what targets executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use crate::client::Client;
use crate::executions::ExecutionList;
use crate::loadgen::caller::Outcome;
use crate::loadgen::event::EventError;
use crate::loadgen::event::targets;

/// The number of examples of each violation that a report names.
const MAX_EXAMPLES: usize = 5;

/// The executions by marker, over all targets of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Executed {
    runs: BTreeMap<String, u32>,
    /// The targets that did not answer, for example because they crashed.
    pub unreachable: Vec<String>,
}

impl Executed {
    /// Reads the executions of all targets that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error when the list cannot be read.
    pub fn read(platform: SocketAddr) -> Result<Self, EventError> {
        let client = Client::new();
        let mut executed = Self::default();
        for entry in targets(platform)? {
            let list = entry
                .address
                .parse()
                .ok()
                .and_then(|address| client.get(address, "/executions").ok())
                .and_then(|value| serde_json::from_value::<ExecutionList>(value).ok());
            match list {
                Some(list) => executed.add(list),
                None => executed.unreachable.push(entry.name),
            }
        }
        Ok(executed)
    }

    /// Adds the executions of one target.
    pub fn add(&mut self, list: ExecutionList) {
        for execution in list.executions {
            *self.runs.entry(execution.marker).or_default() += execution.count;
        }
    }
}

/// What the callers of one booking were told.
#[derive(Clone, Debug, Default)]
struct Told {
    settled: Vec<Value>,
    not_run: u32,
    copies: u32,
}

/// The answers to all bookings of a run, by marker.
#[derive(Clone, Debug, Default)]
pub struct Bookings {
    told: BTreeMap<String, Told>,
}

/// The comparison of answers and executions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BookingReport {
    /// The bookings; a resend is not another booking.
    pub bookings: u64,
    /// Bookings that were run no time.
    pub runs_0: u64,
    /// Bookings that were run once.
    pub runs_1: u64,
    /// Bookings that were run more than once: a violation.
    pub runs_2_or_more: u64,
    /// Bookings with an answer.
    pub told_settled: u64,
    /// Bookings of which each copy was refused as not run.
    pub told_not_run: u64,
    /// Other bookings: nobody knows, an error, or no answer.
    pub told_unknown: u64,
    /// Refused as not run, yet executed: a violation.
    pub not_run_but_executed: u64,
    /// Answered, yet not executed: a violation, unless a target crashed since.
    pub settled_but_not_executed: u64,
    /// The copies of a booking got different answers: a violation.
    pub different_answers: u64,
    /// Unknown to the callers, and executed.
    pub unknown_and_executed: u64,
    /// Bookings of which one copy was answered and another refused as not run.
    pub not_run_beside_settled: u64,
    /// Targets whose executions could not be read.
    pub unreachable: Vec<String>,
    /// Markers of violations.
    pub examples: Vec<String>,
}

impl Bookings {
    /// Adds the answer to one copy of a booking.
    pub fn add(&mut self, marker: &str, outcome: Outcome, answer: Option<&Value>) {
        let told = self.told.entry(marker.to_owned()).or_default();
        told.copies += 1;
        match outcome {
            Outcome::Whole | Outcome::Late => told.settled.extend(answer.cloned()),
            // Without a connection, the request was certainly not run.
            Outcome::NotRun | Outcome::Unsent | Outcome::Overflow => told.not_run += 1,
            _ => {}
        }
    }

    /// Compares the answers with the executions.
    #[must_use]
    pub fn compare(&self, executed: &Executed) -> BookingReport {
        let mut report = BookingReport {
            bookings: self.told.len() as u64,
            unreachable: executed.unreachable.clone(),
            ..BookingReport::default()
        };
        for (marker, told) in &self.told {
            let runs = executed.runs.get(marker).copied().unwrap_or(0);
            if report.add(told, runs) && report.examples.len() < MAX_EXAMPLES {
                report.examples.push(marker.clone());
            }
        }
        report
    }
}

impl BookingReport {
    /// Returns the number of violations.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.runs_2_or_more
            + self.not_run_but_executed
            + self.settled_but_not_executed
            + self.different_answers
    }

    /// Adds one booking, and returns whether it violates a requirement.
    fn add(&mut self, told: &Told, runs: u32) -> bool {
        let before = self.violations();
        match runs {
            0 => self.runs_0 += 1,
            1 => self.runs_1 += 1,
            _ => self.runs_2_or_more += 1,
        }
        if !told.settled.is_empty() {
            self.told_settled += 1;
            self.settled_but_not_executed += u64::from(runs == 0);
            self.not_run_beside_settled += u64::from(told.not_run > 0);
            let first = &told.settled[0];
            self.different_answers += u64::from(told.settled.iter().any(|each| each != first));
        } else if told.not_run == told.copies {
            self.told_not_run += 1;
            self.not_run_but_executed += u64::from(runs > 0);
        } else {
            self.told_unknown += 1;
            self.unknown_and_executed += u64::from(runs > 0);
        }
        self.violations() > before
    }
}
