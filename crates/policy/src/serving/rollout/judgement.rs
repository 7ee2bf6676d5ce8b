//! What the evidence says about the new version.

use std::collections::BTreeMap;
use std::fmt;

use super::RolloutPhase;
use super::comparison::Difference;
use super::comparison::RouteHistory;
use super::comparison::Tally;
use super::comparison::compare;
use super::comparison::compare_since;
use super::comparison::expected_failures;
use super::comparison::slow_group;
use super::ledger::Ledger;
use arbutus_coord::Millis;

/// Log-likelihood ratio with which a version is bad: with equal versions it is exceeded by chance
/// once in some 10,000 comparisons, and there are some hundred independent ones in a roll-out.
const BAD_SCORE: f64 = 9.0;
/// The same for a version with this many more bad responses than expected, because it must get no
/// requests soon after its 50th bad response.
const BAD_SCORE_OF_MANY: f64 = 6.0;
const MANY_EXCESS_BAD: f64 = 20.0;
/// Log-likelihood ratio with which the shift does not begin.
const SUSPECT_SCORE: f64 = 4.0;
/// Log-likelihood ratio with which the shift is interrupted, for a comparison over the same period.
const SHIFT_BAD_SCORE: f64 = 8.0;
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
    /// Whether the share is raised for short times only.
    has_pulses: bool,
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
    difference: Difference,
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

    /// Records whether the new targets get as many requests each as the old ones from now on, and
    /// whether this holds for short times only.
    pub(super) fn record_load(&mut self, now: Millis, is_equal: bool, has_pulses: bool) {
        self.has_pulses |= has_pulses;
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
        let slow_group = slow_group(ledger.routes().values());
        let is_constant = !self.has_pulses;
        let prior = expected_failures(ledger.routes().values());
        let worst = worst_route(
            compare(ledger.routes().values(), slow_group, is_constant, None),
            ledger.routes().iter().filter_map(|(route, history)| {
                let is_judged = history.new_responses() >= MIN_JUDGED_RESPONSES;
                is_judged.then(|| {
                    (
                        route,
                        compare(
                            std::iter::once(history),
                            slow_group,
                            is_constant,
                            Some(prior),
                        ),
                    )
                })
            }),
        );
        let score = worst.difference.score;
        let excess_bad = worst.difference.excess_bad();
        self.finding = worst;
        let is_bad =
            score >= BAD_SCORE || (score >= BAD_SCORE_OF_MANY && excess_bad >= MANY_EXCESS_BAD);
        if is_bad {
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
        let slow_group = slow_group(ledger.routes().values());
        let routes = || {
            let routes = ledger.routes().iter();
            routes.map(|(route, history)| (route, history, self.before_shift.get(route)))
        };
        // A route with few requests is judged by all responses since the order.
        let route_differences = routes().map(|(route, history, totals)| {
            let since_shift = compare_since(std::iter::once((history, totals)), slow_group);
            let since_order = compare_since(std::iter::once((history, None)), slow_group);
            if since_shift.score > since_order.score {
                (route, since_shift)
            } else {
                (route, since_order)
            }
        });
        let all_routes = routes().map(|(_, history, totals)| (history, totals));
        let worst = worst_route(compare_since(all_routes, slow_group), route_differences);
        if worst.difference.score < SHIFT_BAD_SCORE {
            return Verdict::Good;
        }
        self.finding = worst;
        Verdict::Bad
    }
}

/// Returns the finding with the highest score.
fn worst_route<'a>(
    all_routes: Difference,
    routes: impl Iterator<Item = (&'a String, Difference)>,
) -> Finding {
    let route = routes.max_by(|a, b| a.1.score.total_cmp(&b.1.score));
    match route {
        Some((route, difference)) if difference.score > all_routes.score => Finding {
            route: Some(route.clone()),
            difference,
        },
        _ => Finding {
            route: None,
            difference: all_routes,
        },
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let difference = self.difference;
        match &self.route {
            Some(route) => write!(f, "route {route}")?,
            None => f.write_str("all routes")?,
        }
        write!(
            f,
            ": {} of {} responses bad, of the old version {:.1} %, score {:.1}",
            difference.new_bad,
            difference.new_responses,
            difference.old_bad_fraction * 100.0,
            difference.score
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
