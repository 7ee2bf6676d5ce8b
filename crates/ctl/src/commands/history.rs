//! `history`: lists committed generations, or restores the files of a generation.

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::command_error::CommandError;
use crate::config_history;
use crate::config_history::HISTORY_SLOTS;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::format_table;
use crate::options::print_json;
use crate::options::print_text;
use crate::platform_client::PlatformClient;
use arbutus_config::CommittedConfig;
use arbutus_config::schema::is_valid_name;
use arbutus_coord::Clock;
use arbutus_coord::Millis;

const USAGE: &str = "history --platform ADDR [--limit N] [--json]
       arbutusctl history --platform ADDR --generation N --output DIRECTORY";
const SUMMARY: &str =
    "Lists the committed configuration and the generations that it replaced, the latest
first; 32 replaced generations are kept. With --generation and --output, writes the
files of a generation into a new directory, from which `apply` can commit them again.";

const DEFAULT_LIMIT: u64 = 10;

#[derive(Serialize)]
struct HistoryEntry {
    generation: u64,
    parent: u64,
    author: String,
    wall_ms: u64,
    comment: String,
    token: String,
    digest: String,
}

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_platform()
        .with_value(
            "limit",
            "maximum number of generations to list; 10 by default",
            "N",
        )
        .with_value("generation", "the generation whose files to restore", "N")
        .with_value(
            "output",
            "the directory to create for the files",
            "DIRECTORY",
        )
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [] = arguments.positional([])?;
    let platform = PlatformClient::new(arguments.platform_address()?);
    match (arguments.number("generation")?, arguments.value("output")) {
        (Some(generation), Some(output)) => {
            restore(&load(&platform, generation)?, Path::new(&output))
        }
        (None, None) => {
            let limit = arguments.number("limit")?.unwrap_or(DEFAULT_LIMIT);
            list(&platform, limit, arguments.wants_json())
        }
        _ => Err(CommandError::usage(
            "--generation and --output must be given together",
        )),
    }
}

/// Reads a generation from the history, or from the committed configuration if the history does not
/// contain it. Reading the history first also works while the committed configuration is damaged.
pub(super) fn load(
    platform: &PlatformClient,
    generation: u64,
) -> Result<CommittedConfig, CommandError> {
    let stored = config_history::load(platform, generation)
        .map_err(|error| CommandError::failed(format!("cannot read the history: {error}")))?;
    if let Some(stored) = stored {
        return Ok(stored);
    }
    let current = platform.current_config()?.map(|current| current.config);
    current
        .filter(|current| current.generation == generation)
        .ok_or_else(|| {
            CommandError::failed(format!("generation {generation} is not in the history"))
        })
}

fn list(platform: &PlatformClient, limit: u64, json: bool) -> CommandResult {
    let mut entries = Vec::new();
    if let Some(current) = platform.current_config()? {
        let latest = current.config.generation;
        let before_oldest = latest.saturating_sub(limit.min(HISTORY_SLOTS + 1));
        entries.push(history_entry(current.config));
        for generation in (before_oldest + 1..latest).rev() {
            let stored = config_history::load(platform, generation).map_err(|error| {
                CommandError::failed(format!("cannot read the history: {error}"))
            })?;
            entries.extend(stored.map(history_entry));
        }
    }
    entries.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    if json {
        return print_json(&entries);
    }
    let rows: Vec<[String; 5]> = entries
        .into_iter()
        .map(|entry| {
            [
                entry.generation.to_string(),
                format_age(entry.wall_ms),
                entry.author,
                entry.token,
                entry.comment,
            ]
        })
        .collect();
    print_text(&format_table(
        ["GENERATION", "AGE", "AUTHOR", "TOKEN", "COMMENT"],
        &rows,
    ))
}

fn history_entry(record: CommittedConfig) -> HistoryEntry {
    HistoryEntry {
        generation: record.generation,
        parent: record.parent,
        author: record.author,
        wall_ms: record.wall_ms.0,
        comment: record.comment,
        token: record.token,
        digest: record.digest,
    }
}

/// Writes the files of a record into a directory that does not exist yet.
fn restore(record: &CommittedConfig, directory: &Path) -> CommandResult {
    let write_error = |error: std::io::Error| {
        CommandError::failed(format!("cannot write to {}: {error}", directory.display()))
    };
    if let Some(site) = record.overlays.keys().find(|site| !is_valid_name(site)) {
        return Err(CommandError::failed(format!(
            "`{site}` is not a valid site name"
        )));
    }
    fs::create_dir(directory).map_err(write_error)?;
    fs::write(directory.join("base.yaml"), &record.base).map_err(write_error)?;
    let overlays = directory.join("overlays");
    fs::create_dir(&overlays).map_err(write_error)?;
    for (site, text) in &record.overlays {
        fs::write(overlays.join(format!("{site}.yaml")), text).map_err(write_error)?;
    }
    print_text(&format!(
        "generation {} written to {}",
        record.generation,
        directory.display()
    ))
}

/// Formats the time since a commit in the largest unit that does not exceed it, such as `3 h`.
fn format_age(wall_ms: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(86_400, "d"), (3_600, "h"), (60, "min")];
    let seconds = (Clock::unix_time() - Millis(wall_ms)).0 / 1_000;
    let unit = UNITS.iter().find(|&&(size, _)| seconds >= size);
    let (size, name) = unit.copied().unwrap_or((1, "s"));
    format!("{} {name}", seconds / size)
}
