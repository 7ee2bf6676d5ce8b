//! The part of a roll-out that every instance does.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;

use super::Directive;
use super::DurationHistogram;
use super::EvidenceReport;
use super::ResponseOutcome;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutState;
use super::RouteEvidence;
use super::VersionSide;
use super::target_group;
use arbutus_coord::Millis;

/// How long a directive is valid. Without a decider, an instance sends no requests to a version that
/// nobody watches.
pub const DIRECTIVE_VALID_MS: Millis = Millis(1_000);
/// Number of pieces of evidence in a report. With 30 bytes each and four reports a second, a report
/// stays within 1 KB/s.
const MAX_EVIDENCE_PER_REPORT: usize = 6;
/// How much more urgent the report of a failure is than that of a success.
const FAILURE_WEIGHT: u32 = 10;

type EvidenceKey = (String, VersionSide, u8);

#[derive(Debug, Default)]
struct Evidence {
    responses: u32,
    failures: u32,
    durations: DurationHistogram,
    /// Grows with each response that no report contains, and with each failure by more.
    unreported_weight: u32,
    /// Sequence of the last report that contained it.
    reported_in: u64,
}

/// What an instance knows about the order that it follows.
#[derive(Debug)]
struct Participation {
    order: RolloutOrder,
    state: RolloutState,
    begun_at: Millis,
    /// Age of the order at `begun_at`, as far as it is known.
    age_at_begin_ms: Millis,
    /// The last directive and when it arrived.
    directive: Option<(Millis, Directive)>,
    report_sequence: u64,
    sent_new: u64,
    sent_all: u64,
    old_in_flight: u64,
    new_in_flight: u64,
    evidence: BTreeMap<EvidenceKey, Evidence>,
    /// The evidence of the last report, until a directive shows that the report has arrived.
    unconfirmed: Vec<EvidenceKey>,
    /// The evidence that was repeated last without a change.
    last_repeated: Option<EvidenceKey>,
}

/// The roll-out of one service at one instance.
#[derive(Debug)]
pub struct RolloutMember {
    instance: String,
    incarnation: u64,
    participation: Option<Participation>,
}

impl RolloutMember {
    /// Creates the member of an instance; `incarnation` identifies the run of its process.
    #[must_use]
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            participation: None,
        }
    }

    /// Begins an order, unless the same or a later one has begun.
    ///
    /// `old_in_flight` is the number of requests in progress at targets of the old version, whose
    /// ends have to be recorded too.
    pub fn begin(&mut self, now: Millis, order: &RolloutOrder, old_in_flight: u64) {
        let known_revision = self.order().map(|known| known.revision);
        if known_revision.is_some_and(|revision| revision >= order.revision) {
            return;
        }
        self.participation = Some(Participation {
            order: order.clone(),
            state: RolloutState::InProgress,
            begun_at: now,
            age_at_begin_ms: Millis::ZERO,
            directive: None,
            report_sequence: 0,
            sent_new: 0,
            sent_all: 0,
            old_in_flight,
            new_in_flight: 0,
            evidence: BTreeMap::new(),
            unconfirmed: Vec::new(),
            last_repeated: None,
        });
    }

    /// Ends the order because it was withdrawn; all versions are used as before.
    pub fn withdraw(&mut self) {
        self.participation = None;
    }

    /// Returns the order in force, including one that is completed or rolled back.
    #[must_use]
    pub fn order(&self) -> Option<&RolloutOrder> {
        let participation = self.participation.as_ref()?;
        Some(&participation.order)
    }

    /// Records the state that the store has for the order of a revision; it takes precedence over
    /// all directives.
    pub fn record_state(&mut self, revision: u64, state: RolloutState) {
        if let Some(participation) = &mut self.participation
            && participation.order.revision == revision
        {
            participation.state = state;
        }
    }

    /// Returns the state of the order in the store, as far as it is known.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        let participation = self.participation.as_ref();
        participation.map_or(RolloutState::InProgress, |it| it.state)
    }

    /// Chooses the version for a request; `random` is from 0 to 1, exclusive.
    ///
    /// The caller sends the request to the other version if the chosen one has no usable target and
    /// [`Self::allows`] the other one.
    #[must_use]
    pub fn choose_side(&self, now: Millis, route: &str, random: f64) -> VersionSide {
        let Some(participation) = &self.participation else {
            return VersionSide::Old;
        };
        if participation.new_share(now, route) > random {
            VersionSide::New
        } else {
            VersionSide::Old
        }
    }

    /// Returns whether a request may be sent to a version although [`Self::choose_side`] has chosen
    /// the other one, because that has no usable target.
    ///
    /// The new version never takes the place of the old one, which would exceed the exposure bound.
    /// The old one takes the place of the new one until `completed` may have been written.
    #[must_use]
    pub fn allows(&self, now: Millis, side: VersionSide) -> bool {
        match (side, self.state()) {
            (VersionSide::New, state) => state == RolloutState::Completed,
            (VersionSide::Old, RolloutState::Completed) => false,
            (VersionSide::Old, RolloutState::RolledBack) => true,
            (VersionSide::Old, RolloutState::InProgress) => {
                self.phase(now) != RolloutPhase::Completing
            }
        }
    }

    /// Records a request that is sent to a target of a version, also a retry of an earlier attempt.
    pub fn record_send(&mut self, _now: Millis, side: VersionSide) {
        let Some(participation) = &mut self.participation else {
            return;
        };
        participation.sent_all += 1;
        match side {
            VersionSide::Old => participation.old_in_flight += 1,
            VersionSide::New => {
                participation.sent_new += 1;
                participation.new_in_flight += 1;
            }
        }
    }

    /// Records the end of a request that was sent to a target; `duration_ms` is the time from the
    /// sending to the end of the response.
    pub fn record_end(
        &mut self,
        _now: Millis,
        route: &str,
        side: VersionSide,
        target: &str,
        outcome: ResponseOutcome,
        duration_ms: Millis,
    ) {
        let Some(participation) = &mut self.participation else {
            return;
        };
        let (in_flight, group) = match side {
            VersionSide::Old => (&mut participation.old_in_flight, 0),
            VersionSide::New => (&mut participation.new_in_flight, target_group(target)),
        };
        *in_flight = in_flight.saturating_sub(1);
        if outcome == ResponseOutcome::Ignored {
            return;
        }
        let key = (route.to_owned(), side, group);
        let evidence = participation.evidence.entry(key).or_default();
        evidence.responses += 1;
        if outcome == ResponseOutcome::Failure {
            evidence.failures += 1;
            evidence.unreported_weight += FAILURE_WEIGHT;
        } else {
            evidence.durations.record(duration_ms);
            evidence.unreported_weight += 1;
        }
    }

    /// Returns the report for the decider, or `None` if no order is in progress.
    pub fn report(&mut self, now: Millis) -> Option<EvidenceReport> {
        let phase = self.phase(now);
        let participation = self.participation.as_mut()?;
        if participation.state != RolloutState::InProgress {
            return None;
        }
        participation.report_sequence += 1;
        Some(EvidenceReport {
            service: participation.order.service.clone(),
            revision: participation.order.revision,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: participation.report_sequence,
            order_age_ms: participation.order_age(now),
            phase,
            sent_new: participation.sent_new,
            sent_all: participation.sent_all,
            old_in_flight: participation.old_in_flight,
            new_in_flight: participation.new_in_flight,
            routes: participation.take_evidence(),
        })
    }

    /// Requests that the next reports contain all evidence, because there is another decider.
    pub fn mark_unreported(&mut self) {
        if let Some(participation) = &mut self.participation {
            for evidence in participation.evidence.values_mut() {
                evidence.unreported_weight =
                    evidence.responses + FAILURE_WEIGHT * evidence.failures;
            }
        }
    }

    /// Applies a directive, and returns whether it was accepted: it is for the order in force and
    /// not older than the last one.
    pub fn apply(&mut self, now: Millis, directive: Directive) -> bool {
        let Some(participation) = &mut self.participation else {
            return false;
        };
        let is_older = participation.directive.as_ref().is_some_and(|(_, last)| {
            last.decider == directive.decider && last.sequence > directive.sequence
        });
        if is_older
            || directive.revision != participation.order.revision
            || directive.service != participation.order.service
        {
            return false;
        }
        let age_at_begin_ms = directive.order_age_ms - (now - participation.begun_at);
        participation.age_at_begin_ms = participation.age_at_begin_ms.max(age_at_begin_ms);
        participation.unconfirmed.clear();
        participation.directive = Some((now, directive));
        true
    }

    /// Returns the phase that the instance follows at this time.
    #[must_use]
    pub fn phase(&self, now: Millis) -> RolloutPhase {
        let directive = self.participation.as_ref().and_then(|it| it.directive(now));
        directive.map_or(RolloutPhase::Canary, |directive| directive.phase)
    }

    /// Returns the number of new targets to which requests are sent, see
    /// [`super::canary_targets`]; `None` if all of them are used.
    #[must_use]
    pub fn canary_targets(&self, now: Millis) -> Option<u32> {
        let participation = self.participation.as_ref()?;
        if participation.state != RolloutState::InProgress {
            return None;
        }
        match participation.directive(now) {
            Some(directive) if directive.phase == RolloutPhase::Canary => {
                Some(directive.canary_targets)
            }
            Some(_) => None,
            None => Some(0),
        }
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

impl Participation {
    fn order_age(&self, now: Millis) -> Millis {
        self.age_at_begin_ms + (now - self.begun_at)
    }

    /// Returns the directive that is valid at this time.
    ///
    /// One of [`RolloutPhase::Completing`] does not expire: the write of `completed` may arrive at
    /// the store later, and the old targets then stop with the requests in progress there.
    fn directive(&self, now: Millis) -> Option<&Directive> {
        let (arrived_at, directive) = self.directive.as_ref()?;
        let is_valid =
            directive.phase == RolloutPhase::Completing || now < *arrived_at + DIRECTIVE_VALID_MS;
        is_valid.then_some(directive)
    }

    fn new_share(&self, now: Millis, route: &str) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::RolledBack => return 0.0,
            RolloutState::InProgress => (),
        }
        let Some(directive) = self.directive(now) else {
            return 0.0;
        };
        match directive.phase {
            RolloutPhase::Shift | RolloutPhase::Completing => 1.0,
            RolloutPhase::Canary if self.order_age(now) >= self.order.duration_ms => 0.0,
            RolloutPhase::Canary => {
                let route_share = directive
                    .route_shares
                    .iter()
                    .find(|(name, _)| name == route);
                route_share.map_or(directive.new_share, |(_, share)| *share)
            }
        }
    }

    /// Returns the evidence for a report: what has changed, the most urgent first, and one piece that
    /// has not, in case that the decider has lost it.
    fn take_evidence(&mut self) -> Vec<RouteEvidence> {
        for key in std::mem::take(&mut self.unconfirmed) {
            if let Some(evidence) = self.evidence.get_mut(&key) {
                evidence.unreported_weight = evidence.unreported_weight.max(1);
            }
        }
        let mut changed: Vec<(u64, Reverse<u32>, EvidenceKey)> = self
            .evidence
            .iter()
            .filter(|(_, it)| it.unreported_weight > 0)
            .map(|(key, it)| (it.reported_in, Reverse(it.unreported_weight), key.clone()))
            .collect();
        // One half goes to what was reported least recently, because the responses of a rare route
        // never weigh the most.
        changed.sort();
        let oldest = changed.len().min(MAX_EVIDENCE_PER_REPORT / 2);
        changed[oldest..].sort_by_key(|(_, weight, _)| *weight);
        changed.truncate(MAX_EVIDENCE_PER_REPORT);
        let mut keys: Vec<EvidenceKey> = changed.into_iter().map(|(_, _, key)| key).collect();
        if keys.len() < MAX_EVIDENCE_PER_REPORT {
            let start = self.last_repeated.clone();
            let start = start.map_or(Bound::Unbounded, Bound::Excluded);
            let mut later = self.evidence.range((start, Bound::Unbounded));
            self.last_repeated = later.next().map(|(key, _)| key.clone());
            keys.extend(self.last_repeated.clone().filter(|key| !keys.contains(key)));
        }
        let mut routes = Vec::with_capacity(keys.len());
        for key in &keys {
            if let Some(evidence) = self.evidence.get_mut(key) {
                evidence.unreported_weight = 0;
                evidence.reported_in = self.report_sequence;
                routes.push(RouteEvidence {
                    route: key.0.clone(),
                    side: key.1,
                    target_group: key.2,
                    responses: evidence.responses,
                    failures: evidence.failures,
                    durations: evidence.durations.clone(),
                });
            }
        }
        self.unconfirmed = keys;
        routes
    }
}
