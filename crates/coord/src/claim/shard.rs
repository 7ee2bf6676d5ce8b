//! The content of a shard object and the pure functions on it.
//!
//! Invariants, which [`Shard::verify`] checks:
//!
//! - Each key belongs to the shard by its hash.
//! - The holder of a claim has not withdrawn the attempt, unless the claim is released.
//! - The size in JSON stays under the largest value that the platform stores.

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

/// Size above which new claims are refused.
pub const NEW_CLAIM_LIMIT_BYTES: usize = 900_000;
/// Size that no change exceeds. The platform stores values of up to 1 MB.
pub const MAX_SHARD_BYTES: usize = 980_000;
/// Room that is kept for the response of each running claim.
pub const ANSWER_RESERVE_BYTES: usize = 4_096;
/// Largest response body that is kept.
pub const MAX_STORED_BODY_BYTES: usize = 65_536;
/// Number of withdrawn attempts that a record remembers.
///
/// A proposal that arrives after its release and after this many later releases of the same key
/// claims the key for a holder that has given up. The key is then blocked until that holder stops,
/// but the request does not run.
pub const MAX_WITHDRAWN_ATTEMPTS: usize = 32;

const SHARD_OVERHEAD_BYTES: usize = 100;
const RECORD_OVERHEAD_BYTES: usize = 360;
const ESCAPED_CONTROL_BYTES: usize = 6;

/// Fault in the content of a shard object.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ShardError {
    /// claim `{key}` belongs to shard {expected}, not to shard {index} of {count}
    WrongShard {
        /// The claim.
        key: String,
        /// The shard that the claim belongs to.
        expected: u32,
        /// The shard that contains the claim.
        index: u32,
        /// The number of shards.
        count: u32,
    },
    /// shard {index} of {count} does not exist
    NoSuchShard {
        /// The shard.
        index: u32,
        /// The number of shards.
        count: u32,
    },
    /// claim `{key}` is held by attempt `{attempt}`, which was withdrawn
    WithdrawnHolder {
        /// The claim.
        key: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// shard content of {size} bytes exceeds the limit
    TooLarge {
        /// The size.
        size: usize,
    },
}

impl std::error::Error for ShardError {}

/// Form in which a shard is stored.
#[derive(Deserialize)]
struct ShardContent {
    index: u32,
    #[serde(rename = "shard_count")]
    count: u32,
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    #[serde(default)]
    segments: BTreeMap<String, SegmentRef>,
}

/// What [`Shard::expire`] removed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expired {
    /// The number of claims.
    pub claims: usize,
    /// The names of the segments, which can be deleted once the content is written.
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
    #[serde(skip)]
    running: usize,
}

impl TryFrom<ShardContent> for Shard {
    type Error = ShardError;

    fn try_from(content: ShardContent) -> Result<Self, ShardError> {
        let mut shard = Self::new(content.index, content.count);
        for (key, record) in content.claims {
            shard.put(key, record);
        }
        for (name, segment) in content.segments {
            shard.put_segment(name, segment);
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
            running: 0,
        }
    }

    /// Returns the index of the shard.
    #[must_use]
    pub fn index(&self) -> u32 {
        self.index
    }

    /// Returns the number of shards.
    #[must_use]
    pub fn shard_count(&self) -> u32 {
        self.count
    }

    /// Returns an upper bound of the size in JSON.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    /// Returns the claims in the order of their keys.
    pub fn claims(&self) -> impl Iterator<Item = (&ClaimKey, &ClaimRecord)> {
        self.claims.iter()
    }

    /// Checks the invariants.
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
        let withdrawn = record.withdrawn.contains(&record.attempt);
        if withdrawn && record.state != ClaimState::Released {
            return Err(ShardError::WithdrawnHolder {
                key: key.to_string(),
                attempt: record.attempt.clone(),
            });
        }
        Ok(())
    }

    /// Applies a command. A command that was applied before changes nothing.
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

    /// Deletes settled claims and segments older than `retention`, and released claims older than
    /// `released_retention`. Running and unknown claims stay.
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
            self.take(key);
        }
        Expired {
            claims: expired.len(),
            segments: self.expire_segments(wall_ms, retention),
        }
    }

    fn propose(&mut self, proposal: &Proposal) -> ClaimResult {
        let withdrawn = match self.claims.get(&proposal.key) {
            None => Vec::new(),
            Some(record) if record.withdrawn.contains(&proposal.attempt) => {
                return ClaimResult::Released;
            }
            Some(record) if record.state == ClaimState::Released => record.withdrawn.clone(),
            Some(record) => return answer_of_held(record, proposal),
        };
        self.insert_claim(proposal, withdrawn)
    }

    fn insert_claim(&mut self, proposal: &Proposal, withdrawn: Vec<AttemptId>) -> ClaimResult {
        let record = new_record(proposal, ClaimState::Claimed, withdrawn);
        let reserved = (self.running + 1) * ANSWER_RESERVE_BYTES;
        let size = self.size_with(&proposal.key, &record);
        if size + reserved > NEW_CLAIM_LIMIT_BYTES {
            return ClaimResult::Full;
        }
        self.put(proposal.key.clone(), record);
        ClaimResult::Claimed
    }

    fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        response: &StoredResponse,
        wall_ms: Millis,
    ) -> ClaimResult {
        let Some(record) = self.held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match &record.state {
            ClaimState::Claimed | ClaimState::Unknown { .. } => {
                let by = SettledBy::Holder;
                self.record_answer(key, response, by, wall_ms)
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
        let Some(record) = self.held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match &record.state {
            ClaimState::Unknown { .. } => self.record_answer(key, response, by, wall_ms),
            ClaimState::Settled { by: earlier, .. } if *earlier == by => ClaimResult::Recorded,
            _ => self.look_up(key),
        }
    }

    /// Records an response. A body that has no room is left out, because the fact that the request
    /// has run matters more than its response.
    fn record_answer(
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
        if self.size_with(key, &record) > MAX_SHARD_BYTES {
            response.body = None;
            record.state = ClaimState::Settled { response, by };
        }
        if self.size_with(key, &record) > MAX_SHARD_BYTES {
            return ClaimResult::Full;
        }
        self.put(key.clone(), record);
        ClaimResult::Recorded
    }

    fn release(&mut self, proposal: &Proposal) -> ClaimResult {
        let Some(mut record) = self.claims.get(&proposal.key).cloned() else {
            // The release overtook the proposal. The record stops the proposal.
            let withdrawn = vec![proposal.attempt.clone()];
            let record = new_record(proposal, ClaimState::Released, withdrawn);
            return self.put_released(proposal, record);
        };
        if record.withdrawn.contains(&proposal.attempt) {
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
        record.withdrawn.push(proposal.attempt.clone());
        if record.withdrawn.len() > MAX_WITHDRAWN_ATTEMPTS {
            record.withdrawn.remove(0);
        }
        self.put_released(proposal, record)
    }

    fn put_released(&mut self, proposal: &Proposal, record: ClaimRecord) -> ClaimResult {
        if self.size_with(&proposal.key, &record) > MAX_SHARD_BYTES {
            return ClaimResult::Full;
        }
        self.put(proposal.key.clone(), record);
        ClaimResult::Released
    }

    /// Notes the report of a holder that was taken for dead. The claim stays unknown, because
    /// callers may have been told so and an operator may be acting on it.
    fn report_not_dispatched(
        &mut self,
        proposal: &Proposal,
        mut record: ClaimRecord,
    ) -> ClaimResult {
        record.state = ClaimState::Unknown {
            reason: UnknownReason::ReportedNotDispatched,
        };
        self.put(proposal.key.clone(), record);
        ClaimResult::Recorded
    }

    fn mark_unknown(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        reason: UnknownReason,
        wall_ms: Millis,
    ) -> ClaimResult {
        let Some(record) = self.held_by(key, attempt) else {
            return ClaimResult::NotHolder;
        };
        match record.state {
            ClaimState::Claimed => {
                let mut record = record.clone();
                record.state = ClaimState::Unknown { reason };
                record.changed_wall_ms = wall_ms;
                self.put(key.clone(), record);
                ClaimResult::Recorded
            }
            ClaimState::Unknown { .. } => ClaimResult::Recorded,
            ClaimState::Settled { .. } | ClaimState::Released => self.look_up(key),
        }
    }

    fn look_up(&self, key: &ClaimKey) -> ClaimResult {
        self.claims
            .get(key)
            .map_or(ClaimResult::Absent, state_answer)
    }

    fn held_by(&self, key: &ClaimKey, attempt: &AttemptId) -> Option<&ClaimRecord> {
        self.claims
            .get(key)
            .filter(|record| record.attempt == *attempt)
    }

    fn size_with(&self, key: &ClaimKey, record: &ClaimRecord) -> usize {
        let replaced = self
            .claims
            .get(key)
            .map_or(0, |old| entry_size_bytes(key, old));
        self.size_bytes - replaced + entry_size_bytes(key, record)
    }

    pub(super) fn put(&mut self, key: ClaimKey, record: ClaimRecord) {
        self.take(&key);
        self.size_bytes += entry_size_bytes(&key, &record);
        self.running += usize::from(record.state == ClaimState::Claimed);
        self.claims.insert(key, record);
    }

    pub(super) fn take(&mut self, key: &ClaimKey) {
        if let Some(record) = self.claims.remove(key) {
            self.size_bytes -= entry_size_bytes(key, &record);
            self.running -= usize::from(record.state == ClaimState::Claimed);
        }
    }
}

fn new_record(proposal: &Proposal, state: ClaimState, withdrawn: Vec<AttemptId>) -> ClaimRecord {
    ClaimRecord {
        fingerprint: proposal.fingerprint,
        attempt: proposal.attempt.clone(),
        holder: proposal.holder.clone(),
        changed_wall_ms: proposal.wall_ms,
        state,
        withdrawn,
    }
}

fn answer_of_held(record: &ClaimRecord, proposal: &Proposal) -> ClaimResult {
    if record.fingerprint != proposal.fingerprint {
        return ClaimResult::Conflict;
    }
    if record.state == ClaimState::Claimed && record.attempt == proposal.attempt {
        return ClaimResult::Claimed;
    }
    state_answer(record)
}

fn state_answer(record: &ClaimRecord) -> ClaimResult {
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

/// Returns an upper bound of the size of an entry in JSON.
pub(super) fn entry_size_bytes(key: &ClaimKey, record: &ClaimRecord) -> usize {
    let withdrawn: usize = record
        .withdrawn
        .iter()
        .map(|attempt| escaped_len(attempt.as_str()))
        .sum();
    RECORD_OVERHEAD_BYTES
        + escaped_len(&key.to_string())
        + escaped_len(record.attempt.as_str())
        + escaped_len(&record.holder.instance)
        + withdrawn
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

/// Returns the length of a string in JSON with its quotes and a comma.
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
