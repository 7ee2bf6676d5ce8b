//! Tests of roll-outs of a service's version, with real processes.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_platform::rollout::RolloutStatus;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::rollout::RolloutLimits;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::staged_stream_request;
use arbutus_standins::simulated_platform::instance::InstanceProcess;
use arbutus_standins::simulated_platform::instance::ResourceLimits;
use arbutus_standins::simulated_platform::target::ExecutedRequest;
use arbutus_standins::simulated_platform::target::Fault;
use arbutus_standins::simulated_platform::target::Target;

const SERVICE: &str = "desk";
const OLD: [&str; 4] = ["o1", "o2", "o3", "o4"];
const NEW: [&str; 4] = ["n1", "n2", "n3", "n4"];
const INSTANCES: usize = 4;
const LIMITS: RolloutLimits = RolloutLimits {
    exposure_share: 0.1,
    exposure_tolerance: 50,
    rollback_ms: Millis(5_000),
};
const ORDER_DURATION: Duration = Duration::from_secs(14);
/// Time after the order until which the new version is certainly under trial.
const TRIAL: Duration = Duration::from_secs(8);
/// Time after the order at which the deciding instance is killed, in tests that kill it.
const KILL_AFTER: Duration = Duration::from_secs(4);
/// Time within which a target reads what a killed instance has sent.
const BUFFERED: Duration = Duration::from_millis(200);
/// Time after which the platform starts a killed instance again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
const CLIENTS_PER_INSTANCE: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const RESPONSE_DELAY: Duration = Duration::from_millis(15);
/// More faults than a target gets requests.
const ALL_REQUESTS: usize = 20_000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn start_instances(
    platform: &SimulatedPlatform,
    rollout_limits: Option<RolloutLimits>,
) -> Vec<InstanceProcess> {
    platform
        .store
        .put_configuration(&configuration(1))
        .expect("the object can be encoded");
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let store = platform.store.address;
    let instances: Vec<InstanceProcess> = (0..INSTANCES)
        .map(|index| {
            let domain = ["x", "y"][index % 2];
            let limits = ResourceLimits {
                rollout_limits,
                ..ResourceLimits::default()
            };
            InstanceProcess::start_with_limits(program, directory, store, domain, limits)
                .expect("the instance starts")
        })
        .collect();
    for instance in &instances {
        instance.wait_until_ready().expect("the instance is ready");
    }
    // All instances see each other.
    thread::sleep(Duration::from_millis(1_500));
    instances
}

/// Instances, the old targets of a service, and new ones that are not in the store yet.
struct Cluster {
    platform: SimulatedPlatform,
    instances: Vec<InstanceProcess>,
}

impl Cluster {
    fn start(rollout_limits: Option<RolloutLimits>) -> Self {
        let domains = ["x", "y"].into_iter().cycle();
        let targets: Vec<(&str, &str, &str)> = OLD
            .into_iter()
            .chain(NEW)
            .zip(domains)
            .map(|(id, domain)| (id, SERVICE, domain))
            .collect();
        let platform = SimulatedPlatform::start(&targets).expect("the servers start");
        for target in &platform.targets {
            target.set_response_delay(RESPONSE_DELAY);
            let is_old = OLD.contains(&target.entry().id.as_str());
            target.set_version(if is_old { "v1" } else { "v2" });
            if is_old {
                let entry = target.entry();
                platform
                    .store
                    .put_target(&entry)
                    .expect("it can be encoded");
            } else {
                platform
                    .store
                    .remove(ObjectKind::Targets, &target.entry().id);
            }
        }
        let instances = start_instances(&platform, rollout_limits);
        Self {
            platform,
            instances,
        }
    }

    fn targets(&self, ids: &[&str]) -> Vec<Arc<Target>> {
        ids.iter().map(|id| self.platform.target(id)).collect()
    }

    /// Writes the order and the entries of the new targets, which instances may read in any order.
    fn order(&self) -> Instant {
        let duration_ms = Millis(ORDER_DURATION.as_millis() as u64);
        let store = &self.platform.store;
        store
            .put_rollout(SERVICE, "v2", duration_ms)
            .expect("the order can be encoded");
        let ordered_at = Instant::now();
        for target in self.targets(&NEW) {
            store
                .put_target(&target.entry())
                .expect("it can be encoded");
        }
        ordered_at
    }

    /// Kills the instance that decides and starts it again. Returns its index, and a time at which
    /// the process had ended.
    fn restart_decider(&mut self) -> (usize, Instant) {
        let key = format!("rollout/{SERVICE}");
        let names: Vec<String> = self
            .instances
            .iter()
            .map(|instance| instance.name().to_owned())
            .collect();
        let decider = rendezvous::owner(key.as_bytes(), names.iter().map(String::as_str));
        let index = names.iter().position(|name| Some(name.as_str()) == decider);
        let index = index.expect("an instance decides");
        let instance = &mut self.instances[index];
        instance.kill().expect("the process ends");
        let killed_at = Instant::now();
        thread::sleep(RESTART_AFTER);
        instance.restart().expect("the process starts");
        (index, killed_at)
    }

    /// Waits for the final state, and returns all statuses.
    fn wait_for_end(&self, ordered_at: Instant) -> Vec<(Instant, RolloutStatus)> {
        loop {
            let statuses = self.platform.store.rollout_statuses();
            let is_final = statuses
                .iter()
                .any(|(_, status)| status.state != RolloutState::InProgress);
            if is_final || ordered_at.elapsed() > ORDER_DURATION {
                // A second decision would follow within this time.
                thread::sleep(Duration::from_secs(2));
                return self.platform.store.rollout_statuses();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn executed(&self, ids: &[&str]) -> Vec<ExecutedRequest> {
        let targets = self.targets(ids);
        let requests = targets.iter().flat_map(|target| target.executed_requests());
        requests.collect()
    }
}

/// Clients that send requests to all instances until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    failures: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(cluster: &Cluster) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let failures = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        for client in 0..INSTANCES * CLIENTS_PER_INSTANCE {
            let address = cluster.instances[client % INSTANCES].client_address();
            let (is_stopped, failures) = (Arc::clone(&is_stopped), Arc::clone(&failures));
            threads.push(thread::spawn(move || {
                let mut sent = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    let id = format!("c{client}-{sent}");
                    let response = ClientRequest::new("GET", "/safe/1", &id).call(address);
                    // An instance that restarts accepts no connections.
                    let is_served = response.is_ok_and(|response| response.status == 200);
                    failures.fetch_add(usize::from(!is_served), Ordering::Relaxed);
                    sent += 1;
                    thread::sleep(REQUEST_INTERVAL);
                }
            }));
        }
        Self {
            is_stopped,
            failures,
            threads,
        }
    }

    /// Stops the clients; returns how many requests failed.
    fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the client ends");
        }
        self.failures.load(Ordering::Relaxed)
    }
}

/// Returns the index of the instance to which a client sent a request.
fn instance_of(request: &ExecutedRequest) -> usize {
    let client = request.request_id.trim_start_matches('c').split('-').next();
    let client: usize = client
        .and_then(|client| client.parse().ok())
        .expect("the identifier begins with the number of the client");
    client % INSTANCES
}

/// Returns how many of the requests of a service a version under trial may get.
fn exposure_bound(requests: usize) -> usize {
    (requests as f64 * LIMITS.exposure_share) as usize + LIMITS.exposure_tolerance as usize
}

fn states(statuses: &[(Instant, RolloutStatus)]) -> Vec<RolloutState> {
    statuses.iter().map(|(_, status)| status.state).collect()
}

const COMPLETED: [RolloutState; 2] = [RolloutState::InProgress, RolloutState::Completed];
const ROLLED_BACK: [RolloutState; 2] = [RolloutState::InProgress, RolloutState::RolledBack];

fn check_good_version(kills_decider: bool, loses_response: bool) {
    let mut cluster = Cluster::start(Some(LIMITS));
    let clients = Clients::start(&cluster);
    if loses_response {
        cluster.platform.store.lose_next_status_response();
    }
    let ordered_at = cluster.order();
    let mut killed = None;
    if kills_decider {
        thread::sleep(KILL_AFTER);
        killed = Some(cluster.restart_decider());
    }
    let statuses = cluster.wait_for_end(ordered_at);
    let failures = clients.stop();
    assert_eq!(states(&statuses), COMPLETED, "{statuses:?}");
    let completed_at = statuses[1].0;
    assert!(completed_at <= ordered_at + ORDER_DURATION);
    for request in cluster.executed(&OLD) {
        let is_cut_off = killed.is_some_and(|(index, killed_at)| {
            instance_of(&request) == index && request.started_at <= killed_at + BUFFERED
        });
        assert!(
            request.started_at < completed_at,
            "{request:?} after the end"
        );
        let has_ended = request.completed_at.is_some_and(|end| end < completed_at);
        assert!(has_ended || is_cut_off, "{request:?} was in progress");
    }
    assert!(kills_decider || failures == 0, "{failures} requests failed");
    // Until the shift, the version could still turn out to be bad.
    let trial = ordered_at..ordered_at + TRIAL;
    let count = |ids: &[&str]| {
        let executed = cluster.executed(ids);
        let in_trial = executed
            .iter()
            .filter(|request| trial.contains(&request.started_at));
        in_trial.count()
    };
    let (new, old) = (count(&NEW), count(&OLD));
    assert!(new <= exposure_bound(new + old), "{new} of {}", new + old);
}

fn check_bad_version(kills_decider: bool, damage: fn(&Target)) {
    let mut cluster = Cluster::start(Some(LIMITS));
    for target in cluster.targets(&NEW) {
        damage(&target);
    }
    let clients = Clients::start(&cluster);
    thread::sleep(Duration::from_secs(1));
    let before_order = cluster.executed(&OLD).len();
    let ordered_at = cluster.order();
    if kills_decider {
        thread::sleep(KILL_AFTER);
        let _killed = cluster.restart_decider();
    }
    let statuses = cluster.wait_for_end(ordered_at);
    clients.stop();
    assert_eq!(states(&statuses), ROLLED_BACK, "{statuses:?}");
    let rolled_back_at = statuses[1].0;
    assert!(rolled_back_at <= ordered_at + ORDER_DURATION);
    let mut new = cluster.executed(&NEW);
    new.sort_by_key(|request| request.started_at);
    let all = cluster.executed(&OLD).len() + new.len() - before_order;
    assert!(new.len() <= exposure_bound(all), "{} of {all}", new.len());
    assert!(!new.is_empty(), "the new version was not tried");
    if let (Some(fiftieth), Some(last)) = (new.get(49), new.last()) {
        let rollback = Duration::from_millis(LIMITS.rollback_ms.0);
        assert!(last.started_at <= fiftieth.started_at + rollback);
    }
}

/// Guards against a good version that is not completed in time, and against `completed` while a
/// request is in progress at an old target, which stops then.
#[test]
fn a_good_version_is_completed_with_nothing_in_progress_at_old_targets() {
    check_good_version(false, false);
}

/// Guards against a decision that is lost or made twice when the deciding instance ends.
#[test]
fn a_good_version_is_completed_although_the_deciding_instance_is_killed() {
    check_good_version(true, false);
}

/// Guards against a decider that waits for ever, or writes again, because the response to a write
/// was lost.
#[test]
fn a_lost_response_to_the_write_of_a_state_does_not_stop_a_roll_out() {
    check_good_version(false, true);
}

/// Guards against a version that fails and is completed, or gets more requests than it may.
#[test]
fn a_version_that_fails_is_rolled_back() {
    check_bad_version(false, |target| {
        for _ in 0..ALL_REQUESTS {
            target.add_fault(Fault::RespondWithError);
        }
    });
}

/// Guards against evidence that ends with the deciding instance.
#[test]
fn a_slow_version_is_rolled_back_although_the_deciding_instance_is_killed() {
    check_bad_version(true, |target| target.set_response_delay(RESPONSE_DELAY * 5));
}

/// Guards against calls to the store, which are charged, and against a change of behaviour where
/// nobody has set bounds.
#[test]
fn without_bounds_the_store_is_not_asked_for_orders() {
    let cluster = Cluster::start(None);
    let clients = Clients::start(&cluster);
    cluster.order();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(clients.stop(), 0);
    let calls = cluster.platform.store.call_count_of(ObjectKind::Rollouts);
    assert_eq!(calls, 0);
    let new = cluster.executed(&NEW).len();
    assert!(new > 0, "targets of any version are used");
}

/// Guards against a stage target of a version under trial that computes pieces: the owner of a queue
/// does not limit how many it gets.
#[test]
fn a_version_under_trial_gets_no_pieces_of_stages() {
    let targets = [
        ("e1", "engines", "x"),
        ("f1", "first", "x"),
        ("f2", "first", "y"),
        ("s1", "second", "y"),
    ];
    let platform = SimulatedPlatform::start(&targets).expect("the servers start");
    for (id, version) in [("f1", "v1"), ("f2", "v2")] {
        let target = platform.target(id);
        target.set_version(version);
        let entry = target.entry();
        platform
            .store
            .put_target(&entry)
            .expect("it can be encoded");
    }
    platform
        .store
        .put_rollout("first", "v2", Millis(60_000))
        .expect("the order can be encoded");
    let instances = start_instances(&platform, Some(LIMITS));
    for number in 0..40 {
        let (id, key) = (format!("p{number}"), format!("key{number}"));
        let request = staged_stream_request(&id, "2,2", &key);
        let response = request.call(instances[number % INSTANCES].client_address());
        assert_eq!(response.expect("the instance accepts").status, 200);
    }
    assert_eq!(platform.target("f2").stage_calls().len(), 0);
    assert!(!platform.target("f1").stage_calls().is_empty());
}
