//! Group commit of commands to one shard.
//!
//! The writer collects commands for a short time, applies them to the last content that it knows,
//! and asks its caller to write the result on the condition that the object still has the version
//! of that content. Several writers of the same shard are safe, because the platform rejects all
//! but one of the writes that expect the same version.
//!
//! Invariants:
//!
//! - A decided result is based on a version that the platform returned after the command arrived:
//!   either the version that the write of the command created, or one whose read started after the
//!   arrival.
//! - A write whose response was lost is never assumed to have failed. The object is read and the
//!   commands are applied again, which changes nothing where they have already taken effect.
//! - A key that the shard object lacks is reported as absent only if no segment contains it.
//! - A segment is created before the shard object refers to it, under a name that no other writer
//!   uses, and is never changed.
//! - Each command gets one reply, at the latest after [`WriterSettings::unavailable_after_ms`].

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
    arrived_at: Millis,
    /// Whether the command was part of an earlier write that may have taken effect.
    maybe_written: bool,
    /// Whether the last read of the shard object started after the command arrived.
    read_after_arrival: bool,
}

/// The last version of the shard object that the platform returned, or that a confirmed write
/// created. Commands are applied to it.
#[derive(Clone, Debug)]
struct Base {
    /// `None` when the object does not exist yet.
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
        results: Vec<(CommandId, ClaimResult)>,
        /// The segments to which the written content no longer refers.
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
    RetryDelay {
        until: Millis,
    },
}

/// State machine that commits the commands on one shard in groups.
#[derive(Clone, Debug)]
pub struct ShardWriter {
    settings: WriterSettings,
    index: u32,
    shard_count: u32,
    base: Option<Base>,
    /// The last version that was read or written. Reads of older versions are rejected as stale.
    known_version: Option<u64>,
    pending: Vec<Pending>,
    phase: Phase,
    next_operation: u64,
    /// The time since the Unix epoch when the last command arrived, used to expire claims.
    wall_ms: Millis,
    counters: WriterCounters,
    segment_prefix: Option<String>,
    next_segment: u64,
    archiving: Option<Archiving>,
    archive_not_before: Millis,
    /// The records in segments for the keys of the pending commands, by segment and key; `None`
    /// when the segment does not contain the key.
    segment_records: BTreeMap<(String, ClaimKey), Option<ClaimRecord>>,
}

impl ShardWriter {
    /// Creates a writer for the shard with this index, which has not read the object yet.
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

    /// Enables the move of settled claims to segments. The names of the segments start with
    /// `prefix`, which no other process may use.
    #[must_use]
    pub fn with_segments(mut self, prefix: &str) -> Self {
        self.segment_prefix = Some(prefix.to_owned());
        self
    }

    /// Returns the last known content of the shard object. It is `None` before the first read, and
    /// from a failed read of a segment until the next read of the object. Other writers may have
    /// changed the object since.
    #[must_use]
    pub fn content(&self) -> Option<&Shard> {
        self.base.as_ref().map(|base| &base.shard)
    }

    /// Returns the counters since the writer was created.
    #[must_use]
    pub fn counters(&self) -> WriterCounters {
        self.counters
    }

    /// Returns the time by which the writer needs an [`Input::Tick`] if no other input arrives, or
    /// `None` when it is idle.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let oldest = self.pending.first().map(|pending| pending.arrived_at);
        let reply_deadline =
            oldest.map(|arrived_at| arrived_at + self.settings.unavailable_after_ms);
        let phase_deadline = match &self.phase {
            Phase::Idle => None,
            Phase::Collecting { until } | Phase::RetryDelay { until } => Some(*until),
            Phase::Reading { since, .. }
            | Phase::Writing { since, .. }
            | Phase::ReadingSegment { since, .. }
            | Phase::WritingSegment { since, .. } => {
                Some(*since + self.settings.operation_timeout_ms)
            }
        };
        reply_deadline.into_iter().chain(phase_deadline).min()
    }

    /// Handles an input and returns what the caller has to do.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Command {
                command_id,
                command,
                wall_ms,
            } => self.enqueue_command(now, command_id, command, wall_ms, &mut outputs),
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
        self.handle_elapsed_time(now, &mut outputs);
        outputs
    }

    fn enqueue_command(
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
        // The earlier time is used, so that a claim is deleted too early only if both clocks are
        // ahead.
        self.wall_ms = command.wall_ms().unwrap_or(wall_ms).min(wall_ms);
        self.pending.push(Pending {
            command_id,
            command,
            arrived_at: now,
            maybe_written: false,
            read_after_arrival: false,
        });
        if matches!(self.phase, Phase::Idle) {
            self.collect_or_become_idle(now);
        }
    }

    fn handle_elapsed_time(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.expire_pending(now, outputs);
        match &self.phase {
            Phase::Collecting { until } if now >= *until => self.commit(now, false, outputs),
            Phase::RetryDelay { until } if now >= *until => {
                if self.pending.is_empty() {
                    self.phase = Phase::Idle;
                } else {
                    self.read(now, outputs);
                }
            }
            Phase::Reading { operation, since } if self.has_timed_out(now, *since) => {
                let operation = *operation;
                self.finish_read(now, operation, ReadResult::Failed, outputs);
            }
            Phase::Writing {
                operation, since, ..
            } if self.has_timed_out(now, *since) => {
                let operation = *operation;
                self.finish_write(now, operation, WriteResult::Lost, outputs);
            }
            Phase::ReadingSegment {
                operation, since, ..
            } if self.has_timed_out(now, *since) => {
                let operation = *operation;
                self.finish_segment_read(now, operation, None, outputs);
            }
            Phase::WritingSegment { operation, since } if self.has_timed_out(now, *since) => {
                let operation = *operation;
                self.finish_write(now, operation, WriteResult::Lost, outputs);
            }
            _ => {}
        }
    }

    fn has_timed_out(&self, now: Millis, since: Millis) -> bool {
        now >= since + self.settings.operation_timeout_ms
    }

    fn expire_pending(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let limit = self.settings.unavailable_after_ms;
        let (expired, kept) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| now >= pending.arrived_at + limit);
        self.pending = kept;
        let expired: Vec<Pending> = expired;
        for pending in expired {
            let may_have_landed =
                pending.maybe_written || self.is_being_written(pending.command_id);
            self.reply_unavailable(pending.command_id, may_have_landed, outputs);
        }
    }

    fn is_being_written(&self, command_id: CommandId) -> bool {
        let Phase::Writing { results, .. } = &self.phase else {
            return false;
        };
        results.iter().any(|(id, _)| *id == command_id)
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

    fn collect_or_become_idle(&mut self, now: Millis) {
        let Some(oldest) = self.pending.first() else {
            self.segment_records.clear();
            self.phase = Phase::Idle;
            return;
        };
        let until = oldest.arrived_at + self.settings.group_commit_ms;
        self.phase = Phase::Collecting {
            until: until.max(now),
        };
    }

    /// Commits the pending commands. `is_base_fresh` says that the base was just read, so that
    /// commands which change nothing can be answered from it.
    fn commit(&mut self, now: Millis, is_base_fresh: bool, outputs: &mut Vec<Output>) {
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
        let results: Vec<(CommandId, ClaimResult)> = self
            .pending
            .iter()
            .map(|pending| {
                (
                    pending.command_id,
                    self.apply(&mut candidate, &pending.command),
                )
            })
            .collect();
        // Commands are applied before claims are archived, because `segment_records` does not
        // contain the records of the new segment.
        self.archive(&mut candidate, outputs);
        let is_changed = candidate != base.shard;
        let expected = base.version;
        self.base = Some(base);
        if is_changed {
            self.write(now, expected, candidate, results, outputs);
        } else if is_base_fresh {
            self.reply_after_read(results, outputs);
            self.collect_or_become_idle(now);
        } else if self.pending.is_empty() {
            self.phase = Phase::Idle;
        } else {
            // The base may be stale, and without a write the platform does not check its version.
            self.read(now, outputs);
        }
    }

    fn write(
        &mut self,
        now: Millis,
        expected: Option<u64>,
        mut candidate: Shard,
        results: Vec<(CommandId, ClaimResult)>,
        outputs: &mut Vec<Output>,
    ) {
        let settings = self.settings;
        let expired = candidate.expire(
            self.wall_ms,
            settings.retention_ms,
            settings.released_retention_ms,
        );
        let operation = self.next_operation_id();
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
            results,
            expired: expired.segments,
        };
    }

    fn read(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let operation = self.next_operation_id();
        self.counters.reads += 1;
        for pending in &mut self.pending {
            pending.read_after_arrival = true;
        }
        outputs.push(Output::Read { operation });
        self.phase = Phase::Reading {
            operation,
            since: now,
        };
    }

    fn next_operation_id(&mut self) -> OperationId {
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
        // The result of a read that has already timed out is ignored, because it may be stale.
        if !matches!(&self.phase, Phase::Reading { operation: current, .. } if *current == operation)
        {
            return;
        }
        match self.base_from_read(result) {
            Some(base) => {
                self.known_version = base.version;
                self.base = Some(base);
                self.commit(now, true, outputs);
            }
            None => self.wait_before_retry(now),
        }
    }

    /// Returns the base for a read result, or `None` when the result must not be used.
    fn base_from_read(&self, result: ReadResult) -> Option<Base> {
        let known_version = self.known_version;
        match result {
            ReadResult::Found { version, shard } => {
                let is_same_shard =
                    shard.index() == self.index && shard.shard_count() == self.shard_count;
                // A version older than the known one is a stale read from a lagging replica.
                (is_same_shard && known_version.is_none_or(|known| version >= known)).then_some(
                    Base {
                        version: Some(version),
                        shard,
                    },
                )
            }
            // An object that has existed is never created anew, since its claims would be lost.
            ReadResult::Absent => known_version.is_none().then(|| Base {
                version: None,
                shard: Shard::new(self.index, self.shard_count),
            }),
            ReadResult::Failed => None,
        }
    }

    fn wait_before_retry(&mut self, now: Millis) {
        self.counters.failures += 1;
        self.phase = Phase::RetryDelay {
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
        // The result of a write that has already timed out is ignored: the object was read instead
        // to determine whether the write took effect.
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
            results,
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
                let deletions = expired
                    .into_iter()
                    .map(|name| Output::DeleteSegment { name });
                outputs.extend(deletions);
                self.reply_decided(results, outputs);
                self.collect_or_become_idle(now);
            }
            WriteResult::Conflict => {
                // The conflicting version may have been created by a copy of this write, if the
                // transport sent the write twice.
                self.counters.conflicts += 1;
                self.mark_maybe_written(&results);
                self.read(now, outputs);
            }
            WriteResult::NotWritten => self.wait_before_retry(now),
            WriteResult::Lost => {
                self.counters.lost_writes += 1;
                self.mark_maybe_written(&results);
                self.read(now, outputs);
            }
        }
    }

    fn mark_maybe_written(&mut self, results: &[(CommandId, ClaimResult)]) {
        for pending in &mut self.pending {
            let written = results
                .iter()
                .any(|(command_id, _)| *command_id == pending.command_id);
            pending.maybe_written |= written;
        }
    }

    /// Replies to the commands that arrived before the last read started. For commands that arrived
    /// later, the result of the read may be stale.
    fn reply_after_read(
        &mut self,
        results: Vec<(CommandId, ClaimResult)>,
        outputs: &mut Vec<Output>,
    ) {
        let answerable: BTreeSet<CommandId> = self
            .pending
            .iter()
            .filter(|pending| pending.read_after_arrival)
            .map(|pending| pending.command_id)
            .collect();
        let results = results
            .into_iter()
            .filter(|(command_id, _)| answerable.contains(command_id))
            .collect();
        self.reply_decided(results, outputs);
    }

    fn reply_decided(&mut self, results: Vec<(CommandId, ClaimResult)>, outputs: &mut Vec<Output>) {
        for (command_id, result) in results {
            let position = self
                .pending
                .iter()
                .position(|pending| pending.command_id == command_id);
            // A command that is no longer pending was already answered as unavailable.
            let Some(position) = position else {
                continue;
            };
            self.pending.remove(position);
            let reply = ClaimReply::Decided(result);
            outputs.push(Output::Reply { command_id, reply });
        }
    }
}
