//! Commands on a shard and their answers.
//!
//! Every command is idempotent by its attempt identifier, so it can be repeated after a lost
//! answer.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::record::AttemptId;
use crate::claim::record::ClaimKey;
use crate::claim::record::Fingerprint;
use crate::claim::record::Holder;
use crate::claim::record::SettledBy;
use crate::claim::record::StoredResponse;
use crate::claim::record::UnknownReason;
use crate::clock::Millis;

/// An attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The identity of the request.
    pub key: ClaimKey,
    /// The fingerprint of the body.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: AttemptId,
    /// The process that wants to run the request.
    pub holder: Holder,
    /// The proposer's wall time.
    pub wall_ms: Millis,
}

/// A command on one claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Claims a key for an attempt.
    Propose(Proposal),
    /// Records the outcome of a dispatched attempt.
    Settle {
        /// The identity of the request.
        key: ClaimKey,
        /// The attempt that ran.
        attempt: AttemptId,
        /// The answer for resends.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// The sender's wall time.
        wall_ms: Millis,
    },
    /// Gives up an attempt that was not and will not be dispatched. It carries the whole proposal,
    /// because the release may arrive before the proposal.
    Release(Proposal),
    /// Records that an attempt may have run and that its outcome cannot be learnt.
    MarkUnknown {
        /// The identity of the request.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Why the outcome is unknown.
        reason: UnknownReason,
        /// The sender's wall time.
        wall_ms: Millis,
    },
    /// Records the outcome of an unknown attempt, as found by an operator. This is final.
    OperatorSettle {
        /// The identity of the request.
        key: ClaimKey,
        /// The attempt that the operator has examined.
        attempt: AttemptId,
        /// The answer for resends.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// The operator's note.
        note: String,
        /// The sender's wall time.
        wall_ms: Millis,
    },
    /// Reads the state of a key.
    LookUp {
        /// The identity of the request.
        key: ClaimKey,
    },
}

impl ClaimCommand {
    /// Returns the identity of the request.
    #[must_use]
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Propose(proposal) | Self::Release(proposal) => &proposal.key,
            Self::Settle { key, .. }
            | Self::MarkUnknown { key, .. }
            | Self::OperatorSettle { key, .. }
            | Self::LookUp { key } => key,
        }
    }

    /// Returns the attempt, which a look-up does not have.
    #[must_use]
    pub fn attempt(&self) -> Option<&AttemptId> {
        match self {
            Self::Propose(proposal) | Self::Release(proposal) => Some(&proposal.attempt),
            Self::Settle { attempt, .. }
            | Self::MarkUnknown { attempt, .. }
            | Self::OperatorSettle { attempt, .. } => Some(attempt),
            Self::LookUp { .. } => None,
        }
    }

    /// Returns the sender's wall time, which a look-up does not have.
    #[must_use]
    pub fn wall_ms(&self) -> Option<Millis> {
        match self {
            Self::Propose(proposal) | Self::Release(proposal) => Some(proposal.wall_ms),
            Self::Settle { wall_ms, .. }
            | Self::MarkUnknown { wall_ms, .. }
            | Self::OperatorSettle { wall_ms, .. } => Some(*wall_ms),
            Self::LookUp { .. } => None,
        }
    }
}

/// The answer of a shard to a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The proposing attempt holds the claim.
    Claimed,
    /// Another attempt holds the claim and may be running.
    Running {
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// The process that made the attempt.
        holder: Holder,
    },
    /// The outcome is recorded.
    Settled {
        /// The answer for resends.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// Who recorded it.
        by: SettledBy,
    },
    /// The request may have run, and is never run again under this key.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// The attempt of the command, or for a look-up the last attempt, has been released.
    Released,
    /// The command's outcome is recorded.
    Recorded,
    /// The key is in use for another body.
    Conflict,
    /// The shard has no room; nothing was changed.
    Full,
    /// The key has no claim.
    Absent,
    /// The command's attempt does not hold the claim; nothing was changed.
    NotHolder,
}

/// The reply of a writer to a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The answer is based on a version that the platform returned.
    Decided(ClaimResult),
    /// The platform could not be reached in time.
    Unavailable {
        /// Whether the command may have taken effect or may still do so. A writer knows only the
        /// copy that it received: whoever sent several copies has to assume that one may land.
        may_have_landed: bool,
    },
}
