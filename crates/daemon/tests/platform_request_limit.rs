//! Tests of targets that limit the rate of their requests, with real processes.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::target::Target;

/// Requests in a window of this length count against a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a limit has to be observed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Pause of each client between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const INSTANCES: usize = 6;

/// Clients that send requests to all instances until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(usize, usize)>>,
}

impl Clients {
    /// Starts a client for each instance, which sends what `request` returns for a number.
    fn start(cluster: &TestCluster, request: fn(usize) -> ClientRequest) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = cluster
            .instances
            .iter()
            .enumerate()
            .map(|(index, instance)| {
                let address = instance.client_address();
                let is_stopped = Arc::clone(&is_stopped);
                thread::spawn(move || {
                    let (mut sent, mut served) = (0, 0);
                    while !is_stopped.load(Ordering::Relaxed) {
                        let response = request(index * 100_000 + sent).call(address);
                        // An instance that restarts accepts no connections.
                        served +=
                            usize::from(response.is_ok_and(|response| response.status == 200));
                        sent += 1;
                        thread::sleep(REQUEST_INTERVAL);
                    }
                    (sent, served)
                })
            });
        Self {
            threads: threads.collect(),
            is_stopped,
        }
    }

    /// Stops the clients; returns how many requests they sent, and how many were served.
    fn stop(self) -> (usize, usize) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let counts = self.threads.into_iter().map(JoinHandle::join);
        counts.fold((0, 0), |(sent, served), counts| {
            let counts = counts.expect("the client ends");
            (sent + counts.0, served + counts.1)
        })
    }
}

/// Returns the largest number of arrivals in a window, among those from a time on.
fn most_in_window(target: &Target, from: Instant) -> usize {
    let arrivals: Vec<Instant> = target
        .arrivals()
        .into_iter()
        .filter(|&arrival| arrival >= from)
        .collect();
    let counts = arrivals.iter().map(|&start| {
        let inside = arrivals
            .iter()
            .filter(|&&arrival| arrival >= start && arrival < start + WINDOW);
        inside.count()
    });
    counts.max().unwrap_or(0)
}

/// Returns how many requests a limit allows in a window.
fn allowed_in_window(requests_per_s: f64) -> usize {
    (1.5 * requests_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against a target in need that gets more requests than it has asked for: each instance
/// goes by its own view, and one that restarts knows of no limit. The other target serves all.
#[test]
fn a_target_gets_no_more_requests_than_its_limit_from_all_instances() {
    thread::scope(|scope| {
        for requests_per_s in [0.5, 1.0, 3.5] {
            scope.spawn(move || check_limit(requests_per_s));
        }
    });
}

fn check_limit(requests_per_s: f64) {
    let mut cluster = start_cluster(INSTANCES);
    let targets = cluster.platform.targets.clone();
    let clients = Clients::start(&cluster, |number| {
        ClientRequest::new("GET", &format!("/safe/{number}"), &format!("s{number}"))
    });
    thread::sleep(Duration::from_secs(1));
    targets[0].set_request_limit(Some(requests_per_s));
    let named_at = Instant::now();
    thread::sleep(CONTACT_TIME + Duration::from_secs(2));
    cluster.instances[0].kill().expect("the process ends");
    cluster.instances[0].restart().expect("the process starts");
    thread::sleep(WINDOW);
    let limited = most_in_window(&targets[0], named_at + CONTACT_TIME);
    targets[0].set_request_limit(None);
    let ended_at = Instant::now();
    thread::sleep(Duration::from_secs(12));
    let after_end = targets[0].arrivals();
    let after_end = after_end.iter().filter(|&&arrival| arrival > ended_at);
    let (sent, served) = clients.stop();
    assert!(
        limited <= allowed_in_window(requests_per_s),
        "{limited} requests in a window at {requests_per_s} a second"
    );
    assert!(limited > 0, "no requests at {requests_per_s} a second");
    // Without its limit, the target serves about half of the requests again.
    let after_end = after_end.count();
    assert!(after_end > 200, "{after_end} requests after the limit");
    // The instance that is killed loses a few.
    assert!(served + 60 > sent, "{served} of {sent} served");
}

/// Guards against calls of stages that exceed the limit of a target: one owner of a queue sends
/// them, one after the other.
#[test]
fn a_stage_target_gets_no_more_calls_than_its_limit() {
    const REQUESTS_PER_S: f64 = 0.5;
    let cluster = start_cluster(INSTANCES);
    let first_stage = cluster
        .platform
        .targets
        .iter()
        .find(|target| target.entry().service == "first")
        .map(Arc::clone)
        .expect("the stage has a target");
    let clients = Clients::start(&cluster, |number| {
        example::staged_stream_request(&format!("p{number}"), "1,1", &format!("key{number}"))
    });
    thread::sleep(Duration::from_secs(1));
    first_stage.set_request_limit(Some(REQUESTS_PER_S));
    let named_at = Instant::now();
    thread::sleep(CONTACT_TIME + WINDOW + WINDOW);
    clients.stop();
    let limited = most_in_window(&first_stage, named_at + CONTACT_TIME);
    assert!(
        limited <= allowed_in_window(REQUESTS_PER_S),
        "{limited} calls in a window"
    );
    assert!(limited > 0, "no calls");
}
