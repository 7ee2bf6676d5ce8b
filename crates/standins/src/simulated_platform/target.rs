//! Targets of the simulated platform: plain responses, event streams and stage calls, with injected
//! faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::sleep;

pub use crate::simulated_platform::fault::Fault;
use crate::simulated_platform::target_body::EVENT_DELAY;
use crate::simulated_platform::target_body::ResponseCompletion;
use crate::simulated_platform::target_body::TargetBody;
use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_platform::stage;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::model::TargetEntry;

/// Number of events of a complete stream.
pub const EVENT_COUNT: u64 = 6;
/// Identifier of the first event of a stream; the protocol prescribes none.
const FIRST_EVENT_ID: u64 = 1;
const STAGE_CALL_DURATION: Duration = Duration::from_millis(150);

/// A request that a target has executed.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// When the execution started.
    pub started_at: Instant,
    /// Identifier of the request, empty if it has none.
    pub request_id: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the complete response was written to the connection.
    pub completed_at: Option<Instant>,
}

/// Requests that crash each target that executes them.
#[derive(Clone, Debug)]
pub struct DeadlyRequest {
    /// The body of the requests.
    pub body: &'static str,
    /// Number of events of a stream before the crash. Other responses do not begin.
    pub events_before_crash: u64,
}

#[derive(Debug, Default)]
struct State {
    executed: Vec<ExecutedRequest>,
    faults: VecDeque<Fault>,
    /// Delay of every response, except to stage calls.
    response_delay: Duration,
    /// Delay before each event of a stream, if not [`EVENT_DELAY`].
    event_delay: Option<Duration>,
    /// Identifier of the first event of a stream, if not [`FIRST_EVENT_ID`].
    first_event_id: Option<u64>,
    /// Whether streams consist of single bytes of an event that does not end.
    drips: bool,
    /// Minimum size of a response body that is not a stream.
    min_body_bytes: usize,
    /// Requests per second that the target names in its responses as its limit.
    request_limit_per_s: Option<f64>,
    /// Headers that every response has.
    added_headers: HeaderMap,
    /// Value of the Retry-After header with which the target rejects every request.
    rejects_with_retry_after: Option<String>,
    /// When each request to the target arrived, stage calls included.
    arrivals: Vec<Instant>,
    /// Prompt part that crashes the target when it begins to respond.
    deadly_part: Option<String>,
    /// Requests that crash the target.
    deadly_request: Option<DeadlyRequest>,
    /// Sources of the pieces of each stage call that has results.
    stage_calls: Vec<Vec<PieceSource>>,
    /// Whether the next stage call computes no piece.
    fails_next_stage_call: bool,
    /// Handles of the results that instances have freed.
    freed_results: Vec<String>,
    next_result_number: u64,
    /// Address in the store, if instances reach the target through a proxy.
    proxy: Option<SocketAddrV4>,
    /// Version in the entry of the target.
    version: Option<String>,
}

/// A target of a simulated platform.
#[derive(Debug)]
pub struct Target {
    id: String,
    service: String,
    failure_domain: String,
    pub(super) address: SocketAddrV4,
    state: Mutex<State>,
    crash_count: watch::Sender<u64>,
}

impl Target {
    pub(super) fn new(
        id: &str,
        service: &str,
        failure_domain: &str,
        address: SocketAddrV4,
    ) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            failure_domain: failure_domain.to_owned(),
            address,
            state: Mutex::new(State::default()),
            crash_count: watch::Sender::new(0),
        }
    }

    /// Returns the entry of the target for the store; it has 8 slots and is warm. Each crash begins
    /// a new incarnation.
    #[must_use]
    pub fn entry(&self) -> TargetEntry {
        let state = self.lock();
        TargetEntry {
            id: self.id.clone(),
            incarnation: Some(1 + *self.crash_count.borrow()),
            service: self.service.clone(),
            address: state.proxy.unwrap_or(self.address),
            failure_domain: self.failure_domain.clone(),
            slots: 8,
            accepts_work: true,
            cold_remaining_ms: Millis::ZERO,
            version: state.version.clone(),
        }
    }

    /// Sets the address of a proxy, which entries and result handles contain from now on.
    pub fn set_proxy(&self, address: SocketAddrV4) {
        self.lock().proxy = Some(address);
    }

    /// Sets the version in entries that are written from now on.
    pub fn set_version(&self, version: &str) {
        self.lock().version = Some(version.to_owned());
    }

    /// Adds a fault to the queue. Each request except stage calls takes the first fault.
    pub fn add_fault(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    /// Delays every response to requests that arrive from now on, except to stage calls.
    pub fn set_response_delay(&self, delay: Duration) {
        self.lock().response_delay = delay;
    }

    /// Delays each event of streams that begin from now on by this duration.
    pub fn set_event_delay(&self, delay: Duration) {
        self.lock().event_delay = Some(delay);
    }

    /// Numbers the events of streams that begin from now on from this identifier.
    pub fn set_first_event_id(&self, id: u64) {
        self.lock().first_event_id = Some(id);
    }

    /// Sends a byte of an event that does not end from time to time, in streams that begin from now
    /// on.
    pub fn set_dripping(&self) {
        self.lock().drips = true;
    }

    /// Names a limit, in requests per second, in every response from now on; `None` names none.
    pub fn set_request_limit(&self, requests_per_s: Option<f64>) {
        self.lock().request_limit_per_s = requests_per_s;
    }

    /// Says in every response from now on that the target shuts down.
    pub fn set_leaving(&self) {
        let value = HeaderValue::from_static("1");
        self.lock()
            .added_headers
            .insert(names::TARGET_LEAVING, value);
    }

    /// Reports this load in every response from now on.
    pub fn set_load(&self, load: &'static str) {
        let value = HeaderValue::from_static(load);
        self.lock().added_headers.insert(names::LOAD, value);
    }

    /// Rejects every request from now on with status 503 and this value of the Retry-After header;
    /// `None` rejects none.
    pub fn set_retry_after(&self, value: Option<&str>) {
        self.lock().rejects_with_retry_after = value.map(str::to_owned);
    }

    /// Returns when each request to the target arrived, stage calls included.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Extends response bodies that are not streams to at least this size, with `x`.
    pub fn set_min_body_bytes(&self, bytes: usize) {
        self.lock().min_body_bytes = bytes;
    }

    /// Crashes the target when it begins to respond to a stream request with this prompt part, except
    /// as the last part: the response head is sent, and then all connections to the target break.
    pub fn set_deadly_part(&self, part: Option<&str>) {
        self.lock().deadly_part = part.map(str::to_owned);
    }

    /// Crashes the target when it executes a request with a body: all connections to it break.
    pub fn set_deadly_request(&self, deadly_request: DeadlyRequest) {
        self.lock().deadly_request = Some(deadly_request);
    }

    /// Returns a receiver of the number of crashes.
    pub(super) fn crashes(&self) -> watch::Receiver<u64> {
        self.crash_count.subscribe()
    }

    /// Records that the complete response to the executed request with this index was written.
    pub(super) fn record_completion(&self, index: usize) {
        if let Some(request) = self.lock().executed.get_mut(index) {
            request.completed_at = Some(Instant::now());
        }
    }

    pub(super) fn crash(&self) {
        self.crash_count.send_modify(|count| *count += 1);
    }

    /// Returns after how many events of a stream a request crashes the target.
    fn events_before_crash(&self, prompt_parts: &str, body: &[u8]) -> Option<u64> {
        let deadly_request = self.lock().deadly_request.clone();
        let deadly_request =
            deadly_request.filter(|deadly_request| deadly_request.body.as_bytes() == body);
        let by_request = deadly_request.map(|deadly_request| deadly_request.events_before_crash);
        by_request.or_else(|| self.has_deadly_part(prompt_parts).then_some(0))
    }

    fn has_deadly_part(&self, prompt_parts: &str) -> bool {
        let Some((shared_parts, _last)) = prompt_parts.rsplit_once(',') else {
            return false;
        };
        let state = self.lock();
        shared_parts.split(',').any(|part| {
            let id = part.split_once(':').map(|(id, _)| id.trim());
            id.is_some() && id == state.deadly_part.as_deref()
        })
    }

    /// Removes the faults that no request has taken yet.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Returns the executed requests in the order of their start, without stage calls.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.lock().executed.clone()
    }

    /// Returns the sources of the pieces of each stage call that has results, which are numbered in
    /// this order from 0; the number of a result is the last part of its handle.
    #[must_use]
    pub fn stage_calls(&self) -> Vec<Vec<PieceSource>> {
        self.lock().stage_calls.clone()
    }

    /// Computes no piece of the next stage call.
    pub fn fail_next_stage_call(&self) {
        self.lock().fails_next_stage_call = true;
    }

    /// Returns the handles of the results that instances have freed.
    #[must_use]
    pub fn freed_results(&self) -> Vec<String> {
        self.lock().freed_results.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Responds to a request, and says what the target asks of the instances.
pub(super) async fn respond_to(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> io::Result<Response<TargetBody>> {
    target.lock().arrivals.push(Instant::now());
    let mut response = execute(Arc::clone(&target), request).await?;
    response
        .headers_mut()
        .extend(target.lock().added_headers.clone());
    if let Some(requests_per_s) = target.lock().request_limit_per_s {
        let value = HeaderValue::from_str(&requests_per_s.to_string()).map_err(io::Error::other)?;
        response.headers_mut().insert(names::REQUEST_LIMIT, value);
    }
    Ok(response)
}

async fn execute(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> io::Result<Response<TargetBody>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let header_text = |name: &HeaderName| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if header_text(&names::EXPECTED_TARGET) != target.id {
        return respond(StatusCode::MISDIRECTED_REQUEST, &[], TargetBody::empty());
    }
    let retry_after = target.lock().rejects_with_retry_after.clone();
    if retry_after.is_some() {
        return reject(retry_after);
    }
    match head.uri.path() {
        names::STAGE_RUN_PATH => return respond_to_stage_call(&target, &body).await,
        names::STAGE_FREE_PATH => {
            let freed = stage::decode_free_request(&body)?;
            target.lock().freed_results.extend(freed);
            return respond(StatusCode::OK, &[], TargetBody::with_content(b"{}"));
        }
        _ => {}
    }
    let fault = target.lock().faults.pop_front();
    if fault == Some(Fault::RejectUnexecuted) {
        return reject(None);
    }
    let id = header_text(&names::REQUEST_ID);
    let (index, response_delay, min_body_bytes) = {
        let mut state = target.lock();
        state.executed.push(ExecutedRequest {
            started_at: Instant::now(),
            request_id: id.clone(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            body: body.clone(),
            completed_at: None,
        });
        let index = state.executed.len() - 1;
        (index, state.response_delay, state.min_body_bytes)
    };
    if !response_delay.is_zero() {
        sleep(response_delay).await;
    }
    match fault {
        Some(Fault::DelayResponse(duration)) => sleep(duration).await,
        Some(Fault::CloseWithoutResponse) => return Err(io::ErrorKind::ConnectionReset.into()),
        _ => {}
    }
    let prompt_parts = header_text(&names::PROMPT_PARTS);
    let events_before_crash = target.events_before_crash(&prompt_parts, &body);
    let is_stream = head.headers.contains_key(names::TOKEN_COUNTS);
    if events_before_crash.is_some() && !is_stream {
        target.crash();
        // The connection breaks with all others of the target.
        return std::future::pending().await;
    }
    let echoed = if fault == Some(Fault::WrongRequestId) {
        "another".to_owned()
    } else {
        id
    };
    let mut headers = vec![
        (names::REQUEST_ID, echoed),
        (names::STAMP, format!("stamp-{}", target.id)),
    ];
    let completion = ResponseCompletion {
        target: Arc::clone(&target),
        index,
    };
    if let Some((status, text)) = fault.and_then(Fault::error) {
        return respond(status, &headers, TargetBody::with_content(text.as_bytes()));
    }
    if is_stream {
        let last_event: Option<u64> = header_text(&names::LAST_EVENT_ID).parse().ok();
        headers.push((http::header::CONTENT_TYPE, "text/event-stream".to_owned()));
        let body = stream_body(completion, last_event, fault, events_before_crash);
        return respond(StatusCode::OK, &headers, body);
    }
    let mut content = format!("answer of {}", target.id).into_bytes();
    if content.len() < min_body_bytes {
        content.resize(min_body_bytes, b'x');
    }
    if fault == Some(Fault::TruncateBody) {
        headers.push((http::header::CONTENT_LENGTH, content.len().to_string()));
        content.truncate(4);
    }
    let mut body = TargetBody::with_content(&content);
    body.is_truncated = fault == Some(Fault::TruncateBody);
    body.completion = Some(completion);
    respond(StatusCode::OK, &headers, body)
}

/// Returns the body of a stream that begins after `last_event`.
fn stream_body(
    completion: ResponseCompletion,
    last_event: Option<u64>,
    fault: Option<Fault>,
    events_before_crash: Option<u64>,
) -> TargetBody {
    let target = Arc::clone(&completion.target);
    let state = target.lock();
    let first_id = state.first_event_id.unwrap_or(FIRST_EVENT_ID);
    let next_event = last_event.map_or(first_id, |id| id + 1);
    let aborted_event = match fault {
        Some(Fault::AbortAfterEvents(events)) => Some(next_event + events),
        _ => None,
    };
    let end = first_id + EVENT_COUNT;
    let mut body = TargetBody::events(next_event..end, aborted_event, completion);
    body.event_delay = state.event_delay.unwrap_or(EVENT_DELAY);
    body.drips = state.drips;
    body.crash_event = events_before_crash.map(|events| next_event + events);
    body
}

async fn respond_to_stage_call(target: &Target, body: &[u8]) -> io::Result<Response<TargetBody>> {
    let pieces = stage::decode_call_request(body)?;
    if std::mem::take(&mut target.lock().fails_next_stage_call) {
        let response = stage::encode_failed_call_response(pieces.len())?;
        return respond(StatusCode::OK, &[], TargetBody::with_content(&response));
    }
    let handles: Vec<String> = {
        let mut state = target.lock();
        let sources = pieces.iter().map(|piece| piece.source.clone());
        state.stage_calls.push(sources.collect());
        let first = state.next_result_number;
        state.next_result_number += pieces.len() as u64;
        let producer = state.proxy.unwrap_or(target.address);
        (first..state.next_result_number)
            .map(|number| format!("{producer}/{number}"))
            .collect()
    };
    sleep(STAGE_CALL_DURATION).await;
    let response = stage::encode_call_response(&handles)?;
    respond(StatusCode::OK, &[], TargetBody::with_content(&response))
}

/// Rejects a request that was not executed.
fn reject(retry_after: Option<String>) -> io::Result<Response<TargetBody>> {
    let mut headers = vec![(names::NOT_EXECUTED, "1".to_owned())];
    headers.extend(retry_after.map(|value| (http::header::RETRY_AFTER, value)));
    let status = StatusCode::SERVICE_UNAVAILABLE;
    respond(status, &headers, TargetBody::empty())
}

fn respond(
    status: StatusCode,
    headers: &[(HeaderName, String)],
    body: TargetBody,
) -> io::Result<Response<TargetBody>> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(name, value);
    }
    builder.body(body).map_err(io::Error::other)
}
