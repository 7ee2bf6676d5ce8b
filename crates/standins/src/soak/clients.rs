//! The clients of a soak and what they see.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulated_platform::client::ClientRequest;
use crate::simulated_platform::client::ClientResponse;
use crate::simulated_platform::example;

/// The longest pause of a client between two requests, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 120;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Asked {
    /// A request that may be repeated.
    Safe,
    /// A request that must not run twice.
    Unsafe,
    /// A stream that breaks when its target does.
    Stream,
    /// A stream that is resumed.
    Resumable,
    /// A stream after stages.
    Staged,
    /// A route of the newest configuration that must be in force.
    NewRoute(u64),
}

impl Asked {
    /// Returns the request.
    #[must_use]
    pub fn call(self, id: &str) -> ClientRequest {
        match self {
            Self::Safe => ClientRequest::new("GET", "/safe/1", id),
            Self::Unsafe => ClientRequest::new("POST", "/unsafe/1", id).with_body("a booking"),
            Self::Stream => example::stream_request("/stream/1", id),
            Self::Resumable => example::stream_request("/resumable/1", id),
            Self::Staged => example::staged_stream_request(id, "2,3", id),
            Self::NewRoute(version) => ClientRequest::new("GET", &route_prefix(version), id),
        }
    }

    /// Returns whether the answer is a stream of events.
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

/// A request and what came back.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The identifier of the request.
    pub id: String,
    /// What was asked for.
    pub asked: Asked,
    /// The position of the instance.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the connection ended.
    pub ended: Instant,
    /// What arrived; nothing where no connection could be opened.
    pub received: Option<ClientResponse>,
}

impl Seen {
    /// Returns whether the request got a whole answer of a target.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let received = self.received.as_ref();
        received.is_some_and(|received| received.status == 200 && received.is_complete)
    }
}

/// What clients need to know.
#[derive(Debug)]
pub struct ClientSpec {
    /// Where each instance takes requests.
    pub instances: Vec<std::net::SocketAddrV4>,
    /// The newest version whose routes must be served.
    pub version: AtomicU64,
    /// Whether the clients have to end.
    pub stop: AtomicBool,
}

/// Sends one request after the other until the end, and returns what was seen.
#[must_use]
pub fn run(spec: &ClientSpec, seed: u64, client: usize) -> Vec<Seen> {
    let mut random =
        ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(client as u64));
    let mut requests = Vec::new();
    while !spec.stop.load(Ordering::Relaxed) {
        let asked = match random.random_range(0..6) {
            0 => Asked::Safe,
            1 => Asked::Unsafe,
            2 => Asked::Stream,
            3 => Asked::Resumable,
            4 => Asked::Staged,
            _ => Asked::NewRoute(spec.version.load(Ordering::Relaxed)),
        };
        let instance = random.random_range(0..spec.instances.len());
        let id = format!("{seed}-{client}-{}", requests.len());
        requests.push(ask(spec, asked, instance, id));
        let pause_ms = random.random_range(0..LONGEST_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause_ms));
    }
    requests
}

/// Sends one request to an instance.
#[must_use]
pub fn ask(spec: &ClientSpec, asked: Asked, instance: usize, id: String) -> Seen {
    let sent = Instant::now();
    // A refused connection is judged by what happened to the instance.
    let received = asked.call(&id).call(spec.instances[instance]).ok();
    Seen {
        id,
        asked,
        instance,
        sent,
        ended: Instant::now(),
        received,
    }
}
