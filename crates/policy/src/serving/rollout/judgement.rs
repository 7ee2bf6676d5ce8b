//! What the evidence says about the new version.

use std::collections::BTreeMap;
use std::fmt;

use super::RolloutPhase;
use super::comparison::Comparison;
use super::comparison::RouteHistory;
use super::comparison::Tally;
use super::comparison::compare;
use super::comparison::compare_since;
use super::ledger::Ledger;
use arbutus_coord::Millis;

/// Log-likelihood ratio with which a version is bad: with equal versions it is exceeded by chance
/// once in some 10,000 comparisons, and there are some hundred independent ones in a roll-out.
const BAD_SCORE: f64 = 9.0;
/// Log-likelihood ratio with which the shift does not begin.
const SUSPECT_SCORE: f64 = 4.5;
/// Log-likelihood ratio with which the shift is interrupted, for a comparison over the same period.
const SHIFT_BAD_SCORE: f64 = 9.0;
/// Number of new responses of a route that are enough, and the fraction of its responses that is
/// required if it has fewer.
const ENOUGH_ROUTE_RESPONSES: u64 = 20;
const MIN_ROUTE_PERCENT: u64 = 25;
/// Routes with fewer responses are not judged alone.
const MIN_JUDGED_RESPONSES: u64 = 4;
/// Number of new responses of all routes without which nothing is decided.
const MIN_RESPONSES: u64 = 25;
/// Time for which the new targets must have had as many requests each as the old ones.
const MIN_EQUAL_LOAD_MS: Millis = Millis(1_000);
/// Fraction of the old responses that end within the time after which a response is overdue.
const OVERDUE_FRACTION: f64 = 0.99;
/// Margin for reports and directives that are in transit.
const OVERDUE_MARGIN_MS: Millis = Millis(750);
/// Interval at which the evidence is judged; a comparison of 20 routes takes about a millisecond.
const JUDGE_INTERVAL_MS: Millis = Millis(200);
/// Part of the requests to new targets that may be overdue, and the number that always may.
const MAX_OVERDUE_PERCENT: u64 = 5;
const MAX_OVERDUE_COUNT: u64 = 3;

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Verdict {
    /// There is too little evidence.
    Open,
    /// There is enough evidence and none against the version.
    Good,
    /// The evidence against the version is not sufficient to roll it back.
    Suspect,
    /// The version is bad.
    Bad,
}

/// Judges the evidence of all instances.
#[derive(Debug, Default)]
pub(super) struct Judgement {
    /// Time for which the new targets had as many requests each as the old ones.
    equal_load_ms: Millis,
    equal_load_since: Option<Millis>,
    /// Responses of the new version before the shift, by route.
    before_shift: BTreeMap<String, BTreeMap<u8, Tally>>,
    judged_at: Option<Millis>,
    verdict: Option<Verdict>,
    finding: Finding,
}

/// The comparison that led to the last verdict.
#[derive(Clone, Debug, Default)]
pub(super) struct Finding {
    /// The route, or `None` for all routes together.
    route: Option<String>,
    comparison: Comparison,
}

impl Judgement {
    /// Returns what the evidence says in a phase.
    pub(super) fn judge(&mut self, now: Millis, ledger: &Ledger, phase: RolloutPhase) -> Verdict {
        let is_recent = self
            .judged_at
            .is_some_and(|judged_at| now < judged_at + JUDGE_INTERVAL_MS);
        if let Some(verdict) = self.verdict
            && is_recent
        {
            return verdict;
        }
        let verdict = match phase {
            RolloutPhase::Canary => self.judge_canary(now, ledger),
            RolloutPhase::Shift | RolloutPhase::Completing => self.judge_shift(ledger),
        };
        self.judged_at = Some(now);
        self.verdict = Some(verdict);
        verdict
    }

    /// Notes that another phase begins.
    pub(super) fn record_phase(&mut self, now: Millis, phase: RolloutPhase, ledger: &mut Ledger) {
        self.verdict = None;
        self.equal_load_since = None;
        match phase {
            RolloutPhase::Canary => ledger.restart_comparison(now),
            RolloutPhase::Shift => {
                ledger.end_comparison();
                let routes = ledger.routes().iter();
                let totals = routes.map(|(name, it)| (name.clone(), it.new_by_group().clone()));
                self.before_shift = totals.collect();
            }
            RolloutPhase::Completing => (),
        }
    }

    /// Records whether the new targets get as many requests each as the old ones from now on.
    pub(super) fn record_load(&mut self, now: Millis, is_equal: bool) {
        if let Some(since) = self.equal_load_since {
            self.equal_load_ms = self.equal_load_ms + (now - since);
        }
        self.equal_load_since = is_equal.then_some(now);
    }

    /// Returns the comparison that led to the last verdict.
    pub(super) const fn finding(&self) -> &Finding {
        &self.finding
    }

    /// Returns the longest duration of a response of the old version.
    pub(super) fn longest_old_ms(ledger: &Ledger) -> Millis {
        let routes = ledger.routes().values();
        let longest = routes.filter_map(|history| history.old().duration_at(1.0));
        longest.max().unwrap_or(Millis::ZERO)
    }

    fn judge_canary(&mut self, now: Millis, ledger: &Ledger) -> Verdict {
        let mut worst = Finding {
            route: None,
            comparison: compare(ledger.routes().values()),
        };
        for (route, history) in ledger.routes() {
            if history.new_responses() < MIN_JUDGED_RESPONSES {
                continue;
            }
            let comparison = compare(std::iter::once(history));
            if comparison.score() > worst.comparison.score() {
                worst = Finding {
                    route: Some(route.clone()),
                    comparison,
                };
            }
        }
        let score = worst.comparison.score();
        self.finding = worst;
        if score >= BAD_SCORE {
            Verdict::Bad
        } else if score >= SUSPECT_SCORE || has_overdue(now, ledger) {
            Verdict::Suspect
        } else if self.equal_load_ms >= MIN_EQUAL_LOAD_MS && is_covered(ledger) {
            Verdict::Good
        } else {
            Verdict::Open
        }
    }

    fn judge_shift(&mut self, ledger: &Ledger) -> Verdict {
        let routes = ledger.routes().iter();
        let since_shift = routes.map(|(route, history)| (history, self.before_shift.get(route)));
        let comparison = compare_since(since_shift);
        let is_bad = comparison.score() >= SHIFT_BAD_SCORE;
        if is_bad {
            self.finding = Finding {
                route: None,
                comparison,
            };
        }
        if is_bad { Verdict::Bad } else { Verdict::Good }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let difference = self.comparison.all;
        match &self.route {
            Some(route) => write!(f, "route {route}")?,
            None => f.write_str("all routes")?,
        }
        write!(
            f,
            ": {} of {} responses bad, {:.1} % of those of the old version, score {:.1}",
            difference.new_bad,
            difference.new_responses,
            difference.old_bad_fraction * 100.0,
            self.comparison.score()
        )
    }
}

/// Returns whether the new version has had enough requests of every route.
fn is_covered(ledger: &Ledger) -> bool {
    let routes = ledger.routes().values();
    let new_responses: u64 = routes.map(RouteHistory::new_responses).sum();
    let mut routes = ledger.routes().values();
    new_responses >= MIN_RESPONSES
        && routes.all(|history| {
            let new_responses = history.new_responses();
            let responses = new_responses + history.old().responses;
            let required = (responses * MIN_ROUTE_PERCENT / 100).min(ENOUGH_ROUTE_RESPONSES);
            responses < MIN_JUDGED_RESPONSES || new_responses >= required
        })
}

/// Returns whether requests to the new version take much longer than those to the old one, so that
/// their responses are not among the evidence yet.
fn has_overdue(now: Millis, ledger: &Ledger) -> bool {
    let routes = ledger.routes().values();
    let usual = routes.filter_map(|history| history.old().duration_at(OVERDUE_FRACTION));
    let Some(usual_ms) = usual.max() else {
        return false;
    };
    let due_ms = usual_ms.times(2) + OVERDUE_MARGIN_MS;
    let totals = ledger.totals();
    let recent = totals.sent_new - ledger.totals_at(now - due_ms).sent_new.min(totals.sent_new);
    let overdue = ledger.new_in_flight().saturating_sub(recent);
    overdue > MAX_OVERDUE_COUNT.max(totals.sent_new * MAX_OVERDUE_PERCENT / 100)
}
