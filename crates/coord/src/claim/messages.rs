//! Settings, inputs, outputs and counters of a shard writer.
//!
//! The writer is a state machine without I/O: its caller performs the reads and writes of the
//! outputs and passes their results back as inputs.

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::segment::Segment;
use crate::claim::shard::Shard;
use crate::clock::Millis;

/// Settings of a shard writer.
#[derive(Clone, Copy, Debug)]
pub struct WriterSettings {
    /// How long commands are collected, from the arrival of the first, before they are written
    /// together.
    pub group_commit_ms: Millis,
    /// The time after which a command without a result is answered with
    /// [`ClaimReply::Unavailable`].
    pub unavailable_after_ms: Millis,
    /// The time after which the response to a read or write counts as lost.
    pub operation_timeout_ms: Millis,
    /// The delay between a failed read or write and the next read.
    pub read_retry_delay_ms: Millis,
    /// The age above which settled claims are deleted.
    pub retention_ms: Millis,
    /// The age above which released claims are deleted.
    pub released_retention_ms: Millis,
    /// The estimated size of the shard's content above which settled claims are moved to a segment.
    pub archive_above_bytes: usize,
    /// The delay between a failed write of a segment and the next.
    pub archive_retry_delay_ms: Millis,
    /// The largest number of pending commands. Further commands are answered with
    /// [`ClaimReply::Unavailable`].
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

/// Identifies a command within its writer; chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct CommandId(pub u64);

/// Identifies a read or write within its writer; chosen by the writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct OperationId(pub u64);

/// Result of a read of the shard object.
#[derive(Clone, Debug)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// The version of the object.
        version: u64,
        /// The content, which was verified with [`Shard::verify`].
        shard: Shard,
    },
    /// The object does not exist.
    Absent,
    /// There was no response, or the content is invalid.
    Failed,
}

/// Result of a conditional write of the shard object or a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// The version that the write created.
        version: u64,
    },
    /// The object does not have the expected version, so the write had no effect.
    Conflict,
    /// The write certainly had no effect, for example because no connection was established.
    NotWritten,
    /// There was no usable response. The write may have taken effect or may still do so.
    Lost,
}

/// Input of a shard writer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A command to commit.
    Command {
        /// The identifier of the command, unique within the writer.
        command_id: CommandId,
        /// The command to apply.
        command: ClaimCommand,
        /// The writer's time since the Unix epoch; used for retention only.
        wall_ms: Millis,
    },
    /// The read of the shard object ended.
    Read {
        /// The identifier from [`Output::Read`].
        operation: OperationId,
        /// How the read ended.
        result: ReadResult,
    },
    /// The write of the shard object or of a segment ended.
    Write {
        /// The identifier from [`Output::Write`] or [`Output::WriteSegment`].
        operation: OperationId,
        /// How the write ended.
        result: WriteResult,
    },
    /// The read of a segment ended.
    Segment {
        /// The identifier from [`Output::ReadSegment`].
        operation: OperationId,
        /// The segment, or `None` when it does not exist or could not be read.
        segment: Option<Segment>,
    },
    /// Time has passed.
    Tick,
    /// Reads the shard object unless the writer is busy, to update [`ShardWriter::content`].
    ///
    /// [`ShardWriter::content`]: crate::claim::ShardWriter::content
    Refresh,
}

/// Output of a shard writer.
#[derive(Clone, Debug)]
pub enum Output {
    /// The caller reads the shard object and passes the result back as [`Input::Read`].
    Read {
        /// The identifier to pass back in the input.
        operation: OperationId,
    },
    /// The caller writes the shard object if it has the expected version, and passes the result back
    /// as [`Input::Write`].
    Write {
        /// The identifier to pass back in the input.
        operation: OperationId,
        /// The expected version, or `None` when the object must not exist.
        expected: Option<u64>,
        /// The content to write.
        shard: Shard,
    },
    /// The caller reads a segment and passes the result back as [`Input::Segment`].
    ReadSegment {
        /// The identifier to pass back in the input.
        operation: OperationId,
        /// The name of the segment within the shard.
        name: String,
    },
    /// The caller creates a segment if no object has its name, and passes the result back as
    /// [`Input::Write`].
    WriteSegment {
        /// The identifier to pass back in the input.
        operation: OperationId,
        /// The name of the segment within the shard.
        name: String,
        /// The content to write.
        segment: Segment,
    },
    /// The caller deletes a segment to which the shard object does not refer. The result is not
    /// passed back.
    DeleteSegment {
        /// The name of the segment within the shard.
        name: String,
    },
    /// The caller passes the reply to the sender of the command.
    Reply {
        /// The identifier from [`Input::Command`].
        command_id: CommandId,
        /// The reply to the command.
        reply: ClaimReply,
    },
}

/// Counters of a shard writer since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WriterCounters {
    /// Reads of the shard object and of segments.
    pub reads: u64,
    /// Writes of the shard object and of segments.
    pub writes: u64,
    /// Writes of the shard object that failed because it did not have the expected version.
    pub conflicts: u64,
    /// Writes of the shard object without a usable response.
    pub lost_writes: u64,
    /// Reads without a usable result, and writes of the shard object that certainly had no effect.
    pub failures: u64,
    /// Segments that were created.
    pub segments: u64,
    /// Commands that were answered with [`ClaimReply::Unavailable`].
    pub unavailable: u64,
}
