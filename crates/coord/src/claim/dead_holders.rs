//! Detection of claims whose holder is dead.
//!
//! A claim is marked as unknown only after its holder has been considered dead, without
//! interruption, for longer than [`MARK_UNKNOWN_AFTER_WINDOWS`] dispatch windows. If the holder was
//! merely paused before it dispatched the request, its dispatch window has passed by then. A late
//! dispatch therefore cannot overlap with an operator's investigation of the claim.

use std::collections::BTreeMap;

use crate::claim::command::ClaimCommand;
use crate::claim::holder::DISPATCH_WINDOW_MS;
use crate::claim::record::AttemptId;
use crate::claim::record::ClaimState;
use crate::claim::record::Holder;
use crate::claim::record::UnknownReason;
use crate::claim::shard::Shard;
use crate::clock::Millis;

/// Time for which a holder has to be dead before its claims are marked as unknown, as a multiple of
/// the dispatch window. More than 1, because the clocks of instances run at different rates.
pub const MARK_UNKNOWN_AFTER_WINDOWS: u64 = 2;

/// Tracks the claims of one shard whose holder is dead.
#[derive(Debug, Default)]
pub struct DeadHolderTracker {
    dead_since: BTreeMap<AttemptId, Millis>,
}

impl DeadHolderTracker {
    /// Creates a tracker without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the tracker from the content of the shard, and returns the commands that mark claims
    /// as unknown. A command is returned by each call until the content shows its effect.
    ///
    /// `now` is the monotonic time and `wall_ms` the time since the Unix epoch. `is_live` says
    /// whether membership considers a holder to be alive.
    pub fn observe(
        &mut self,
        now: Millis,
        wall_ms: Millis,
        shard: &Shard,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Vec<ClaimCommand> {
        let mut dead_since = BTreeMap::new();
        let mut commands = Vec::new();
        for (key, record) in shard.claims() {
            if record.state != ClaimState::Claimed || is_live(&record.holder) {
                continue;
            }
            let first_seen_dead = self.dead_since.get(&record.attempt).copied().unwrap_or(now);
            dead_since.insert(record.attempt.clone(), first_seen_dead);
            if now - first_seen_dead > DISPATCH_WINDOW_MS.times(MARK_UNKNOWN_AFTER_WINDOWS) {
                commands.push(ClaimCommand::MarkUnknown {
                    key: key.clone(),
                    attempt: record.attempt.clone(),
                    reason: UnknownReason::HolderDead,
                    wall_ms,
                });
            }
        }
        self.dead_since = dead_since;
        commands
    }
}
