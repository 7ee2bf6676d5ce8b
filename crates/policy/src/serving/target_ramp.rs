//! Share of the load that a target gets after it has started or returned.
//!
//! The aggregator of a failure domain gives each target a weight: the fraction of a normal share
//! that the senders of the domain together give it. Every sender takes the target as a candidate
//! with this probability (see [`is_candidate`]), so that the senders need no coordination.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// Least weight; a target below a normal share still gets requests that show whether it has
/// recovered.
pub const MIN_WEIGHT: f64 = 0.05;
/// Weight of a target that has just started or returned.
const START_WEIGHT: f64 = 0.1;

/// Requests of one target since the last report. Counts of different senders are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RampOutcomes {
    /// Requests that were sent.
    pub sent: u32,
    /// First events within the latency objective.
    pub in_time: u32,
    /// Requests whose latency objective has passed without a first event, each counted once, at
    /// that moment.
    pub late: u32,
    /// Requests that the target refused and did not execute.
    pub refused: u32,
    /// Requests whose connection or response failed.
    pub failed: u32,
}

/// What the weight of a target says about it; a label of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RampState {
    /// The target gets a normal share.
    Steady,
    /// The target gets part of a normal share.
    Ramping,
    /// The target has the least weight.
    Probing,
}

/// Why a weight fell; a label of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RampCause {
    /// The target started or returned.
    Started,
    /// First events were late.
    Late,
    /// The target refused requests.
    Refused,
    /// Requests failed.
    Failed,
    /// Requests waited at the target.
    Queue,
}

/// A step of a ramp that a log line shows: its start, a fall, or that it is complete.
#[derive(Clone, Debug, PartialEq)]
pub struct RampChange {
    /// Identifier of the target.
    pub target: String,
    /// State after the change.
    pub state: RampState,
    /// Weight after the change.
    pub weight: f64,
    /// Why the weight fell; `None` if the ramp is complete.
    pub cause: Option<RampCause>,
}

#[derive(Debug)]
struct Ramp {
    weight: f64,
    cause: RampCause,
}

/// The ramps of the targets of one service, held by the aggregator of a failure domain.
///
/// A target without a ramp has the weight 1, so that a new aggregator does not make all targets
/// start again.
#[derive(Debug, Default)]
pub struct TargetRamp {
    ramps: BTreeMap<String, Ramp>,
    changes: Vec<RampChange>,
}

impl TargetRamp {
    /// Starts a ramp: a target has appeared, was restarted, or is back after an evacuation, a pause
    /// or a flap.
    pub fn record_start(&mut self, _now: Millis, target: &str) {
        let ramp = Ramp {
            weight: START_WEIGHT,
            cause: RampCause::Started,
        };
        self.ramps.insert(target.to_owned(), ramp);
    }

    /// Records how requests at a target ended.
    pub fn record_outcomes(&mut self, _now: Millis, target: &str, outcomes: RampOutcomes) {
        let Some(ramp) = self.ramps.get_mut(target) else {
            return;
        };
        if outcomes.late + outcomes.refused + outcomes.failed > 0 {
            ramp.weight = (ramp.weight / 2.0).max(MIN_WEIGHT);
        } else if outcomes.in_time > 0 {
            ramp.weight = (ramp.weight * 2.0).min(1.0);
        }
    }

    /// Records the number of requests that wait at a target for a slot.
    pub fn record_queue(&mut self, _now: Millis, _target: &str, _waiting: u32, _slots: u32) {}

    /// Takes over the weight that another aggregator gave a target, unless its ramp is known.
    pub fn adopt(&mut self, _now: Millis, target: &str, weight: f64) {
        if weight < 1.0 && !self.ramps.contains_key(target) {
            let ramp = Ramp {
                weight: weight.max(MIN_WEIGHT),
                cause: RampCause::Started,
            };
            self.ramps.insert(target.to_owned(), ramp);
        }
    }

    /// Returns the weight of a target, from [`MIN_WEIGHT`] to 1.
    #[must_use]
    pub fn weight(&self, _now: Millis, target: &str) -> f64 {
        self.ramps.get(target).map_or(1.0, |ramp| ramp.weight)
    }

    /// Returns what the weight of a target says about it.
    #[must_use]
    pub fn state(&self, now: Millis, target: &str) -> RampState {
        let weight = self.weight(now, target);
        if weight >= 1.0 {
            RampState::Steady
        } else if weight > MIN_WEIGHT {
            RampState::Ramping
        } else {
            RampState::Probing
        }
    }

    /// Returns why the weight of a target fell last, or `None` if it is 1.
    #[must_use]
    pub fn cause(&self, now: Millis, target: &str) -> Option<RampCause> {
        let ramp = self.ramps.get(target)?;
        (self.state(now, target) != RampState::Steady).then_some(ramp.cause)
    }

    /// Returns the changes since the last call.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<RampChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the ramp of a target that is gone.
    pub fn remove(&mut self, target: &str) {
        self.ramps.remove(target);
    }
}

/// Returns whether a sender takes a target as a candidate for one request; `random` is uniform over
/// its whole range.
#[must_use]
pub fn is_candidate(weight: f64, random: u64) -> bool {
    weight >= 1.0 || (random as f64) < weight * (u64::MAX as f64)
}
