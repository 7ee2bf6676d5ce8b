//! Sends the same requests to one or two deployments at the same time and records the outcomes.

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
use crate::loadgen::arrivals::generate_arrivals;
use crate::loadgen::bookings::BookingLog;
use crate::loadgen::bookings::BookingReport;
use crate::loadgen::bookings::ExecutionCounts;
use crate::loadgen::checked_request::CheckedRequest;
use crate::loadgen::checked_request::Observation;
use crate::loadgen::checked_request::Outcome;
use crate::loadgen::checked_request::create_agent;
use crate::loadgen::cost::CounterSnapshot;
use crate::loadgen::cost::ServiceCost;
use crate::loadgen::deployment::Deployment;
use crate::loadgen::event::TimedEvent;
use crate::loadgen::load_balancer::LoadBalancer;
use crate::loadgen::scenario::CallKind;
use crate::loadgen::scenario::Scenario;

/// Largest number of requests in progress at all deployments together.
const MAX_IN_FLIGHT: usize = 4_000;
/// Attempts to connect to an instance for each request.
const MAX_CONNECT_ATTEMPTS: usize = 3;
const REQUEST_THREAD_STACK_BYTES: usize = 512 * 1024;
/// Time for which the run waits for outstanding responses in addition to the longest deadline.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for targets to finish abandoned calls before their counters are read.
const COUNTER_READ_DELAY: Duration = Duration::from_millis(500);

/// One request to a deployment and what its client observed.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index into [`RunData::arrivals`].
    pub arrival: usize,
    /// What the client observed.
    pub observation: Observation,
    /// Number of failed attempts to connect to an instance.
    pub failed_connections: u32,
}

/// An event and whether it was executed.
#[derive(Clone, Debug, Serialize)]
pub struct EventResult {
    /// Event of the scenario.
    #[serde(flatten)]
    pub event: TimedEvent,
    /// Why the event could not be executed; `None` if it was.
    pub error: Option<String>,
}

/// Recorded data of one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentData {
    /// Name of the deployment in reports.
    pub label: String,
    /// One record for each arrival, in the same order.
    pub records: Vec<RequestRecord>,
    /// Cost by service; empty if the list of targets cannot be read.
    pub costs: BTreeMap<String, ServiceCost>,
    /// Comparison of the responses to bookings with their executions; `None` without a platform
    /// address or if the list of targets cannot be read.
    pub bookings: Option<BookingReport>,
    /// Results of the events, in order of time.
    pub events: Vec<EventResult>,
}

/// Recorded data of a run.
#[derive(Clone, Debug)]
pub struct RunData {
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests that each deployment received.
    pub arrivals: Arc<Vec<Arrival>>,
    /// Data of each deployment, in the order given to [`run`].
    pub deployments: Vec<DeploymentData>,
    /// Longest delay between the scheduled time of a request and the time at which it was sent.
    pub generator_lag: Duration,
}

/// A deployment during a run.
struct ActiveDeployment {
    deployment: Deployment,
    load_balancer: Arc<LoadBalancer>,
    /// Counters of the targets before the run.
    initial_counters: CounterSnapshot,
}

/// Data that all threads of a run use.
struct RunContext {
    scenario: Scenario,
    arrivals: Arc<Vec<Arrival>>,
    agent: Agent,
    in_flight: AtomicUsize,
}

/// Result of a request, sent by its thread to [`collect_records`].
struct RequestResult {
    /// Index into [`RunData::deployments`].
    deployment_index: usize,
    record: RequestRecord,
}

/// Runs a scenario against one or two deployments.
///
/// Returns when all requests have ended or the time for the last responses is over.
#[must_use]
pub fn run(scenario: &Scenario, seed: u64, run_id: &str, deployments: &[Deployment]) -> RunData {
    let arrivals = Arc::new(generate_arrivals(scenario, seed, run_id));
    let context = Arc::new(RunContext {
        scenario: scenario.clone(),
        arrivals: Arc::clone(&arrivals),
        agent: create_agent(),
        in_flight: AtomicUsize::new(0),
    });
    // Dropping the load balancers at the end of this function ends their probe threads.
    let deployments: Vec<ActiveDeployment> =
        deployments.iter().map(ActiveDeployment::new).collect();
    let start = Instant::now();
    let events: Vec<_> = deployments
        .iter()
        .map(|deployment| deployment.spawn_events(&scenario.events, start))
        .collect();
    let (sender, receiver) = mpsc::channel();
    let generator_lag = send_requests(&context, &deployments, start, &sender);
    drop(sender);
    let records = collect_records(&context, &receiver, deployments.len());
    let events = events
        .into_iter()
        .map(|thread| thread.join().unwrap_or_default());
    let deployments = deployments
        .iter()
        .zip(records)
        .zip(events)
        .map(|((deployment, records), events)| deployment.collect_data(&context, records, events))
        .collect();
    RunData {
        scenario: scenario.clone(),
        seed,
        arrivals,
        deployments,
        generator_lag,
    }
}

/// Sends all requests at their scheduled times.
///
/// Returns the longest delay between the scheduled time of a request and the time at which it was
/// sent.
fn send_requests(
    context: &Arc<RunContext>,
    deployments: &[ActiveDeployment],
    start: Instant,
    sender: &Sender<RequestResult>,
) -> Duration {
    let mut lag = Duration::ZERO;
    for (index, arrival) in context.arrivals.iter().enumerate() {
        let scheduled_at = start + Duration::from_micros(arrival.scheduled_us);
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        lag = lag.max(scheduled_at.elapsed());
        for (deployment_index, ActiveDeployment { load_balancer, .. }) in
            deployments.iter().enumerate()
        {
            let request = ScheduledRequest {
                context: Arc::clone(context),
                load_balancer: Arc::clone(load_balancer),
                arrival: index,
                scheduled_at,
            };
            request.spawn(deployment_index, sender);
        }
    }
    lag
}

/// A request to one deployment at its scheduled time.
struct ScheduledRequest {
    context: Arc<RunContext>,
    load_balancer: Arc<LoadBalancer>,
    arrival: usize,
    scheduled_at: Instant,
}

impl ScheduledRequest {
    /// Sends the request in its own thread, so that a slow response delays no other request.
    fn spawn(self, deployment_index: usize, sender: &Sender<RequestResult>) {
        let context = Arc::clone(&self.context);
        let (arrival, scheduled_at) = (self.arrival, self.scheduled_at);
        let send_result = move |record, sender: &Sender<RequestResult>| {
            // Sending fails if the run has ended without waiting for this response.
            drop(sender.send(RequestResult {
                deployment_index,
                record,
            }));
        };
        let not_started = || RequestRecord {
            arrival,
            observation: Observation::new(
                Outcome::NotStarted,
                "too many requests in progress, or no thread was created",
                scheduled_at,
            ),
            failed_connections: 0,
        };
        if context.in_flight.fetch_add(1, Ordering::SeqCst) >= MAX_IN_FLIGHT {
            context.in_flight.fetch_sub(1, Ordering::SeqCst);
            send_result(not_started(), sender);
            return;
        }
        let thread_sender = sender.clone();
        let spawned = thread::Builder::new()
            .stack_size(REQUEST_THREAD_STACK_BYTES)
            .spawn(move || {
                let record = self.send();
                self.context.in_flight.fetch_sub(1, Ordering::SeqCst);
                send_result(record, &thread_sender);
            });
        if spawned.is_err() {
            context.in_flight.fetch_sub(1, Ordering::SeqCst);
            send_result(not_started(), sender);
        }
    }

    fn send(&self) -> RequestRecord {
        let arrival = &self.context.arrivals[self.arrival];
        let scenario = &self.context.scenario;
        let request = CheckedRequest {
            agent: &self.context.agent,
            pipeline: &scenario.pipelines[arrival.pipeline],
            organisation: &scenario.organisations[arrival.organisation].name,
            arrival,
            scheduled_at: self.scheduled_at,
        };
        let mut failed_connections = 0;
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let Some(instance) = self.load_balancer.next_instance() else {
                break;
            };
            if let Ok(observation) = request.send(instance) {
                return RequestRecord {
                    arrival: self.arrival,
                    observation,
                    failed_connections,
                };
            }
            failed_connections += 1;
        }
        RequestRecord {
            arrival: self.arrival,
            observation: Observation::new(Outcome::Unsent, "no connection", self.scheduled_at),
            failed_connections,
        }
    }
}

/// Collects the records of each deployment until all are present or the time for the last responses
/// is over.
fn collect_records(
    context: &RunContext,
    receiver: &Receiver<RequestResult>,
    deployments: usize,
) -> Vec<Vec<RequestRecord>> {
    let deadlines = context
        .scenario
        .pipelines
        .iter()
        .map(|each| each.deadline_ms);
    let longest_deadline = deadlines.max().unwrap_or_default().to_duration();
    let wait_until = Instant::now() + longest_deadline + LAST_RESPONSES_TIMEOUT;
    let mut records = vec![Vec::new(); deployments];
    let expected = context.arrivals.len() * deployments;
    for _ in 0..expected {
        let remaining = wait_until.saturating_duration_since(Instant::now());
        let Ok(result) = receiver.recv_timeout(remaining) else {
            break;
        };
        records[result.deployment_index].push(result.record);
    }
    for records in &mut records {
        add_missing_records(records, context.arrivals.len());
    }
    records
}

/// Adds an error record for each request that has not ended, and sorts the records by arrival.
fn add_missing_records(records: &mut Vec<RequestRecord>, arrivals: usize) {
    let present: BTreeSet<usize> = records.iter().map(|record| record.arrival).collect();
    let missing = (0..arrivals).filter(|arrival| !present.contains(arrival));
    records.extend(missing.map(|arrival| RequestRecord {
        arrival,
        observation: Observation::new(
            Outcome::Error,
            "no response at the end of the run",
            Instant::now(),
        ),
        failed_connections: 0,
    }));
    records.sort_by_key(|record| record.arrival);
}

impl ActiveDeployment {
    fn new(deployment: &Deployment) -> Self {
        let initial_counters = deployment.platform.map(CounterSnapshot::read);
        if let Some(Err(error)) = &initial_counters {
            eprintln!(
                "deployment {}: cannot read the counters of the targets: {error}",
                deployment.label
            );
        }
        Self {
            load_balancer: LoadBalancer::start(&deployment.instances, deployment.probes_readiness),
            initial_counters: initial_counters.and_then(Result::ok).unwrap_or_default(),
            deployment: deployment.clone(),
        }
    }

    fn spawn_events(
        &self,
        events: &[TimedEvent],
        start: Instant,
    ) -> thread::JoinHandle<Vec<EventResult>> {
        let deployment = self.deployment.clone();
        let mut events = events.to_vec();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        thread::spawn(move || {
            let execute = |event: TimedEvent| {
                let scheduled_at = start + Duration::from_secs_f64(event.at_s.max(0.0));
                thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
                let outcome = event.action.execute(&deployment);
                EventResult {
                    event,
                    error: outcome.err().map(|error| error.to_string()),
                }
            };
            events.into_iter().map(execute).collect()
        })
    }

    /// Reads the counters and executions of the targets and combines them with the records.
    fn collect_data(
        &self,
        context: &RunContext,
        records: Vec<RequestRecord>,
        events: Vec<EventResult>,
    ) -> DeploymentData {
        thread::sleep(COUNTER_READ_DELAY);
        let mut bookings = BookingLog::default();
        for record in &records {
            let arrival = &context.arrivals[record.arrival];
            if context.scenario.pipelines[arrival.pipeline].kind == CallKind::Booking {
                let observation = &record.observation;
                bookings.add(
                    &arrival.marker,
                    observation.outcome,
                    observation.booking_response.as_ref(),
                );
            }
        }
        let platform = self.deployment.platform;
        let final_counters = platform.and_then(|platform| CounterSnapshot::read(platform).ok());
        let executions = platform.and_then(|platform| ExecutionCounts::read(platform).ok());
        DeploymentData {
            label: self.deployment.label.clone(),
            costs: final_counters
                .unwrap_or_default()
                .costs_since(&self.initial_counters),
            bookings: executions.map(|executions| bookings.compare(&executions)),
            records,
            events,
        }
    }
}
