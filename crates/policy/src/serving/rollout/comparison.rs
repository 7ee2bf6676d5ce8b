//! Comparison of the new version with the old one over the same periods.
//!
//! The responses of each route are divided into periods that have responses of both versions. What
//! happens to the whole service within some periods then has the same weight for both versions, even
//! if the share of the new version differs between periods. The difference between the versions is
//! measured as a log-likelihood ratio, so that the same limits apply to few and to many responses.

use std::collections::BTreeMap;

use super::BUCKETS;
use arbutus_coord::Millis;

/// A period ends when it has this many responses of each version, but not before
/// [`MIN_PERIOD_MS`].
const MIN_PERIOD_RESPONSES: u64 = 8;
const MIN_PERIOD_MS: Millis = Millis(1_000);
/// Number of periods that are kept for each route; then neighbours are joined.
const MAX_PERIODS: usize = 24;
/// Fractions of the old responses that may take longer than a duration that counts as slow. Several
/// ones are used, because some routes have durations that differ much and others have not.
const SLOW_FRACTIONS: [f64; 4] = [0.25, 0.1, 0.03, 0.005];
/// Number of buckets by which a response of the new version has to be longer than a slow one of the
/// old version to count as slow, since the targets of one version differ by a factor of up to 1.4.
/// It does not apply to all periods together with fewer than [`MANY_RESPONSES`] of the new version,
/// by which chance differences are larger.
const SLOWER_BUCKETS: usize = 1;
const MANY_RESPONSES: u64 = 80;
/// Numbers of the last periods that are compared in addition to all periods, because a version that
/// becomes bad late has many good responses before.
const RECENT_PERIODS: [usize; 2] = [3, 10];
/// By how much the score of a comparison of recent periods is reduced: it is repeated with other
/// responses during the whole roll-out.
const RECENT_PENALTY: f64 = 1.5;
/// A version is worse only if this fraction more of its responses is bad, and of failures also
/// [`MIN_RATIO`] times as many.
const MIN_DIFFERENCE_FRACTION: f64 = 0.02;
const MIN_RATIO: f64 = 2.0;
/// Number of bad responses without which nothing is said about a version.
const MIN_BAD_COUNT: f64 = 4.0;
/// Fraction of the new responses below which the responses of a group of targets say nothing.
const MIN_GROUP_FRACTION: f64 = 0.05;

/// Log-likelihood ratio with which a group of targets differs from the others, so that its bad
/// responses are no property of the version.
const OUTLIER_SCORE: f64 = 4.0;
/// Number of responses of the old version that are assumed for a route in addition to its own, with
/// the fraction of failures of the whole service in the same periods. Without them, failures of a
/// route with 20 requests are no evidence, as the old version has not shown that it would not fail.
const PRIOR_RESPONSES: f64 = 30.0;

/// Responses of some targets in some period.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) responses: u64,
    pub(super) failures: u64,
    pub(super) buckets: [u64; BUCKETS],
}

/// Responses of both versions in the same period.
#[derive(Clone, Debug, Default)]
struct Period {
    old: Tally,
    /// By group of targets.
    new: BTreeMap<u8, Tally>,
}

/// The responses of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteHistory {
    closed: Vec<Period>,
    open: Period,
    opened_at: Millis,
    /// All responses of the old version.
    old: Tally,
    /// All responses of the new version by group of targets.
    new: BTreeMap<u8, Tally>,
}

/// How much worse the new version is than the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Difference {
    /// Log-likelihood ratio; 0 if the new version is not worse.
    pub(super) score: f64,
    pub(super) new_bad: f64,
    pub(super) new_responses: f64,
    pub(super) old_bad_fraction: f64,
}

impl Difference {
    /// Returns the number of bad responses beyond those that the old version would have had.
    pub(super) fn excess_bad(&self) -> f64 {
        self.new_bad - self.new_responses * self.old_bad_fraction
    }
}

impl Tally {
    pub(super) fn add(&mut self, other: &Self) {
        self.responses += other.responses;
        self.failures += other.failures;
        for (count, added) in self.buckets.iter_mut().zip(other.buckets) {
            *count += added;
        }
    }

    /// Returns what has been added since `earlier`.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        let mut buckets = self.buckets;
        for (count, known) in buckets.iter_mut().zip(earlier.buckets) {
            *count = count.saturating_sub(known);
        }
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            failures: self.failures.saturating_sub(earlier.failures),
            buckets,
        }
    }

    /// Returns the failures and the responses whose durations are in a bucket from `first_slow` on.
    fn bad(&self, first_slow: usize) -> u64 {
        self.failures + self.buckets.iter().skip(first_slow).sum::<u64>()
    }

    /// Returns the first bucket from which on at most a fraction of the successes is slow.
    fn first_slow(&self, slow_fraction: f64) -> usize {
        let successes: u64 = self.buckets.iter().sum();
        let mut slow = 0;
        let first = (0..BUCKETS).rev().find(|&bucket| {
            slow += self.buckets[bucket];
            slow as f64 > slow_fraction * successes as f64
        });
        first.map_or(0, |bucket| bucket + 1)
    }

    /// Returns the upper bound of the durations of a fraction of the successes.
    pub(super) fn duration_at(&self, fraction: f64) -> Option<Millis> {
        let successes: u64 = self.buckets.iter().sum();
        (successes > 0).then(|| {
            let bound_ms = 2.0_f64.powf(self.first_slow(1.0 - fraction) as f64 / 2.0);
            Millis(bound_ms.ceil() as u64)
        })
    }
}

impl Period {
    fn new_responses(&self) -> u64 {
        self.new.values().map(|tally| tally.responses).sum()
    }

    fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        for (&group, tally) in &other.new {
            self.new.entry(group).or_default().add(tally);
        }
    }
}

impl RouteHistory {
    pub(super) fn record_old(&mut self, now: Millis, added: &Tally) {
        self.close_period(now);
        self.open.old.add(added);
        self.old.add(added);
    }

    pub(super) fn record_new(&mut self, now: Millis, group: u8, added: &Tally) {
        self.close_period(now);
        self.open.new.entry(group).or_default().add(added);
        self.new.entry(group).or_default().add(added);
    }

    pub(super) const fn old(&self) -> &Tally {
        &self.old
    }

    pub(super) const fn new_by_group(&self) -> &BTreeMap<u8, Tally> {
        &self.new
    }

    pub(super) fn new_responses(&self) -> u64 {
        self.new.values().map(|tally| tally.responses).sum()
    }

    /// Joins the open period with the one before, because the old version gets no more requests.
    pub(super) fn end_comparison(&mut self) {
        let open = std::mem::take(&mut self.open);
        match self.closed.last_mut() {
            Some(last) => last.add(&open),
            None => self.closed.push(open),
        }
    }

    /// Begins a period without the responses since the last one, which the versions did not get
    /// under the same conditions.
    pub(super) fn restart_comparison(&mut self, now: Millis) {
        self.open = Period::default();
        self.opened_at = now;
    }

    fn close_period(&mut self, now: Millis) {
        let is_complete = now >= self.opened_at + MIN_PERIOD_MS
            && self.open.old.responses >= MIN_PERIOD_RESPONSES
            && self.open.new_responses() >= MIN_PERIOD_RESPONSES;
        if !is_complete {
            return;
        }
        self.opened_at = now;
        self.closed.push(std::mem::take(&mut self.open));
        if self.closed.len() >= MAX_PERIODS {
            let recent = self.closed.split_off(MAX_PERIODS / 2);
            let joined = self.closed.chunks(2).map(|pair| {
                let mut period = pair[0].clone();
                pair.iter().skip(1).for_each(|other| period.add(other));
                period
            });
            self.closed = joined.chain(recent).collect();
        }
    }

    /// Returns the periods, of which the last one is joined with the open one if that has responses
    /// of one version only.
    fn periods(&self) -> Vec<Period> {
        let mut periods = self.closed.clone();
        let is_comparable = self.open.old.responses > 0 && self.open.new_responses() > 0;
        match periods.last_mut() {
            Some(last) if !is_comparable => last.add(&self.open),
            _ => periods.push(self.open.clone()),
        }
        periods
    }
}

/// Compares the versions over the responses of some routes together, and returns the kind of bad
/// response by which the new version differs most.
///
/// `slow_group` is a group of new targets that is left out. `is_share_constant` tells whether the
/// share of the new version hardly changes; if it does, the responses that arrive after a time with
/// a large share are those that take long. `failure_prior` is the fraction of
/// failures that the old version is assumed to have in addition.
pub(super) fn compare<'a>(
    routes: impl Iterator<Item = &'a RouteHistory>,
    slow_group: Option<u8>,
    is_share_constant: bool,
    failure_prior: Option<f64>,
) -> Difference {
    let routes: Vec<(&Tally, Vec<Period>)> = routes
        .map(|history| (history.old(), history.periods()))
        .collect();
    compare_periods(&routes, slow_group, is_share_constant, failure_prior)
}

/// Compares the responses of the new version since some totals with all responses of the old one.
pub(super) fn compare_since<'a>(
    routes: impl Iterator<Item = (&'a RouteHistory, Option<&'a BTreeMap<u8, Tally>>)>,
    slow_group: Option<u8>,
) -> Difference {
    let routes: Vec<(&Tally, Vec<Period>)> = routes
        .map(|(history, totals)| {
            let nothing = Tally::default();
            let new = history.new.iter().map(|(group, tally)| {
                let earlier = totals.and_then(|totals| totals.get(group));
                (*group, tally.since(earlier.unwrap_or(&nothing)))
            });
            let period = Period {
                old: history.old.clone(),
                new: new.collect(),
            };
            (history.old(), vec![period])
        })
        .collect();
    compare_periods(&routes, slow_group, false, None)
}

/// Returns the group of new targets that is much worse than the others over some routes, if any.
pub(super) fn slow_group<'a>(routes: impl Iterator<Item = &'a RouteHistory>) -> Option<u8> {
    let routes: Vec<(&Tally, Vec<Period>)> = routes
        .map(|history| (history.old(), history.periods()))
        .collect();
    let kinds = std::iter::once(None).chain(SLOW_FRACTIONS.map(Some));
    // The first kind may show a chance difference of another group.
    let outliers = kinds.filter_map(|slow_fraction| {
        let periods: Vec<(usize, &Period)> = routes
            .iter()
            .flat_map(|(old, periods)| {
                let first_slow = slow_fraction.map_or(BUCKETS, |fraction| old.first_slow(fraction));
                periods.iter().map(move |period| (first_slow, period))
            })
            .collect();
        outlier(&periods, slower_buckets(&periods))
    });
    let worst = outliers.max_by(|a, b| a.1.total_cmp(&b.1));
    worst.map(|(group, _)| group)
}

/// Returns the fraction of failures that the new version would have over some routes if it failed as
/// often as the old one.
pub(super) fn expected_failures<'a>(routes: impl Iterator<Item = &'a RouteHistory>) -> f64 {
    let periods: Vec<Period> = routes.flat_map(RouteHistory::periods).collect();
    let periods: Vec<(usize, &Period)> = periods.iter().map(|period| (BUCKETS, period)).collect();
    difference(&periods, 0, None, None).old_bad_fraction
}

fn compare_periods(
    routes: &[(&Tally, Vec<Period>)],
    slow_group: Option<u8>,
    is_share_constant: bool,
    failure_prior: Option<f64>,
) -> Difference {
    let mut worst = Difference::default();
    for slow_fraction in std::iter::once(None).chain(SLOW_FRACTIONS.map(Some)) {
        for recent in std::iter::once(None).chain(RECENT_PERIODS.map(Some)) {
            if recent.is_some() && slow_fraction.is_some() && !is_share_constant {
                continue;
            }
            let periods: Vec<(usize, &Period)> = routes
                .iter()
                .flat_map(|(old, periods)| {
                    let first_slow =
                        slow_fraction.map_or(BUCKETS, |fraction| old.first_slow(fraction));
                    let skipped = recent.map_or(0, |recent| periods.len().saturating_sub(recent));
                    let periods = periods.iter().skip(skipped);
                    periods.map(move |period| (first_slow, period))
                })
                .collect();
            let prior = failure_prior.filter(|_| slow_fraction.is_none());
            let slower = if recent.is_some() {
                SLOWER_BUCKETS
            } else {
                slower_buckets(&periods)
            };
            let group = slow_group.or_else(|| outlier(&periods, slower).map(|(group, _)| group));
            let mut difference = difference(&periods, slower, group, prior);
            if recent.is_some() {
                difference.score -= RECENT_PENALTY;
            }
            if difference.score > worst.score {
                worst = difference;
            }
        }
    }
    worst
}

/// Returns the group of new targets that has many more bad responses than the others, if any, and
/// the log-likelihood ratio that it differs from them.
fn outlier(periods: &[(usize, &Period)], slower: usize) -> Option<(u8, f64)> {
    let mut groups: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
    for (first_slow, period) in periods {
        for (&group, tally) in &period.new {
            let (responses, bad) = groups.entry(group).or_default();
            *responses += tally.responses as f64;
            *bad += tally.bad(*first_slow + slower) as f64;
        }
    }
    let sums = groups.values();
    let (all_responses, all_bad) = sums.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let scores = groups.iter().filter_map(|(&group, &(responses, bad))| {
        let others = all_responses - responses;
        let other_fraction = (all_bad - bad) / others;
        let fraction = bad / responses;
        let is_judged = others >= MIN_GROUP_FRACTION * all_responses
            && others > 0.0
            && responses > 0.0
            && fraction > other_fraction;
        is_judged.then(|| {
            let joint = all_bad / all_responses;
            let score = likelihood_ratio((responses, fraction), (others, other_fraction), joint);
            (group, score)
        })
    });
    let worst = scores.max_by(|a, b| a.1.total_cmp(&b.1));
    worst.filter(|(_, score)| *score >= OUTLIER_SCORE)
}

/// Compares the bad responses of the new version with those that it would have if in each period the
/// same fraction of its responses were bad as of those of the old version.
fn difference(
    periods: &[(usize, &Period)],
    slower: usize,
    excluded_group: Option<u8>,
    prior: Option<f64>,
) -> Difference {
    let (mut new_bad, mut new_responses) = (0.0, 0.0);
    let (mut expected_bad, mut spread) = (0.0, 0.0);
    for (first_slow, period) in periods {
        let groups = period.new.iter();
        let (mut period_responses, mut period_bad) = (0, 0);
        for (_, tally) in groups.filter(|(group, _)| Some(**group) != excluded_group) {
            period_responses += tally.responses;
            period_bad += tally.bad(*first_slow + slower);
        }
        if period_responses == 0 || period.old.responses == 0 {
            continue;
        }
        let responses = period_responses as f64;
        let old_responses = period.old.responses as f64;
        new_bad += period_bad as f64;
        new_responses += responses;
        expected_bad += responses * period.old.bad(*first_slow) as f64 / old_responses;
        spread += responses * responses / old_responses;
    }
    if new_responses == 0.0 {
        return Difference::default();
    }
    let new_fraction = new_bad / new_responses;
    let mut old_bad_fraction = expected_bad / new_responses;
    // The number of old responses that would have the same variance without periods.
    let mut old_responses = new_responses * new_responses / spread;
    if let Some(prior) = prior {
        let old_bad = old_bad_fraction * old_responses + prior * PRIOR_RESPONSES;
        old_responses += PRIOR_RESPONSES;
        old_bad_fraction = old_bad / old_responses;
    }
    let has_slow = periods.iter().any(|(first_slow, _)| *first_slow < BUCKETS);
    let is_worse = new_bad >= MIN_BAD_COUNT
        && new_fraction >= old_bad_fraction + MIN_DIFFERENCE_FRACTION
        && (has_slow || new_fraction >= old_bad_fraction * MIN_RATIO);
    let joint = (new_bad + old_responses * old_bad_fraction) / (new_responses + old_responses);
    let score = if is_worse {
        let new = (new_responses, new_fraction);
        likelihood_ratio(new, (old_responses, old_bad_fraction), joint)
    } else {
        0.0
    };
    Difference {
        score,
        new_bad,
        new_responses,
        old_bad_fraction,
    }
}

/// Returns by how many buckets a response has to be longer than a slow one of the old version.
fn slower_buckets(periods: &[(usize, &Period)]) -> usize {
    let responses: u64 = periods
        .iter()
        .map(|(_, period)| period.new_responses())
        .sum();
    if responses >= MANY_RESPONSES {
        SLOWER_BUCKETS
    } else {
        0
    }
}

/// Returns the log-likelihood ratio that two numbers of responses do not have the joint fraction of
/// bad ones but their own.
fn likelihood_ratio(one: (f64, f64), other: (f64, f64), joint: f64) -> f64 {
    one.0 * divergence(one.1, joint) + other.0 * divergence(other.1, joint)
}

/// Returns the Kullback-Leibler divergence between two probabilities of a bad response.
fn divergence(observed: f64, expected: f64) -> f64 {
    let part = |observed: f64, expected: f64| {
        if observed <= 0.0 {
            0.0
        } else {
            observed * (observed / expected).ln()
        }
    };
    part(observed, expected) + part(1.0 - observed, 1.0 - expected)
}
