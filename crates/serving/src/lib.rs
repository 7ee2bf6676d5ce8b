//! Network layer of an instance: connections to clients, targets, peers and the store.
//!
//! Everything runs on one thread, except that a second thread writes the log.
//! `arbutus_policy::serving` makes the decisions; `arbutus_platform` holds the names and formats of
//! the protocol of the platform that an instance serves on. A request passes through [`frontend`]
//! (client connections), [`request`] (route, API key, deadline), [`stages`] (preprocessing on stage
//! services), [`dispatch`] (selection of a target and retries) and, for a streamed response,
//! [`stream`].

pub mod announce;
pub mod background;
pub mod body;
pub mod client_limits;
pub mod client_memory;
pub mod connection;
pub mod crashes;
pub mod dispatch;
pub mod exchange;
pub mod follow_state;
pub mod frontend;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod observed_stream;
pub mod peer;
pub mod peer_frames;
pub mod peer_messages;
pub mod peer_server;
pub mod pool;
pub mod readiness;
pub mod request;
pub mod response;
pub mod rollouts;
pub mod run;
pub mod shared;
pub mod stage_client;
pub mod stage_queues;
pub mod stages;
pub mod store;
pub mod store_version;
pub mod stream;
pub mod submitter_guard;
pub mod target_attempt;
pub mod target_choice;
pub mod target_notices;
pub mod target_reports;
pub mod update;
pub mod watch;
pub mod watcher_selection;
