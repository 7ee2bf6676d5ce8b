//! The decision about an order, by one instance for all.

use std::collections::BTreeSet;

use super::Directive;
use super::EvidenceReport;
use super::RolloutLimits;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutState;
use super::UsableTargets;
use arbutus_coord::Millis;

/// What the caller has to do for the decider.
#[derive(Clone, Debug, PartialEq)]
pub enum DeciderOutput {
    /// Replies with this directive to all reports from now on.
    Directive(Directive),
    /// Writes the state, conditional on the object having this revision, and calls
    /// [`RolloutDecider::record_write`].
    WriteState {
        /// The state to write.
        state: RolloutState,
        /// Revision of the object that was read last.
        object_revision: u64,
    },
    /// Reads the object and calls [`RolloutDecider::record_status`].
    ReadStatus,
}

/// The state of the order as it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// Revision of the object, which changes with each write of the order or its state.
    pub object_revision: u64,
    /// The state; `None` if none was written for this order.
    pub state: Option<RolloutState>,
}

/// How a write of a state ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The state was written; the object has this revision now.
    Written {
        /// Revision of the object after the write.
        object_revision: u64,
    },
    /// The object had another revision.
    Conflict,
    /// No response, or one that does not tell whether the state was written. The caller calls
    /// [`RolloutDecider::record_write`] only after the call has ended.
    Unknown,
}

/// The decider of one order.
///
/// The shell creates it when rendezvous hashing over the live instances ranks this instance first
/// for the service, and drops it when it ranks another one first.
#[derive(Debug)]
pub struct RolloutDecider {
    instance: String,
    order: RolloutOrder,
    limits: RolloutLimits,
}

impl RolloutDecider {
    /// Creates the decider at the instance `instance`.
    ///
    /// `order_age_ms` is the time since the order, as far as the instance knows; reports with a
    /// greater age correct it.
    #[must_use]
    pub fn new(
        _now: Millis,
        instance: &str,
        order: RolloutOrder,
        limits: RolloutLimits,
        _order_age_ms: Millis,
    ) -> Self {
        Self {
            instance: instance.to_owned(),
            order,
            limits,
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Sets the instances that may have requests in progress: those that the platform lists, and
    /// those that are members, including this one. `completed` is written only when all of them have
    /// confirmed that they use the new version alone.
    pub fn set_instances(&mut self, _now: Millis, _instances: BTreeSet<String>) {}

    /// Sets the number of usable targets.
    pub fn set_targets(&mut self, _now: Millis, _targets: UsableTargets) {}

    /// Merges a report, also that of this instance; an older one than the last changes nothing.
    pub fn merge(&mut self, _now: Millis, _report: &EvidenceReport) {}

    /// Records the status as it was read or as a watch has shown it.
    pub fn record_status(&mut self, _now: Millis, _status: StoredStatus) {}

    /// Records that the store did not respond to [`DeciderOutput::ReadStatus`].
    pub fn record_read_failure(&mut self, _now: Millis) {}

    /// Records the end of a write.
    pub fn record_write(&mut self, _now: Millis, _outcome: WriteOutcome) {}

    /// Returns what is to be done now; the caller calls this at least every 100 ms.
    pub fn step(&mut self, _now: Millis) -> Vec<DeciderOutput> {
        let _ = (&self.instance, &self.limits);
        Vec::new()
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> RolloutPhase {
        RolloutPhase::Canary
    }

    /// Returns the final state of the order once the store has it.
    #[must_use]
    pub const fn final_state(&self) -> Option<RolloutState> {
        None
    }

    /// Returns the reason of the last change of phase or state for the log, with its evidence.
    #[must_use]
    pub fn reason(&self) -> String {
        String::new()
    }
}
