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
//! - A key that the shard's content lacks counts as absent only when no segment contains it.
//! - A segment is created before the content refers to it, under a name that no other writer
//!   uses, and is never changed.
//! - A command is answered once, at the latest after the time limit of the settings.

mod archiving;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::command::ClaimResult;
pub use crate::claim::messages::CommandId;
pub use crate::claim::messages::Input;
pub use crate::claim::messages::OperationId;
pub use crate::claim::messages::Output;
pub use crate::claim::messages::ReadResult;
pub use crate::claim::messages::WriteResult;
pub use crate::claim::messages::WriterCounters;
pub use crate::claim::messages::WriterSettings;
use crate::claim::record::ClaimKey;
use crate::claim::record::ClaimRecord;
use crate::claim::shard::Shard;
use crate::clock::Millis;
use archiving::Archiving;

#[derive(Clone, Debug)]
struct Pending {
    command_id: CommandId,
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
        operation: OperationId,
        since: Millis,
    },
    Writing {
        operation: OperationId,
        since: Millis,
        candidate: Shard,
        answers: Vec<(CommandId, ClaimResult)>,
        /// The segments that nothing refers to after the write.
        expired: Vec<String>,
    },
    ReadingSegment {
        operation: OperationId,
        since: Millis,
        name: String,
    },
    WritingSegment {
        operation: OperationId,
        since: Millis,
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
    /// The highest version that the platform returned.
    known_version: Option<u64>,
    pending: Vec<Pending>,
    phase: Phase,
    next_operation: u64,
    wall_ms: Millis,
    counters: WriterCounters,
    segment_prefix: Option<String>,
    next_segment: u64,
    archiving: Option<Archiving>,
    archive_not_before: Millis,
    /// What segments contain of the waiting commands' keys.
    segment_records: BTreeMap<(String, ClaimKey), Option<ClaimRecord>>,
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
            known_version: None,
            pending: Vec::new(),
            phase: Phase::Idle,
            next_operation: 0,
            wall_ms: Millis::ZERO,
            counters: WriterCounters::default(),
            segment_prefix: None,
            next_segment: 0,
            archiving: None,
            archive_not_before: Millis::ZERO,
            segment_records: BTreeMap::new(),
        }
    }

    /// Lets the writer move settled claims to segments, whose names start with a prefix that no
    /// other process uses.
    #[must_use]
    pub fn with_segments(mut self, prefix: &str) -> Self {
        self.segment_prefix = Some(prefix.to_owned());
        self
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
            Phase::Reading { since, .. }
            | Phase::Writing { since, .. }
            | Phase::ReadingSegment { since, .. }
            | Phase::WritingSegment { since, .. } => {
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
                command_id,
                command,
                wall_ms,
            } => self.accept(now, command_id, command, wall_ms, &mut outputs),
            Input::Read { operation, result } => {
                self.finish_read(now, operation, result, &mut outputs);
            }
            Input::Write { operation, result } => {
                self.finish_write(now, operation, result, &mut outputs);
            }
            Input::Segment { operation, segment } => {
                self.finish_segment_read(now, operation, segment, &mut outputs);
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
        command_id: CommandId,
        command: ClaimCommand,
        wall_ms: Millis,
        outputs: &mut Vec<Output>,
    ) {
        if self.pending.len() >= self.settings.max_pending {
            self.reply_unavailable(command_id, false, outputs);
            return;
        }
        // Both clocks have to be ahead before a claim is deleted too early.
        self.wall_ms = command.wall_ms().unwrap_or(wall_ms).min(wall_ms);
        self.pending.push(Pending {
            command_id,
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
            Phase::ReadingSegment {
                operation, since, ..
            } if self.is_overdue(now, *since) => {
                let operation = *operation;
                self.finish_segment_read(now, operation, None, outputs);
            }
            Phase::WritingSegment { operation, since } if self.is_overdue(now, *since) => {
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
            let may_have_landed = pending.sent || self.is_being_written(pending.command_id);
            self.reply_unavailable(pending.command_id, may_have_landed, outputs);
        }
    }

    fn is_being_written(&self, command_id: CommandId) -> bool {
        let Phase::Writing { answers, .. } = &self.phase else {
            return false;
        };
        answers.iter().any(|(written, _)| *written == command_id)
    }

    fn reply_unavailable(
        &mut self,
        command_id: CommandId,
        may_have_landed: bool,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.unavailable += 1;
        let reply = ClaimReply::Unavailable { may_have_landed };
        outputs.push(Output::Reply { command_id, reply });
    }

    fn collect(&mut self, now: Millis) {
        let Some(oldest) = self.pending.first() else {
            self.segment_records.clear();
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
        if self.pending.is_empty() && self.archiving.is_none() {
            self.segment_records.clear();
            self.phase = Phase::Idle;
            return;
        }
        let Some(base) = self.base.take() else {
            self.read(now, outputs);
            return;
        };
        if let Some(name) = self.unread_segment(&base.shard) {
            self.base = Some(base);
            self.read_segment(now, name, outputs);
            return;
        }
        self.choose_claims_to_archive(now, &base.shard);
        if self.write_segment(now, outputs) {
            self.base = Some(base);
            return;
        }
        let mut candidate = base.shard.clone();
        let answers: Vec<(CommandId, ClaimResult)> = self
            .pending
            .iter()
            .map(|pending| {
                (
                    pending.command_id,
                    self.apply(&mut candidate, &pending.command),
                )
            })
            .collect();
        // The commands come first: a claim that is sealed in this commit is in no segment that was
        // read for them.
        self.archive(&mut candidate, outputs);
        let is_changed = candidate != base.shard;
        let expected = base.version;
        self.base = Some(base);
        if is_changed {
            self.write(now, expected, candidate, answers, outputs);
        } else if fresh {
            self.reply_covered(answers, outputs);
            self.collect(now);
        } else if self.pending.is_empty() {
            self.phase = Phase::Idle;
        } else {
            // The base may be out of date, and no write would show that.
            self.read(now, outputs);
        }
    }

    fn write(
        &mut self,
        now: Millis,
        expected: Option<u64>,
        mut candidate: Shard,
        answers: Vec<(CommandId, ClaimResult)>,
        outputs: &mut Vec<Output>,
    ) {
        let settings = self.settings;
        let expired = candidate.expire(
            self.wall_ms,
            settings.retention_ms,
            settings.released_retention_ms,
        );
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
            expired: expired.segments,
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

    fn take_operation(&mut self) -> OperationId {
        let operation = OperationId(self.next_operation);
        self.next_operation += 1;
        operation
    }

    fn finish_read(
        &mut self,
        now: Millis,
        operation: OperationId,
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
                self.known_version = base.version;
                self.base = Some(base);
                self.commit(now, true, outputs);
            }
            None => self.wait_after_failure(now),
        }
    }

    /// Returns the base for a read result, or nothing when it must not be used.
    fn base_of(&self, result: ReadResult) -> Option<Base> {
        let known = self.known_version;
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
            until: now + self.settings.read_retry_delay_ms,
        };
    }

    fn finish_write(
        &mut self,
        now: Millis,
        operation: OperationId,
        result: WriteResult,
        outputs: &mut Vec<Output>,
    ) {
        // A write that was given up has been settled by reading the object.
        match &self.phase {
            Phase::Writing {
                operation: current, ..
            } if *current == operation => {}
            Phase::WritingSegment {
                operation: current, ..
            } if *current == operation => {
                self.finish_segment_write(now, result, outputs);
                return;
            }
            _ => return,
        }
        let Phase::Writing {
            candidate,
            answers,
            expired,
            ..
        } = mem::replace(&mut self.phase, Phase::Idle)
        else {
            return;
        };
        match result {
            WriteResult::Written { version } => {
                self.archiving
                    .take_if(|archiving| candidate.has_segment(&archiving.name));
                self.known_version = Some(version);
                self.base = Some(Base {
                    version: Some(version),
                    shard: candidate,
                });
                let unused = expired
                    .into_iter()
                    .map(|name| Output::DeleteSegment { name });
                outputs.extend(unused);
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

    fn mark_sent(&mut self, answers: &[(CommandId, ClaimResult)]) {
        for pending in &mut self.pending {
            let written = answers
                .iter()
                .any(|(command_id, _)| *command_id == pending.command_id);
            pending.sent |= written;
        }
    }

    /// Replies to the commands that the last read covers. The content may have changed before the
    /// others arrived.
    fn reply_covered(&mut self, answers: Vec<(CommandId, ClaimResult)>, outputs: &mut Vec<Output>) {
        let covered: BTreeSet<CommandId> = self
            .pending
            .iter()
            .filter(|pending| pending.covered_by_read)
            .map(|pending| pending.command_id)
            .collect();
        let answers = answers
            .into_iter()
            .filter(|(command_id, _)| covered.contains(command_id))
            .collect();
        self.reply_decided(answers, outputs);
    }

    fn reply_decided(&mut self, answers: Vec<(CommandId, ClaimResult)>, outputs: &mut Vec<Output>) {
        for (command_id, answer) in answers {
            let position = self
                .pending
                .iter()
                .position(|pending| pending.command_id == command_id);
            // A command that was answered as unavailable meanwhile is not answered again.
            let Some(position) = position else {
                continue;
            };
            self.pending.remove(position);
            let reply = ClaimReply::Decided(answer);
            outputs.push(Output::Reply { command_id, reply });
        }
    }
}
