//! Runs the stages of a pipeline, one after the other, under one deadline.
//!
//! A non-idempotent pipeline ends with one call that must not be repeated. Its claim is confirmed
//! before that call is dispatched; the stages before it may run again when the caller resends.

use std::sync::Arc;

use arbutus_config::deployment::ClassSpec;
use arbutus_config::deployment::ServiceKind;
use arbutus_config::deployment::StageSpec;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Unsent;
use arbutus_policy::balance::prefix_key;
use serde_json::Value;

use crate::claims::ClaimKey;
use crate::claims::HeldClaim;
use crate::claims::Proposal;
use crate::dispatch::refuse;
use crate::dispatch::run_stage;
use crate::node::Node;
use crate::problem::Executed;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::request::CallerRequest;
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
    let (last, earlier) = stages
        .split_last()
        .expect("a validated pipeline has stages");
    let mut input = request.body.clone();
    let first_stage = earlier.first().unwrap_or(last);
    let mut attempt = first_attempt(request, &first_stage.name);
    for (index, stage) in earlier.iter().enumerate() {
        let call = stage_call(request, stage, &input, None);
        let done = run_stage(node, &call, attempt, &mut NoSink)?;
        let next = &stages[index + 1].name;
        attempt = done.attempt.follow(next.clone(), attempt_id(request, next));
        input = done.output;
    }
    if request.spec().idempotent {
        let call = stage_call(request, last, &input, None);
        let done = run_stage(node, &call, attempt, sink)?;
        return Ok(Answer {
            output: done.output,
            replayed: false,
        });
    }
    // The earlier stages are idempotent, so the proof of `not run` is about the last call only.
    run_claimed(
        node,
        request,
        last,
        &input,
        first_attempt(request, &last.name),
        sink,
    )
}

fn run_claimed(
    node: &Arc<Node>,
    request: &CallerRequest,
    stage: &StageSpec,
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
            let call = stage_call(request, stage, input, Some(idempotency_key));
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

fn stage_call(
    request: &CallerRequest,
    stage: &StageSpec,
    input: &Value,
    idempotency_key: Option<&str>,
) -> StageCall {
    let deployment = &request.active.deployment;
    let class: &ClassSpec = &deployment.classes[&request.spec().class];
    let prompt = request.body.get(PROMPT_FIELD).and_then(Value::as_str);
    StageCall {
        service: stage.service.clone(),
        streams: deployment.services[&stage.service].kind == ServiceKind::Engine,
        organisation: request.organisation.clone(),
        priority: class.priority,
        deadline: request.deadline,
        stall_ms: class.stall_ms,
        max_tokens: stage.max_tokens,
        hedge: class.hedge,
        idempotency_key: idempotency_key.map(str::to_owned),
        fingerprint: request.fingerprint,
        prefix: prompt.map(prefix_key),
        input: input.clone(),
        resume_at: 0,
        forwarded: false,
    }
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
