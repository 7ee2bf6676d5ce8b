//! Events that are delivered to the instances, the platform and the target.

use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Segment;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::writer::OperationId;

/// The outcome that the client of a call received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    NotExecuted,
    Response(Option<String>),
    Unknown,
    Conflict,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A message to the instance with this index and boot identifier; dropped if it has restarted.
    Message(usize, u64, Message),
    /// A read of the shard object by the instance with this index and boot identifier arrives at
    /// the platform.
    ReadArrives(usize, u64, OperationId),
    /// A write of the shard object by an instance arrives at the platform, with the expected
    /// version.
    WriteArrives(usize, u64, OperationId, Option<u64>, Shard),
    /// A read of a segment by an instance arrives at the platform.
    SegmentReadArrives(usize, u64, OperationId, String),
    /// A write of a segment by an instance arrives at the platform.
    SegmentWriteArrives(usize, u64, OperationId, String, Segment),
    /// The deletion of a segment arrives at the platform.
    SegmentDeletionArrives(String),
    /// A call of an instance arrives at the target.
    CallArrives(usize, u64, ClaimKey, AttemptId),
}

#[derive(Clone, Debug)]
pub enum Message {
    /// The result of a read or write, for the shard writer.
    Writer(Input),
    /// A command for the shard writer, from the instance with this index and boot identifier.
    Command(usize, u64, ClaimCommand),
    /// The reply of a shard writer to a command of this instance.
    Reply(ClaimCommand, ClaimReply),
    /// The time limit of a proposal has passed.
    ProposalTimeout(AttemptId),
    /// The random delay between the confirmation of a claim and its dispatch has passed.
    Dispatch(AttemptId),
    /// The target's response, or `None` when the call was interrupted.
    TargetResponse(AttemptId, Option<String>),
}
