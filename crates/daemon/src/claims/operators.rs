//! The list of unsettled claims, and their settlement by operators.

use std::sync::mpsc::sync_channel;

use crate::claims::COMMAND_TIMEOUT_MS;
use crate::claims::ShardMessage;
use crate::node::Node;
use crate::response::JSON;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimRecord;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::ClaimResult;
use arbutus_coord::claim::ClaimState;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::StoredResponse;
use arbutus_wire::admin::SettleOutcome;
use arbutus_wire::admin::SettleRequest;
use arbutus_wire::admin::SettleResponse;
use arbutus_wire::admin::UnsettledClaim;
use arbutus_wire::admin::UnsettledState;

/// Time limit for reading a shard.
const SHARD_READ_TIMEOUT_MS: Millis = Millis(3_000);
const STATUS_OK: u16 = 200;
const OUTCOME_EXISTS_DETAIL: &str = "the claim already has a recorded outcome";

/// Lists the claims that have no recorded outcome.
///
/// # Errors
///
/// Returns an error if there is no configuration yet or a shard cannot be read.
pub fn unsettled_claims(node: &Node) -> Result<Vec<UnsettledClaim>, String> {
    let count = node
        .claims
        .shard_count()
        .ok_or("no configuration is in effect yet")?;
    let mut claims = Vec::new();
    for index in 0..count {
        let shard = read_shard(node, index)
            .ok_or_else(|| format!("claim shard {index} cannot be read from the platform"))?;
        claims.extend(
            shard
                .claims()
                .filter_map(|(key, record)| unsettled_claim(key, record)),
        );
    }
    Ok(claims)
}

/// Records the outcome that an operator decided for a claim.
///
/// # Errors
///
/// Returns an error if there is no configuration yet or the platform does not respond.
pub fn settle_claim(node: &Node, request: &SettleRequest) -> Result<SettleResponse, String> {
    let key = ClaimKey::new(
        &request.organisation,
        &request.pipeline,
        &request.idempotency_key,
    );
    let count = node
        .claims
        .shard_count()
        .ok_or("no configuration is in effect yet")?;
    let shard = read_shard(node, key.shard_index(count)).ok_or("the platform cannot be reached")?;
    let Some(record) = shard.get(&key) else {
        let command = ClaimCommand::LookUp { key };
        let submitted = node.claims.submit(node, &command, COMMAND_TIMEOUT_MS);
        return match submitted.reply {
            ClaimReply::Decided(ClaimResult::Settled { .. }) => {
                Ok(refusal_response(OUTCOME_EXISTS_DETAIL))
            }
            ClaimReply::Decided(_) => Ok(refusal_response("there is no claim with this key")),
            ClaimReply::Unavailable { .. } => Err("the platform cannot be reached".to_owned()),
        };
    };
    let command = ClaimCommand::OperatorSettle {
        attempt: record.attempt.clone(),
        response: stored_response(request.outcome, &request.note),
        note: recorded_note(request),
        wall_ms: Clock::unix_time(),
        key,
    };
    let submitted = node.claims.submit(node, &command, COMMAND_TIMEOUT_MS);
    match submitted.reply {
        ClaimReply::Decided(ClaimResult::Recorded) => Ok(SettleResponse {
            settled: true,
            detail: request.outcome.to_string(),
        }),
        ClaimReply::Decided(ClaimResult::Settled { .. }) => {
            Ok(refusal_response(OUTCOME_EXISTS_DETAIL))
        }
        ClaimReply::Decided(ClaimResult::Running { holder, .. }) => Ok(refusal_response(&format!(
            "instance {} may still be executing the request",
            holder.instance
        ))),
        ClaimReply::Decided(other) => Ok(refusal_response(&format!(
            "the claim cannot be settled in its current state: {other:?}"
        ))),
        ClaimReply::Unavailable { .. } => {
            Err("the outcome may not have been recorded; repeat the command".to_owned())
        }
    }
}

/// Parses the outcome at the beginning of the note that [`settle_claim`] records, or returns `None`
/// if there is none.
#[must_use]
pub fn parse_outcome(note: &str) -> Option<SettleOutcome> {
    note.split(':').next()?.parse().ok()
}

fn read_shard(node: &Node, index: u32) -> Option<Shard> {
    let (sender, receiver) = sync_channel(1);
    if !node
        .claims
        .send_to_shard(index, ShardMessage::Content(sender))
    {
        return None;
    }
    receiver
        .recv_timeout(SHARD_READ_TIMEOUT_MS.to_duration())
        .ok()
        .flatten()
}

fn recorded_note(request: &SettleRequest) -> String {
    format!("{}: {}", request.outcome, request.note)
}

fn stored_response(outcome: SettleOutcome, note: &str) -> StoredResponse {
    let body = serde_json::json!({ "settled_by": "operator", "outcome": outcome, "note": note });
    StoredResponse {
        status: STATUS_OK,
        content_type: JSON.to_owned(),
        body: Some(body.to_string()),
    }
}

fn refusal_response(detail: &str) -> SettleResponse {
    SettleResponse {
        settled: false,
        detail: detail.to_owned(),
    }
}

fn unsettled_claim(key: &ClaimKey, record: &ClaimRecord) -> Option<UnsettledClaim> {
    let state = match record.state {
        ClaimState::Claimed => UnsettledState::Claimed,
        ClaimState::Unknown { .. } => UnsettledState::Unknown,
        ClaimState::Settled { .. } | ClaimState::Released => return None,
    };
    Some(UnsettledClaim {
        organisation: key.organisation.clone(),
        pipeline: key.pipeline.clone(),
        idempotency_key: key.idempotency_key.clone(),
        state,
        holder: record.holder.instance.clone(),
        attempt: record.attempt.to_string(),
        claimed_at_ms: record.changed_wall_ms,
    })
}
