//! Load, pace and ramp of the targets, as all instances of a failure domain observe them.
//!
//! Each instance alone gets a response of a given target too rarely to know its load. Instances
//! therefore send what they observe to the aggregator of their failure domain ([`aggregator`]), which
//! sends what changed to all of them. [`TargetView`] is used by all: it holds the most recent figures
//! of each target, whoever observed them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Range;

pub mod aggregator;
pub mod exchange;
pub mod messages;
mod sender;
mod usual_level;
mod viewed_target;

use crate::serving::target_pace::PaceSample;
use crate::serving::target_ramp::OutcomeCounts;
use crate::serving::target_view::messages::MessageStamp;
use crate::serving::target_view::messages::TargetObservation;
use crate::serving::target_view::messages::TargetSummary;
use crate::serving::target_view::sender::SenderState;
use crate::serving::target_view::viewed_target::Advice;
use crate::serving::target_view::viewed_target::Figures;
use crate::serving::target_view::viewed_target::SentSummary;
use crate::serving::target_view::viewed_target::Unsent;
use crate::serving::target_view::viewed_target::ViewedTarget;
use arbutus_coord::Millis;

/// How long a load is used. With 74 instances and 95 targets, 97 % of the loads of a failure domain
/// are renewed within this time.
pub const VIEW_VALID_MS: Millis = Millis(2_000);
/// How long the pace and the ramp weight of a target are used; during this time, they move towards 1.
pub const PACE_VALID_MS: Millis = Millis(60_000);
/// Maximum number of targets; the ones that were observed first are removed.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of senders whose message numbers are remembered.
const MAX_SENDERS: usize = 4_096;

/// The most recent load of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewedLoad {
    /// Number of requests that the target executes.
    pub running: u32,
    /// Number of requests that wait at the target.
    pub waiting: u32,
    /// Number of requests that the target executes concurrently; `None` if not reported.
    pub slots: Option<u32>,
    /// How long work takes, in percent of the usual duration; `None` if not reported.
    pub work_percent: Option<u32>,
    /// Time since the response that reported the load.
    pub age_ms: Millis,
}

/// Who receives summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Receivers {
    /// The instances of the failure domain.
    Domain,
    /// The aggregators of the other failure domains.
    Aggregators,
}

/// The samples of an observation of another instance that have not been counted before.
#[derive(Clone, Debug, PartialEq)]
pub struct NewSamples {
    /// Identifier of the target.
    pub target: String,
    /// The run of the target.
    pub incarnation: Option<u64>,
    /// Evidence of its pace.
    pub pace: PaceSample,
    /// Outcomes of attempts at it.
    pub outcomes: OutcomeCounts,
}

impl NewSamples {
    /// Returns the samples of an observation, or `None` if it has none.
    #[must_use]
    pub fn of(observation: &TargetObservation) -> Option<Self> {
        let has_samples =
            observation.pace.weight > 0.0 || observation.outcomes != OutcomeCounts::default();
        has_samples.then(|| Self {
            target: observation.target.clone(),
            incarnation: observation.incarnation,
            pace: observation.pace,
            outcomes: observation.outcomes,
        })
    }
}

/// Who told a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A response of the target, to this instance or to a member of its failure domain.
    Response,
    /// An aggregator.
    Aggregator,
}

/// The targets, as all instances of a failure domain observe them.
#[derive(Debug, Default)]
pub struct TargetView {
    targets: BTreeMap<String, ViewedTarget>,
    /// By the number that identifies their run.
    senders: BTreeMap<u32, SenderState>,
    /// Senders that this instance hears for the first time in this period are not believed.
    distrusted: Option<Range<Millis>>,
}

impl TargetView {
    /// Creates a view without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what this instance learnt from a response.
    pub fn observe(&mut self, now: Millis, observation: &TargetObservation) {
        if !self.merge_load(now - observation.age_ms, observation, Source::Response) {
            return;
        }
        let Some(viewed) = self.targets.get_mut(&observation.target) else {
            return;
        };
        let unsent = viewed.unsent.get_or_insert_default();
        unsent.pace.add(observation.pace);
        unsent.outcomes.add(observation.outcomes);
    }

    /// Records samples of this instance that came without a load, such as a failed connection.
    pub fn add_samples(
        &mut self,
        target: &str,
        incarnation: Option<u64>,
        pace: PaceSample,
        outcomes: OutcomeCounts,
    ) {
        let viewed = self.entry_of(target, incarnation);
        let unsent = viewed.unsent.get_or_insert_default();
        unsent.pace.add(pace);
        unsent.outcomes.add(outcomes);
    }

    /// Takes what this instance observed and has not sent yet, up to `budget_bytes` of records. The
    /// most recent loads come first, because a load that waits for the budget is outdated when it
    /// arrives. Outdated loads are sent only for the samples that come with them.
    pub fn take_observations(
        &mut self,
        now: Millis,
        budget_bytes: usize,
    ) -> Vec<TargetObservation> {
        let mut waiting = Vec::new();
        for (id, viewed) in &mut self.targets {
            if !viewed.is_usable(now) {
                viewed.unsent = viewed.unsent.filter(Unsent::has_samples);
            }
            if viewed.unsent.is_some() {
                waiting.push((viewed.response_age_ms(now), id.clone()));
            }
        }
        waiting.sort_unstable();
        let mut taken = Vec::new();
        let mut used_bytes = 0;
        for (_, id) in waiting {
            let Some(viewed) = self.targets.get_mut(&id) else {
                continue;
            };
            let Some(observation) = viewed.observation(now, &id) else {
                continue;
            };
            used_bytes += observation.record().encoded_bytes();
            if used_bytes > budget_bytes {
                break;
            }
            viewed.unsent = None;
            taken.push(observation);
        }
        taken
    }

    /// Merges observations of another instance, and returns the samples that are new. A message that
    /// was received before changes nothing; one that was delayed is counted with its delay.
    pub fn merge_observations(
        &mut self,
        now: Millis,
        stamp: MessageStamp,
        observations: &[TargetObservation],
    ) -> Vec<NewSamples> {
        let Some(sent_at) = self.accept(now, stamp) else {
            return Vec::new();
        };
        let mut samples = Vec::new();
        for observation in observations {
            let observed_at = sent_at - observation.age_ms;
            if !self.merge_load(observed_at, observation, Source::Response) {
                continue;
            }
            samples.extend(NewSamples::of(observation));
        }
        samples
    }

    /// Takes summaries of what changed since the last ones for these receivers, up to `budget_bytes`
    /// of records. The largest changes come first.
    pub fn take_summaries(
        &mut self,
        now: Millis,
        receivers: Receivers,
        budget_bytes: usize,
    ) -> Vec<TargetSummary> {
        let mut changes: Vec<(f64, String)> = self
            .targets
            .iter()
            .filter_map(|(id, viewed)| Some((viewed.change(now, receivers)?, id.clone())))
            .collect();
        changes.sort_unstable_by(|left, right| descending(left.0, right.0));
        let mut taken = Vec::new();
        let mut used_bytes = 0;
        for (_, id) in changes {
            let Some(viewed) = self.targets.get_mut(&id) else {
                continue;
            };
            let summary = viewed.summary(now, &id, receivers);
            used_bytes += summary.record().encoded_bytes();
            if used_bytes > budget_bytes {
                break;
            }
            let sent = SentSummary {
                figures: viewed.figures,
                observed_at: viewed.observed_at,
                pace: summary.pace,
                ramp_weight: summary.ramp_weight,
                sent_at: now,
            };
            viewed.sent.insert(receivers, sent);
            taken.push(summary);
        }
        taken
    }

    /// Returns summaries of all targets that have usable figures, for an instance that has started,
    /// up to `budget_bytes` of records; the most recent ones come first.
    #[must_use]
    pub fn known_targets(&self, now: Millis, budget_bytes: usize) -> Vec<TargetSummary> {
        let mut recent: Vec<(&String, &ViewedTarget)> = self
            .targets
            .iter()
            .filter(|(_, viewed)| viewed.is_usable(now) || viewed.has_advice(now))
            .collect();
        recent.sort_by_key(|(_, viewed)| now - viewed.observed_at);
        let mut used_bytes = 0;
        let summaries = recent
            .into_iter()
            .map(|(id, viewed)| viewed.summary(now, id, Receivers::Domain));
        let within_budget = summaries.take_while(|summary| {
            used_bytes += summary.record().encoded_bytes();
            used_bytes <= budget_bytes
        });
        within_budget.collect()
    }

    /// Merges summaries of an aggregator; returns false if the message was received before.
    pub fn merge_summaries(
        &mut self,
        now: Millis,
        stamp: MessageStamp,
        summaries: &[TargetSummary],
    ) -> bool {
        let Some(sent_at) = self.accept(now, stamp) else {
            return false;
        };
        for summary in summaries {
            let observation = TargetObservation {
                target: summary.target.clone(),
                incarnation: summary.incarnation,
                age_ms: summary.age_ms,
                running: summary.running,
                waiting: summary.waiting,
                slots: summary.slots,
                work_percent: summary.work_percent,
                ..TargetObservation::default()
            };
            let observed_at = sent_at - summary.age_ms;
            if !self.merge_load(observed_at, &observation, Source::Aggregator) {
                continue;
            }
            let Some(viewed) = self.targets.get_mut(&summary.target) else {
                continue;
            };
            viewed
                .usual_level
                .adopt(sent_at, summary.usual_work_percent);
            viewed.adopt_advice(Advice {
                pace: summary.pace,
                ramp_weight: summary.ramp_weight,
                learnt_at: sent_at,
                is_local: false,
            });
        }
        true
    }

    /// Records that this instance did not run for a while, until `now`, so that messages may have
    /// waited for it. The delay of the first messages of a sender is not known, so they are ignored
    /// until `until`.
    pub fn record_interruption(&mut self, now: Millis, until: Millis) {
        self.distrusted = Some(now..until);
    }

    /// Sets the pace and the ramp weight of a target, as determined by this instance.
    pub fn set_advice(
        &mut self,
        now: Millis,
        target: &str,
        incarnation: Option<u64>,
        pace: Option<f64>,
        ramp_weight: Option<f64>,
    ) {
        let viewed = self.entry_of(target, incarnation);
        viewed.advice = Some(Advice {
            pace,
            ramp_weight,
            learnt_at: now,
            is_local: true,
        });
    }

    /// Sets the ramp weight of a target that has started, until an aggregator gives one.
    pub fn set_start_weight(
        &mut self,
        now: Millis,
        target: &str,
        incarnation: Option<u64>,
        ramp_weight: f64,
    ) {
        let viewed = self.entry_of(target, incarnation);
        viewed.advice = Some(Advice {
            pace: None,
            ramp_weight: Some(ramp_weight),
            learnt_at: now,
            is_local: false,
        });
    }

    /// Returns the load of an incarnation of a target, or `None` if there is no report of the last
    /// [`VIEW_VALID_MS`].
    #[must_use]
    pub fn load(&self, now: Millis, target: &str, incarnation: Option<u64>) -> Option<ViewedLoad> {
        let viewed = self.of(target, incarnation)?;
        viewed.is_usable(now).then(|| ViewedLoad {
            running: viewed.figures.running,
            waiting: viewed.figures.waiting,
            slots: viewed.figures.slots,
            work_percent: viewed.figures.work_percent,
            age_ms: now - viewed.observed_at,
        })
    }

    /// Returns the work percentage that a target reports most of the time, or `None` if it reports
    /// none. It differs between targets, and short rises do not change it.
    #[must_use]
    pub fn usual_work_percent(&self, target: &str, incarnation: Option<u64>) -> Option<u32> {
        self.of(target, incarnation)?.usual_level.percent()
    }

    /// Returns how long work takes at a target in relation to its service; 1 if that is not known.
    #[must_use]
    pub fn pace(&self, now: Millis, target: &str) -> f64 {
        let advice = self.targets.get(target).and_then(|viewed| viewed.advice);
        advice.map_or(1.0, |advice| faded(now, advice.learnt_at, advice.pace))
    }

    /// Returns the fraction of a normal share that a target should get; 1 if that is not known.
    #[must_use]
    pub fn ramp_weight(&self, now: Millis, target: &str) -> f64 {
        let advice = self.targets.get(target).and_then(|viewed| viewed.advice);
        advice.map_or(1.0, |advice| {
            faded(now, advice.learnt_at, advice.ramp_weight)
        })
    }

    /// Removes a target that is gone or was restarted.
    pub fn remove(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the number of targets with a usable load, and the mean age of these loads.
    #[must_use]
    pub fn coverage(&self, now: Millis) -> (usize, Millis) {
        let ages_ms = self
            .targets
            .values()
            .filter(|viewed| viewed.is_usable(now))
            .map(|viewed| (now - viewed.observed_at).0);
        let (count, sum_ms) = ages_ms.fold((0, 0), |(count, sum), age| (count + 1, sum + age));
        (count, Millis(sum_ms / (count as u64).max(1)))
    }

    fn of(&self, target: &str, incarnation: Option<u64>) -> Option<&ViewedTarget> {
        let viewed = self.targets.get(target)?;
        (viewed.incarnation == incarnation).then_some(viewed)
    }

    /// Returns the entry of an incarnation; replaces that of another one.
    fn entry_of(&mut self, target: &str, incarnation: Option<u64>) -> &mut ViewedTarget {
        self.make_room(target);
        let viewed = self.targets.entry(target.to_owned()).or_default();
        if viewed.incarnation != incarnation {
            *viewed = ViewedTarget {
                incarnation,
                ..ViewedTarget::default()
            };
        }
        viewed
    }

    /// Returns when a message was sent, on the clock of this instance, or `None` if it was received
    /// before.
    fn accept(&mut self, now: Millis, stamp: MessageStamp) -> Option<Millis> {
        let id = stamp.sender_incarnation;
        if !self.senders.contains_key(&id) && self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, state)| state.last_received_at);
            if let Some(oldest) = oldest.map(|(&id, _)| id) {
                self.senders.remove(&oldest);
            }
        }
        let state = self
            .senders
            .entry(id)
            .or_insert_with(|| SenderState::new(now));
        state.accept(now, stamp, self.distrusted.as_ref())
    }

    /// Merges a load; returns false if it belongs to an incarnation that has been replaced.
    fn merge_load(
        &mut self,
        observed_at: Millis,
        observation: &TargetObservation,
        source: Source,
    ) -> bool {
        self.make_room(&observation.target);
        let viewed = self
            .targets
            .entry(observation.target.clone())
            .or_insert_with(|| ViewedTarget {
                incarnation: observation.incarnation,
                ..ViewedTarget::default()
            });
        if viewed.incarnation != observation.incarnation {
            if observed_at <= viewed.observed_at {
                return false;
            }
            *viewed = ViewedTarget {
                incarnation: observation.incarnation,
                ..ViewedTarget::default()
            };
        }
        if observed_at > viewed.observed_at || viewed.observed_at == Millis::ZERO {
            viewed.observed_at = observed_at;
            viewed.figures = Figures {
                running: observation.running,
                waiting: observation.waiting,
                slots: observation.slots,
                work_percent: observation.work_percent,
            };
            viewed.is_relayed = source == Source::Aggregator;
            if viewed.is_relayed {
                // The aggregator knows a later load than the one that was to be sent to it.
                viewed.unsent = viewed.unsent.filter(Unsent::has_samples);
            } else if let Some(percent) = observation.work_percent {
                viewed.usual_level.record(observed_at, percent);
            }
        }
        true
    }

    /// Removes the target that was observed first if there is no room for another one.
    fn make_room(&mut self, target: &str) {
        if self.targets.len() < MAX_TARGETS || self.targets.contains_key(target) {
            return;
        }
        let oldest = self
            .targets
            .iter()
            .min_by_key(|(_, viewed)| viewed.observed_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.targets.remove(&oldest);
        }
    }
}

fn descending(left: f64, right: f64) -> Ordering {
    right.total_cmp(&left)
}

/// Returns a value that moves to 1 from when it was learnt until [`PACE_VALID_MS`] later.
fn faded(now: Millis, learnt_at: Millis, value: Option<f64>) -> f64 {
    let Some(value) = value else { return 1.0 };
    let age = (now - learnt_at).0 as f64 / PACE_VALID_MS.0 as f64;
    1.0 + (value - 1.0) * (1.0 - age).max(0.0)
}
