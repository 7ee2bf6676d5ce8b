//! Coordination protocols for a serving system whose instances all have the same role.
//!
//! Each protocol is a deterministic state machine without I/O: it takes the current time and an
//! input, and returns outputs that the caller carries out. Nothing here opens a socket, starts a
//! thread or reads a clock, except for [`clock::Clock`], which callers use to obtain the time that
//! they pass in.

pub mod claim;
pub mod clock;
pub mod document;
pub mod drain;
pub mod entity;
pub mod gossip;
pub mod grant;
pub mod lease;
pub mod membership;
pub mod rendezvous;

pub use clock::Clock;
pub use clock::Millis;
