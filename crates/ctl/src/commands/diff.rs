//! `diff`: compares configuration files with a committed configuration field by field.

use std::path::Path;

use serde_json::json;

use crate::command_error::CommandError;
use crate::commands::history;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::print_json;
use crate::options::print_text;
use crate::platform_client::PlatformClient;
use arbutus_config::committed::read_sources;
use arbutus_config::difference::FieldDifference;
use arbutus_config::difference::compare_sources;

const USAGE: &str = "diff --platform ADDR [--generation N] [--json] DIRECTORY";
const SUMMARY: &str =
    "Compares the files in DIRECTORY with the committed configuration, or with an earlier
generation, and prints each field whose value differs. Comments and formatting are
ignored. The exit status is 0 whether or not there are differences.";

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_platform()
        .with_value("generation", "compare with this generation", "N")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let platform = PlatformClient::new(arguments.platform_address()?);
    let sources = read_sources(Path::new(directory))?;
    let record = match arguments.number("generation")? {
        Some(generation) => Some(history::load(&platform, generation)?),
        None => platform.current_config()?.map(|current| current.config),
    };
    let Some(record) = record else {
        return Err(CommandError::failed("no configuration is committed yet"));
    };
    let differences = compare_sources(&record.sources(), &sources)
        .map_err(|errors| CommandError::failed(errors.to_string()))?;
    if arguments.wants_json() {
        return print_json(&json!({
            "generation": record.generation,
            "differences": differences,
        }));
    }
    print_text(&render(record.generation, &differences))
}

fn render(generation: u64, differences: &[FieldDifference]) -> String {
    if differences.is_empty() {
        return format!("no field differs from generation {generation}");
    }
    let mut lines = vec![format!("differences from generation {generation}:")];
    for difference in differences {
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
