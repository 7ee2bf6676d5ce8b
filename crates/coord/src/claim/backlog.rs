//! Closing commands that are repeated in the background until they are decided.
//!
//! A release, a settlement or a mark as unknown must not get lost while the platform is down. The
//! backlog repeats each with an exponential delay. An instance that shuts down waits until the
//! backlog is empty.

use std::collections::BTreeMap;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::holder::Claim;
use crate::claim::holder::Closing;
use crate::claim::holder::ClosingResult;
use crate::claim::record::AttemptId;
use crate::clock::Millis;

/// Delay before the first repetition.
pub const FIRST_DELAY_MS: Millis = Millis(100);
/// Largest delay between repetitions.
pub const MAX_DELAY_MS: Millis = Millis(5_000);
/// Number of times that a command is refused for want of a record before it is given up.
///
/// A read from a lagging replica lacks a claim that was just confirmed.
pub const MAX_REFUSALS: u32 = 6;

#[derive(Debug)]
struct Entry {
    claim: Claim<Closing>,
    next_at: Millis,
    delay: Millis,
    refusals: u32,
}

/// Closing commands that are repeated until they are decided.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: BTreeMap<AttemptId, Entry>,
}

impl Backlog {
    /// Creates an empty backlog.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim whose command is due at once.
    pub fn push(&mut self, now: Millis, claim: Claim<Closing>) {
        let entry = Entry {
            next_at: now,
            delay: FIRST_DELAY_MS,
            refusals: 0,
            claim,
        };
        self.entries.insert(entry.claim.attempt().clone(), entry);
    }

    /// Returns the commands that are due, and schedules their repetition.
    pub fn due(&mut self, now: Millis) -> Vec<ClaimCommand> {
        let mut commands = Vec::new();
        for entry in self.entries.values_mut() {
            if now < entry.next_at {
                continue;
            }
            commands.push(entry.claim.command().clone());
            entry.next_at = now + entry.delay;
            entry.delay = entry.delay.times(2).min(MAX_DELAY_MS);
        }
        commands
    }

    /// Returns the time at which the next command is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        self.entries.values().map(|entry| entry.next_at).min()
    }

    /// Takes the reply to a command, and returns the result unless it has to be repeated.
    pub fn resolve(&mut self, attempt: &AttemptId, reply: &ClaimReply) -> Option<ClosingResult> {
        let entry = self.entries.remove(attempt)?;
        match entry.claim.resolve(reply) {
            ClosingResult::Retry(claim) => {
                let entry = Entry { claim, ..entry };
                self.entries.insert(attempt.clone(), entry);
                None
            }
            ClosingResult::NotHolder(claim) if entry.refusals < MAX_REFUSALS => {
                let refusals = entry.refusals + 1;
                let entry = Entry {
                    claim,
                    refusals,
                    ..entry
                };
                self.entries.insert(attempt.clone(), entry);
                None
            }
            result => Some(result),
        }
    }

    /// Returns the number of undecided commands.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether all commands are decided.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
