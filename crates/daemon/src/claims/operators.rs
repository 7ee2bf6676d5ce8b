//! The list of unsettled requests, and their settlement by operators.

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

const CONTENT_TIMEOUT_MS: Millis = Millis(3_000);
const STATUS_OK: u16 = 200;
const HAS_OUTCOME: &str = "the claim has a recorded outcome";

/// Lists the claims without a recorded outcome.
///
/// # Errors
///
/// Returns why a shard could not be read.
pub fn unsettled_claims(node: &Node) -> Result<Vec<UnsettledClaim>, String> {
    let count = node
        .claims
        .shard_count()
        .ok_or("there is no configuration yet")?;
    let mut claims = Vec::new();
    for index in 0..count {
        let shard = content(node, index)
            .ok_or_else(|| format!("shard {index} of claims cannot be read from the platform"))?;
        claims.extend(
            shard
                .claims()
                .filter_map(|(key, record)| entry(key, record)),
        );
    }
    Ok(claims)
}

/// Records an operator's decision.
///
/// # Errors
///
/// Returns why the platform could not be asked.
pub fn settle_claim(node: &Node, order: &SettleRequest) -> Result<SettleResponse, String> {
    let key = ClaimKey::new(&order.organisation, &order.pipeline, &order.idempotency_key);
    let count = node
        .claims
        .shard_count()
        .ok_or("there is no configuration yet")?;
    let shard = content(node, key.shard_index(count)).ok_or("the platform cannot be reached")?;
    let Some(record) = shard.get(&key) else {
        let look_up = ClaimCommand::LookUp { key };
        let found = node.claims.submit(node, &look_up, COMMAND_TIMEOUT_MS);
        return match found.reply {
            ClaimReply::Decided(ClaimResult::Settled { .. }) => Ok(refused(HAS_OUTCOME)),
            ClaimReply::Decided(_) => Ok(refused("there is no claim with this key")),
            ClaimReply::Unavailable { .. } => Err("the platform cannot be reached".to_owned()),
        };
    };
    let command = ClaimCommand::OperatorSettle {
        attempt: record.attempt.clone(),
        response: answer(order.outcome, &order.note),
        note: note(order),
        wall_ms: Clock::unix_time(),
        key,
    };
    let submitted = node.claims.submit(node, &command, COMMAND_TIMEOUT_MS);
    match submitted.reply {
        ClaimReply::Decided(ClaimResult::Recorded) => Ok(SettleResponse {
            settled: true,
            detail: order.outcome.to_string(),
        }),
        ClaimReply::Decided(ClaimResult::Settled { .. }) => Ok(refused(HAS_OUTCOME)),
        ClaimReply::Decided(ClaimResult::Running { holder, .. }) => Ok(refused(&format!(
            "instance {} may be running the request",
            holder.instance
        ))),
        ClaimReply::Decided(other) => {
            Ok(refused(&format!("the claim cannot be settled: {other:?}")))
        }
        ClaimReply::Unavailable { .. } => {
            Err("the decision may not be recorded; give it again".to_owned())
        }
    }
}

/// Returns the outcome that an operator recorded in a note.
#[must_use]
pub fn parse_outcome(note: &str) -> Option<SettleOutcome> {
    note.split(':').next()?.parse().ok()
}

fn content(node: &Node, index: u32) -> Option<Shard> {
    let (sender, receiver) = sync_channel(1);
    if !node.claims.send(index, ShardMessage::Content(sender)) {
        return None;
    }
    receiver
        .recv_timeout(CONTENT_TIMEOUT_MS.to_duration())
        .ok()
        .flatten()
}

fn note(order: &SettleRequest) -> String {
    format!("{}: {}", order.outcome, order.note)
}

fn answer(outcome: SettleOutcome, note: &str) -> StoredResponse {
    let body = serde_json::json!({ "settled_by": "operator", "outcome": outcome, "note": note });
    StoredResponse {
        status: STATUS_OK,
        content_type: JSON.to_owned(),
        body: Some(body.to_string()),
    }
}

fn refused(detail: &str) -> SettleResponse {
    SettleResponse {
        settled: false,
        detail: detail.to_owned(),
    }
}

fn entry(key: &ClaimKey, record: &ClaimRecord) -> Option<UnsettledClaim> {
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
