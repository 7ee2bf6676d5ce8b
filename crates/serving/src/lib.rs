//! The shell that serves clients on the users' platform.
//!
//! One thread runs everything. Decisions are made by `arbutus_policy::serving`; names and formats
//! of the platform stay in `arbutus_platform`. A request goes through [`frontend`] (connections),
//! [`request`] (route, key, deadline), [`stages`] (work before it), [`dispatch`] (targets) and
//! [`stream`] or a whole answer.

pub mod announce;
pub mod answer;
pub mod background;
pub mod connection;
pub mod dispatch;
pub mod frontend;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod owner;
pub mod peer;
pub mod pool;
pub mod readiness;
pub mod request;
pub mod role;
pub mod run;
pub mod shared;
pub mod stage_client;
pub mod stages;
pub mod store;
pub mod stream;
pub mod update;
pub mod watch;
