//! Sends of a request to targets.
//!
//! What may be done after a failed send depends on what the target can have done with it. A send
//! that never left, or that the target says it did not run, may go elsewhere. Every other failed
//! send may have run: only requests that may be repeated go elsewhere then, within the route's
//! number of targets and the budget of repeated sends.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use rand::RngExt;
use tokio::time::timeout;

use crate::background;
use crate::connection::CallError;
use crate::net::sleep;
use crate::pool::Lease;
use crate::request::RequestContext;
use crate::shared::Shared;
use crate::stages::RequestStages;
use arbutus_coord::Millis;
use arbutus_platform::answer;
use arbutus_platform::answer::AnswerMeaning;
use arbutus_platform::request::TargetSend;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::model::ServiceSpec;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_selection::SelectionCriteria;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// The most sends of a request, those included that no target ran.
const MAX_SENDS: u32 = 4;
/// How long a request waits between looks for a target that may take it.
const LOOK_AGAIN_MS: Millis = Millis(25);
/// The part of the objective, in percent, after which a request that found no target is refused.
const WAIT_FOR_TARGET_PERCENT: u64 = 40;
/// The share of a target's connections that instances use; the rest covers instances that are not
/// known yet.
const CONNECTION_PERCENT: usize = 80;
/// The least time in which a target may answer a request that can be sent elsewhere.
const MIN_ATTEMPT_MS: Millis = Millis(250);
/// The multiple of the objective in which it may.
const ATTEMPT_OBJECTIVES: u64 = 3;

/// A request that was given up.
#[derive(Debug)]
pub enum GivenUp {
    /// No target ran it.
    NotRun {
        /// Why.
        reason: String,
    },
    /// A target may have run it.
    MayHaveRun {
        /// Why.
        reason: String,
    },
    /// The time was over, and a target may have run it.
    OutOfTime {
        /// Why.
        reason: String,
    },
}

/// Records the end of a send when it is dropped.
#[derive(Debug)]
struct SendRecord {
    shared: Rc<Shared>,
    entry: TargetEntry,
    outcome: TargetOutcome,
}

impl Drop for SendRecord {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut states = self.shared.states.borrow_mut();
        states.record_outcome(now, &self.entry.id, self.outcome);
        let event = self.outcome.into();
        self.shared.metrics.count_send(&self.entry.service, event);
    }
}

/// A send in progress.
#[derive(Debug)]
pub struct TargetCall {
    record: SendRecord,
    lease: Lease,
}

impl TargetCall {
    fn new(shared: &Rc<Shared>, entry: TargetEntry, lease: Lease) -> Self {
        shared.states.borrow_mut().record_send(&entry.id);
        let record = SendRecord {
            shared: Rc::clone(shared),
            entry,
            outcome: TargetOutcome::Abandoned,
        };
        Self { record, lease }
    }

    /// Returns the target.
    #[must_use]
    pub fn target(&self) -> &TargetEntry {
        &self.record.entry
    }

    /// Ends the send and closes its connection.
    pub fn close(mut self, outcome: TargetOutcome) {
        self.record.outcome = outcome;
    }

    /// Ends the send after its answer was read to the end, and keeps its connection.
    pub fn keep(mut self, outcome: TargetOutcome, headers: &HeaderMap) {
        self.record.outcome = outcome;
        if !answer::closes(headers) {
            let now = self.record.shared.now();
            self.lease.keep(now, answer::keep_alive_ms(headers));
        }
    }
}

/// The head of a target's answer to a request that it ran.
#[derive(Debug)]
pub struct Answered {
    /// The send.
    pub call: TargetCall,
    /// The answer.
    pub response: Response<Incoming>,
    /// Whether the target succeeded.
    pub is_success: bool,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers for the client.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What is known of the sends of a request so far.
#[derive(Debug, Default)]
struct Progress {
    tried: BTreeSet<String>,
    sends: u32,
}

/// How one send ended.
enum SendEnd {
    Answered(Box<Answered>),
    /// Nothing reached the target.
    Unsent(String),
    /// The target did not run the request.
    NotExecuted {
        input_lost: bool,
    },
    /// The target may have run the request.
    Broken(String),
}

/// Sends a request until a target has answered it.
///
/// A `last_event` continues a stream after that event; the stream has already run then.
///
/// # Errors
///
/// Returns why the request is given up, and whether it may have run.
pub async fn send(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    last_event: Option<u64>,
) -> Result<Answered, GivenUp> {
    let mut progress = Progress::default();
    send_on(context, stages, &mut progress, last_event).await
}

async fn send_on(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<Answered, GivenUp> {
    loop {
        let Some(entry) = wait_for_target(context, progress).await else {
            return Err(given_up(context, "no target may take the request"));
        };
        let is_repeat = progress.sends > 0 || last_event.is_some();
        if is_repeat && !context.shared.try_repeat(&context.service) {
            return Err(given_up(context, "the budget of repeated sends is used up"));
        }
        progress.sends += 1;
        progress.tried.insert(entry.id.clone());
        context.record.targets.push(entry.id.clone());
        let reason = match send_once(context, stages, &entry, last_event).await {
            SendEnd::Answered(answered) => {
                context.runs += 1;
                let retries = !answered.is_success
                    && context.route.is_retryable()
                    && context.runs < context.route.max_attempts
                    && progress.sends < MAX_SENDS
                    && has_other_target(context, progress)
                    && context.shared.has_repeat(&context.service);
                if !retries {
                    return Ok(*answered);
                }
                answered.call.close(TargetOutcome::Failed);
                continue;
            }
            SendEnd::Unsent(reason) => reason,
            SendEnd::NotExecuted { input_lost } => {
                if input_lost {
                    stages.remake()?;
                    stages.complete(context).await?;
                }
                "the target did not run the request".to_owned()
            }
            SendEnd::Broken(reason) => {
                context.runs += 1;
                let may_repeat =
                    context.route.is_retryable() && context.runs < context.route.max_attempts;
                if !may_repeat {
                    return Err(given_up(context, &reason));
                }
                reason
            }
        };
        info!(
            request = context.client.id.as_str(), target_id = entry.id.as_str(), reason = reason.as_str(),
            sends = progress.sends, may_have_run = context.runs,
            remaining_ms = context.remaining_ms().0;
            "a send failed"
        );
        let is_over = context.remaining_ms() == Millis::ZERO || context.shared.is_ending();
        if progress.sends >= MAX_SENDS || is_over {
            return Err(given_up(context, &reason));
        }
    }
}

fn given_up(context: &RequestContext, reason: &str) -> GivenUp {
    let reason = reason.to_owned();
    if context.runs == 0 {
        GivenUp::NotRun { reason }
    } else if context.remaining_ms() == Millis::ZERO {
        GivenUp::OutOfTime { reason }
    } else {
        GivenUp::MayHaveRun { reason }
    }
}

/// Reads the whole body of an answer; a request that may be repeated is sent again if it breaks
/// off.
///
/// # Errors
///
/// Returns why the request is given up.
pub async fn whole(
    context: &mut RequestContext,
    stages: &mut RequestStages,
    answered: Answered,
) -> Result<WholeAnswer, GivenUp> {
    let mut progress = Progress::default();
    let mut answered = answered;
    loop {
        let target = answered.call.target().id.clone();
        let reason = match read_whole(context, answered).await {
            Ok(whole) => return Ok(whole),
            Err(reason) => reason,
        };
        info!(request = context.client.id.as_str(), target_id = target.as_str(), reason = reason.as_str(); "an answer broke off");
        progress.sends += 1;
        progress.tried.insert(target);
        let may_repeat = context.route.kind == RouteKind::Safe
            && context.runs < context.route.max_attempts
            && context.remaining_ms() > Millis::ZERO;
        if !may_repeat {
            return Err(given_up(context, &reason));
        }
        answered = send_on(context, stages, &mut progress, None).await?;
    }
}

async fn read_whole(context: &RequestContext, answered: Answered) -> Result<WholeAnswer, String> {
    let (head, body) = answered.response.into_parts();
    let body = match context.within(body.collect()).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) => {
            answered.call.close(TargetOutcome::Broken);
            return Err(format!("the answer broke off: {error}"));
        }
        None => {
            answered.call.close(TargetOutcome::Broken);
            return Err("the answer was not complete in time".to_owned());
        }
    };
    let outcome = if answered.is_success {
        TargetOutcome::Responded
    } else {
        TargetOutcome::Failed
    };
    answered.call.keep(outcome, &head.headers);
    // These promise that the request has not run, which a target that ran it cannot.
    if answer::promises_not_run(head.status) {
        return Err(format!("the target failed with status {}", head.status));
    }
    Ok(WholeAnswer {
        status: head.status,
        headers: answer::client_headers(&head.headers),
        body,
    })
}

async fn send_once(
    context: &RequestContext,
    stages: &RequestStages,
    entry: &TargetEntry,
    last_event: Option<u64>,
) -> SendEnd {
    let shared = &context.shared;
    let opening = shared.pool.lease(shared.now(), entry);
    let lease = match context.within(opening).await {
        Some(Ok(lease)) => lease,
        Some(Err(error)) => {
            let mut loads = shared.states.borrow_mut();
            loads.record_send(&entry.id);
            loads.record_outcome(shared.now(), &entry.id, TargetOutcome::Broken);
            return SendEnd::Unsent(error.to_string());
        }
        None => return SendEnd::Unsent("no connection in time".to_owned()),
    };
    // The target may have left, and the time may have passed, while the connection was opened.
    let allowed = shared
        .directory
        .borrow()
        .may_send(&entry.id, entry.incarnation);
    if !allowed {
        lease.keep(shared.now(), None);
        return SendEnd::Unsent("the target left before the send".to_owned());
    }
    let remaining_ms = context.remaining_ms();
    let request = context.client.target_head(&TargetSend {
        target: &entry.id,
        organisation: context.organisation.as_deref(),
        remaining_ms,
        inputs: &stages.results(),
        last_event,
    });
    let request = request.and_then(|builder| builder.body(Full::new(context.body.clone())));
    let request = match request {
        Ok(request) => request,
        Err(error) => return SendEnd::Unsent(format!("the request cannot be encoded: {error}")),
    };
    shared
        .cold_sends
        .borrow_mut()
        .record_send(shared.now(), &entry.id);
    let mut call = TargetCall::new(shared, entry.clone(), lease);
    let attempt_ms = attempt_ms(context);
    let sending = async {
        match call.lease.connection() {
            Ok(connection) => connection.send(request).await,
            Err(error) => Err(error),
        }
    };
    let sending = timeout(attempt_ms.to_duration(), sending);
    let response = match context.within(sending).await {
        Some(Ok(Ok(response))) => response,
        Some(Ok(Err(error))) if error.is_unsent() => {
            call.close(TargetOutcome::Abandoned);
            return SendEnd::Unsent(error.to_string());
        }
        Some(Ok(Err(error))) => {
            call.close(TargetOutcome::Broken);
            record_crash(context, entry, &error);
            return SendEnd::Broken(error.to_string());
        }
        Some(Err(_)) | None => {
            call.close(TargetOutcome::Broken);
            return SendEnd::Broken(format!("no answer within {attempt_ms}"));
        }
    };
    head_of(context, call, response)
}

/// Decides what the head of an answer means.
fn head_of(context: &RequestContext, call: TargetCall, response: Response<Incoming>) -> SendEnd {
    let headers = response.headers();
    let meaning = answer::meaning(response.status(), headers, &context.client.id);
    if meaning != AnswerMeaning::Foreign
        && let Some(load) = answer::load(headers)
    {
        let shared = &context.shared;
        shared.states.borrow_mut().record_load_report(
            shared.now(),
            &call.target().id,
            load.running,
            load.waiting,
        );
    }
    match meaning {
        AnswerMeaning::Success | AnswerMeaning::Failure => {
            if meaning == AnswerMeaning::Success {
                let shared = &context.shared;
                let mut crashing = shared.crashing.borrow_mut();
                crashing.record_response(shared.now(), context.fingerprint);
            }
            SendEnd::Answered(Box::new(Answered {
                call,
                response,
                is_success: meaning == AnswerMeaning::Success,
            }))
        }
        AnswerMeaning::NotExecuted {
            misdirected,
            input_lost,
        } => {
            let outcome = if misdirected {
                TargetOutcome::Broken
            } else {
                TargetOutcome::Full
            };
            // The short body of a refusal is not worth a wait; the connection is closed with it.
            call.close(outcome);
            SendEnd::NotExecuted { input_lost }
        }
        AnswerMeaning::Foreign => {
            call.close(TargetOutcome::Broken);
            SendEnd::Broken("the answer belongs to another request or is none".to_owned())
        }
    }
}

/// Returns how long a target may take for the head of its answer.
fn attempt_ms(context: &RequestContext) -> Millis {
    let remaining_ms = context.remaining_ms();
    let is_last = !context.route.is_retryable() || context.route.max_attempts < 2;
    if is_last {
        return remaining_ms;
    }
    let patient_ms = context.route.objective_ms.times(ATTEMPT_OBJECTIVES);
    patient_ms.max(MIN_ATTEMPT_MS).min(remaining_ms)
}

/// Tells all instances of a request after which a target broke the connection.
fn record_crash(context: &RequestContext, entry: &TargetEntry, error: &CallError) {
    let shared = &context.shared;
    let recorded =
        shared
            .crashing
            .borrow_mut()
            .record_crash(shared.now(), context.fingerprint, &entry.id);
    info!(
        request = context.client.id.as_str(), target_id = entry.id.as_str(), error:%,
        fingerprint:? = context.fingerprint;
        "a target broke off without an answer"
    );
    if let Some(recorded) = recorded {
        background::share_crash(shared, recorded);
    }
}

fn has_other_target(context: &RequestContext, progress: &Progress) -> bool {
    let directory = context.shared.directory.borrow();
    directory
        .usable(&context.service)
        .any(|known| !progress.tried.contains(&known.entry.id))
}

/// Returns the chosen target, after a wait where none may take the request at once.
async fn wait_for_target(context: &RequestContext, progress: &Progress) -> Option<TargetEntry> {
    let shared = &context.shared;
    let service = shared.service(&context.service)?;
    let patience_ms = context.route.objective_ms.0 * WAIT_FOR_TARGET_PERCENT / 100;
    let until = shared.now() + Millis(patience_ms).min(context.remaining_ms());
    loop {
        if let Some(entry) = choose(context, progress, &service) {
            return Some(entry);
        }
        if shared.now() >= until || shared.is_ending() {
            return None;
        }
        sleep(LOOK_AGAIN_MS).await;
    }
}

/// Returns the failure domain of the target that would be chosen now, where the results of the
/// stages are wanted.
#[must_use]
pub fn expected_domain(context: &RequestContext) -> String {
    let chosen = context
        .shared
        .service(&context.service)
        .and_then(|service| choose(context, &Progress::default(), &service));
    chosen.map_or_else(
        || context.shared.settings.failure_domain.clone(),
        |entry| entry.failure_domain,
    )
}

fn choose(
    context: &RequestContext,
    progress: &Progress,
    service: &ServiceSpec,
) -> Option<TargetEntry> {
    let shared = &context.shared;
    let now = shared.now();
    let share = service.max_connections as usize * CONNECTION_PERCENT / 100;
    let connections = (share / shared.instance_count()).max(1);
    let directory = shared.directory.borrow();
    let candidates: Vec<&TargetEntry> = directory
        .usable(&context.service)
        .filter(|known| !progress.tried.contains(&known.entry.id))
        .filter(|known| {
            !directory.is_cold(now, known, service.cold_duration_ms)
                || shared.may_send_cold(service, &known.entry.id)
        })
        .map(|known| &known.entry)
        .filter(|entry| {
            shared.pool.has_idle(&entry.id) || shared.pool.open(&entry.id) < connections
        })
        .collect();
    let wish = SelectionCriteria {
        local_domain: &shared.settings.failure_domain,
        shared_prefix: context.client.shared_prefix(),
        random: rand::rng().random(),
    };
    let states = shared.states.borrow();
    let chosen = states.select(now, &candidates, &wish)?;
    Some(candidates[chosen].clone())
}
