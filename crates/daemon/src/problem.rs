//! Refusals and failures as problem details (RFC 9457).
//!
//! `"executed": "no"` is a promise to the caller. It can only be built by [`Problem::not_executed`],
//! which takes the proof that nothing was sent to a target.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;
use arbutus_policy::attempt::NotRun;

/// Whether the request has had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Executed {
    /// No byte of the call reached a target.
    No,
    /// The call may have run.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No such path or pipeline.
    NotFound,
    /// The method is not supported.
    MethodNotAllowed,
    /// The body is too large.
    BodyTooLarge,
    /// The organisation is not known.
    UnknownOrganisation,
    /// A non-idempotent pipeline needs an idempotency key.
    IdempotencyKeyRequired,
    /// The idempotency key was used with another body.
    IdempotencyKeyReused,
    /// A call with the same idempotency key runs.
    InProgress,
    /// The outcome of an earlier call with the same idempotency key is not known.
    OutcomeUnknown,
    /// An operator recorded that the request was not run.
    SettledNotRun,
    /// The instance has no configuration, or leaves.
    NotReady,
    /// Too many requests are in progress, or a limit is reached.
    Overloaded,
    /// The request could not be answered before its deadline.
    Deadline,
    /// No target can take the call.
    NoTarget,
    /// The platform cannot record the claim.
    PlatformUnavailable,
    /// The request crashed targets and is quarantined.
    Quarantined,
    /// A stage failed.
    StageFailed,
}

impl Reason {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyRequired => 400,
            Self::UnknownOrganisation => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::InProgress | Self::OutcomeUnknown | Self::SettledNotRun => 409,
            Self::BodyTooLarge => 413,
            Self::IdempotencyKeyReused | Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::StageFailed => 502,
            Self::NotReady | Self::NoTarget | Self::PlatformUnavailable => 503,
            Self::Deadline => 504,
        }
    }
}

/// A refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    reason: Reason,
    executed: Executed,
    detail: String,
    retry_after_ms: Option<Millis>,
    earlier_calls_unknown: bool,
}

#[derive(Serialize)]
struct Body<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    executed: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    earlier_calls: Option<&'static str>,
}

impl Problem {
    /// Creates a refusal whose call provably reached no target.
    #[must_use]
    pub fn not_executed(_proof: &NotRun, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            executed: Executed::No,
            detail: detail.into(),
            retry_after_ms: None,
            earlier_calls_unknown: false,
        }
    }

    /// Creates a failure of a call that may have run.
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

    /// Adds the delay after which a retry makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds that an earlier call with the same idempotency key may have run.
    ///
    /// `"executed": "no"` is about this call; whether it was a resend is not known.
    #[must_use]
    pub fn with_earlier_calls_unknown(mut self) -> Self {
        self.earlier_calls_unknown = self.executed == Executed::No;
        self
    }

    /// Returns why the request was refused or failed.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns whether the request has had an effect.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.executed
    }

    /// Returns the delay after which a retry makes sense.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<Millis> {
        self.retry_after_ms
    }

    /// Returns the explanation.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the problem details as JSON.
    ///
    /// # Panics
    ///
    /// Panics when the problem cannot be serialized, which its types rule out.
    #[must_use]
    pub fn to_json(&self) -> String {
        let body = Body {
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
