//! Tests of the quarantine on the users' platform, with real processes: requests that crash targets
//! because of one part of their prompts.

mod common;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use crate::common::start_cluster_with_targets;
use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::client::ClientResponse;
use arbutus_standins::simulated_platform::example::TARGETS_WITH_SPARE_ENGINES;
use arbutus_standins::simulated_platform::example::complete_stream_body;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::staged_stream_request;
use arbutus_standins::simulated_platform::example::stream_request;
use arbutus_standins::simulated_platform::target::DeadlyRequest;
use arbutus_standins::simulated_platform::target::Fault;

const INSTANCES: usize = 3;
/// Instances discover each other from the store within two reads of the instance list.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
const DEADLY_REQUESTS: usize = 25;
const STEP: Duration = Duration::from_millis(300);
/// The users' bound: deadly requests may reach targets until this time after the crash of this
/// number, and this many of them later.
const CRASHES_BEFORE_BOUND: usize = 5;
const QUARANTINE_BOUND: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: usize = 3;
/// A refusal waits for no target and no other instance.
const REFUSAL_BOUND: Duration = Duration::from_millis(150);

/// A request that was sent, and its response.
struct Call {
    id: String,
    is_deadly: bool,
    sent_at: Instant,
    elapsed: Duration,
    response: ClientResponse,
}

/// Returns a request for a stream with a path, a body and a last part of its own. Every fifth one
/// may be resumed at another target.
fn request(id: &str, number: usize, shared_parts: &[&str]) -> ClientRequest {
    let path = if number.is_multiple_of(5) {
        format!("/resumable/{id}")
    } else {
        format!("/stream/{id}")
    };
    stream_request(&path, id)
        .with_header(names::PROMPT_PARTS.as_str(), &parts(id, shared_parts))
        .with_body(&format!("body of {id}"))
}

fn parts(id: &str, shared_parts: &[&str]) -> String {
    let shared = shared_parts.join(":40,");
    format!("{shared}:40,last-{id}:20")
}

impl TestCluster {
    fn start_with_deadly_part() -> Self {
        let cluster = start_cluster_with_targets(INSTANCES, &TARGETS_WITH_SPARE_ENGINES);
        for target in &cluster.platform.targets {
            target.set_deadly_part(Some("deadly"));
        }
        thread::sleep(DISCOVERY_TIME);
        cluster
    }

    fn call(&self, instance: usize, request: &ClientRequest) -> ClientResponse {
        let address = self.instances[instance % INSTANCES].client_address();
        request
            .call(address)
            .expect("the instance accepts connections")
    }

    /// Sends a deadly request in each step, and sound ones in each step for which `has_sound` holds.
    fn send_steps(&self, has_sound: impl Fn(usize) -> bool) -> Vec<Call> {
        let started_at = Instant::now();
        let mut calls = Vec::new();
        let mut call_number = 0;
        for step in 0..DEADLY_REQUESTS {
            let due_at = started_at + STEP * u32::try_from(step).expect("a small number");
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            let all: [(&str, &[&str]); 3] = [
                ("deadly", &["shared", "subject", "deadly"]),
                ("sound", &["shared", "subject"]),
                ("other", &["shared", "other-subject"]),
            ];
            let sent = if has_sound(step) { &all[..] } else { &all[..1] };
            for (kind, shared_parts) in sent {
                let id = format!("{kind}-{step}");
                let request = request(&id, step, shared_parts);
                let sent_at = Instant::now();
                let response = self.call(call_number, &request);
                call_number += 1;
                calls.push(Call {
                    id,
                    is_deadly: *kind == "deadly",
                    sent_at,
                    elapsed: sent_at.elapsed(),
                    response,
                });
            }
        }
        calls
    }

    /// Returns the times and identifiers of the deadly requests that crashed targets, in order.
    fn crashes(&self) -> Vec<(Instant, String)> {
        let mut crashes: Vec<(Instant, String)> = self
            .platform
            .targets
            .iter()
            .flat_map(|target| target.executed_requests())
            .filter(|executed| executed.request_id.starts_with("deadly"))
            .map(|executed| (executed.started_at, executed.request_id))
            .collect();
        crashes.sort();
        crashes
    }
}

fn sound_violations(calls: &[Call]) -> Vec<String> {
    let unserved = calls.iter().filter(|call| {
        !call.is_deadly
            && (call.response.status != 200
                || !call.response.is_complete
                || call.response.body != complete_stream_body())
    });
    unserved
        .map(|call| format!("{}: status {}", call.id, call.response.status))
        .collect()
}

/// Guards against a quarantine that recognises only identical requests, forgets a crash after a
/// response head, or stays at one instance: each request with the part crashes another target.
#[test]
fn requests_with_a_part_that_crashes_targets_stop_reaching_targets_at_every_instance() {
    let cluster = TestCluster::start_with_deadly_part();
    let calls = cluster.send_steps(|_| true);
    let crashes = cluster.crashes();
    let mut violations = sound_violations(&calls);
    // Without a fifth crash, the bound is not needed, but late requests still have to be refused.
    let bound_crash = crashes.get(CRASHES_BEFORE_BOUND - 1).or(crashes.last());
    let bound = bound_crash.expect("deadly requests reach targets").0 + QUARANTINE_BOUND;
    let late: BTreeSet<&str> = crashes
        .iter()
        .filter(|(at, _)| *at > bound)
        .map(|(_, id)| id.as_str())
        .collect();
    if late.len() > MAX_LATE_REQUESTS {
        violations.push(format!(
            "{} deadly requests reached targets late",
            late.len()
        ));
    }
    let late_calls: Vec<&Call> = calls
        .iter()
        .filter(|call| call.is_deadly && call.sent_at > bound)
        .collect();
    assert!(
        late_calls.len() > MAX_LATE_REQUESTS,
        "too few late requests"
    );
    for call in late_calls {
        let is_refused = call.response.status == 503 && call.elapsed < REFUSAL_BOUND;
        if !late.contains(call.id.as_str()) && !is_refused {
            let (status, elapsed) = (call.response.status, call.elapsed);
            violations.push(format!("{}: status {status} after {elapsed:?}", call.id));
        }
    }
    assert!(
        violations.is_empty(),
        "{} crashes, {} violations:\n{}",
        crashes.len(),
        violations.len(),
        violations.join("\n")
    );
}

/// Guards against a check of the quarantine on arrival only: a request whose stage results take
/// longer than the quarantine takes to begin crashes another target.
#[test]
fn a_request_that_waits_for_its_stage_results_is_refused_once_its_prompt_is_quarantined() {
    /// Thirteen calls of 150 ms compute the results of the first stage, and one those of the second.
    const PIECES: &str = "104,1";
    const CRASHING_REQUESTS: usize = 5;
    /// Stage results have to be complete after 60 % of the time of a request.
    const TIMEOUT_MS: Millis = Millis(6_000);
    /// Time within which a change in the store takes effect.
    const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
    /// By then, crash reports have reached all instances, and all targets are in service again. The
    /// stage results take 2.1 s.
    const QUARANTINE_DELAY: Duration = Duration::from_millis(1_900);

    let cluster = TestCluster::start_with_deadly_part();
    let mut patient = configuration(2);
    for route in &mut patient.routes {
        route.timeout_ms = TIMEOUT_MS;
    }
    cluster
        .platform
        .store
        .put_configuration(&patient)
        .expect("the object can be encoded");
    thread::sleep(CONFIGURATION_BOUND);
    let shared_parts = ["shared", "subject", "deadly"];
    let started_at = Instant::now();
    let (staged, later) = thread::scope(|scope| {
        let id = "deadly-staged";
        let staged_request = staged_stream_request(id, PIECES, id)
            .with_header(names::DEADLINE.as_str(), &TIMEOUT_MS.0.to_string())
            .with_header(names::PROMPT_PARTS.as_str(), &parts(id, &shared_parts));
        let cluster = &cluster;
        let staged = scope.spawn(move || cluster.call(0, &staged_request));
        thread::sleep(Duration::from_millis(50));
        for number in 0..CRASHING_REQUESTS {
            let id = format!("deadly-{number}");
            cluster.call(number, &request(&id, 1, &shared_parts));
        }
        let due_at = started_at + QUARANTINE_DELAY;
        thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let later = cluster.call(0, &request("deadly-later", 1, &shared_parts));
        let is_staged_in_progress = !staged.is_finished();
        assert!(is_staged_in_progress, "the stage results were too early");
        (staged.join().expect("the client thread ends"), later)
    });
    // Shows that the other requests were not refused for lack of targets.
    let sound = cluster.call(0, &request("sound", 1, &["shared", "subject"]));
    let crashes = cluster.crashes();
    assert!(crashes.len() >= 2, "deadly requests reach targets at first");
    let reached_target = |id: &str| crashes.iter().any(|(_, crash)| crash == id);
    assert_eq!(
        [
            (
                "deadly-staged",
                staged.status,
                reached_target("deadly-staged")
            ),
            ("deadly-later", later.status, reached_target("deadly-later")),
            ("sound", sound.status, false),
        ],
        [
            ("deadly-staged", 503, false),
            ("deadly-later", 503, false),
            ("sound", 200, false),
        ],
        "status of each request, and whether a target that crashed executed it"
    );
}

/// Guards against a quarantine of the parts that deadly requests share with sound ones, when few
/// responses to sound requests show which part is the cause.
#[test]
fn requests_that_share_all_parts_but_the_one_that_crashes_targets_are_served() {
    let cluster = TestCluster::start_with_deadly_part();
    let calls = cluster.send_steps(|step| step % 6 == 5);
    assert_eq!(sound_violations(&calls), Vec::<String>::new());
}

/// Guards against a quarantine of prompts whose requests were at a target that closed connections
/// for a reason of its own.
#[test]
fn a_target_that_closes_connections_does_not_quarantine_prompts() {
    const ROUNDS: usize = 12;
    const FAULTS_PER_ROUND: usize = 2;

    let cluster = start_cluster(INSTANCES);
    let engines = &cluster.platform.targets[2..4];
    let mut calls = Vec::new();
    for round in 0..ROUNDS {
        // The other target is sound, and the route allows a second attempt there.
        let target = &engines[round % engines.len()];
        for _ in 0..FAULTS_PER_ROUND {
            target.add_fault(Fault::CloseWithoutResponse);
        }
        for subject in ["one", "two", "three", "four"] {
            let id = format!("{round}-{subject}");
            let request = request(&id, 0, &["shared", subject]);
            let response = cluster.call(calls.len(), &request);
            calls.push((id, response.status, response.body));
        }
        target.clear_faults();
    }
    let executions = cluster.platform.executed_request_ids().len();
    let closed_count = executions - calls.len();
    assert!(
        closed_count >= ROUNDS / 2,
        "{closed_count} closed connections"
    );
    calls.retain(|(_, status, body)| *status != 200 || *body != complete_stream_body());
    assert!(calls.is_empty(), "{closed_count} closed: {calls:?}");
}

/// Guards against a popular request that is refused for a minute by instances that had no response
/// of their own to it, after targets of its service have crashed under other requests.
#[test]
fn a_request_that_another_instance_got_a_response_to_is_not_quarantined() {
    let cluster = start_cluster(3);
    let status = |instance: usize, path: &str, id: &str| {
        let response =
            ClientRequest::new("GET", path, id).call(cluster.instances[instance].client_address());
        response.expect("the instance accepts connections").status
    };
    let break_connections = || {
        for target in &cluster.platform.targets {
            if target.entry().service == "desk" {
                target.add_fault(Fault::CloseWithoutResponse);
            }
        }
    };
    thread::sleep(DISCOVERY_TIME);
    assert_eq!(status(0, "/safe/popular", "first"), 200);
    break_connections();
    assert_ne!(status(1, "/safe/popular", "broken"), 200);
    break_connections();
    assert_ne!(status(1, "/safe/unknown", "broken-too"), 200);
    // The crashes have been reported to all instances, and the response of the first one, too.
    thread::sleep(Duration::from_secs(1));
    for instance in 0..3 {
        let id = format!("popular-{instance}");
        assert_eq!(status(instance, "/safe/popular", &id), 200, "{instance}");
        // A request that nobody got a response to stays refused.
        let id = format!("unknown-{instance}");
        assert_eq!(status(instance, "/safe/unknown", &id), 503, "{instance}");
    }
}

/// A client that sends the same requests again and again at all instances in turn: one that crashes
/// each target after its first events, and one that is in progress at the same targets.
struct Resender<'a> {
    cluster: &'a TestCluster,
    started_at: Instant,
}

impl Resender<'_> {
    const DEADLY_BODY: &'static str = "deadly";
    const INTERVAL: Duration = Duration::from_millis(300);
    const DEADLY_COUNT: u32 = 36;
    const POPULAR_COUNT: u32 = 36;

    /// Sends `count` requests for a stream, one after each interval, and returns for each one when it
    /// was sent and whether its response was complete.
    fn resend(&self, path: &str, body: &str, count: u32) -> Vec<(Duration, bool)> {
        let calls = (0..count).map(|number| {
            let due_at = self.started_at + Self::INTERVAL * number;
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            let id = format!("{body}-{number}");
            let request = stream_request(path, &id)
                .with_header(names::PROMPT_PARTS.as_str(), &parts(body, &["shared"]))
                .with_body(body);
            let sent_at = self.started_at.elapsed();
            let response = self.cluster.call(number as usize, &request);
            (sent_at, response.body == complete_stream_body())
        });
        calls.collect()
    }
}

/// Guards against a response that clears a request when it begins: a request that crashes its target
/// after the first events reached targets as often as it came, and each of them crashed. A popular
/// request whose streams break at the same targets has to be served.
#[test]
fn a_request_that_crashes_targets_within_its_response_is_quarantined() {
    /// The users' bound, after the third crash, and the crashes that are allowed later.
    const CRASHES_BEFORE_BOUND: usize = 3;

    for (path, events_before_crash) in [("/resumable/1", 1), ("/stream/1", 3)] {
        let cluster = TestCluster::start_with_deadly_part();
        for target in &cluster.platform.targets {
            target.set_deadly_request(DeadlyRequest {
                body: Resender::DEADLY_BODY,
                events_before_crash,
            });
        }
        let resender = Resender {
            cluster: &cluster,
            started_at: Instant::now(),
        };
        let popular = thread::scope(|scope| {
            let popular = scope.spawn(|| resender.resend(path, "popular", Resender::POPULAR_COUNT));
            resender.resend(path, Resender::DEADLY_BODY, Resender::DEADLY_COUNT);
            popular.join().expect("the client thread ends")
        });
        let crashes = cluster.crashes();
        let third = crashes.get(CRASHES_BEFORE_BOUND - 1);
        let bound = third.expect("three targets crash").0 + QUARANTINE_BOUND;
        let late_count = crashes.iter().filter(|(at, _)| *at > bound).count();
        assert!(
            late_count <= MAX_LATE_REQUESTS,
            "{path}: {late_count} of {} crashes too late",
            crashes.len()
        );
        // Targets that crashed before the bound are in service again.
        let last = Resender::INTERVAL * (Resender::POPULAR_COUNT - 10);
        let unserved = popular.iter().filter(|(at, served)| *at > last && !served);
        assert_eq!(unserved.count(), 0, "{path}: {popular:?}");
    }
}

/// Guards against a popular request that is refused for a minute because its streams were in progress
/// wherever another request crashed a target.
#[test]
fn a_popular_request_whose_streams_broke_at_every_target_is_served_soon() {
    /// No stream is complete before the other request crashes its target.
    const EVENT_DELAY: Duration = Duration::from_millis(120);

    let cluster = start_cluster(INSTANCES);
    for target in &cluster.platform.targets {
        target.set_event_delay(EVENT_DELAY);
        target.set_deadly_request(DeadlyRequest {
            body: Resender::DEADLY_BODY,
            events_before_crash: 1,
        });
    }
    thread::sleep(DISCOVERY_TIME);
    let resender = Resender {
        cluster: &cluster,
        started_at: Instant::now(),
    };
    let popular = thread::scope(|scope| {
        for number in 0..2 {
            let resender = &resender;
            scope.spawn(move || {
                thread::sleep(Resender::INTERVAL / 2 * number);
                resender.resend(
                    "/resumable/1",
                    Resender::DEADLY_BODY,
                    Resender::DEADLY_COUNT,
                )
            });
        }
        resender.resend("/resumable/1", "popular", Resender::POPULAR_COUNT)
    });
    let last = Resender::INTERVAL * (Resender::POPULAR_COUNT - 10);
    let unserved = popular.iter().filter(|(at, served)| *at > last && !served);
    assert_eq!(unserved.count(), 0, "{popular:?}");
}

/// Guards against a quarantine that is told once and forgotten by each instance that restarts: a
/// booking that crashes targets reached two more after each restart.
#[test]
fn an_instance_that_restarts_knows_the_quarantined_requests() {
    /// Crashes that quarantine the booking, and the one of its trial.
    const MAX_CRASHES: usize = 3;
    /// A target that crashed is in service again after this time.
    const CALL_INTERVAL: Duration = Duration::from_millis(1_300);

    let mut cluster = start_cluster(INSTANCES);
    for target in &cluster.platform.targets {
        target.set_deadly_request(DeadlyRequest {
            body: Resender::DEADLY_BODY,
            events_before_crash: 0,
        });
    }
    thread::sleep(DISCOVERY_TIME);
    let send = |cluster: &TestCluster, instance: usize, id: &str, body: &str| {
        let request = ClientRequest::new("POST", "/unsafe/1", id).with_body(body);
        let status = cluster.call(instance, &request).status;
        thread::sleep(CALL_INTERVAL);
        status
    };
    for number in 0..2 {
        send(
            &cluster,
            0,
            &format!("deadly-{number}"),
            Resender::DEADLY_BODY,
        );
    }
    for instance in 0..INSTANCES {
        let process = &mut cluster.instances[instance];
        process.terminate().expect("the process runs");
        assert!(process.wait().expect("the process ends"));
        process.restart().expect("the instance starts");
        process.wait_until_ready().expect("the instance is ready");
        thread::sleep(CALL_INTERVAL);
        for call in 0..2 {
            let id = format!("deadly-after-{instance}-{call}");
            send(&cluster, instance, &id, Resender::DEADLY_BODY);
        }
        // Shows that targets are in service.
        let id = format!("sound-{instance}");
        assert_eq!(send(&cluster, instance, &id, "sound"), 200, "{id}");
    }
    let crashes = cluster.crashes();
    assert!(crashes.len() <= MAX_CRASHES, "{crashes:?}");
}
