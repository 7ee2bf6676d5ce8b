//! The daemon that runs one instance.
//!
//! The daemon is a shell around the state machines of `arbutus-coord` and `arbutus-policy`: it
//! owns the threads and sockets, and passes time, messages and answers to them.

pub mod admin;
pub mod claims;
pub mod connection_waker;
pub mod directory;
pub mod dispatch;
pub mod events;
pub mod forwarding;
pub mod gossip;
pub mod grants;
pub mod hedge;
pub mod http;
pub mod lifecycle;
pub mod limits;
pub mod local_attempt;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod owner;
pub mod peer;
pub mod pipeline;
pub mod platform;
pub mod problem;
pub mod request;
pub mod response;
pub mod service_routing;
pub mod slot_queue;
pub mod slots;
pub mod stage;
pub mod stage_times;
pub mod status;
pub mod stop;
pub mod supervisor;
pub mod target_client;
pub mod watcher;
