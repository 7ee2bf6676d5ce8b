//! Stand-ins for the systems around the instances, a load generator and a soak test.
//!
//! A stand-in is a small fake of the platform or of a target, for tests and measurements. The
//! daemon and the operator's tool use this crate in their tests only.
//!
//! Instances run in one of two environments, and there are stand-ins for both:
//! - `arbutusd --settings` uses the object API of [`platform`] and the targets of [`target`];
//!   [`fleet`] starts all of them as processes.
//! - `arbutusd --platform` runs on the users' platform, whose store and targets
//!   [`simulated_platform`] provides.

pub mod call_limiter;
pub mod calls;
pub mod client;
mod engine;
pub mod executions;
pub mod fleet;
pub mod generated_text;
pub mod http;
pub mod loadgen;
pub mod platform;
pub mod platform_faults;
pub mod process;
pub mod report;
pub mod simulated_platform;
pub mod soak;
pub mod sse;
pub mod store;
pub mod target;
pub mod target_faults;
pub mod usage;
