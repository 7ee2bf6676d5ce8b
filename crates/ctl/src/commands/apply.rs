//! `apply`: commits a configuration, and can wait until it is in effect everywhere.

use std::collections::BTreeMap;
use std::env;
use std::path::Path;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::archive;
use crate::commit::CommitOutcome;
use crate::commit::commit;
use crate::failure::Failure;
use crate::failure::Report;
use crate::instance::Instances;
use crate::options::Arguments;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use crate::platform::Current;
use crate::platform::Platform;
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
    "Checks the configuration in DIRECTORY and commits it as the next generation by one
conditional write. Ends with one of

    accepted    it is committed; instances apply it within seconds
    unchanged   the same texts are committed already
    conflict    another operator committed first, or --parent is not the committed
                generation; nothing was changed
    unknown     the platform did not say in time whether it is committed

The exit status is 0 for `accepted` and `unchanged`, else 1. With --wait it is also 1
when the time passes before every live instance has reported the generation.";

const DEFAULT_TIMEOUT_MS: Millis = Millis(10_000);
const WAIT_POLL_MS: Millis = Millis(200);

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_platform()
        .with_instances()
        .with_value(
            "parent",
            "the generation that the files were made from",
            "N",
        )
        .with_value("author", "your name; the user name by default", "NAME")
        .with_value("comment", "why the configuration changes", "TEXT")
        .with_value(
            "timeout",
            "how long to find out the outcome; 10 by default",
            "SECONDS",
        )
        .with_value(
            "wait",
            "wait until every live instance reports the generation",
            "SECONDS",
        )
        .with_flag(
            "replace-damaged",
            "replace a committed configuration that cannot be read; needs --parent",
        )
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [directory] = arguments.positional(["DIRECTORY"])?;
    let wait_ms = arguments.seconds("wait")?;
    let instances = Instances::new(arguments.optional_instances()?);
    if wait_ms.is_some() && instances.is_empty() {
        return Err(Failure::usage("--wait needs the option --instance"));
    }
    let platform = Platform::new(arguments.platform()?);
    let generation = commit_files(&arguments, &platform, &instances, Path::new(directory))?;
    match wait_ms {
        Some(wait_ms) => wait_for(&instances, generation, wait_ms, arguments.json()),
        None => Ok(()),
    }
}

/// Commits the files and returns the generation that contains them.
fn commit_files(
    arguments: &Arguments,
    platform: &Platform,
    instances: &Instances,
    directory: &Path,
) -> Result<u64, Failure> {
    let sources = read_sources(directory)?;
    sources.validate().map_err(ConfigError::from)?;
    if arguments.flag("replace-damaged") {
        return replace_damaged(arguments, platform, &sources);
    }
    let current = platform.current()?;
    let parent = current
        .as_ref()
        .map_or(0, |current| current.committed.generation);
    check_parent(arguments.number("parent")?, parent, current.as_ref())?;
    let reported = highest_generation(instances);
    if reported > parent {
        eprintln!(
            "arbutusctl: instances report generation {reported}, the platform has {parent}: it \
             has lost a write, and a lower generation would never take effect"
        );
    } else if let Some(current) = &current
        && same_sources(&current.committed, &sources)
    {
        let detail = "these texts are committed already";
        report(arguments, "unchanged", parent, detail)?;
        return Ok(parent);
    }
    let metadata = CommitMetadata {
        generation: parent.max(reported) + 1,
        parent,
        ..metadata(arguments)
    };
    let record = CommittedConfig::new(&sources, metadata)?;
    if let Some(current) = &current {
        record.check_successor_of(&current.committed)?;
        archive::store(platform, &current.committed).map_err(|error| {
            Failure::refused(format!(
                "nothing was changed: cannot store generation {parent} in the history: {error}"
            ))
        })?;
    }
    let version = current.map(|current| current.version);
    commit_record(arguments, platform, version, &record)
}

/// Commits over an object that is no valid record, so that it has no generation to go by.
fn replace_damaged(
    arguments: &Arguments,
    platform: &Platform,
    sources: &ConfigSources,
) -> Result<u64, Failure> {
    let parent = arguments.number("parent")?.ok_or_else(|| {
        Failure::usage("--replace-damaged needs --parent with the generation of the instances")
    })?;
    let object = platform
        .get(CONFIG_KEY)
        .map_err(|error| Failure::refused(format!("nothing was changed: {error}")))?;
    let Some(object) = object.filter(|object| CommittedConfig::from_value(&object.value).is_err())
    else {
        return Err(Failure::refused(
            "nothing was changed: the committed configuration is not damaged",
        ));
    };
    let metadata = CommitMetadata {
        generation: parent + 1,
        parent,
        ..metadata(arguments)
    };
    let record = CommittedConfig::new(sources, metadata)?;
    commit_record(arguments, platform, Some(object.version), &record)
}

fn commit_record(
    arguments: &Arguments,
    platform: &Platform,
    version: Option<u64>,
    record: &CommittedConfig,
) -> Result<u64, Failure> {
    let timeout_ms = arguments.seconds("timeout")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    let outcome = commit(platform, version, record, timeout_ms);
    finish(arguments, record, outcome)
}

/// Returns the highest generation that an instance reports, or 0 when none answers.
fn highest_generation(instances: &Instances) -> u64 {
    let live = live_generations(&instances.all_statuses());
    live.into_values().max().unwrap_or(0)
}

fn check_parent(
    expected: Option<u64>,
    parent: u64,
    current: Option<&Current>,
) -> Result<(), Failure> {
    if expected.is_none_or(|expected| expected == parent) {
        return Ok(());
    }
    let author = current.map_or("nobody", |current| current.committed.author.as_str());
    Err(conflict(author, parent))
}

fn same_sources(committed: &CommittedConfig, sources: &ConfigSources) -> bool {
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

/// Returns the stamp of a new attempt, without its place in the history.
fn metadata(arguments: &Arguments) -> CommitMetadata {
    let user = || env::var("USER").unwrap_or_else(|_error| "unknown".to_owned());
    CommitMetadata {
        author: arguments.value("author").unwrap_or_else(user),
        token: format!("{:032x}", rand::random::<u128>()),
        wall_ms: Clock::unix_time(),
        comment: arguments.value("comment").unwrap_or_default(),
        ..CommitMetadata::default()
    }
}

fn finish(
    arguments: &Arguments,
    record: &CommittedConfig,
    outcome: CommitOutcome,
) -> Result<u64, Failure> {
    let generation = record.generation;
    match outcome {
        CommitOutcome::Accepted => {
            let detail = format!("generation {generation} replaces {}", record.parent);
            report(arguments, "accepted", generation, &detail)?;
            Ok(generation)
        }
        CommitOutcome::Replaced { by } => {
            let detail = format!("generation {generation} was replaced by {by} since");
            report(arguments, "accepted", generation, &detail)?;
            Ok(generation)
        }
        CommitOutcome::Conflict { author, generation } => Err(conflict(&author, generation)),
        CommitOutcome::NotCommitted(reason) => {
            Err(Failure::refused(format!("nothing was changed: {reason}")))
        }
        CommitOutcome::Unknown(reason) => Err(unknown(record, &reason)),
    }
}

fn report(arguments: &Arguments, outcome: &str, generation: u64, detail: &str) -> Outcome {
    if arguments.json() {
        return print_json(&json!({
            "outcome": outcome,
            "generation": generation,
            "detail": detail,
        }));
    }
    print_text(&format!("{outcome}: {detail}"))
}

fn conflict(author: &str, generation: u64) -> Failure {
    failed(
        format!(
            "conflict: nothing was changed, {author} has committed generation {generation}; \
             compare with `arbutusctl diff` and apply again"
        ),
        json!({"outcome": "conflict", "generation": generation, "author": author}),
    )
}

fn unknown(record: &CommittedConfig, reason: &str) -> Failure {
    failed(
        format!(
            "unknown: the platform did not say whether generation {} with the token {} is \
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

fn failed(text: String, json: Value) -> Failure {
    Failure::Reported(Report { text, json })
}

/// Waits until every live instance has reported the generation or a later one.
fn wait_for(instances: &Instances, generation: u64, wait_ms: Millis, json: bool) -> Outcome {
    let begun = Instant::now();
    loop {
        let statuses = instances.all_statuses();
        let live = live_generations(&statuses);
        let behind: Vec<&str> = live
            .iter()
            .filter(|&(_, &reported)| reported < generation)
            .map(|(name, _)| name.as_str())
            .collect();
        if !live.is_empty() && behind.is_empty() {
            let elapsed_ms = Millis::from(begun.elapsed());
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
        if begun.elapsed() >= wait_ms.to_duration() {
            let detail = match live.len() {
                0 => "no instance answered".to_owned(),
                _ => format!("not yet reported by {}", behind.join(", ")),
            };
            return Err(Failure::refused(format!(
                "generation {generation} is committed, but not in effect everywhere after \
                 {wait_ms}: {detail}"
            )));
        }
        thread::sleep(WAIT_POLL_MS.to_duration());
    }
}

/// Returns the latest known generation of every instance that some answering instance regards
/// as live. A suspect member may be live, and is waited for.
fn live_generations(statuses: &[Status]) -> BTreeMap<String, u64> {
    let mut live = BTreeMap::new();
    let mut add = |name: &str, generation: u64| {
        let known = live.entry(name.to_owned()).or_insert(generation);
        *known = generation.max(*known);
    };
    for status in statuses {
        add(&status.instance, status.generation);
        for member in &status.members {
            if matches!(member.state, MemberState::Live | MemberState::Suspect) {
                add(&member.name, member.generation);
            }
        }
    }
    live
}
