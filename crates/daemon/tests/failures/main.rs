//! Guards against violated invariants when instances, targets or the platform fail.
//!
//! The tests run real processes on loopback. They use the programs of the workspace, so
//! `cargo build --workspace` has to come before `cargo test -p arbutusd`.

mod cold_targets;
mod configuration;
mod deployment;
mod drains;
mod refusals;
mod shutdown;
mod shutdown_intake;
mod streams;
