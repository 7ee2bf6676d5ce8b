//! Commands on the claims of a shard, and their results.
//!
//! Each command that changes a claim names an attempt, which makes it idempotent: it can be sent
//! again when its reply was lost.

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

/// A request to claim a key for an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The request to which the claim belongs.
    pub key: ClaimKey,
    /// The fingerprint of the request's body.
    pub fingerprint: Fingerprint,
    /// The attempt that holds the claim if the proposal succeeds.
    pub attempt: AttemptId,
    /// The process that is going to dispatch the request.
    pub holder: Holder,
    /// The proposer's time since the Unix epoch; used for retention only.
    pub wall_ms: Millis,
}

/// A command on one claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Claims a key for an attempt if no other attempt holds it.
    Propose(Proposal),
    /// Records the response to the request that an attempt dispatched.
    Settle {
        /// The request to which the claim belongs.
        key: ClaimKey,
        /// The attempt that dispatched the request.
        attempt: AttemptId,
        /// The response for client retries of the request.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// The sender's time since the Unix epoch; used for retention only.
        wall_ms: Millis,
    },
    /// Releases the claim of an attempt that did not and will not dispatch its request. Carries the
    /// whole proposal, because the release may arrive before the proposal.
    Release(Proposal),
    /// Records that a target may have executed the request of an attempt and that the outcome
    /// cannot be determined.
    MarkUnknown {
        /// The request to which the claim belongs.
        key: ClaimKey,
        /// The attempt whose outcome is unknown.
        attempt: AttemptId,
        /// Why the outcome is unknown.
        reason: UnknownReason,
        /// The sender's time since the Unix epoch; used for retention only.
        wall_ms: Millis,
    },
    /// Settles a claim in state unknown with the outcome that an operator determined. Later commands
    /// do not change it.
    OperatorSettle {
        /// The request to which the claim belongs.
        key: ClaimKey,
        /// The attempt that the operator investigated.
        attempt: AttemptId,
        /// The response for client retries of the request.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// The operator's note, kept with the outcome.
        note: String,
        /// The sender's time since the Unix epoch; used for retention only.
        wall_ms: Millis,
    },
    /// Reads the state of a key.
    LookUp {
        /// The request to which the claim belongs.
        key: ClaimKey,
    },
}

impl ClaimCommand {
    /// Returns the request to which the claim belongs.
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

    /// Returns the attempt, or `None` for a look-up.
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

    /// Returns the sender's time since the Unix epoch, or `None` for a look-up.
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

/// The result of applying a command to a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The proposing attempt holds the claim.
    Claimed,
    /// An attempt holds the claim and its request may be executing. For a proposal, this is another
    /// attempt than its own.
    Running {
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// The process that made the attempt.
        holder: Holder,
    },
    /// The response is already recorded.
    Settled {
        /// The response for client retries of the request.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// Who recorded the response.
        by: SettledBy,
    },
    /// The request may have been executed, and is never executed again under this key.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// The attempt of the command is released. For a look-up: the attempt that held the claim last
    /// is released.
    Released,
    /// The command took effect, now or when it was applied before.
    Recorded,
    /// The key is in use for a request with another body.
    Conflict,
    /// The shard has no space left; nothing was changed.
    Full,
    /// The key has no claim.
    Absent,
    /// The command's attempt does not hold the claim; nothing was changed.
    NotHolder,
}

/// The reply of a [`ShardWriter`](crate::claim::ShardWriter) to a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The result of the command, based on a version of the shard object that the platform returned.
    Decided(ClaimResult),
    /// The command could not be committed within the time limit.
    Unavailable {
        /// Whether the command may have taken effect or may still do so. This covers only the copy
        /// of the command that this writer received: a sender of several copies has to assume that
        /// one of them may take effect.
        may_have_landed: bool,
    },
}
