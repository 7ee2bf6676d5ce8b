//! Group commit of commands to one shard.
//!
//! The writer collects commands for a short time, applies them to the last content that it knows,
//! and asks its shell to write the result on the condition that the object still has the version
//! of that content. Several writers of the same shard are safe, because the platform rejects all
//! but one of the writes at a version.
//!
//! Invariants:
//!
//! - A decided answer is based on a version that the platform returned after the command arrived:
//!   either the version that the batch created, or one that was read for the batch.
//! - A write whose answer was lost is never assumed to have failed. The object is read and the
//!   commands are applied again, which changes nothing where they have taken effect.
//! - A command is answered once, at the latest after the time limit of the settings.

use std::collections::BTreeSet;
use std::mem;

use crate::claim::command::ClaimAnswer;
use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::shard::Shard;
use crate::clock::Millis;

/// Settings of a writer.
#[derive(Clone, Copy, Debug)]
pub struct WriterSettings {
    /// The time during which commands are collected before they are written.
    pub group_commit_ms: Millis,
    /// The time after which a command without a result is answered as unavailable.
    pub unavailable_after_ms: Millis,
    /// The time after which the answer to a read or write counts as lost.
    pub operation_timeout_ms: Millis,
    /// The time between a failed read and the next.
    pub retry_delay_ms: Millis,
    /// The age at which settled claims are deleted.
    pub retention_ms: Millis,
    /// The age at which released claims are deleted.
    pub released_retention_ms: Millis,
    /// The largest number of commands that wait. Further commands are answered as unavailable.
    pub max_pending: usize,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self {
            group_commit_ms: Millis(5),
            unavailable_after_ms: Millis(1_000),
            operation_timeout_ms: Millis(500),
            retry_delay_ms: Millis(100),
            retention_ms: Millis(86_400_000),
            released_retention_ms: Millis(600_000),
            max_pending: 4_096,
        }
    }
}

/// Identifies a command within its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a read or write within its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct Operation(pub u64);

/// Result of a read.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// The object with its version.
    Found {
        /// The version.
        version: u64,
        /// The content, which was verified.
        shard: Shard,
    },
    /// The object does not exist.
    Absent,
    /// There was no answer, or the content is invalid.
    Failed,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect and created a version.
    Written {
        /// The version.
        version: u64,
    },
    /// The object has another version, so the write had no effect.
    Conflict,
    /// The write certainly had no effect, for instance because no connection was established.
    NotWritten,
    /// There was no usable answer. The write may have taken effect or may still do so.
    Lost,
}

/// Input of a writer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A command to be committed.
    Command {
        /// The shell's identifier of the command, unique within the writer.
        ticket: Ticket,
        /// The command.
        command: ClaimCommand,
        /// The writer's wall time, used for retention only.
        wall_ms: Millis,
    },
    /// The result of a read.
    Read {
        /// The read.
        operation: Operation,
        /// The result.
        result: ReadResult,
    },
    /// The result of a write.
    Write {
        /// The write.
        operation: Operation,
        /// The result.
        result: WriteResult,
    },
    /// The passage of time.
    Tick,
    /// A request to read the object even if no command waits.
    Refresh,
}

/// Output of a writer.
#[derive(Clone, Debug)]
pub enum Output {
    /// The shell reads the object.
    Read {
        /// The read.
        operation: Operation,
    },
    /// The shell writes the object if it has the expected version.
    Write {
        /// The write.
        operation: Operation,
        /// The expected version, or `None` when the object must not exist.
        expected: Option<u64>,
        /// The content.
        shard: Shard,
    },
    /// The reply to a command.
    Reply {
        /// The command.
        ticket: Ticket,
        /// The reply.
        reply: ClaimReply,
    },
}

/// Counters of a writer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WriterCounters {
    /// Reads of the object.
    pub reads: u64,
    /// Writes of the object.
    pub writes: u64,
    /// Writes that another writer prevented.
    pub conflicts: u64,
    /// Writes without a usable answer.
    pub lost_writes: u64,
    /// Reads and writes that certainly had no effect.
    pub failures: u64,
    /// Commands that were answered as unavailable.
    pub unavailable: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    command: ClaimCommand,
    received: Millis,
    /// Whether the command was part of a write that may have taken effect.
    sent: bool,
    /// Whether the last read was started after the command arrived.
    covered_by_read: bool,
}

/// The last content that the platform returned.
#[derive(Clone, Debug)]
struct Base {
    version: Option<u64>,
    shard: Shard,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Collecting {
        until: Millis,
    },
    Reading {
        operation: Operation,
        since: Millis,
    },
    Writing {
        operation: Operation,
        since: Millis,
        candidate: Shard,
        answers: Vec<(Ticket, ClaimAnswer)>,
    },
    Waiting {
        until: Millis,
    },
}

/// Group commit of commands to one shard.
#[derive(Clone, Debug)]
pub struct ShardWriter {
    settings: WriterSettings,
    index: u32,
    shard_count: u32,
    base: Option<Base>,
    pending: Vec<Pending>,
    phase: Phase,
    next_operation: u64,
    wall_ms: Millis,
    counters: WriterCounters,
}

impl ShardWriter {
    /// Creates a writer of a shard that has not read the object yet.
    #[must_use]
    pub fn new(index: u32, shard_count: u32, settings: WriterSettings) -> Self {
        Self {
            settings,
            index,
            shard_count,
            base: None,
            pending: Vec::new(),
            phase: Phase::Idle,
            next_operation: 0,
            wall_ms: Millis::ZERO,
            counters: WriterCounters::default(),
        }
    }

    /// Returns the last content that the platform returned. Others may have changed it since.
    #[must_use]
    pub fn content(&self) -> Option<&Shard> {
        self.base.as_ref().map(|base| &base.shard)
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> WriterCounters {
        self.counters
    }

    /// Returns the time at which the writer needs a [`Input::Tick`] if nothing else arrives.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let oldest = self.pending.first().map(|pending| pending.received);
        let reply_by = oldest.map(|received| received + self.settings.unavailable_after_ms);
        let phase_ends = match &self.phase {
            Phase::Idle => None,
            Phase::Collecting { until } | Phase::Waiting { until } => Some(*until),
            Phase::Reading { since, .. } | Phase::Writing { since, .. } => {
                Some(*since + self.settings.operation_timeout_ms)
            }
        };
        reply_by.into_iter().chain(phase_ends).min()
    }

    /// Takes an input and returns what the shell has to do.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Command {
                ticket,
                command,
                wall_ms,
            } => self.accept(now, ticket, command, wall_ms, &mut outputs),
            Input::Read { operation, result } => {
                self.finish_read(now, operation, result, &mut outputs);
            }
            Input::Write { operation, result } => {
                self.finish_write(now, operation, result, &mut outputs);
            }
            Input::Refresh if matches!(self.phase, Phase::Idle) => self.read(now, &mut outputs),
            Input::Tick | Input::Refresh => {}
        }
        self.advance(now, &mut outputs);
        outputs
    }

    fn accept(
        &mut self,
        now: Millis,
        ticket: Ticket,
        command: ClaimCommand,
        wall_ms: Millis,
        outputs: &mut Vec<Output>,
    ) {
        if self.pending.len() >= self.settings.max_pending {
            self.reply_unavailable(ticket, false, outputs);
            return;
        }
        // Both clocks have to be ahead before a claim is deleted too early.
        self.wall_ms = command.wall_ms().unwrap_or(wall_ms).min(wall_ms);
        self.pending.push(Pending {
            ticket,
            command,
            received: now,
            sent: false,
            covered_by_read: false,
        });
        if matches!(self.phase, Phase::Idle) {
            self.collect(now);
        }
    }

    fn advance(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.expire_pending(now, outputs);
        match &self.phase {
            Phase::Collecting { until } if now >= *until => self.commit(now, false, outputs),
            Phase::Waiting { until } if now >= *until => {
                if self.pending.is_empty() {
                    self.phase = Phase::Idle;
                } else {
                    self.read(now, outputs);
                }
            }
            Phase::Reading { operation, since } if self.is_overdue(now, *since) => {
                let operation = *operation;
                self.finish_read(now, operation, ReadResult::Failed, outputs);
            }
            Phase::Writing {
                operation, since, ..
            } if self.is_overdue(now, *since) => {
                let operation = *operation;
                self.finish_write(now, operation, WriteResult::Lost, outputs);
            }
            _ => {}
        }
    }

    fn is_overdue(&self, now: Millis, since: Millis) -> bool {
        now >= since + self.settings.operation_timeout_ms
    }

    fn expire_pending(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let limit = self.settings.unavailable_after_ms;
        let (expired, kept) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| now >= pending.received + limit);
        self.pending = kept;
        let expired: Vec<Pending> = expired;
        for pending in expired {
            let may_have_landed = pending.sent || self.is_being_written(pending.ticket);
            self.reply_unavailable(pending.ticket, may_have_landed, outputs);
        }
    }

    fn is_being_written(&self, ticket: Ticket) -> bool {
        let Phase::Writing { answers, .. } = &self.phase else {
            return false;
        };
        answers.iter().any(|(written, _)| *written == ticket)
    }

    fn reply_unavailable(
        &mut self,
        ticket: Ticket,
        may_have_landed: bool,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.unavailable += 1;
        let reply = ClaimReply::Unavailable { may_have_landed };
        outputs.push(Output::Reply { ticket, reply });
    }

    fn collect(&mut self, now: Millis) {
        let Some(oldest) = self.pending.first() else {
            self.phase = Phase::Idle;
            return;
        };
        let until = oldest.received + self.settings.group_commit_ms;
        self.phase = Phase::Collecting {
            until: until.max(now),
        };
    }

    /// Commits the waiting commands. `fresh` states that the base was read for them.
    fn commit(&mut self, now: Millis, fresh: bool, outputs: &mut Vec<Output>) {
        if self.pending.is_empty() {
            self.phase = Phase::Idle;
            return;
        }
        let Some(base) = &self.base else {
            self.read(now, outputs);
            return;
        };
        let mut candidate = base.shard.clone();
        let expected = base.version;
        let answers: Vec<(Ticket, ClaimAnswer)> = self
            .pending
            .iter()
            .map(|pending| (pending.ticket, candidate.apply(&pending.command)))
            .collect();
        if candidate != base.shard {
            candidate.expire(
                self.wall_ms,
                self.settings.retention_ms,
                self.settings.released_retention_ms,
            );
            self.write(now, expected, candidate, answers, outputs);
        } else if fresh {
            self.reply_covered(answers, outputs);
            self.collect(now);
        } else {
            // The base may be out of date, and no write would show that.
            self.read(now, outputs);
        }
    }

    fn write(
        &mut self,
        now: Millis,
        expected: Option<u64>,
        candidate: Shard,
        answers: Vec<(Ticket, ClaimAnswer)>,
        outputs: &mut Vec<Output>,
    ) {
        let operation = self.take_operation();
        self.counters.writes += 1;
        outputs.push(Output::Write {
            operation,
            expected,
            shard: candidate.clone(),
        });
        self.phase = Phase::Writing {
            operation,
            since: now,
            candidate,
            answers,
        };
    }

    fn read(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let operation = self.take_operation();
        self.counters.reads += 1;
        for pending in &mut self.pending {
            pending.covered_by_read = true;
        }
        outputs.push(Output::Read { operation });
        self.phase = Phase::Reading {
            operation,
            since: now,
        };
    }

    fn take_operation(&mut self) -> Operation {
        let operation = Operation(self.next_operation);
        self.next_operation += 1;
        operation
    }

    fn finish_read(
        &mut self,
        now: Millis,
        operation: Operation,
        result: ReadResult,
        outputs: &mut Vec<Output>,
    ) {
        // The result of a read that was given up describes the past.
        if !matches!(&self.phase, Phase::Reading { operation: current, .. } if *current == operation)
        {
            return;
        }
        match self.base_of(result) {
            Some(base) => {
                self.base = Some(base);
                self.commit(now, true, outputs);
            }
            None => self.wait_after_failure(now),
        }
    }

    /// Returns the base for a read result, or nothing when it must not be used.
    fn base_of(&self, result: ReadResult) -> Option<Base> {
        let known = self.base.as_ref().and_then(|base| base.version);
        match result {
            ReadResult::Found { version, shard } => {
                let same_shard =
                    shard.index() == self.index && shard.shard_count() == self.shard_count;
                // An older version than the known one comes from a lagging replica.
                (same_shard && known.is_none_or(|known| version >= known)).then_some(Base {
                    version: Some(version),
                    shard,
                })
            }
            // An object that existed before is not created again: its claims would be lost.
            ReadResult::Absent => known.is_none().then(|| Base {
                version: None,
                shard: Shard::new(self.index, self.shard_count),
            }),
            ReadResult::Failed => None,
        }
    }

    fn wait_after_failure(&mut self, now: Millis) {
        self.counters.failures += 1;
        self.phase = Phase::Waiting {
            until: now + self.settings.retry_delay_ms,
        };
    }

    fn finish_write(
        &mut self,
        now: Millis,
        operation: Operation,
        result: WriteResult,
        outputs: &mut Vec<Output>,
    ) {
        // A write that was given up has been settled by reading the object.
        if !matches!(&self.phase, Phase::Writing { operation: current, .. } if *current == operation)
        {
            return;
        }
        let Phase::Writing {
            candidate, answers, ..
        } = mem::replace(&mut self.phase, Phase::Idle)
        else {
            return;
        };
        match result {
            WriteResult::Written { version } => {
                self.base = Some(Base {
                    version: Some(version),
                    shard: candidate,
                });
                self.reply_decided(answers, outputs);
                self.collect(now);
            }
            WriteResult::Conflict => {
                // A copy of this write that the transport repeated may be the other change.
                self.counters.conflicts += 1;
                self.mark_sent(&answers);
                self.read(now, outputs);
            }
            WriteResult::NotWritten => self.wait_after_failure(now),
            WriteResult::Lost => {
                self.counters.lost_writes += 1;
                self.mark_sent(&answers);
                self.read(now, outputs);
            }
        }
    }

    fn mark_sent(&mut self, answers: &[(Ticket, ClaimAnswer)]) {
        for pending in &mut self.pending {
            let written = answers.iter().any(|(ticket, _)| *ticket == pending.ticket);
            pending.sent |= written;
        }
    }

    /// Replies to the commands that the last read covers. The content may have changed before the
    /// others arrived.
    fn reply_covered(&mut self, answers: Vec<(Ticket, ClaimAnswer)>, outputs: &mut Vec<Output>) {
        let covered: BTreeSet<Ticket> = self
            .pending
            .iter()
            .filter(|pending| pending.covered_by_read)
            .map(|pending| pending.ticket)
            .collect();
        let answers = answers
            .into_iter()
            .filter(|(ticket, _)| covered.contains(ticket))
            .collect();
        self.reply_decided(answers, outputs);
    }

    fn reply_decided(&mut self, answers: Vec<(Ticket, ClaimAnswer)>, outputs: &mut Vec<Output>) {
        for (ticket, answer) in answers {
            let position = self
                .pending
                .iter()
                .position(|pending| pending.ticket == ticket);
            // A command that was answered as unavailable meanwhile is not answered again.
            let Some(position) = position else {
                continue;
            };
            self.pending.remove(position);
            let reply = ClaimReply::Decided(answer);
            outputs.push(Output::Reply { ticket, reply });
        }
    }
}
