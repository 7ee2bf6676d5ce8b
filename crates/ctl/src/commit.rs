//! Committing a configuration by one conditional write.
//!
//! The outcome is never guessed. When the answer to the write is lost, the object is read back:
//! the record with this attempt's token shows that it was accepted, a record of the same or a
//! later generation by someone else that it was not. While the object is unchanged, the same
//! write is sent again; both carry the same record and the same condition, so at most one of
//! them takes effect.

use std::thread;
use std::time::Instant;

use crate::archive;
use crate::platform::Platform;
use crate::platform::WriteError;
use arbutus_config::CommittedConfig;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_coord::Millis;

const RETRY_DELAY_MS: Millis = Millis(200);

/// The outcome of an attempt to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// The record is committed.
    Accepted,
    /// The record was committed and has been replaced by a later generation since.
    Replaced {
        /// The generation that is committed now.
        by: u64,
    },
    /// Another record was committed instead.
    Conflict {
        /// The author of that record.
        author: String,
        /// The generation of that record.
        generation: u64,
    },
    /// The record is not committed.
    NotCommitted(String),
    /// The platform did not say within the time whether the record is committed.
    Unknown(String),
}

/// What is known after reading the object back.
enum Settled {
    Outcome(CommitOutcome),
    Unchanged,
    Unreadable(String),
}

/// Writes a record in the place of the object's version, and finds out what came of it.
pub(crate) fn commit(
    platform: &Platform,
    version: Option<u64>,
    record: &CommittedConfig,
    timeout_ms: Millis,
) -> CommitOutcome {
    let begun = Instant::now();
    let mut any_unknown = false;
    loop {
        let mut reason = match platform.put(CONFIG_KEY, version, record) {
            Ok(()) => return CommitOutcome::Accepted,
            Err(error @ WriteError::Refused(_)) if !any_unknown => {
                return CommitOutcome::NotCommitted(error.to_string());
            }
            Err(error) => {
                any_unknown |= matches!(error, WriteError::Unknown(_));
                error.to_string()
            }
        };
        match settle(platform, version, record) {
            Settled::Outcome(outcome) => return outcome,
            Settled::Unchanged => {}
            Settled::Unreadable(error) => reason = format!("{reason}; reading back: {error}"),
        }
        if begun.elapsed() >= timeout_ms.to_duration() {
            return undecided(any_unknown, reason);
        }
        thread::sleep(RETRY_DELAY_MS.to_duration());
    }
}

/// Without a write of unknown effect, nothing can take effect any more.
fn undecided(any_unknown: bool, reason: String) -> CommitOutcome {
    if any_unknown {
        return CommitOutcome::Unknown(reason);
    }
    CommitOutcome::NotCommitted(reason)
}

fn settle(platform: &Platform, version: Option<u64>, record: &CommittedConfig) -> Settled {
    let current = match platform.current() {
        Ok(current) => current,
        Err(error) => return Settled::Unreadable(error.to_string()),
    };
    let Some(current) = current else {
        return Settled::Unchanged;
    };
    let found = &current.committed;
    if is_same(found, record) {
        return Settled::Outcome(CommitOutcome::Accepted);
    }
    if found.generation > record.generation {
        return settle_by_history(platform, record, found);
    }
    if version == Some(current.version) {
        return Settled::Unchanged;
    }
    Settled::Outcome(conflict(found))
}

/// Finds out what was committed as the record's generation, after a later one has replaced it.
fn settle_by_history(
    platform: &Platform,
    record: &CommittedConfig,
    found: &CommittedConfig,
) -> Settled {
    match archive::load(platform, record.generation) {
        Ok(Some(kept)) if is_same(&kept, record) => Settled::Outcome(CommitOutcome::Replaced {
            by: found.generation,
        }),
        Ok(Some(kept)) => Settled::Outcome(conflict(&kept)),
        Ok(None) => Settled::Unreadable("the generation is no longer in the history".to_owned()),
        Err(error) => Settled::Unreadable(error.to_string()),
    }
}

fn is_same(found: &CommittedConfig, record: &CommittedConfig) -> bool {
    found.token == record.token && found.digest == record.digest
}

fn conflict(found: &CommittedConfig) -> CommitOutcome {
    CommitOutcome::Conflict {
        author: found.author.clone(),
        generation: found.generation,
    }
}
