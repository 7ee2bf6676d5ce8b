//! Guards against a load generator that does not notice wrong answers.
//!
//! An instance that breaks one promise at a time is put between the load generator and a target.

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
use arbutus_standins::loadgen::caller::Outcome;
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
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Promise {
    Kept,
    /// The second of two executions is not reported.
    RunsOnce,
    /// `not run` is said after an execution.
    NotRunIsTrue,
    /// A settled booking was executed.
    SettledIsTrue,
    /// Tokens belong to the request.
    OwnTokens,
    /// A stream ends with `done` or an error.
    WholeStream,
    /// A stream never falls silent.
    NoStall,
}

struct Instance {
    breaks: Promise,
    target: SocketAddr,
}

impl Instance {
    fn execute(&self, input: &Value, key: &str) -> Value {
        let mut answer = ureq::post(format!("http://{}/v1/call", self.target))
            .header("Idempotency-Key", key)
            .send_json(json!({ "input": input }))
            .expect("the target answers");
        answer.body_mut().read_json().expect("the answer is JSON")
    }

    fn book(&self, input: &Value, exchange: Exchange) -> io::Result<()> {
        let key = exchange.header("Idempotency-Key").unwrap_or("").to_owned();
        if self.breaks == Promise::SettledIsTrue {
            return exchange.respond(200, &[], &json!({ "origin": input }));
        }
        let mut answer = self.execute(input, &key);
        if self.breaks == Promise::RunsOnce {
            answer = self.execute(input, &key);
        }
        if self.breaks == Promise::NotRunIsTrue {
            let retry = [("Retry-After", "1".to_owned())];
            return exchange.respond(503, &retry, &json!({ "executed": "no" }));
        }
        exchange.respond(200, &[], &answer["output"])
    }

    fn stream(&self, input: &Value, exchange: Exchange) -> io::Result<()> {
        let mut text = GeneratedText::new(input, MAX_TOKENS);
        if self.breaks == Promise::OwnTokens {
            text = GeneratedText::new(&json!({ "marker": "another" }), MAX_TOKENS);
        }
        let mut events = exchange.into_event_stream(&[])?;
        for offset in 0..text.len() {
            if self.breaks == Promise::WholeStream && offset == 3 {
                return events.finish();
            }
            if self.breaks == Promise::NoStall && offset == 3 {
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

impl Handler for Instance {
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

fn summary(breaks: Promise) -> Summary {
    let platform = Platform::start(LOOPBACK.into()).expect("the platform starts");
    let mut spec = TargetSpec::new("desk-0", "desk", "arita", TargetKind::Plain);
    spec.limits.cold_ms = Millis::ZERO;
    spec.service_ms = Millis(2);
    spec.platform = Some(platform.address());
    let target = Target::start(LOOPBACK.into(), spec).expect("the target starts");
    let instance = Instance {
        breaks,
        target: target.address(),
    };
    let listener = bind(LOOPBACK.into()).expect("a port is free");
    let server = HttpServer::start(listener, 256, Arc::new(instance)).expect("it starts");
    let scenario = Scenario::parse("test", SCENARIO).expect("the scenario is valid");
    let deployment = Deployment::new("a", vec![server.address()], Some(platform.address()));
    Summary::new(&run(&scenario, 1, "r", &[deployment]))
}

#[test]
fn an_instance_that_keeps_its_promises_has_full_attainment() {
    let summary = summary(Promise::Kept);
    let deployment = &summary.deployments[0];
    assert_eq!(summary.violations(), 0, "{}", TextReport(&summary));
    assert_eq!(
        deployment.all.count(Outcome::Whole),
        deployment.all.requests
    );
    let bookings = deployment.bookings.as_ref().expect("the targets are known");
    assert!(bookings.bookings > 20);
    assert_eq!(bookings.runs_1, bookings.bookings);
    assert_eq!(deployment.costs["desk"].completed, bookings.bookings);
    let name = format!("arbutus-plot-{}.svg", std::process::id());
    let path = std::env::temp_dir().join(name);
    plot::write(&summary, &path).expect("the plot is written");
    let svg = std::fs::read_to_string(&path).expect("the plot is readable");
    std::fs::remove_file(&path).expect("the plot is removed");
    assert!(svg.contains("<polyline"));
    serde_json::to_string(&summary).expect("the summary is JSON");
}

#[test]
fn double_executions_are_found() {
    let summary = summary(Promise::RunsOnce);
    let bookings = summary.deployments[0].bookings.as_ref().expect("known");
    assert_eq!(bookings.runs_2_or_more, bookings.bookings);
    assert_eq!(summary.violations(), bookings.bookings);
}

#[test]
fn untrue_refusals_are_found() {
    let summary = summary(Promise::NotRunIsTrue);
    let deployment = &summary.deployments[0];
    let bookings = deployment.bookings.as_ref().expect("known");
    assert_eq!(bookings.not_run_but_executed, bookings.bookings);
    assert_eq!(deployment.all.not_run_with_retry_after, bookings.bookings);
}

#[test]
fn settled_bookings_that_were_not_executed_are_found() {
    let summary = summary(Promise::SettledIsTrue);
    let bookings = summary.deployments[0].bookings.as_ref().expect("known");
    assert_eq!(bookings.settled_but_not_executed, bookings.bookings);
}

#[test]
fn foreign_tokens_are_found() {
    let summary = summary(Promise::OwnTokens);
    let streams = &summary.deployments[0].pipelines["stream"];
    assert_eq!(streams.count(Outcome::Wrong), streams.requests);
    assert_eq!(summary.violations(), streams.requests);
}

#[test]
fn truncated_and_stalled_streams_are_found() {
    let truncated = summary(Promise::WholeStream);
    let streams = &truncated.deployments[0].pipelines["stream"];
    assert_eq!(streams.count(Outcome::Truncated), streams.requests);
    let stalled = summary(Promise::NoStall);
    let streams = &stalled.deployments[0].pipelines["stream"];
    assert_eq!(streams.stalled_streams, streams.requests);
}
