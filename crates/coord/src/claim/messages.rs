//! Settings, inputs and outputs of the group commit.

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::segment::Segment;
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
    pub read_retry_delay_ms: Millis,
    /// The age at which settled claims are deleted.
    pub retention_ms: Millis,
    /// The age at which released claims are deleted.
    pub released_retention_ms: Millis,
    /// The size of the shard's content above which settled claims are moved to a segment.
    pub archive_above_bytes: usize,
    /// The time between a failed write of a segment and the next.
    pub archive_retry_delay_ms: Millis,
    /// The largest number of commands that wait. Further commands are answered as unavailable.
    pub max_pending: usize,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self {
            group_commit_ms: Millis(5),
            unavailable_after_ms: Millis(1_000),
            operation_timeout_ms: Millis(500),
            read_retry_delay_ms: Millis(100),
            retention_ms: Millis(86_400_000),
            released_retention_ms: Millis(600_000),
            archive_above_bytes: 256_000,
            archive_retry_delay_ms: Millis(10_000),
            max_pending: 4_096,
        }
    }
}

/// Identifies a command within its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct CommandId(pub u64);

/// Identifies a read or write within its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct OperationId(pub u64);

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
        command_id: CommandId,
        /// The command.
        command: ClaimCommand,
        /// The writer's wall time, used for retention only.
        wall_ms: Millis,
    },
    /// The result of a read.
    Read {
        /// The read.
        operation: OperationId,
        /// The result.
        result: ReadResult,
    },
    /// The result of a write.
    Write {
        /// The write.
        operation: OperationId,
        /// The result.
        result: WriteResult,
    },
    /// The result of the read of a segment; nothing when it does not exist or cannot be read.
    Segment {
        /// The read.
        operation: OperationId,
        /// The segment.
        segment: Option<Segment>,
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
        operation: OperationId,
    },
    /// The shell writes the object if it has the expected version.
    Write {
        /// The write.
        operation: OperationId,
        /// The expected version, or `None` when the object must not exist.
        expected: Option<u64>,
        /// The content.
        shard: Shard,
    },
    /// The shell reads a segment.
    ReadSegment {
        /// The read.
        operation: OperationId,
        /// The name of the segment within the shard.
        name: String,
    },
    /// The shell creates a segment if no object has its name, and reports [`Input::Write`].
    WriteSegment {
        /// The write.
        operation: OperationId,
        /// The name of the segment within the shard.
        name: String,
        /// The content.
        segment: Segment,
    },
    /// The shell deletes a segment that nothing refers to, without a report.
    DeleteSegment {
        /// The name of the segment within the shard.
        name: String,
    },
    /// The reply to a command.
    Reply {
        /// The command.
        command_id: CommandId,
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
    /// Segments that were written.
    pub segments: u64,
    /// Commands that were answered as unavailable.
    pub unavailable: u64,
}
