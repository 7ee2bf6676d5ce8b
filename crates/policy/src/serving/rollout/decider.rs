//! The decision about an order, by one instance for all.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use super::Directive;
use super::EvidenceReport;
use super::RolloutLimits;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutState;
use super::UsableTargets;
use super::exposure::CanaryShare;
use super::exposure::ExposureControl;
use super::judgement::Judgement;
use super::judgement::Verdict;
use super::ledger::Ledger;
use arbutus_coord::Millis;

/// Time for which a new decider collects reports before its first directive. It covers two reports
/// of each instance and is shorter than the validity of a directive of the previous decider.
const COLLECT_MS: Millis = Millis(600);
/// Interval at which the store is asked again if it has not responded.
const READ_INTERVAL_MS: Millis = Millis(300);
/// Age of the last response of the store with which the shift may begin.
const STATUS_RECENT_MS: Millis = Millis(1_000);
/// Time that the decider needs in addition to the requests in progress at old targets: the directives
/// to all instances, two reports of each, and the write.
const SHIFT_OVERHEAD_MS: Millis = Millis(1_200);
/// Part of the duration that is kept as a reserve for another decider or a slow store, and its bound.
const RESERVE_PERCENT: u64 = 5;
const MAX_RESERVE_MS: Millis = Millis(8_000);
/// Part of the duration before which the shift does not begin.
const MIN_CANARY_PERCENT: u64 = 30;
/// The remaining time with which a version that is suspected of being bad is rolled back, because it
/// must not stay undecided.
const LAST_DECISION_MS: Millis = Millis(1_500);

/// Requests to the new version after which a shift that was interrupted may begin again, counted from
/// some time after the interruption, when all instances have got the directive.
const MIN_RECOMPARISON_REQUESTS: u64 = 50;
const MIN_RECOMPARISON_MS: Millis = Millis(1_000);

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

/// What the decider knows about the object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreView {
    /// The object has to be read, at first or after a write without a known outcome.
    Unknown,
    /// The object was read or written.
    Known(StoredStatus),
    /// This state is being written.
    Writing(RolloutState),
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
    created_at: Millis,
    /// Age of the order when the decider was created, as far as it is known.
    initial_age_ms: Millis,
    instances: BTreeSet<String>,
    targets: UsableTargets,
    ledger: Ledger,
    exposure: ExposureControl,
    judgement: Judgement,
    store: StoreView,
    /// When the store last responded.
    store_responded_at: Option<Millis>,
    /// When the store was last asked for the object.
    read_at: Option<Millis>,
    has_collected: bool,
    phase: RolloutPhase,
    /// When the shift was interrupted because of bad responses, and the number of requests to the
    /// new version that followed from it.
    left_shift: Option<(Millis, u64)>,
    /// Whether the new version was found to be bad, which is final.
    is_bad: bool,
    sequence: u64,
    reason: String,
}

impl RolloutDecider {
    /// Creates the decider at the instance `instance`.
    ///
    /// `order_age_ms` is the time since the order, as far as the instance knows; reports with a
    /// greater age correct it.
    #[must_use]
    pub fn new(
        now: Millis,
        instance: &str,
        order: RolloutOrder,
        limits: RolloutLimits,
        order_age_ms: Millis,
    ) -> Self {
        Self {
            instance: instance.to_owned(),
            order,
            limits,
            created_at: now,
            initial_age_ms: order_age_ms,
            instances: BTreeSet::new(),
            targets: UsableTargets::default(),
            ledger: Ledger::default(),
            exposure: ExposureControl::default(),
            judgement: Judgement::default(),
            store: StoreView::Unknown,
            store_responded_at: None,
            read_at: None,
            has_collected: false,
            phase: RolloutPhase::Canary,
            left_shift: None,
            is_bad: false,
            sequence: 0,
            reason: String::new(),
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
    pub fn set_instances(&mut self, _now: Millis, instances: BTreeSet<String>) {
        self.instances = instances;
    }

    /// Sets the number of usable targets.
    pub fn set_targets(&mut self, _now: Millis, targets: UsableTargets) {
        self.targets = targets;
    }

    /// Merges a report, also that of this instance; an older one than the last changes nothing.
    pub fn merge(&mut self, now: Millis, report: &EvidenceReport) {
        if report.service != self.order.service || report.revision != self.order.revision {
            return;
        }
        let age_at_creation_ms = report.order_age_ms - (now - self.created_at);
        self.initial_age_ms = self.initial_age_ms.max(age_at_creation_ms);
        self.ledger.merge(now, report);
    }

    /// Records the status as it was read or as a watch has shown it.
    ///
    /// While a write is in progress only a final state is taken over, as the object may have been
    /// read before the write.
    pub fn record_status(&mut self, now: Millis, status: StoredStatus) {
        self.store_responded_at = Some(now);
        let is_final = status.state.is_some_and(is_final);
        let is_older = match self.store {
            StoreView::Unknown => false,
            StoreView::Known(known) => {
                known.state.is_some_and(self::is_final)
                    || known.object_revision > status.object_revision
            }
            StoreView::Writing(_) => !is_final,
        };
        if !is_older {
            self.store = StoreView::Known(status);
        }
    }

    /// Records that the store did not respond to [`DeciderOutput::ReadStatus`].
    pub fn record_read_failure(&mut self, _now: Millis) {
        self.store_responded_at = None;
    }

    /// Records the end of a write.
    pub fn record_write(&mut self, now: Millis, outcome: WriteOutcome) {
        let StoreView::Writing(state) = self.store else {
            return;
        };
        self.store = match outcome {
            WriteOutcome::Written { object_revision } => {
                self.store_responded_at = Some(now);
                StoreView::Known(StoredStatus {
                    object_revision,
                    state: Some(state),
                })
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.read_at = None;
                StoreView::Unknown
            }
        };
    }

    /// Returns what is to be done now; the caller calls this at least every 100 ms.
    pub fn step(&mut self, now: Millis) -> Vec<DeciderOutput> {
        if self.final_state().is_some() {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        self.ledger.sample(now);
        if !self.has_collected && now >= self.created_at + COLLECT_MS && self.has_read_status() {
            self.has_collected = true;
            self.phase = self.ledger.latest_phase();
        }
        if self.has_collected {
            self.advance(now);
            let directive = self.directive(now);
            outputs.push(DeciderOutput::Directive(directive));
        }
        if self.needs_read(now) {
            self.read_at = Some(now);
            outputs.push(DeciderOutput::ReadStatus);
        }
        outputs.extend(self.start_write(now));
        outputs
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the final state of the order once the store has it.
    #[must_use]
    pub fn final_state(&self) -> Option<RolloutState> {
        match self.store {
            StoreView::Known(status) => status.state.filter(|state| is_final(*state)),
            StoreView::Unknown | StoreView::Writing(_) => None,
        }
    }

    /// Returns the reason of the last change of phase or state for the log, with its evidence.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }

    fn order_age(&self, now: Millis) -> Millis {
        self.initial_age_ms + (now - self.created_at)
    }

    fn remaining_ms(&self, now: Millis) -> Millis {
        self.order.duration_ms - self.order_age(now)
    }

    /// Returns whether the status was read at least once, so that no directive contradicts it.
    const fn has_read_status(&self) -> bool {
        !matches!(self.store, StoreView::Unknown)
    }

    /// Returns whether the store has responded recently, so that a decision can be written.
    fn is_store_reachable(&self, now: Millis) -> bool {
        let responded_at = self.store_responded_at;
        responded_at.is_some_and(|responded_at| now <= responded_at + STATUS_RECENT_MS)
    }

    /// Changes the phase according to the evidence.
    fn advance(&mut self, now: Millis) {
        let verdict = self.judgement.judge(now, &self.ledger, self.phase);
        match self.phase {
            RolloutPhase::Canary => self.advance_canary(now, verdict),
            RolloutPhase::Shift => self.advance_shift(now, verdict),
            RolloutPhase::Completing => (),
        }
    }

    fn advance_canary(&mut self, now: Millis, verdict: Verdict) {
        if self.is_bad {
            return;
        }
        let remaining_ms = self.remaining_ms(now);
        let is_last_moment = remaining_ms <= LAST_DECISION_MS;
        let is_suspect = verdict == Verdict::Suspect || self.left_shift.is_some();
        if verdict == Verdict::Bad || (is_suspect && is_last_moment) {
            self.is_bad = true;
            self.set_reason(verdict);
            return;
        }
        let is_due = remaining_ms <= self.shift_ms()
            && self.order_age(now) >= self.order.duration_ms.percent(MIN_CANARY_PERCENT);
        if is_due
            && verdict == Verdict::Good
            && remaining_ms > Millis::ZERO
            && self.targets.new > 0
            && self.may_shift_again(now)
            && self.is_store_reachable(now)
        {
            self.enter(now, RolloutPhase::Shift, verdict);
        }
    }

    /// Returns whether the versions were compared again since an interrupted shift.
    fn may_shift_again(&mut self, now: Millis) -> bool {
        let sent_new = self.ledger.totals().sent_new;
        let Some((left_at, known)) = &mut self.left_shift else {
            return true;
        };
        if now < *left_at + MIN_RECOMPARISON_MS {
            *known = sent_new;
        }
        sent_new >= *known + MIN_RECOMPARISON_REQUESTS
    }

    fn advance_shift(&mut self, now: Millis, verdict: Verdict) {
        if verdict == Verdict::Bad || self.targets.new == 0 {
            // Only the comparison over the same period shows whether the version or the whole
            // service is at fault.
            if verdict == Verdict::Bad {
                self.is_bad = self.left_shift.is_some();
                self.left_shift = Some((now, self.ledger.totals().sent_new));
            }
            self.enter(now, RolloutPhase::Canary, verdict);
        } else if self
            .ledger
            .all_are_clear(now, &self.instances, RolloutPhase::Shift)
            && self.is_store_reachable(now)
        {
            self.enter(now, RolloutPhase::Completing, verdict);
        }
    }

    fn enter(&mut self, now: Millis, phase: RolloutPhase, verdict: Verdict) {
        self.phase = phase;
        self.exposure.reset();
        self.judgement.record_phase(now, phase, &mut self.ledger);
        self.set_reason(verdict);
    }

    /// Returns the time before the limit at which the shift begins: requests in progress at old
    /// targets have to end, and the later it is, the more evidence there is.
    fn shift_ms(&self) -> Millis {
        let longest_ms = Judgement::longest_old_ms(&self.ledger);
        let reserve_ms = self.order.duration_ms.percent(RESERVE_PERCENT);
        longest_ms + SHIFT_OVERHEAD_MS + reserve_ms.min(MAX_RESERVE_MS)
    }

    fn directive(&mut self, now: Millis) -> Directive {
        let may_expose = self.phase == RolloutPhase::Canary
            && !self.is_bad
            && self.remaining_ms(now) > Millis::ZERO;
        let share = if may_expose {
            let remaining_ms = self.remaining_ms(now);
            let reporting = self.ledger.reporting_fraction(now, &self.instances);
            let share = self.exposure.share(
                now,
                &self.limits,
                self.targets,
                &self.ledger,
                reporting,
                remaining_ms,
            );
            self.judgement
                .record_load(now, share.has_equal_load, share.has_pulses);
            share
        } else {
            CanaryShare::default()
        };
        self.sequence += 1;
        Directive {
            service: self.order.service.clone(),
            revision: self.order.revision,
            decider: self.instance.clone(),
            sequence: self.sequence,
            new_share: share.new_share,
            route_shares: share.route_shares,
            canary_targets: share.canary_targets,
            phase: self.phase,
            order_age_ms: self.order_age(now),
        }
    }

    fn needs_read(&self, now: Millis) -> bool {
        let is_due = self
            .read_at
            .is_none_or(|read_at| now >= read_at + READ_INTERVAL_MS);
        let shifts_soon = self.remaining_ms(now) <= self.shift_ms() + STATUS_RECENT_MS;
        let needs_status = match self.store {
            StoreView::Unknown => true,
            StoreView::Known(_) => shifts_soon && !self.is_store_reachable(now),
            StoreView::Writing(_) => false,
        };
        is_due && needs_status
    }

    fn start_write(&mut self, now: Millis) -> Option<DeciderOutput> {
        let StoreView::Known(status) = self.store else {
            return None;
        };
        let is_clear = || {
            self.ledger
                .all_are_clear(now, &self.instances, RolloutPhase::Completing)
        };
        let state = if self.is_bad {
            RolloutState::RolledBack
        } else if self.phase == RolloutPhase::Completing && is_clear() {
            RolloutState::Completed
        } else if status.state.is_none() {
            RolloutState::InProgress
        } else {
            return None;
        };
        self.store = StoreView::Writing(state);
        Some(DeciderOutput::WriteState {
            state,
            object_revision: status.object_revision,
        })
    }

    fn set_reason(&mut self, verdict: Verdict) {
        self.reason.clear();
        let totals = self.ledger.totals();
        let finding = self.judgement.finding();
        // Writing to a string does not fail.
        let _ = write!(
            self.reason,
            "{verdict}: {} of {} requests to the new version; {finding}",
            totals.sent_new, totals.sent_all
        );
    }
}

const fn is_final(state: RolloutState) -> bool {
    matches!(state, RolloutState::Completed | RolloutState::RolledBack)
}
