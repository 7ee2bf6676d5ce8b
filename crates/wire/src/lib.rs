//! Messages between instances, and the payloads of targets and of the platform.

pub mod admin;
pub mod header;
pub mod platform;
pub mod target;
