//! Segments in a shard writer: reading them, and moving settled claims to new ones.

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimResult;
use crate::claim::messages::OperationId;
use crate::claim::messages::Output;
use crate::claim::messages::WriteResult;
use crate::claim::segment::Segment;
use crate::claim::shard::Shard;
use crate::claim::writer::Phase;
use crate::claim::writer::ShardWriter;
use crate::clock::Millis;

/// Settled claims that are being moved from the shard object to a segment.
#[derive(Clone, Debug)]
pub(super) struct Archiving {
    pub(super) name: String,
    pub(super) segment: Segment,
    /// Whether the segment object exists.
    pub(super) written: bool,
    /// Whether a shard object that refers to the segment may have been written.
    pub(super) referenced: bool,
}

impl ShardWriter {
    /// Applies a command to the record of its key, in the shard object or in a segment.
    pub(super) fn apply(&self, candidate: &mut Shard, command: &ClaimCommand) -> ClaimResult {
        let key = command.key();
        if candidate.get(key).is_some() {
            return candidate.apply(command);
        }
        let archived = candidate.segments_that_may_contain(key).find_map(|name| {
            let record = self.segment_records.get(&(name.to_owned(), key.clone()));
            record.cloned().flatten()
        });
        match archived {
            Some(record) => candidate.apply_to_archived(record, command),
            None => candidate.apply(command),
        }
    }

    /// Returns the name of a segment that may contain the key of a pending command and has not been
    /// read for it.
    pub(super) fn unread_segment(&self, shard: &Shard) -> Option<String> {
        let keys = self.pending.iter().map(|pending| pending.command.key());
        let missing_keys = keys.filter(|key| shard.get(key).is_none());
        missing_keys
            .flat_map(|key| {
                shard
                    .segments_that_may_contain(key)
                    .map(move |name| (name, key))
            })
            .find(|(name, key)| {
                let entry = ((*name).to_owned(), (*key).clone());
                !self.segment_records.contains_key(&entry)
            })
            .map(|(name, _)| name.to_owned())
    }

    pub(super) fn read_segment(&mut self, now: Millis, name: String, outputs: &mut Vec<Output>) {
        let operation = self.next_operation_id();
        self.counters.reads += 1;
        outputs.push(Output::ReadSegment {
            operation,
            name: name.clone(),
        });
        self.phase = Phase::ReadingSegment {
            operation,
            since: now,
            name,
        };
    }

    pub(super) fn finish_segment_read(
        &mut self,
        now: Millis,
        operation: OperationId,
        segment: Option<Segment>,
        outputs: &mut Vec<Output>,
    ) {
        let name = match &self.phase {
            Phase::ReadingSegment {
                operation: current,
                name,
                ..
            } if *current == operation => name.clone(),
            _ => return,
        };
        let Some(segment) = segment else {
            // Another writer may have removed the reference to the segment since the shard object
            // was read, so the object has to be read again.
            self.base = None;
            self.wait_before_retry(now);
            return;
        };
        for pending in &self.pending {
            let key = pending.command.key();
            let record = segment.get(key).cloned();
            self.segment_records
                .insert((name.clone(), key.clone()), record);
        }
        self.commit(now, false, outputs);
    }

    pub(super) fn choose_claims_to_archive(&mut self, now: Millis, shard: &Shard) {
        let is_small_enough = shard.size_bytes() <= self.settings.archive_above_bytes;
        if is_small_enough || self.archiving.is_some() || now < self.archive_not_before {
            return;
        }
        let Some(prefix) = &self.segment_prefix else {
            return;
        };
        let Some(segment) = Segment::from_settled(shard, self.settings.archive_above_bytes / 2)
        else {
            return;
        };
        self.archiving = Some(Archiving {
            name: format!("{prefix}-{}", self.next_segment),
            segment,
            written: false,
            referenced: false,
        });
        self.next_segment += 1;
    }

    /// Starts the write of the segment in `archiving`, unless the segment is already written or the
    /// delay after a failed write has not passed. Returns whether a write was started.
    pub(super) fn write_segment(&mut self, now: Millis, outputs: &mut Vec<Output>) -> bool {
        if now < self.archive_not_before {
            return false;
        }
        let Some(archiving) = self
            .archiving
            .as_ref()
            .filter(|archiving| !archiving.written)
        else {
            return false;
        };
        let (name, segment) = (archiving.name.clone(), archiving.segment.clone());
        let operation = self.next_operation_id();
        self.counters.writes += 1;
        outputs.push(Output::WriteSegment {
            operation,
            name,
            segment,
        });
        self.phase = Phase::WritingSegment {
            operation,
            since: now,
        };
        true
    }

    pub(super) fn finish_segment_write(
        &mut self,
        now: Millis,
        result: WriteResult,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            // No other writer uses the name, so a conflict means that an earlier copy of this write
            // took effect.
            WriteResult::Written { .. } | WriteResult::Conflict => {
                if let Some(archiving) = &mut self.archiving {
                    archiving.written = true;
                    self.counters.segments += 1;
                }
            }
            WriteResult::NotWritten | WriteResult::Lost => {
                self.archive_not_before = now + self.settings.archive_retry_delay_ms;
            }
        }
        if self.pending.is_empty() && now < self.archive_not_before {
            self.phase = Phase::Idle;
            return;
        }
        self.commit(now, false, outputs);
    }

    /// Replaces the claims of a written segment by a reference to it. The segment is not used if
    /// another writer has changed or archived its claims.
    pub(super) fn archive(&mut self, candidate: &mut Shard, outputs: &mut Vec<Output>) {
        let Some(archiving) = self.archiving.take_if(|archiving| archiving.written) else {
            return;
        };
        if candidate.has_segment(&archiving.name) {
            return;
        }
        if candidate.archive(&archiving.name, &archiving.segment) {
            // The segment stays in `archiving` until a write of the shard object that refers to it is
            // confirmed.
            self.archiving = Some(Archiving {
                referenced: true,
                ..archiving
            });
        } else if !archiving.referenced {
            let name = archiving.name;
            outputs.push(Output::DeleteSegment { name });
        }
    }
}
