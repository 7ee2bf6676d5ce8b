//! What travels between the instances, the platform and the target.

use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Segment;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::writer::OperationId;

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    NotRun,
    Answer(Option<String>),
    Unknown,
    Conflict,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// Something for an instance, void when the instance has been restarted.
    Instance(usize, u64, Message),
    ReadArrives(usize, u64, OperationId),
    WriteArrives(usize, u64, OperationId, Option<u64>, Shard),
    SegmentReadArrives(usize, u64, OperationId, String),
    SegmentWriteArrives(usize, u64, OperationId, String, Segment),
    SegmentDeleted(String),
    CallArrives(usize, u64, ClaimKey, AttemptId),
}

#[derive(Clone, Debug)]
pub enum Message {
    Writer(Input),
    Command(usize, u64, ClaimCommand),
    Reply(ClaimCommand, ClaimReply),
    ProposalTimeout(AttemptId),
    Dispatch(AttemptId),
    TargetAnswer(AttemptId, Option<String>),
}
