//! Inputs and outputs of the queue of a stage service.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::stage_graph::PieceFailure;
use crate::serving::stage_graph::PieceProgress;
use arbutus_coord::Millis;

/// Names the queue of a stage service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueName {
    /// Name of the stage service.
    pub service: String,
    /// Failure domain of the targets of the queue; `None` if one queue serves all targets.
    pub failure_domain: Option<String>,
}

impl fmt::Display for QueueName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let domain = self.failure_domain.as_deref().unwrap_or("all");
        write!(f, "{}/{domain}", self.service)
    }
}

/// Identifies pieces that one instance submitted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId {
    /// Number that the owner of the queue gave to the submitting instance.
    pub submitter: u64,
    /// Number that the submitting instance chose.
    pub number: u64,
}

/// What a piece is computed from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// Key that the request states for its pieces, for stages that depend on no other stage.
    Key(String),
    /// Handles of the results of the stages that the stage depends on.
    Inputs(Vec<String>),
}

/// Pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier of the submission.
    pub id: SubmissionId,
    /// Identifier of the request.
    pub request: String,
    /// Index of the stage.
    pub stage: u32,
    /// Indices of the pieces.
    pub pieces: Vec<u32>,
    /// What the pieces are computed from.
    pub source: PieceSource,
    /// Failure domain in which the pieces should preferably be computed.
    pub failure_domain: String,
    /// Time by which the pieces should be computed for the request to meet its latency objective.
    pub due: Millis,
    /// Deadline of the request, at which pieces that are still waiting fail.
    pub deadline: Millis,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Approximate size of the result of one piece.
    pub result_bytes: u64,
}

/// A piece in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPiece {
    /// Identifier of the piece within its queue.
    pub key: u64,
    /// Identifier of the request.
    pub request: String,
    /// Index of the stage.
    pub stage: u32,
    /// Index of the piece.
    pub piece: u32,
    /// What the piece is computed from.
    pub source: PieceSource,
    /// Time until the deadline of the request.
    pub remaining_ms: Millis,
}

/// A call that should be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the target.
    pub target: String,
    /// Pieces that the target should compute.
    pub pieces: Vec<CallPiece>,
    /// Time after which the call should be abandoned.
    pub timeout_ms: Millis,
    /// Time that the oldest of the pieces waited in the queue.
    pub waited_ms: Millis,
    /// Number of pieces that are still waiting in the queue.
    pub still_waiting: usize,
    /// Result space that is left at the target after all pieces of this call are computed.
    pub free_result_bytes: u64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target responded. Holds the result handle or failure of each piece in the order of the
    /// call.
    Responded(Vec<Result<String, PieceFailure>>),
    /// The target was full and executed nothing.
    Full {
        /// How long the target gets no further calls because it asked for that; `None` if it did
        /// not.
        backoff_ms: Option<Millis>,
    },
    /// The target did not respond, or its response was unusable.
    Broken,
}

/// Progress of a piece, to be reported to its submitter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceReport {
    /// Submission that contains the piece.
    pub submission: SubmissionId,
    /// Index of the piece.
    pub piece: u32,
    /// Progress of the piece.
    pub progress: PieceProgress,
}
