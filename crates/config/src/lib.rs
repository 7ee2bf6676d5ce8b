//! Settings of an instance, and the configuration of a deployment with its site overlays.

pub mod deployment;
pub mod settings;

pub use deployment::Deployment;
pub use settings::Settings;
