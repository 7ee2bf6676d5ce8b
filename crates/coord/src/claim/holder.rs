//! Life cycle of a claim at the instance that runs the request.
//!
//! ```text
//! Claim<Proposed> --claimed--> Claim<Confirmed> --within window--> Claim<Dispatched>
//!        |                          |  ^                                |
//!        | may have landed          |  '------ connection refused ------|
//!        v                          v                                   v
//!        '----------------> Claim<Finalizing> (release) <- never ---- Claim<Finalizing>
//!                                                                (settle or unknown)
//! ```
//!
//! Only a confirmed claim within its window becomes dispatched, and only a claim that was not
//! dispatched is released. The types leave no other way.

use std::fmt;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimReply;
use crate::claim::command::ClaimResult;
use crate::claim::command::Proposal;
use crate::claim::record::AttemptId;
use crate::claim::record::SettledBy;
use crate::claim::record::StoredResponse;
use crate::claim::record::UnknownReason;
use crate::clock::Millis;

/// Time after the proposal within which a claim may be dispatched.
pub const DISPATCH_WINDOW_MS: Millis = Millis(2_000);

/// The claim was proposed and its answer is awaited.
#[derive(Debug)]
pub struct Proposed {
    dispatch_deadline: Millis,
}

/// The claim is in a version that the platform returned.
#[derive(Debug)]
pub struct Confirmed {
    dispatch_deadline: Millis,
}

/// The request may have reached a target.
#[derive(Debug)]
pub struct Dispatched {
    dispatch_deadline: Millis,
}

/// The claim is about to be released, settled or marked as unknown.
#[derive(Debug)]
pub struct Finalizing {
    command: Box<ClaimCommand>,
}

/// A claim in one state of its life cycle.
#[derive(Debug)]
pub struct Claim<S> {
    proposal: Box<Proposal>,
    state: S,
}

/// Proof that no byte of a dispatched request left the instance.
///
/// A caller creates it only when the connection to the target was not established.
#[derive(Debug)]
pub struct NotSent(());

impl NotSent {
    /// States that the connection to the target was not established.
    #[must_use]
    pub fn connection_not_established() -> Self {
        Self(())
    }
}

/// Why a proposal ended without a claim and without effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotExecutedReason {
    /// The platform could not be reached in time.
    Unavailable,
    /// The claim was confirmed after its dispatch window.
    #[strum(serialize = "late")]
    DispatchWindowPassed,
    /// The shard has no room.
    ShardFull,
    /// The attempt was withdrawn before.
    Withdrawn,
}

/// Result of a proposal.
#[derive(Debug)]
pub enum ProposalResult {
    /// The claim is confirmed.
    Confirmed(Claim<Confirmed>),
    /// The request is not run by this attempt. When a claim is given, it may exist at the platform
    /// and has to be released in the background.
    NotExecuted(NotExecutedReason, Option<Claim<Finalizing>>),
    /// Another attempt holds the claim; its outcome is to be awaited. A later attempt needs a new
    /// identifier. This one is abandoned where a copy of its proposal may still arrive.
    Running(Claim<Proposed>),
    /// The outcome is recorded.
    Settled {
        /// The answer for the caller.
        response: StoredResponse,
        /// Who recorded it.
        by: SettledBy,
    },
    /// The request may have run and is not run again.
    Unknown,
    /// The key is in use for another body. As for a running claim, this one may be abandoned.
    Conflict(Claim<Proposed>),
}

impl<S: fmt::Debug> Claim<S> {
    /// Returns the attempt.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.proposal.attempt
    }

    /// Returns the proposal.
    #[must_use]
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    fn release(self) -> Claim<Finalizing> {
        let command = ClaimCommand::Release((*self.proposal).clone());
        self.close(command)
    }

    fn close(self, command: ClaimCommand) -> Claim<Finalizing> {
        Claim {
            proposal: self.proposal,
            state: Finalizing {
                command: Box::new(command),
            },
        }
    }
}

impl Claim<Proposed> {
    /// Creates a claim that is proposed at `now` on the holder's monotonic clock.
    #[must_use]
    pub fn new(now: Millis, proposal: Proposal, window: Millis) -> Self {
        Self {
            proposal: Box::new(proposal),
            state: Proposed {
                dispatch_deadline: now + window,
            },
        }
    }

    /// Returns the command to send. It may be sent to several writers.
    #[must_use]
    pub fn command(&self) -> ClaimCommand {
        ClaimCommand::Propose((*self.proposal).clone())
    }

    /// Takes the reply to the command.
    #[must_use]
    pub fn resolve(self, now: Millis, reply: ClaimReply) -> ProposalResult {
        let answer = match reply {
            ClaimReply::Decided(answer) => answer,
            ClaimReply::Unavailable { may_have_landed } => {
                let closing = may_have_landed.then(|| self.release());
                return ProposalResult::NotExecuted(NotExecutedReason::Unavailable, closing);
            }
        };
        match answer {
            ClaimResult::Claimed if now < self.state.dispatch_deadline => {
                ProposalResult::Confirmed(Claim {
                    proposal: self.proposal,
                    state: Confirmed {
                        dispatch_deadline: self.state.dispatch_deadline,
                    },
                })
            }
            ClaimResult::Running { .. } => ProposalResult::Running(self),
            ClaimResult::Settled { response, by } => ProposalResult::Settled { response, by },
            ClaimResult::Unknown { .. } => ProposalResult::Unknown,
            ClaimResult::Conflict => ProposalResult::Conflict(self),
            ClaimResult::Full => ProposalResult::NotExecuted(NotExecutedReason::ShardFull, None),
            ClaimResult::Released => {
                ProposalResult::NotExecuted(NotExecutedReason::Withdrawn, None)
            }
            // The other answers do not belong to a proposal. They prove nothing.
            ClaimResult::Claimed
            | ClaimResult::Recorded
            | ClaimResult::Absent
            | ClaimResult::NotHolder => ProposalResult::NotExecuted(
                NotExecutedReason::DispatchWindowPassed,
                Some(self.release()),
            ),
        }
    }

    /// Gives the claim up without a reply. It may exist at the platform.
    #[must_use]
    pub fn abandon(self) -> Claim<Finalizing> {
        self.release()
    }
}

impl Claim<Confirmed> {
    /// Returns the time at which the dispatch window ends.
    #[must_use]
    pub fn dispatch_deadline(&self) -> Millis {
        self.state.dispatch_deadline
    }

    /// Allows the dispatch of the request, which has to follow at once.
    ///
    /// # Errors
    ///
    /// Returns the claim to be released when the dispatch window has passed.
    pub fn dispatch(self, now: Millis) -> Result<Claim<Dispatched>, Claim<Finalizing>> {
        if now >= self.state.dispatch_deadline {
            return Err(self.release());
        }
        Ok(Claim {
            proposal: self.proposal,
            state: Dispatched {
                dispatch_deadline: self.state.dispatch_deadline,
            },
        })
    }

    /// Gives the claim up without dispatching the request.
    #[must_use]
    pub fn withdraw(self) -> Claim<Finalizing> {
        self.release()
    }
}

impl Claim<Dispatched> {
    /// Takes the dispatch back on the proof that nothing was sent. The claim can be dispatched to
    /// another target within the window, or withdrawn.
    #[must_use]
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a proof is good for one dispatch only"
    )]
    pub fn revert_dispatch(self, proof: NotSent) -> Claim<Confirmed> {
        let NotSent(()) = proof;
        Claim {
            proposal: self.proposal,
            state: Confirmed {
                dispatch_deadline: self.state.dispatch_deadline,
            },
        }
    }

    /// Records the answer of the request.
    #[must_use]
    pub fn settle(self, response: StoredResponse, wall_ms: Millis) -> Claim<Finalizing> {
        let command = ClaimCommand::Settle {
            key: self.proposal.key.clone(),
            attempt: self.proposal.attempt.clone(),
            response,
            wall_ms,
        };
        self.close(command)
    }

    /// Records that the call ended without a whole answer.
    #[must_use]
    pub fn mark_unknown(self, wall_ms: Millis) -> Claim<Finalizing> {
        let command = ClaimCommand::MarkUnknown {
            key: self.proposal.key.clone(),
            attempt: self.proposal.attempt.clone(),
            reason: UnknownReason::CallInterrupted,
            wall_ms,
        };
        self.close(command)
    }
}

/// Result of a closing command.
#[derive(Debug)]
pub enum FinalizeResult {
    /// The command has taken effect.
    Done,
    /// An operator has settled the claim before.
    SettledByOperator {
        /// The operator's answer, which resends receive.
        response: StoredResponse,
    },
    /// The attempt does not hold the claim. The read was out of date, or the record was lost or
    /// changed by hand. The command is worth a few repetitions.
    NotHolder(Claim<Finalizing>),
    /// The command has to be repeated.
    Retry(Claim<Finalizing>),
}

impl Claim<Finalizing> {
    /// Returns the command to send until it is decided.
    #[must_use]
    pub fn command(&self) -> &ClaimCommand {
        &self.state.command
    }

    /// Takes the reply to the command.
    #[must_use]
    pub fn resolve(self, reply: &ClaimReply) -> FinalizeResult {
        let ClaimReply::Decided(answer) = reply else {
            return FinalizeResult::Retry(self);
        };
        match answer {
            ClaimResult::Settled {
                response,
                by: SettledBy::Operator(_),
            } => FinalizeResult::SettledByOperator {
                response: response.clone(),
            },
            ClaimResult::Recorded
            | ClaimResult::Released
            | ClaimResult::Settled { .. }
            | ClaimResult::Unknown { .. } => FinalizeResult::Done,
            ClaimResult::Full | ClaimResult::Claimed => FinalizeResult::Retry(self),
            ClaimResult::Running { .. }
            | ClaimResult::Conflict
            | ClaimResult::Absent
            | ClaimResult::NotHolder => FinalizeResult::NotHolder(self),
        }
    }
}
