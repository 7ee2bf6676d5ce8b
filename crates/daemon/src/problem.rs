//! Error responses as problem details (RFC 9457).
//!
//! `"executed": "no"` guarantees to the client that the request was not executed. Only
//! [`Problem::not_executed`] can create it, from the proof that no target can have received the
//! request. In a non-idempotent pipeline, the proof is about the call of the last stage: the
//! earlier stages are idempotent, so their execution does not count.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;
use arbutus_policy::attempt::NotExecuted;

/// Whether a target may have executed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Executed {
    /// No target received any byte of the request. In a non-idempotent pipeline, this is about the
    /// call of the last stage.
    No,
    /// A target may have executed the request.
    Unknown,
}

/// The problem type: why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The path or the pipeline does not exist.
    NotFound,
    /// The path does not support the HTTP method.
    MethodNotAllowed,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The configuration does not contain the organisation.
    UnknownOrganisation,
    /// The pipeline is not idempotent and the request has no idempotency key.
    IdempotencyKeyRequired,
    /// The idempotency key was used before with another body.
    IdempotencyKeyReused,
    /// An earlier request with the same idempotency key has no recorded outcome yet.
    InProgress,
    /// It is unknown whether an earlier request with the same idempotency key was executed.
    OutcomeUnknown,
    /// An operator recorded that the request was not executed.
    #[serde(rename = "settled-not-run")]
    #[strum(serialize = "settled-not-run")]
    SettledNotExecuted,
    /// The instance has no configuration yet or cannot record claims at present.
    NotReady,
    /// A limit on requests in progress is reached, or a queue is too long to meet the deadline.
    Overloaded,
    /// The deadline passed before the request was complete.
    Deadline,
    /// No target is available for the call.
    NoTarget,
    /// The platform did not respond in time to a request to record or read claims.
    PlatformUnavailable,
    /// Targets failed repeatedly while they executed the request, so it is not sent for some time.
    Quarantined,
    /// An attempt of a stage failed and no retry is allowed, or the client has disconnected.
    StageFailed,
}

impl Reason {
    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyRequired => 400,
            Self::UnknownOrganisation => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::InProgress | Self::OutcomeUnknown | Self::SettledNotExecuted => 409,
            Self::BodyTooLarge => 413,
            Self::IdempotencyKeyReused | Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::StageFailed => 502,
            Self::NotReady | Self::NoTarget | Self::PlatformUnavailable => 503,
            Self::Deadline => 504,
        }
    }
}

/// The description of a refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    reason: Reason,
    executed: Executed,
    detail: String,
    retry_after_ms: Option<Millis>,
    earlier_calls_unknown: bool,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    executed: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    earlier_calls: Option<&'static str>,
}

impl Problem {
    /// Creates the problem of a request that was not executed, which `_proof` proves.
    #[must_use]
    pub fn not_executed(_proof: &NotExecuted, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            executed: Executed::No,
            detail: detail.into(),
            retry_after_ms: None,
            earlier_calls_unknown: false,
        }
    }

    /// Creates the problem of a request that a target may have executed.
    #[must_use]
    pub fn maybe_executed(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            executed: Executed::Unknown,
            detail: detail.into(),
            retry_after_ms: None,
            earlier_calls_unknown: false,
        }
    }

    /// Sets the delay after which the client can retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds that an earlier request with the same idempotency key may have been executed.
    ///
    /// `"executed": "no"` applies to this request only, which may be a retry of an earlier one. Has
    /// no effect on a problem that says `"executed": "unknown"`.
    #[must_use]
    pub fn with_earlier_calls_unknown(mut self) -> Self {
        self.earlier_calls_unknown = self.executed == Executed::No;
        self
    }

    /// Returns the problem type.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns whether a target may have executed the request.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.executed
    }

    /// Returns the delay after which the client can retry, `None` when no delay was set.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<Millis> {
        self.retry_after_ms
    }

    /// Returns the explanation of this occurrence of the problem.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the problem details as a JSON document.
    ///
    /// # Panics
    ///
    /// Panics when serialization fails, which is not possible for the types of the fields.
    #[must_use]
    pub fn to_json(&self) -> String {
        let body = ProblemBody {
            r#type: format!("urn:arbutushaven:problem:{}", self.reason),
            title: self.reason.to_string().replace('-', " "),
            status: self.reason.status(),
            detail: &self.detail,
            executed: self.executed,
            earlier_calls: self.earlier_calls_unknown.then_some("unknown"),
        };
        serde_json::to_string(&body).expect("problem details are serializable")
    }
}
