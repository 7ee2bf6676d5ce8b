//! The claim of one request, from its proposal to its recorded outcome.

use std::thread;

use crate::claims::COMMAND_TIMEOUT_MS;
use crate::claims::is_decided_without_claim;
use crate::node::Node;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::ClaimResult;
use arbutus_coord::claim::Fingerprint;
use arbutus_coord::claim::Holder;
use arbutus_coord::claim::StoredResponse;
use arbutus_coord::claim::command::Proposal as ClaimProposal;
use arbutus_coord::claim::holder::Dispatched;
use arbutus_coord::claim::holder::FinalizeResult;
use arbutus_coord::claim::holder::Finalizing;
use arbutus_coord::claim::holder::NotExecutedReason;
use arbutus_coord::claim::holder::NotSent;
use arbutus_coord::claim::holder::ProposalResult;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::record::SettledBy;

/// Time between two looks at a claim that another attempt holds.
const RUNNING_POLL_MS: Millis = Millis(100);
/// Time before the deadline at which a resend stops to wait for the outcome.
const RUNNING_MARGIN_MS: Millis = Millis(50);
/// How long a caller's answer waits until its outcome is recorded.
const SETTLE_WAIT_MS: Millis = Millis(500);

/// How long a refusal waits for the claim of the request.
const LOOK_UP_TIMEOUT_MS: Millis = Millis(500);

/// A request to be claimed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The organisation.
    pub organisation: &'a str,
    /// The pipeline.
    pub pipeline: &'a str,
    /// The caller's key.
    pub idempotency_key: &'a str,
    /// The fingerprint of the body.
    pub fingerprint: u64,
    /// The identifier of the attempt.
    pub attempt: &'a str,
    /// The deadline of the request.
    pub deadline: Millis,
}

/// The result of a proposal.
#[derive(Debug)]
pub enum Proposal {
    /// This attempt may run the request.
    Confirmed(HeldClaim),
    /// The outcome is recorded.
    Settled {
        /// The answer.
        response: StoredResponse,
        /// Who recorded it.
        by: SettledBy,
    },
    /// The key was used with another body.
    KeyReused,
    /// Another attempt still runs at the deadline.
    InProgress,
    /// The request may have run and is not run again.
    Unknown,
    /// The platform cannot record the claim, so nothing is dispatched.
    Unavailable,
    /// There is no claim for another reason, so nothing is dispatched.
    NotRun(NotExecutedReason),
}

/// A claim that the platform has confirmed for this attempt, and whose request is dispatched.
#[derive(Debug)]
pub struct HeldClaim {
    claim: Claim<Dispatched>,
    dispatch_by: Millis,
}

impl HeldClaim {
    /// Returns the time after which the request must not be sent to a target.
    #[must_use]
    pub fn dispatch_by(&self) -> Millis {
        self.dispatch_by
    }
}

/// Proposes to run a request. While another attempt runs it, waits for the outcome.
#[must_use]
pub fn propose(node: &Node, request: ClaimRequest<'_>) -> Proposal {
    let mut round = 0_u32;
    loop {
        let result = propose_once(node, request, round);
        if !matches!(result, Proposal::InProgress) {
            return result;
        }
        if let Some(result) = wait_for_outcome(node, request) {
            return result;
        }
        round += 1;
    }
}

fn propose_once(node: &Node, request: ClaimRequest<'_>, round: u32) -> Proposal {
    if node.is_self_suspect() {
        return Proposal::NotRun(NotExecutedReason::Unavailable);
    }
    let now = node.now();
    let window = node.active().deployment.claims.dispatch_window_ms;
    let claim = Claim::<Proposed>::new(now, proposal(node, request, round), window);
    let timeout = (request.deadline - now).min(window);
    let submitted = node.claims.submit(node, &claim.command(), timeout);
    let now = node.now();
    if submitted.stray_copy && is_decided_without_claim(&submitted.reply) {
        // A copy that lands later would claim the key although nobody waits for it.
        let stray = Claim::<Proposed>::new(now, claim.proposal().clone(), Millis::ZERO);
        node.claims.close_later(now, stray.abandon());
    }
    match claim.resolve(now, submitted.reply) {
        ProposalResult::Confirmed(claim) => {
            let dispatch_by = claim.dispatch_deadline();
            match claim.dispatch(now) {
                Ok(claim) => Proposal::Confirmed(HeldClaim { claim, dispatch_by }),
                Err(late) => {
                    node.claims.close_later(now, late);
                    Proposal::NotRun(NotExecutedReason::DispatchWindowPassed)
                }
            }
        }
        ProposalResult::NotExecuted(reason, closing) => {
            if let Some(closing) = closing {
                node.claims.close_later(now, closing);
            }
            match reason {
                NotExecutedReason::Unavailable => Proposal::Unavailable,
                reason => Proposal::NotRun(reason),
            }
        }
        ProposalResult::Running(_) => Proposal::InProgress,
        ProposalResult::Settled { response, by } => Proposal::Settled { response, by },
        ProposalResult::Unknown => Proposal::Unknown,
        ProposalResult::Conflict(_) => Proposal::KeyReused,
    }
}

/// What the claim says about earlier calls with the same key.
#[derive(Debug)]
pub enum LookUp {
    /// No call with this key has run.
    Absent,
    /// A call with this key runs.
    Running,
    /// The outcome is recorded.
    Settled {
        /// The answer.
        response: StoredResponse,
        /// Who recorded it.
        by: SettledBy,
    },
    /// A call with this key may have run.
    Unknown,
    /// The platform does not answer.
    Unavailable,
}

/// Asks for the outcome of earlier calls with the same key.
#[must_use]
pub fn look_up(node: &Node, request: ClaimRequest<'_>) -> LookUp {
    let command = ClaimCommand::LookUp { key: key(request) };
    let timeout = (request.deadline - node.now()).min(LOOK_UP_TIMEOUT_MS);
    match node.claims.submit(node, &command, timeout).reply {
        ClaimReply::Decided(ClaimResult::Settled { response, by }) => {
            LookUp::Settled { response, by }
        }
        ClaimReply::Decided(ClaimResult::Unknown { .. }) => LookUp::Unknown,
        ClaimReply::Decided(ClaimResult::Released | ClaimResult::Absent) => LookUp::Absent,
        ClaimReply::Decided(_) => LookUp::Running,
        ClaimReply::Unavailable { .. } => LookUp::Unavailable,
    }
}

/// Waits until the other attempt has an outcome. Returns nothing when the key can be claimed.
fn wait_for_outcome(node: &Node, request: ClaimRequest<'_>) -> Option<Proposal> {
    let command = ClaimCommand::LookUp { key: key(request) };
    loop {
        let now = node.now();
        if now + RUNNING_POLL_MS + RUNNING_MARGIN_MS >= request.deadline {
            return Some(Proposal::InProgress);
        }
        thread::sleep(RUNNING_POLL_MS.to_duration());
        let timeout = request.deadline - now - RUNNING_MARGIN_MS;
        match node.claims.submit(node, &command, timeout).reply {
            ClaimReply::Decided(ClaimResult::Settled { response, by }) => {
                return Some(Proposal::Settled { response, by });
            }
            ClaimReply::Decided(ClaimResult::Unknown { .. }) => return Some(Proposal::Unknown),
            ClaimReply::Decided(ClaimResult::Released | ClaimResult::Absent) => return None,
            _ => {}
        }
    }
}

/// Records the whole answer, so that a resend gets the same. The answer is not held back for long
/// when the platform does not respond; it is then recorded in the background.
pub fn settle(node: &Node, held: HeldClaim, answer: StoredResponse, deadline: Millis) {
    let closing = held.claim.settle(answer, Clock::unix_time());
    let now = node.now();
    let timeout = (deadline - now).min(SETTLE_WAIT_MS).min(COMMAND_TIMEOUT_MS);
    let submitted = node.claims.submit(node, closing.command(), timeout);
    match closing.resolve(&submitted.reply) {
        FinalizeResult::Retry(closing) | FinalizeResult::NotHolder(closing) => {
            node.metrics.count("claim_outcome_recorded_later");
            node.claims.close_later(node.now(), closing);
        }
        result => super::count_result(node, Some(&result)),
    }
}

/// Gives up a claim whose request was not sent to a target.
pub fn release(node: &Node, held: HeldClaim, proof: NotSent) {
    let closing: Claim<Finalizing> = held.claim.revert_dispatch(proof).release();
    node.claims.close_later(node.now(), closing);
}

/// Records that the request may have run.
pub fn lose(node: &Node, held: HeldClaim) {
    let closing = held.claim.mark_unknown(Clock::unix_time());
    node.claims.close_later(node.now(), closing);
}

fn key(request: ClaimRequest<'_>) -> ClaimKey {
    ClaimKey::new(
        request.organisation,
        request.pipeline,
        request.idempotency_key,
    )
}

fn proposal(node: &Node, request: ClaimRequest<'_>, round: u32) -> ClaimProposal {
    ClaimProposal {
        key: key(request),
        fingerprint: Fingerprint(request.fingerprint),
        attempt: AttemptId::from_text(&format!("{}.{round}", request.attempt)),
        holder: Holder {
            instance: node.settings.name.clone(),
            boot_id: node.boot_id,
        },
        wall_ms: Clock::unix_time(),
    }
}
