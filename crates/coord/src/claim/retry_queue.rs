//! Final commands of claims, retried in the background until they are decided.
//!
//! A command that releases a claim, settles it or marks it as unknown must not be lost while the
//! platform is unreachable. The queue retries each command with an exponential delay. An instance
//! that shuts down waits until its queue is empty.

use std::collections::BTreeMap;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::holder::Claim;
use crate::claim::holder::FinalizeResult;
use crate::claim::holder::Finalizing;
use crate::claim::record::AttemptId;
use crate::clock::Millis;

/// Delay before the first retry of a command.
pub const FIRST_RETRY_DELAY_MS: Millis = Millis(100);
/// Upper limit of the delay, which doubles with each retry.
pub const MAX_RETRY_DELAY_MS: Millis = Millis(5_000);
/// Number of [`FinalizeResult::NotHolder`] results for which a command is retried. The next such
/// result removes the command.
///
/// A single such result proves nothing: a stale read from a lagging replica lacks a claim that was
/// just confirmed.
pub const MAX_NOT_HOLDER_REPLIES: u32 = 6;

#[derive(Debug)]
struct Entry {
    claim: Claim<Finalizing>,
    due_at: Millis,
    delay: Millis,
    not_holder_replies: u32,
}

/// Queue of final commands that are retried until they are decided.
#[derive(Debug, Default)]
pub struct RetryQueue {
    entries: BTreeMap<AttemptId, Entry>,
}

impl RetryQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim, whose final command is due at once.
    pub fn push(&mut self, now: Millis, claim: Claim<Finalizing>) {
        let entry = Entry {
            due_at: now,
            delay: FIRST_RETRY_DELAY_MS,
            not_holder_replies: 0,
            claim,
        };
        self.entries.insert(entry.claim.attempt().clone(), entry);
    }

    /// Returns the commands that are due, and schedules their next retry.
    pub fn poll_due(&mut self, now: Millis) -> Vec<ClaimCommand> {
        let mut commands = Vec::new();
        for entry in self.entries.values_mut() {
            if now < entry.due_at {
                continue;
            }
            commands.push(entry.claim.command().clone());
            entry.due_at = now + entry.delay;
            entry.delay = entry.delay.times(2).min(MAX_RETRY_DELAY_MS);
        }
        commands
    }

    /// Returns the time at which the next command is due, or `None` when the queue is empty.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        self.entries.values().map(|entry| entry.due_at).min()
    }

    /// Handles the reply to the command of an attempt. Returns the final result and removes the
    /// command, or returns `None` when the command stays queued or the attempt is not in the queue.
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
