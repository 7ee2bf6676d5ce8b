//! The content of a shard object, and the commands on it as pure functions.
//!
//! Invariants, which [`Shard::verify`] checks:
//!
//! - The index of the shard is below the number of shards.
//! - Each key belongs to the shard by its hash.
//! - The attempt that holds a claim is not among the released attempts, unless the claim is
//!   released.
//! - The estimated size of the content does not exceed [`MAX_SHARD_BYTES`].

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimResult;
use crate::claim::command::Proposal;
use crate::claim::record::AttemptId;
use crate::claim::record::ClaimKey;
use crate::claim::record::ClaimRecord;
use crate::claim::record::ClaimState;
use crate::claim::record::SettledBy;
use crate::claim::record::StoredResponse;
use crate::claim::record::UnknownReason;
use crate::claim::segment::SegmentRef;
use crate::clock::Millis;

/// Estimated size above which new claims are refused. It includes [`RESPONSE_RESERVE_BYTES`] for
/// each claim in state claimed.
pub const NEW_CLAIM_LIMIT_BYTES: usize = 900_000;
/// Upper limit of a shard's estimated size. The platform stores values of up to 1 MB.
pub const MAX_SHARD_BYTES: usize = 980_000;
/// Space that is kept free for the response of each claim in state claimed.
pub const RESPONSE_RESERVE_BYTES: usize = 4_096;
/// Upper limit of a stored response body. A response with a larger body is stored without it.
pub const MAX_STORED_BODY_BYTES: usize = 65_536;
/// Number of released attempts that a record keeps; the oldest is dropped first.
///
/// If a proposal arrives after its own release and this many later releases of the same key, it
/// claims the key for a holder that has abandoned the attempt. The key then stays claimed until
/// that holder stops, but the request is not executed.
pub const MAX_RELEASED_ATTEMPTS: usize = 32;

/// Upper bound of the size of an empty shard in JSON.
const SHARD_OVERHEAD_BYTES: usize = 100;
/// Upper bound of the size of a claim in JSON, without its strings.
const RECORD_OVERHEAD_BYTES: usize = 360;
/// Length of a control character in JSON, as in `\u0001`.
const ESCAPED_CONTROL_BYTES: usize = 6;

/// Violated invariant in the content of a shard object.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ShardError {
    /// claim `{key}` belongs to shard {expected}, but is stored in shard {index} of {count}
    WrongShard {
        /// The key of the claim in text form.
        key: String,
        /// The shard that the claim belongs to.
        expected: u32,
        /// The shard that contains the claim.
        index: u32,
        /// The number of shards.
        count: u32,
    },
    /// shard index {index} is out of range for {count} shards
    NoSuchShard {
        /// The index of the shard, as stored in its content.
        index: u32,
        /// The number of shards.
        count: u32,
    },
    /// claim `{key}` is held by released attempt `{attempt}`
    ReleasedHolder {
        /// The key of the claim in text form.
        key: String,
        /// The attempt that holds the claim.
        attempt: AttemptId,
    },
    /// shard content with an estimated size of {size} bytes exceeds the size limit
    TooLarge {
        /// The estimated size in bytes, which is an upper bound of the content's size in JSON.
        size: usize,
    },
}

impl std::error::Error for ShardError {}

/// Serialized form of a [`Shard`], whose invariants are not checked yet.
#[derive(Deserialize)]
struct ShardContent {
    index: u32,
    #[serde(rename = "shard_count")]
    count: u32,
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    #[serde(default)]
    segments: BTreeMap<String, SegmentRef>,
}

/// Claims and segments that [`Shard::expire`] removed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expired {
    /// The number of removed claims.
    pub claims: usize,
    /// The names of the removed segments. Their objects can be deleted once the shard is written.
    pub segments: Vec<String>,
}

/// Content of a shard object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "ShardContent")]
pub struct Shard {
    index: u32,
    #[serde(rename = "shard_count")]
    count: u32,
    pub(super) claims: BTreeMap<ClaimKey, ClaimRecord>,
    pub(super) segments: BTreeMap<String, SegmentRef>,
    #[serde(skip)]
    pub(super) size_bytes: usize,
    /// The number of claims in state claimed.
    #[serde(skip)]
    claimed_count: usize,
}

impl TryFrom<ShardContent> for Shard {
    type Error = ShardError;

    fn try_from(content: ShardContent) -> Result<Self, ShardError> {
        let mut shard = Self::new(content.index, content.count);
        for (key, record) in content.claims {
            shard.insert(key, record);
        }
        for (name, segment) in content.segments {
            shard.insert_segment(name, segment);
        }
        shard.verify()?;
        Ok(shard)
    }
}

impl Shard {
    /// Creates an empty shard.
    #[must_use]
    pub fn new(index: u32, shard_count: u32) -> Self {
        Self {
            index,
            count: shard_count,
            claims: BTreeMap::new(),
            segments: BTreeMap::new(),
            size_bytes: SHARD_OVERHEAD_BYTES,
            claimed_count: 0,
        }
    }

    /// Returns the index of the shard, from 0.
    #[must_use]
    pub fn index(&self) -> u32 {
        self.index
    }

    /// Returns the number of shards over which claims are distributed.
    #[must_use]
    pub fn shard_count(&self) -> u32 {
        self.count
    }

    /// Returns the estimated size, which is an upper bound of the content's size in JSON.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the record of a key, if the shard object contains it. Segments are not searched.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// Returns the claims of the shard object in the order of their keys, without those in
    /// segments.
    pub fn claims(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimRecord)> {
        self.claims.iter()
    }

    /// Checks the invariants that are listed at the head of this module.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn verify(&self) -> Result<(), ShardError> {
        if self.index >= self.count {
            return Err(ShardError::NoSuchShard {
                index: self.index,
                count: self.count,
            });
        }
        if self.size_bytes > MAX_SHARD_BYTES {
            return Err(ShardError::TooLarge {
                size: self.size_bytes,
            });
        }
        for (key, record) in &self.claims {
            self.verify_claim(key, record)?;
        }
        Ok(())
    }

    fn verify_claim(&self, key: &ClaimKey, record: &ClaimRecord) -> Result<(), ShardError> {
        let expected = key.shard_index(self.count);
        if expected != self.index {
            return Err(ShardError::WrongShard {
                key: key.to_string(),
                expected,
                index: self.index,
                count: self.count,
            });
        }
        let is_released = record.released_attempts.contains(&record.attempt);
        if is_released && record.state != ClaimState::Released {
            return Err(ShardError::ReleasedHolder {
                key: key.to_string(),
                attempt: record.attempt.clone(),
            });
        }
        Ok(())
    }

    /// Applies a command and returns its result. Applying the same command again changes nothing.
    pub fn apply(&mut self, command: &ClaimCommand) -> ClaimResult {
        match command {
            ClaimCommand::Propose(proposal) => self.propose(proposal),
            ClaimCommand::Settle {
                key,
                attempt,
                response,
                wall_ms,
            } => self.settle(key, attempt, response, *wall_ms),
            ClaimCommand::Release(proposal) => self.release(proposal),
            ClaimCommand::MarkUnknown {
                key,
                attempt,
                reason,
                wall_ms,
            } => self.mark_unknown(key, attempt, *reason, *wall_ms),
            ClaimCommand::OperatorSettle {
                key,
                attempt,
                response,
                note,
                wall_ms,
            } => self.operator_settle(key, attempt, response, note, *wall_ms),
            ClaimCommand::LookUp { key } => self.look_up(key),
        }
    }

    /// Removes settled claims and segments older than `retention`, and released claims older than
    /// `released_retention`. Claims in state claimed or unknown stay. `wall_ms` is the time since
    /// the Unix epoch.
    pub fn expire(
        &mut self,
        wall_ms: Millis,
        retention: Millis,
        released_retention: Millis,
    ) -> Expired {
        let expired: Vec<ClaimKey> = self
            .claims
            .iter()
            .filter(|(_, record)| {
                let age = wall_ms - record.changed_wall_ms;
                match record.state {
                    ClaimState::Settled { .. } => age > retention,
                    ClaimState::Released => age > released_retention,
                    ClaimState::Claimed | ClaimState::Unknown { .. } => false,
                }
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
        Expired {
            claims: expired.len(),
            segments: self.expire_segments(wall_ms, retention),
        }
    }

    fn propose(&mut self, proposal: &Proposal) -> ClaimResult {
        let released_attempts = match self.claims.get(&proposal.key) {
            None => Vec::new(),
            Some(record) if record.released_attempts.contains(&proposal.attempt) => {
                return ClaimResult::Released;
            }
            Some(record) if record.state == ClaimState::Released => {
                record.released_attempts.clone()
            }
            Some(record) => return result_for_held_key(record, proposal),
        };
        self.insert_claim(proposal, released_attempts)
    }

    fn insert_claim(
        &mut self,
        proposal: &Proposal,
        released_attempts: Vec<AttemptId>,
    ) -> ClaimResult {
        let record = new_record(proposal, ClaimState::Claimed, released_attempts);
        let reserved = (self.claimed_count + 1) * RESPONSE_RESERVE_BYTES;
        let size = self.size_bytes_with(&proposal.key, &record);
        if size + reserved > NEW_CLAIM_LIMIT_BYTES {
            return ClaimResult::Full;
        }
        self.insert(proposal.key.clone(), record);
        ClaimResult::Claimed
    }

    fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        response: &StoredResponse,
        wall_ms: Millis,
    ) -> ClaimResult {
        let Some(record) = self.record_held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match &record.state {
            ClaimState::Claimed | ClaimState::Unknown { .. } => {
                let by = SettledBy::Holder;
                self.store_response(key, response, by, wall_ms)
            }
            ClaimState::Settled {
                by: SettledBy::Holder,
                ..
            } => ClaimResult::Recorded,
            ClaimState::Settled { response, by } => ClaimResult::Settled {
                response: response.clone(),
                by: by.clone(),
            },
            ClaimState::Released => ClaimResult::NotHolder,
        }
    }

    fn operator_settle(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        response: &StoredResponse,
        note: &str,
        wall_ms: Millis,
    ) -> ClaimResult {
        let by = SettledBy::Operator(note.to_owned());
        let Some(record) = self.record_held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match &record.state {
            ClaimState::Unknown { .. } => self.store_response(key, response, by, wall_ms),
            ClaimState::Settled {
                by: recorded_by, ..
            } if *recorded_by == by => ClaimResult::Recorded,
            _ => self.look_up(key),
        }
    }

    /// Stores a response. Its body is left out if it does not fit, because it is more important to
    /// record that the request was executed than to keep its response.
    fn store_response(
        &mut self,
        key: &ClaimKey,
        response: &StoredResponse,
        by: SettledBy,
        wall_ms: Millis,
    ) -> ClaimResult {
        let Some(mut record) = self.claims.get(key).cloned() else {
            return ClaimResult::NotHolder;
        };
        record.changed_wall_ms = wall_ms;
        let mut response = response.clone();
        response.body = response
            .body
            .filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
        record.state = ClaimState::Settled {
            response: response.clone(),
            by: by.clone(),
        };
        if self.size_bytes_with(key, &record) > MAX_SHARD_BYTES {
            response.body = None;
            record.state = ClaimState::Settled { response, by };
        }
        if self.size_bytes_with(key, &record) > MAX_SHARD_BYTES {
            return ClaimResult::Full;
        }
        self.insert(key.clone(), record);
        ClaimResult::Recorded
    }

    fn release(&mut self, proposal: &Proposal) -> ClaimResult {
        let Some(mut record) = self.claims.get(&proposal.key).cloned() else {
            // The release arrived before the proposal. The record prevents the proposal from
            // claiming the key when it arrives.
            let released_attempts = vec![proposal.attempt.clone()];
            let record = new_record(proposal, ClaimState::Released, released_attempts);
            return self.insert_released(proposal, record);
        };
        if record.released_attempts.contains(&proposal.attempt) {
            return ClaimResult::Released;
        }
        if record.attempt == proposal.attempt {
            match record.state {
                ClaimState::Claimed => record.state = ClaimState::Released,
                ClaimState::Unknown { .. } => return self.report_not_dispatched(proposal, record),
                ClaimState::Settled { .. } | ClaimState::Released => return ClaimResult::NotHolder,
            }
            record.changed_wall_ms = proposal.wall_ms;
        }
        record.released_attempts.push(proposal.attempt.clone());
        if record.released_attempts.len() > MAX_RELEASED_ATTEMPTS {
            record.released_attempts.remove(0);
        }
        self.insert_released(proposal, record)
    }

    fn insert_released(&mut self, proposal: &Proposal, record: ClaimRecord) -> ClaimResult {
        if self.size_bytes_with(&proposal.key, &record) > MAX_SHARD_BYTES {
            return ClaimResult::Full;
        }
        self.insert(proposal.key.clone(), record);
        ClaimResult::Released
    }

    /// Records that a holder that was wrongly considered dead did not dispatch the request. The claim
    /// stays unknown, because clients may already have been told that the outcome is unknown and an
    /// operator may be investigating it.
    fn report_not_dispatched(
        &mut self,
        proposal: &Proposal,
        mut record: ClaimRecord,
    ) -> ClaimResult {
        record.state = ClaimState::Unknown {
            reason: UnknownReason::ReportedNotDispatched,
        };
        self.insert(proposal.key.clone(), record);
        ClaimResult::Recorded
    }

    fn mark_unknown(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        reason: UnknownReason,
        wall_ms: Millis,
    ) -> ClaimResult {
        let Some(record) = self.record_held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match record.state {
            ClaimState::Claimed => {
                let mut record = record.clone();
                record.state = ClaimState::Unknown { reason };
                record.changed_wall_ms = wall_ms;
                self.insert(key.clone(), record);
                ClaimResult::Recorded
            }
            ClaimState::Unknown { .. } => ClaimResult::Recorded,
            ClaimState::Settled { .. } | ClaimState::Released => self.look_up(key),
        }
    }

    fn look_up(&self, key: &ClaimKey) -> ClaimResult {
        self.claims
            .get(key)
            .map_or(ClaimResult::Absent, state_result)
    }

    fn record_held_by(&self, key: &ClaimKey, attempt: &AttemptId) -> Option<&ClaimRecord> {
        self.claims
            .get(key)
            .filter(|record| record.attempt == *attempt)
    }

    fn size_bytes_with(&self, key: &ClaimKey, record: &ClaimRecord) -> usize {
        let replaced_bytes = self
            .claims
            .get(key)
            .map_or(0, |replaced| entry_size_bytes(key, replaced));
        self.size_bytes - replaced_bytes + entry_size_bytes(key, record)
    }

    pub(super) fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        self.remove(&key);
        self.size_bytes += entry_size_bytes(&key, &record);
        self.claimed_count += usize::from(record.state == ClaimState::Claimed);
        self.claims.insert(key, record);
    }

    pub(super) fn remove(&mut self, key: &ClaimKey) {
        if let Some(record) = self.claims.remove(key) {
            self.size_bytes -= entry_size_bytes(key, &record);
            self.claimed_count -= usize::from(record.state == ClaimState::Claimed);
        }
    }
}

fn new_record(
    proposal: &Proposal,
    state: ClaimState,
    released_attempts: Vec<AttemptId>,
) -> ClaimRecord {
    ClaimRecord {
        fingerprint: proposal.fingerprint,
        attempt: proposal.attempt.clone(),
        holder: proposal.holder.clone(),
        changed_wall_ms: proposal.wall_ms,
        state,
        released_attempts,
    }
}

fn result_for_held_key(record: &ClaimRecord, proposal: &Proposal) -> ClaimResult {
    if record.fingerprint != proposal.fingerprint {
        return ClaimResult::Conflict;
    }
    if record.state == ClaimState::Claimed && record.attempt == proposal.attempt {
        return ClaimResult::Claimed;
    }
    state_result(record)
}

fn state_result(record: &ClaimRecord) -> ClaimResult {
    match &record.state {
        ClaimState::Claimed => ClaimResult::Running {
            attempt: record.attempt.clone(),
            holder: record.holder.clone(),
        },
        ClaimState::Settled { response, by } => ClaimResult::Settled {
            response: response.clone(),
            by: by.clone(),
        },
        ClaimState::Released => ClaimResult::Released,
        ClaimState::Unknown { reason } => ClaimResult::Unknown { reason: *reason },
    }
}

/// Returns an upper bound of the size of a claim in JSON.
pub(super) fn entry_size_bytes(key: &ClaimKey, record: &ClaimRecord) -> usize {
    let released_bytes: usize = record
        .released_attempts
        .iter()
        .map(|attempt| escaped_len(attempt.as_str()))
        .sum();
    RECORD_OVERHEAD_BYTES
        + escaped_len(&key.to_string())
        + escaped_len(record.attempt.as_str())
        + escaped_len(&record.holder.instance)
        + released_bytes
        + state_size_bytes(&record.state)
}

fn state_size_bytes(state: &ClaimState) -> usize {
    let ClaimState::Settled { response, by } = state else {
        return 0;
    };
    let note = match by {
        SettledBy::Holder => 0,
        SettledBy::Operator(note) => escaped_len(note),
    };
    let body = response.body.as_deref().map_or(0, escaped_len);
    escaped_len(&response.content_type) + body + note
}

/// Returns the length of a string in JSON, with its quotes and a comma.
fn escaped_len(text: &str) -> usize {
    let escaped: usize = text
        .chars()
        .map(|character| match character {
            '"' | '\\' | '\n' | '\r' | '\t' => 2,
            control if control < ' ' => ESCAPED_CONTROL_BYTES,
            other => other.len_utf8(),
        })
        .sum();
    escaped + 3
}
