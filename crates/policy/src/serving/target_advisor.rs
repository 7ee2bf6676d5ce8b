//! Pace and ramp weight of the targets, as the aggregator of a failure domain determines them.
//!
//! Every instance records the starts of targets, so that an instance that becomes the aggregator
//! knows them. Only the aggregator adds samples and writes its advice to the view.

use std::collections::BTreeMap;

use crate::serving::target_pace::PaceTable;
use crate::serving::target_ramp::RampChange;
use crate::serving::target_ramp::TargetRamp;
use crate::serving::target_view::NewSamples;
use crate::serving::target_view::TargetView;
use crate::serving::target_view::exchange::ExchangeStep;
use crate::serving::target_view::exchange::ViewExchange;
use crate::serving::target_view::exchange::ViewMember;
use arbutus_coord::Millis;

/// How long a start that a new aggregator has seen itself counts if no summary gives the weight of
/// the target.
const RECENT_START_MS: Millis = Millis(10_000);
/// Largest age of a load whose queue counts. Older ones belong to an earlier weight.
const MAX_QUEUE_AGE_MS: Millis = Millis(400);

/// A target whose pace and weight are determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdvisedTarget {
    /// The service of the target.
    pub service: String,
    /// The run of the target; `None` if its entry names none.
    pub incarnation: Option<u64>,
}

/// Determines the pace and the ramp weight of targets.
#[derive(Debug, Default)]
pub struct TargetAdvisor {
    targets: BTreeMap<String, AdvisedTarget>,
    paces: PaceTable,
    /// By service, since a ramp compares a target with the others of its service.
    ramps: BTreeMap<String, TargetRamp>,
    started_at: BTreeMap<String, Millis>,
    is_aggregator: bool,
}

impl TargetAdvisor {
    /// Replaces the targets. Forgets the pace and the weight of those that are gone or were restarted,
    /// but not a start that was recorded for the present run.
    pub fn set_targets(&mut self, targets: BTreeMap<String, AdvisedTarget>) {
        let previous = std::mem::replace(&mut self.targets, targets);
        for (id, known) in previous {
            if self.targets.get(&id) != Some(&known) {
                self.forget(&id, &known.service);
            }
        }
    }

    /// Records that a target has appeared, was restarted, or is back after an evacuation.
    pub fn record_start(&mut self, now: Millis, id: &str, target: AdvisedTarget) {
        self.started_at.retain(|_, at| now < *at + RECENT_START_MS);
        self.paces.remove(id);
        let ramp = self.ramps.entry(target.service.clone()).or_default();
        ramp.record_start(now, id);
        self.started_at.insert(id.to_owned(), now);
        self.targets.insert(id.to_owned(), target);
    }

    /// Returns the weight that this instance gives a target; 1 if it knows nothing about it.
    #[must_use]
    pub fn weight(&self, now: Millis, id: &str) -> f64 {
        let known = self.targets.get(id);
        let ramp = known.and_then(|known| self.ramps.get(&known.service));
        ramp.map_or(1.0, |ramp| ramp.weight(now, id))
    }

    /// Performs a step of the exchange with the advice of this instance.
    pub fn step(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        exchange: &mut ViewExchange,
        peers: &[ViewMember<'_>],
        is_shutting_down: bool,
    ) -> ExchangeStep {
        self.advise(now, view);
        let step = exchange.step(now, view, peers, is_shutting_down);
        let is_aggregator = exchange.is_aggregator();
        if is_aggregator && !self.is_aggregator {
            self.take_over(now, view);
        }
        self.is_aggregator = is_aggregator;
        self.add_samples(now, &step.local_samples);
        step
    }

    /// Adds samples, if this instance is the aggregator; ignores those of other runs of a target.
    pub fn add_samples(&mut self, now: Millis, samples: &[NewSamples]) {
        if !self.is_aggregator {
            return;
        }
        for sample in samples {
            let Some(known) = self.targets.get(&sample.target) else {
                continue;
            };
            if known.incarnation != sample.incarnation {
                continue;
            }
            self.paces.merge(now, &sample.target, sample.pace);
            let ramp = self.ramps.entry(known.service.clone()).or_default();
            ramp.record_outcomes(now, &sample.target, sample.outcomes);
        }
    }

    /// Replaces the weights and paces by those that the previous aggregator told.
    fn take_over(&mut self, now: Millis, view: &TargetView) {
        for (id, known) in &self.targets {
            let started_at = self.started_at.get(id);
            let is_recent = started_at.is_some_and(|&at| now < at + RECENT_START_MS);
            let ramp = self.ramps.entry(known.service.clone()).or_default();
            if !is_recent {
                ramp.remove(id);
            }
            ramp.adopt(now, id, view.ramp_weight(now, id));
            self.paces.remove(id);
            self.paces.adopt_pace(now, id, view.pace(now, id));
        }
    }

    /// Writes the pace and the weight of each target that something is known about to the view.
    fn advise(&mut self, now: Millis, view: &mut TargetView) {
        if !self.is_aggregator {
            return;
        }
        self.paces.expire(now);
        for (id, known) in &self.targets {
            let ramp = self.ramps.get_mut(&known.service);
            let weight = ramp.and_then(|ramp| {
                if let Some(load) = view.load(now, id, known.incarnation)
                    && load.age_ms <= MAX_QUEUE_AGE_MS
                    && let Some(slots) = load.slots
                {
                    ramp.record_queue(now, id, load.waiting, slots);
                }
                ramp.is_known(id).then(|| ramp.weight(now, id))
            });
            let pace = self.paces.known_pace(now, id);
            if pace.is_some() || weight.is_some() {
                view.set_advice(now, id, known.incarnation, pace, weight);
            }
        }
    }

    /// Returns the number of targets to which this instance, as the aggregator, gives less than a
    /// normal share.
    #[must_use]
    pub fn ramping_count(&self, now: Millis) -> usize {
        if !self.is_aggregator {
            return 0;
        }
        let ids = self.targets.keys();
        ids.filter(|id| self.weight(now, id) < 1.0).count()
    }

    /// Returns the changes of weights since the last call that a log line shows. An instance that is
    /// not the aggregator has none, since its weights are not used.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<RampChange> {
        let mut changes = Vec::new();
        for ramp in self.ramps.values_mut() {
            changes.extend(ramp.take_changes());
            changes.extend(ramp.take_falls());
        }
        if self.is_aggregator {
            changes
        } else {
            Vec::new()
        }
    }

    fn forget(&mut self, id: &str, service: &str) {
        self.paces.remove(id);
        self.started_at.remove(id);
        if let Some(ramp) = self.ramps.get_mut(service) {
            ramp.remove(id);
        }
    }
}
