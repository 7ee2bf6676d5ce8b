//! Share of the load that a target gets after it has started or returned.
//!
//! The aggregator of a failure domain gives each target a weight: the fraction of a normal share
//! that the senders of the domain together give it. Every sender takes the target as a candidate
//! with this probability (see [`is_candidate`]), so that the senders need no coordination.
//!
//! While a target ramps, each response in time adds to its weight, which at most doubles in the time
//! after which the effect of a rise can be seen. Late first events, refusals, failures and a queue
//! halve or quarter it. After flaps it rises more slowly. While nothing is sent to a target, its
//! weight rises by itself up to [`MAX_IDLE_WEIGHT`].
//!
//! A target with a normal share loses it only if many of its recent outcomes are bad and those of
//! the other targets are not, so that a disturbance of half a second and an overload of the whole
//! service change no weights.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// Least weight; a target below a normal share still gets requests that show whether it has
/// recovered.
pub const MIN_WEIGHT: f64 = 0.05;
/// Weight up to which a target rises without responses. The remaining step to 1 needs a response in
/// time, so that a burst after a quiet time does not reach an untested target with full force.
pub const MAX_IDLE_WEIGHT: f64 = 0.5;
/// Weight of a target that has just started or returned.
const START_WEIGHT: f64 = 0.1;
/// Weight of a target that had a normal share and lost it.
const FALLEN_WEIGHT: f64 = 0.5;
/// Factor by which a weight falls; the second figure is for several bad outcomes without a good one.
const FALL_FACTOR: f64 = 0.5;
const DEEP_FALL_FACTOR: f64 = 0.25;
/// Number of bad outcomes without a good one for a deep fall.
const MIN_DEEP_FALL_BAD: f64 = 2.0;
/// Rise of a weight with each response in time, and what is added to it as a fraction of the weight.
/// The second part is for services with about one request per second to each target, where a rise
/// by 0.1 alone took 9 s.
const RISE_PER_RESPONSE: f64 = 0.1;
const RISE_FRACTION: f64 = 0.2;
/// Factor by which a weight rises at most in a round.
const MAX_RISE_FACTOR: f64 = 2.0;
/// Length of a round: reports are up to 400 ms old, and the responses take some time.
const ROUND_MS: Millis = Millis(700);
/// Time after a fall in which bad outcomes are not counted again, since they belong to requests of
/// the weight before the fall.
const FALL_INTERVAL_MS: Millis = Millis(800);
/// Time without requests after which a weight doubles by itself. It doubles with each fall since
/// the last response in time, up to [`MAX_PENALTY`] times.
const IDLE_INTERVAL_MS: Millis = Millis(1_000);
const MAX_PENALTY: u32 = 2;
/// A start within this time after another one is a flap.
const FLAP_WINDOW_MS: Millis = Millis(60_000);
/// Number of consecutive flaps that count; each doubles the length of a round, up to 5.6 s.
const MAX_FLAPS: u32 = 3;
/// Time in which the weight of an outcome halves. At a constant rate a disturbance of 600 ms makes
/// up 13 % of the weight of all outcomes, three in a row 34 %.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Fraction of bad outcomes above which a target loses a normal share, and their least weight.
const MAX_STEADY_BAD_FRACTION: f64 = 0.45;
const MIN_STEADY_BAD_WEIGHT: f64 = 2.5;
/// Fraction of bad outcomes above which the weight of a ramping target falls.
const MAX_RAMPING_BAD_FRACTION: f64 = 0.34;
/// Margin by which the fraction of bad or tight outcomes must exceed that of the other targets.
const BASELINE_MARGIN: f64 = 0.3;
/// Fraction of the responses in time that may be tight while a weight rises. A queue grows for about
/// a second before the first response is late, and the weight would rise two or three times more.
const MAX_TIGHT_FRACTION: f64 = 0.5;
/// Requests that wait for a slot, as a fraction of the slots, above which a weight falls.
const MAX_WAITING_FRACTION: f64 = 0.5;

/// Requests of one target since the last report. Counts of different senders are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests that were sent.
    pub sent: u32,
    /// First events within the latency objective.
    pub in_time: u32,
    /// Those of `in_time` that took more than half of the latency objective.
    pub tight: u32,
    /// Requests whose latency objective has passed without a first event, each counted once, at
    /// that moment.
    pub late: u32,
    /// Requests that the target refused and did not execute.
    pub refused: u32,
    /// Requests whose connection or response failed.
    pub failed: u32,
}

impl OutcomeCounts {
    /// Returns the counts of one request with a response, or with a first event, after `took_ms`.
    #[must_use]
    pub fn of_response(took_ms: Millis, objective_ms: Millis) -> Self {
        let is_in_time = took_ms <= objective_ms;
        let is_tight = is_in_time && took_ms.0.saturating_mul(2) > objective_ms.0;
        Self {
            sent: 1,
            in_time: is_in_time.into(),
            tight: is_tight.into(),
            late: (!is_in_time).into(),
            ..Self::default()
        }
    }

    /// Returns the counts of one request that the target refused.
    #[must_use]
    pub fn one_refused() -> Self {
        Self {
            sent: 1,
            refused: 1,
            ..Self::default()
        }
    }

    /// Returns the counts of one request that failed.
    #[must_use]
    pub fn one_failed() -> Self {
        Self {
            sent: 1,
            failed: 1,
            ..Self::default()
        }
    }

    /// Adds the counts of another sender.
    pub fn add(&mut self, other: Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.in_time = self.in_time.saturating_add(other.in_time);
        self.tight = self.tight.saturating_add(other.tight);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.failed = self.failed.saturating_add(other.failed);
    }

    fn good(self) -> f64 {
        f64::from(self.in_time)
    }

    fn bad(self) -> f64 {
        f64::from(self.late) + f64::from(self.refused) + f64::from(self.failed)
    }

    /// Returns the most frequent kind of bad outcome.
    fn cause(self) -> RampCause {
        if self.late >= self.refused.max(self.failed) {
            RampCause::Late
        } else if self.refused >= self.failed {
            RampCause::Refused
        } else {
            RampCause::Failed
        }
    }
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
    /// Another aggregator had given the target less than a normal share.
    Adopted,
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

/// Outcomes whose weight halves every [`HALF_LIFE_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct RecentOutcomes {
    at: Millis,
    good: f64,
    tight: f64,
    bad: f64,
}

impl RecentOutcomes {
    fn at(self, now: Millis) -> Self {
        let factor = (-((now - self.at).0 as f64) / HALF_LIFE_MS).exp2();
        Self {
            at: now.max(self.at),
            good: self.good * factor,
            tight: self.tight * factor,
            bad: self.bad * factor,
        }
    }

    fn record(&mut self, now: Millis, outcomes: OutcomeCounts) {
        *self = self.at(now);
        self.good += outcomes.good();
        self.tight += f64::from(outcomes.tight);
        self.bad += outcomes.bad();
    }

    /// Returns what is left without one of the summands, which may be older.
    fn without(self, summand: Self) -> Self {
        let summand = summand.at(self.at);
        Self {
            at: self.at,
            good: (self.good - summand.good).max(0.0),
            tight: (self.tight - summand.tight).max(0.0),
            bad: (self.bad - summand.bad).max(0.0),
        }
    }

    fn bad_fraction(&self) -> f64 {
        fraction(self.bad, self.good + self.bad)
    }

    fn tight_fraction(&self) -> f64 {
        fraction(self.tight, self.good)
    }
}

fn fraction(part: f64, all: f64) -> f64 {
    if all > 0.0 { part / all } else { 0.0 }
}

/// A target with less than a normal share.
#[derive(Debug)]
struct Ramping {
    weight: f64,
    cause: RampCause,
    fell_at: Option<Millis>,
    /// When the current round began, and the weight then.
    round_at: Millis,
    round_weight: f64,
    /// When a request was sent or ended last.
    active_at: Millis,
    flaps: u32,
    /// Falls since the last response in time, or since the start, where flaps count as falls.
    penalty: u32,
    /// Outcomes in the current round.
    good: f64,
    tight: f64,
    bad: f64,
}

impl Ramping {
    fn new(now: Millis, weight: f64, cause: RampCause, flaps: u32) -> Self {
        Self {
            weight,
            cause,
            fell_at: None,
            round_at: now,
            round_weight: weight,
            active_at: now,
            flaps,
            penalty: flaps,
            good: 0.0,
            tight: 0.0,
            bad: 0.0,
        }
    }

    /// Returns the weight with what it rose by itself since the last request.
    fn weight_at(&self, now: Millis) -> f64 {
        if self.weight >= MAX_IDLE_WEIGHT {
            return self.weight;
        }
        let interval_ms = IDLE_INTERVAL_MS.0 << self.penalty;
        let doublings = ((now - self.active_at).0 / interval_ms).min(10) as i32;
        (self.weight * 2f64.powi(doublings)).min(MAX_IDLE_WEIGHT)
    }

    fn may_fall(&self, now: Millis) -> bool {
        self.fell_at.is_none_or(|at| now >= at + FALL_INTERVAL_MS)
    }

    fn fall(&mut self, now: Millis, cause: RampCause) {
        self.cause = cause;
        self.fell_at = Some(now);
        self.penalty = (self.penalty + 1).min(MAX_PENALTY);
        let factor = if self.good == 0.0 && self.bad >= MIN_DEEP_FALL_BAD {
            DEEP_FALL_FACTOR
        } else {
            FALL_FACTOR
        };
        self.weight = (self.weight * factor).max(MIN_WEIGHT);
        self.begin_round(now);
    }

    /// Records outcomes; `others` are those of the other targets.
    fn record(&mut self, now: Millis, outcomes: OutcomeCounts, others: &RecentOutcomes) {
        let weight = self.weight_at(now);
        if weight > self.weight {
            self.weight = weight;
            self.begin_round(now);
        }
        self.active_at = now;
        if self.may_fall(now) {
            self.bad += outcomes.bad();
        }
        self.good += outcomes.good();
        self.tight += f64::from(outcomes.tight);
        if outcomes.in_time > 0 {
            self.penalty = 0;
        }
        let max_bad = MAX_RAMPING_BAD_FRACTION.max(others.bad_fraction() + BASELINE_MARGIN);
        if self.bad > max_bad * (self.good + self.bad) {
            self.fall(now, outcomes.cause());
            return;
        }
        let max_tight = MAX_TIGHT_FRACTION.max(others.tight_fraction() + BASELINE_MARGIN);
        let is_tight = self.tight > max_tight * self.good;
        if outcomes.in_time > 0 && self.may_fall(now) && !is_tight {
            let risen =
                self.weight + (RISE_PER_RESPONSE + RISE_FRACTION * self.weight) * outcomes.good();
            let max_weight = (self.round_weight * MAX_RISE_FACTOR).min(1.0);
            self.weight = risen.min(max_weight);
        }
        if now >= self.round_at + ROUND_MS.times(1 << self.flaps) {
            self.begin_round(now);
        }
    }

    fn begin_round(&mut self, now: Millis) {
        self.round_at = now;
        self.round_weight = self.weight;
        (self.good, self.tight, self.bad) = (0.0, 0.0, 0.0);
    }
}

/// What an aggregator knows about a target.
#[derive(Debug, Default)]
struct TargetLoad {
    recent: RecentOutcomes,
    /// `None` while the target gets a normal share.
    ramping: Option<Ramping>,
}

/// The starts of a target, which outlive its entry.
#[derive(Clone, Copy, Debug)]
struct Starts {
    last_at: Millis,
    flaps: u32,
}

/// The ramps of the targets of one service, held by the aggregator of a failure domain.
///
/// A target without a ramp has the weight 1, so that a new aggregator does not make all targets
/// start again.
#[derive(Debug, Default)]
pub struct TargetRamp {
    targets: BTreeMap<String, TargetLoad>,
    /// Sum of the recent outcomes of all targets.
    total: RecentOutcomes,
    starts: BTreeMap<String, Starts>,
    changes: Vec<RampChange>,
    falls: Vec<RampChange>,
}

impl TargetRamp {
    /// Starts a ramp: a target has appeared, was restarted, or is back after an evacuation, a pause
    /// or a flap.
    pub fn record_start(&mut self, now: Millis, target: &str) {
        self.starts
            .retain(|_, starts| now < starts.last_at + FLAP_WINDOW_MS);
        let flaps = match self.starts.get(target) {
            Some(starts) => (starts.flaps + 1).min(MAX_FLAPS),
            None => 0,
        };
        let starts = Starts {
            last_at: now,
            flaps,
        };
        self.starts.insert(target.to_owned(), starts);
        let weight = if flaps == 0 { START_WEIGHT } else { MIN_WEIGHT };
        let load = TargetLoad {
            recent: RecentOutcomes::default(),
            ramping: Some(Ramping::new(now, weight, RampCause::Started, flaps)),
        };
        self.remove(target);
        self.targets.insert(target.to_owned(), load);
        self.record_change(target, weight, Some(RampCause::Started));
    }

    /// Records how requests at a target ended.
    pub fn record_outcomes(&mut self, now: Millis, target: &str, outcomes: OutcomeCounts) {
        let load = self.targets.entry(target.to_owned()).or_default();
        load.recent.record(now, outcomes);
        self.total.record(now, outcomes);
        let others = self.total.without(load.recent);
        if let Some(ramping) = &mut load.ramping {
            let previous_weight = ramping.weight_at(now);
            ramping.record(now, outcomes, &others);
            let (weight, cause) = (ramping.weight, ramping.cause);
            let has_fallen = weight < previous_weight;
            if weight >= 1.0 {
                load.ramping = None;
                self.record_change(target, 1.0, None);
            } else if has_fallen {
                self.record_fall(target, weight, cause);
            }
            return;
        }
        let max_bad = MAX_STEADY_BAD_FRACTION.max(others.bad_fraction() + BASELINE_MARGIN);
        let is_bad =
            load.recent.bad >= MIN_STEADY_BAD_WEIGHT && load.recent.bad_fraction() > max_bad;
        if outcomes.bad() > 0.0 && is_bad {
            let cause = outcomes.cause();
            let mut ramping = Ramping::new(now, FALLEN_WEIGHT, cause, 0);
            ramping.fell_at = Some(now);
            load.ramping = Some(ramping);
            self.record_change(target, FALLEN_WEIGHT, Some(cause));
        }
    }

    /// Records the number of requests that wait at a target for a slot.
    ///
    /// Only a ramping target falls by it: the queues of the others are what the choice of a target
    /// compares.
    pub fn record_queue(&mut self, now: Millis, target: &str, waiting: u32, slots: u32) {
        let Some(load) = self.targets.get_mut(target) else {
            return;
        };
        if let Some(ramping) = &mut load.ramping
            && f64::from(waiting) > f64::from(slots) * MAX_WAITING_FRACTION
            && ramping.may_fall(now)
        {
            ramping.weight = ramping.weight_at(now);
            ramping.active_at = now;
            ramping.fall(now, RampCause::Queue);
            let weight = ramping.weight;
            self.record_fall(target, weight, RampCause::Queue);
        }
    }

    /// Takes over the weight that another aggregator gave a target, unless this one knows it.
    pub fn adopt(&mut self, now: Millis, target: &str, weight: f64) {
        let is_valid = (MIN_WEIGHT..1.0).contains(&weight);
        if is_valid && !self.targets.contains_key(target) {
            let load = TargetLoad {
                recent: RecentOutcomes::default(),
                ramping: Some(Ramping::new(now, weight, RampCause::Adopted, 0)),
            };
            self.targets.insert(target.to_owned(), load);
        }
    }

    /// Returns whether outcomes or a start of a target are known.
    #[must_use]
    pub fn is_known(&self, target: &str) -> bool {
        self.targets.contains_key(target)
    }

    /// Returns the weight of a target, from [`MIN_WEIGHT`] to 1.
    #[must_use]
    pub fn weight(&self, now: Millis, target: &str) -> f64 {
        self.ramping(target)
            .map_or(1.0, |ramping| ramping.weight_at(now))
    }

    /// Returns what the weight of a target says about it.
    #[must_use]
    pub fn state(&self, now: Millis, target: &str) -> RampState {
        state_of(self.weight(now, target))
    }

    /// Returns why the weight of a target fell last, or `None` if it is 1.
    #[must_use]
    pub fn cause(&self, target: &str) -> Option<RampCause> {
        self.ramping(target).map(|ramping| ramping.cause)
    }

    /// Returns the falls of ramping targets since the last call, without those that began a ramp.
    #[must_use]
    pub fn take_falls(&mut self) -> Vec<RampChange> {
        std::mem::take(&mut self.falls)
    }

    /// Returns the starts, losses and regains of a normal share since the last call.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<RampChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the ramp of a target that is gone. Its last start is kept for a time, so that a target
    /// that comes and goes is noticed.
    pub fn remove(&mut self, target: &str) {
        if let Some(load) = self.targets.remove(target) {
            self.total = self.total.without(load.recent);
        }
    }

    fn ramping(&self, target: &str) -> Option<&Ramping> {
        self.targets.get(target)?.ramping.as_ref()
    }

    fn record_fall(&mut self, target: &str, weight: f64, cause: RampCause) {
        self.falls.push(RampChange {
            target: target.to_owned(),
            state: state_of(weight),
            weight,
            cause: Some(cause),
        });
    }

    fn record_change(&mut self, target: &str, weight: f64, cause: Option<RampCause>) {
        self.changes.push(RampChange {
            target: target.to_owned(),
            state: state_of(weight),
            weight,
            cause,
        });
    }
}

fn state_of(weight: f64) -> RampState {
    if weight >= 1.0 {
        RampState::Steady
    } else if weight > MIN_WEIGHT {
        RampState::Ramping
    } else {
        RampState::Probing
    }
}

/// Returns whether a sender takes a target as a candidate for one request; `random` is uniform over
/// its whole range.
#[must_use]
pub fn is_candidate(weight: f64, random: u64) -> bool {
    weight >= 1.0 || (random as f64) < weight * (u64::MAX as f64)
}
