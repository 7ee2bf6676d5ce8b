//! Decisions of the path that serves clients: routes, targets, limits, stages and streams.
//!
//! All parts are deterministic and without I/O. The model holds the configuration and the targets
//! as the platform's adapter decodes them.

pub mod admission;
pub mod batch;
pub mod cold_targets;
pub mod crash_quarantine;
pub mod event_splitter;
pub mod model;
pub mod ownership;
pub mod placement;
pub mod retry_budget;
pub mod routes;
pub mod stage_graph;
pub mod store_role;
pub mod target_directory;
pub mod target_selection;
