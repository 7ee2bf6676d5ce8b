//! Guards against non-idempotent requests that are executed twice or lost: when an instance is
//! killed, when the platform is down or loses responses, and when clients retry at another
//! instance.
//!
//! The tests run real processes on loopback. They use the programs of the workspace, so `cargo
//! build --workspace` has to come before `cargo test -p arbutusd`.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use arbutus_standins::executions::ExecutionList;
use arbutus_standins::fleet::Fleet;
use arbutus_standins::fleet::FleetSpec;
use arbutus_standins::fleet::ServiceTargets;

const SERVICE: &str = "order-desk";
const ORGANISATION: &str = "kamagama";
/// Execution time of a call: long enough to inject a fault during it, and shorter than the deadline
/// of the pipeline.
const SERVICE_MS: u64 = 1_500;
const MID_CALL_DELAY: Duration = Duration::from_millis(700);
const TIMEOUT: Duration = Duration::from_secs(40);

struct Deployment {
    fleet: Fleet,
    directory: PathBuf,
}

#[derive(Clone, Debug, PartialEq)]
struct Response {
    status: u16,
    replayed: bool,
    body: Value,
}

impl Response {
    fn is_not_executed(&self) -> bool {
        self.body["executed"] == "no"
    }
}

impl Deployment {
    fn start(name: &str, service_ms: u64) -> Self {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama");
        Self::start_with_configuration(name, service_ms, examples)
    }

    /// Starts a deployment with a single claim shard, which reaches its size limit quickly.
    fn start_with_one_shard(name: &str) -> Self {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama");
        let base = fs::read_to_string(examples.join("base.yaml")).expect("the example exists");
        assert!(base.contains("shards: 16"), "the example has the default");
        let directory =
            env::temp_dir().join(format!("arbutus-{name}-{}-files", std::process::id()));
        fs::create_dir_all(directory.join("overlays")).expect("the directory can be created");
        let base = base.replace("shards: 16", "shards: 1");
        fs::write(directory.join("base.yaml"), base).expect("the file can be written");
        Self::start_with_configuration(name, 1, directory)
    }

    fn start_with_configuration(name: &str, service_ms: u64, configuration: PathBuf) -> Self {
        let binaries = Path::new(env!("CARGO_BIN_EXE_arbutusd"))
            .parent()
            .expect("a program has a directory");
        let directory = env::temp_dir().join(format!("arbutus-{name}-{}", std::process::id()));
        let options = ["--service-ms", &service_ms.to_string(), "--cold-ms", "0"];
        let spec = FleetSpec {
            cluster: name.to_owned(),
            failure_domains: vec!["arita".to_owned(), "hakata".to_owned()],
            instances_per_failure_domain: 2,
            services: vec![ServiceTargets {
                service: SERVICE.to_owned(),
                kind: "plain".to_owned(),
                per_failure_domain: 1,
                options: options.iter().map(ToString::to_string).collect(),
            }],
            configuration,
        };
        let fleet = Fleet::start(&spec, binaries, &directory).expect("the deployment starts");
        Self { fleet, directory }
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.fleet.instances[index].settings.http_address
    }

    /// Sends a deposit to an instance; returns `None` if the connection breaks.
    fn post_deposit(&self, index: usize, key: &str) -> Option<Response> {
        let url = format!("http://{}/v1/pipelines/deposit", self.address(index));
        let mut response = self
            .fleet
            .agent()
            .post(url)
            .header("Organisation", ORGANISATION)
            .header("Idempotency-Key", key)
            .send_json(json!({ "marker": key }))
            .ok()?;
        Some(Response {
            status: response.status().as_u16(),
            replayed: response.headers().contains_key("Idempotency-Replayed"),
            body: response.body_mut().read_json().ok()?,
        })
    }

    /// Retries a deposit at an instance until the response is as expected.
    fn post_deposit_until(
        &self,
        index: usize,
        key: &str,
        expected: impl Fn(&Response) -> bool,
    ) -> Response {
        let started_at = Instant::now();
        loop {
            let response = self.post_deposit(index, key);
            if let Some(response) = response.clone().filter(|response| expected(response)) {
                return response;
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "{key}: last response {response:?}"
            );
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn wait_until_membership_converges(&self) {
        let started_at = Instant::now();
        let live_members = |index: usize| {
            let status = self.fleet.get(self.address(index), "/admin/status").ok()?;
            let members = status["members"].as_array()?;
            Some(
                members
                    .iter()
                    .filter(|member| member["state"] == "live")
                    .count(),
            )
        };
        let expected = self.fleet.instances.len();
        while (0..expected).any(|index| live_members(index) != Some(expected)) {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "membership does not converge"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends deposits from several concurrent clients, each to one instance.
    fn post_deposits_concurrently(&self, clients: usize, deposits: usize) {
        thread::scope(|scope| {
            for client in 0..clients {
                scope.spawn(move || {
                    for number in 0..deposits {
                        let key = format!("k{client}-{number}");
                        self.post_deposit_until(client % 4, &key, |response| {
                            response.status == 200
                        });
                    }
                });
            }
        });
    }

    /// Returns the sum of an event counter over all instances.
    fn event_count(&self, event: &str) -> usize {
        let count = |index: usize| {
            let url = format!("http://{}/metrics", self.address(index));
            let mut response = self
                .fleet
                .agent()
                .get(url)
                .call()
                .expect("the instance responds");
            let text = response
                .body_mut()
                .read_to_string()
                .expect("the body is text");
            let is_event = |line: &&str| line.contains(&format!("\"{event}\""));
            let value = text
                .lines()
                .find(is_event)
                .and_then(|line| line.rsplit(' ').next());
            value
                .and_then(|value| value.parse::<usize>().ok())
                .unwrap_or(0)
        };
        (0..self.fleet.instances.len()).map(count).sum()
    }

    fn set_platform_faults(&self, faults: &Value) {
        let (status, _) = self
            .fleet
            .post(self.fleet.platform, "/faults", faults)
            .expect("the platform responds");
        assert_eq!(status, 200);
    }

    fn execution_count(&self, key: &str) -> u32 {
        let count = |address| {
            let list = self
                .fleet
                .get(address, "/executions")
                .expect("the target responds");
            let list: ExecutionList = serde_json::from_value(list).expect("the list is valid");
            let of_key = list
                .executions
                .iter()
                .filter(|execution| execution.key == key);
            of_key.map(|execution| execution.count).sum::<u32>()
        };
        self.fleet
            .targets
            .iter()
            .map(|target| count(target.address))
            .sum()
    }

    fn stop(self) {
        assert!(
            self.fleet.shut_down().expect("the instances end"),
            "an instance exited with a nonzero status"
        );
        fs::remove_dir_all(self.directory).expect("the directory can be removed");
    }
}

/// Guards against a second execution after the instance that holds a claim is killed while the
/// target executes the call.
#[test]
fn claim_of_a_killed_instance_becomes_unknown_and_is_never_executed_again() {
    let mut deployment = Deployment::start("claims-kill", SERVICE_MS);
    let url = format!("http://{}/v1/pipelines/deposit", deployment.address(0));
    let agent = deployment.fleet.agent().clone();
    let client = thread::spawn(move || {
        let request = agent.post(url).header("Organisation", ORGANISATION);
        request
            .header("Idempotency-Key", "k1")
            .send_json(json!({ "marker": "k1" }))
            .is_ok()
    });
    thread::sleep(MID_CALL_DELAY);
    deployment.fleet.instances[0]
        .process
        .kill()
        .expect("the instance is killed");
    assert!(
        !client.join().expect("the client thread ends"),
        "the killed instance responded"
    );
    let refused = deployment.post_deposit_until(3, "k1", |response| {
        response.body["type"] == "urn:arbutushaven:problem:outcome-unknown"
    });
    assert_eq!(
        (refused.status, &refused.body["executed"]),
        (409, &json!("unknown"))
    );
    assert_eq!(deployment.execution_count("k1"), 1);
    let unsettled = deployment.fleet.get(deployment.address(1), "/admin/claims");
    let unsettled = unsettled.expect("the instance responds");
    assert_eq!(unsettled[0]["idempotency_key"], "k1");
    assert_eq!(unsettled[0]["state"], "unknown");
    let settle_request = json!({"organisation": ORGANISATION, "pipeline": "deposit",
        "idempotency_key": "k1", "outcome": "run", "note": "seen in the till"});
    let settled = deployment.fleet.post(
        deployment.address(1),
        "/admin/claims/settle",
        &settle_request,
    );
    assert_eq!(settled.expect("the instance responds").1["settled"], true);
    let replayed = deployment.post_deposit_until(2, "k1", |response| response.status == 200);
    assert!(replayed.replayed, "{replayed:?}");
    assert_eq!(deployment.execution_count("k1"), 1);
    deployment
        .fleet
        .restart_instance(0)
        .expect("the instance restarts");
    deployment.stop();
}

/// Guards against lost or repeated requests when the platform drops the responses to half of the
/// writes after they took effect.
#[test]
fn lost_write_responses_neither_lose_nor_repeat_a_request() {
    let deployment = Deployment::start("claims-lost", 5);
    deployment.set_platform_faults(&json!({"lose_answers": 0.5}));
    let mut not_executed = 0;
    for number in 0..24 {
        let key = format!("k{number}");
        let response = deployment
            .post_deposit(number % 4, &key)
            .expect("the instance responds");
        let executions = deployment.execution_count(&key);
        assert!(
            response.status != 200 || executions == 1,
            "{key}: {response:?}, {executions} executions"
        );
        assert!(
            !response.is_not_executed() || executions == 0,
            "{key}: {response:?}, {executions} executions"
        );
        not_executed += usize::from(response.is_not_executed());
    }
    deployment.set_platform_faults(&json!({"reset": true}));
    for number in 0..24 {
        let key = format!("k{number}");
        deployment.post_deposit_until((number + 1) % 4, &key, |response| response.status == 200);
        assert_eq!(deployment.execution_count(&key), 1, "{key}");
    }
    println!(
        "{not_executed} of 24 deposits were refused as not executed while responses were lost"
    );
    deployment.stop();
}

/// Guards against execution without a claim, and against lost outcomes, when the platform goes down
/// before a claim, or between a claim and its outcome.
#[test]
fn outage_refuses_new_claims_as_not_executed_and_keeps_outcomes() {
    let deployment = Deployment::start("claims-outage", SERVICE_MS);
    let response = thread::scope(|scope| {
        let client = scope.spawn(|| deployment.post_deposit(0, "k1"));
        thread::sleep(MID_CALL_DELAY);
        deployment.set_platform_faults(&json!({"outage": "closed"}));
        client
            .join()
            .expect("the client thread ends")
            .expect("the instance responds")
    });
    assert_eq!(response.status, 200, "{response:?}");
    let refused = deployment
        .post_deposit(1, "k2")
        .expect("the instance responds");
    assert!(
        refused.status == 503 && refused.is_not_executed(),
        "{refused:?}"
    );
    assert_eq!(deployment.execution_count("k2"), 0);
    deployment.set_platform_faults(&json!({"reset": true}));
    let retried = deployment.post_deposit_until(3, "k1", |response| response.status == 200);
    assert_eq!((retried.replayed, &retried.body), (true, &response.body));
    deployment.post_deposit_until(3, "k2", |response| response.status == 200);
    assert_eq!(
        (
            deployment.execution_count("k1"),
            deployment.execution_count("k2")
        ),
        (1, 1)
    );
    deployment.stop();
}

/// Guards against a second execution when a client retries at another instance while the first call
/// is being executed, and while the first instance shuts down.
#[test]
fn retry_at_another_instance_gets_the_same_response_and_another_body_is_refused() {
    let deployment = Deployment::start("claims-resend", SERVICE_MS);
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| deployment.post_deposit(0, "k1"));
        thread::sleep(MID_CALL_DELAY);
        let second = scope.spawn(|| deployment.post_deposit(3, "k1"));
        deployment.fleet.instances[0]
            .process
            .terminate()
            .expect("the signal is sent");
        let ended = (
            first.join().expect("the client thread ends"),
            second.join().expect("the client thread ends"),
        );
        (
            ended.0.expect("the instance responds"),
            ended.1.expect("the instance responds"),
        )
    });
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{first:?} {second:?}"
    );
    assert_eq!((first.replayed, second.replayed), (false, true));
    assert_eq!(first.body, second.body);
    assert_eq!(deployment.execution_count("k1"), 1);
    let other_body = deployment
        .fleet
        .agent()
        .post(format!(
            "http://{}/v1/pipelines/deposit",
            deployment.address(2)
        ))
        .header("Organisation", ORGANISATION)
        .header("Idempotency-Key", "k1")
        .send_json(json!({ "marker": "another body" }))
        .expect("the instance responds");
    assert_eq!(other_body.status().as_u16(), 422);
    deployment.stop();
}

/// Guards against a shard thread that writes each command on its own. The write rate of the
/// platform would then limit the rate of claims.
#[test]
fn concurrent_commands_share_writes() {
    const CLIENTS: usize = 32;
    const DEPOSITS: usize = 12;
    let deployment = Deployment::start("claims-group", 1);
    // Until membership converges, instances disagree about the writer of a shard, and their writes
    // conflict.
    deployment.wait_until_membership_converges();
    let started_at = Instant::now();
    deployment.post_deposits_concurrently(CLIENTS, DEPOSITS);
    let elapsed = started_at.elapsed();
    let commands = 2 * CLIENTS * DEPOSITS;
    let writes = deployment.event_count("claim_shard_writes");
    println!(
        "{commands} commands in {writes} writes within {} ms",
        elapsed.as_millis()
    );
    // A deposit takes two commands. Without group commit, each command takes at least one write.
    assert!(
        writes * 10 < commands * 9,
        "{writes} writes for {commands} commands"
    );
    deployment.stop();
}

/// Guards against refused claims when a shard object reaches its size limit, and against a second
/// execution after a settled claim was moved from the shard object to a segment.
#[test]
fn claims_in_segments_are_replayed_to_client_retries() {
    const CLIENTS: usize = 32;
    const DEPOSITS: usize = 32;
    let deployment = Deployment::start_with_one_shard("claims-seal");
    deployment.wait_until_membership_converges();
    deployment.post_deposits_concurrently(CLIENTS, DEPOSITS);
    let segments = deployment.event_count("claim_segments");
    println!("{} deposits in {segments} segments", CLIENTS * DEPOSITS);
    assert!(segments > 0);
    for client in 0..CLIENTS {
        let key = format!("k{client}-0");
        let response = deployment
            .post_deposit((client + 1) % 4, &key)
            .expect("the instance responds");
        assert!(
            response.status == 200 && response.replayed,
            "{key}: {response:?}"
        );
        assert_eq!(deployment.execution_count(&key), 1, "{key}");
    }
    deployment.stop();
}
