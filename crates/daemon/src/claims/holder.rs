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
pub enum ProposalOutcome {
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
    NotExecuted(NotExecutedReason),
}

/// A claim that the platform has confirmed for this attempt, and whose request is dispatched.
#[derive(Debug)]
pub struct HeldClaim {
    claim: Claim<Dispatched>,
    dispatch_deadline: Millis,
}

impl HeldClaim {
    /// Returns the time after which the request must not be sent to a target.
    #[must_use]
    pub fn dispatch_deadline(&self) -> Millis {
        self.dispatch_deadline
    }
}

/// Proposes to run a request. While another attempt runs it, waits for the outcome.
#[must_use]
pub fn propose(node: &Node, request: ClaimRequest<'_>) -> ProposalOutcome {
    let mut round = 0_u32;
    loop {
        let result = propose_once(node, request, round);
        if !matches!(result, ProposalOutcome::InProgress) {
            return result;
        }
        if let Some(result) = wait_for_outcome(node, request) {
            return result;
        }
        round += 1;
    }
}

fn propose_once(node: &Node, request: ClaimRequest<'_>, round: u32) -> ProposalOutcome {
    if node.is_self_suspect() {
        return ProposalOutcome::NotExecuted(NotExecutedReason::Unavailable);
    }
    let now = node.now();
    let window = node
        .active_configuration()
        .deployment
        .claims
        .dispatch_window_ms;
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
            let dispatch_deadline = claim.dispatch_deadline();
            match claim.dispatch(now) {
                Ok(claim) => ProposalOutcome::Confirmed(HeldClaim {
                    claim,
                    dispatch_deadline,
                }),
                Err(late) => {
                    node.claims.close_later(now, late);
                    ProposalOutcome::NotExecuted(NotExecutedReason::DispatchWindowPassed)
                }
            }
        }
        ProposalResult::NotExecuted(reason, closing) => {
            if let Some(closing) = closing {
                node.claims.close_later(now, closing);
            }
            match reason {
                NotExecutedReason::Unavailable => ProposalOutcome::Unavailable,
                reason => ProposalOutcome::NotExecuted(reason),
            }
        }
        ProposalResult::Running(_) => ProposalOutcome::InProgress,
        ProposalResult::Settled { response, by } => ProposalOutcome::Settled { response, by },
        ProposalResult::Unknown => ProposalOutcome::Unknown,
        ProposalResult::Conflict(_) => ProposalOutcome::KeyReused,
    }
}

/// What the claim says about earlier calls with the same key.
#[derive(Debug)]
pub enum LookupOutcome {
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
pub fn look_up(node: &Node, request: ClaimRequest<'_>) -> LookupOutcome {
    let command = ClaimCommand::LookUp { key: key(request) };
    let timeout = (request.deadline - node.now()).min(LOOK_UP_TIMEOUT_MS);
    match node.claims.submit(node, &command, timeout).reply {
        ClaimReply::Decided(ClaimResult::Settled { response, by }) => {
            LookupOutcome::Settled { response, by }
        }
        ClaimReply::Decided(ClaimResult::Unknown { .. }) => LookupOutcome::Unknown,
        ClaimReply::Decided(ClaimResult::Released | ClaimResult::Absent) => LookupOutcome::Absent,
        ClaimReply::Decided(_) => LookupOutcome::Running,
        ClaimReply::Unavailable { .. } => LookupOutcome::Unavailable,
    }
}

/// Waits until the other attempt has an outcome. Returns nothing when the key can be claimed.
fn wait_for_outcome(node: &Node, request: ClaimRequest<'_>) -> Option<ProposalOutcome> {
    let command = ClaimCommand::LookUp { key: key(request) };
    loop {
        let now = node.now();
        if now + RUNNING_POLL_MS + RUNNING_MARGIN_MS >= request.deadline {
            return Some(ProposalOutcome::InProgress);
        }
        thread::sleep(RUNNING_POLL_MS.to_duration());
        let timeout = request.deadline - now - RUNNING_MARGIN_MS;
        match node.claims.submit(node, &command, timeout).reply {
            ClaimReply::Decided(ClaimResult::Settled { response, by }) => {
                return Some(ProposalOutcome::Settled { response, by });
            }
            ClaimReply::Decided(ClaimResult::Unknown { .. }) => {
                return Some(ProposalOutcome::Unknown);
            }
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
    let closing: Claim<Finalizing> = held.claim.revert_dispatch(proof).withdraw();
    node.claims.close_later(node.now(), closing);
}

/// Records that the request may have run.
pub fn mark_unknown(node: &Node, held: HeldClaim) {
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
