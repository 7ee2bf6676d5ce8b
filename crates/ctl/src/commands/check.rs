//! `check`: validates configuration files without a connection to the platform or an instance.

use std::path::Path;

use serde::Serialize;
use serde_json::json;

use crate::command_error::CommandError;
use crate::command_error::JsonReport;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_config::ConfigError;
use arbutus_config::ValidationErrors;
use arbutus_config::committed::read_sources;

const SUMMARY: &str =
    "Validates base.yaml and overlays/*.yaml in DIRECTORY for every site. Prints all
errors, each with the file, line and path of the field.";

#[derive(Serialize)]
struct ErrorJson<'a> {
    file: &'a str,
    line: usize,
    path: &'a str,
    reason: &'a str,
}

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new("check [--json] DIRECTORY", SUMMARY).with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let sources = read_sources(Path::new(directory))?;
    let overlay_count = sources.overlays.len();
    // Creating a record validates the files and also checks its size.
    let metadata = arbutus_config::CommitMetadata::default();
    match arbutus_config::CommittedConfig::new(&sources, metadata) {
        Ok(_) if arguments.wants_json() => print_json(&json!({"valid": true, "faults": []})),
        Ok(_) => print_text(&format!(
            "{directory}: the base and {overlay_count} overlays are valid"
        )),
        Err(ConfigError::Invalid(errors)) if arguments.wants_json() => {
            Err(CommandError::FailedWithJson(JsonReport {
                text: summary(&errors),
                json: json!({"valid": false, "faults": error_list(&errors)}),
            }))
        }
        Err(ConfigError::Invalid(errors)) => Err(CommandError::failed(format!(
            "{}\n{errors}",
            summary(&errors)
        ))),
        Err(error) => Err(error.into()),
    }
}

fn summary(errors: &ValidationErrors) -> String {
    match errors.len() {
        1 => "the configuration has 1 error".to_owned(),
        count => format!("the configuration has {count} errors"),
    }
}

fn error_list(errors: &ValidationErrors) -> Vec<ErrorJson<'_>> {
    let errors = errors.iter().map(|error| ErrorJson {
        file: &error.file,
        line: error.line,
        path: &error.path,
        reason: &error.reason,
    });
    errors.collect()
}
