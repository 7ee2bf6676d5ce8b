//! Stand-ins of the systems around the instances, and a load generator.
//!
//! The stand-ins are small fakes for tests and measurements. No product crate depends on them.

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
