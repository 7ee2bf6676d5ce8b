//! Tests of the end of instances on the users' platform: what clients and targets observe while
//! real processes shut down.

mod common;

use std::collections::BTreeSet;
use std::env;
use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::names;
use arbutus_standins::simulated_platform::client::ClientConnection;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::stream_request;
use arbutus_standins::simulated_platform::instance::InstanceProcess;
use arbutus_standins::simulated_platform::slow_client;

const DEFAULT_SEED: u64 = 19;
/// Grace period in the settings of the instances, after which the platform kills them.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Time after SIGTERM for which an instance has to serve requests, so that a load balancer can move
/// its clients to other instances.
const SHUTDOWN_SERVING_TIME: Duration = Duration::from_secs(3);
/// Several instances shut down one after another, because each run of a process has only one end.
const INSTANCES: usize = 5;
const TERMINATION_INTERVAL: Duration = Duration::from_millis(230);
/// Deadlines of requests, the longest of which exceeds the timeout of the routes.
const DEADLINES_MS: [&str; 2] = ["1500", "4000"];
/// A throttled instance runs and pauses in turn, so that it has 0.17 of a processor.
const THROTTLED_RUN: Duration = Duration::from_millis(10);
const THROTTLED_PAUSE: Duration = Duration::from_millis(49);
/// Delay of the responses of targets, so that requests of the last moments are still at a target
/// when a process ends.
const RESPONSE_DELAY: Duration = Duration::from_millis(25);

/// The clients of one instance. Half of them open a connection for each request, the others keep
/// theirs.
#[derive(Clone, Copy)]
struct Load {
    clients: usize,
    /// Longest pause of a client before a request.
    max_pause_ms: u64,
    /// Delay of the responses of targets.
    response_delay: Duration,
    /// Delay of each event of a stream; `None` if the clients request no streams.
    event_delay: Option<Duration>,
    /// Whether the instances get only a part of a processor.
    is_throttled: bool,
}

/// How a request ended for its client.
#[derive(Debug)]
enum RequestEnd {
    /// A complete response arrived.
    Responded,
    /// The connection ended before the first byte of a response.
    NoResponse,
    /// The connection ended within a response, or nothing arrived before the timeout.
    Incomplete(String),
}

#[derive(Debug)]
struct Observation {
    id: String,
    ended_at: Instant,
    end: RequestEnd,
}

/// How an instance shut down, and what its clients observed.
struct InstanceRecord {
    terminated_at: Instant,
    exited_at: Instant,
    is_success: bool,
    observations: Vec<Observation>,
}

/// Sends requests until connections are refused.
fn send_until_refused(
    address: SocketAddrV4,
    seed: u64,
    client: usize,
    load: Load,
) -> Vec<Observation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let keep_open = client.is_multiple_of(2);
    let mut observations = Vec::new();
    loop {
        // Clients that keep connections pause after the connection has been opened.
        if !keep_open {
            pause(&mut rng, load);
        }
        let Ok(mut connection) = ClientConnection::open(address) else {
            return observations;
        };
        let mut is_reusable = true;
        while is_reusable {
            if keep_open {
                pause(&mut rng, load);
            }
            let id = format!("{address}-{client}-{}", observations.len());
            let deadline_ms = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())];
            let with_deadline =
                |request: ClientRequest| request.with_header(names::DEADLINE.as_str(), deadline_ms);
            let request = match rng.random_range(0..4) {
                0 if load.event_delay.is_some() => stream_request("/stream/1", &id),
                0 | 1 => with_deadline(ClientRequest::new("GET", "/safe/1", &id)),
                _ => with_deadline(ClientRequest::new("POST", "/unsafe/1", &id)),
            };
            let response = connection.call(&request, keep_open);
            is_reusable = keep_open
                && response.as_ref().is_ok_and(|response| {
                    response.as_ref().is_some_and(|response| {
                        response.headers.get("connection").map(String::as_str) != Some("close")
                    })
                });
            let end = match response {
                Ok(Some(_)) => RequestEnd::Responded,
                Ok(None) => RequestEnd::NoResponse,
                Err(error) => RequestEnd::Incomplete(error.to_string()),
            };
            observations.push(Observation {
                id,
                ended_at: Instant::now(),
                end,
            });
        }
    }
}

fn pause(rng: &mut ChaCha8Rng, load: Load) {
    let pause_ms = rng.random_range(0..load.max_pause_ms);
    thread::sleep(Duration::from_millis(pause_ms));
}

/// Lets an instance run for a part of the time only, until a moment or until it has ended.
fn throttle_until(instance: &mut InstanceProcess, end: Instant) {
    while Instant::now() < end
        && instance
            .exit_success()
            .expect("the state is read")
            .is_none()
    {
        instance.pause().expect("the signal is sent");
        thread::sleep(THROTTLED_PAUSE);
        instance.resume().expect("the signal is sent");
        thread::sleep(THROTTLED_RUN);
    }
}

/// Terminates an instance after `delay` while clients send requests to it, and waits for its end.
fn shut_down_under_load(
    instance: &mut InstanceProcess,
    seed: u64,
    delay: Duration,
    load: Load,
) -> InstanceRecord {
    let address = instance.client_address();
    let clients: Vec<_> = (0..load.clients)
        .map(|client| {
            let client_seed = seed.wrapping_mul(100).wrapping_add(client as u64);
            thread::spawn(move || send_until_refused(address, client_seed, client, load))
        })
        .collect();
    if load.is_throttled {
        throttle_until(instance, Instant::now() + delay);
    } else {
        thread::sleep(delay);
    }
    let terminated_at = Instant::now();
    instance.terminate().expect("the signal is sent");
    if load.is_throttled {
        throttle_until(instance, terminated_at + GRACE_PERIOD);
    }
    let is_success = instance.wait().expect("the instance exits");
    let exited_at = Instant::now();
    let observations = clients
        .into_iter()
        .flat_map(|client| client.join().expect("the client thread ends"))
        .collect();
    InstanceRecord {
        terminated_at,
        exited_at,
        is_success,
        observations,
    }
}

impl InstanceRecord {
    /// Describes what the instance and its clients should not have done, given the identifiers of
    /// the requests that targets executed.
    fn violations(&self, executed: &BTreeSet<String>) -> Vec<String> {
        let mut violations = Vec::new();
        let shutdown_time = self.exited_at - self.terminated_at;
        if !self.is_success || shutdown_time >= GRACE_PERIOD {
            let is_success = self.is_success;
            violations.push(format!(
                "exit after {shutdown_time:?}, success: {is_success}"
            ));
        }
        for observation in &self.observations {
            let reason = match &observation.end {
                RequestEnd::NoResponse if executed.contains(&observation.id) => "no response",
                RequestEnd::Responded | RequestEnd::NoResponse => continue,
                RequestEnd::Incomplete(error) => error,
            };
            violations.push(format!(
                "request {} at a target: {}, ended {:?} after SIGTERM, exit after \
                 {shutdown_time:?}: {reason}",
                observation.id,
                executed.contains(&observation.id),
                observation
                    .ended_at
                    .saturating_duration_since(self.terminated_at)
            ));
        }
        let served_until = self.terminated_at + SHUTDOWN_SERVING_TIME;
        let is_served = self.observations.iter().any(|observation| {
            matches!(observation.end, RequestEnd::Responded) && observation.ended_at >= served_until
        });
        if !is_served {
            violations.push(format!(
                "no response {SHUTDOWN_SERVING_TIME:?} after SIGTERM"
            ));
        }
        violations
    }
}

/// Has each instance serve a stream, so that it knows how long streams take.
fn learn_durations(cluster: &TestCluster) {
    thread::scope(|scope| {
        for instance in &cluster.instances {
            let request = stream_request("/stream/1", "first");
            let address = instance.client_address();
            scope.spawn(move || {
                let response = request.call(address).expect("the instance responds");
                assert!(response.is_complete);
            });
        }
    });
}

/// Shuts down instances one after another while clients send requests, and fails if a request that
/// reached a target got no complete response or an instance did not exit in time.
fn check_shutdowns(load: Load) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    println!("ARBUTUS_SEED={seed}");
    let mut cluster = start_cluster(INSTANCES);
    for target in &cluster.platform.targets {
        target.set_response_delay(load.response_delay);
        if let Some(event_delay) = load.event_delay {
            target.set_event_delay(event_delay);
        }
    }
    if load.event_delay.is_some() {
        learn_durations(&cluster);
    }
    let records: Vec<InstanceRecord> = thread::scope(|scope| {
        let shutdowns: Vec<_> = (1_u32..)
            .zip(&mut cluster.instances)
            .map(|(number, instance)| {
                let instance_seed = seed.wrapping_mul(100).wrapping_add(u64::from(number));
                let delay = TERMINATION_INTERVAL * number;
                scope.spawn(move || shut_down_under_load(instance, instance_seed, delay, load))
            })
            .collect();
        shutdowns
            .into_iter()
            .map(|shutdown| shutdown.join().expect("the instance exits"))
            .collect()
    });
    let executed: BTreeSet<String> = cluster
        .platform
        .executed_request_ids()
        .into_iter()
        .collect();
    let violations: Vec<String> = records
        .iter()
        .flat_map(|record| record.violations(&executed))
        .collect();
    let request_count: usize = records.iter().map(|record| record.observations.len()).sum();
    assert!(
        violations.is_empty(),
        "seed {seed}, {request_count} requests, {} violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Guards against a process that decides to exit while no request is in progress, continues to read
/// requests, and ends while a target executes them. Their clients get no response.
#[test]
fn an_instance_that_shuts_down_responds_to_every_request_that_reaches_a_target() {
    // An instance has no request in progress for some of the time, and often has one 50 ms later.
    check_shutdowns(Load {
        clients: 4,
        max_pause_ms: 60,
        response_delay: RESPONSE_DELAY,
        event_delay: None,
        is_throttled: false,
    });
}

/// Guards against a process that always has requests in progress, and therefore reads and sends
/// requests until it exits at the end of its grace period without their responses.
#[test]
fn an_instance_under_constant_load_responds_to_every_request_before_its_grace_period_ends() {
    check_shutdowns(Load {
        clients: 12,
        max_pause_ms: 4,
        response_delay: RESPONSE_DELAY,
        event_delay: None,
        is_throttled: false,
    });
}

/// Guards against requests that arrive late in the grace period, are passed on and take so long
/// that they are cut off at its end, among them streams and requests that must not be repeated.
#[test]
fn an_instance_that_shuts_down_passes_on_only_requests_that_can_end_in_time() {
    check_shutdowns(Load {
        clients: 12,
        max_pause_ms: 100,
        response_delay: Duration::from_millis(700),
        event_delay: Some(Duration::from_millis(300)),
        is_throttled: false,
    });
}

/// Guards against a process that ends without a response to requests that it has read, because its
/// timers and reads are late when it gets only a part of a processor.
#[test]
fn a_throttled_instance_responds_to_every_request_that_reaches_a_target() {
    check_shutdowns(Load {
        clients: 6,
        max_pause_ms: 60,
        response_delay: Duration::from_millis(30),
        event_delay: None,
        is_throttled: true,
    });
}

/// Guards against a process that ends when its responses have been handed to the HTTP library, but
/// not yet written to the connections.
#[test]
fn an_instance_that_shuts_down_writes_responses_to_slow_clients_completely() {
    /// The client reads the body in 2 seconds.
    const READ_INTERVAL: Duration = Duration::from_millis(20);
    /// Without requests, an instance exits 3.2 seconds after SIGTERM; the client still reads then.
    const REQUEST_DELAY: Duration = Duration::from_secs(2);

    let mut cluster = start_cluster(1);
    for target in &cluster.platform.targets {
        target.set_min_body_bytes(slow_client::BODY_BYTES);
    }
    let terminated_at = Instant::now();
    cluster.instances[0]
        .terminate()
        .expect("the signal is sent");
    thread::sleep(REQUEST_DELAY);
    let connection = ClientRequest::new("GET", "/safe/1", "slow-reader")
        .send(cluster.instances[0].client_address())
        .expect("the instance accepts connections");
    let (exit, body_bytes) = thread::scope(|scope| {
        let instance = &mut cluster.instances[0];
        let exit = scope.spawn(move || (instance.wait(), terminated_at.elapsed()));
        let body_bytes = slow_client::receive_body(connection, READ_INTERVAL);
        (exit.join().expect("the instance exits"), body_bytes)
    });
    let (is_success, shutdown_time) = exit;
    assert_eq!(
        body_bytes,
        slow_client::BODY_BYTES,
        "bytes of the body; the instance exited {shutdown_time:?} after SIGTERM"
    );
    assert!(is_success.expect("the instance exits"), "exit status");
    assert!(shutdown_time < GRACE_PERIOD, "{shutdown_time:?}");
}
