//! Life cycle of a claim at the instance that dispatches the request.
//!
//! ```text
//! Claim<Proposed> --claimed--> Claim<Confirmed> --within window--> Claim<Dispatched>
//!        |                          |  ^                                |
//!        | may have taken effect    |  '------ nothing was sent --------|
//!        v                          v                                   v
//!        '----------------> Claim<Finalizing>                   Claim<Finalizing>
//!                               (release)                       (settle or mark unknown)
//! ```
//!
//! Only a confirmed claim can be dispatched, and only a claim that was not dispatched can be
//! released: the types permit no other transition. [`Claim::dispatch`] checks the dispatch window.

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

/// Time after the proposal within which the request may be dispatched.
pub const DISPATCH_WINDOW_MS: Millis = Millis(2_000);

/// State of a claim that was proposed and has no result yet.
#[derive(Debug)]
pub struct Proposed {
    dispatch_deadline: Millis,
}

/// State of a claim that is contained in a version of the shard that the platform returned.
#[derive(Debug)]
pub struct Confirmed {
    dispatch_deadline: Millis,
}

/// State of a claim whose request may have reached a target.
#[derive(Debug)]
pub struct Dispatched {
    dispatch_deadline: Millis,
}

/// State of a claim whose final command (release, settle or mark as unknown) has to be sent until
/// it is decided.
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
/// The caller creates it only when the connection to the target was not established.
#[derive(Debug)]
pub struct NotSent(());

impl NotSent {
    /// States that the connection to the target was not established.
    #[must_use]
    pub fn connection_not_established() -> Self {
        Self(())
    }
}

/// Why the attempt does not dispatch the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotExecutedReason {
    /// The writer replied [`ClaimReply::Unavailable`] to the proposal.
    Unavailable,
    /// The dispatch window had passed when the result arrived, or the writer replied with a result
    /// that does not belong to a proposal.
    #[strum(serialize = "late")]
    DispatchWindowPassed,
    /// The shard has no space for another claim.
    ShardFull,
    /// The attempt has already been released.
    #[strum(serialize = "withdrawn")]
    Released,
}

/// Result of a proposal.
#[derive(Debug)]
pub enum ProposalResult {
    /// The claim is confirmed.
    Confirmed(Claim<Confirmed>),
    /// This attempt does not dispatch the request. If the second field is set, the claim may exist at
    /// the platform, and its release has to be sent until it is decided.
    NotExecuted(NotExecutedReason, Option<Claim<Finalizing>>),
    /// Another attempt holds the claim, and the caller waits for the outcome of that attempt. If the
    /// caller tries again later, it needs a new attempt identifier. It abandons this claim if a copy
    /// of the proposal may still arrive at a writer.
    Running(Claim<Proposed>),
    /// The response is already recorded.
    Settled {
        /// The response for the client.
        response: StoredResponse,
        /// Who recorded the response.
        by: SettledBy,
    },
    /// The request may have been executed and is not executed again.
    Unknown,
    /// The key is in use for a request with another body. The caller abandons this claim if a copy
    /// of the proposal may still arrive at a writer.
    Conflict(Claim<Proposed>),
}

impl<S: fmt::Debug> Claim<S> {
    /// Returns the attempt that proposed the claim.
    #[must_use]
    pub fn attempt(&self) -> &AttemptId {
        &self.proposal.attempt
    }

    /// Returns the proposal, which the claim keeps in every state.
    #[must_use]
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    fn finalize_with_release(self) -> Claim<Finalizing> {
        let command = ClaimCommand::Release((*self.proposal).clone());
        self.finalize(command)
    }

    fn finalize(self, command: ClaimCommand) -> Claim<Finalizing> {
        Claim {
            proposal: self.proposal,
            state: Finalizing {
                command: Box::new(command),
            },
        }
    }
}

impl Claim<Proposed> {
    /// Creates a claim that is proposed at `now` by the holder's monotonic clock and can be
    /// dispatched for `dispatch_window` from then.
    #[must_use]
    pub fn new(now: Millis, proposal: Proposal, dispatch_window: Millis) -> Self {
        Self {
            proposal: Box::new(proposal),
            state: Proposed {
                dispatch_deadline: now + dispatch_window,
            },
        }
    }

    /// Returns the command to send. It may be sent to several writers, because it is idempotent.
    #[must_use]
    pub fn command(&self) -> ClaimCommand {
        ClaimCommand::Propose((*self.proposal).clone())
    }

    /// Handles the reply to the command.
    #[must_use]
    pub fn resolve(self, now: Millis, reply: ClaimReply) -> ProposalResult {
        let result = match reply {
            ClaimReply::Decided(result) => result,
            ClaimReply::Unavailable { may_have_landed } => {
                let finalizing = may_have_landed.then(|| self.finalize_with_release());
                return ProposalResult::NotExecuted(NotExecutedReason::Unavailable, finalizing);
            }
        };
        match result {
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
            ClaimResult::Released => ProposalResult::NotExecuted(NotExecutedReason::Released, None),
            // `Claimed` arrived after the dispatch window. The other results do not belong to a
            // proposal. In both cases the claim may exist.
            ClaimResult::Claimed
            | ClaimResult::Recorded
            | ClaimResult::Absent
            | ClaimResult::NotHolder => ProposalResult::NotExecuted(
                NotExecutedReason::DispatchWindowPassed,
                Some(self.finalize_with_release()),
            ),
        }
    }

    /// Abandons the claim without waiting for a reply. It may exist at the platform, so the caller
    /// has to send its release.
    #[must_use]
    pub fn abandon(self) -> Claim<Finalizing> {
        self.finalize_with_release()
    }
}

impl Claim<Confirmed> {
    /// Returns the time by the holder's monotonic clock at which the dispatch window ends.
    #[must_use]
    pub fn dispatch_deadline(&self) -> Millis {
        self.state.dispatch_deadline
    }

    /// Changes the claim to dispatched. The caller has to dispatch the request immediately after
    /// this call.
    ///
    /// # Errors
    ///
    /// Returns the claim with its release as the final command when the dispatch window has passed.
    pub fn dispatch(self, now: Millis) -> Result<Claim<Dispatched>, Claim<Finalizing>> {
        if now >= self.state.dispatch_deadline {
            return Err(self.finalize_with_release());
        }
        Ok(Claim {
            proposal: self.proposal,
            state: Dispatched {
                dispatch_deadline: self.state.dispatch_deadline,
            },
        })
    }

    /// Ends the claim without a dispatch; the final command releases it.
    #[must_use]
    pub fn release(self) -> Claim<Finalizing> {
        self.finalize_with_release()
    }
}

impl Claim<Dispatched> {
    /// Reverts the dispatch, given the proof that nothing was sent. The request can then be
    /// dispatched to another target within the dispatch window, or the claim released.
    #[must_use]
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a proof holds for one dispatch only"
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

    /// Ends the claim with the response of the target, which the final command records. `wall_ms` is
    /// the time since the Unix epoch.
    #[must_use]
    pub fn settle(self, response: StoredResponse, wall_ms: Millis) -> Claim<Finalizing> {
        let command = ClaimCommand::Settle {
            key: self.proposal.key.clone(),
            attempt: self.proposal.attempt.clone(),
            response,
            wall_ms,
        };
        self.finalize(command)
    }

    /// Ends the claim after a call without a complete response; the final command marks it as
    /// unknown. `wall_ms` is the time since the Unix epoch.
    #[must_use]
    pub fn mark_unknown(self, wall_ms: Millis) -> Claim<Finalizing> {
        let command = ClaimCommand::MarkUnknown {
            key: self.proposal.key.clone(),
            attempt: self.proposal.attempt.clone(),
            reason: UnknownReason::CallInterrupted,
            wall_ms,
        };
        self.finalize(command)
    }
}

/// Result of a final command.
#[derive(Debug)]
pub enum FinalizeResult {
    /// The command has taken effect, or the claim already had an outcome.
    Done,
    /// An operator has already settled the claim, so the command has no effect.
    Overridden {
        /// The operator's response, which client retries receive.
        response: StoredResponse,
    },
    /// According to the reply, the attempt does not hold the claim: the writer's read was stale, or
    /// the record was lost or edited manually. The command is retried a limited number of times.
    NotHolder(Claim<Finalizing>),
    /// The command was not committed, or the shard was full. It has to be sent again.
    Retry(Claim<Finalizing>),
}

impl Claim<Finalizing> {
    /// Returns the final command, to be sent until it is decided.
    #[must_use]
    pub fn command(&self) -> &ClaimCommand {
        &self.state.command
    }

    /// Handles the reply to the command.
    #[must_use]
    pub fn resolve(self, reply: &ClaimReply) -> FinalizeResult {
        let ClaimReply::Decided(result) = reply else {
            return FinalizeResult::Retry(self);
        };
        match result {
            ClaimResult::Settled {
                response,
                by: SettledBy::Operator(_),
            } => FinalizeResult::Overridden {
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
