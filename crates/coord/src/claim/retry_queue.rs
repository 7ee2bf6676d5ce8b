//! Finalizing commands that are repeated in the background until they are decided.
//!
//! A release, a settlement or a mark as unknown must not get lost while the platform is down. The
//! retry_queue repeats each with an exponential delay. An instance that shuts down waits until the
//! retry_queue is empty.

use std::collections::BTreeMap;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::holder::Claim;
use crate::claim::holder::FinalizeResult;
use crate::claim::holder::Finalizing;
use crate::claim::record::AttemptId;
use crate::clock::Millis;

/// Delay before the first repetition.
pub const FIRST_RETRY_DELAY_MS: Millis = Millis(100);
/// Largest delay between repetitions.
pub const MAX_RETRY_DELAY_MS: Millis = Millis(5_000);
/// Number of times that a command is refused for want of a record before it is given up.
///
/// A read from a lagging replica lacks a claim that was just confirmed.
pub const MAX_NOT_HOLDER_REPLIES: u32 = 6;

#[derive(Debug)]
struct Entry {
    claim: Claim<Finalizing>,
    next_at: Millis,
    delay: Millis,
    not_holder_replies: u32,
}

/// Finalizing commands that are repeated until they are decided.
#[derive(Debug, Default)]
pub struct RetryQueue {
    entries: BTreeMap<AttemptId, Entry>,
}

impl RetryQueue {
    /// Creates an empty retry_queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim whose command is due at once.
    pub fn push(&mut self, now: Millis, claim: Claim<Finalizing>) {
        let entry = Entry {
            next_at: now,
            delay: FIRST_RETRY_DELAY_MS,
            not_holder_replies: 0,
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
            entry.delay = entry.delay.times(2).min(MAX_RETRY_DELAY_MS);
        }
        commands
    }

    /// Returns the time at which the next command is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        self.entries.values().map(|entry| entry.next_at).min()
    }

    /// Takes the reply to a command, and returns the result unless it has to be repeated.
    pub fn resolve(&mut self, attempt: &AttemptId, reply: &ClaimReply) -> Option<FinalizeResult> {
        let entry = self.entries.remove(attempt)?;
        match entry.claim.resolve(reply) {
            FinalizeResult::Retry(claim) => {
                let entry = Entry { claim, ..entry };
                self.entries.insert(attempt.clone(), entry);
                None
            }
            FinalizeResult::NotHolder(claim)
                if entry.not_holder_replies < MAX_NOT_HOLDER_REPLIES =>
            {
                let not_holder_replies = entry.not_holder_replies + 1;
                let entry = Entry {
                    claim,
                    not_holder_replies,
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
