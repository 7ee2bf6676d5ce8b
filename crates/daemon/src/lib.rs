//! The daemon that runs one instance.
//!
//! The state machines of `arbutus-coord` and `arbutus-policy` make the decisions and perform no
//! I/O. The daemon owns the threads and sockets, and passes the time, messages and responses to the
//! state machines.

pub mod admin;
pub mod claims;
pub mod connection_waker;
pub mod directory;
pub mod dispatch;
pub mod forwarding;
pub mod gossip;
pub mod gossip_handler;
pub mod grant_owners;
pub mod grants;
pub mod hedge;
pub mod http;
pub mod lifecycle;
pub mod limits;
pub mod local_attempt;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer;
pub mod pipeline;
pub mod platform_client;
pub mod problem;
pub mod request;
pub mod response;
pub mod service_routing;
pub mod slot_queue;
pub mod slots;
pub mod stage;
pub mod stage_times;
pub mod status;
pub mod stop_signal;
pub mod supervisor;
pub mod target_client;
pub mod watcher;
