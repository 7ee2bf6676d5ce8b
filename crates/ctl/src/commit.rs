//! Commits a configuration with a conditional write, and determines the outcome.
//!
//! If the response to the write is lost, the object `config` is read back. A record with the token
//! of this attempt shows that the write took effect. Another record of the same generation shows
//! that it did not. If the object has a later generation, the record of the attempted generation is
//! read from the history instead. While the object is unchanged, the write is retried. Every retry
//! sends the same record with the same condition, so at most one of the writes takes effect.

use std::thread;
use std::time::Instant;

use crate::config_history;
use crate::platform_client::PlatformClient;
use crate::platform_client::WriteError;
use arbutus_config::CommittedConfig;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_coord::Millis;

const RETRY_DELAY_MS: Millis = Millis(200);

/// The outcome of an attempt to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// The record is committed.
    Accepted,
    /// The record was committed, but a later generation has replaced it in the meantime.
    Replaced {
        /// The generation that is committed now.
        by: u64,
    },
    /// Another record was committed instead of this one.
    Conflict {
        /// The author of that record.
        author: String,
        /// The generation of that record.
        generation: u64,
    },
    /// The record is not committed, for the reason given.
    NotCommitted(String),
    /// The platform did not confirm in time whether the record is committed. The record may still
    /// take effect.
    Unknown(String),
}

/// The result of reading the object back.
enum ReadBack {
    /// The outcome of the commit is known.
    Outcome(CommitOutcome),
    /// The object has not changed, so the write can be retried.
    Unchanged,
    /// The object could not be read, for the reason given.
    Unreadable(String),
}

/// Replaces the given version of the object by a record, and returns the outcome. `None` as the
/// version means that the object must not exist yet.
pub(crate) fn commit(
    platform: &PlatformClient,
    version: Option<u64>,
    record: &CommittedConfig,
    timeout_ms: Millis,
) -> CommitOutcome {
    let started = Instant::now();
    let mut may_have_taken_effect = false;
    loop {
        let mut reason = match platform.put(CONFIG_KEY, version, record) {
            Ok(()) => return CommitOutcome::Accepted,
            Err(error @ WriteError::Rejected(_)) if !may_have_taken_effect => {
                return CommitOutcome::NotCommitted(error.to_string());
            }
            Err(error) => {
                may_have_taken_effect |= matches!(error, WriteError::OutcomeUnknown(_));
                error.to_string()
            }
        };
        match read_back(platform, version, record) {
            ReadBack::Outcome(outcome) => return outcome,
            ReadBack::Unchanged => {}
            ReadBack::Unreadable(error) => reason = format!("{reason}; read-back failed: {error}"),
        }
        if started.elapsed() >= timeout_ms.to_duration() {
            return outcome_after_timeout(may_have_taken_effect, reason);
        }
        thread::sleep(RETRY_DELAY_MS.to_duration());
    }
}

/// Returns the outcome when the timeout has expired. If every write is known to have failed, the
/// record can no longer take effect.
fn outcome_after_timeout(may_have_taken_effect: bool, reason: String) -> CommitOutcome {
    if may_have_taken_effect {
        return CommitOutcome::Unknown(reason);
    }
    CommitOutcome::NotCommitted(reason)
}

/// Reads the object back and determines the outcome of the write from it.
fn read_back(
    platform: &PlatformClient,
    version: Option<u64>,
    record: &CommittedConfig,
) -> ReadBack {
    let current = match platform.current_config() {
        Ok(current) => current,
        Err(error) => return ReadBack::Unreadable(error.to_string()),
    };
    let Some(current) = current else {
        return ReadBack::Unchanged;
    };
    let current_record = &current.config;
    if is_same_attempt(current_record, record) {
        return ReadBack::Outcome(CommitOutcome::Accepted);
    }
    if current_record.generation > record.generation {
        return read_back_from_history(platform, record, current_record);
    }
    if version == Some(current.version) {
        return ReadBack::Unchanged;
    }
    ReadBack::Outcome(conflict_with(current_record))
}

/// Determines from the history which record was committed as the generation of `record`, after a
/// later generation has replaced it.
fn read_back_from_history(
    platform: &PlatformClient,
    record: &CommittedConfig,
    current_record: &CommittedConfig,
) -> ReadBack {
    match config_history::load(platform, record.generation) {
        Ok(Some(stored)) if is_same_attempt(&stored, record) => {
            ReadBack::Outcome(CommitOutcome::Replaced {
                by: current_record.generation,
            })
        }
        Ok(Some(stored)) => ReadBack::Outcome(conflict_with(&stored)),
        Ok(None) => ReadBack::Unreadable("the generation is no longer in the history".to_owned()),
        Err(error) => ReadBack::Unreadable(error.to_string()),
    }
}

fn is_same_attempt(stored: &CommittedConfig, record: &CommittedConfig) -> bool {
    stored.token == record.token && stored.digest == record.digest
}

fn conflict_with(other: &CommittedConfig) -> CommitOutcome {
    CommitOutcome::Conflict {
        author: other.author.clone(),
        generation: other.generation,
    }
}
