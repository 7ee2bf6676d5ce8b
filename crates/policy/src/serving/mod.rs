//! Decisions of the path that serves clients: routes, targets, limits, stages and streams.
//!
//! All parts are deterministic and without I/O. The model holds the configuration and the targets
//! as the platform's adapter decodes them.

pub mod admit;
pub mod batch;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod crashes;
pub mod directory;
pub mod events;
pub mod following;
pub mod graph;
pub mod model;
pub mod ownership;
pub mod placement;
pub mod routes;
