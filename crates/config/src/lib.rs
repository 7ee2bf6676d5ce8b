//! Settings of an instance, and the configuration of a deployment with its site overlays.
//!
//! Operators write one base file and an overlay for each site. [`Texts`] holds the texts and
//! resolves them for a site, [`Committed`] is the record that the platform stores. Nothing is
//! half applied: an error names every fault with its file, line and path.

pub mod committed;
pub mod deployment;
pub mod difference;
mod limits;
pub mod overlay;
pub mod path;
pub mod resolve;
pub mod schema;
pub mod sections;
pub mod settings;
pub mod source;
mod validate;
pub mod validation_error;

pub use committed::CommitMetadata;
pub use committed::CommittedConfig;
pub use committed::ConfigError;
pub use deployment::Deployment;
pub use resolve::ConfigSources;
pub use settings::Settings;
pub use source::Source;
pub use validation_error::ValidationError;
pub use validation_error::ValidationErrors;
