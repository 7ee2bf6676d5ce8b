//! Settings of one instance, read once at start.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The settings of one instance, as written in its settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, unique within the deployment.
    pub name: String,
    /// The name of the deployment. Messages from instances of another deployment are dropped.
    pub cluster: String,
    /// The site of the instance, which selects the overlay.
    pub site: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The address of the HTTP listener for clients and operators.
    pub http_address: SocketAddr,
    /// The address of the listeners for other instances: gossip over UDP, peer calls over TCP.
    pub peer_address: SocketAddr,
    /// The address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Peer addresses of instances to contact before the instance list of the platform is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether tests may simulate a network partition of the instance through the operator
    /// interface.
    #[serde(default)]
    pub fault_injection: bool,
    /// The maximum size of a request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// The maximum number of requests that are handled concurrently.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
}

const DEFAULT_MAX_BODY_BYTES: usize = 256 * 1024;
const DEFAULT_MAX_REQUESTS: usize = 1024;

fn default_max_body_bytes() -> usize {
    DEFAULT_MAX_BODY_BYTES
}

fn default_max_requests() -> usize {
    DEFAULT_MAX_REQUESTS
}
