//! Request handling, from the request head to the start of the response.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use log::info;
use rand::RngExt;
use tokio::time::timeout;

use crate::body;
use crate::body::BodyError;
use crate::client_limits::LimitReason;
use crate::client_memory::ChargedBody;
use crate::crashes;
use crate::crashes::TrialGuard;
use crate::dispatch;
use crate::dispatch::DispatchError;
use crate::dispatch::SendKind;
use crate::frontend::InProgressGuard;
use crate::metrics::OutcomeLabels;
use crate::metrics::RequestLabels;
use crate::response::ClientBody;
use crate::response::LocalReply;
use crate::response::build_response;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::stages::RequestStages;
use crate::stream;
use arbutus_coord::Millis;
use arbutus_platform::request::ClientRequest;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::serving::admission::Admission;
use arbutus_policy::serving::crash_quarantine;
use arbutus_policy::serving::model::Route;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::routes;
use arbutus_policy::serving::routes::Access;

/// Time reserved before the client's deadline for the final response to reach the client. That
/// takes milliseconds, and a client whose deadline passes first gets no response at all.
const RESPONSE_MARGIN_MS: Millis = Millis(15);
/// Deadline of requests whose client sends none.
const DEFAULT_DEADLINE_MS: Millis = Millis(30_000);
/// Retry delay sent to clients while the instance has no configuration yet.
const STARTING_RETRY_AFTER_MS: Millis = Millis(300);
/// How long after SIGTERM the instance accepts streams and other requests that may last until it
/// exits. The load balancer moves clients to other instances within 3 s.
const ACCEPT_LONG_REQUESTS_MS: Millis = Millis(2_800);
/// Retry delay for clients whose request is refused during shutdown.
const SHUTDOWN_RETRY_AFTER_MS: Millis = Millis(100);
/// Maximum number of prompt parts of a request that can be suspected of a crash; the last ones, which
/// the fewest requests share.
const MAX_PROMPT_PARTS: usize = 32;
/// Retry delay for clients whose request found no available target.
const BUSY_RETRY_AFTER_MS: Millis = Millis(250);
/// Outcome of a request that is dropped without another outcome while the process runs.
const CLIENT_LEFT: &str = "client_left";
/// Outcome of a request that was in progress when the process exited.
const CUT_OFF: &str = "shutdown";
const CUT_OFF_REASON: &str = "the process exited before the request ended";

/// A request whose route and organisation are known.
#[derive(Debug)]
pub struct RequestContext {
    /// The state of this instance.
    pub shared: Rc<Shared>,
    /// The parsed request of the client.
    pub client: ClientRequest,
    /// The route that matches the request.
    pub route: Route,
    /// The service whose targets execute the request.
    pub service: String,
    /// The name of the client's organisation, or `None` if the request has none.
    pub organisation: Option<String>,
    /// The priority of the organisation, or of the route if it has none; 0 is the most urgent.
    pub priority: u32,
    /// The complete request body.
    pub body: ChargedBody,
    /// When the request head arrived.
    pub arrived_at: Millis,
    /// When the request is abandoned.
    pub deadline: Millis,
    /// Number of attempts that a target may have executed, including those that resumed a stream.
    pub possible_executions: u32,
    /// Hash of the request's content, which identifies requests that crash targets.
    pub fingerprint: Fingerprint,
    /// Set while the request is tried although it is quarantined.
    pub trial: Option<TrialGuard>,
    /// Hashes of the prompt parts that other requests may share.
    pub prompt_parts: BTreeSet<PartHash>,
    /// Labels of the request's metrics.
    pub labels: RequestLabels,
    /// The data of the request's log line.
    pub record: RequestRecord,
}

impl RequestContext {
    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining_ms(&self) -> Millis {
        self.deadline - self.shared.now()
    }

    /// Records whether a target may have executed the request in its trial, if it has one.
    pub fn set_may_have_executed(&self, may_have_executed: bool) {
        if let Some(trial) = &self.trial {
            trial.set_may_have_executed(may_have_executed);
        }
    }

    /// Waits for a future. Returns `None` if the deadline passes first or the instance has to
    /// finish its requests because of a shutdown.
    pub async fn before_deadline<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = timeout(self.remaining_ms().to_duration(), future) => result.ok(),
            () = self.shared.wait_for_shutdown_deadline() => None,
        }
    }

    /// Returns the identifiers of the prompt parts that other requests may share, for the log.
    #[must_use]
    pub fn shared_part_ids(&self) -> String {
        let parts = self.client.shared_parts().iter();
        let ids: Vec<&str> = parts.map(|part| part.id.as_str()).collect();
        ids.join(",")
    }

    /// Returns the number of tokens of the prompt, or 0 if the request has none.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        let counts = self.client.token_counts;
        counts.map_or(0, |(prompt_tokens, _)| prompt_tokens)
    }

    /// Returns when a response, or the first event of a stream, misses the latency objective.
    #[must_use]
    pub fn objective_deadline(&self) -> Millis {
        self.arrived_at + self.route.objective_ms
    }
}

/// Records metrics and writes one log line when dropped, however the request ended.
#[derive(Debug)]
pub struct RequestRecord {
    shared: Rc<Shared>,
    labels: RequestLabels,
    id: String,
    route: String,
    configuration_version: u64,
    arrived_at: Millis,
    /// How the request ended; `client_left` until another outcome is set. The exit of the process
    /// changes `client_left` to `shutdown`.
    pub outcome: &'static str,
    /// The status sent to the client; 0 if there is none yet.
    pub status: u16,
    /// Why the request failed; empty if it did not.
    pub reason: String,
    /// The targets of all attempts, in order.
    pub targets: Vec<String>,
    /// Time from arrival to the end of the stages, if there were any.
    pub stages_ms: Option<Millis>,
    /// Time from arrival to the first event of a stream.
    pub first_event_ms: Option<Millis>,
    /// Number of events forwarded to the client.
    pub events: u64,
}

impl RequestRecord {
    /// Creates the record of a request without an outcome; `arrived_at` is when its head arrived.
    #[must_use]
    pub fn new(
        shared: Rc<Shared>,
        labels: RequestLabels,
        id: String,
        route: String,
        configuration_version: u64,
        arrived_at: Millis,
    ) -> Self {
        Self {
            shared,
            labels,
            id,
            route,
            configuration_version,
            arrived_at,
            outcome: CLIENT_LEFT,
            status: 0,
            reason: String::new(),
            targets: Vec::new(),
            stages_ms: None,
            first_event_ms: None,
            events: 0,
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.outcome == CLIENT_LEFT && self.shared.is_exiting() {
            self.outcome = CUT_OFF;
            CUT_OFF_REASON.clone_into(&mut self.reason);
        }
        let took_ms = self.shared.now() - self.arrived_at;
        let outcome = OutcomeLabels {
            organisation: self.labels.organisation.clone(),
            class: self.labels.class.clone(),
            outcome: self.outcome,
        };
        let metrics = &self.shared.metrics;
        metrics.requests.get_or_create(&outcome).inc();
        if self.outcome == "answered" {
            metrics.record_response(&self.labels, took_ms);
            let mut durations = self.shared.request_durations.borrow_mut();
            durations.record(&self.route, took_ms);
        }
        if let Some(first_event_ms) = self.first_event_ms {
            metrics.record_first_event(&self.labels, first_event_ms);
        }
        if let Some(stages_ms) = self.stages_ms {
            metrics.record_stages(&self.labels, stages_ms);
        }
        info!(
            request = self.id.as_str(),
            class = self.labels.class.as_str(),
            organisation = self.labels.organisation.as_str(),
            route = self.route.as_str(),
            configuration = self.configuration_version,
            status = self.status,
            outcome = self.outcome,
            reason = self.reason.as_str(),
            targets = self.targets.join(","),
            stages_ms = self.stages_ms.map_or(0, |ms| ms.0),
            first_ms = self.first_event_ms.map_or(0, |ms| ms.0),
            events = self.events,
            took_ms = took_ms.0;
            "request ended"
        );
    }
}

/// Logs the end of a request that the exit of the process cuts off before its body is complete; it
/// has no [`RequestRecord`] yet.
struct BodyReadGuard<'a> {
    shared: &'a Shared,
    id: &'a str,
    route: &'a str,
    arrived_at: Millis,
}

impl Drop for BodyReadGuard<'_> {
    fn drop(&mut self) {
        if self.shared.is_exiting() {
            info!(
                request = self.id, route = self.route, status = 0, outcome = CUT_OFF,
                reason = CUT_OFF_REASON, targets = "",
                took_ms = (self.shared.now() - self.arrived_at).0;
                "request ended"
            );
        }
    }
}

/// Logs and counts a request that arrived after SIGTERM: its identifier is in the log even if the
/// process is killed.
fn record_arrival_during_shutdown(shared: &Shared, id: &str, guard: &InProgressGuard) {
    if let Some(since_sigterm_ms) = shared.shutdown_elapsed_ms() {
        shared.metrics.accepted_during_shutdown.inc();
        info!(
            request = id, since_sigterm_ms = since_sigterm_ms.0,
            in_progress = shared.in_progress.get(),
            first_of_connection = guard.is_first_of_connection();
            "request accepted during shutdown"
        );
    }
}

/// Handles a request and returns the response for the client.
///
/// # Errors
///
/// Returns no error at present; an error would abort the client's connection.
pub async fn handle(
    shared: &Rc<Shared>,
    stage_client: &Rc<StageClient>,
    request: Request<Incoming>,
    guard: InProgressGuard,
) -> Result<Response<ClientBody>, io::Error> {
    let arrived_at = shared.now();
    let (head, mut body) = request.into_parts();
    let client = match ClientRequest::new(head.method, head.uri, &head.headers) {
        Ok(client) => client,
        Err(error) => {
            info!(reason:% = error; "malformed request rejected");
            discard_body(shared, &mut body, &guard).await;
            return Ok(LocalReply::bad_request(&error, guard));
        }
    };
    record_arrival_during_shutdown(shared, &client.id, &guard);
    let reject = |reply: LocalReply, retry_after_ms: Option<Millis>, guard: InProgressGuard| {
        info!(
            request = client.id.as_str(), status = reply.status().as_u16(),
            outcome = <&str>::from(reply);
            "request rejected before dispatch"
        );
        Ok(reply.response(Some(&client.id), retry_after_ms, guard))
    };
    let reject_unread = async |reply: LocalReply, mut body: Incoming, guard: InProgressGuard| {
        discard_body(shared, &mut body, &guard).await;
        reject(reply, None, guard)
    };
    let Some(route_table) = shared.route_table() else {
        discard_body(shared, &mut body, &guard).await;
        return reject(LocalReply::Refused, Some(STARTING_RETRY_AFTER_MS), guard);
    };
    let (route, organisation) =
        match route_table.check_access(&client.host, client.path(), client.api_key.as_deref()) {
            Access::Allowed {
                route,
                organisation,
            } => (route.clone(), organisation.cloned()),
            Access::UnknownRoute => {
                return reject_unread(LocalReply::UnknownRoute, body, guard).await;
            }
            Access::UnknownKey => return reject_unread(LocalReply::UnknownKey, body, guard).await,
        };
    let deadline = deadline(&client, &route, arrived_at);
    let body_read_guard = BodyReadGuard {
        shared,
        id: &client.id,
        route: &route.name,
        arrived_at,
    };
    let received = receive_body(shared, &mut body, deadline, &guard).await;
    drop(body_read_guard);
    let body = match received {
        Ok(body) => body,
        Err((reply, retry_after_ms)) => return reject(reply, retry_after_ms, guard),
    };
    let priority = organisation
        .as_ref()
        .and_then(|organisation| organisation.priority)
        .unwrap_or(route.priority);
    let organisation = organisation.map(|organisation| organisation.name);
    let labels = request_labels(organisation.as_deref(), &route);
    if !is_accepted_during_shutdown(shared, &route, deadline) {
        return reject(LocalReply::Refused, Some(SHUTDOWN_RETRY_AFTER_MS), guard);
    }
    let Some(service) = routes::select_service(&route, rand::rng().random()) else {
        return reject(LocalReply::Refused, None, guard);
    };
    let service = service.to_owned();
    let fingerprint = crash_quarantine::fingerprint(
        client.path_and_query(),
        organisation.as_deref().unwrap_or_default(),
        body.bytes(),
    );
    let prompt_parts = hash_shared_parts(&client, &service);
    let record = RequestRecord::new(
        Rc::clone(shared),
        labels.clone(),
        client.id.clone(),
        route.name.clone(),
        route_table.configuration().version,
        arrived_at,
    );
    let context = RequestContext {
        shared: Rc::clone(shared),
        client,
        route,
        service,
        organisation,
        priority,
        body,
        arrived_at,
        deadline,
        possible_executions: 0,
        fingerprint,
        trial: None,
        prompt_parts,
        labels,
        record,
    };
    process(context, stage_client, guard).await
}

fn request_labels(organisation: Option<&str>, route: &Route) -> RequestLabels {
    RequestLabels {
        organisation: organisation.unwrap_or("-").to_owned(),
        class: format!("{}-{}", route.kind, route.priority),
    }
}

/// Receives the body of a request, or returns the reply to the client and its retry delay if that is
/// not possible.
async fn receive_body(
    shared: &Shared,
    body: &mut Incoming,
    deadline: Millis,
    guard: &InProgressGuard,
) -> Result<ChargedBody, (LocalReply, Option<Millis>)> {
    let receiving_guard = guard.begin_body();
    let max_bytes = shared.client_limits().max_body_bytes;
    let receiving = shared.client_memory.read(shared, body, max_bytes);
    let received = timeout((deadline - shared.now()).to_duration(), receiving).await;
    drop(receiving_guard);
    match received {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => {
            shared.record_limit(LimitReason::LargeBody);
            discard_body(shared, body, guard).await;
            Err((LocalReply::TooLarge, None))
        }
        Ok(Err(BodyError::Stalled)) => {
            shared.record_limit(LimitReason::StalledBody);
            Err((LocalReply::Refused, Some(BUSY_RETRY_AFTER_MS)))
        }
        Ok(Err(_incomplete)) => Err((LocalReply::BadRequest, None)),
        Err(_elapsed) => Err((LocalReply::SlowBody, None)),
    }
}

/// Returns when a request is abandoned.
fn deadline(client: &ClientRequest, route: &Route, arrived_at: Millis) -> Millis {
    let client_timeout_ms = client.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    arrived_at + (client_timeout_ms - RESPONSE_MARGIN_MS).min(route.timeout_ms)
}

/// Reads the body of a request that is rejected, and drops it as it arrives, as long as it stays
/// within the limits. The connection would otherwise be closed before the body has arrived, and the
/// kernel would reset it, by which the client can lose the response.
async fn discard_body(shared: &Shared, body: &mut Incoming, guard: &InProgressGuard) {
    let _receiving_guard = guard.begin_body();
    let limits = shared.client_limits();
    let reading = body::discard_up_to(body, limits.max_body_bytes);
    // If the body is too large or late, the connection is closed after the response.
    let _result = timeout(limits.header_timeout_ms.to_duration(), reading).await;
}

/// Returns whether a request is accepted in the current phase. During a shutdown that is a request
/// whose deadline lies before the exit of the process, or that arrives while the load balancer still
/// sends clients here and is expected to end before the exit.
fn is_accepted_during_shutdown(shared: &Shared, route: &Route, deadline: Millis) -> bool {
    let Some(shutdown_elapsed_ms) = shared.shutdown_elapsed_ms() else {
        return true;
    };
    let forecast_ms = shared.request_durations.borrow().forecast(&route.name);
    let expected_end = shared.now() + forecast_ms.unwrap_or_default();
    let is_expected_in_time =
        shutdown_elapsed_ms < ACCEPT_LONG_REQUESTS_MS && shared.can_complete_by(expected_end);
    is_expected_in_time || (route.kind != RouteKind::Stream && shared.can_complete_by(deadline))
}

/// Admits a request, computes its stage results and sends it to a target.
async fn process(
    mut context: RequestContext,
    stage_client: &Rc<StageClient>,
    guard: InProgressGuard,
) -> Result<Response<ClientBody>, io::Error> {
    let shared = Rc::clone(&context.shared);
    if let Some(reason) = crashes::quarantine_reason(&context) {
        context.record.reason = reason;
        return Ok(local_response(context, LocalReply::Refused, None, guard));
    }
    shared.record_request(&context.service);
    let mut request_stages = RequestStages::new(&context, stage_client);
    if let Admission::Refuse { retry_after_ms } = request_stages.decide_admission(&context) {
        context.record.reason = format!("the stages are overloaded; retry after {retry_after_ms}");
        return Ok(local_response(
            context,
            LocalReply::Refused,
            Some(retry_after_ms),
            guard,
        ));
    }
    if let Err(error) = request_stages.compute_missing(&context).await {
        return Ok(error_response(context, error, guard));
    }
    if !context.route.stages.is_empty() {
        context.record.stages_ms = Some(shared.now() - context.arrived_at);
    }
    let target_response =
        match dispatch::send(&mut context, &mut request_stages, SendKind::Initial).await {
            Ok(target_response) => target_response,
            Err(error) => return Ok(error_response(context, error, guard)),
        };
    if context.route.kind == RouteKind::Stream && target_response.is_success {
        return Ok(stream::respond(
            context,
            request_stages,
            target_response,
            guard,
        ));
    }
    match dispatch::read_response(&mut context, &mut request_stages, target_response).await {
        Ok(complete) => {
            context.record.outcome = "answered";
            context.record.status = complete.status.as_u16();
            let body = ClientBody::complete(complete.body, guard);
            Ok(build_response(complete.status, complete.headers, body))
        }
        Err(error) => Ok(error_response(context, error, guard)),
    }
}

/// Builds the response to a request that failed during dispatch.
fn error_response(
    mut context: RequestContext,
    error: DispatchError,
    guard: InProgressGuard,
) -> Response<ClientBody> {
    let (reply, retry_after_ms) = match error {
        DispatchError::NotExecuted {
            reason,
            retry_after_ms,
        } if context.possible_executions == 0 => {
            context.record.reason = reason;
            let retry_after_ms = retry_after_ms.unwrap_or(BUSY_RETRY_AFTER_MS);
            (LocalReply::Refused, Some(retry_after_ms))
        }
        DispatchError::Quarantined { reason } => {
            context.record.reason = reason;
            (LocalReply::Refused, None)
        }
        // The last attempt was not executed, but an earlier one may have been.
        DispatchError::NotExecuted { reason, .. } | DispatchError::MaybeExecuted { reason } => {
            context.record.reason = reason;
            (LocalReply::Lost, None)
        }
        DispatchError::DeadlineExceeded { reason } => {
            context.record.reason = reason;
            (LocalReply::TimedOut, None)
        }
    };
    local_response(context, reply, retry_after_ms, guard)
}

/// Records a local reply as the outcome of a request and builds the response.
fn local_response(
    mut context: RequestContext,
    reply: LocalReply,
    retry_after_ms: Option<Millis>,
    guard: InProgressGuard,
) -> Response<ClientBody> {
    context.record.outcome = reply.into();
    context.record.status = reply.status().as_u16();
    reply.response(Some(&context.client.id), retry_after_ms, guard)
}

fn hash_shared_parts(client: &ClientRequest, service: &str) -> BTreeSet<PartHash> {
    let last_parts = client.shared_parts().iter().rev().take(MAX_PROMPT_PARTS);
    last_parts
        .map(|part| PartHash::new(service, &part.id))
        .collect()
}
