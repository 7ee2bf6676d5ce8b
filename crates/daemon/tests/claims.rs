//! Guards against non-idempotent requests that run twice or are lost when an instance is killed,
//! when the platform loses answers or is down, and when callers resend at another instance.
//!
//! The tests run real processes on loopback. They use the programs of the workspace, so
//! `cargo build --workspace` has to come before `cargo test -p arbutusd`.

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
/// Long enough to act while a call runs, shorter than the deadline of the pipeline.
const SERVICE_MS: u64 = 1_500;
const MID_CALL: Duration = Duration::from_millis(700);
const PATIENCE: Duration = Duration::from_secs(40);

struct Deployment {
    fleet: Fleet,
    directory: PathBuf,
}

#[derive(Clone, Debug, PartialEq)]
struct Answer {
    status: u16,
    replayed: bool,
    body: Value,
}

impl Answer {
    fn is_not_executed(&self) -> bool {
        self.body["executed"] == "no"
    }
}

impl Deployment {
    fn start(name: &str, service_ms: u64) -> Self {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama");
        Self::start_with(name, service_ms, examples)
    }

    /// Starts with one shard, so that it fills soon.
    fn start_with_one_shard(name: &str) -> Self {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama");
        let base = fs::read_to_string(examples.join("base.yaml")).expect("the example exists");
        assert!(base.contains("shards: 16"), "the example has the default");
        let directory =
            env::temp_dir().join(format!("arbutus-{name}-{}-files", std::process::id()));
        fs::create_dir_all(directory.join("overlays")).expect("the directory can be created");
        let base = base.replace("shards: 16", "shards: 1");
        fs::write(directory.join("base.yaml"), base).expect("the file can be written");
        Self::start_with(name, 1, directory)
    }

    fn start_with(name: &str, service_ms: u64, configuration: PathBuf) -> Self {
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

    /// Books at an instance; nothing is returned when the connection breaks.
    fn book(&self, index: usize, key: &str) -> Option<Answer> {
        let url = format!("http://{}/v1/pipelines/deposit", self.address(index));
        let mut answer = self
            .fleet
            .agent()
            .post(url)
            .header("Organisation", ORGANISATION)
            .header("Idempotency-Key", key)
            .send_json(json!({ "marker": key }))
            .ok()?;
        Some(Answer {
            status: answer.status().as_u16(),
            replayed: answer.headers().contains_key("Idempotency-Replayed"),
            body: answer.body_mut().read_json().ok()?,
        })
    }

    /// Books at an instance until the answer is as expected.
    fn book_until(&self, index: usize, key: &str, expected: impl Fn(&Answer) -> bool) -> Answer {
        let begun = Instant::now();
        loop {
            let answer = self.book(index, key);
            if let Some(answer) = answer.clone().filter(|answer| expected(answer)) {
                return answer;
            }
            assert!(begun.elapsed() < PATIENCE, "{key}: last answer {answer:?}");
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn wait_until_all_know_each_other(&self) {
        let begun = Instant::now();
        let live = |index: usize| {
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
        while (0..expected).any(|index| live(index) != Some(expected)) {
            assert!(begun.elapsed() < PATIENCE, "membership does not converge");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Books with several callers, each at one instance.
    fn book_concurrently(&self, callers: usize, bookings: usize) {
        thread::scope(|scope| {
            for caller in 0..callers {
                scope.spawn(move || {
                    for number in 0..bookings {
                        let key = format!("k{caller}-{number}");
                        self.book_until(caller % 4, &key, |answer| answer.status == 200);
                    }
                });
            }
        });
    }

    /// Returns the sum of a counter of events over all instances.
    fn count(&self, event: &str) -> usize {
        let count = |index: usize| {
            let url = format!("http://{}/metrics", self.address(index));
            let mut answer = self.fleet.agent().get(url).call().expect("it answers");
            let text = answer.body_mut().read_to_string().expect("it is text");
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

    fn platform_faults(&self, faults: &Value) {
        let (status, _) = self
            .fleet
            .post(self.fleet.platform, "/faults", faults)
            .expect("the platform answers");
        assert_eq!(status, 200);
    }

    fn executions(&self, key: &str) -> u32 {
        let count = |address| {
            let list = self
                .fleet
                .get(address, "/executions")
                .expect("the target answers");
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
            "a status was not 0"
        );
        fs::remove_dir_all(self.directory).expect("the directory can be removed");
    }
}

/// The instance that holds a claim is killed while the target runs the call.
#[test]
fn claim_of_a_killed_instance_becomes_unknown_and_is_never_run_again() {
    let mut deployment = Deployment::start("claims-kill", SERVICE_MS);
    let url = format!("http://{}/v1/pipelines/deposit", deployment.address(0));
    let agent = deployment.fleet.agent().clone();
    let caller = thread::spawn(move || {
        let request = agent.post(url).header("Organisation", ORGANISATION);
        request
            .header("Idempotency-Key", "k1")
            .send_json(json!({ "marker": "k1" }))
            .is_ok()
    });
    thread::sleep(MID_CALL);
    deployment.fleet.instances[0]
        .process
        .kill()
        .expect("the instance is killed");
    assert!(
        !caller.join().expect("the caller ends"),
        "the killed instance answered"
    );
    let refused = deployment.book_until(3, "k1", |answer| {
        answer.body["type"] == "urn:arbutushaven:problem:outcome-unknown"
    });
    assert_eq!(
        (refused.status, &refused.body["executed"]),
        (409, &json!("unknown"))
    );
    assert_eq!(deployment.executions("k1"), 1);
    let unsettled = deployment.fleet.get(deployment.address(1), "/admin/claims");
    let unsettled = unsettled.expect("the instance answers");
    assert_eq!(unsettled[0]["idempotency_key"], "k1");
    assert_eq!(unsettled[0]["state"], "unknown");
    let order = json!({"organisation": ORGANISATION, "pipeline": "deposit",
        "idempotency_key": "k1", "outcome": "run", "note": "seen in the till"});
    let settled = deployment
        .fleet
        .post(deployment.address(1), "/admin/claims/settle", &order);
    assert_eq!(settled.expect("the instance answers").1["settled"], true);
    let replayed = deployment.book_until(2, "k1", |answer| answer.status == 200);
    assert!(replayed.replayed, "{replayed:?}");
    assert_eq!(deployment.executions("k1"), 1);
    deployment
        .fleet
        .restart_instance(0)
        .expect("the instance starts again");
    deployment.stop();
}

/// The platform drops the answers of half of the writes after they took effect.
#[test]
fn lost_write_answers_neither_lose_nor_repeat_a_request() {
    let deployment = Deployment::start("claims-lost", 5);
    deployment.platform_faults(&json!({"lose_answers": 0.5}));
    let mut refused = 0;
    for number in 0..24 {
        let key = format!("k{number}");
        let answer = deployment
            .book(number % 4, &key)
            .expect("the instance answers");
        let runs = deployment.executions(&key);
        assert!(
            answer.status != 200 || runs == 1,
            "{key}: {answer:?}, {runs} runs"
        );
        assert!(
            !answer.is_not_executed() || runs == 0,
            "{key}: {answer:?}, {runs} runs"
        );
        refused += usize::from(answer.is_not_executed());
    }
    deployment.platform_faults(&json!({"reset": true}));
    for number in 0..24 {
        let key = format!("k{number}");
        deployment.book_until((number + 1) % 4, &key, |answer| answer.status == 200);
        assert_eq!(deployment.executions(&key), 1, "{key}");
    }
    println!("{refused} of 24 bookings were refused as not run while answers were lost");
    deployment.stop();
}

/// The platform is down before a claim, and between a claim and its outcome.
#[test]
fn outage_refuses_new_claims_as_not_run_and_keeps_outcomes() {
    let deployment = Deployment::start("claims-outage", SERVICE_MS);
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| deployment.book(0, "k1"));
        thread::sleep(MID_CALL);
        deployment.platform_faults(&json!({"outage": "closed"}));
        caller
            .join()
            .expect("the caller ends")
            .expect("the instance answers")
    });
    assert_eq!(answer.status, 200, "{answer:?}");
    let refused = deployment.book(1, "k2").expect("the instance answers");
    assert!(
        refused.status == 503 && refused.is_not_executed(),
        "{refused:?}"
    );
    assert_eq!(deployment.executions("k2"), 0);
    deployment.platform_faults(&json!({"reset": true}));
    let resent = deployment.book_until(3, "k1", |answer| answer.status == 200);
    assert_eq!((resent.replayed, &resent.body), (true, &answer.body));
    deployment.book_until(3, "k2", |answer| answer.status == 200);
    assert_eq!(
        (deployment.executions("k1"), deployment.executions("k2")),
        (1, 1)
    );
    deployment.stop();
}

/// A caller resends at another instance while the first call runs, and after a shutdown.
#[test]
fn resend_elsewhere_gets_the_same_answer_and_another_body_is_refused() {
    let deployment = Deployment::start("claims-resend", SERVICE_MS);
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| deployment.book(0, "k1"));
        thread::sleep(MID_CALL);
        let second = scope.spawn(|| deployment.book(3, "k1"));
        deployment.fleet.instances[0]
            .process
            .terminate()
            .expect("the signal is sent");
        let ended = (
            first.join().expect("it ends"),
            second.join().expect("it ends"),
        );
        (ended.0.expect("an answer"), ended.1.expect("an answer"))
    });
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{first:?} {second:?}"
    );
    assert_eq!((first.replayed, second.replayed), (false, true));
    assert_eq!(first.body, second.body);
    assert_eq!(deployment.executions("k1"), 1);
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
        .expect("the instance answers");
    assert_eq!(other_body.status().as_u16(), 422);
    deployment.stop();
}

/// Every command is written on its own, so that the platform's write rate bounds the bookings.
#[test]
fn concurrent_bookings_share_writes() {
    const CALLERS: usize = 32;
    const BOOKINGS: usize = 12;
    let deployment = Deployment::start("claims-group", 1);
    // Before that, instances disagree about the writer of a shard, and their writes conflict.
    deployment.wait_until_all_know_each_other();
    let begun = Instant::now();
    deployment.book_concurrently(CALLERS, BOOKINGS);
    let elapsed = begun.elapsed();
    let commands = 2 * CALLERS * BOOKINGS;
    let writes = deployment.count("claim_shard_writes");
    println!(
        "{commands} commands in {writes} writes within {} ms",
        elapsed.as_millis()
    );
    assert!(
        writes * 10 < commands * 9,
        "{writes} writes for {commands} commands"
    );
    deployment.stop();
}

/// A shard fills, so that claims are refused, or a claim that was moved is run again.
#[test]
fn settled_claims_move_to_segments_and_still_answer_resends() {
    const CALLERS: usize = 32;
    const BOOKINGS: usize = 32;
    let deployment = Deployment::start_with_one_shard("claims-seal");
    deployment.wait_until_all_know_each_other();
    deployment.book_concurrently(CALLERS, BOOKINGS);
    let segments = deployment.count("claim_segments");
    println!("{} bookings in {segments} segments", CALLERS * BOOKINGS);
    assert!(segments > 0);
    for caller in 0..CALLERS {
        let key = format!("k{caller}-0");
        let answer = deployment
            .book((caller + 1) % 4, &key)
            .expect("the instance answers");
        assert!(answer.status == 200 && answer.replayed, "{key}: {answer:?}");
        assert_eq!(deployment.executions(&key), 1, "{key}");
    }
    deployment.stop();
}
