//! `apply`: commits a configuration, and optionally waits until it is in effect at all instances.

use std::collections::BTreeMap;
use std::env;
use std::path::Path;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::command_error::CommandError;
use crate::command_error::JsonReport;
use crate::commit::CommitOutcome;
use crate::commit::commit;
use crate::config_history;
use crate::instance_client::InstanceClient;
use crate::options::Arguments;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::print_json;
use crate::options::print_text;
use crate::platform_client::CurrentConfig;
use crate::platform_client::PlatformClient;
use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_config::ConfigError;
use arbutus_config::ConfigSources;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_config::committed::read_sources;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_wire::admin::MemberState;
use arbutus_wire::admin::Status;

const USAGE: &str = "apply --platform ADDR [OPTIONS] DIRECTORY";
const SUMMARY: &str =
    "Validates the configuration in DIRECTORY and commits it as the next generation with one
conditional write. The outcome is one of

    accepted    it is committed; instances apply it within seconds
    unchanged   the same files are already committed
    conflict    another operator committed first, or --parent is not the committed
                generation; nothing was changed
    unknown     the platform did not confirm in time whether it is committed

The exit status is 0 for `accepted` and `unchanged`, otherwise 1. With --wait it is also
1 if not every live instance has reported the generation in time.";

const DEFAULT_TIMEOUT_MS: Millis = Millis(10_000);
const WAIT_POLL_MS: Millis = Millis(200);

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_platform()
        .with_instances()
        .with_value("parent", "the generation on which the files are based", "N")
        .with_value("author", "your name; the user name by default", "NAME")
        .with_value("comment", "why the configuration changes", "TEXT")
        .with_value(
            "timeout",
            "maximum time to determine the outcome; 10 by default",
            "SECONDS",
        )
        .with_value(
            "wait",
            "wait until every live instance reports the generation",
            "SECONDS",
        )
        .with_flag(
            "replace-damaged",
            "replace a committed configuration that cannot be read; requires --parent",
        )
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let wait_ms = arguments.duration_ms("wait")?;
    let instances = InstanceClient::new(arguments.optional_instance_addresses()?);
    if wait_ms.is_some() && instances.is_empty() {
        return Err(CommandError::usage("--wait requires the option --instance"));
    }
    let platform = PlatformClient::new(arguments.platform_address()?);
    let generation = commit_files(&arguments, &platform, &instances, Path::new(directory))?;
    match wait_ms {
        Some(wait_ms) => {
            wait_until_in_effect(&instances, generation, wait_ms, arguments.wants_json())
        }
        None => Ok(()),
    }
}

/// Commits the files and returns the generation that contains them.
fn commit_files(
    arguments: &Arguments,
    platform: &PlatformClient,
    instances: &InstanceClient,
    directory: &Path,
) -> Result<u64, CommandError> {
    let sources = read_sources(directory)?;
    sources.validate().map_err(ConfigError::from)?;
    if arguments.has_flag("replace-damaged") {
        return replace_damaged(arguments, platform, &sources);
    }
    let current = platform.current_config()?;
    let parent = current
        .as_ref()
        .map_or(0, |current| current.config.generation);
    check_parent(arguments.number("parent")?, parent, current.as_ref())?;
    let reported = highest_reported_generation(instances);
    if reported > parent {
        eprintln!(
            "arbutusctl: instances report generation {reported}, the platform has {parent}: the \
             platform has lost a write, and only a generation above {reported} can take effect"
        );
    } else if let Some(current) = &current
        && has_same_sources(&current.config, &sources)
    {
        let detail = "the same files are already committed";
        print_outcome(arguments, "unchanged", parent, detail)?;
        return Ok(parent);
    }
    let metadata = CommitMetadata {
        generation: parent.max(reported) + 1,
        parent,
        ..new_metadata(arguments)
    };
    let record = CommittedConfig::new(&sources, metadata)?;
    if let Some(current) = &current {
        record.check_successor_of(&current.config)?;
        config_history::store(platform, &current.config).map_err(|error| {
            CommandError::failed(format!(
                "nothing was changed: cannot store generation {parent} in the history: {error}"
            ))
        })?;
    }
    let version = current.map(|current| current.version);
    commit_record(arguments, platform, version, &record)
}

/// Replaces a configuration object that is not a valid record. Its generation is unknown, so the
/// operator has to provide it with `--parent`.
fn replace_damaged(
    arguments: &Arguments,
    platform: &PlatformClient,
    sources: &ConfigSources,
) -> Result<u64, CommandError> {
    let parent = arguments.number("parent")?.ok_or_else(|| {
        CommandError::usage(
            "--replace-damaged requires --parent with the generation that the instances report",
        )
    })?;
    let object = platform
        .get(CONFIG_KEY)
        .map_err(|error| CommandError::failed(format!("nothing was changed: {error}")))?;
    let Some(object) = object.filter(|object| CommittedConfig::from_value(&object.value).is_err())
    else {
        return Err(CommandError::failed(
            "nothing was changed: the committed configuration is not damaged",
        ));
    };
    let metadata = CommitMetadata {
        generation: parent + 1,
        parent,
        ..new_metadata(arguments)
    };
    let record = CommittedConfig::new(sources, metadata)?;
    commit_record(arguments, platform, Some(object.version), &record)
}

fn commit_record(
    arguments: &Arguments,
    platform: &PlatformClient,
    version: Option<u64>,
    record: &CommittedConfig,
) -> Result<u64, CommandError> {
    let timeout_ms = arguments
        .duration_ms("timeout")?
        .unwrap_or(DEFAULT_TIMEOUT_MS);
    let outcome = commit(platform, version, record, timeout_ms);
    report_outcome(arguments, record, outcome)
}

/// Returns the highest generation that an instance reports, or 0 if none responds.
fn highest_reported_generation(instances: &InstanceClient) -> u64 {
    let live = live_generations(&instances.collect_statuses());
    live.into_values().max().unwrap_or(0)
}

/// Returns a conflict if `--parent` is given and is not the committed generation.
fn check_parent(
    expected: Option<u64>,
    parent: u64,
    current: Option<&CurrentConfig>,
) -> Result<(), CommandError> {
    if expected.is_none_or(|expected| expected == parent) {
        return Ok(());
    }
    let author = current.map_or("nobody", |current| current.config.author.as_str());
    Err(conflict_error(author, parent))
}

fn has_same_sources(committed: &CommittedConfig, sources: &ConfigSources) -> bool {
    let overlay_texts = sources.overlays.iter();
    let overlays: BTreeMap<&str, &str> = overlay_texts
        .map(|(site, source)| (site.as_str(), source.text()))
        .collect();
    let committed_overlays: BTreeMap<&str, &str> = committed
        .overlays
        .iter()
        .map(|(site, text)| (site.as_str(), text.as_str()))
        .collect();
    committed.base == sources.base.text() && committed_overlays == overlays
}

/// Returns the metadata of a new attempt to commit, without its generation and parent.
fn new_metadata(arguments: &Arguments) -> CommitMetadata {
    let user = || env::var("USER").unwrap_or_else(|_error| "unknown".to_owned());
    CommitMetadata {
        author: arguments.value("author").unwrap_or_else(user),
        token: format!("{:032x}", rand::random::<u128>()),
        wall_ms: Clock::unix_time(),
        comment: arguments.value("comment").unwrap_or_default(),
        ..CommitMetadata::default()
    }
}

fn report_outcome(
    arguments: &Arguments,
    record: &CommittedConfig,
    outcome: CommitOutcome,
) -> Result<u64, CommandError> {
    let generation = record.generation;
    match outcome {
        CommitOutcome::Accepted => {
            let detail = format!(
                "generation {generation} replaces generation {}",
                record.parent
            );
            print_outcome(arguments, "accepted", generation, &detail)?;
            Ok(generation)
        }
        CommitOutcome::Replaced { by } => {
            let detail = format!("generation {generation} is already replaced by generation {by}");
            print_outcome(arguments, "accepted", generation, &detail)?;
            Ok(generation)
        }
        CommitOutcome::Conflict { author, generation } => Err(conflict_error(&author, generation)),
        CommitOutcome::NotCommitted(reason) => Err(CommandError::failed(format!(
            "nothing was changed: {reason}"
        ))),
        CommitOutcome::Unknown(reason) => Err(unknown_outcome_error(record, &reason)),
    }
}

fn print_outcome(
    arguments: &Arguments,
    outcome: &str,
    generation: u64,
    detail: &str,
) -> CommandResult {
    if arguments.wants_json() {
        return print_json(&json!({
            "outcome": outcome,
            "generation": generation,
            "detail": detail,
        }));
    }
    print_text(&format!("{outcome}: {detail}"))
}

fn conflict_error(author: &str, generation: u64) -> CommandError {
    failed_with_json(
        format!(
            "conflict: nothing was changed, {author} has committed generation {generation}; \
             compare with `arbutusctl diff` and apply again"
        ),
        json!({"outcome": "conflict", "generation": generation, "author": author}),
    )
}

fn unknown_outcome_error(record: &CommittedConfig, reason: &str) -> CommandError {
    failed_with_json(
        format!(
            "unknown: the platform did not confirm whether generation {} with the token {} is \
             committed ({reason}); look for the token in `arbutusctl history`",
            record.generation, record.token
        ),
        json!({
            "outcome": "unknown",
            "generation": record.generation,
            "token": record.token,
            "detail": reason,
        }),
    )
}

fn failed_with_json(text: String, json: Value) -> CommandError {
    CommandError::FailedWithJson(JsonReport { text, json })
}

/// Waits until every live instance reports the generation or a later one.
fn wait_until_in_effect(
    instances: &InstanceClient,
    generation: u64,
    wait_ms: Millis,
    json: bool,
) -> CommandResult {
    let started = Instant::now();
    loop {
        let statuses = instances.collect_statuses();
        let live = live_generations(&statuses);
        let lagging: Vec<&str> = live
            .iter()
            .filter(|&(_, &reported)| reported < generation)
            .map(|(name, _)| name.as_str())
            .collect();
        if !live.is_empty() && lagging.is_empty() {
            let elapsed_ms = Millis::from(started.elapsed());
            let text = format!(
                "in effect: {} live instances report generation {generation} after {elapsed_ms}",
                live.len()
            );
            if json {
                eprintln!("{text}");
                return Ok(());
            }
            return print_text(&text);
        }
        if started.elapsed() >= wait_ms.to_duration() {
            let detail = match live.len() {
                0 => "no instance answered".to_owned(),
                _ => format!("not yet reported by {}", lagging.join(", ")),
            };
            return Err(CommandError::failed(format!(
                "generation {generation} is committed, but not in effect everywhere after \
                 {wait_ms}: {detail}"
            )));
        }
        thread::sleep(WAIT_POLL_MS.to_duration());
    }
}

/// Returns the highest reported generation of each instance that is live according to at least one
/// status. A suspect instance may be live, so it is included.
fn live_generations(statuses: &[Status]) -> BTreeMap<String, u64> {
    let mut live = BTreeMap::new();
    let mut add = |name: &str, generation: u64| {
        let known = live.entry(name.to_owned()).or_insert(generation);
        *known = generation.max(*known);
    };
    for status in statuses {
        add(&status.instance, status.generation);
        for member in &status.members {
            if matches!(member.state, MemberState::Alive | MemberState::Suspect) {
                add(&member.name, member.generation);
            }
        }
    }
    live
}
