//! The history of committed configurations, which is stored in platform objects.
//!
//! Before a generation is replaced, its record is read from the platform and stored in the history.
//! The history therefore contains every replaced generation and only generations that were
//! committed. The latest generation is the object `config` itself.
//!
//! It would not be safe to store the new generation instead. If it were stored before its commit, a
//! commit that fails with a conflict would leave a record in the history that never took effect. If
//! it were stored after its commit, a crash in between would lose the record.
//!
//! The platform cannot delete objects. Generation `n` is stored in slot `n` modulo
//! [`HISTORY_SLOTS`], so the number of objects is bounded, and each slot contains the latest of its
//! generations.

use crate::platform_client::PlatformClient;
use crate::platform_client::ReadError;
use crate::platform_client::WriteError;
use arbutus_config::CommittedConfig;

/// The number of replaced generations that are kept.
pub(crate) const HISTORY_SLOTS: u64 = 32;

const MAX_ATTEMPTS: u32 = 5;

/// Stores a record that is about to be replaced.
///
/// Repeating the call is safe: a record is immutable, and a slot is never overwritten with a lower
/// generation.
pub(crate) fn store(platform: &PlatformClient, record: &CommittedConfig) -> Result<(), String> {
    let key = slot_key(record.generation);
    let mut last_error = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let object = match platform.get(&key) {
            Ok(object) => object,
            Err(error) => {
                last_error = error.to_string();
                continue;
            }
        };
        // A damaged record in the slot is overwritten.
        let stored = object
            .as_ref()
            .and_then(|object| CommittedConfig::from_value(&object.value).ok());
        if stored.is_some_and(|stored| stored.generation >= record.generation) {
            return Ok(());
        }
        let version = object.map(|object| object.version);
        match platform.put(&key, version, record) {
            Ok(()) => return Ok(()),
            Err(error @ WriteError::Rejected(_)) => return Err(error.to_string()),
            // The next read shows whether the write took effect.
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(last_error)
}

/// Reads the record of a replaced generation; `None` if the history does not contain it.
pub(crate) fn load(
    platform: &PlatformClient,
    generation: u64,
) -> Result<Option<CommittedConfig>, ReadError> {
    let object = platform.get(&slot_key(generation))?;
    let record = object.and_then(|object| CommittedConfig::from_value(&object.value).ok());
    Ok(record.filter(|record| record.generation == generation))
}

fn slot_key(generation: u64) -> String {
    format!("config-history/{}", generation % HISTORY_SLOTS)
}
