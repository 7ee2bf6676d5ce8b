//! Roll-outs of a new version of a service.
//!
//! An operator orders that the targets of a service be replaced by targets of another version. All
//! instances send a small share of the requests to the new targets at first and report how those
//! requests end, route by route, to one instance, the decider. It compares the new version with the
//! old one over the same periods and either rolls the order back, or moves all requests to the new
//! targets and completes the order once no instance has a request in progress at an old target.
//!
//! [`RolloutMember`] is the part of every instance, [`RolloutDecider`] that of the decider. The
//! store has the state of the order, which takes precedence over every directive.

mod comparison;
mod decider;
mod evidence;
mod exposure;
mod judgement;
mod ledger;
mod member;
mod targets;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

pub use decider::DeciderOutput;
pub use decider::RolloutDecider;
pub use decider::StoredStatus;
pub use decider::WriteOutcome;
pub use evidence::BUCKETS;
pub use evidence::DurationHistogram;
pub use evidence::EvidenceReport;
pub use evidence::ResponseOutcome;
pub use evidence::RouteEvidence;
pub use evidence::target_group;
pub use member::DIRECTIVE_VALID_MS;
pub use member::RolloutMember;
pub use targets::UsableTargets;
pub use targets::canary_target_count;
pub use targets::canary_targets;

/// Interval at which an instance reports to the decider while an order is in force. The decider
/// replies to each report with its current directive.
pub const REPORT_INTERVAL_MS: Millis = Millis(250);

/// An order to replace the targets of a service by those of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// The version to roll out.
    pub version: String,
    /// Time after the order by which it has to be completed or rolled back.
    pub duration_ms: Millis,
    /// Identifies the order; a later order for the same service has a higher revision. It does not
    /// change when the state of the order is written.
    pub revision: u64,
}

/// State of an order in the store.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutState {
    /// Neither version is ruled out.
    InProgress,
    /// The old targets stop at once and get no further requests.
    Completed,
    /// The new targets drain and get no further requests.
    RolledBack,
}

/// Bounds on what a bad version may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Share of the requests of the service that a bad version may get between the order and its
    /// time limit.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get in addition to that share.
    pub exposure_tolerance: u64,
    /// Time after its 50th bad response by which a bad version gets no more requests.
    pub rollback_ms: Millis,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_tolerance: 50,
            rollback_ms: Millis(5_000),
        }
    }
}

/// The targets that a request goes to, by their version.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum VersionSide {
    /// The version from before the order.
    Old,
    /// The ordered version.
    New,
}

/// How requests are divided between the versions.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPhase {
    /// A share of the requests within the exposure bound goes to some of the new targets.
    Canary,
    /// All new requests go to the new targets until no request is in progress at old ones.
    Shift,
    /// As [`Self::Shift`], and the decider may have begun to write `completed`. An instance that
    /// gets no further directive stays in this phase until the store shows the state.
    Completing,
}

/// What the decider instructs an instance to do, as the reply to its report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// Name of the service.
    pub service: String,
    /// Revision of the order.
    pub revision: u64,
    /// Name of the decider.
    pub decider: String,
    /// Increases with each directive of the same decider process; an older one that arrives later is
    /// ignored.
    pub sequence: u64,
    /// Share of the requests that go to the new version, except for the routes in `route_shares`.
    pub new_share: f64,
    /// Share for the routes that need another one, because they have few requests.
    pub route_shares: Vec<(String, f64)>,
    /// Number of new targets that the requests are sent to in [`RolloutPhase::Canary`], see
    /// [`canary_targets`].
    pub canary_targets: u32,
    /// How requests are divided.
    pub phase: RolloutPhase,
    /// Time since the order, as far as the decider knows.
    pub order_age_ms: Millis,
}
