//! Runs one stage at a target, with retries and resumption of streams.
//!
//! An attempt counts as sent before its call is written. A non-idempotent call is tried again
//! only while nothing was sent.

use std::collections::BTreeSet;
use std::ops::ControlFlow;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Sent;
use arbutus_policy::attempt::Unsent;
use arbutus_policy::stream::Assembler;
use arbutus_policy::stream::Event;
use arbutus_policy::stream::Frame;
use arbutus_wire::target::GenerateBody;
use serde_json::Value;
use serde_json::json;

use crate::metrics::AttemptLabels;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::slots::Slot;
use crate::target_client::CallContext;
use crate::target_client::CallError;

/// The caller went away, so tokens cannot be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SinkClosed;

/// The receiver of the tokens of a stream, in order and each once.
pub trait TokenSink {
    /// Delivers a token.
    ///
    /// # Errors
    ///
    /// Returns [`SinkClosed`] when the caller went away.
    fn token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed>;
}

/// A sink for stages whose tokens nobody waits for one by one.
#[derive(Clone, Copy, Debug)]
pub struct NoSink;

impl TokenSink for NoSink {
    fn token(&mut self, _offset: u32, _text: &str) -> Result<(), SinkClosed> {
        Ok(())
    }
}

/// What a stage needs to run.
#[derive(Clone, Copy, Debug)]
pub struct StageCall<'a> {
    /// The service that runs the stage.
    pub service: &'a str,
    /// Whether the service streams tokens.
    pub streams: bool,
    /// The organisation on whose behalf the stage runs.
    pub organisation: &'a str,
    /// The urgency, 0 being the most urgent.
    pub priority: u8,
    /// When the answer is due.
    pub deadline: Millis,
    /// The longest silence within a stream.
    pub stall_ms: Millis,
    /// The largest number of tokens.
    pub max_tokens: u32,
    /// The largest number of attempts that are sent.
    pub max_attempts: u32,
    /// The idempotency key of a non-idempotent call.
    pub idempotency_key: Option<&'a str>,
    /// The caller's JSON, or the previous stage's output.
    pub input: &'a Value,
}

/// A stage that has run.
#[derive(Debug)]
pub struct StageDone {
    /// The output.
    pub output: Value,
    /// The attempt that ran the stage.
    pub attempt: Attempt<Sent>,
}

enum Outcome {
    Done(Value, Attempt<Sent>),
    NotSent(Attempt<Unsent>, String),
    Failed(Attempt<Sent>, String),
    CallerGone,
}

/// The tokens of a stream over all its attempts.
struct TokenStream {
    assembler: Assembler,
    started: bool,
    text: String,
}

/// Runs a stage.
///
/// # Errors
///
/// Returns the problem that the caller gets.
pub fn run_stage(
    node: &Node,
    call: StageCall<'_>,
    attempt: Attempt<Unsent>,
    sink: &mut dyn TokenSink,
) -> Result<StageDone, Problem> {
    let mut attempt = attempt;
    let mut excluded = BTreeSet::new();
    let mut sent = 0;
    let mut last_failure = None;
    let mut stream = TokenStream {
        assembler: Assembler::new(node.now(), call.stall_ms),
        started: false,
        text: String::new(),
    };
    loop {
        if node.now() >= call.deadline {
            return Err(refuse(attempt, Reason::Deadline, "the deadline has passed"));
        }
        let Some(slot) = acquire(node, call, &excluded) else {
            let detail = last_failure
                .unwrap_or_else(|| format!("no target of service {} is available", call.service));
            return Err(refuse(attempt, Reason::NoTarget, detail));
        };
        let target = slot.target;
        match run_attempt(node, call, attempt, &slot, &mut stream, sink) {
            Outcome::Done(output, attempt) => return Ok(StageDone { output, attempt }),
            Outcome::NotSent(unsent, failure) => {
                last_failure = Some(failure);
                let id = next_attempt_id(unsent.ids());
                attempt = unsent.retarget(id);
            }
            Outcome::CallerGone => {
                return Err(Problem::unknown(
                    Reason::StageFailed,
                    "the caller went away",
                ));
            }
            Outcome::Failed(failed, failure) => {
                sent += 1;
                if call.idempotency_key.is_some() || sent >= call.max_attempts {
                    return Err(Problem::unknown(Reason::StageFailed, failure));
                }
                last_failure = Some(failure);
                let id = next_attempt_id(failed.ids());
                attempt = failed.follow(failed.ids().stage.clone(), id);
            }
        }
        excluded.insert(target);
    }
}

/// Ends a request that is not dispatched any further.
pub fn refuse(attempt: Attempt<Unsent>, reason: Reason, detail: impl Into<String>) -> Problem {
    match attempt.not_run() {
        Ok(proof) => Problem::not_run(&proof, reason, detail),
        Err(_may_have_run) => Problem::unknown(reason, detail),
    }
}

fn acquire<'a>(
    node: &'a Node,
    call: StageCall<'_>,
    excluded: &BTreeSet<Target>,
) -> Option<Slot<'a>> {
    let directory = node.directory();
    node.slots.acquire(
        &directory,
        call.service,
        &node.settings.failure_domain,
        excluded,
    )
}

fn run_attempt(
    node: &Node,
    call: StageCall<'_>,
    attempt: Attempt<Unsent>,
    slot: &Slot<'_>,
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> Outcome {
    let now = node.now();
    let context = CallContext {
        organisation: call.organisation,
        priority: call.priority,
        idempotency_key: call.idempotency_key,
        timeout_ms: call.deadline - now,
    };
    let attempt = attempt.send(now);
    let outcome = if call.streams {
        run_stream(node, call, attempt, slot, context, stream, sink)
    } else {
        let answer = node
            .targets
            .call(slot.address, attempt.ids(), context, call.input);
        match answer {
            Ok(output) => Outcome::Done(output, attempt),
            Err(error) => failed(attempt, &error),
        }
    };
    count(node, call.service, &outcome);
    outcome
}

fn run_stream(
    node: &Node,
    call: StageCall<'_>,
    attempt: Attempt<Sent>,
    slot: &Slot<'_>,
    context: CallContext<'_>,
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> Outcome {
    let body = GenerateBody {
        input: call.input.clone(),
        max_tokens: call.max_tokens,
        resume_at: stream.assembler.resume_at(),
    };
    if stream.started {
        stream.assembler.resume(node.now());
    }
    stream.started = true;
    let source = stream.assembler.source();
    let mut end = None;
    let receive = |frame: Frame| {
        for event in stream.assembler.push(node.now(), source, frame) {
            match event {
                Event::Token { offset, text } => {
                    stream.text.push_str(&text);
                    if sink.token(offset, &text).is_err() {
                        end = Some(StreamEnd::CallerGone);
                    }
                }
                Event::Done { tokens } => end = Some(StreamEnd::Done(tokens)),
                Event::Broken { fault, resume_at } => {
                    end = Some(StreamEnd::Broken(format!(
                        "stream {fault} at token {resume_at}"
                    )));
                }
            }
        }
        if end.is_some() {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    };
    let ids = attempt.ids();
    let started = node
        .targets
        .generate(slot.address, ids, context, call.stall_ms, &body, receive);
    if let Err(error) = started {
        return failed(attempt, &error);
    }
    match end {
        Some(StreamEnd::Done(tokens)) => {
            Outcome::Done(json!({ "text": stream.text, "tokens": tokens }), attempt)
        }
        Some(StreamEnd::CallerGone) => {
            node.targets.cancel(slot.address, attempt.ids());
            Outcome::CallerGone
        }
        Some(StreamEnd::Broken(failure)) => {
            node.targets.cancel(slot.address, attempt.ids());
            Outcome::Failed(attempt, failure)
        }
        None => Outcome::Failed(attempt, "the stream ended without a frame".to_owned()),
    }
}

enum StreamEnd {
    Done(u32),
    Broken(String),
    CallerGone,
}

fn failed(attempt: Attempt<Sent>, error: &CallError) -> Outcome {
    match error {
        CallError::NotConnected(_) => Outcome::NotSent(attempt.not_connected(), error.to_string()),
        _ => Outcome::Failed(attempt, error.to_string()),
    }
}

fn count(node: &Node, service: &str, outcome: &Outcome) {
    let outcome = match outcome {
        Outcome::Done(..) => "done",
        Outcome::NotSent(..) => "not_sent",
        Outcome::Failed(..) => "failed",
        Outcome::CallerGone => "caller_gone",
    };
    let labels = AttemptLabels {
        service: service.to_owned(),
        outcome: outcome.to_owned(),
    };
    node.metrics.attempts.get_or_create(&labels).inc();
}

/// Returns the identifier after `{request}.{stage}.{number}`.
fn next_attempt_id(ids: &AttemptIds) -> String {
    let number = ids
        .attempt
        .rsplit('.')
        .next()
        .and_then(|number| number.parse::<u32>().ok())
        .unwrap_or(0);
    format!("{}.{}.{}", ids.request, ids.stage, number + 1)
}
