//! The decisions of the path that serves clients, without network and time.

mod admission;
mod batches;
mod choice;
mod directory;
mod events;
mod following;
mod graph;
mod limits;
mod ownership;
mod placement;
mod room;
mod routes;
mod support;
