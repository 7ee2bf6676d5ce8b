//! `diff`: compares files with a committed configuration by field.

use std::path::Path;

use serde_json::json;

use crate::commands::history;
use crate::failure::Failure;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use crate::platform::Platform;
use arbutus_config::committed::read_sources;
use arbutus_config::difference::FieldDifference;
use arbutus_config::difference::compare_sources;

const USAGE: &str = "diff --platform ADDR [--generation N] [--json] DIRECTORY";
const SUMMARY: &str =
    "Compares the files in DIRECTORY with the committed configuration, or with an earlier
generation, and prints each field whose value differs. Comments and layout make no
difference. The exit status is 0 whether or not there are differences.";

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_platform()
        .with_value("generation", "compare with this generation", "N")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let platform = Platform::new(arguments.platform()?);
    let sources = read_sources(Path::new(directory))?;
    let record = match arguments.number("generation")? {
        Some(generation) => Some(history::load(&platform, generation)?),
        None => platform.current()?.map(|current| current.committed),
    };
    let Some(record) = record else {
        return Err(Failure::refused("no configuration is committed yet"));
    };
    let found = compare_sources(&record.sources(), &sources)
        .map_err(|errors| Failure::refused(errors.to_string()))?;
    if arguments.json() {
        return print_json(&json!({
            "generation": record.generation,
            "differences": found,
        }));
    }
    print_text(&render(record.generation, &found))
}

fn render(generation: u64, found: &[FieldDifference]) -> String {
    if found.is_empty() {
        return format!("no field differs from generation {generation}");
    }
    let mut lines = vec![format!("differences from generation {generation}:")];
    for difference in found {
        let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "(absent)".to_owned());
        lines.push(format!(
            "{}: {}: {} -> {}",
            difference.part,
            difference.path,
            value(&difference.before),
            value(&difference.after)
        ));
    }
    lines.join("\n")
}
