//! The summary of a run, which serialises to the JSON report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::loadgen::bookings::BookingReport;
use crate::loadgen::caller::Outcome;
use crate::loadgen::cost::ServiceCost;
use crate::loadgen::event::Action;
use crate::loadgen::run::DeploymentData;
use crate::loadgen::run::DoneEvent;
use crate::loadgen::run::Record;
use crate::loadgen::run::RunData;
use crate::report::group::Group;
use crate::report::group::GroupBuilder;
use crate::report::group::Percentiles;
use crate::report::group::Times;
use crate::report::group::ratio;

/// How long the return of a failure domain counts as part of its absence.
const RETURN_S: f64 = 5.0;
/// The number of different error descriptions that a report lists.
const MAX_ERRORS: usize = 12;

/// The summary of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The time during which requests arrived, in seconds.
    pub duration_s: f64,
    /// The time at the start that is left out, in seconds.
    pub warmup_s: f64,
    /// The longest delay of the load generator itself, in milliseconds.
    pub generator_lag_ms: f64,
    /// The deployments.
    pub deployments: Vec<DeploymentSummary>,
    /// Figures of the second deployment divided by those of the first.
    pub ratios: Option<Ratios>,
}

/// The summary of one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct DeploymentSummary {
    /// The label.
    pub label: String,
    /// The requests answered whole before the deadline, for each second.
    pub goodput_per_s: f64,
    /// All requests.
    pub all: Group,
    /// The requests by class.
    pub classes: BTreeMap<String, Group>,
    /// The requests by organisation.
    pub organisations: BTreeMap<String, Group>,
    /// The requests by pipeline.
    pub pipelines: BTreeMap<String, Group>,
    /// The requests that arrived while a failure domain was leaving, absent or returning.
    pub domain_changes: Vec<Window>,
    /// The requests that arrived outside of these times.
    pub undisturbed: Group,
    /// The cost by service.
    pub costs: BTreeMap<String, ServiceCost>,
    /// The comparison of answers and executions of bookings.
    pub bookings: Option<BookingReport>,
    /// The events.
    pub events: Vec<DoneEvent>,
    /// The most frequent error descriptions.
    pub errors: BTreeMap<String, u64>,
    /// The figures of each second of the run, with the warm-up.
    pub seconds: Vec<Second>,
}

/// The time between the leave and the end of the return of a failure domain.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// The failure domain.
    pub failure_domain: String,
    /// The time of the leave, in seconds after the start.
    pub from_s: f64,
    /// The end, in seconds after the start.
    pub to_s: f64,
    /// The requests that arrived in this time.
    pub requests: Group,
}

/// The requests that arrived in one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// The arrivals.
    pub arrivals: u64,
    /// The arrivals that were answered whole before the deadline.
    pub whole: u64,
    /// The time to the whole answer.
    pub latency: Percentiles,
}

/// Figures of the second deployment divided by those of the first.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// Of the attainment.
    pub attainment: f64,
    /// Of the goodput.
    pub goodput: f64,
    /// Of the 95th percentile of latency.
    pub latency_p95: f64,
    /// Of the 95th percentile of the time to the first token.
    pub first_token_p95: f64,
    /// Of the target time for each whole answer.
    pub cost: f64,
    /// Of the interrupted requests.
    pub interrupted: f64,
}

impl Summary {
    /// Computes the summary.
    #[must_use]
    pub fn new(data: &RunData) -> Self {
        let deployments: Vec<DeploymentSummary> = data
            .deployments
            .iter()
            .map(|deployment| Summarised { data, deployment }.summary())
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

    /// Returns the number of violated requirements over all deployments: wrong answers, bookings
    /// that were run twice, and untrue answers to bookings.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let of_bookings = |deployment: &DeploymentSummary| {
            deployment
                .bookings
                .as_ref()
                .map_or(0, BookingReport::violations)
        };
        self.deployments
            .iter()
            .map(|each| each.all.count(Outcome::Wrong) + of_bookings(each))
            .sum()
    }
}

/// One deployment's data with the run that it belongs to.
#[derive(Clone, Copy)]
struct Summarised<'a> {
    data: &'a RunData,
    deployment: &'a DeploymentData,
}

impl<'a> Summarised<'a> {
    fn at_s(&self, record: &Record) -> f64 {
        self.data.arrivals[record.arrival].at_us as f64 / 1e6
    }

    fn class(&self, record: &Record) -> &'a str {
        let arrival = &self.data.arrivals[record.arrival];
        &self.data.scenario.pipelines[arrival.pipeline].class
    }

    fn stall(&self, record: &Record) -> Duration {
        let class = self.data.scenario.classes.get(self.class(record));
        class.map_or(Duration::MAX, |class| class.stall_ms.to_duration())
    }

    fn measured(&self) -> impl Iterator<Item = &'a Record> {
        self.deployment
            .records
            .iter()
            .filter(move |record| self.at_s(record) >= self.data.scenario.warmup_s)
    }

    fn group(&self, records: impl Iterator<Item = &'a Record>) -> Group {
        let mut group = GroupBuilder::default();
        for record in records {
            group.add(&record.seen, record.refused_connections, self.stall(record));
        }
        group.build()
    }

    fn group_by(&self, name: impl Fn(&Record) -> &'a str) -> BTreeMap<String, Group> {
        let mut groups = BTreeMap::<&str, GroupBuilder>::new();
        for record in self.measured() {
            let group = groups.entry(name(record)).or_default();
            group.add(&record.seen, record.refused_connections, self.stall(record));
        }
        groups
            .into_iter()
            .map(|(name, group)| (name.to_owned(), group.build()))
            .collect()
    }

    fn summary(self) -> DeploymentSummary {
        let scenario = &self.data.scenario;
        let arrivals = &self.data.arrivals;
        let all = self.group(self.measured());
        let measured_s = scenario.duration_s - scenario.warmup_s;
        let windows = self.windows();
        let is_inside = |record: &Record| {
            let at_s = self.at_s(record);
            windows
                .iter()
                .any(|(_, from, to)| *from <= at_s && at_s < *to)
        };
        let undisturbed = self.group(self.measured().filter(|record| !is_inside(record)));
        DeploymentSummary {
            label: self.deployment.label.clone(),
            goodput_per_s: ratio(all.count(Outcome::Whole) as f64, measured_s),
            classes: self.group_by(|record| self.class(record)),
            organisations: self.group_by(|record| {
                &scenario.organisations[arrivals[record.arrival].organisation].name
            }),
            pipelines: self
                .group_by(|record| &scenario.pipelines[arrivals[record.arrival].pipeline].name),
            domain_changes: windows.iter().map(|window| self.window(window)).collect(),
            undisturbed,
            costs: self.deployment.costs.clone(),
            bookings: self.deployment.bookings.clone(),
            events: self.deployment.events.clone(),
            errors: self.errors(),
            seconds: self.seconds(),
            all,
        }
    }

    fn window(&self, (domain, from_s, to_s): &(String, f64, f64)) -> Window {
        let inside = self.measured().filter(|record| {
            let at_s = self.at_s(record);
            *from_s <= at_s && at_s < *to_s
        });
        Window {
            failure_domain: domain.clone(),
            from_s: *from_s,
            to_s: *to_s,
            requests: self.group(inside),
        }
    }

    /// Returns the times from each leave to the end of the return.
    ///
    /// An event that failed in this deployment changes nothing.
    fn windows(&self) -> Vec<(String, f64, f64)> {
        let done = self.deployment.events.iter();
        let events = done.filter(|done| done.error.is_none());
        let change = |action: &Action| match action {
            Action::Drain(domain) => Some((domain.clone(), true)),
            Action::Undrain(domain) => Some((domain.clone(), false)),
            Action::Domain(fault) => {
                let leaving = fault.body.get("leaving")?.as_bool()?;
                Some((fault.name.clone(), leaving))
            }
            _ => None,
        };
        let mut windows = Vec::<(String, f64, f64)>::new();
        for DoneEvent { event, .. } in events {
            let Some((domain, leaves)) = change(&event.action) else {
                continue;
            };
            if leaves {
                windows.push((domain, event.at_s, self.data.scenario.duration_s));
            } else if let Some(window) = windows.iter_mut().rfind(|(name, _, _)| *name == domain) {
                window.2 = event.at_s + RETURN_S;
            }
        }
        windows
    }

    fn errors(&self) -> BTreeMap<String, u64> {
        let mut errors = BTreeMap::<String, u64>::new();
        for record in self.measured() {
            let seen = &record.seen;
            if !matches!(seen.outcome, Outcome::Whole | Outcome::Late) {
                let description = format!("{}: {}", seen.outcome, seen.detail);
                *errors.entry(description).or_default() += 1;
            }
        }
        let mut errors: Vec<_> = errors.into_iter().collect();
        errors.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        errors.truncate(MAX_ERRORS);
        errors.into_iter().collect()
    }

    fn seconds(&self) -> Vec<Second> {
        let count = self.data.scenario.duration_s.ceil() as usize;
        let mut seconds = vec![(0, 0, Times::new()); count];
        for record in &self.deployment.records {
            // A resend can arrive just after the end.
            let Some(second) = seconds.get_mut(self.at_s(record) as usize) else {
                continue;
            };
            second.0 += 1;
            second.1 += u64::from(record.seen.outcome == Outcome::Whole);
            if matches!(record.seen.outcome, Outcome::Whole | Outcome::Late) {
                second.2.add(record.seen.latency);
            }
        }
        seconds
            .into_iter()
            .map(|(arrivals, whole, times)| Second {
                arrivals,
                whole,
                latency: times.percentiles(),
            })
            .collect()
    }
}

impl DeploymentSummary {
    /// Returns the target time for each whole answer, in milliseconds.
    #[must_use]
    pub fn cost_per_answer_ms(&self) -> f64 {
        let spent: u64 = self.costs.values().map(|cost| cost.spent_ms).sum();
        // The targets' counters include the warm-up, so all seconds count here.
        let whole: u64 = self.seconds.iter().map(|second| second.whole).sum();
        ratio(spent as f64, whole as f64)
    }
}

impl Ratios {
    fn new(first: &DeploymentSummary, second: &DeploymentSummary) -> Self {
        let of = |figure: fn(&DeploymentSummary) -> f64| ratio(figure(second), figure(first));
        Self {
            attainment: of(|each| each.all.attainment),
            goodput: of(|each| each.goodput_per_s),
            latency_p95: of(|each| each.all.latency.p95_ms),
            first_token_p95: of(|each| each.all.first_token.p95_ms),
            cost: of(DeploymentSummary::cost_per_answer_ms),
            interrupted: of(|each| each.all.interrupted() as f64),
        }
    }
}
