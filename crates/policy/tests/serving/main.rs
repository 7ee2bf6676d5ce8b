//! Tests of the decisions about client requests, without network or real time.

mod admission;
mod batch_domains;
mod batches;
mod event_splitter;
mod first_event;
mod leaving_targets;
mod limits;
mod ownership;
mod pending_watch;
mod placement;
mod prompt_quarantine;
mod request_durations;
mod result_space;
mod routes;
mod stage_graph;
mod store_role;
mod support;
mod target_backoff;
mod target_directory;
mod target_limits;
mod target_model;
mod target_pace;
mod target_ramp;
mod target_ramp_rules;
mod target_selection;
