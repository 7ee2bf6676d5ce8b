//! Decisions about single requests: routing, retries, limits and admission.
//!
//! The modules are deterministic and do no I/O: the caller passes in the time and random numbers.
//! Targets, organisations and instances are identified by the typed indices of
//! [`arbutus_coord::entity`].

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod circuit_breaker;
pub mod hedge;
pub mod latency;
pub mod limit_share;
pub mod limits;
pub mod quarantine;
pub mod retry;
pub mod serving;
pub mod stage_budget;
pub mod stream;
