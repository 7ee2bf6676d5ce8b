//! The part of a roll-out that every instance does.

use super::Directive;
use super::EvidenceReport;
use super::ResponseOutcome;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutState;
use super::VersionSide;
use arbutus_coord::Millis;

/// How long a directive is valid. Without a decider, an instance sends no requests to a version that
/// nobody watches.
pub const DIRECTIVE_VALID_MS: Millis = Millis(1_000);

/// The roll-out of one service at one instance.
#[derive(Debug)]
pub struct RolloutMember {
    instance: String,
    incarnation: u64,
    old_in_flight: u64,
    order: Option<RolloutOrder>,
    state: RolloutState,
    directive: Option<(Millis, Directive)>,
}

impl RolloutMember {
    /// Creates the member of an instance; `incarnation` identifies the run of its process.
    #[must_use]
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            old_in_flight: 0,
            order: None,
            state: RolloutState::InProgress,
            directive: None,
        }
    }

    /// Begins an order, unless the same or a later one has begun.
    ///
    /// `old_in_flight` is the number of requests in progress at targets of the old version, whose
    /// ends have to be recorded too.
    pub fn begin(&mut self, _now: Millis, order: &RolloutOrder, old_in_flight: u64) {
        self.order = Some(order.clone());
        self.old_in_flight = old_in_flight;
    }

    /// Ends the order because it was withdrawn; all versions are used as before.
    pub fn withdraw(&mut self) {
        self.order = None;
    }

    /// Returns the order in force, including one that is completed or rolled back.
    #[must_use]
    pub const fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    /// Records the state that the store has for the order of a revision; it takes precedence over
    /// all directives.
    pub fn record_state(&mut self, revision: u64, state: RolloutState) {
        if self
            .order
            .as_ref()
            .is_some_and(|order| order.revision == revision)
        {
            self.state = state;
        }
    }

    /// Returns the state of the order in the store, as far as it is known.
    #[must_use]
    pub const fn state(&self) -> RolloutState {
        self.state
    }

    /// Chooses the version for a request; `random` is from 0 to 1, exclusive.
    ///
    /// The caller sends the request to the other version if the chosen one has no usable target and
    /// [`Self::allows`] the other one.
    #[must_use]
    pub fn choose_side(&self, _now: Millis, _route: &str, _random: f64) -> VersionSide {
        VersionSide::Old
    }

    /// Returns whether a request may be sent to a version although [`Self::choose_side`] has chosen
    /// the other one, because that has no usable target.
    #[must_use]
    pub fn allows(&self, _now: Millis, _side: VersionSide) -> bool {
        false
    }

    /// Records a request that is sent to a target of a version, also a retry of an earlier attempt.
    pub fn record_send(&mut self, _now: Millis, side: VersionSide) {
        if side == VersionSide::Old {
            self.old_in_flight += 1;
        }
    }

    /// Records the end of a request that was sent to a target; `duration_ms` is the time from the
    /// sending to the first event of a stream or to the end of another response.
    pub fn record_end(
        &mut self,
        _now: Millis,
        _route: &str,
        side: VersionSide,
        _target: &str,
        _outcome: ResponseOutcome,
        _duration_ms: Millis,
    ) {
        if side == VersionSide::Old {
            self.old_in_flight = self.old_in_flight.saturating_sub(1);
        }
    }

    /// Returns the report for the decider, or `None` if no order is in progress.
    pub fn report(&mut self, _now: Millis) -> Option<EvidenceReport> {
        None
    }

    /// Requests that the next reports contain all evidence, because there is another decider.
    pub fn mark_unreported(&mut self) {}

    /// Applies a directive, and returns whether it was accepted: it is for the order in force and
    /// not older than the last one.
    pub fn apply(&mut self, now: Millis, directive: Directive) -> bool {
        self.directive = Some((now, directive));
        true
    }

    /// Returns the phase that the instance follows at this time.
    #[must_use]
    pub const fn phase(&self, _now: Millis) -> RolloutPhase {
        RolloutPhase::Canary
    }

    /// Returns the number of new targets to which requests are sent, see
    /// [`super::canary_targets`]; `None` if all of them are used.
    #[must_use]
    pub const fn canary_targets(&self, _now: Millis) -> Option<u32> {
        None
    }

    /// Returns the name of the instance.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns the identifier of the run of the process.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
