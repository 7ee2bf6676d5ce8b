//! The load generator: open-loop arrivals, callers that check their answers, and events.

pub mod arrivals;
pub mod balancer;
pub mod bookings;
pub mod caller;
pub mod cost;
pub mod deployment;
pub mod event;
pub mod run;
pub mod scenario;
