//! What goes into the queue of a stage service and what comes out.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::stage_graph::PieceFailure;
use crate::serving::stage_graph::PieceProgress;
use arbutus_coord::Millis;

/// Names the queue of a stage service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueName {
    /// The service.
    pub service: String,
    /// The failure domain of its targets; none where one queue serves all of them.
    pub failure_domain: Option<String>,
}

impl fmt::Display for QueueName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let domain = self.failure_domain.as_deref().unwrap_or("all");
        write!(f, "{}/{domain}", self.service)
    }
}

/// Identifies the pieces that one instance submitted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId {
    /// The submitting instance, numbered by the owner.
    pub submitter: u64,
    /// The number that the submitting instance chose.
    pub number: u64,
}

/// Where the work of a piece begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// The key of the request, for stages that come after none.
    Key(String),
    /// The results of the stages before.
    Inputs(Vec<String>),
}

/// Pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifies the submission.
    pub id: SubmissionId,
    /// The identifier of the request.
    pub request: String,
    /// The position of the stage.
    pub stage: u32,
    /// The positions of the pieces.
    pub pieces: Vec<u32>,
    /// Where the work begins.
    pub source: PieceSource,
    /// The failure domain where results are wanted.
    pub failure_domain: String,
    /// When the pieces should be made for the request to be on time.
    pub due: Millis,
    /// When the request is given up.
    pub deadline: Millis,
    /// The rank of the request; 0 is the most urgent.
    pub priority: u32,
    /// The approximate size of a result.
    pub result_bytes: u64,
}

/// A piece in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPiece {
    /// Identifies the piece at the owner.
    pub key: u64,
    /// The identifier of the request.
    pub request: String,
    /// The position of the stage.
    pub stage: u32,
    /// The position of the piece.
    pub piece: u32,
    /// Where the work begins.
    pub source: PieceSource,
    /// How long the request still has.
    pub remaining_ms: Millis,
}

/// A call that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The target.
    pub target: String,
    /// The pieces.
    pub pieces: Vec<CallPiece>,
    /// How long the call may take.
    pub timeout_ms: Millis,
    /// How long the piece that waited longest was in the queue.
    pub waited_ms: Millis,
    /// The pieces that wait on after this call was formed.
    pub still_waiting: usize,
    /// The space for further results at the target.
    pub free_result_bytes: u64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered for each piece, in the order of the call.
    Responded(Vec<Result<String, PieceFailure>>),
    /// The target was full and ran nothing.
    Full,
    /// The target did not answer, or not usably.
    Broken,
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceOutcome {
    /// The submission of the piece.
    pub submission: SubmissionId,
    /// The position of the piece.
    pub piece: u32,
    /// What became of it.
    pub progress: PieceProgress,
}
