//! Runs the stages of a pipeline, one after the other, under one deadline.
//!
//! A non-idempotent pipeline ends with one call that must not be repeated. Its claim is confirmed
//! before that call is dispatched; the stages before it may run again when the caller resends.

use std::sync::Arc;

use arbutus_config::deployment::ClassSpec;
use arbutus_config::deployment::ServiceKind;
use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Unsent;
use arbutus_policy::balance::prefix_key;
use serde_json::Value;

use crate::claims::ClaimKey;
use crate::claims::HeldClaim;
use crate::claims::Proposal;
use crate::dispatch::check_admission;
use crate::dispatch::refuse;
use crate::dispatch::refuse_overloaded;
use crate::dispatch::run_stage;
use crate::node::Node;
use crate::problem::Executed;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::request::CallerRequest;
use crate::slots::NoSlot;
use crate::stage::NoSink;
use crate::stage::StageCall;
use crate::stage::TokenSink;

/// The field of a caller's JSON whose start engines cache.
const PROMPT_FIELD: &str = "prompt";

/// The whole answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The output of the last stage.
    pub output: Value,
    /// Whether the answer was recorded by an earlier attempt with the same idempotency key.
    pub replayed: bool,
}

/// Runs a request.
///
/// # Errors
///
/// Returns the problem that the caller gets.
///
/// # Panics
///
/// Panics when the pipeline has no stages, which validation rules out.
pub fn run(
    node: &Arc<Node>,
    request: &CallerRequest,
    sink: &mut dyn TokenSink,
) -> Result<Answer, Problem> {
    let stages = &request.spec().stages;
    let last = stages.len() - 1;
    let mut attempt = admit(node, request)?;
    let mut input = request.body.clone();
    for index in 0..last {
        let call = stage_call(node, request, index, &input, None);
        let done = run_stage(node, &call, attempt, &mut NoSink)?;
        node.stage_times
            .record(node.now(), &request.pipeline, index, done.took_ms);
        let next = &stages[index + 1].name;
        attempt = done.attempt.follow(next.clone(), attempt_id(request, next));
        input = done.output;
    }
    if request.spec().idempotent {
        let call = stage_call(node, request, last, &input, None);
        let done = run_stage(node, &call, attempt, sink)?;
        node.stage_times
            .record(node.now(), &request.pipeline, last, done.took_ms);
        return Ok(Answer {
            output: done.output,
            replayed: false,
        });
    }
    // The earlier stages are idempotent, so the proof of `not run` is about the last call only.
    run_claimed(
        node,
        request,
        &input,
        first_attempt(request, &stages[last].name),
        sink,
    )
}

fn run_claimed(
    node: &Arc<Node>,
    request: &CallerRequest,
    input: &Value,
    attempt: Attempt<Unsent>,
    sink: &mut dyn TokenSink,
) -> Result<Answer, Problem> {
    let idempotency_key = request
        .idempotency_key
        .as_deref()
        .expect("parsing requires the key");
    let key = ClaimKey {
        organisation: &request.organisation,
        pipeline: &request.pipeline,
        idempotency_key,
    };
    match node
        .claims
        .propose(key, request.fingerprint, &attempt.ids().attempt)
    {
        Proposal::Confirmed(claim) => {
            let last = request.spec().stages.len() - 1;
            let call = stage_call(node, request, last, input, Some(idempotency_key));
            let result = run_stage(node, &call, attempt, sink);
            record(node, claim, result.map(|done| done.output))
        }
        Proposal::Settled(output) => Ok(Answer {
            output,
            replayed: true,
        }),
        Proposal::KeyReused => Err(refuse(
            attempt,
            Reason::IdempotencyKeyReused,
            "the idempotency key was used with another body",
        )),
        Proposal::InProgress => Err(Problem::unknown(
            Reason::InProgress,
            "an earlier call with this idempotency key has no recorded outcome",
        )),
        Proposal::Unavailable(detail) => Err(refuse(attempt, Reason::PlatformUnavailable, detail)),
    }
}

fn record(
    node: &Arc<Node>,
    claim: HeldClaim,
    result: Result<Value, Problem>,
) -> Result<Answer, Problem> {
    match result {
        Ok(output) => {
            if !node.claims.settle(claim, &output) {
                node.metrics.count("claim_outcome_not_recorded");
            }
            Ok(Answer {
                output,
                replayed: false,
            })
        }
        Err(problem) => {
            if problem.executed() == Executed::No {
                node.claims.release(claim);
            }
            Err(problem)
        }
    }
}

/// Refuses a request that would not be answered in time because of the queues of its stages.
///
/// All queues are checked when the request arrives, so that no earlier stage runs in vain.
fn admit(node: &Node, request: &CallerRequest) -> Result<Attempt<Unsent>, Problem> {
    let stages = &request.spec().stages;
    let attempt = first_attempt(request, &stages[0].name);
    for (index, stage) in stages.iter().enumerate() {
        let call = stage_call(node, request, index, &Value::Null, None);
        if let Err(NoSlot::Refused { retry_ms }) = check_admission(node, &call) {
            return Err(refuse_overloaded(attempt, &stage.service, retry_ms));
        }
    }
    Ok(attempt)
}

fn stage_call(
    node: &Node,
    request: &CallerRequest,
    index: usize,
    input: &Value,
    idempotency_key: Option<&str>,
) -> StageCall {
    let stage = &request.spec().stages[index];
    let deployment = &request.active.deployment;
    let class: &ClassSpec = &deployment.classes[&request.spec().class];
    let prompt = request.body.get(PROMPT_FIELD).and_then(Value::as_str);
    StageCall {
        pipeline: request.pipeline.clone(),
        stage_index: index,
        service: stage.service.clone(),
        streams: deployment.services[&stage.service].kind == ServiceKind::Engine,
        organisation: request.organisation.clone(),
        weight: deployment.organisations[&request.organisation].weight,
        priority: class.priority,
        deadline: request.deadline,
        expected_ms: node.stage_times.expected(&request.pipeline, index),
        patience_ms: patience(node, request, index),
        stall_ms: class.stall_ms,
        max_tokens: stage.max_tokens,
        hedge: class.hedge,
        idempotency_key: idempotency_key.map(str::to_owned),
        fingerprint: request.fingerprint,
        prefix: prompt.map(prefix_key),
        input: input.clone(),
        resume_at: 0,
        wait_ms: Millis::MAX,
        forwarded: false,
    }
}

/// Returns how long an attempt of a stage may take before it is tried elsewhere.
fn patience(node: &Node, request: &CallerRequest, index: usize) -> Millis {
    let remaining_ms = request.deadline - node.now();
    if !request.active.deployment.policy.stage_budgets {
        return remaining_ms;
    }
    // The last stage has all of the remaining time as its budget, which would leave none for a
    // second attempt.
    let share = Millis(remaining_ms.0 / 2);
    node.stage_times
        .budget(&request.pipeline, index, remaining_ms)
        .min(share)
}

fn first_attempt(request: &CallerRequest, stage: &str) -> Attempt<Unsent> {
    Attempt::first(AttemptIds {
        request: request.id.clone(),
        stage: stage.to_owned(),
        attempt: attempt_id(request, stage),
    })
}

fn attempt_id(request: &CallerRequest, stage: &str) -> String {
    format!("{}.{stage}.1", request.id)
}
