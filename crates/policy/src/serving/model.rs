//! The configuration and the targets of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use arbutus_coord::Millis;

/// What may be repeated when a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a series of events; the request runs at most once unless it may be resumed.
    Stream,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The name of the service.
    pub service: String,
    /// The share of the requests, relative to the sum over the route's destinations.
    pub weight: f64,
}

/// Work that has to be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// The service that does the work.
    pub service: String,
    /// The stages whose results this stage needs, by position.
    pub depends_on: Vec<usize>,
    /// The approximate size of one result.
    pub result_bytes: u64,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that the route belongs to, in lower case.
    pub host: String,
    /// The beginning of the paths of the route; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that requests are sent to.
    pub destinations: Vec<Destination>,
    /// The longest time that a request may be kept waiting.
    pub timeout_ms: Millis,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective_ms: Millis,
    /// The rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// The most targets that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests declare the parts of their prompt.
    pub declares_prompt_parts: bool,
    /// Whether a stream may be continued at another target.
    pub resumable: bool,
    /// The work before the request, by position.
    pub stages: Vec<StageSpec>,
}

impl Route {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Stream && self.resumable)
    }
}

/// What a stage service takes, for each of its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageServiceSpec {
    /// The calls that are worked on at the same time.
    pub slots: u32,
    /// The most pieces in a call.
    pub max_pieces_per_call: usize,
    /// The time that a call takes whatever it holds.
    pub call_overhead_ms: f64,
    /// The approximate time that a piece adds.
    pub ms_per_piece: f64,
    /// The space for results.
    pub result_space_bytes: u64,
    /// How long a result is kept after its call.
    pub result_retention_ms: Millis,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The path of the health check.
    pub health_path: String,
    /// The connections that a target accepts from all instances together.
    pub max_connections: u32,
    /// How long a target stays cold after its start.
    pub cold_duration_ms: Millis,
    /// The requests that a cold target tolerates in a second.
    pub max_cold_requests_per_s: f64,
    /// The calls that a target runs at once, where the configuration says so.
    pub slots: Option<u32>,
    /// Set where the service runs stages.
    pub stage: Option<StageServiceSpec>,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The largest head of a request.
    pub max_header_bytes: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The time within which a head has to arrive.
    pub header_timeout_ms: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: Millis,
}

impl Default for ClientLimits {
    /// Returns the limits before a configuration is known: small heads and bodies, short times.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// A customer on whose behalf requests are made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// The name that targets receive.
    pub name: String,
    /// The rank of its requests, which goes before that of the route.
    pub priority: Option<u32>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version, which rises.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// The organisation of each key; none where the configuration knows no organisations.
    pub organisations_by_key: Option<BTreeMap<String, OrganisationSpec>>,
    /// The limits on clients.
    pub client_limits: ClientLimits,
}

/// A target as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The identifier, which is new with most starts.
    pub id: String,
    /// The start of the target as it states it; another value is another lifetime.
    pub incarnation: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The failure domain that it is in.
    pub failure_domain: String,
    /// The calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// How much longer it stays cold, at the time of writing.
    pub cold_remaining_ms: Millis,
}
