//! The clients of a soak test and what they observe. Every second one keeps its connection, and uses
//! it until the instance closes it or announces that.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulated_platform::client::ClientConnection;
use crate::simulated_platform::client::ClientRequest;
use crate::simulated_platform::client::ClientResponse;
use crate::simulated_platform::example;

/// Longest pause of a client between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// What kind of request a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// An idempotent request.
    Safe,
    /// A non-idempotent request, which may be executed at most once.
    Unsafe,
    /// A stream that ends early if its target fails.
    Stream,
    /// A stream that another target resumes if its target fails.
    Resumable,
    /// A stream whose input is computed by earlier stages.
    Staged,
    /// A request to the route that the given version of the configuration added.
    NewRoute(u64),
}

impl RequestKind {
    /// Builds a request with the given identifier.
    #[must_use]
    pub fn build_request(self, id: &str) -> ClientRequest {
        match self {
            Self::Safe => ClientRequest::new("GET", "/safe/1", id),
            Self::Unsafe => ClientRequest::new("POST", "/unsafe/1", id).with_body("a booking"),
            Self::Stream => example::stream_request("/stream/1", id),
            Self::Resumable => example::stream_request("/resumable/1", id),
            Self::Staged => example::staged_stream_request(id, "2,3", id),
            Self::NewRoute(version) => ClientRequest::new("GET", &route_prefix(version), id),
        }
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable | Self::Staged)
    }
}

/// Returns the prefix of the route that a version of the configuration adds.
#[must_use]
pub fn route_prefix(version: u64) -> String {
    format!("/version-{version}/")
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Identifier of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the instance that received the request.
    pub instance: usize,
    /// When the client opened the connection, or sent the request on a connection that it had kept.
    pub sent_at: Instant,
    /// When the connection ended or, if it is kept, the response was complete.
    pub ended_at: Instant,
    /// The response; `None` if no connection could be opened.
    pub response: Option<ClientResponse>,
    /// Whether the connection had carried an earlier request.
    pub is_connection_reused: bool,
    /// Whether the instance closed or refused the connection without having read the request.
    pub is_unread: bool,
}

impl Observation {
    /// Returns whether the request got a complete successful response.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| response.status == 200 && response.is_complete)
    }
}

/// Data that the soak test shares with its clients.
#[derive(Debug)]
pub struct ClientContext {
    /// Address of each instance for client requests.
    pub instances: Vec<std::net::SocketAddrV4>,
    /// Newest version of the configuration that every instance must have applied.
    pub required_version: AtomicU64,
    /// Tells the clients to end.
    pub stop: AtomicBool,
}

/// Sends random requests to random instances until `stop` is set, and returns the observations.
#[must_use]
pub fn run(context: &ClientContext, seed: u64, client: usize) -> Vec<Observation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(client as u64));
    let mut observations = Vec::new();
    let keep_open = client.is_multiple_of(2);
    let mut kept: Option<(usize, ClientConnection)> = None;
    while !context.stop.load(Ordering::Relaxed) {
        let kind = match rng.random_range(0..6) {
            0 => RequestKind::Safe,
            1 => RequestKind::Unsafe,
            2 => RequestKind::Stream,
            3 => RequestKind::Resumable,
            4 => RequestKind::Staged,
            _ => RequestKind::NewRoute(context.required_version.load(Ordering::Relaxed)),
        };
        let random_instance = rng.random_range(0..context.instances.len());
        let (instance, connection) = kept
            .take()
            .map_or((random_instance, None), |(instance, connection)| {
                (instance, Some(connection))
            });
        let id = format!("{seed}-{client}-{}", observations.len());
        let (observation, connection) =
            send_request(context, kind, instance, id, connection, keep_open);
        kept = connection.map(|connection| (instance, connection));
        observations.push(observation);
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause_ms));
    }
    observations
}

/// Sends one request to an instance, on the given connection or a new one. Returns the connection if
/// it can be used again, which is possible only with `keep_open`.
#[must_use]
pub fn send_request(
    context: &ClientContext,
    kind: RequestKind,
    instance: usize,
    id: String,
    connection: Option<ClientConnection>,
    keep_open: bool,
) -> (Observation, Option<ClientConnection>) {
    let sent_at = Instant::now();
    let is_connection_reused = connection.is_some();
    // A connection failure is recorded as no response. Whether it is a violation depends on the
    // faults of the instance.
    let mut connection =
        connection.or_else(|| ClientConnection::open(context.instances[instance]).ok());
    let (response, is_unread) = connection
        .as_mut()
        .map(|connection| connection.exchange(&kind.build_request(&id), keep_open))
        .map_or((None, true), |(response, is_unread)| {
            (Some(response), is_unread)
        });
    let is_reusable = response.as_ref().is_some_and(|response| {
        let is_closing = response.headers.get("connection").map(String::as_str) == Some("close");
        keep_open && response.is_complete && !is_closing
    });
    let observation = Observation {
        id,
        kind,
        instance,
        sent_at,
        ended_at: Instant::now(),
        response,
        is_connection_reused,
        is_unread,
    };
    (observation, connection.filter(|_| is_reusable))
}
