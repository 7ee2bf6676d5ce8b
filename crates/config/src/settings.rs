//! Settings of one instance, read once at start.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's unique name.
    pub name: String,
    /// The name of the deployment; messages of other deployments are dropped.
    pub cluster: String,
    /// The site, which selects the overlay.
    pub site: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The address for callers and operators (HTTP).
    pub http_address: SocketAddr,
    /// The address for other instances: gossip over UDP and peer calls over TCP.
    pub peer_address: SocketAddr,
    /// The address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Peer addresses of instances to contact before the platform's list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether tests may cut the instance off from others through the operators' interface.
    #[serde(default)]
    pub fault_injection: bool,
    /// The largest accepted request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// The largest number of requests that are handled at once.
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
