//! The claim of one request, from the proposal to the recorded outcome.
//!
//! The holder of a claim is the process whose attempt may execute the request.

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

/// Interval between lookups of a claim that another attempt holds.
const OUTCOME_POLL_MS: Millis = Millis(100);
/// A client retry stops waiting for the outcome this long before its deadline.
const OUTCOME_WAIT_MARGIN_MS: Millis = Millis(50);
/// Maximum time by which recording the outcome delays the response.
const SETTLE_TIMEOUT_MS: Millis = Millis(500);
/// Time limit for the lookup of a claim.
const LOOKUP_TIMEOUT_MS: Millis = Millis(500);

/// A request for which a claim is proposed or looked up.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Name of the organisation that sent the request.
    pub organisation: &'a str,
    /// Name of the pipeline that executes the request.
    pub pipeline: &'a str,
    /// Idempotency key that the client sent.
    pub idempotency_key: &'a str,
    /// Hash of the request body; a request with the same key and another fingerprint is refused.
    pub fingerprint: u64,
    /// Identifier of the attempt. Each proposal of the request appends its own number to it.
    pub attempt: &'a str,
    /// Time when the response is due.
    pub deadline: Millis,
}

/// The outcome of a proposal to execute a request.
#[derive(Debug)]
pub enum ProposalOutcome {
    /// This attempt may execute the request.
    Confirmed(HeldClaim),
    /// A recorded response exists for the key.
    Settled {
        /// The recorded response.
        response: StoredResponse,
        /// Whether the holder or an operator recorded it.
        by: SettledBy,
    },
    /// An earlier request used the idempotency key with another body.
    KeyReused,
    /// Another attempt was still executing the request shortly before the deadline.
    InProgress,
    /// An earlier attempt may have executed the request, so it is not executed again.
    Unknown,
    /// The platform cannot record the claim, so the request is not dispatched.
    Unavailable,
    /// The proposal ended without a claim for another reason, so the request is not dispatched.
    NotExecuted(NotExecutedReason),
}

/// A confirmed claim of this attempt, whose request may be dispatched.
#[derive(Debug)]
pub struct HeldClaim {
    claim: Claim<Dispatched>,
    dispatch_deadline: Millis,
}

impl HeldClaim {
    /// Returns the end of the dispatch window; after it the request must not be sent to a target.
    #[must_use]
    pub fn dispatch_deadline(&self) -> Millis {
        self.dispatch_deadline
    }
}

/// Proposes to execute a request, and waits for the outcome while another attempt executes it.
#[must_use]
pub fn propose(node: &Node, request: ClaimRequest<'_>) -> ProposalOutcome {
    let mut proposal_number = 0_u32;
    loop {
        let result = propose_once(node, request, proposal_number);
        if !matches!(result, ProposalOutcome::InProgress) {
            return result;
        }
        if let Some(result) = wait_for_outcome(node, request) {
            return result;
        }
        proposal_number += 1;
    }
}

fn propose_once(node: &Node, request: ClaimRequest<'_>, proposal_number: u32) -> ProposalOutcome {
    if node.is_self_suspect() {
        return ProposalOutcome::NotExecuted(NotExecutedReason::Unavailable);
    }
    let now = node.now();
    let window = node
        .active_configuration()
        .deployment
        .claims
        .dispatch_window_ms;
    let claim = Claim::<Proposed>::new(now, new_proposal(node, request, proposal_number), window);
    let timeout = (request.deadline - now).min(window);
    let submitted = node.claims.submit(node, &claim.command(), timeout);
    let now = node.now();
    if submitted.duplicate_may_take_effect && is_decided_without_claim(&submitted.reply) {
        // A second copy of the command may take effect later and would claim the key for an attempt
        // that has ended. The queued command withdraws such a claim.
        let duplicate = Claim::<Proposed>::new(now, claim.proposal().clone(), Millis::ZERO);
        node.claims.finalize_later(now, duplicate.abandon());
    }
    match claim.resolve(now, submitted.reply) {
        ProposalResult::Confirmed(claim) => {
            let dispatch_deadline = claim.dispatch_deadline();
            match claim.dispatch(now) {
                Ok(claim) => ProposalOutcome::Confirmed(HeldClaim {
                    claim,
                    dispatch_deadline,
                }),
                Err(final_command) => {
                    node.claims.finalize_later(now, final_command);
                    ProposalOutcome::NotExecuted(NotExecutedReason::DispatchWindowPassed)
                }
            }
        }
        ProposalResult::NotExecuted(reason, final_command) => {
            if let Some(final_command) = final_command {
                node.claims.finalize_later(now, final_command);
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

/// What the claim of an idempotency key says about earlier requests.
#[derive(Debug)]
pub enum LookupOutcome {
    /// No request with this key has been executed.
    Absent,
    /// A request with this key is being executed.
    Running,
    /// A recorded response exists for the key.
    Settled {
        /// The recorded response.
        response: StoredResponse,
        /// Whether the holder or an operator recorded it.
        by: SettledBy,
    },
    /// A request with this key may have been executed.
    Unknown,
    /// The claim cannot be read from the platform.
    Unavailable,
}

/// Looks up the claim of earlier requests with the same key.
#[must_use]
pub fn look_up(node: &Node, request: ClaimRequest<'_>) -> LookupOutcome {
    let command = ClaimCommand::LookUp {
        key: claim_key(request),
    };
    let timeout = (request.deadline - node.now()).min(LOOKUP_TIMEOUT_MS);
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

/// Waits for the outcome of the other attempt. Returns `None` when the key can be claimed.
fn wait_for_outcome(node: &Node, request: ClaimRequest<'_>) -> Option<ProposalOutcome> {
    let command = ClaimCommand::LookUp {
        key: claim_key(request),
    };
    loop {
        let now = node.now();
        if now + OUTCOME_POLL_MS + OUTCOME_WAIT_MARGIN_MS >= request.deadline {
            return Some(ProposalOutcome::InProgress);
        }
        thread::sleep(OUTCOME_POLL_MS.to_duration());
        let timeout = request.deadline - now - OUTCOME_WAIT_MARGIN_MS;
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

/// Records the response, so that client retries with the same key receive it.
///
/// If the platform does not respond in time, the response is recorded in the background, so that
/// the client does not have to wait any longer.
pub fn settle(node: &Node, held: HeldClaim, response: StoredResponse, deadline: Millis) {
    let final_command = held.claim.settle(response, Clock::unix_time());
    let now = node.now();
    let timeout = (deadline - now)
        .min(SETTLE_TIMEOUT_MS)
        .min(COMMAND_TIMEOUT_MS);
    let submitted = node.claims.submit(node, final_command.command(), timeout);
    match final_command.resolve(&submitted.reply) {
        FinalizeResult::Retry(final_command) | FinalizeResult::NotHolder(final_command) => {
            node.metrics.count("claim_outcome_recorded_later");
            node.claims.finalize_later(node.now(), final_command);
        }
        result => super::count_result(node, Some(&result)),
    }
}

/// Releases a claim whose request was not sent to a target, in the background.
pub fn release(node: &Node, held: HeldClaim, proof: NotSent) {
    let final_command: Claim<Finalizing> = held.claim.revert_dispatch(proof).release();
    node.claims.finalize_later(node.now(), final_command);
}

/// Records in the background that the request may have been executed.
pub fn mark_unknown(node: &Node, held: HeldClaim) {
    let final_command = held.claim.mark_unknown(Clock::unix_time());
    node.claims.finalize_later(node.now(), final_command);
}

fn claim_key(request: ClaimRequest<'_>) -> ClaimKey {
    ClaimKey::new(
        request.organisation,
        request.pipeline,
        request.idempotency_key,
    )
}

fn new_proposal(node: &Node, request: ClaimRequest<'_>, proposal_number: u32) -> ClaimProposal {
    ClaimProposal {
        key: claim_key(request),
        fingerprint: Fingerprint(request.fingerprint),
        attempt: AttemptId::from_text(&format!("{}.{proposal_number}", request.attempt)),
        holder: Holder {
            instance: node.settings.name.clone(),
            boot_id: node.boot_id,
        },
        wall_ms: Clock::unix_time(),
    }
}
