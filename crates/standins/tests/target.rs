//! Tests streams, execution counts, injected faults and the cold state of stand-in targets.

use std::io::BufReader;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

use arbutus_coord::Millis;
use arbutus_standins::generated_text::GeneratedText;
use arbutus_standins::sse::Event;
use arbutus_standins::sse::next_event;
use arbutus_standins::target::CrashMode;
use arbutus_standins::target::Target;
use arbutus_standins::target::TargetKind;
use arbutus_standins::target::TargetSpec;

const MAX_TOKENS: u32 = 24;

fn start_target(kind: TargetKind, change: impl FnOnce(&mut TargetSpec)) -> Target {
    let mut spec = TargetSpec::new("t", "service", "arita", kind);
    spec.limits.cold_ms = Millis::ZERO;
    spec.service_ms = Millis(2);
    spec.token_ms = Millis(1);
    change(&mut spec);
    Target::start(SocketAddr::from(([127, 0, 0, 1], 0)), spec).expect("the target starts")
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

fn stream(target: &Target, input: &Value, resume_at: u32) -> Vec<Event> {
    let body = json!({ "input": input, "max_tokens": MAX_TOKENS, "resume_at": resume_at });
    let mut response = agent()
        .post(format!("http://{}/v1/generate", target.address()))
        .send_json(&body)
        .expect("the stream starts");
    assert_eq!(response.status(), 200);
    let mut reader = BufReader::new(response.body_mut().as_reader());
    std::iter::from_fn(|| next_event(&mut reader).expect("the stream is readable")).collect()
}

fn call(target: &Target, key: &str) -> Option<Value> {
    let response = agent()
        .post(format!("http://{}/v1/call", target.address()))
        .header("Idempotency-Key", key)
        .send_json(json!({ "input": { "marker": "m" } }));
    let mut response = response.ok()?;
    response.body_mut().read_json().ok()
}

fn inject_faults(target: &Target, faults: &Value) {
    let url = format!("http://{}/faults", target.address());
    let response = agent()
        .post(url)
        .send_json(faults)
        .expect("the target responds");
    assert_eq!(response.status(), 200);
}

/// Guards against engines that send different tokens for the same input, after which a client could
/// not tell a wrong token from a right one.
#[test]
fn every_engine_continues_a_stream_with_the_same_tokens() {
    let first = start_target(TargetKind::Engine, |spec| spec.seed = 1);
    let second = start_target(TargetKind::Engine, |spec| spec.seed = 2);
    let input = json!({ "marker": "m", "prompt": "how long to fire" });
    // A later stage receives the client's input inside the output of the previous stage.
    let later_stage_input = json!({ "origin": input, "documents": ["d1"] });
    let complete = stream(&first, &input, 0);
    let text = GeneratedText::new(&input, MAX_TOKENS);
    assert_eq!(complete.len(), text.len() as usize + 1);
    for resume_at in 0..=text.len() {
        let rest = stream(&second, &later_stage_input, resume_at);
        assert_eq!(
            rest,
            complete[resume_at as usize..],
            "resumed at {resume_at}"
        );
    }
}

/// Guards against executions that are not counted, for example because the response was dropped;
/// tests would then miss double executions.
#[test]
fn executions_are_counted_by_key() {
    let plain = start_target(TargetKind::Plain, |_| {});
    let responses = [call(&plain, "k1"), call(&plain, "k1"), call(&plain, "k2")];
    assert!(responses.iter().all(Option::is_some));
    assert_ne!(responses[0], responses[1]);
    inject_faults(&plain, &json!({ "drop_after_execution": true }));
    assert_eq!(call(&plain, "k2"), None);
    let counts: Vec<u32> = plain
        .state()
        .executions
        .list()
        .executions
        .iter()
        .map(|execution| execution.count)
        .collect();
    assert_eq!(counts, [2, 2]);
}

/// Guards against a second execution after the first response was lost.
#[test]
fn a_deduplicating_target_executes_a_key_once() {
    let plain = start_target(TargetKind::Plain, |spec| spec.deduplicates = true);
    inject_faults(&plain, &json!({ "drop_after_execution": true }));
    assert_eq!(call(&plain, "k"), None);
    inject_faults(&plain, &json!({ "reset": true }));
    let second = call(&plain, "k");
    assert_eq!(second, call(&plain, "k"));
    assert!(second.is_some());
    assert_eq!(plain.state().executions.list().executions[0].count, 1);
}

/// Guards against streams that look complete after a fault: a client recognises a complete stream
/// only by the event `done`.
#[test]
fn truncated_streams_have_no_done_event_and_crashed_targets_do_not_respond() {
    let engine = start_target(TargetKind::Engine, |spec| {
        spec.crash_mode = CrashMode::DropConnections;
    });
    let input = json!({ "marker": "fatal", "prompt": "p" });
    inject_faults(&engine, &json!({ "truncate_after_tokens": 3 }));
    let events = stream(&engine, &input, 0);
    assert_eq!(events.len(), 3);
    assert!(events.iter().all(|event| event.name == "token"));
    inject_faults(&engine, &json!({ "reset": true, "crash_on": "fatal" }));
    for _ in 0..2 {
        let body = json!({ "input": input, "max_tokens": MAX_TOKENS });
        let url = format!("http://{}/v1/generate", engine.address());
        let response = agent().post(url).send_json(&body);
        response.expect_err("a crashed target does not respond");
    }
}

/// Guards against a cold target that accepts any load; tests of slow start could then not fail.
#[test]
fn a_cold_target_fails_above_its_cold_capacity() {
    let plain = start_target(TargetKind::Plain, |spec| {
        spec.limits.cold_capacity = 0;
        spec.limits.cold_ms = Millis(60_000);
    });
    let response = call(&plain, "k");
    assert_eq!(response, Some(json!({ "detail": "the target is cold" })));
    let stats = plain.state().stats();
    assert_eq!((stats.cold_failures, stats.executed), (1, 0));
}
