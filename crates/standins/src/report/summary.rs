//! The summary of a run, which is serialised as the JSON report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::loadgen::bookings::BookingReport;
use crate::loadgen::checked_request::Outcome;
use crate::loadgen::cost::ServiceCost;
use crate::loadgen::event::Action;
use crate::loadgen::run::DeploymentData;
use crate::loadgen::run::EventResult;
use crate::loadgen::run::RequestRecord;
use crate::loadgen::run::RunData;
use crate::report::request_stats::LatencyHistogram;
use crate::report::request_stats::Percentiles;
use crate::report::request_stats::RequestStats;
use crate::report::request_stats::RequestStatsBuilder;
use crate::report::request_stats::ratio;

/// Time for which a disturbed period continues after the drain or shutdown of a failure domain has
/// ended, in seconds.
const RECOVERY_TIME_S: f64 = 5.0;
/// Maximum number of different error descriptions in a report.
const MAX_ERROR_DESCRIPTIONS: usize = 12;

/// The summary of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time during which requests were sent, in seconds.
    pub duration_s: f64,
    /// Time at the start of the run that the statistics omit, in seconds.
    pub warmup_s: f64,
    /// Longest delay between the scheduled time of a request and the time at which the load
    /// generator sent it, in milliseconds. If it is not small compared to the latencies, the
    /// statistics are not meaningful.
    pub generator_lag_ms: f64,
    /// Summaries of the deployments.
    pub deployments: Vec<DeploymentSummary>,
    /// Comparison of two deployments; `None` unless the run has two.
    pub ratios: Option<Ratios>,
}

/// The summary of one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct DeploymentSummary {
    /// Name of the deployment in reports.
    pub label: String,
    /// Number of requests per second that got a complete response before their deadline.
    pub goodput_per_s: f64,
    /// Statistics of all requests.
    pub all: RequestStats,
    /// Statistics by class.
    pub classes: BTreeMap<String, RequestStats>,
    /// Statistics by organisation.
    pub organisations: BTreeMap<String, RequestStats>,
    /// Statistics by pipeline.
    pub pipelines: BTreeMap<String, RequestStats>,
    /// Periods in which a failure domain was drained, shutting down or recovering.
    #[serde(rename = "domain_changes")]
    pub disturbed_periods: Vec<DisturbedPeriod>,
    /// Statistics of the requests that were scheduled outside the disturbed periods.
    pub undisturbed: RequestStats,
    /// Cost by service, including the warm-up.
    pub costs: BTreeMap<String, ServiceCost>,
    /// Comparison of the responses to bookings with their executions; `None` without a platform
    /// address or if the list of targets cannot be read.
    pub bookings: Option<BookingReport>,
    /// Results of the events.
    pub events: Vec<EventResult>,
    /// The most frequent error descriptions, with the number of requests for each.
    pub errors: BTreeMap<String, u64>,
    /// Statistics of each second of the run, including the warm-up.
    pub seconds: Vec<SecondStats>,
}

/// A period in which a failure domain was drained or its targets were shutting down, and the 5 s
/// after it, in which the failure domain recovers.
#[derive(Clone, Debug, Serialize)]
pub struct DisturbedPeriod {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Start, in seconds after the start of the run.
    pub from_s: f64,
    /// End, in seconds after the start of the run.
    pub to_s: f64,
    /// Statistics of the requests that were scheduled in the period.
    pub requests: RequestStats,
}

/// Statistics of the requests that were scheduled in one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondStats {
    /// Number of requests.
    pub arrivals: u64,
    /// Number of complete responses before the deadline.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Time to the end of complete responses, including late ones.
    pub latency: Percentiles,
}

/// Values of the second deployment divided by those of the first.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// Ratio of the attainments.
    pub attainment: f64,
    /// Ratio of the goodputs.
    pub goodput: f64,
    /// Ratio of the 95th percentiles of latency.
    pub latency_p95: f64,
    /// Ratio of the 95th percentiles of the time to the first token.
    pub first_token_p95: f64,
    /// Ratio of the times that targets spent per complete response.
    pub cost: f64,
    /// Ratio of the numbers of interrupted requests.
    pub interrupted: f64,
}

impl Summary {
    /// Computes the summary of a run.
    #[must_use]
    pub fn new(data: &RunData) -> Self {
        let deployments: Vec<DeploymentSummary> = data
            .deployments
            .iter()
            .map(|deployment| DeploymentAnalysis { data, deployment }.summary())
            .collect();
        let ratios = match deployments.as_slice() {
            [first, second] => Some(Ratios::new(first, second)),
            _ => None,
        };
        Self {
            scenario: data.scenario.name.clone(),
            seed: data.seed,
            duration_s: data.scenario.duration_s,
            warmup_s: data.scenario.warmup_s,
            generator_lag_ms: data.generator_lag.as_secs_f64() * 1e3,
            deployments,
            ratios,
        }
    }

    /// Returns the number of violations over all deployments: wrong responses, and the violations
    /// that [`BookingReport::violations`] counts.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let booking_violations = |deployment: &DeploymentSummary| {
            deployment
                .bookings
                .as_ref()
                .map_or(0, BookingReport::violations)
        };
        self.deployments
            .iter()
            .map(|each| each.all.count(Outcome::WrongResponse) + booking_violations(each))
            .sum()
    }
}

/// Computes the summary of one deployment.
#[derive(Clone, Copy)]
struct DeploymentAnalysis<'a> {
    data: &'a RunData,
    deployment: &'a DeploymentData,
}

impl<'a> DeploymentAnalysis<'a> {
    fn scheduled_s(&self, record: &RequestRecord) -> f64 {
        self.data.arrivals[record.arrival].scheduled_us as f64 / 1e6
    }

    fn class(&self, record: &RequestRecord) -> &'a str {
        let arrival = &self.data.arrivals[record.arrival];
        &self.data.scenario.pipelines[arrival.pipeline].class
    }

    /// Returns the time between two tokens above which a stream counts as stalled.
    fn stall_limit(&self, record: &RequestRecord) -> Duration {
        let class = self.data.scenario.classes.get(self.class(record));
        class.map_or(Duration::MAX, |class| class.stall_ms.to_duration())
    }

    /// Returns the requests after the warm-up.
    fn measured_records(&self) -> impl Iterator<Item = &'a RequestRecord> {
        self.deployment
            .records
            .iter()
            .filter(move |record| self.scheduled_s(record) >= self.data.scenario.warmup_s)
    }

    fn stats(&self, records: impl Iterator<Item = &'a RequestRecord>) -> RequestStats {
        let mut stats = RequestStatsBuilder::default();
        for record in records {
            stats.add(
                &record.observation,
                record.failed_connections,
                self.stall_limit(record),
            );
        }
        stats.build()
    }

    fn stats_by(&self, name: impl Fn(&RequestRecord) -> &'a str) -> BTreeMap<String, RequestStats> {
        let mut groups = BTreeMap::<&str, RequestStatsBuilder>::new();
        for record in self.measured_records() {
            let stats = groups.entry(name(record)).or_default();
            stats.add(
                &record.observation,
                record.failed_connections,
                self.stall_limit(record),
            );
        }
        groups
            .into_iter()
            .map(|(name, stats)| (name.to_owned(), stats.build()))
            .collect()
    }

    fn summary(self) -> DeploymentSummary {
        let scenario = &self.data.scenario;
        let arrivals = &self.data.arrivals;
        let all = self.stats(self.measured_records());
        let measured_s = scenario.duration_s - scenario.warmup_s;
        let periods = self.disturbed_periods();
        let is_disturbed = |record: &RequestRecord| {
            let at_s = self.scheduled_s(record);
            periods
                .iter()
                .any(|(_, from, to)| *from <= at_s && at_s < *to)
        };
        let undisturbed = self.stats(
            self.measured_records()
                .filter(|record| !is_disturbed(record)),
        );
        DeploymentSummary {
            label: self.deployment.label.clone(),
            goodput_per_s: ratio(all.count(Outcome::Completed) as f64, measured_s),
            classes: self.stats_by(|record| self.class(record)),
            organisations: self.stats_by(|record| {
                &scenario.organisations[arrivals[record.arrival].organisation].name
            }),
            pipelines: self
                .stats_by(|record| &scenario.pipelines[arrivals[record.arrival].pipeline].name),
            disturbed_periods: periods
                .iter()
                .map(|period| self.period_stats(period))
                .collect(),
            undisturbed,
            costs: self.deployment.costs.clone(),
            bookings: self.deployment.bookings.clone(),
            events: self.deployment.events.clone(),
            errors: self.errors(),
            seconds: self.seconds(),
            all,
        }
    }

    fn period_stats(&self, (domain, from_s, to_s): &(String, f64, f64)) -> DisturbedPeriod {
        let records = self.measured_records().filter(|record| {
            let at_s = self.scheduled_s(record);
            *from_s <= at_s && at_s < *to_s
        });
        DisturbedPeriod {
            failure_domain: domain.clone(),
            from_s: *from_s,
            to_s: *to_s,
            requests: self.stats(records),
        }
    }

    /// Returns the failure domain, the start and the end of each disturbed period. The times are in
    /// seconds after the start of the run.
    ///
    /// Events that could not be executed are ignored.
    fn disturbed_periods(&self) -> Vec<(String, f64, f64)> {
        let results = self.deployment.events.iter();
        let executed = results.filter(|result| result.error.is_none());
        let period_boundary = |action: &Action| match action {
            Action::Drain(domain) => Some((domain.clone(), true)),
            Action::Undrain(domain) => Some((domain.clone(), false)),
            Action::Domain(fault) => {
                let is_start = fault.body.get("leaving")?.as_bool()?;
                Some((fault.name.clone(), is_start))
            }
            _ => None,
        };
        let mut periods = Vec::<(String, f64, f64)>::new();
        for EventResult { event, .. } in executed {
            let Some((domain, is_start)) = period_boundary(&event.action) else {
                continue;
            };
            if is_start {
                periods.push((domain, event.at_s, self.data.scenario.duration_s));
            } else if let Some(period) = periods.iter_mut().rfind(|(name, _, _)| *name == domain) {
                period.2 = event.at_s + RECOVERY_TIME_S;
            }
        }
        periods
    }

    fn errors(&self) -> BTreeMap<String, u64> {
        let mut errors = BTreeMap::<String, u64>::new();
        for record in self.measured_records() {
            let observation = &record.observation;
            if !matches!(observation.outcome, Outcome::Completed | Outcome::Late) {
                let description = format!("{}: {}", observation.outcome, observation.detail);
                *errors.entry(description).or_default() += 1;
            }
        }
        let mut errors: Vec<_> = errors.into_iter().collect();
        errors.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        errors.truncate(MAX_ERROR_DESCRIPTIONS);
        errors.into_iter().collect()
    }

    fn seconds(&self) -> Vec<SecondStats> {
        let count = self.data.scenario.duration_s.ceil() as usize;
        let mut seconds = vec![(0, 0, LatencyHistogram::new()); count];
        for record in &self.deployment.records {
            // A client retry can be scheduled after the end of the run.
            let Some(second) = seconds.get_mut(self.scheduled_s(record) as usize) else {
                continue;
            };
            second.0 += 1;
            second.1 += u64::from(record.observation.outcome == Outcome::Completed);
            if matches!(
                record.observation.outcome,
                Outcome::Completed | Outcome::Late
            ) {
                second.2.record(record.observation.latency);
            }
        }
        seconds
            .into_iter()
            .map(|(arrivals, completed, latencies)| SecondStats {
                arrivals,
                completed,
                latency: latencies.percentiles(),
            })
            .collect()
    }
}

impl DeploymentSummary {
    /// Returns the time that targets spent per complete response before the deadline, in
    /// milliseconds.
    #[must_use]
    pub fn cost_per_response_ms(&self) -> f64 {
        let spent: u64 = self.costs.values().map(|cost| cost.spent_ms).sum();
        // The counters of the targets include the warm-up, so the responses of all seconds count.
        let completed: u64 = self.seconds.iter().map(|second| second.completed).sum();
        ratio(spent as f64, completed as f64)
    }
}

impl Ratios {
    fn new(first: &DeploymentSummary, second: &DeploymentSummary) -> Self {
        let quotient = |value: fn(&DeploymentSummary) -> f64| ratio(value(second), value(first));
        Self {
            attainment: quotient(|each| each.all.attainment),
            goodput: quotient(|each| each.goodput_per_s),
            latency_p95: quotient(|each| each.all.latency.p95_ms),
            first_token_p95: quotient(|each| each.all.first_token.p95_ms),
            cost: quotient(DeploymentSummary::cost_per_response_ms),
            interrupted: quotient(|each| each.all.interrupted() as f64),
        }
    }
}
