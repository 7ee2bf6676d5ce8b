//! Decisions about client requests: routes, targets, limits, stages and streams.
//!
//! All modules are deterministic and perform no I/O. [`model`] defines the configuration and the
//! targets; the adapter of the platform decodes the platform's documents into these types.
//!
//! Some requests need the results of other services before they can be executed. Each such service
//! executes one stage of the request, and a stage consists of pieces: units of work with one result
//! each, which targets compute independently of each other.

pub mod admission;
pub mod batch;
pub mod cold_targets;
pub mod crash_quarantine;
pub mod event_splitter;
pub mod first_event;
pub mod leaving_targets;
pub mod model;
pub mod ownership;
pub mod pending_watch;
pub mod placement;
pub mod prompt_quarantine;
pub mod request_durations;
pub mod retry_budget;
pub mod rollout;
pub mod routes;
pub mod stage_graph;
pub mod store_role;
pub mod target_advisor;
pub mod target_backoff;
pub mod target_directory;
pub mod target_limits;
pub mod target_pace;
pub mod target_ramp;
pub mod target_selection;
pub mod target_view;
pub mod target_work;
