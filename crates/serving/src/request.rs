//! A request from its head to its answer.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use rand::RngExt;
use tokio::time::timeout;

use crate::answer::ClientBody;
use crate::answer::OwnAnswer;
use crate::answer::respond;
use crate::dispatch;
use crate::dispatch::GivenUp;
use crate::frontend::ServedGuard;
use crate::metrics::OutcomeLabels;
use crate::metrics::RequestLabels;
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
use arbutus_policy::serving::routes;
use arbutus_policy::serving::routes::Access;

/// The final answer leaves this long before the client stops waiting: the way back takes
/// milliseconds, and a client that stops waiting first gets no answer at all.
const ANSWER_MARGIN_MS: Millis = Millis(15);
/// How long a client waits that does not say so.
const DEFAULT_DEADLINE_MS: Millis = Millis(30_000);
/// When a client may come again that was refused before the instance knew any configuration.
const STARTING_RETRY_MS: Millis = Millis(300);
/// How long after SIGTERM streams are still begun. Clients are moved to other instances within
/// three seconds.
const LAST_STREAM_MS: Millis = Millis(2_800);
/// When a client may come again that was refused by an instance that stops.
const LEAVING_RETRY_MS: Millis = Millis(100);
/// When a client may come again whose request found no free target.
const BUSY_RETRY_MS: Millis = Millis(250);

/// What is known of a request once its route is.
#[derive(Debug)]
pub struct RequestContext {
    /// What all parts share.
    pub shared: Rc<Shared>,
    /// The request.
    pub client: ClientRequest,
    /// The route.
    pub route: Route,
    /// The service that runs the request.
    pub service: String,
    /// The organisation of the client.
    pub organisation: Option<String>,
    /// The rank; 0 is the most urgent.
    pub rank: u32,
    /// The whole body.
    pub body: Bytes,
    /// When the head arrived.
    pub arrived: Millis,
    /// When the request is given up.
    pub give_up: Millis,
    /// The targets that may have run the request, resumed streams included.
    pub runs: u32,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// The labels of its metrics.
    pub labels: RequestLabels,
    /// What is logged of it.
    pub record: RequestRecord,
}

impl RequestContext {
    /// Returns how long the request still has.
    #[must_use]
    pub fn remaining_ms(&self) -> Millis {
        self.give_up - self.shared.now()
    }

    /// Waits for something until the request is given up or the process ends.
    pub async fn within<T>(&self, waiting: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = timeout(self.remaining_ms().to_duration(), waiting) => result.ok(),
            () = self.shared.ending() => None,
        }
    }

    /// Returns when an answer, or the first event of a stream, is on time.
    #[must_use]
    pub fn on_time_until(&self) -> Millis {
        self.arrived + self.route.objective_ms
    }
}

/// Logs one line for a request when it ends, however it ends.
#[derive(Debug)]
pub struct RequestRecord {
    shared: Rc<Shared>,
    labels: RequestLabels,
    id: String,
    route: String,
    version: u64,
    arrived: Millis,
    /// How it ended; a client that leaves ends a request without an outcome.
    pub outcome: &'static str,
    /// The status that the client got.
    pub status: u16,
    /// Why it ended so.
    pub reason: String,
    /// The targets it was sent to.
    pub targets: Vec<String>,
    /// How long the stages took.
    pub stages_ms: Option<Millis>,
    /// How long the head of the answer or the first event took.
    pub first_ms: Option<Millis>,
    /// The events that were passed on.
    pub events: u64,
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let took_ms = self.shared.now() - self.arrived;
        let outcome = OutcomeLabels {
            organisation: self.labels.organisation.clone(),
            class: self.labels.class.clone(),
            outcome: self.outcome,
        };
        let metrics = &self.shared.metrics;
        metrics.requests.get_or_create(&outcome).inc();
        if self.outcome == "answered" {
            metrics.record_response(&self.labels, took_ms);
        }
        if let Some(first_ms) = self.first_ms {
            metrics.record_first(&self.labels, first_ms);
        }
        if let Some(stages_ms) = self.stages_ms {
            metrics.record_stages(&self.labels, stages_ms);
        }
        info!(
            request = self.id.as_str(),
            class = self.labels.class.as_str(),
            organisation = self.labels.organisation.as_str(),
            route = self.route.as_str(),
            configuration = self.version,
            status = self.status,
            outcome = self.outcome,
            reason = self.reason.as_str(),
            targets = self.targets.join(","),
            stages_ms = self.stages_ms.map_or(0, |ms| ms.0),
            first_ms = self.first_ms.map_or(0, |ms| ms.0),
            events = self.events,
            took_ms = took_ms.0;
            "request ended"
        );
    }
}

/// Answers a request.
///
/// # Errors
///
/// Returns an error to break the connection off.
pub async fn handle(
    shared: &Rc<Shared>,
    stages: &Rc<StageClient>,
    request: Request<Incoming>,
    served: ServedGuard,
) -> Result<Response<ClientBody>, io::Error> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let client = match ClientRequest::new(head.method, head.uri, &head.headers) {
        Ok(client) => client,
        Err(fault) => {
            info!(reason:% = fault; "a request was rejected");
            return Ok(OwnAnswer::BadRequest.response(None, None, served));
        }
    };
    let early = |answer: OwnAnswer, retry_after_ms: Option<Millis>, served: ServedGuard| {
        info!(
            request = client.id.as_str(), status = answer.status().as_u16(),
            outcome = <&str>::from(answer);
            "request ended before it had a route"
        );
        Ok(answer.response(Some(&client.id), retry_after_ms, served))
    };
    let Some(table) = shared.table() else {
        return early(OwnAnswer::Refused, Some(STARTING_RETRY_MS), served);
    };
    let (route, organisation) =
        match table.check_access(&client.host, client.path(), client.key.as_deref()) {
            Access::Allowed {
                route,
                organisation,
            } => (route.clone(), organisation.cloned()),
            Access::UnknownRoute => return early(OwnAnswer::UnknownRoute, None, served),
            Access::UnknownKey => return early(OwnAnswer::UnknownKey, None, served),
        };
    let waits_ms = client.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let give_up = arrived + (waits_ms - ANSWER_MARGIN_MS).min(route.timeout_ms);
    let limits = table.configuration().client_limits;
    let reading = read_body(body, limits.max_body_bytes);
    let body = match timeout((give_up - shared.now()).to_duration(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyFault::TooLarge)) => return early(OwnAnswer::TooLarge, None, served),
        Ok(Err(BodyFault::Broken)) => return early(OwnAnswer::BadRequest, None, served),
        Err(_elapsed) => return early(OwnAnswer::SlowBody, None, served),
    };
    let rank = organisation
        .as_ref()
        .and_then(|organisation| organisation.priority)
        .unwrap_or(route.priority);
    let organisation = organisation.map(|organisation| organisation.name);
    let labels = RequestLabels {
        organisation: organisation.clone().unwrap_or_else(|| "-".to_owned()),
        class: format!("{}-{}", route.kind, route.priority),
    };
    if let Some(leaving_ms) = shared.leaving_ms()
        && (route.kind == RouteKind::Stream || route.timeout_ms > shared.settings.shutdown_grace_ms)
        && leaving_ms >= LAST_STREAM_MS
    {
        // A stream that begins now might not end before the process does.
        return early(OwnAnswer::Refused, Some(LEAVING_RETRY_MS), served);
    }
    let Some(service) = routes::select_service(&route, rand::rng().random()) else {
        return early(OwnAnswer::Refused, None, served);
    };
    let service = service.to_owned();
    let fingerprint = crash_quarantine::fingerprint(
        client.path_and_query(),
        organisation.as_deref().unwrap_or_default(),
        &body,
    );
    let record = RequestRecord {
        shared: Rc::clone(shared),
        labels: labels.clone(),
        id: client.id.clone(),
        route: route.name.clone(),
        version: table.configuration().version,
        arrived,
        outcome: "client_left",
        status: 0,
        reason: String::new(),
        targets: Vec::new(),
        stages_ms: None,
        first_ms: None,
        events: 0,
    };
    let context = RequestContext {
        shared: Rc::clone(shared),
        client,
        route,
        service,
        organisation,
        rank,
        body,
        arrived,
        give_up,
        runs: 0,
        fingerprint,
        labels,
        record,
    };
    serve(context, stages, served).await
}

async fn serve(
    mut context: RequestContext,
    stages: &Rc<StageClient>,
    served: ServedGuard,
) -> Result<Response<ClientBody>, io::Error> {
    let shared = Rc::clone(&context.shared);
    let now = shared.now();
    let quarantined = shared.crashing.borrow().remaining(now, context.fingerprint);
    if let Some(remaining) = quarantined {
        context.record.reason = format!("crashes targets, quarantined for {remaining}");
        return Ok(own_answer(context, OwnAnswer::Refused, None, served));
    }
    shared.record_request(&context.service);
    let mut work = RequestStages::new(&context, stages);
    if let Admission::Refuse { retry_after_ms } = work.admit(&context) {
        context.record.reason = format!("the stages would be late, back in {retry_after_ms}");
        return Ok(own_answer(
            context,
            OwnAnswer::Refused,
            Some(retry_after_ms),
            served,
        ));
    }
    if let Err(given_up) = work.complete(&context).await {
        return Ok(given_up_answer(context, given_up, served));
    }
    if !context.route.stages.is_empty() {
        context.record.stages_ms = Some(shared.now() - context.arrived);
    }
    let answered = match dispatch::send(&mut context, &mut work, None).await {
        Ok(answered) => answered,
        Err(given_up) => return Ok(given_up_answer(context, given_up, served)),
    };
    if context.route.kind == RouteKind::Stream && answered.is_success {
        return Ok(stream::answer(context, work, answered, served));
    }
    match dispatch::whole(&mut context, &mut work, answered).await {
        Ok(whole) => {
            context.record.outcome = "answered";
            context.record.status = whole.status.as_u16();
            let body = ClientBody::whole(whole.body, served);
            Ok(respond(whole.status, whole.headers, body))
        }
        Err(given_up) => Ok(given_up_answer(context, given_up, served)),
    }
}

/// Answers a request that was given up.
fn given_up_answer(
    mut context: RequestContext,
    given_up: GivenUp,
    served: ServedGuard,
) -> Response<ClientBody> {
    let (answer, retry_after_ms) = match given_up {
        GivenUp::NotRun { reason } if context.runs == 0 => {
            context.record.reason = reason;
            (OwnAnswer::Refused, Some(BUSY_RETRY_MS))
        }
        // What was given up last was not run, but an earlier send may have been.
        GivenUp::NotRun { reason } | GivenUp::MayHaveRun { reason } => {
            context.record.reason = reason;
            (OwnAnswer::Lost, None)
        }
        GivenUp::OutOfTime { reason } => {
            context.record.reason = reason;
            (OwnAnswer::TimedOut, None)
        }
    };
    own_answer(context, answer, retry_after_ms, served)
}

fn own_answer(
    mut context: RequestContext,
    answer: OwnAnswer,
    retry_after_ms: Option<Millis>,
    served: ServedGuard,
) -> Response<ClientBody> {
    context.record.outcome = answer.into();
    context.record.status = answer.status().as_u16();
    answer.response(Some(&context.client.id), retry_after_ms, served)
}

enum BodyFault {
    TooLarge,
    Broken,
}

async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyFault> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| BodyFault::Broken)?;
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > max_bytes {
                return Err(BodyFault::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}
