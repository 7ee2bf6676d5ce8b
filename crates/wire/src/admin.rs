//! JSON payloads of the operator interface of an instance.
//!
//! `GET /admin/status` answers a [`Status`], `POST /admin/drain` takes a [`DrainRequest`] and
//! answers a [`DrainResponse`], `GET /admin/claims` answers a list of [`UnsettledClaim`], and
//! `POST /admin/claims/settle` takes a [`SettleRequest`] and answers a [`SettleResponse`]. Refusals
//! are `application/problem+json` and carry a [`Problem`].

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;

/// What an instance knows about itself, its members and its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The instance that answered.
    pub instance: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The configuration generation that the instance has applied; 0 before the first.
    pub generation: u64,
    /// The known members, including the instance itself.
    pub members: Vec<MemberStatus>,
    /// The subjects that are drained.
    pub drains: Vec<DrainStatus>,
    /// The known targets.
    pub targets: Vec<TargetStatus>,
    /// The number of requests in progress at this instance.
    pub requests_in_progress: u64,
    /// The limits that apply at this instance.
    pub limits: Vec<LimitStatus>,
}

/// What failure detection says about a member.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    #[default]
    Live,
    /// The member has missed probes and may still refute the suspicion.
    Suspect,
    /// The member has failed.
    Dead,
    /// The member is shutting down.
    Leaving,
}

/// A member as the answering instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The instance's name.
    pub name: String,
    /// The failure domain of the member.
    pub failure_domain: String,
    /// What failure detection says about the member.
    pub state: MemberState,
    /// The configuration generation that the member last reported.
    pub generation: u64,
}

/// What can be drained.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DrainKind {
    /// A failure domain with all of its instances and targets.
    #[default]
    FailureDomain,
    /// One instance.
    Instance,
    /// One target.
    Target,
}

/// An entry of the drain table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainStatus {
    /// What is drained.
    pub kind: DrainKind,
    /// The name of the subject.
    pub name: String,
    /// Whether the subject is drained.
    pub drained: bool,
    /// The revision of the entry; the highest revision wins.
    pub revision: u64,
}

/// Whether a target takes work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// The target takes its full capacity.
    Warm,
    /// The target is limited to its slow-start window.
    Cold,
    /// The target does not answer.
    #[default]
    Unreachable,
    /// The target is leaving and takes no new work.
    Leaving,
    /// The target, or its failure domain, is drained and takes no new work.
    Drained,
}

/// A target as the answering instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStatus {
    /// The target's name.
    pub name: String,
    /// The service of the target.
    pub service: String,
    /// The failure domain of the target.
    pub failure_domain: String,
    /// Whether the target takes work.
    pub state: TargetState,
    /// The slots that are allowed for the target in total.
    pub slots: u64,
    /// The calls in progress from this instance.
    pub in_flight: u64,
}

/// A limit with its usage.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LimitStatus {
    /// The path of the limit: organisation, then class, then pipeline, separated by `/`.
    pub path: String,
    /// The share of the limit that this instance enforces.
    pub limit: u64,
    /// The requests in progress that count against the limit.
    pub in_flight: u64,
}

/// An order to drain a subject, or to end its drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// What is drained.
    pub kind: DrainKind,
    /// The name of the subject.
    pub name: String,
    /// Whether the subject is to be drained.
    pub drained: bool,
}

/// The answer to a drain order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainResponse {
    /// The revision of the entry after the order.
    pub revision: u64,
    /// Whether the subject is drained after the order.
    pub drained: bool,
}

/// The state of a non-idempotent request that has no recorded outcome.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UnsettledState {
    /// A holder has claimed the request and may be running it.
    Claimed,
    /// The holder disappeared, or the outcome is ambiguous; an operator has to settle it.
    #[default]
    Unknown,
}

/// A non-idempotent request without a recorded outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UnsettledClaim {
    /// The organisation on whose behalf the request was made.
    pub organisation: String,
    /// The pipeline of the request.
    pub pipeline: String,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// The state of the claim.
    pub state: UnsettledState,
    /// The instance that held the claim.
    pub holder: String,
    /// The identifier of the attempt that may have run.
    pub attempt: String,
    /// The time of the claim since the Unix epoch.
    pub claimed_at_ms: Millis,
}

/// What an operator found out about a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SettleOutcome {
    /// The request ran.
    Run,
    /// The request did not run.
    NotRun,
}

/// An operator's final decision about an unsettled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettleRequest {
    /// The organisation on whose behalf the request was made.
    pub organisation: String,
    /// The pipeline of the request.
    pub pipeline: String,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// What the operator found out.
    pub outcome: SettleOutcome,
    /// Why the operator decided so; kept with the claim.
    #[serde(default)]
    pub note: String,
}

/// The answer to a settle order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SettleResponse {
    /// Whether the decision is recorded.
    pub settled: bool,
    /// The outcome that is on record, in words.
    pub detail: String,
}

/// A refusal (`application/problem+json`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// The identifier of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened in this case.
    pub detail: String,
    /// Whether the request was executed: `no` or `unknown`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub executed: Option<String>,
}
