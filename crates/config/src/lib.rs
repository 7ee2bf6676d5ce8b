//! Settings of an instance, and the deployment configuration with its site overlays.
//!
//! An instance is one `arbutusd` process. The platform is an external system whose object API
//! stores the shared state of all instances.
//!
//! Operators write a base file, and an overlay for each site that differs from the base.
//! [`ConfigSources`] contains these files and merges them for a site. [`CommittedConfig`] is the
//! record that is stored in a platform object. A configuration with an error is rejected as a
//! whole, and every error is reported with its file, line and field path.

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
