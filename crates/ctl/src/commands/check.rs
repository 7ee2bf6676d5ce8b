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
use arbutus_config::Faults;
use arbutus_config::committed::read_texts;

const SUMMARY: &str = "Checks base.yaml and overlays/*.yaml in DIRECTORY for every site. Prints all
faults, each with file, line and path of the field.";

#[derive(Serialize)]
struct FaultJson<'a> {
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
    let texts = read_texts(Path::new(directory))?;
    let sites = texts.overlays.len();
    let stamp = arbutus_config::Stamp::default();
    match arbutus_config::Committed::new(&texts, stamp) {
        Ok(_) if arguments.json() => print_json(&json!({"valid": true, "faults": []})),
        Ok(_) => print_text(&format!(
            "{directory}: the base and {sites} overlays are valid"
        )),
        Err(ConfigError::Invalid(faults)) if arguments.json() => Err(Failure::Reported(Report {
            text: summary(&faults),
            json: json!({"valid": false, "faults": fault_list(&faults)}),
        })),
        Err(ConfigError::Invalid(faults)) => {
            Err(Failure::refused(format!("{}\n{faults}", summary(&faults))))
        }
        Err(error) => Err(error.into()),
    }
}

fn summary(faults: &Faults) -> String {
    match faults.len() {
        1 => "the configuration has a fault".to_owned(),
        count => format!("the configuration has {count} faults"),
    }
}

fn fault_list(faults: &Faults) -> Vec<FaultJson<'_>> {
    let faults = faults.iter().map(|fault| FaultJson {
        file: &fault.file,
        line: fault.line,
        path: &fault.path,
        reason: &fault.reason,
    });
    faults.collect()
}
