//! Detection of claims whose holder has gone.
//!
//! A claim is marked as unknown only after its holder was seen as dead, without interruption, for
//! longer than the dispatch window. A holder that was paused before its dispatch has then left
//! its window, so an operator who examines the claim does not race with a dispatch.

use std::collections::BTreeMap;

use crate::claim::command::ClaimCommand;
use crate::claim::holder::DISPATCH_WINDOW_MS;
use crate::claim::record::AttemptId;
use crate::claim::record::ClaimState;
use crate::claim::record::Holder;
use crate::claim::record::UnknownReason;
use crate::claim::shard::Shard;
use crate::clock::Millis;

/// Factor on the dispatch window. It covers clocks that run at different rates.
pub const MARK_UNKNOWN_AFTER_WINDOWS: u64 = 2;

/// Watches the claims of one shard whose holder is dead.
#[derive(Debug, Default)]
pub struct DeadHolderTracker {
    since: BTreeMap<AttemptId, Millis>,
}

impl DeadHolderTracker {
    /// Creates a watch that has seen no claim.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the content of the shard, and returns the commands that mark claims as unknown.
    pub fn observe(
        &mut self,
        now: Millis,
        wall_ms: Millis,
        shard: &Shard,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Vec<ClaimCommand> {
        let mut since = BTreeMap::new();
        let mut commands = Vec::new();
        for (key, record) in shard.claims() {
            if record.state != ClaimState::Claimed || is_live(&record.holder) {
                continue;
            }
            let first = self.since.get(&record.attempt).copied().unwrap_or(now);
            since.insert(record.attempt.clone(), first);
            if now - first > DISPATCH_WINDOW_MS.times(MARK_UNKNOWN_AFTER_WINDOWS) {
                commands.push(ClaimCommand::MarkUnknown {
                    key: key.clone(),
                    attempt: record.attempt.clone(),
                    reason: UnknownReason::HolderDead,
                    wall_ms,
                });
            }
        }
        self.since = since;
        commands
    }
}
