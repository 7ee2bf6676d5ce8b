//! The load generator: sends open-loop requests, checks the responses and injects faults.

pub mod arrivals;
pub mod bookings;
pub mod checked_request;
pub mod cost;
pub mod deployment;
pub mod event;
pub mod load_balancer;
pub mod run;
pub mod scenario;
