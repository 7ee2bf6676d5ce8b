//! Executes the stages of a pipeline, one after the other, with one deadline for all.
//!
//! In a non-idempotent pipeline, the last stage is non-idempotent and the earlier stages are
//! idempotent. The call of the last stage is sent only after its claim is confirmed. A claim is a
//! record in the platform's store that prevents a second execution for the same idempotency key.
//! The earlier stages may be executed again when the client retries.

use std::sync::Arc;

use serde_json::Value;

use crate::claims::holder;
use crate::claims::holder::ClaimRequest;
use crate::claims::holder::HeldClaim;
use crate::claims::holder::LookupOutcome;
use crate::claims::holder::ProposalOutcome;
use crate::claims::operators::parse_outcome;
use crate::dispatch::check_admission;
use crate::dispatch::execute_stage;
use crate::dispatch::overload_refusal;
use crate::dispatch::refusal;
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

/// The field of the request body that holds the prompt. Requests with the same start of the prompt
/// prefer the same engine, which may have that prefix in its cache.
const PROMPT_FIELD: &str = "prompt";
/// The `Retry-After` of a refusal because the claim could not be recorded, and the default for a
/// request that was refused or failed without a delay for a retry.
const CLAIM_RETRY_AFTER_MS: Millis = Millis(1_000);
const STATUS_OK: u16 = 200;

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineResponse {
    /// The output of the last stage, which is the body of the response.
    pub output: Value,
    /// Whether the output was recorded for an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// Executes all stages of a request; `sink` receives the tokens of the last one.
///
/// # Errors
///
/// Returns the problem for the client.
///
/// # Panics
///
/// Panics when the pipeline has no stages; the validation of the configuration rejects that.
pub fn execute(
    node: &Arc<Node>,
    request: &ClientRequest,
    sink: &mut dyn TokenSink,
) -> Result<PipelineResponse, Problem> {
    let last_stage_input = execute_earlier_stages(node, request);
    if request.pipeline_spec().idempotent {
        let (attempt, input) = last_stage_input?;
        let last = request.pipeline_spec().stages.len() - 1;
        let call = stage_call(node, request, last, &input, None);
        let completed = execute_stage(node, &call, attempt, sink)?;
        node.stage_times
            .record(node.now(), &request.pipeline, last, completed.duration_ms);
        return Ok(PipelineResponse {
            output: completed.output,
            replayed: false,
        });
    }
    match last_stage_input {
        Ok((_, input)) => execute_with_claim(node, request, &input, sink),
        Err(problem) => resolve_refusal(node, request, problem),
    }
}

/// Executes all stages but the last. Returns the unsent first attempt and the input of the last
/// stage.
fn execute_earlier_stages(
    node: &Arc<Node>,
    request: &ClientRequest,
) -> Result<(Attempt<Unsent>, Value), Problem> {
    let stages = &request.pipeline_spec().stages;
    let mut attempt = check_admission_of_stages(node, request)?;
    let mut input = request.body.clone();
    for index in 0..stages.len() - 1 {
        let call = stage_call(node, request, index, &input, None);
        let completed = execute_stage(node, &call, attempt, &mut DiscardTokens)?;
        node.stage_times
            .record(node.now(), &request.pipeline, index, completed.duration_ms);
        let next_stage = &stages[index + 1].name;
        attempt = completed
            .attempt
            .next_attempt(next_stage.clone(), first_attempt_id(request, next_stage));
        input = completed.output;
    }
    Ok((attempt, input))
}

/// Determines the response to a request that was refused or failed before its claim was read.
///
/// The request may be a retry of one that was executed, and the response must then not say that the
/// request was not executed. The claim is therefore read, and its state decides the response. A
/// request without an idempotency key has no claim and gets the problem unchanged.
///
/// # Errors
///
/// Returns the problem for the client.
pub fn resolve_refusal(
    node: &Node,
    request: &ClientRequest,
    problem: Problem,
) -> Result<PipelineResponse, Problem> {
    let Some(idempotency_key) = request.idempotency_key.as_deref() else {
        return Err(problem);
    };
    let attempt = first_attempt(request, &request.pipeline_spec().stages[0].name);
    let claim = claim_request(request, idempotency_key, &attempt);
    match holder::look_up(node, claim) {
        // `attempt` was not sent, although attempts of earlier stages may have been. These stages
        // are idempotent, so only the last stage decides whether the request counts as executed.
        LookupOutcome::Absent => Err(refusal(attempt, problem.reason(), problem.detail())
            .with_retry_after(problem.retry_after_ms().unwrap_or(CLAIM_RETRY_AFTER_MS))),
        LookupOutcome::Unavailable => Err(refusal(attempt, problem.reason(), problem.detail())
            .with_retry_after(problem.retry_after_ms().unwrap_or(CLAIM_RETRY_AFTER_MS))
            .with_earlier_calls_unknown()),
        LookupOutcome::Running => Err(in_progress_problem()),
        LookupOutcome::Unknown => Err(outcome_unknown_problem()),
        LookupOutcome::Settled { response, by } => replay_recorded(attempt, &response, &by),
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

fn in_progress_problem() -> Problem {
    let detail = "an earlier request with this idempotency key has no recorded outcome yet";
    Problem::maybe_executed(Reason::InProgress, detail)
}

fn outcome_unknown_problem() -> Problem {
    let detail = "an earlier request with this idempotency key may have been executed";
    Problem::maybe_executed(Reason::OutcomeUnknown, detail)
}

fn execute_with_claim(
    node: &Arc<Node>,
    request: &ClientRequest,
    input: &Value,
    sink: &mut dyn TokenSink,
) -> Result<PipelineResponse, Problem> {
    let idempotency_key = request
        .idempotency_key
        .as_deref()
        .expect("a request to a non-idempotent pipeline has an idempotency key");
    let last = request.pipeline_spec().stages.len() - 1;
    // The earlier stages are idempotent, so only an attempt of the last stage can prevent the proof
    // that the request was not executed.
    let attempt = first_attempt(request, &request.pipeline_spec().stages[last].name);
    let mut call = stage_call(node, request, last, input, Some(idempotency_key));
    let proposal = holder::propose(node, claim_request(request, idempotency_key, &attempt));
    match proposal {
        ProposalOutcome::Confirmed(claim) => {
            call.dispatch_deadline = Some(claim.dispatch_deadline());
            let result = execute_stage(node, &call, attempt, sink);
            finish_claim(
                node,
                claim,
                request.deadline,
                result.map(|completed| completed.output),
            )
        }
        ProposalOutcome::Settled { response, by } => replay_recorded(attempt, &response, &by),
        ProposalOutcome::KeyReused => Err(refusal(
            attempt,
            Reason::IdempotencyKeyReused,
            "the idempotency key was used with another body",
        )),
        ProposalOutcome::InProgress => Err(in_progress_problem()),
        ProposalOutcome::Unknown => Err(outcome_unknown_problem()),
        ProposalOutcome::Unavailable
            if service_deduplicates(request, &request.pipeline_spec().stages[last]) =>
        {
            node.metrics.count("claim_left_to_service");
            let completed = execute_stage(node, &call, attempt, sink)?;
            Ok(PipelineResponse {
                output: completed.output,
                replayed: false,
            })
        }
        ProposalOutcome::Unavailable => {
            let detail = "the claim cannot be recorded, so this request was not executed";
            Err(refusal(attempt, Reason::PlatformUnavailable, detail)
                .with_retry_after(CLAIM_RETRY_AFTER_MS)
                .with_earlier_calls_unknown())
        }
        ProposalOutcome::NotExecuted(reason) => Err(refusal_without_claim(attempt, reason)),
    }
}

fn refusal_without_claim(attempt: Attempt<Unsent>, reason: NotExecutedReason) -> Problem {
    let (problem_reason, detail) = match reason {
        NotExecutedReason::ShardFull => (Reason::Overloaded, "the storage for claims is full"),
        NotExecutedReason::DispatchWindowPassed => (
            Reason::PlatformUnavailable,
            "the claim was confirmed after its dispatch window had passed",
        ),
        NotExecutedReason::Unavailable | NotExecutedReason::Released => (
            Reason::NotReady,
            "this instance cannot record claims at present",
        ),
    };
    refusal(attempt, problem_reason, detail)
        .with_retry_after(CLAIM_RETRY_AFTER_MS)
        .with_earlier_calls_unknown()
}

/// Returns whether the service itself executes calls with the same idempotency key only once. Such
/// a call may be sent without a claim.
fn service_deduplicates(request: &ClientRequest, stage: &StageSpec) -> bool {
    let services = &request.active.deployment.services;
    services
        .get(&stage.service)
        .is_some_and(|service| service.deduplicates)
}

/// Returns the recorded response of an earlier request with the same idempotency key, or a problem
/// if an operator recorded that the request was not executed or if the body was not stored.
fn replay_recorded(
    attempt: Attempt<Unsent>,
    response: &StoredResponse,
    by: &SettledBy,
) -> Result<PipelineResponse, Problem> {
    if let SettledBy::Operator(note) = by
        && parse_outcome(note) == Some(SettleOutcome::NotExecuted)
    {
        let detail = "an operator recorded that the request was not executed; retry with a new key";
        return Err(refusal(attempt, Reason::SettledNotExecuted, detail));
    }
    let output = response
        .body
        .as_deref()
        .and_then(|body| serde_json::from_str(body).ok());
    output.map_or_else(
        || {
            let detail = "the request was executed, but its response was too large to be stored";
            Err(Problem::maybe_executed(Reason::OutcomeUnknown, detail))
        },
        |output| {
            Ok(PipelineResponse {
                output,
                replayed: true,
            })
        },
    )
}

/// Records the outcome of the last stage in its claim: settles the claim after a success, releases
/// it if no target received the call, and otherwise marks the outcome as unknown.
fn finish_claim(
    node: &Arc<Node>,
    claim: HeldClaim,
    deadline: Millis,
    result: Result<Value, Problem>,
) -> Result<PipelineResponse, Problem> {
    match result {
        Ok(output) => {
            let response = StoredResponse {
                status: STATUS_OK,
                content_type: JSON.to_owned(),
                body: Some(output.to_string()),
            };
            holder::settle(node, claim, response, deadline);
            Ok(PipelineResponse {
                output,
                replayed: false,
            })
        }
        Err(problem) => {
            // A problem with `Executed::No` is only created from the proof that no target can have
            // received the call.
            if problem.executed() == Executed::No {
                holder::release(node, claim, NotSent::connection_not_established());
            } else {
                holder::mark_unknown(node, claim);
            }
            Err(problem)
        }
    }
}

/// Checks that a request can meet its deadline despite the queues of its stages. Returns the unsent
/// first attempt of the first stage, or the problem if the request is refused.
///
/// All queues are checked when the request arrives, so that no stage is executed for a request that
/// is refused at a later stage.
fn check_admission_of_stages(
    node: &Node,
    request: &ClientRequest,
) -> Result<Attempt<Unsent>, Problem> {
    let stages = &request.pipeline_spec().stages;
    let attempt = first_attempt(request, &stages[0].name);
    for (index, stage) in stages.iter().enumerate() {
        let call = stage_call(node, request, index, &Value::Null, None);
        if let Err(NoSlot::Refused { retry_ms }) = check_admission(node, &call) {
            node.metrics.count("admission_refused");
            return Err(overload_refusal(attempt, &stage.service, retry_ms));
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
    let stage = &request.pipeline_spec().stages[index];
    let deployment = &request.active.deployment;
    let class: &ClassSpec = &deployment.classes[&request.pipeline_spec().class];
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
        expected_ms: node
            .stage_times
            .expected_remaining(&request.pipeline, index),
        attempt_timeout_ms: attempt_timeout(node, request, index),
        stall_ms: class.stall_ms,
        max_tokens: stage.max_tokens,
        hedge: class.hedge,
        idempotency_key: idempotency_key.map(str::to_owned),
        fingerprint: request.fingerprint,
        prefix: prompt.map(prefix_key),
        input: input.clone(),
        first_offset: 0,
        max_slot_wait_ms: Millis::MAX,
        forwarded: false,
        dispatch_deadline: None,
    }
}

/// Returns the timeout of the first attempt of a stage, which is used only for idempotent calls.
fn attempt_timeout(node: &Node, request: &ClientRequest, index: usize) -> Millis {
    let remaining_ms = request.deadline - node.now();
    if !request.active.deployment.policy.stage_budgets {
        return remaining_ms;
    }
    // The budget of the last stage is all of the remaining time. The timeout is therefore at most
    // half of the remaining time, which leaves time for a retry.
    let half_ms = Millis(remaining_ms.0 / 2);
    node.stage_times
        .budget(&request.pipeline, index, remaining_ms)
        .min(half_ms)
}

fn first_attempt(request: &ClientRequest, stage: &str) -> Attempt<Unsent> {
    Attempt::first(AttemptIds {
        request: request.id.clone(),
        stage: stage.to_owned(),
        attempt: first_attempt_id(request, stage),
    })
}

fn first_attempt_id(request: &ClientRequest, stage: &str) -> String {
    format!("{}.{stage}.1", request.id)
}
