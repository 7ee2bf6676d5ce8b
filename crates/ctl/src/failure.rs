//! How a command ends when it does not succeed.

use displaydoc::Display;
use getopts::Fail;
use serde_json::Value;

use arbutus_config::ConfigError;

/// Why a command did not succeed.
#[derive(Debug, Display)]
pub(crate) enum Failure {
    /// {0}
    Usage(String),
    /// {0}
    Refused(String),
    /// {0}
    Reported(Report),
}

// The doc comment is the message, because the failure shows only its text.
/// {text}
#[derive(Debug, Display)]
pub(crate) struct Report {
    /// The failure in words.
    pub(crate) text: String,
    /// The failure as JSON.
    pub(crate) json: Value,
}

impl std::error::Error for Failure {}

impl Failure {
    pub(crate) fn usage(text: impl Into<String>) -> Self {
        Self::Usage(text.into())
    }

    pub(crate) fn refused(text: impl Into<String>) -> Self {
        Self::Refused(text.into())
    }
}

impl From<Fail> for Failure {
    fn from(fail: Fail) -> Self {
        Self::Usage(fail.to_string())
    }
}

impl From<ConfigError> for Failure {
    fn from(error: ConfigError) -> Self {
        Self::Refused(error.to_string())
    }
}
