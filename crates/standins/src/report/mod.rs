//! Reports of a run: a summary in JSON, a text table and a plot.

pub mod group;
pub mod plot;
pub mod summary;
pub mod text;
