//! Configuration and targets of a deployment, independent of the format of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use arbutus_coord::Millis;

/// Whether the requests of a route may be executed more than once, and whether its responses are
/// streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may be executed more than once.
    Safe,
    /// A request must be executed at most once.
    Unsafe,
    /// The response is a stream of events. A request must be executed at most once, unless
    /// [`Route::resumable`] is set.
    Stream,
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum over all destinations of the route.
    pub weight: f64,
}

/// A stage of a route: work of another service whose results a request needs.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// Name of the stage service.
    pub service: String,
    /// Indices of the stages whose results this stage reads; all of them are smaller than its own.
    pub depends_on: Vec<usize>,
    /// Approximate size of the result of one piece.
    pub result_bytes: u64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that the route matches, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be executed more than once, and whether responses are streams.
    pub kind: RouteKind,
    /// Services among which the requests are divided by weight.
    pub destinations: Vec<Destination>,
    /// Time after which a request fails with a timeout.
    pub timeout_ms: Millis,
    /// Latency objective of a response, or of the first event of a stream.
    pub objective_ms: Millis,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of attempts of a request that a target may have executed. Attempts that
    /// were certainly not executed do not count.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Whether requests declare the parts of their prompt, so that those with a common prefix can
    /// be sent to the same target.
    pub declares_prompt_parts: bool,
    /// Whether another target may continue an interrupted stream.
    pub resumable: bool,
    /// Stages that are executed before the request; [`StageSpec::depends_on`] has indices of this
    /// list.
    pub stages: Vec<StageSpec>,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Stream && self.resumable)
    }
}

/// Capacity and speed of each target of a stage service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageServiceSpec {
    /// Number of calls that a target executes concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call.
    pub max_pieces_per_call: usize,
    /// Fixed part of the duration of a call, which does not depend on the number of its pieces.
    pub call_overhead_ms: f64,
    /// Approximate time that each piece adds to the duration of a call.
    pub ms_per_piece: f64,
    /// Memory that a target has for results.
    pub result_space_bytes: u64,
    /// How long a target keeps a result after the end of the call, unless it is freed before.
    pub result_retention_ms: Millis,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Path of the health check.
    pub health_path: String,
    /// Number of connections that a target accepts from all instances together.
    pub max_connections: u32,
    /// How long a target stays cold after its start. A cold target tolerates a limited rate of
    /// requests.
    pub cold_duration_ms: Millis,
    /// Number of requests per second that a cold target tolerates from all instances together.
    pub max_cold_requests_per_s: f64,
    /// Number of requests that a target executes concurrently; `None` if not configured.
    pub slots: Option<u32>,
    /// Number of tokens of requests in execution for which a target has memory; `None` if not
    /// configured.
    pub token_capacity: Option<u64>,
    /// Properties of a stage service; `None` for a service that computes no stages.
    pub stage: Option<StageServiceSpec>,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time within which a request head has to arrive.
    pub header_timeout_ms: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: Millis,
}

impl Default for ClientLimits {
    /// Returns the strict limits that apply until a configuration is received.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// A customer whose API keys authorise requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name that is sent to targets.
    pub name: String,
    /// Priority of its requests, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Organisations by API key; `None` if the configuration has no organisations, in which case no
    /// request needs a key.
    pub organisations_by_key: Option<BTreeMap<String, OrganisationSpec>>,
    /// Limits on client requests and connections.
    pub client_limits: ClientLimits,
}

/// The entry that a target publishes about itself in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identifier of the target; most restarts change it.
    pub id: String,
    /// Value that identifies the current run of the target, if it publishes one; a different value
    /// means that the target was restarted.
    pub incarnation: Option<u64>,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address on which the target listens.
    pub address: SocketAddrV4,
    /// Failure domain of the target.
    pub failure_domain: String,
    /// Number of requests that the target executes concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub accepts_work: bool,
    /// How long the target stays cold, counted from when it wrote the entry.
    pub cold_remaining_ms: Millis,
    /// Version of the target's software, if it publishes one.
    pub version: Option<String>,
}
