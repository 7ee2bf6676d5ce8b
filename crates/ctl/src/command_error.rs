//! Errors of commands.

use displaydoc::Display;
use getopts::Fail;
use serde_json::Value;

use arbutus_config::ConfigError;

/// Why a command failed.
#[derive(Debug, Display)]
pub(crate) enum CommandError {
    /// {0}
    Usage(String),
    /// {0}
    Failed(String),
    /// {0}
    FailedWithJson(JsonReport),
}

// The doc comment of the struct is its error text. The JSON form is printed separately.
/// {text}
#[derive(Debug, Display)]
pub(crate) struct JsonReport {
    /// The error text.
    pub(crate) text: String,
    /// The result that `--json` prints to standard output.
    pub(crate) json: Value,
}

impl std::error::Error for CommandError {}

impl CommandError {
    pub(crate) fn usage(text: impl Into<String>) -> Self {
        Self::Usage(text.into())
    }

    pub(crate) fn failed(text: impl Into<String>) -> Self {
        Self::Failed(text.into())
    }
}

impl From<Fail> for CommandError {
    fn from(fail: Fail) -> Self {
        Self::Usage(fail.to_string())
    }
}

impl From<ConfigError> for CommandError {
    fn from(error: ConfigError) -> Self {
        Self::Failed(error.to_string())
    }
}
