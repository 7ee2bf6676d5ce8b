//! A run: sends the same arrivals to one or two deployments at once and records the outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use ureq::Agent;

use crate::loadgen::arrivals::Arrival;
use crate::loadgen::arrivals::arrivals;
use crate::loadgen::balancer::Balancer;
use crate::loadgen::bookings::BookingReport;
use crate::loadgen::bookings::Bookings;
use crate::loadgen::bookings::Executed;
use crate::loadgen::caller::Caller;
use crate::loadgen::caller::Outcome;
use crate::loadgen::caller::Seen;
use crate::loadgen::caller::agent;
use crate::loadgen::cost::ServiceCost;
use crate::loadgen::cost::Snapshot;
use crate::loadgen::deployment::Deployment;
use crate::loadgen::event::TimedEvent;
use crate::loadgen::scenario::CallKind;
use crate::loadgen::scenario::Scenario;

/// The largest number of requests in progress, over all deployments.
const MAX_IN_FLIGHT: usize = 4_000;
/// The largest number of instances that a caller tries until one accepts its connection.
const MAX_CONNECTS: usize = 3;
const CALLER_STACK_BYTES: usize = 512 * 1024;
/// How long the run waits for the last answers beyond the longest deadline.
const LAST_ANSWERS: Duration = Duration::from_secs(6);
/// How long targets get to finish calls whose callers have given up.
const SETTLE: Duration = Duration::from_millis(500);

/// One request of a deployment and what its caller saw.
#[derive(Clone, Debug)]
pub struct Record {
    /// The position of the request among the arrivals.
    pub arrival: usize,
    /// What the caller saw.
    pub seen: Seen,
    /// The connections that were refused before one was accepted.
    pub refused_connections: u32,
}

/// An event that was done.
#[derive(Clone, Debug, Serialize)]
pub struct DoneEvent {
    /// The event.
    #[serde(flatten)]
    pub event: TimedEvent,
    /// What went wrong.
    pub error: Option<String>,
}

/// All that was recorded for one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentData {
    /// The label.
    pub label: String,
    /// The requests in the order of their arrival.
    pub records: Vec<Record>,
    /// The cost by service.
    pub costs: BTreeMap<String, ServiceCost>,
    /// The comparison of answers and executions, if the targets are known.
    pub bookings: Option<BookingReport>,
    /// The events.
    pub events: Vec<DoneEvent>,
}

/// All that was recorded during a run.
#[derive(Clone, Debug)]
pub struct RunData {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The arrivals.
    pub arrivals: Arc<Vec<Arrival>>,
    /// The deployments.
    pub deployments: Vec<DeploymentData>,
    /// The longest delay between the time of an arrival and its sending.
    pub generator_lag: Duration,
}

/// A deployment during a run.
struct Loaded {
    deployment: Deployment,
    balancer: Arc<Balancer>,
    before: Snapshot,
}

/// What the threads of a run share.
struct Shared {
    scenario: Scenario,
    arrivals: Arc<Vec<Arrival>>,
    agent: Agent,
    in_flight: AtomicUsize,
}

struct Reported {
    deployment: usize,
    record: Record,
}

/// Runs a scenario.
#[must_use]
pub fn run(scenario: &Scenario, seed: u64, run_id: &str, deployments: &[Deployment]) -> RunData {
    let arrivals = Arc::new(arrivals(scenario, seed, run_id));
    let shared = Arc::new(Shared {
        scenario: scenario.clone(),
        arrivals: Arc::clone(&arrivals),
        agent: agent(),
        in_flight: AtomicUsize::new(0),
    });
    let deployments: Vec<Loaded> = deployments.iter().map(Loaded::new).collect();
    let start = Instant::now();
    let events: Vec<_> = deployments
        .iter()
        .map(|deployment| deployment.spawn_events(&scenario.events, start))
        .collect();
    let (sender, receiver) = mpsc::channel();
    let generator_lag = send_all(&shared, &deployments, start, &sender);
    drop(sender);
    let records = collect(&shared, &receiver, deployments.len());
    let events = events
        .into_iter()
        .map(|thread| thread.join().unwrap_or_default());
    // The balancers' threads end when the deployments are dropped.
    let deployments = deployments
        .iter()
        .zip(records)
        .zip(events)
        .map(|((deployment, records), events)| deployment.finish(&shared, records, events))
        .collect();
    RunData {
        scenario: scenario.clone(),
        seed,
        arrivals,
        deployments,
        generator_lag,
    }
}

/// Sends all arrivals at their times, and returns the longest delay.
fn send_all(
    shared: &Arc<Shared>,
    deployments: &[Loaded],
    start: Instant,
    sender: &Sender<Reported>,
) -> Duration {
    let mut lag = Duration::ZERO;
    for (position, arrival) in shared.arrivals.iter().enumerate() {
        let due = start + Duration::from_micros(arrival.at_us);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        lag = lag.max(due.elapsed());
        for (deployment, Loaded { balancer, .. }) in deployments.iter().enumerate() {
            let request = Request {
                shared: Arc::clone(shared),
                balancer: Arc::clone(balancer),
                arrival: position,
                due,
            };
            request.spawn(deployment, sender);
        }
    }
    lag
}

struct Request {
    shared: Arc<Shared>,
    balancer: Arc<Balancer>,
    arrival: usize,
    due: Instant,
}

impl Request {
    /// Sends the request in its own thread, so that a slow answer delays no other arrival.
    fn spawn(self, deployment: usize, sender: &Sender<Reported>) {
        let shared = Arc::clone(&self.shared);
        let (arrival, due) = (self.arrival, self.due);
        let report = move |record, sender: &Sender<Reported>| {
            // The receiver is gone when the run has ended without this answer.
            drop(sender.send(Reported { deployment, record }));
        };
        let overflow = || Record {
            arrival,
            seen: Seen::new(Outcome::Overflow, "too many requests in progress", due),
            refused_connections: 0,
        };
        if shared.in_flight.fetch_add(1, Ordering::SeqCst) >= MAX_IN_FLIGHT {
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
            report(overflow(), sender);
            return;
        }
        let thread_sender = sender.clone();
        let spawned = thread::Builder::new()
            .stack_size(CALLER_STACK_BYTES)
            .spawn(move || {
                let record = self.call();
                self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
                report(record, &thread_sender);
            });
        if spawned.is_err() {
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
            report(overflow(), sender);
        }
    }

    fn call(&self) -> Record {
        let arrival = &self.shared.arrivals[self.arrival];
        let scenario = &self.shared.scenario;
        let caller = Caller {
            agent: &self.shared.agent,
            pipeline: &scenario.pipelines[arrival.pipeline],
            organisation: &scenario.organisations[arrival.organisation].name,
            arrival,
            due: self.due,
        };
        let mut refused_connections = 0;
        for _ in 0..MAX_CONNECTS {
            let Some(instance) = self.balancer.pick() else {
                break;
            };
            if let Ok(seen) = caller.call(instance) {
                return Record {
                    arrival: self.arrival,
                    seen,
                    refused_connections,
                };
            }
            refused_connections += 1;
        }
        Record {
            arrival: self.arrival,
            seen: Seen::new(Outcome::Unsent, "no connection", self.due),
            refused_connections,
        }
    }
}

/// Collects the records of each deployment until all have arrived or the time is up.
fn collect(shared: &Shared, receiver: &Receiver<Reported>, deployments: usize) -> Vec<Vec<Record>> {
    let deadlines = shared
        .scenario
        .pipelines
        .iter()
        .map(|each| each.deadline_ms);
    let longest = deadlines.max().unwrap_or_default().to_duration();
    let until = Instant::now() + longest + LAST_ANSWERS;
    let mut records = vec![Vec::new(); deployments];
    let expected = shared.arrivals.len() * deployments;
    for _ in 0..expected {
        let left = until.saturating_duration_since(Instant::now());
        let Ok(reported) = receiver.recv_timeout(left) else {
            break;
        };
        records[reported.deployment].push(reported.record);
    }
    for records in &mut records {
        add_missing(records, shared.arrivals.len());
    }
    records
}

/// Adds a record for each arrival whose thread has not reported, and sorts the records.
fn add_missing(records: &mut Vec<Record>, arrivals: usize) {
    let present: BTreeSet<usize> = records.iter().map(|record| record.arrival).collect();
    let missing = (0..arrivals).filter(|arrival| !present.contains(arrival));
    records.extend(missing.map(|arrival| Record {
        arrival,
        seen: Seen::new(
            Outcome::Error,
            "no answer at the end of the run",
            Instant::now(),
        ),
        refused_connections: 0,
    }));
    records.sort_by_key(|record| record.arrival);
}

impl Loaded {
    fn new(deployment: &Deployment) -> Self {
        let before = deployment.platform.map(Snapshot::take);
        if let Some(Err(error)) = &before {
            eprintln!("{}: cannot read the targets: {error}", deployment.label);
        }
        Self {
            balancer: Balancer::start(&deployment.instances, deployment.balancer),
            before: before.and_then(Result::ok).unwrap_or_default(),
            deployment: deployment.clone(),
        }
    }

    fn spawn_events(
        &self,
        events: &[TimedEvent],
        start: Instant,
    ) -> thread::JoinHandle<Vec<DoneEvent>> {
        let deployment = self.deployment.clone();
        let mut events = events.to_vec();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        thread::spawn(move || {
            let run = |event: TimedEvent| {
                let due = start + Duration::from_secs_f64(event.at_s.max(0.0));
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let outcome = event.action.run(&deployment);
                DoneEvent {
                    event,
                    error: outcome.err().map(|error| error.to_string()),
                }
            };
            events.into_iter().map(run).collect()
        })
    }

    fn finish(
        &self,
        shared: &Shared,
        records: Vec<Record>,
        events: Vec<DoneEvent>,
    ) -> DeploymentData {
        thread::sleep(SETTLE);
        let mut bookings = Bookings::default();
        for record in &records {
            let arrival = &shared.arrivals[record.arrival];
            if shared.scenario.pipelines[arrival.pipeline].kind == CallKind::Booking {
                let seen = &record.seen;
                bookings.add(&arrival.marker, seen.outcome, seen.answer.as_ref());
            }
        }
        let platform = self.deployment.platform;
        let costs = platform.and_then(|platform| Snapshot::take(platform).ok());
        let executed = platform.and_then(|platform| Executed::read(platform).ok());
        DeploymentData {
            label: self.deployment.label.clone(),
            costs: costs.unwrap_or_default().since(&self.before),
            bookings: executed.map(|executed| bookings.compare(&executed)),
            records,
            events,
        }
    }
}
