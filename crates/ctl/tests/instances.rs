//! Tests of the commands that call instances. They guard against requests in a format that
//! instances cannot decode, an unreachable instance that keeps the next one from being tried, and
//! responses that are reported wrongly.

mod support;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;

use arbutus_standins::http::Exchange;
use arbutus_standins::http::Handler;
use arbutus_standins::http::HttpServer;
use arbutus_standins::http::bind;
use arbutus_standins::platform::Platform;
use support::CommandOutput;
use support::ConfigDirectory;
use support::loopback;
use support::run_arbutusctl;
use support::unused_address;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// A simulated instance, which records its requests and sends fixed responses.
#[derive(Default)]
struct FakeInstance {
    received: Mutex<Vec<(String, Value)>>,
    /// The number of requests for the status.
    status_reads: Mutex<u64>,
}

impl FakeInstance {
    fn start() -> (HttpServer, Arc<Self>) {
        let instance = Arc::new(Self::default());
        let handler: Arc<dyn Handler> = Arc::clone(&instance) as Arc<dyn Handler>;
        let listener = bind(loopback()).expect("a port is free");
        let server = HttpServer::start(listener, 4, handler).expect("the server starts");
        (server, instance)
    }

    /// Returns the status. The instance reports generation 1 from the second request for the status
    /// on, and its last member from the fifth request on.
    fn status(&self) -> Value {
        let mut status_reads = self.status_reads.lock().expect("no handler panics");
        *status_reads += 1;
        let (a1_generation, k1_generation) =
            (u64::from(*status_reads > 1), u64::from(*status_reads > 4));
        json!({
            "instance": "a1", "failure_domain": "arita", "generation": a1_generation,
            "members": [
                {"name": "a1", "failure_domain": "arita", "state": "live", "generation": a1_generation},
                {"name": "h1", "failure_domain": "hakata", "state": "dead", "generation": 0},
                {"name": "k1", "failure_domain": "kumamoto", "state": "suspect", "generation": k1_generation},
            ],
            "drains": [{"kind": "target", "name": "desk-3", "drained": true, "revision": 4}],
            "targets": [{"name": "desk-3", "service": "order-desk", "failure_domain": "arita",
                "state": "drained", "slots": 0, "in_flight": 0}],
            "requests_in_progress": 12,
            "limits": [{"path": "kamagama/counter", "limit": 70, "in_flight": 5}],
        })
    }

    fn response_to(&self, exchange: &Exchange, body: &Value) -> (u16, Value) {
        match exchange.path() {
            "/admin/status" => (200, self.status()),
            "/admin/drain" if body["name"] == "nowhere" => (
                400,
                json!({"title": "bad request", "detail": "unknown failure domain"}),
            ),
            "/admin/drain" => (200, json!({"revision": 5, "drained": body["drained"]})),
            "/admin/claims" => (
                200,
                json!([{"organisation": "kamagama", "pipeline": "deposit",
                    "idempotency_key": "k-1", "state": "unknown", "holder": "a1",
                    "attempt": "r1.pay.0", "claimed_at_ms": 5}]),
            ),
            "/admin/claims/settle" => (200, json!({"settled": true, "detail": "run"})),
            "/v1/pipelines/deposit" if exchange.header("Idempotency-Key").is_none() => (
                400,
                json!({"title": "idempotency key required", "status": 400, "executed": "no"}),
            ),
            "/v1/pipelines/deposit" => (200, json!({"receipt": exchange.header("Organisation")})),
            _ => (404, json!({"title": "not found"})),
        }
    }
}

impl Handler for FakeInstance {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let body = match exchange.method() {
            "POST" => exchange
                .json(MAX_BODY_BYTES)
                .expect("arbutusctl sends JSON"),
            _ => Value::Null,
        };
        let path = exchange.path().to_owned();
        let (status, response) = self.response_to(&exchange, &body);
        let mut received = self.received.lock().expect("no handler panics");
        received.push((path, body));
        drop(received);
        exchange.respond(status, &[], &response)
    }
}

/// Runs `arbutusctl` with the address of an unreachable instance before that of the reachable one.
fn run_with_instances(address: SocketAddr, arguments: &[&str]) -> CommandOutput {
    let unreachable = unused_address().to_string();
    let reachable = address.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--instance", &unreachable, "--instance", &reachable]);
    run_arbutusctl(&all)
}

#[test]
fn drains_are_sent_to_the_second_instance_in_the_expected_format() {
    let (server, instance) = FakeInstance::start();
    let run = run_with_instances(server.address(), &["drain", "failure-domain", "arita"]);
    assert_eq!(run.status, 0, "{run:?}");
    let run = run_with_instances(server.address(), &["undrain", "target", "desk-3"]);
    assert_eq!(run.status, 0, "{run:?}");
    let rejected = run_with_instances(server.address(), &["drain", "failure_domain", "nowhere"]);
    assert_eq!(rejected.status, 1, "{rejected:?}");
    assert!(
        rejected.stderr.contains("unknown failure domain"),
        "{rejected:?}"
    );
    let received = instance.received.lock().expect("no handler panics");
    let drain = json!({"kind": "failure_domain", "name": "arita", "drained": true});
    let undrain = json!({"kind": "target", "name": "desk-3", "drained": false});
    assert_eq!(received[0], ("/admin/drain".to_owned(), drain));
    assert_eq!(received[1], ("/admin/drain".to_owned(), undrain));
}

#[test]
fn status_and_claims_are_printed_and_claims_are_settled() {
    let (server, instance) = FakeInstance::start();
    let status = run_with_instances(server.address(), &["status"]);
    for fragment in [
        "12 requests in progress",
        "desk-3",
        "suspect",
        "kamagama/counter",
    ] {
        assert!(status.stdout.contains(fragment), "{fragment}: {status:?}");
    }
    let status = run_with_instances(server.address(), &["status", "--json"]).json();
    assert_eq!(status["members"][2]["state"], "suspect");
    let claims = run_with_instances(server.address(), &["claims", "--json"]).json();
    assert_eq!(claims[0]["idempotency_key"], "k-1");
    let settle = [
        "claims",
        "settle",
        "--organisation",
        "kamagama",
        "--pipeline",
        "deposit",
        "--key",
        "k-1",
        "--outcome",
        "not_run",
        "--note",
        "the till shows no entry",
    ];
    let run = run_with_instances(server.address(), &settle);
    assert_eq!(run.status, 0, "{run:?}");
    let received = instance.received.lock().expect("no handler panics");
    let expected = json!({"organisation": "kamagama", "pipeline": "deposit",
        "idempotency_key": "k-1", "outcome": "not_run", "note": "the till shows no entry"});
    assert_eq!(received.last().expect("a request was received").1, expected);
}

#[test]
fn a_call_prints_the_response_or_whether_the_request_was_executed() {
    let (server, _instance) = FakeInstance::start();
    let call = [
        "call",
        "--organisation",
        "kamagama",
        "deposit",
        "{\"amount\": 3}",
    ];
    let rejected = run_with_instances(server.address(), &call);
    assert_eq!(rejected.status, 1);
    let expected = "arbutusctl: idempotency key required (status 400); executed: no\n";
    assert_eq!(rejected.stderr, expected);
    let accepted = run_with_instances(server.address(), &[&call[..], &["--key", "k-2"]].concat());
    assert_eq!(accepted.json()["receipt"], "kamagama", "{accepted:?}");
}

/// `apply` waits for a suspect member, but not for a dead one.
#[test]
fn apply_waits_until_every_live_instance_reports_the_generation() {
    let (server, instance) = FakeInstance::start();
    let platform = Platform::start(loopback()).expect("a port is free");
    let platform_address = platform.address().to_string();
    let files = ConfigDirectory::with_weight(4);
    let run_apply = |wait: &str| {
        let options = ["apply", "--platform", &platform_address, "--wait", wait];
        run_with_instances(server.address(), &[&options[..], &[files.path()]].concat())
    };
    let too_early = run_apply("0");
    assert_eq!(too_early.status, 1, "{too_early:?}");
    assert!(
        too_early.stderr.contains("not yet reported by k1"),
        "{too_early:?}"
    );
    let waited = run_apply("10");
    assert_eq!(waited.status, 0, "{waited:?}");
    assert!(waited.stdout.contains("2 live instances"), "{waited:?}");
    assert!(*instance.status_reads.lock().expect("no handler panics") > 4);
}

/// Instances never go back to a lower generation, so the new one has to exceed the generation that
/// they report.
#[test]
fn apply_exceeds_the_generation_of_the_instances_after_a_lost_write() {
    let (server, instance) = FakeInstance::start();
    // From the second request on, the instance reports generation 1. The platform has none.
    *instance.status_reads.lock().expect("no handler panics") = 2;
    let platform = Platform::start(loopback()).expect("a port is free");
    let platform_address = platform.address().to_string();
    let files = ConfigDirectory::with_weight(4);
    let options = [
        "apply",
        "--platform",
        &platform_address,
        "--json",
        files.path(),
    ];
    let run = run_with_instances(server.address(), &options);
    assert_eq!(run.json()["generation"], 2, "{run:?}");
    assert!(run.stderr.contains("lost a write"), "{run:?}");
}

#[test]
fn wrong_usage_exits_with_status_2_and_help_with_0() {
    let invalid_usages: [&[&str]; 8] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "--unknown", "."],
        &["apply", "--platform", "nonsense", "."],
        &["drain", "--instance", "127.0.0.1:1", "planet", "x"],
        &["status"],
        &["claims", "settle", "--instance", "127.0.0.1:1"],
    ];
    for arguments in invalid_usages {
        let run = run_arbutusctl(arguments);
        assert_eq!(run.status, 2, "{arguments:?}: {run:?}");
        assert!(run.stdout.is_empty(), "{arguments:?}: {run:?}");
    }
    let commands = [
        "check", "apply", "diff", "history", "status", "drain", "undrain", "claims", "call",
    ];
    for command in commands {
        let run = run_arbutusctl(&[command, "--help"]);
        assert_eq!(run.status, 0, "{run:?}");
        assert!(
            run.stdout.contains(&format!("Usage: arbutusctl {command}")),
            "{run:?}"
        );
    }
}
