//! Claims of non-idempotent requests at the platform, one object for each.
//!
//! The claim decides who may run a request. It is created by a conditional write before the call
//! is dispatched; a lost answer is settled by reading the object back.

use arbutus_coord::rendezvous::stable_hash;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::platform::Condition;
use crate::platform::Platform;
use crate::platform::WriteError;

/// The identity of a non-idempotent request.
#[derive(Clone, Copy, Debug)]
pub struct ClaimKey<'a> {
    /// The organisation.
    pub organisation: &'a str,
    /// The pipeline.
    pub pipeline: &'a str,
    /// The caller's key.
    pub idempotency_key: &'a str,
}

/// The result of a proposal.
#[derive(Debug)]
pub enum Proposal {
    /// This attempt may run the request.
    Confirmed(HeldClaim),
    /// The request has run; this is its answer.
    Settled(Value),
    /// The key was used with another body.
    KeyReused,
    /// Another attempt runs, or its outcome is not known.
    InProgress,
    /// The claim could not be recorded, so nothing will be dispatched.
    Unavailable(String),
}

/// A claim that the platform has confirmed for this attempt.
#[derive(Debug)]
pub struct HeldClaim {
    object_key: String,
    version: u64,
    record: Record,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    attempt: String,
    fingerprint: u64,
    released: bool,
    answer: Option<Value>,
}

/// The claims of an instance.
#[derive(Debug)]
pub struct Claims {
    platform: Platform,
}

impl Claims {
    /// Creates the claims of an instance.
    #[must_use]
    pub fn new(platform: Platform) -> Self {
        Self { platform }
    }

    /// Proposes to run a request as an attempt.
    #[must_use]
    pub fn propose(&self, key: ClaimKey<'_>, fingerprint: u64, attempt: &str) -> Proposal {
        let object_key = object_key(key);
        let found = match self.platform.get(&object_key) {
            Ok(found) => found,
            Err(error) => return Proposal::Unavailable(error.to_string()),
        };
        let existing = found.as_ref().and_then(|object| parse(&object.value));
        if let Some(existing) = existing.filter(|record| !record.released) {
            return resend(existing, fingerprint);
        }
        let record = Record {
            attempt: attempt.to_owned(),
            fingerprint,
            released: false,
            answer: None,
        };
        let condition = Condition::unchanged(found.as_ref());
        match self.platform.put(&object_key, condition, &json!(record)) {
            Ok(version) => Proposal::Confirmed(HeldClaim {
                object_key,
                version,
                record,
            }),
            Err(WriteError::NotWritten(reason)) => Proposal::Unavailable(reason),
            Err(WriteError::Conflict | WriteError::Unknown(_)) => {
                self.read_back(object_key, record)
            }
        }
    }

    /// Records the whole answer, so that a resend gets the same.
    #[must_use]
    pub fn settle(&self, claim: HeldClaim, answer: &Value) -> bool {
        let record = Record {
            answer: Some(answer.clone()),
            ..claim.record
        };
        let condition = Condition::Version(claim.version);
        self.platform
            .put(&claim.object_key, condition, &json!(record))
            .is_ok()
    }

    /// Gives up a claim whose call was never dispatched.
    pub fn release(&self, claim: HeldClaim) {
        let record = Record {
            released: true,
            ..claim.record
        };
        let condition = Condition::Version(claim.version);
        // A claim that stays behind refuses resends, which is safe.
        drop(
            self.platform
                .put(&claim.object_key, condition, &json!(record)),
        );
    }

    fn read_back(&self, object_key: String, record: Record) -> Proposal {
        match self.platform.get(&object_key) {
            Ok(Some(object)) => match parse(&object.value) {
                Some(found) if found == record => Proposal::Confirmed(HeldClaim {
                    object_key,
                    version: object.version,
                    record,
                }),
                Some(found) => resend(found, record.fingerprint),
                None => Proposal::Unavailable("the claim object is malformed".to_owned()),
            },
            Ok(None) => Proposal::Unavailable("the claim was not written".to_owned()),
            Err(error) => Proposal::Unavailable(error.to_string()),
        }
    }
}

fn resend(existing: Record, fingerprint: u64) -> Proposal {
    if existing.fingerprint != fingerprint {
        return Proposal::KeyReused;
    }
    existing
        .answer
        .map_or(Proposal::InProgress, Proposal::Settled)
}

fn parse(value: &Value) -> Option<Record> {
    serde_json::from_value(value.clone()).ok()
}

fn object_key(key: ClaimKey<'_>) -> String {
    let identity = format!(
        "{}\n{}\n{}",
        key.organisation, key.pipeline, key.idempotency_key
    );
    format!("claims/{:016x}", stable_hash(identity.as_bytes()))
}
