//! `check`: all checks of configuration files, without any connection.

use std::path::Path;

use serde::Serialize;
use serde_json::json;

use crate::failure::Failure;
use crate::failure::Report;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_config::ConfigError;
use arbutus_config::ValidationErrors;
use arbutus_config::committed::read_sources;

const SUMMARY: &str = "Checks base.yaml and overlays/*.yaml in DIRECTORY for every site. Prints all
faults, each with file, line and path of the field.";

#[derive(Serialize)]
struct ErrorJson<'a> {
    file: &'a str,
    line: usize,
    path: &'a str,
    reason: &'a str,
}

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new("check [--json] DIRECTORY", SUMMARY).with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let sources = read_sources(Path::new(directory))?;
    let sites = sources.overlays.len();
    let metadata = arbutus_config::CommitMetadata::default();
    match arbutus_config::CommittedConfig::new(&sources, metadata) {
        Ok(_) if arguments.json() => print_json(&json!({"valid": true, "faults": []})),
        Ok(_) => print_text(&format!(
            "{directory}: the base and {sites} overlays are valid"
        )),
        Err(ConfigError::Invalid(errors)) if arguments.json() => Err(Failure::Reported(Report {
            text: summary(&errors),
            json: json!({"valid": false, "faults": error_list(&errors)}),
        })),
        Err(ConfigError::Invalid(errors)) => {
            Err(Failure::refused(format!("{}\n{errors}", summary(&errors))))
        }
        Err(error) => Err(error.into()),
    }
}

fn summary(errors: &ValidationErrors) -> String {
    match errors.len() {
        1 => "the configuration has a fault".to_owned(),
        count => format!("the configuration has {count} faults"),
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
