//! Tests that the load generator detects wrong responses.
//!
//! The load generator sends its requests to a fake instance with one defect. The fake instance
//! forwards bookings to a target and generates streams itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use arbutus_coord::Millis;
use arbutus_standins::generated_text::GeneratedText;
use arbutus_standins::http::Exchange;
use arbutus_standins::http::Handler;
use arbutus_standins::http::HttpServer;
use arbutus_standins::http::bind;
use arbutus_standins::loadgen::checked_request::Outcome;
use arbutus_standins::loadgen::deployment::Deployment;
use arbutus_standins::loadgen::run::run;
use arbutus_standins::loadgen::scenario::Scenario;
use arbutus_standins::platform::Platform;
use arbutus_standins::report::plot;
use arbutus_standins::report::summary::Summary;
use arbutus_standins::report::text::TextReport;
use arbutus_standins::target::Target;
use arbutus_standins::target::TargetKind;
use arbutus_standins::target::TargetSpec;

const SCENARIO: &str = "
name: test
duration_s: 1.5
rate_per_s: 60
classes: {all: {stall_ms: 150}}
organisations: [{name: one, weight: 1}, {name: two, weight: 3}]
pipelines:
  - {name: stream, class: all, weight: 1, kind: stream, deadline_ms: 2000, max_tokens: [8]}
  - {name: booking, class: all, weight: 1, kind: booking, deadline_ms: 2000}
";
const MAX_TOKENS: u32 = 8;
const LOOPBACK_ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// Executes each booking twice.
    DoubleExecution,
    /// Reports executed bookings as not executed.
    FalseNotExecuted,
    /// Sends successful responses to bookings without executing them.
    FalseSettled,
    /// Sends the tokens of another request.
    ForeignTokens,
    /// Ends streams early, without a `done` or an error event.
    TruncatedStream,
    /// Pauses streams for longer than the stall limit of the class.
    StalledStream,
}

struct FakeInstance {
    defect: Defect,
    target: SocketAddr,
}

impl FakeInstance {
    fn execute(&self, input: &Value, key: &str) -> Value {
        let mut response = ureq::post(format!("http://{}/v1/call", self.target))
            .header("Idempotency-Key", key)
            .send_json(json!({ "input": input }))
            .expect("the target responds");
        response
            .body_mut()
            .read_json()
            .expect("the response is JSON")
    }

    fn book(&self, input: &Value, exchange: Exchange) -> io::Result<()> {
        let key = exchange.header("Idempotency-Key").unwrap_or("").to_owned();
        if self.defect == Defect::FalseSettled {
            return exchange.respond(200, &[], &json!({ "origin": input }));
        }
        let mut response = self.execute(input, &key);
        if self.defect == Defect::DoubleExecution {
            response = self.execute(input, &key);
        }
        if self.defect == Defect::FalseNotExecuted {
            let retry_after = [("Retry-After", "1".to_owned())];
            return exchange.respond(503, &retry_after, &json!({ "executed": "no" }));
        }
        exchange.respond(200, &[], &response["output"])
    }

    fn stream(&self, input: &Value, exchange: Exchange) -> io::Result<()> {
        let mut text = GeneratedText::new(input, MAX_TOKENS);
        if self.defect == Defect::ForeignTokens {
            text = GeneratedText::new(&json!({ "marker": "another" }), MAX_TOKENS);
        }
        let mut events = exchange.into_event_stream(&[])?;
        for offset in 0..text.len() {
            if self.defect == Defect::TruncatedStream && offset == 3 {
                return events.finish();
            }
            if self.defect == Defect::StalledStream && offset == 3 {
                std::thread::sleep(Millis(250).to_duration());
            }
            events.send(
                "token",
                &json!({ "offset": offset, "text": text.token(offset) }),
            )?;
        }
        events.send("done", &json!({ "tokens": text.len() }))?;
        events.finish()
    }
}

impl Handler for FakeInstance {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let input: Value = exchange.json(10_000).unwrap_or_default();
        match exchange.path() {
            "/v1/pipelines/booking" => self.book(&input, exchange),
            "/v1/pipelines/stream" => self.stream(&input, exchange),
            "/readyz" => exchange.respond(200, &[], &json!({})),
            _ => exchange.respond_error(404, "no such path"),
        }
    }
}

fn run_scenario(defect: Defect) -> Summary {
    let platform = Platform::start(LOOPBACK_ANY_PORT.into()).expect("the platform starts");
    let mut spec = TargetSpec::new("desk-0", "desk", "arita", TargetKind::Plain);
    spec.limits.cold_ms = Millis::ZERO;
    spec.service_ms = Millis(2);
    spec.platform = Some(platform.address());
    let target = Target::start(LOOPBACK_ANY_PORT.into(), spec).expect("the target starts");
    let instance = FakeInstance {
        defect,
        target: target.address(),
    };
    let listener = bind(LOOPBACK_ANY_PORT.into()).expect("a port is free");
    let server = HttpServer::start(listener, 256, Arc::new(instance)).expect("the server starts");
    let scenario = Scenario::parse("test", SCENARIO).expect("the scenario is valid");
    let deployment = Deployment::new("a", vec![server.address()], Some(platform.address()));
    Summary::new(&run(&scenario, 1, "r", &[deployment]))
}

/// Guards against violations or errors that are reported although the instance has no defect, and
/// against a summary that cannot be written as text, JSON or a plot.
#[test]
fn an_instance_without_defects_has_full_attainment() {
    let summary = run_scenario(Defect::None);
    let deployment = &summary.deployments[0];
    assert_eq!(summary.violations(), 0, "{}", TextReport(&summary));
    assert_eq!(
        deployment.all.count(Outcome::Completed),
        deployment.all.requests
    );
    let bookings = deployment
        .bookings
        .as_ref()
        .expect("the bookings are compared");
    assert!(bookings.bookings > 20);
    assert_eq!(bookings.executed_once, bookings.bookings);
    assert_eq!(deployment.costs["desk"].completed, bookings.bookings);
    let name = format!("arbutus-plot-{}.svg", std::process::id());
    let path = std::env::temp_dir().join(name);
    plot::write(&summary, &path).expect("the plot is written");
    let svg = std::fs::read_to_string(&path).expect("the plot is readable");
    std::fs::remove_file(&path).expect("the plot is removed");
    assert!(svg.contains("<polyline"));
    serde_json::to_string(&summary).expect("the summary is JSON");
}

/// Guards against a booking that targets execute twice and that is not reported as a violation.
#[test]
fn double_executions_are_detected() {
    let summary = run_scenario(Defect::DoubleExecution);
    let bookings = summary.deployments[0]
        .bookings
        .as_ref()
        .expect("the bookings are compared");
    assert_eq!(bookings.executed_repeatedly, bookings.bookings);
    assert_eq!(summary.violations(), bookings.bookings);
}

/// Guards against an executed booking that the instance refuses as not executed and that is not
/// reported as a violation.
#[test]
fn false_not_executed_responses_are_detected() {
    let summary = run_scenario(Defect::FalseNotExecuted);
    let deployment = &summary.deployments[0];
    let bookings = deployment
        .bookings
        .as_ref()
        .expect("the bookings are compared");
    assert_eq!(
        bookings.executed_but_reported_not_executed,
        bookings.bookings
    );
    assert_eq!(
        deployment.all.not_executed_with_retry_after,
        bookings.bookings
    );
}

/// Guards against a successful response to a booking that no target executed and that is not reported
/// as a violation.
#[test]
fn settled_bookings_without_execution_are_detected() {
    let summary = run_scenario(Defect::FalseSettled);
    let bookings = summary.deployments[0]
        .bookings
        .as_ref()
        .expect("the bookings are compared");
    assert_eq!(
        bookings.reported_settled_but_not_executed,
        bookings.bookings
    );
}

/// Guards against tokens of another request that are accepted as the response.
#[test]
fn foreign_tokens_are_detected() {
    let summary = run_scenario(Defect::ForeignTokens);
    let streams = &summary.deployments[0].pipelines["stream"];
    assert_eq!(streams.count(Outcome::WrongResponse), streams.requests);
    assert_eq!(summary.violations(), streams.requests);
}

/// Guards against streams that end early or pause too long and are not counted as truncated or
/// stalled.
#[test]
fn truncated_and_stalled_streams_are_detected() {
    let truncated = run_scenario(Defect::TruncatedStream);
    let streams = &truncated.deployments[0].pipelines["stream"];
    assert_eq!(streams.count(Outcome::Truncated), streams.requests);
    let stalled = run_scenario(Defect::StalledStream);
    let streams = &stalled.deployments[0].pipelines["stream"];
    assert_eq!(streams.stalled_streams, streams.requests);
}
