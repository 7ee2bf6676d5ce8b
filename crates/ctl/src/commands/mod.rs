//! The commands. Each has a module, except `undrain`, which is in [`drain`].

mod apply;
mod call;
mod check;
mod claims;
mod diff;
mod drain;
mod history;
mod status;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator;

use crate::options::CommandResult;

/// A command, by its name on the command line.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Command {
    Check,
    Apply,
    Diff,
    History,
    Status,
    Drain,
    Undrain,
    Claims,
    Call,
}

impl Command {
    pub(crate) fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }

    pub(crate) fn summary(self) -> &'static str {
        match self {
            Self::Check => "check configuration files",
            Self::Apply => "commit a configuration",
            Self::Diff => "compare files with the committed configuration",
            Self::History => "list earlier configurations, or restore their files",
            Self::Status => "show an instance, its members, drains, targets and limits",
            Self::Drain => "take a failure domain, an instance or a target out of service",
            Self::Undrain => "return a failure domain, an instance or a target to service",
            Self::Claims => "list and settle non-idempotent requests without a recorded outcome",
            Self::Call => "send a request to a pipeline",
        }
    }

    pub(crate) fn run(self, arguments: &[String]) -> CommandResult {
        match self {
            Self::Check => check::run(arguments),
            Self::Apply => apply::run(arguments),
            Self::Diff => diff::run(arguments),
            Self::History => history::run(arguments),
            Self::Status => status::run(arguments),
            Self::Drain => drain::run(arguments, true),
            Self::Undrain => drain::run(arguments, false),
            Self::Claims => claims::run(arguments),
            Self::Call => call::run(arguments),
        }
    }
}
