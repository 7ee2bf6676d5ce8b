//! The key and the record of a claim.
//!
//! All types are serialized as JSON for the platform and in a compact binary format for peers. The
//! binary format supports neither internally tagged enums nor skipped fields, so these types must
//! not use them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::rendezvous::stable_hash;

const KEY_PARTS: usize = 3;
const KEY_SEPARATOR: char = '/';

/// Key of a claim, which identifies a non-idempotent request.
///
/// The text form is `organisation/pipeline/idempotency-key`. `%` and `/` in the first two parts are
/// escaped, so that different keys always have different text forms.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ClaimKey {
    /// The organisation on whose behalf the request is made.
    pub organisation: String,
    /// The pipeline to which the request is addressed.
    pub pipeline: String,
    /// The idempotency key that the client sent.
    pub idempotency_key: String,
}

impl ClaimKey {
    /// Creates a key from its unescaped parts.
    #[must_use]
    pub fn new(organisation: &str, pipeline: &str, idempotency_key: &str) -> Self {
        Self {
            organisation: organisation.to_owned(),
            pipeline: pipeline.to_owned(),
            idempotency_key: idempotency_key.to_owned(),
        }
    }

    /// Returns the index of the shard that holds the claim.
    ///
    /// # Panics
    ///
    /// Panics when `shard_count` is 0.
    #[must_use]
    pub fn shard_index(&self, shard_count: u32) -> u32 {
        let hash = stable_hash(self.to_string().as_bytes());
        (hash % u64::from(shard_count)) as u32
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let organisation = escape(&self.organisation);
        let pipeline = escape(&self.pipeline);
        write!(f, "{organisation}/{pipeline}/{}", self.idempotency_key)
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut parts = text.splitn(KEY_PARTS, KEY_SEPARATOR);
        match (parts.next(), parts.next(), parts.next()) {
            (Some(organisation), Some(pipeline), Some(idempotency_key)) => Ok(Self {
                organisation: unescape(organisation),
                pipeline: unescape(pipeline),
                idempotency_key: idempotency_key.to_owned(),
            }),
            _ => Err(format!(
                "claim key `{text}` is not `organisation/pipeline/idempotency-key`"
            )),
        }
    }
}

fn escape(part: &str) -> String {
    part.replace('%', "%25").replace(KEY_SEPARATOR, "%2F")
}

fn unescape(part: &str) -> String {
    part.replace("%2F", "/").replace("%25", "%")
}

/// Identifier of one attempt to claim a key, unique across all instances and their restarts.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// Creates the identifier of a holder's attempt. `sequence` differs for each attempt of the
    /// holder.
    #[must_use]
    pub fn new(holder: &Holder, sequence: u64) -> Self {
        Self(format!(
            "{}-{:x}-{sequence}",
            holder.instance, holder.boot_id
        ))
    }

    /// Wraps the text form of an identifier without checking it.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the text form.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Hash of a request's body, used to detect that an idempotency key is reused with another body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(stable_hash(body))
    }
}

/// A process that holds a claim or a lease.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The name of the instance.
    pub instance: String,
    /// The boot identifier, which differs each time the instance starts.
    pub boot_id: u64,
}

/// The response that client retries of a request receive.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: String,
    /// The whole body, or `None` when it was too large to be stored.
    pub body: Option<String>,
}

/// Who recorded an outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SettledBy {
    /// The instance that dispatched the request.
    Holder,
    /// An operator, with the operator's note. Later commands do not change such a record.
    Operator(String),
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// Another instance considered the holder dead before an outcome was recorded.
    #[strum(serialize = "holder_gone")]
    #[serde(rename = "holder_gone")]
    HolderDead,
    /// The call to the target ended without a complete response.
    #[strum(serialize = "call_broken")]
    #[serde(rename = "call_broken")]
    CallInterrupted,
    /// The holder was considered dead and the claim marked as unknown, but later the holder reported
    /// that it had not dispatched the request.
    ReportedNotDispatched,
}

/// State of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may dispatch the request, or has done so.
    Claimed,
    /// The response is recorded.
    Settled {
        /// The response for client retries of the request.
        #[serde(rename = "answer")]
        response: StoredResponse,
        /// Who recorded the response.
        by: SettledBy,
    },
    /// The request was not dispatched, and its key can be claimed again.
    Released,
    /// The request may have been executed, and is never executed again under this key.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
}

/// Stored record of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The fingerprint of the request's body.
    pub fingerprint: Fingerprint,
    /// The attempt that holds the claim, or held it last.
    pub attempt: AttemptId,
    /// The process that made the attempt.
    pub holder: Holder,
    /// When the record last changed, in time since the Unix epoch by the clock of the sender of the
    /// command.
    pub changed_wall_ms: Millis,
    /// The state of the claim.
    pub state: ClaimState,
    /// The released attempts of this key. They are kept so that delayed copies of their proposals do
    /// not claim the key again.
    #[serde(rename = "withdrawn")]
    pub released_attempts: Vec<AttemptId>,
}
