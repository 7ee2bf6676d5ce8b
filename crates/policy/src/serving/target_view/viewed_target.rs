//! What is known of one target, and what has been told about it.

use std::collections::BTreeMap;

use crate::serving::target_pace::PaceSample;
use crate::serving::target_ramp::OutcomeCounts;
use crate::serving::target_view::PACE_VALID_MS;
use crate::serving::target_view::Receivers;
use crate::serving::target_view::VIEW_VALID_MS;
use crate::serving::target_view::messages::TargetObservation;
use crate::serving::target_view::messages::TargetSummary;
use crate::serving::target_view::usual_level::UsualLevel;
use arbutus_coord::Millis;

/// How long the pace and the ramp weight that this instance determined itself take precedence over
/// those of other aggregators.
const LOCAL_ADVICE_MS: Millis = Millis(2_000);
/// Smaller changes of pace and ramp weight are not sent, because they change no choice and would displace
/// changes of the load from the budget.
const MIN_ADVICE_CHANGE: f64 = 0.05;

/// Advice other than 1 is sent again after this time, because it moves to 1 at the receivers, and a
/// message that has it may have been lost.
const ADVICE_REFRESH_MS: Millis = Millis(5_000);

/// The figures of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Figures {
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) slots: Option<u32>,
    pub(super) work_percent: Option<u32>,
}

/// Pace and ramp weight of a target, and when this instance learnt them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Advice {
    pub(super) pace: Option<f64>,
    pub(super) ramp_weight: Option<f64>,
    pub(super) learnt_at: Millis,
    pub(super) is_local: bool,
}

/// What was last sent to a group of receivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SentSummary {
    pub(super) figures: Figures,
    pub(super) observed_at: Millis,
    pub(super) pace: Option<f64>,
    pub(super) ramp_weight: Option<f64>,
    pub(super) sent_at: Millis,
}

/// What this instance observed and has not sent to the aggregator yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unsent {
    pub(super) pace: PaceSample,
    pub(super) outcomes: OutcomeCounts,
}

impl Unsent {
    pub(super) fn has_samples(&self) -> bool {
        self.pace.weight > 0.0 || self.outcomes != OutcomeCounts::default()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct ViewedTarget {
    pub(super) incarnation: Option<u64>,
    pub(super) figures: Figures,
    pub(super) observed_at: Millis,
    /// Whether the figures come from an aggregator. Aggregators do not tell each other such figures,
    /// since they would travel in a circle and lose the delay of the network from their age.
    pub(super) is_relayed: bool,
    pub(super) usual_level: UsualLevel,
    pub(super) advice: Option<Advice>,
    pub(super) unsent: Option<Unsent>,
    pub(super) sent: BTreeMap<Receivers, SentSummary>,
}

impl ViewedTarget {
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.observed_at + VIEW_VALID_MS >= now && self.observed_at != Millis::ZERO
    }

    pub(super) fn has_advice(&self, now: Millis) -> bool {
        self.advice
            .is_some_and(|advice| advice.learnt_at + PACE_VALID_MS >= now)
    }

    pub(super) fn adopt_advice(&mut self, advice: Advice) {
        let is_superseded = self.advice.is_some_and(|known| {
            known.learnt_at >= advice.learnt_at
                || (known.is_local && known.learnt_at + LOCAL_ADVICE_MS >= advice.learnt_at)
        });
        if !is_superseded && (advice.pace.is_some() || advice.ramp_weight.is_some()) {
            self.advice = Some(advice);
        }
    }

    /// Returns the age of the load as a member tells it to the aggregator. What came from an aggregator
    /// counts as outdated: it would return with the delays of the network missing from its age.
    pub(super) fn response_age_ms(&self, now: Millis) -> Millis {
        if self.is_relayed {
            Millis::MAX
        } else {
            now - self.observed_at
        }
    }

    /// Returns what has not been sent to the aggregator yet.
    pub(super) fn observation(&self, now: Millis, id: &str) -> Option<TargetObservation> {
        let unsent = self.unsent?;
        Some(TargetObservation {
            target: id.to_owned(),
            incarnation: self.incarnation,
            age_ms: self.response_age_ms(now),
            running: self.figures.running,
            waiting: self.figures.waiting,
            slots: self.figures.slots,
            work_percent: self.figures.work_percent,
            pace: unsent.pace,
            outcomes: unsent.outcomes,
        })
    }

    /// Returns the advice for receivers. Aggregators do not tell each other what they learnt from
    /// each other.
    pub(super) fn advice_for(&self, now: Millis, receivers: Receivers) -> Option<Advice> {
        let advice = self.advice.filter(|_| self.has_advice(now))?;
        (advice.is_local || receivers == Receivers::Domain).then_some(advice)
    }

    pub(super) fn summary(&self, now: Millis, id: &str, receivers: Receivers) -> TargetSummary {
        let advice = self.advice_for(now, receivers);
        let usual_work_percent = match receivers {
            Receivers::Domain => self.usual_level.percent(),
            Receivers::Aggregators => self.usual_level.observed_percent(),
        };
        TargetSummary {
            target: id.to_owned(),
            incarnation: self.incarnation,
            age_ms: now - self.observed_at,
            running: self.figures.running,
            waiting: self.figures.waiting,
            slots: self.figures.slots,
            work_percent: self.figures.work_percent,
            usual_work_percent,
            pace: advice.and_then(|advice| advice.pace),
            ramp_weight: advice.and_then(|advice| advice.ramp_weight),
        }
    }

    /// Returns how much there is to tell receivers about the target, or `None` if they know all.
    pub(super) fn change(&self, now: Millis, receivers: Receivers) -> Option<f64> {
        let advice = self.advice_for(now, receivers);
        let (pace, ramp_weight) =
            advice.map_or((None, None), |advice| (advice.pace, advice.ramp_weight));
        let has_load =
            self.is_usable(now) && !(self.is_relayed && receivers == Receivers::Aggregators);
        let Some(sent) = self.sent.get(&receivers) else {
            return (has_load || advice.is_some()).then_some(f64::INFINITY);
        };
        let is_newer = has_load && self.observed_at > sent.observed_at;
        let advice_change = difference(pace, sent.pace) + difference(ramp_weight, sent.ramp_weight);
        let is_refresh_due = difference(pace, None) + difference(ramp_weight, None)
            >= MIN_ADVICE_CHANGE
            && sent.sent_at + ADVICE_REFRESH_MS <= now;
        if !is_newer && advice_change < MIN_ADVICE_CHANGE && !is_refresh_due {
            return None;
        }
        let slots = f64::from(self.figures.slots.unwrap_or(1).max(1));
        let load = |figures: Figures| f64::from(figures.running.saturating_add(figures.waiting));
        let load_change = (load(self.figures) - load(sent.figures)).abs() / slots;
        let work = |figures: Figures| {
            figures
                .work_percent
                .map(|percent| f64::from(percent) / 100.0)
        };
        let work_change = difference(work(self.figures), work(sent.figures));
        // Without this term, targets whose load hardly changes would expire at the receivers.
        let waited = (now - sent.sent_at).0 as f64 / VIEW_VALID_MS.0 as f64;
        Some(load_change + work_change + advice_change + waited)
    }
}

fn difference(left: Option<f64>, right: Option<f64>) -> f64 {
    (left.unwrap_or(1.0) - right.unwrap_or(1.0)).abs()
}
