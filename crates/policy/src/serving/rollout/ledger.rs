//! What the decider knows from the reports of all instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::DIRECTIVE_VALID_MS;
use super::EvidenceReport;
use super::RolloutPhase;
use super::VersionSide;
use super::comparison::RouteHistory;
use super::comparison::Tally;
use arbutus_coord::Millis;

/// An instance whose last report is older may have sent requests that the decider does not know of.
const REPORT_EXPECTED_MS: Millis = Millis(500);
/// How long an instance that cannot reach the decider sends requests to the new version: the
/// validity of its last directive and the delay of messages.
const UNREPORTED_MS: Millis = Millis(1_250);
/// Interval and number of the totals that are kept to compute rates.
const SAMPLE_INTERVAL_MS: Millis = Millis(250);
const MAX_SAMPLES: usize = 400;
/// Period over which rates are computed.
const RATE_PERIOD_MS: Millis = Millis(2_000);

/// The last report of an instance, and what came before its present incarnation.
#[derive(Debug)]
struct Account {
    incarnation: u64,
    ended_incarnations: BTreeSet<u64>,
    sequence: u64,
    received_at: Millis,
    phase: RolloutPhase,
    sent_new: u64,
    sent_all: u64,
    old_in_flight: u64,
    new_in_flight: u64,
    evidence: BTreeMap<(String, VersionSide, u8), Tally>,
}

/// Totals of all instances at some time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    at: Millis,
    pub(super) sent_new: u64,
    pub(super) sent_all: u64,
}

/// The reports of all instances about one order.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    accounts: BTreeMap<String, Account>,
    routes: BTreeMap<String, RouteHistory>,
    /// Requests of incarnations that have ended.
    ended: Totals,
    samples: VecDeque<Totals>,
}

impl Ledger {
    /// Adds a report, and returns false if a later one of the instance is known.
    pub(super) fn merge(&mut self, now: Millis, report: &EvidenceReport) -> bool {
        let account = self
            .accounts
            .entry(report.instance.clone())
            .or_insert_with(|| Account::new(report.incarnation));
        if account.ended_incarnations.contains(&report.incarnation) {
            return false;
        }
        if account.incarnation == report.incarnation {
            if account.sequence >= report.sequence {
                return false;
            }
        } else {
            self.ended.sent_new += account.sent_new;
            self.ended.sent_all += account.sent_all;
            let mut ended_incarnations = std::mem::take(&mut account.ended_incarnations);
            ended_incarnations.insert(account.incarnation);
            *account = Account::new(report.incarnation);
            account.ended_incarnations = ended_incarnations;
        }
        account.sequence = report.sequence;
        account.received_at = now;
        account.phase = report.phase;
        account.sent_new = report.sent_new;
        account.sent_all = report.sent_all;
        account.old_in_flight = report.old_in_flight;
        account.new_in_flight = report.new_in_flight;
        for evidence in &report.routes {
            let tally = Tally {
                responses: u64::from(evidence.responses),
                failures: u64::from(evidence.failures),
                buckets: evidence.durations.buckets(),
            };
            let group = evidence.target_group;
            let key = (evidence.route.clone(), evidence.side, group);
            let known = account.evidence.entry(key).or_default();
            let added = tally.since(known);
            *known = tally;
            if added.responses > 0 {
                let history = self.routes.entry(evidence.route.clone()).or_default();
                match evidence.side {
                    VersionSide::Old => history.record_old(now, &added),
                    VersionSide::New => history.record_new(now, group, &added),
                }
            }
        }
        true
    }

    /// Keeps the present totals for later rates.
    pub(super) fn sample(&mut self, now: Millis) {
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| last.at + SAMPLE_INTERVAL_MS <= now);
        if is_due {
            let totals = Totals {
                at: now,
                ..self.totals()
            };
            self.samples.push_back(totals);
            if self.samples.len() > MAX_SAMPLES {
                self.samples.pop_front();
            }
        }
    }

    pub(super) fn totals(&self) -> Totals {
        let mut totals = self.ended;
        for account in self.accounts.values() {
            totals.sent_new += account.sent_new;
            totals.sent_all += account.sent_all;
        }
        totals
    }

    /// Returns the totals at a time, or the earliest known ones.
    pub(super) fn totals_at(&self, time: Millis) -> Totals {
        let sample = self.samples.iter().rev().find(|sample| sample.at <= time);
        let sample = sample.or_else(|| self.samples.front());
        sample.copied().unwrap_or_default()
    }

    /// Returns the number of requests to both versions per second.
    pub(super) fn rate_per_s(&self, now: Millis) -> f64 {
        let earlier = self.totals_at(now - RATE_PERIOD_MS);
        let elapsed_ms = (now - earlier.at).0.max(1);
        let sent = self.totals().sent_all.saturating_sub(earlier.sent_all);
        sent as f64 * 1_000.0 / elapsed_ms as f64
    }

    /// Returns an upper bound of the requests that instances may have sent to the new version
    /// without the decider having their reports.
    pub(super) fn unreported_new(&self, now: Millis, new_share: f64) -> f64 {
        let rate_per_s = self.rate_per_s(now) / self.accounts.len().max(1) as f64;
        let silent = self.accounts.values().filter_map(|account| {
            let silent_ms = now - account.received_at;
            (silent_ms > REPORT_EXPECTED_MS).then(|| silent_ms.min(UNREPORTED_MS))
        });
        let silent_ms: u64 = silent.map(|silent_ms| silent_ms.0).sum();
        rate_per_s * new_share * silent_ms as f64 / 1_000.0
    }

    pub(super) const fn routes(&self) -> &BTreeMap<String, RouteHistory> {
        &self.routes
    }

    /// See [`RouteHistory::end_comparison`].
    pub(super) fn end_comparison(&mut self) {
        for history in self.routes.values_mut() {
            history.end_comparison();
        }
    }

    /// See [`RouteHistory::restart_comparison`].
    pub(super) fn restart_comparison(&mut self, now: Millis) {
        for history in self.routes.values_mut() {
            history.restart_comparison(now);
        }
    }

    pub(super) fn new_in_flight(&self) -> u64 {
        self.accounts.values().map(|it| it.new_in_flight).sum()
    }

    /// Returns the latest phase that an instance follows.
    pub(super) fn latest_phase(&self) -> RolloutPhase {
        let phases = self.accounts.values().map(|account| account.phase);
        phases.max().unwrap_or(RolloutPhase::Canary)
    }

    /// Returns the part of the instances that have reported within the usual interval.
    pub(super) fn reporting_fraction(&self, now: Millis, instances: &BTreeSet<String>) -> f64 {
        let reporting = instances.iter().filter(|instance| {
            let account = self.accounts.get(*instance);
            account.is_some_and(|account| now <= account.received_at + REPORT_EXPECTED_MS)
        });
        reporting.count() as f64 / instances.len().max(1) as f64
    }

    /// Returns whether all instances have reported that they are in a phase or a later one and have
    /// no request in progress at old targets.
    ///
    /// An instance leaves [`RolloutPhase::Shift`] when it gets no directive, so such a report has to
    /// be recent; it does not leave [`RolloutPhase::Completing`] by itself.
    pub(super) fn all_are_clear(
        &self,
        now: Millis,
        instances: &BTreeSet<String>,
        phase: RolloutPhase,
    ) -> bool {
        let is_clear = |account: &Account| {
            account.phase >= phase
                && account.old_in_flight == 0
                && (phase == RolloutPhase::Completing
                    || now <= account.received_at + DIRECTIVE_VALID_MS)
        };
        !instances.is_empty()
            && instances
                .iter()
                .all(|instance| self.accounts.get(instance).is_some_and(is_clear))
    }
}

impl Account {
    const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ended_incarnations: BTreeSet::new(),
            sequence: 0,
            received_at: Millis::ZERO,
            phase: RolloutPhase::Canary,
            sent_new: 0,
            sent_all: 0,
            old_in_flight: 0,
            new_in_flight: 0,
            evidence: BTreeMap::new(),
        }
    }
}
