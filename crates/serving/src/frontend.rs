//! Client connections.
//!
//! A connection is served until the client closes it or one of its timeouts expires. When the
//! client closes it, all work for its request is cancelled at once, because the request's future or
//! its response body owns that work.
//!
//! During [`Phase::Closing`] no connection is accepted, and each open one is closed once its response
//! is written. The process exits when none is open, so a request that was read gets its response
//! unless the grace period ends first.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use log::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::client_limits;
use crate::client_limits::ClientConnections;
use crate::client_limits::LimitReason;
use crate::client_memory::BodyProgress;
use crate::client_memory::STALL_TIMEOUT_MS;
use crate::net;
use crate::net::sleep;
use crate::observed_stream::ObservedStream;
use crate::observed_stream::StreamObserver;
use crate::request;
use crate::response::ClientBody;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::ClientLimits;

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How long connections are kept open for further requests after SIGTERM. The load balancer probes readiness once a
/// second and moves clients to other instances after two failed probes.
pub const SHUTDOWN_KEEP_ALIVE_MS: Millis = Millis(2_600);
/// How long connections are kept open after the listener is closed, so that the first request of a
/// new connection still arrives.
const CLOSING_KEEP_ALIVE_MS: Millis = Millis(100);
/// Margin added to the configured idle timeout, so that the client closes first. Clients reuse a
/// connection for up to 80% of the configured time.
const IDLE_TIMEOUT_MARGIN_MS: Millis = Millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// No byte of the next request has arrived.
    Idle,
    /// A request head is being received.
    ReadingHead,
    /// The body of a request is being received.
    ReceivingBody,
    /// A request is being processed.
    Serving,
}

/// The current activity of a connection, and when it began.
#[derive(Debug)]
pub struct ConnectionActivity {
    shared: Rc<Shared>,
    state: Cell<(Activity, Millis)>,
    /// Number of requests received so far.
    request_count: Cell<u64>,
    /// When the body that is being received last progressed.
    body_progress: Cell<BodyProgress>,
    /// Since when the client has not read anything of what waits for it.
    blocked_since: Cell<Option<Millis>>,
    /// Whether the connection has to give way to others.
    is_close_requested: Cell<bool>,
    /// Notified when a new activity has a shorter timeout than the previous one, and when the
    /// connection has to give way.
    timeout_shortened: Notify,
}

impl ConnectionActivity {
    fn new(shared: &Rc<Shared>) -> Rc<Self> {
        let now = shared.now();
        Rc::new(Self {
            state: Cell::new((Activity::Idle, now)),
            request_count: Cell::new(0),
            body_progress: Cell::new(BodyProgress::new(now)),
            blocked_since: Cell::new(None),
            is_close_requested: Cell::new(false),
            timeout_shortened: Notify::new(),
            shared: Rc::clone(shared),
        })
    }

    fn set(&self, activity: Activity) {
        self.state.set((activity, self.shared.now()));
        if activity == Activity::ReadingHead {
            // The connection task must reset its timer.
            self.timeout_shortened.notify_one();
        }
    }

    /// Returns when the connection times out unless its activity changes.
    fn expires_at(&self, limits: &ClientLimits) -> Millis {
        let (activity, since) = self.state.get();
        match activity {
            Activity::Idle => since + limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS,
            Activity::ReadingHead => since + limits.header_timeout_ms,
            Activity::ReceivingBody | Activity::Serving => Millis::MAX,
        }
    }

    /// Returns the order in which connections give way to others, lowest first: idle ones, those
    /// with an incomplete head, and those whose body has come to a halt; within these, the longest.
    /// Returns `None` for a connection that does not give way.
    #[must_use]
    pub fn rank_for_closing(&self) -> Option<(u8, Millis)> {
        if self.is_close_requested.get() {
            return None;
        }
        let (activity, since) = self.state.get();
        match activity {
            Activity::Idle => Some((0, since)),
            Activity::ReadingHead if self.is_head_stalled() => Some((1, since)),
            Activity::ReceivingBody if self.is_body_stalled() => Some((2, since)),
            Activity::ReadingHead | Activity::ReceivingBody | Activity::Serving => None,
        }
    }

    /// Requests that the connection gives way to another one.
    pub fn request_close(&self) {
        self.is_close_requested.set(true);
        self.timeout_shortened.notify_one();
    }

    fn is_head_stalled(&self) -> bool {
        self.shared.now() - self.state.get().1 >= STALL_TIMEOUT_MS
    }

    fn is_body_stalled(&self) -> bool {
        let stalled_ms = self.body_progress.get().stalled_ms(self.shared.now());
        stalled_ms >= STALL_TIMEOUT_MS
    }

    /// Returns whether the client has not read anything for longer than a connection may be idle.
    fn is_unread(&self, limits: &ClientLimits) -> bool {
        let unread_ms = limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS;
        let blocked_since = self.blocked_since.get();
        blocked_since.is_some_and(|since| self.shared.now() - since >= unread_ms)
    }
}

/// Marks that the body of a request is being received, until it is dropped.
#[derive(Debug)]
pub struct ReceivingBodyGuard(Rc<ConnectionActivity>);

impl Drop for ReceivingBodyGuard {
    fn drop(&mut self) {
        self.0.set(Activity::Serving);
    }
}

/// Counts a request as in progress until its response is handed to the HTTP library or abandoned.
#[derive(Debug)]
pub struct InProgressGuard(Rc<ConnectionActivity>);

impl InProgressGuard {
    fn new(activity: &Rc<ConnectionActivity>) -> Self {
        activity.set(Activity::Serving);
        activity.request_count.set(activity.request_count.get() + 1);
        let shared = &activity.shared;
        shared.in_progress.set(shared.in_progress.get() + 1);
        shared.metrics.in_progress.inc();
        Self(Rc::clone(activity))
    }

    /// Marks that the body of the request is being received.
    #[must_use]
    pub fn begin_body(&self) -> ReceivingBodyGuard {
        let now = self.0.shared.now();
        self.0.body_progress.set(BodyProgress::new(now));
        self.0.set(Activity::ReceivingBody);
        ReceivingBodyGuard(Rc::clone(&self.0))
    }

    /// Returns whether the request is the first of its connection.
    #[must_use]
    pub fn is_first_of_connection(&self) -> bool {
        self.0.request_count.get() == 1
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        let shared = &self.0.shared;
        shared.in_progress.set(shared.in_progress.get() - 1);
        shared.metrics.in_progress.dec();
        if shared.is_exiting() {
            let cut_off = &shared.cut_off_request_count;
            cut_off.set(cut_off.get() + 1);
        }
        self.0.set(Activity::Idle);
    }
}

/// Counts a client connection as open until it is dropped.
struct OpenConnectionGuard(Rc<Shared>);

impl OpenConnectionGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        let count = &shared.client_connection_count;
        count.set(count.get() + 1);
        shared.metrics.client_connections.inc();
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.client_connection_count;
        count.set(count.get() - 1);
        self.0.metrics.client_connections.dec();
    }
}

/// Sets the activity when the first byte of a request arrives, and when bytes of a response leave that
/// the request has handed over.
impl StreamObserver for Rc<ConnectionActivity> {
    fn record_read(&self, bytes: usize) {
        match self.state.get().0 {
            Activity::Idle => self.set(Activity::ReadingHead),
            Activity::ReceivingBody => {
                let progress = self.body_progress.get();
                let progress = progress.with_bytes(self.shared.now(), bytes);
                self.body_progress.set(progress);
            }
            Activity::ReadingHead | Activity::Serving => {}
        }
    }

    /// Restarts the idle time: a response is written after its request has ended.
    fn record_write(&self, _bytes: usize) {
        self.blocked_since.set(None);
        if self.state.get().0 == Activity::Idle {
            self.set(Activity::Idle);
        }
    }

    fn record_blocked_write(&self) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(self.shared.now()));
        }
    }
}

/// Accepts client connections until [`Phase::Closing`].
///
/// # Errors
///
/// Returns no error; supervised tasks must have a `Result` as their return type.
pub async fn run(
    shared: Rc<Shared>,
    stage_client: Rc<StageClient>,
    listener: Rc<TcpListener>,
) -> Result<(), String> {
    let connections = ClientConnections::new(client_limits::max_connections(&shared.settings));
    loop {
        let stream = tokio::select! {
            // Connections that are known to be established go before the end of the listener, which
            // resets them.
            biased;
            stream = net::accept(&listener) => stream,
            () = shared.wait_for_phase(|phase| phase == Phase::Closing) => return Ok(()),
        };
        let guard = OpenConnectionGuard::new(&shared);
        tokio::select! {
            () = connections.wait_for_place() => {}
            // A connection that was accepted is served, also without a place.
            () = shared.wait_for_phase(|phase| phase == Phase::Closing) => {}
        }
        let activity = ConnectionActivity::new(&shared);
        let place = connections.add(&activity);
        let connection = serve_connection(activity, Rc::clone(&stage_client), stream);
        spawn_local(async move {
            connection.await;
            drop((place, guard));
        });
    }
}

async fn serve_connection(
    activity: Rc<ConnectionActivity>,
    stage_client: Rc<StageClient>,
    stream: TcpStream,
) {
    let shared = Rc::clone(&activity.shared);
    let limits = shared.client_limits();
    let io = TokioIo::new(ObservedStream::new(stream, Rc::clone(&activity)));
    let service = service_fn(|http_request: Request<Incoming>| {
        let guard = InProgressGuard::new(&activity);
        handle_request(
            Rc::clone(&shared),
            Rc::clone(&stage_client),
            http_request,
            guard,
        )
    });
    let mut builder = http1::Builder::new();
    builder
        .half_close(false)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(limits.max_header_bytes);
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut shutdown = pin!(wait_for_connection_shutdown(&shared));
    let mut is_shutting_down = false;
    loop {
        // The end of a request does not wake this task, so the timer checks for a new activity
        // after the idle timeout at the latest.
        let timeout_ms = activity
            .expires_at(&limits)
            .min(shared.now() + limits.idle_timeout_ms)
            - shared.now();
        tokio::select! {
            // A request that is known to have arrived is read before a timeout or the shutdown
            // closes the connection.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(error:%; "client connection closed with an error");
                }
                return;
            }
            () = sleep(timeout_ms) => {
                if activity.expires_at(&limits) <= shared.now() {
                    let (activity_at_timeout, since) = activity.state.get();
                    if activity_at_timeout == Activity::ReadingHead {
                        info!(
                            waited_ms = (shared.now() - since).0,
                            earlier_requests = activity.request_count.get();
                            "client connection closed before a request head was complete"
                        );
                    }
                    return;
                }
                if activity.is_unread(&limits) && shared.is_client_memory_short() {
                    shared.record_limit(LimitReason::UnreadResponse);
                    return;
                }
            }
            () = activity.timeout_shortened.notified() => {
                if activity.is_close_requested.get() {
                    match give_way(&activity) {
                        GiveWay::Now => return,
                        GiveWay::AfterResponse => connection.as_mut().graceful_shutdown(),
                        GiveWay::Never => activity.is_close_requested.set(false),
                    }
                }
            }
            () = shutdown.as_mut(), if !is_shutting_down => {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// How a connection gives way to another one.
enum GiveWay {
    Now,
    /// What is left of a response is written first.
    AfterResponse,
    /// A request was received meanwhile.
    Never,
}

/// Decides how a connection gives way. It was polled before, so what has arrived is known.
fn give_way(activity: &ConnectionActivity) -> GiveWay {
    let (reason, give_way) = match activity.state.get().0 {
        Activity::Idle if activity.request_count.get() > 0 => {
            (LimitReason::IdleConnection, GiveWay::AfterResponse)
        }
        Activity::Idle => (LimitReason::IdleConnection, GiveWay::Now),
        Activity::ReadingHead if activity.is_head_stalled() => {
            (LimitReason::IncompleteHead, GiveWay::Now)
        }
        Activity::ReceivingBody if activity.is_body_stalled() => {
            (LimitReason::StalledConnection, GiveWay::Now)
        }
        Activity::ReadingHead | Activity::ReceivingBody | Activity::Serving => {
            return GiveWay::Never;
        }
    };
    activity.shared.record_limit(reason);
    give_way
}

/// Waits until a connection is closed after its request in progress, or at once if it has none:
/// when connections are no longer kept open after SIGTERM, or when the instance closes all of them.
async fn wait_for_connection_shutdown(shared: &Shared) {
    let leaving = async {
        shared.wait_for_phase(Phase::is_shutting_down).await;
        sleep(SHUTDOWN_KEEP_ALIVE_MS).await;
    };
    let closing = async {
        shared.wait_for_phase(|phase| phase == Phase::Closing).await;
        sleep(CLOSING_KEEP_ALIVE_MS).await;
    };
    tokio::select! {
        () = leaving => {}
        () = closing => {}
    }
}

async fn handle_request(
    shared: Rc<Shared>,
    stage_client: Rc<StageClient>,
    http_request: Request<Incoming>,
    guard: InProgressGuard,
) -> Result<Response<ClientBody>, io::Error> {
    let mut response = request::handle(&shared, &stage_client, http_request, guard).await?;
    if shared.phase().is_shutting_down() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
