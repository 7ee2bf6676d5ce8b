//! Dispatch of a request to targets, with retries.
//!
//! Whether a failed attempt may be retried depends on whether the target may have executed it. An
//! attempt that was never sent, or that the target reports as not executed, may be retried on
//! another target, whatever the route. Any other failed attempt may have been executed: it is
//! retried only if the route allows repeated execution, up to the route's `max_attempts`. Every
//! retry takes from the retry budget of the service.

use std::collections::BTreeSet;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use tokio::time::timeout;

use crate::body::BodyError;
use crate::body::CompleteBody;
use crate::connection;
use crate::crashes;
use crate::crashes::ConnectionEnd;
use crate::request::RequestContext;
use crate::rollouts;
use crate::stages::RequestStages;
use crate::target_attempt::TargetAttempt;
use crate::target_choice;
use crate::target_notices;
use crate::target_reports;
use arbutus_coord::Millis;
use arbutus_platform::request::SystemHeaders;
use arbutus_platform::response;
use arbutus_platform::response::ResponseClass;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// Time after which a connection that breaks was in use. A target that has dropped an idle
/// connection, or that has too many, resets it within a round trip of the request.
const MIN_EXECUTION_MS: Millis = Millis(10);
/// Maximum number of attempts per request, including those that no target executed.
const MAX_ATTEMPTS: u32 = 4;
/// Minimum time that a retryable attempt waits for the response head.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = Millis(250);
/// Time that a retryable attempt waits for the response head, as a multiple of the latency
/// objective.
const ATTEMPT_TIMEOUT_OBJECTIVE_FACTOR: u64 = 3;

/// Why a request got no usable response from a target.
#[derive(Debug)]
pub enum DispatchError {
    /// The last attempt was not executed, or none was made. An earlier attempt may have been
    /// executed if [`RequestContext::possible_executions`] is not 0.
    NotExecuted {
        /// The cause, for the log.
        reason: String,
        /// Time after which the client should retry, if it is known.
        retry_after_ms: Option<Millis>,
    },
    /// The request is suspected of crashing targets and was not executed.
    Quarantined {
        /// The cause, for the log.
        reason: String,
    },
    /// A target may have executed the request.
    MaybeExecuted {
        /// The cause, for the log.
        reason: String,
    },
    /// The deadline passed, and a target may have executed the request.
    DeadlineExceeded {
        /// The cause, for the log.
        reason: String,
    },
}

/// The response of a target that executed the request; its body is not read yet.
#[derive(Debug)]
pub struct TargetResponse {
    /// The attempt that the response belongs to.
    pub attempt: TargetAttempt,
    /// The response head and the unread body.
    pub http_response: Response<Incoming>,
    /// Whether the target reported success.
    pub is_success: bool,
}

/// A response whose body was read completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status for the client.
    pub status: StatusCode,
    /// The headers for the client.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: CompleteBody,
}

/// The attempts made so far for a request.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried_targets: BTreeSet<String>,
    attempts: u32,
}

/// How a single attempt ended.
enum AttemptOutcome {
    Responded(Box<TargetResponse>),
    /// No byte reached the target.
    Unsent(String),
    /// The target reported that it did not execute the request.
    NotExecuted {
        /// Whether a stage result that the request needs is lost and has to be computed again.
        input_lost: bool,
    },
    /// The target may have executed the request.
    MaybeExecuted(String),
}

/// Whether a request is sent for its whole response or for the rest of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// No target has begun to respond.
    Initial,
    /// The stream of another target was cut off; that target has executed the request in part.
    Resumption {
        /// The last event that the client has; `None` if it has none, so that the target sends the
        /// stream from its beginning. Targets choose the identifier of their first event.
        last_event_id: Option<u64>,
    },
}

impl SendKind {
    fn last_event_id(self) -> Option<u64> {
        match self {
            Self::Initial => None,
            Self::Resumption { last_event_id } => last_event_id,
        }
    }
}

/// Sends a request to targets until one of them responds.
///
/// # Errors
///
/// Returns the cause, and whether a target may have executed the request.
pub async fn send(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    kind: SendKind,
) -> Result<TargetResponse, DispatchError> {
    let mut history = AttemptHistory::default();
    send_with_retries(context, stages, &mut history, kind).await
}

async fn send_with_retries(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    history: &mut AttemptHistory,
    kind: SendKind,
) -> Result<TargetResponse, DispatchError> {
    loop {
        let selected = target_choice::wait_for_target(context, &history.tried_targets).await;
        let entry = match selected {
            Ok(entry) => entry,
            Err(no_target) => {
                let mut error = dispatch_error(context, "no target available");
                if let DispatchError::NotExecuted { retry_after_ms, .. } = &mut error {
                    *retry_after_ms = no_target.retry_after_ms;
                }
                return Err(error);
            }
        };
        // The quarantine may have begun while the request waited for its stages or for a target.
        if let Some(reason) = crashes::begin_attempt(context) {
            return Err(if context.possible_executions == 0 {
                DispatchError::Quarantined { reason }
            } else {
                dispatch_error(context, &reason)
            });
        }
        // Resuming a stream sends the request to another target, so it counts as a retry too.
        let is_retry = history.attempts > 0 || kind != SendKind::Initial;
        if is_retry && !context.shared.try_retry(&context.service) {
            return Err(dispatch_error(context, "retry budget exhausted"));
        }
        history.attempts += 1;
        history.tried_targets.insert(entry.id.clone());
        context.record.targets.push(entry.id.clone());
        let reason = match send_once(context, stages, &entry, kind.last_event_id()).await {
            AttemptOutcome::Responded(target_response) => {
                context.possible_executions += 1;
                let should_retry = !target_response.is_success
                    && context.route.is_retryable()
                    && context.possible_executions < context.route.max_attempts
                    && history.attempts < MAX_ATTEMPTS
                    && target_choice::has_untried_target(context, &history.tried_targets)
                    && context.shared.allows_retry(&context.service);
                if !should_retry {
                    return Ok(*target_response);
                }
                target_response.attempt.close(TargetOutcome::Failed);
                continue;
            }
            AttemptOutcome::Unsent(reason) => {
                context.set_may_have_executed(false);
                reason
            }
            AttemptOutcome::NotExecuted { input_lost } => {
                context.set_may_have_executed(false);
                if input_lost {
                    stages.discard_results()?;
                    stages.compute_missing(context).await?;
                }
                "the target refused to execute the request".to_owned()
            }
            AttemptOutcome::MaybeExecuted(reason) => {
                context.possible_executions += 1;
                let may_retry = context.route.is_retryable()
                    && context.possible_executions < context.route.max_attempts;
                if !may_retry {
                    return Err(dispatch_error(context, &reason));
                }
                reason
            }
        };
        info!(
            request = context.client.id.as_str(), target_id = entry.id.as_str(), reason = reason.as_str(),
            sends = history.attempts, may_have_run = context.possible_executions,
            remaining_ms = context.remaining_ms().0;
            "attempt failed"
        );
        let is_out_of_time =
            context.remaining_ms() == Millis::ZERO || context.shared.is_past_shutdown_deadline();
        if history.attempts >= MAX_ATTEMPTS || is_out_of_time {
            return Err(dispatch_error(context, &reason));
        }
    }
}

fn dispatch_error(context: &RequestContext, reason: &str) -> DispatchError {
    let reason = reason.to_owned();
    if context.possible_executions == 0 {
        DispatchError::NotExecuted {
            reason,
            retry_after_ms: None,
        }
    } else if context.remaining_ms() == Millis::ZERO {
        DispatchError::DeadlineExceeded { reason }
    } else {
        DispatchError::MaybeExecuted { reason }
    }
}

/// Reads the complete response body. If the body is incomplete or the response cannot be forwarded,
/// a request of a [`RouteKind::Safe`] route is sent again.
///
/// # Errors
///
/// Returns the cause, and whether a target may have executed the request.
pub async fn read_response(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    target_response: TargetResponse,
) -> Result<CompleteResponse, DispatchError> {
    let mut history = AttemptHistory::default();
    let mut target_response = target_response;
    loop {
        let target = target_response.attempt.target().id.clone();
        let reason = match read_body(context, target_response).await {
            Ok(complete) => return Ok(complete),
            Err(reason) => reason,
        };
        info!(request = context.client.id.as_str(), target_id = target.as_str(), reason = reason.as_str(); "response body incomplete or unusable");
        history.attempts += 1;
        history.tried_targets.insert(target);
        let may_retry = context.route.kind == RouteKind::Safe
            && context.possible_executions < context.route.max_attempts
            && context.remaining_ms() > Millis::ZERO;
        if !may_retry {
            return Err(dispatch_error(context, &reason));
        }
        target_response =
            send_with_retries(context, stages, &mut history, SendKind::Initial).await?;
    }
}

async fn read_body(
    context: &RequestContext,
    target_response: TargetResponse,
) -> Result<CompleteResponse, String> {
    let (head, body) = target_response.http_response.into_parts();
    let ends_with_connection = connection::ends_with_connection(&head.headers, &body);
    let reading = context.shared.body_memory.read(body);
    let body = match context.before_deadline(reading).await {
        Some(Ok(body)) => body,
        Some(Err(error)) => {
            if let BodyError::Interrupted(error) = &error {
                crashes::record_crash_within_body(
                    context,
                    target_response.attempt.target(),
                    &error.to_string(),
                );
            }
            target_response.attempt.close(TargetOutcome::Broken);
            return Err(format!("cannot read the response body: {error}"));
        }
        None => {
            target_response.attempt.close(TargetOutcome::Broken);
            return Err("the response body was not complete before the deadline".to_owned());
        }
    };
    if ends_with_connection && body.is_empty() {
        let reason = "the connection ended before the response body";
        crashes::record_crash_within_body(context, target_response.attempt.target(), reason);
        target_response.attempt.close(TargetOutcome::Broken);
        return Err(reason.to_owned());
    }
    let outcome = if target_response.is_success {
        // A crash can end a body without a length anywhere, so that proves no success.
        if !ends_with_connection {
            crashes::record_complete_response(context);
        }
        TargetOutcome::Responded
    } else {
        TargetOutcome::Failed
    };
    target_reports::record_response(context, &target_response.attempt, head.status);
    target_response.attempt.release(outcome, &head.headers);
    // A client takes this status to mean that the request was not executed. The target executed it,
    // so the response cannot be forwarded.
    if response::implies_not_executed(head.status) {
        return Err(format!(
            "the target executed the request but failed with status {}",
            head.status
        ));
    }
    Ok(CompleteResponse {
        status: head.status,
        headers: response::headers_for_client(&head.headers),
        body,
    })
}

async fn send_once(
    context: &RequestContext,
    stages: &RequestStages,
    entry: &TargetEntry,
    last_event_id: Option<u64>,
) -> AttemptOutcome {
    let shared = &context.shared;
    let acquiring = shared.pool.acquire(shared.now(), entry);
    let connection = match context.before_deadline(acquiring).await {
        Some(Ok(connection)) => connection,
        Some(Err(error)) => {
            let mut target_states = shared.target_states.borrow_mut();
            target_states.record_send(&entry.id);
            target_states.record_outcome(shared.now(), &entry.id, TargetOutcome::Broken);
            target_reports::record_outcome(shared, entry, TargetOutcome::Broken);
            return AttemptOutcome::Unsent(error.to_string());
        }
        None => return AttemptOutcome::Unsent("no connection before the deadline".to_owned()),
    };
    // The target may have been removed, drained, evacuated or restarted, or have asked for a pause,
    // while the connection was being opened.
    let may_send_now = shared
        .directory
        .borrow()
        .may_send(&entry.id, entry.incarnation)
        && !target_notices::is_paused(shared, &entry.id)
        && rollouts::may_send(context, entry);
    if !may_send_now {
        connection.release(shared.now(), None);
        return AttemptOutcome::Unsent(
            "the target stopped accepting requests before the request was sent".to_owned(),
        );
    }
    let remaining_ms = context.remaining_ms();
    let request = context.client.target_request_head(&SystemHeaders {
        target_id: &entry.id,
        organisation: context.organisation.as_deref(),
        remaining_ms,
        input_handles: &stages.results(),
        last_event_id,
    });
    let request = request.and_then(|builder| builder.body(Full::new(context.body.bytes().clone())));
    let request = match request {
        Ok(request) => request,
        Err(error) => return AttemptOutcome::Unsent(format!("cannot build request: {error}")),
    };
    shared
        .cold_target_pacer
        .borrow_mut()
        .record_send(shared.now(), &entry.id);
    let sent_at = shared.now();
    let mut attempt = TargetAttempt::new(context, entry.clone(), connection);
    context.set_may_have_executed(true);
    let attempt_timeout_ms = attempt_timeout_ms(context);
    let response_future = async {
        match attempt.connection() {
            Ok(connection) => connection.send(request).await,
            Err(error) => Err(error),
        }
    };
    let response_future = timeout(attempt_timeout_ms.to_duration(), response_future);
    let http_response = match context.before_deadline(response_future).await {
        Some(Ok(Ok(http_response))) => http_response,
        Some(Ok(Err(error))) if error.is_unsent() => {
            attempt.close(TargetOutcome::Abandoned);
            return AttemptOutcome::Unsent(error.to_string());
        }
        Some(Ok(Err(error))) => {
            attempt.close(TargetOutcome::Broken);
            let reason = error.to_string();
            let connection_end = if shared.now() - sent_at < MIN_EXECUTION_MS {
                ConnectionEnd::BeforeExecution
            } else {
                ConnectionEnd::BeforeResponse
            };
            crashes::record_crash(context, entry, &reason, connection_end);
            return AttemptOutcome::MaybeExecuted(reason);
        }
        Some(Err(_)) | None => {
            attempt.close(TargetOutcome::Broken);
            return AttemptOutcome::MaybeExecuted(format!(
                "no response within {attempt_timeout_ms}"
            ));
        }
    };
    classify_response(context, attempt, http_response, sent_at)
}

/// Determines the outcome of an attempt from the response head. Also records the load that the target
/// reports and what it asks for.
fn classify_response(
    context: &RequestContext,
    attempt: TargetAttempt,
    http_response: Response<Incoming>,
    sent_at: Millis,
) -> AttemptOutcome {
    let headers = http_response.headers();
    let response_class = response::classify(
        http_response.status(),
        headers,
        &context.client.id,
        attempt.is_connection_reused(),
    );
    let is_from_target = !matches!(
        response_class,
        ResponseClass::Invalid
            | ResponseClass::NotExecuted {
                misdirected: true,
                ..
            }
    );
    if is_from_target {
        let executed = !matches!(response_class, ResponseClass::NotExecuted { .. });
        target_notices::record_response(
            &context.shared,
            attempt.target(),
            http_response.status(),
            headers,
            sent_at,
            executed,
        );
    }
    if response_class != ResponseClass::Invalid
        && let Some(load) = response::reported_load(headers)
    {
        let shared = &context.shared;
        shared.target_states.borrow_mut().record_load_report(
            shared.now(),
            &attempt.target().id,
            load.running,
            load.waiting,
        );
        target_reports::record_load(shared, attempt.target(), &load);
    }
    match response_class {
        ResponseClass::Success | ResponseClass::Failure => {
            AttemptOutcome::Responded(Box::new(TargetResponse {
                attempt,
                http_response,
                is_success: response_class == ResponseClass::Success,
            }))
        }
        ResponseClass::NotExecuted {
            misdirected,
            input_lost,
        } => {
            let outcome = if misdirected {
                TargetOutcome::Broken
            } else {
                TargetOutcome::Full
            };
            // Reading the body would allow reuse of the connection, but is not worth the wait.
            attempt.close(outcome);
            AttemptOutcome::NotExecuted { input_lost }
        }
        ResponseClass::Invalid => {
            attempt.close(TargetOutcome::Broken);
            let status = http_response.status();
            AttemptOutcome::MaybeExecuted(format!(
                "the response with status {status} does not match the request"
            ))
        }
    }
}

/// Returns how long an attempt waits for the response head.
fn attempt_timeout_ms(context: &RequestContext) -> Millis {
    let remaining_ms = context.remaining_ms();
    let is_only_attempt = !context.route.is_retryable() || context.route.max_attempts < 2;
    if is_only_attempt {
        return remaining_ms;
    }
    let timeout_ms = context
        .route
        .objective_ms
        .times(ATTEMPT_TIMEOUT_OBJECTIVE_FACTOR);
    timeout_ms.max(MIN_ATTEMPT_TIMEOUT_MS).min(remaining_ms)
}
