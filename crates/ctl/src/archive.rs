//! The history of committed configurations.
//!
//! An operator who replaces a generation first stores it in the history, with the record that
//! was read from the platform. The history therefore contains only generations that were
//! committed, and every one that has been replaced; the latest is the object `config` itself.
//! Were the new generation stored before its own commit, an operator who loses the race would
//! leave a record that never took effect; stored after it, a crash in between would lose it.
//!
//! The platform offers no deletion. Generation `n` is stored in slot `n` modulo
//! [`HISTORY_SLOTS`], so the history is bounded and each slot holds the latest of its
//! generations.

use crate::platform::Platform;
use crate::platform::ReadError;
use crate::platform::WriteError;
use arbutus_config::CommittedConfig;

/// The number of generations that are kept.
pub(crate) const HISTORY_SLOTS: u64 = 32;

const MAX_ATTEMPTS: u32 = 5;

/// Stores a record that is about to be replaced.
///
/// Repeating it is safe: a record is immutable, and a slot never goes back to a lower
/// generation.
pub(crate) fn store(platform: &Platform, record: &CommittedConfig) -> Result<(), String> {
    let key = slot_key(record.generation);
    let mut last = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let object = match platform.get(&key) {
            Ok(object) => object,
            Err(error) => {
                last = error.to_string();
                continue;
            }
        };
        // An unreadable record in the slot is replaced.
        let held = object
            .as_ref()
            .and_then(|object| CommittedConfig::from_value(&object.value).ok());
        if held.is_some_and(|held| held.generation >= record.generation) {
            return Ok(());
        }
        let version = object.map(|object| object.version);
        match platform.put(&key, version, record) {
            Ok(()) => return Ok(()),
            Err(error @ WriteError::Refused(_)) => return Err(error.to_string()),
            // The next read shows whether the write took effect.
            Err(error) => last = error.to_string(),
        }
    }
    Err(last)
}

/// Reads a generation that has been replaced; `None` when it is not kept.
pub(crate) fn load(
    platform: &Platform,
    generation: u64,
) -> Result<Option<CommittedConfig>, ReadError> {
    let object = platform.get(&slot_key(generation))?;
    let record = object.and_then(|object| CommittedConfig::from_value(&object.value).ok());
    Ok(record.filter(|record| record.generation == generation))
}

fn slot_key(generation: u64) -> String {
    format!("config-history/{}", generation % HISTORY_SLOTS)
}
