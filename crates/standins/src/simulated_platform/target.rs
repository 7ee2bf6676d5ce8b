//! Targets: whole answers, streams of events and stage calls, with faults on demand.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::sleep;

use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_platform::stage;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::model::TargetEntry;

/// The events of a stream.
pub const EVENTS: u64 = 6;
/// The pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// How long a stage call takes.
const STAGE_CALL: Duration = Duration::from_millis(150);

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target does not run the request and says so.
    RejectUnexecuted,
    /// The target breaks off within an event after this many.
    AbortAfterEvents(u64),
    /// The answer bears the identifier of another request.
    WrongRequestId,
    /// The body is shorter than announced.
    TruncateBody,
    /// There is no answer for this long.
    DelayResponse(Duration),
    /// The target runs the request and closes the connection without an answer.
    CloseWithoutResponse,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// When it began.
    pub started_at: Instant,
    /// The identifier of the request.
    pub request_id: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the client of the target stayed until the end.
    pub is_response_complete: bool,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<ExecutedRequest>,
    faults: VecDeque<Fault>,
    /// The pieces of each stage call.
    calls: Vec<Vec<PieceSource>>,
    freed: Vec<String>,
    next_result: u64,
    /// Where instances reach the target, if not directly.
    proxy: Option<SocketAddrV4>,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    id: String,
    service: String,
    failure_domain: String,
    address: SocketAddrV4,
    state: Mutex<State>,
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
        }
    }

    /// Returns the entry of the target in the store.
    #[must_use]
    pub fn entry(&self) -> TargetEntry {
        TargetEntry {
            id: self.id.clone(),
            incarnation: Some(1),
            service: self.service.clone(),
            address: self.lock().proxy.unwrap_or(self.address),
            failure_domain: self.failure_domain.clone(),
            slots: 8,
            accepts_work: true,
            cold_remaining_ms: Millis::ZERO,
        }
    }

    /// Sets the address of a proxy, by which instances reach the target from now on.
    pub fn set_proxy(&self, address: SocketAddrV4) {
        self.lock().proxy = Some(address);
    }

    /// Adds a fault for the next request that has none yet.
    pub fn add_fault(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    /// Removes the faults that no request has met.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Returns what the target ran.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.lock().runs.clone()
    }

    /// Returns the pieces of each stage call.
    #[must_use]
    pub fn stage_calls(&self) -> Vec<Vec<PieceSource>> {
        self.lock().calls.clone()
    }

    /// Returns the results that were freed.
    #[must_use]
    pub fn freed_results(&self) -> Vec<String> {
        self.lock().freed.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a request.
pub(super) async fn respond_to(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> io::Result<Response<TargetBody>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let text = |name: &HeaderName| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if text(&names::EXPECTED_TARGET) != target.id {
        return respond(StatusCode::MISDIRECTED_REQUEST, &[], TargetBody::empty());
    }
    match head.uri.path() {
        names::STAGE_RUN_PATH => return run_stage(&target, &body).await,
        names::STAGE_FREE_PATH => {
            let freed = stage::decode_free_request(&body)?;
            target.lock().freed.extend(freed);
            return respond(StatusCode::OK, &[], TargetBody::whole(b"{}"));
        }
        _ => {}
    }
    let fault = target.lock().faults.pop_front();
    if fault == Some(Fault::RejectUnexecuted) {
        let headers = [(names::NOT_EXECUTED, "1".to_owned())];
        return respond(
            StatusCode::SERVICE_UNAVAILABLE,
            &headers,
            TargetBody::empty(),
        );
    }
    let id = text(&names::REQUEST_ID);
    let run = {
        let mut state = target.lock();
        state.runs.push(ExecutedRequest {
            started_at: Instant::now(),
            request_id: id.clone(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            body: body.clone(),
            is_response_complete: false,
        });
        state.runs.len() - 1
    };
    match fault {
        Some(Fault::DelayResponse(time)) => sleep(time).await,
        Some(Fault::CloseWithoutResponse) => return Err(io::ErrorKind::ConnectionReset.into()),
        _ => {}
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
    let finished = FinishedRun {
        target: Arc::clone(&target),
        run,
    };
    if head.headers.contains_key(names::TOKEN_COUNTS) {
        let after: u64 = text(&names::LAST_EVENT_ID).parse().unwrap_or(0);
        let break_after = match fault {
            Some(Fault::AbortAfterEvents(events)) => Some(after + events),
            _ => None,
        };
        headers.push((http::header::CONTENT_TYPE, "text/event-stream".to_owned()));
        let body = TargetBody::events(after + 1, break_after, finished);
        return respond(StatusCode::OK, &headers, body);
    }
    let mut content = format!("answer of {}", target.id).into_bytes();
    if fault == Some(Fault::TruncateBody) {
        headers.push((http::header::CONTENT_LENGTH, content.len().to_string()));
        content.truncate(4);
    }
    let mut body = TargetBody::whole(&content);
    body.is_short = fault == Some(Fault::TruncateBody);
    body.finished = Some(finished);
    respond(StatusCode::OK, &headers, body)
}

async fn run_stage(target: &Target, body: &[u8]) -> io::Result<Response<TargetBody>> {
    let pieces = stage::decode_call_request(body)?;
    let handles: Vec<String> = {
        let mut state = target.lock();
        let sources = pieces.iter().map(|piece| piece.source.clone());
        state.calls.push(sources.collect());
        let first = state.next_result;
        state.next_result += pieces.len() as u64;
        let holder = state.proxy.unwrap_or(target.address);
        (first..state.next_result)
            .map(|number| format!("{holder}/{number}"))
            .collect()
    };
    sleep(STAGE_CALL).await;
    let answer = stage::encode_call_response(&handles)?;
    respond(StatusCode::OK, &[], TargetBody::whole(&answer))
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

/// Marks a run as finished once its answer was written to the end.
#[derive(Debug)]
struct FinishedRun {
    target: Arc<Target>,
    run: usize,
}

impl FinishedRun {
    fn mark(&self) {
        if let Some(run) = self.target.lock().runs.get_mut(self.run) {
            run.is_response_complete = true;
        }
    }
}

/// The body of a target's answer.
#[derive(Debug)]
pub(super) struct TargetBody {
    whole: Option<Bytes>,
    is_short: bool,
    next_event: Option<u64>,
    break_after: Option<u64>,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
    finished: Option<FinishedRun>,
}

impl TargetBody {
    fn empty() -> Self {
        Self {
            whole: None,
            is_short: false,
            next_event: None,
            break_after: None,
            pause: None,
            finished: None,
        }
    }

    fn whole(content: &[u8]) -> Self {
        Self {
            whole: Some(Bytes::copy_from_slice(content)),
            ..Self::empty()
        }
    }

    fn events(first: u64, break_after: Option<u64>, finished: FinishedRun) -> Self {
        Self {
            next_event: Some(first),
            break_after,
            finished: Some(finished),
            ..Self::empty()
        }
    }

    fn finish(&self) {
        if let Some(finished) = &self.finished {
            finished.mark();
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(whole) = self.whole.take() {
            return Poll::Ready(Some(Ok(Frame::data(whole))));
        }
        if self.is_short {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
        }
        let Some(event) = self.next_event else {
            self.finish();
            return Poll::Ready(None);
        };
        if event > EVENTS {
            self.finish();
            return Poll::Ready(None);
        }
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(sleep(EVENT_PAUSE)));
        if pause.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.pause = None;
        if self.break_after.is_some_and(|last| event > last + 1) {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
        }
        self.next_event = Some(event + 1);
        let whole = format!("id: {event}\ndata: token {event}\n\n");
        let is_broken = self.break_after.is_some_and(|last| event > last);
        let end = if is_broken {
            whole.len() / 2
        } else {
            whole.len()
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::copy_from_slice(
            &whole.as_bytes()[..end],
        )))))
    }
}
