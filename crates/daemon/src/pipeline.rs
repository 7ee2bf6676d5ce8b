//! Runs the stages of a pipeline, one after the other, under one deadline.
//!
//! A non-idempotent pipeline ends with one call that must not be repeated. Its claim is confirmed
//! before that call is dispatched; the stages before it may run again when the caller resends.

use std::sync::Arc;

use serde_json::Value;

use crate::claims::holder;
use crate::claims::holder::ClaimRequest;
use crate::claims::holder::HeldClaim;
use crate::claims::holder::LookUp;
use crate::claims::holder::Proposal;
use crate::claims::operators::outcome_of;
use crate::dispatch::check_admission;
use crate::dispatch::refuse;
use crate::dispatch::refuse_overloaded;
use crate::dispatch::run_stage;
use crate::node::Node;
use crate::problem::Executed;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::request::ClientRequest;
use crate::response::JSON;
use crate::slots::NoSlot;
use crate::stage::DiscardTokens;
use crate::stage::StageCall;
use crate::stage::TokenSink;
use arbutus_config::deployment::ClassSpec;
use arbutus_config::deployment::ServiceKind;
use arbutus_config::deployment::StageSpec;
use arbutus_coord::Millis;
use arbutus_coord::claim::StoredResponse;
use arbutus_coord::claim::holder::NotExecutedReason;
use arbutus_coord::claim::holder::NotSent;
use arbutus_coord::claim::record::SettledBy;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Unsent;
use arbutus_policy::balance::prefix_key;
use arbutus_wire::admin::SettleOutcome;

/// The field of a caller's JSON whose start engines cache.
const PROMPT_FIELD: &str = "prompt";
/// The time after which a claim can be tried again when the platform does not respond.
const PLATFORM_RETRY_MS: Millis = Millis(1_000);
const STATUS_OK: u16 = 200;

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
    request: &ClientRequest,
    sink: &mut dyn TokenSink,
) -> Result<Answer, Problem> {
    let prepared = run_earlier_stages(node, request);
    if request.spec().idempotent {
        let (attempt, input) = prepared?;
        let last = request.spec().stages.len() - 1;
        let call = stage_call(node, request, last, &input, None);
        let done = run_stage(node, &call, attempt, sink)?;
        node.stage_times
            .record(node.now(), &request.pipeline, last, done.took_ms);
        return Ok(Answer {
            output: done.output,
            replayed: false,
        });
    }
    match prepared {
        Ok((_, input)) => run_claimed(node, request, &input, sink),
        Err(problem) => confirm_refusal(node, request, problem),
    }
}

/// Runs all stages but the last, and returns the last one's attempt and input.
fn run_earlier_stages(
    node: &Arc<Node>,
    request: &ClientRequest,
) -> Result<(Attempt<Unsent>, Value), Problem> {
    let stages = &request.spec().stages;
    let mut attempt = admit(node, request)?;
    let mut input = request.body.clone();
    for index in 0..stages.len() - 1 {
        let call = stage_call(node, request, index, &input, None);
        let done = run_stage(node, &call, attempt, &mut DiscardTokens)?;
        node.stage_times
            .record(node.now(), &request.pipeline, index, done.took_ms);
        let next = &stages[index + 1].name;
        attempt = done
            .attempt
            .next_attempt(next.clone(), attempt_id(request, next));
        input = done.output;
    }
    Ok((attempt, input))
}

/// Answers a non-idempotent request that is refused before its claim was consulted.
///
/// The refusal may be that of a resend. `not run` would then be false although this call did not
/// run, so the claim decides what the caller is told.
///
/// # Errors
///
/// Returns the problem that the caller gets.
pub fn confirm_refusal(
    node: &Node,
    request: &ClientRequest,
    problem: Problem,
) -> Result<Answer, Problem> {
    let Some(idempotency_key) = request.idempotency_key.as_deref() else {
        return Err(problem);
    };
    let attempt = first_attempt(request, &request.spec().stages[0].name);
    let claim = claim_request(request, idempotency_key, &attempt);
    match holder::look_up(node, claim) {
        // The earlier stages are idempotent, so their attempts do not count.
        LookUp::Absent => Err(refuse(attempt, problem.reason(), problem.detail())
            .with_retry_after(problem.retry_after_ms().unwrap_or(PLATFORM_RETRY_MS))),
        LookUp::Unavailable => Err(refuse(attempt, problem.reason(), problem.detail())
            .with_retry_after(problem.retry_after_ms().unwrap_or(PLATFORM_RETRY_MS))
            .with_earlier_calls_unknown()),
        LookUp::Running => Err(in_progress()),
        LookUp::Unknown => Err(outcome_unknown()),
        LookUp::Settled { response, by } => replay(attempt, &response, &by),
    }
}

fn claim_request<'a>(
    request: &'a ClientRequest,
    idempotency_key: &'a str,
    attempt: &'a Attempt<Unsent>,
) -> ClaimRequest<'a> {
    ClaimRequest {
        organisation: &request.organisation,
        pipeline: &request.pipeline,
        idempotency_key,
        fingerprint: request.fingerprint,
        attempt: &attempt.ids().attempt,
        deadline: request.deadline,
    }
}

fn in_progress() -> Problem {
    let detail = "an earlier call with this idempotency key has no recorded outcome";
    Problem::maybe_executed(Reason::InProgress, detail)
}

fn outcome_unknown() -> Problem {
    let detail = "an earlier call with this idempotency key may have run";
    Problem::maybe_executed(Reason::OutcomeUnknown, detail)
}

fn run_claimed(
    node: &Arc<Node>,
    request: &ClientRequest,
    input: &Value,
    sink: &mut dyn TokenSink,
) -> Result<Answer, Problem> {
    let idempotency_key = request
        .idempotency_key
        .as_deref()
        .expect("parsing requires the key");
    let last = request.spec().stages.len() - 1;
    // The earlier stages are idempotent, so the proof of `not run` is about the last call only.
    let attempt = first_attempt(request, &request.spec().stages[last].name);
    let mut call = stage_call(node, request, last, input, Some(idempotency_key));
    let proposal = holder::propose(node, claim_request(request, idempotency_key, &attempt));
    match proposal {
        Proposal::Confirmed(claim) => {
            call.dispatch_by = Some(claim.dispatch_by());
            let result = run_stage(node, &call, attempt, sink);
            record(
                node,
                claim,
                request.deadline,
                result.map(|done| done.output),
            )
        }
        Proposal::Settled { response, by } => replay(attempt, &response, &by),
        Proposal::KeyReused => Err(refuse(
            attempt,
            Reason::IdempotencyKeyReused,
            "the idempotency key was used with another body",
        )),
        Proposal::InProgress => Err(in_progress()),
        Proposal::Unknown => Err(outcome_unknown()),
        Proposal::Unavailable if deduplicates(request, &request.spec().stages[last]) => {
            node.metrics.count("claim_left_to_service");
            let done = run_stage(node, &call, attempt, sink)?;
            Ok(Answer {
                output: done.output,
                replayed: false,
            })
        }
        Proposal::Unavailable => {
            let detail = "the claim cannot be recorded; this call was not run";
            Err(refuse(attempt, Reason::PlatformUnavailable, detail)
                .with_retry_after(PLATFORM_RETRY_MS)
                .with_earlier_calls_unknown())
        }
        Proposal::NotRun(reason) => Err(refuse_unclaimed(attempt, reason)),
    }
}

fn refuse_unclaimed(attempt: Attempt<Unsent>, reason: NotExecutedReason) -> Problem {
    let (kind, detail) = match reason {
        NotExecutedReason::ShardFull => (Reason::Overloaded, "there is no room for another claim"),
        NotExecutedReason::DispatchWindowPassed => (
            Reason::PlatformUnavailable,
            "the claim was confirmed too late",
        ),
        NotExecutedReason::Unavailable | NotExecutedReason::Withdrawn => (
            Reason::NotReady,
            "this instance cannot hold claims at present",
        ),
    };
    refuse(attempt, kind, detail)
        .with_retry_after(PLATFORM_RETRY_MS)
        .with_earlier_calls_unknown()
}

/// Returns whether the service runs a repeated key once, so that no claim is needed.
fn deduplicates(request: &ClientRequest, stage: &StageSpec) -> bool {
    let services = &request.active.deployment.services;
    services
        .get(&stage.service)
        .is_some_and(|service| service.deduplicates)
}

/// Gives a resend the recorded outcome.
fn replay(
    attempt: Attempt<Unsent>,
    answer: &StoredResponse,
    by: &SettledBy,
) -> Result<Answer, Problem> {
    if let SettledBy::Operator(note) = by
        && outcome_of(note) == Some(SettleOutcome::NotRun)
    {
        let detail = "an operator found that it was not run; send it again under a new key";
        return Err(refuse(attempt, Reason::SettledNotRun, detail));
    }
    let output = answer
        .body
        .as_deref()
        .and_then(|body| serde_json::from_str(body).ok());
    output.map_or_else(
        || {
            let detail = "the request has run; its answer was too large to be kept";
            Err(Problem::maybe_executed(Reason::OutcomeUnknown, detail))
        },
        |output| {
            Ok(Answer {
                output,
                replayed: true,
            })
        },
    )
}

fn record(
    node: &Arc<Node>,
    claim: HeldClaim,
    deadline: Millis,
    result: Result<Value, Problem>,
) -> Result<Answer, Problem> {
    match result {
        Ok(output) => {
            let answer = StoredResponse {
                status: STATUS_OK,
                content_type: JSON.to_owned(),
                body: Some(output.to_string()),
            };
            holder::settle(node, claim, answer, deadline);
            Ok(Answer {
                output,
                replayed: false,
            })
        }
        Err(problem) => {
            // The problem says `no` only on the proof that nothing was sent.
            if problem.executed() == Executed::No {
                holder::release(node, claim, NotSent::connection_not_established());
            } else {
                holder::lose(node, claim);
            }
            Err(problem)
        }
    }
}

/// Refuses a request that would not be answered in time because of the queues of its stages.
///
/// All queues are checked when the request arrives, so that no earlier stage runs in vain.
fn admit(node: &Node, request: &ClientRequest) -> Result<Attempt<Unsent>, Problem> {
    let stages = &request.spec().stages;
    let attempt = first_attempt(request, &stages[0].name);
    for (index, stage) in stages.iter().enumerate() {
        let call = stage_call(node, request, index, &Value::Null, None);
        if let Err(NoSlot::Refused { retry_ms }) = check_admission(node, &call) {
            node.metrics.count("admission_refused");
            return Err(refuse_overloaded(attempt, &stage.service, retry_ms));
        }
    }
    Ok(attempt)
}

fn stage_call(
    node: &Node,
    request: &ClientRequest,
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
        dispatch_by: None,
    }
}

/// Returns how long an attempt of a stage may take before it is tried elsewhere.
fn patience(node: &Node, request: &ClientRequest, index: usize) -> Millis {
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

fn first_attempt(request: &ClientRequest, stage: &str) -> Attempt<Unsent> {
    Attempt::first(AttemptIds {
        request: request.id.clone(),
        stage: stage.to_owned(),
        attempt: attempt_id(request, stage),
    })
}

fn attempt_id(request: &ClientRequest, stage: &str) -> String {
    format!("{}.{stage}.1", request.id)
}
