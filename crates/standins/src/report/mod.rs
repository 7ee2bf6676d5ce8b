//! Reports of a run: a JSON summary, a text table and a plot.

pub mod plot;
pub mod request_stats;
pub mod summary;
pub mod text;
