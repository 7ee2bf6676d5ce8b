//! JSON payloads of the operator interface of an instance.
//!
//! - `GET /admin/status` returns a [`Status`].
//! - `POST /admin/drain` takes a [`DrainRequest`] and returns a [`DrainResponse`].
//! - `GET /admin/claims` returns a list of [`UnsettledClaim`].
//! - `POST /admin/claims/settle` takes a [`SettleRequest`] and returns a [`SettleResponse`].
//!
//! Error responses contain a [`Problem`] as `application/problem+json`.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;

/// The status of an instance, with the members and targets that it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The name of the instance that responds.
    pub instance: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The configuration generation that the instance has applied, or 0 before the first one.
    pub generation: u64,
    /// The members, including the instance itself.
    pub members: Vec<MemberStatus>,
    /// The entries of the drain table.
    pub drains: Vec<DrainStatus>,
    /// The targets that the instance knows.
    pub targets: Vec<TargetStatus>,
    /// The number of requests in progress at this instance.
    pub requests_in_progress: u64,
    /// The limits on requests in progress that this instance enforces.
    pub limits: Vec<LimitStatus>,
}

/// The state of a member according to the failure detector.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member acknowledges probes.
    #[default]
    #[serde(rename = "live")]
    #[strum(serialize = "live")]
    Alive,
    /// The member acknowledged neither a direct nor a relayed probe; it becomes dead unless it
    /// refutes the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member is shutting down and takes no new work.
    Leaving,
}

/// A member as the responding instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The instance's name.
    pub name: String,
    /// The failure domain of the member.
    pub failure_domain: String,
    /// The state according to the failure detector.
    pub state: MemberState,
    /// The configuration generation that the member has applied, or 0 when it did not reply or is
    /// dead.
    pub generation: u64,
}

/// The kind of a subject that can be drained.
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
    /// A failure domain with all its instances and targets.
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
    /// The kind of the subject.
    pub kind: DrainKind,
    /// The name of the subject.
    pub name: String,
    /// Whether the subject is drained (`true`) or was returned to service (`false`).
    pub drained: bool,
    /// The revision, which starts at 1 and increases with each change of the entry.
    pub revision: u64,
}

/// Whether a target takes new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// The target is used up to its full capacity.
    Warm,
    /// The target has started recently, and its use is limited by slow start.
    Cold,
    /// The target does not respond.
    #[default]
    Unreachable,
    /// The target will be removed and takes no new work.
    Leaving,
    /// The target, or its failure domain, is drained and takes no new work.
    Drained,
}

/// A target as the responding instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStatus {
    /// The target's name.
    pub name: String,
    /// The service of the target.
    pub service: String,
    /// The failure domain of the target.
    pub failure_domain: String,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// The number of calls that all instances together may have in progress at the target.
    pub slots: u64,
    /// The number of calls of the responding instance in progress at the target.
    pub in_flight: u64,
}

/// A limit on requests in progress, with its use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LimitStatus {
    /// What the limit applies to, for example `organisation a, class b`, or `deployment` for the
    /// limit of the whole deployment.
    pub path: String,
    /// The number of requests that this instance may have in progress, which is its share of the
    /// limit.
    pub limit: u64,
    /// The number of requests in progress at this instance that count against the limit.
    pub in_flight: u64,
}

/// A request to drain a subject, or to return it to service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The kind of the subject.
    pub kind: DrainKind,
    /// The name of the subject.
    pub name: String,
    /// Whether to drain the subject (`true`) or to return it to service (`false`).
    pub drained: bool,
}

/// The response to a [`DrainRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainResponse {
    /// The revision of the subject's entry after the change.
    pub revision: u64,
    /// Whether the subject is drained after the change.
    pub drained: bool,
}

/// The state of a non-idempotent request that has no recorded outcome.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UnsettledState {
    /// An instance holds the claim; the request may be in progress.
    Claimed,
    /// The holder failed, or it does not know whether a target executed the request; an operator
    /// has to settle the claim.
    #[default]
    Unknown,
}

/// The claim of a non-idempotent request that has no recorded outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UnsettledClaim {
    /// The organisation on whose behalf the request was made.
    pub organisation: String,
    /// The pipeline of the request.
    pub pipeline: String,
    /// The client's idempotency key.
    pub idempotency_key: String,
    /// The state of the claim.
    pub state: UnsettledState,
    /// The name of the instance that holds or held the claim.
    pub holder: String,
    /// The identifier of the attempt that a target may have executed.
    pub attempt: String,
    /// The time of the last change of the claim's state, since the Unix epoch: when the request was
    /// claimed or when its outcome became unknown.
    pub claimed_at_ms: Millis,
}

/// The outcome of a non-idempotent request as determined by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SettleOutcome {
    /// A target executed the request.
    #[serde(rename = "run")]
    #[strum(serialize = "run")]
    Executed,
    /// No target executed the request.
    #[serde(rename = "not_run")]
    #[strum(serialize = "not_run")]
    NotExecuted,
}

/// A request to record the final outcome of an unsettled claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettleRequest {
    /// The organisation on whose behalf the request was made.
    pub organisation: String,
    /// The pipeline of the request.
    pub pipeline: String,
    /// The client's idempotency key.
    pub idempotency_key: String,
    /// The outcome to record.
    pub outcome: SettleOutcome,
    /// The operator's reason, which is stored with the claim; may be empty.
    #[serde(default)]
    pub note: String,
}

/// The response to a [`SettleRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SettleResponse {
    /// Whether the outcome of the request was recorded.
    pub settled: bool,
    /// The recorded outcome, or the reason why none was recorded, for operators.
    pub detail: String,
}

/// The body of an error response (`application/problem+json`).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// The identifier of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short description of the kind of problem.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// A description of this occurrence of the problem.
    pub detail: String,
    /// Whether a target executed the request (`no` or `unknown`), if the problem concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub executed: Option<String>,
}
