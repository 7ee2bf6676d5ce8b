//! Guards against orders that are sent in another form than instances read, instances that are
//! not tried, and answers that are reported wrongly.

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
use support::Run;
use support::Scratch;
use support::closed_address;
use support::ctl;
use support::loopback;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// An instance that records what it receives, with fixed answers.
#[derive(Default)]
struct Instance {
    received: Mutex<Vec<(String, Value)>>,
    /// The number of times that the status was read.
    reads: Mutex<u64>,
}

impl Instance {
    fn start() -> (HttpServer, Arc<Self>) {
        let instance = Arc::new(Self::default());
        let handler: Arc<dyn Handler> = Arc::clone(&instance) as Arc<dyn Handler>;
        let listener = bind(loopback()).expect("a port is free");
        let server = HttpServer::start(listener, 4, handler).expect("the server starts");
        (server, instance)
    }

    /// The instance reports generation 1 after the first read, the last member after the fourth.
    fn status(&self) -> Value {
        let mut reads = self.reads.lock().expect("no handler panics");
        *reads += 1;
        let (own, late) = (u64::from(*reads > 1), u64::from(*reads > 4));
        json!({
            "instance": "a1", "failure_domain": "arita", "generation": own,
            "members": [
                {"name": "a1", "failure_domain": "arita", "state": "live", "generation": own},
                {"name": "h1", "failure_domain": "hakata", "state": "dead", "generation": 0},
                {"name": "k1", "failure_domain": "kumamoto", "state": "suspect", "generation": late},
            ],
            "drains": [{"kind": "target", "name": "desk-3", "drained": true, "revision": 4}],
            "targets": [{"name": "desk-3", "service": "order-desk", "failure_domain": "arita",
                "state": "drained", "slots": 0, "in_flight": 0}],
            "requests_in_progress": 12,
            "limits": [{"path": "kamagama/counter", "limit": 70, "in_flight": 5}],
        })
    }

    fn answer(&self, exchange: &Exchange, body: &Value) -> (u16, Value) {
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

impl Handler for Instance {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let body = match exchange.method() {
            "POST" => exchange.json(MAX_BODY_BYTES).expect("the tool sends JSON"),
            _ => Value::Null,
        };
        let path = exchange.path().to_owned();
        let (status, answer) = self.answer(&exchange, &body);
        let mut received = self.received.lock().expect("no handler panics");
        received.push((path, body));
        drop(received);
        exchange.respond(status, &[], &answer)
    }
}

/// Runs the tool with an unreachable instance before the reachable one.
fn with_instances(address: SocketAddr, arguments: &[&str]) -> Run {
    let closed = closed_address().to_string();
    let open = address.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--instance", &closed, "--instance", &open]);
    ctl(&all)
}

#[test]
fn the_second_instance_receives_drains_in_the_agreed_form() {
    let (server, instance) = Instance::start();
    let run = with_instances(server.address(), &["drain", "failure-domain", "arita"]);
    assert_eq!(run.status, 0, "{run:?}");
    let run = with_instances(server.address(), &["undrain", "target", "desk-3"]);
    assert_eq!(run.status, 0, "{run:?}");
    let refused = with_instances(server.address(), &["drain", "failure_domain", "nowhere"]);
    assert_eq!(refused.status, 1, "{refused:?}");
    assert!(
        refused.errors.contains("unknown failure domain"),
        "{refused:?}"
    );
    let received = instance.received.lock().expect("no handler panics");
    let drain = json!({"kind": "failure_domain", "name": "arita", "drained": true});
    let undrain = json!({"kind": "target", "name": "desk-3", "drained": false});
    assert_eq!(received[0], ("/admin/drain".to_owned(), drain));
    assert_eq!(received[1], ("/admin/drain".to_owned(), undrain));
}

#[test]
fn status_and_claims_are_printed_and_settled() {
    let (server, instance) = Instance::start();
    let status = with_instances(server.address(), &["status"]);
    for fragment in [
        "12 requests in progress",
        "desk-3",
        "suspect",
        "kamagama/counter",
    ] {
        assert!(status.output.contains(fragment), "{fragment}: {status:?}");
    }
    let status = with_instances(server.address(), &["status", "--json"]).json();
    assert_eq!(status["members"][2]["state"], "suspect");
    let claims = with_instances(server.address(), &["claims", "--json"]).json();
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
    let run = with_instances(server.address(), &settle);
    assert_eq!(run.status, 0, "{run:?}");
    let received = instance.received.lock().expect("no handler panics");
    let expected = json!({"organisation": "kamagama", "pipeline": "deposit",
        "idempotency_key": "k-1", "outcome": "not_run", "note": "the till shows no entry"});
    assert_eq!(received.last().expect("it was sent").1, expected);
}

#[test]
fn a_call_prints_the_answer_or_whether_it_was_executed() {
    let (server, _instance) = Instance::start();
    let call = [
        "call",
        "--organisation",
        "kamagama",
        "deposit",
        "{\"amount\": 3}",
    ];
    let refused = with_instances(server.address(), &call);
    assert_eq!(refused.status, 1);
    let expected = "arbutusctl: idempotency key required (status 400); executed: no\n";
    assert_eq!(refused.errors, expected);
    let answered = with_instances(server.address(), &[&call[..], &["--key", "k-2"]].concat());
    assert_eq!(answered.json()["receipt"], "kamagama", "{answered:?}");
}

/// A dead member is not waited for; a suspect one is.
#[test]
fn apply_waits_until_every_live_instance_reports_the_generation() {
    let (server, instance) = Instance::start();
    let platform = Platform::start(loopback()).expect("a port is free");
    let platform_address = platform.address().to_string();
    let files = Scratch::with_weight(4);
    let apply = |wait: &str| {
        let options = ["apply", "--platform", &platform_address, "--wait", wait];
        with_instances(
            server.address(),
            &[&options[..], &[files.directory()]].concat(),
        )
    };
    let early = apply("0");
    assert_eq!(early.status, 1, "{early:?}");
    assert!(early.errors.contains("not yet reported by k1"), "{early:?}");
    let waited = apply("10");
    assert_eq!(waited.status, 0, "{waited:?}");
    assert!(waited.output.contains("2 live instances"), "{waited:?}");
    assert!(*instance.reads.lock().expect("no handler panics") > 4);
}

/// A generation that instances have seen already would never take effect.
#[test]
fn apply_goes_above_the_instances_when_the_platform_has_lost_a_write() {
    let (server, instance) = Instance::start();
    *instance.reads.lock().expect("no handler panics") = 2;
    let platform = Platform::start(loopback()).expect("a port is free");
    let platform_address = platform.address().to_string();
    let files = Scratch::with_weight(4);
    let options = [
        "apply",
        "--platform",
        &platform_address,
        "--json",
        files.directory(),
    ];
    let run = with_instances(server.address(), &options);
    assert_eq!(run.json()["generation"], 2, "{run:?}");
    assert!(run.errors.contains("lost a write"), "{run:?}");
}

#[test]
fn wrong_usage_ends_with_status_2_and_help_with_0() {
    let wrong: [&[&str]; 8] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "--unknown", "."],
        &["apply", "--platform", "nonsense", "."],
        &["drain", "--instance", "127.0.0.1:1", "planet", "x"],
        &["status"],
        &["claims", "settle", "--instance", "127.0.0.1:1"],
    ];
    for arguments in wrong {
        let run = ctl(arguments);
        assert_eq!(run.status, 2, "{arguments:?}: {run:?}");
        assert!(run.output.is_empty(), "{arguments:?}: {run:?}");
    }
    let commands = [
        "check", "apply", "diff", "history", "status", "drain", "undrain", "claims", "call",
    ];
    for command in commands {
        let run = ctl(&[command, "--help"]);
        assert_eq!(run.status, 0, "{run:?}");
        assert!(
            run.output.contains(&format!("Usage: arbutusctl {command}")),
            "{run:?}"
        );
    }
}
