//! Pace of targets: how long work takes at a target in relation to its service.
//!
//! A pace of 1.0 is typical and 2.0 takes twice as long. It is the median of the logarithms of
//! observed time / expected time over short slots of time, so that a disturbance of half a second
//! or a few unusual requests do not move it. A slot ends after a fixed time, and slots without
//! observations are left out: the median covers a few seconds at a busy target and up to
//! [`PACE_VALID_MS`] at a quiet one. With little or old evidence the pace is drawn towards 1.
//!
//! Every instance records its own requests and sends [`PaceTable::take_samples`] to the aggregator
//! of its failure domain. The aggregator merges them and sends [`PaceTable::estimate`] back.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// How long observations count.
pub const PACE_VALID_MS: Millis = Millis(60_000);
/// Least pace that is assumed of a target.
pub const MIN_PACE: f64 = 0.25;
/// Greatest pace that is assumed of a target.
pub const MAX_PACE: f64 = 8.0;

/// Length of a slot. A disturbance of 600 ms touches at most two.
const SLOT_MS: Millis = Millis(700);
/// Number of slots in the median. The pace of a target that turns slow follows when more than half
/// of them are new.
const MAX_SLOTS: usize = 11;
/// Time that is added to the expected and the observed time, so that delays of connections and
/// schedulers do not look like a slow target to requests of a few milliseconds.
const OFFSET_MS: f64 = 20.0;
/// Expected time at which a request has half of the greatest weight. Longer requests say more, but
/// one of them does not outweigh several shorter ones.
const HALF_WEIGHT_MS: f64 = 50.0;
/// Weight of the assumption that the pace is 1. With 1.0, up to 1.4 % of the paces of typical targets
/// were wrong by more than a third in the model test, with 2.0 up to 0.9 %.
const PRIOR_WEIGHT: f64 = 2.0;
/// Time in which the weight of a slot halves.
const HALF_LIFE_MS: f64 = 20_000.0;
/// Age up to which an estimate of the aggregator takes precedence over local observations, which it
/// contains already.
const ESTIMATE_FRESH_MS: Millis = Millis(2_000);

/// Sums over observations of one target; samples of different instances are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSample {
    /// Sum of the weighted logarithms of observed time / expected time.
    pub log_ratio_sum: f32,
    /// Sum of the weights; one request has at most 1.
    pub weight: f32,
}

impl PaceSample {
    /// Returns the sample of one request, from the moment it is sent to its first event.
    #[must_use]
    pub fn new(expected_ms: Millis, observed_ms: Millis) -> Self {
        let (expected_ms, observed_ms) = (expected_ms.0 as f64, observed_ms.0 as f64);
        let ratio = (observed_ms + OFFSET_MS) / (expected_ms + OFFSET_MS);
        let weight = (expected_ms + OFFSET_MS) / (expected_ms + OFFSET_MS + HALF_WEIGHT_MS);
        let log_ratio = ratio.clamp(MIN_PACE, MAX_PACE).ln();
        Self {
            log_ratio_sum: (log_ratio * weight) as f32,
            weight: weight as f32,
        }
    }

    /// Adds another sample; samples that are not finite are ignored.
    pub fn add(&mut self, other: Self) {
        if other.log_ratio_sum.is_finite() && other.weight.is_finite() && other.weight > 0.0 {
            self.log_ratio_sum += other.log_ratio_sum;
            self.weight += other.weight;
        }
    }

    /// Returns the mean logarithm, or `None` if the sample has no weight or no valid numbers.
    fn mean(self) -> Option<f64> {
        let (sum, weight) = (f64::from(self.log_ratio_sum), f64::from(self.weight));
        let is_valid = sum.is_finite() && weight.is_finite() && weight > 0.0;
        is_valid.then(|| (sum / weight).clamp(MIN_PACE.ln(), MAX_PACE.ln()))
    }
}

#[derive(Debug)]
struct Slot {
    began_at: Millis,
    sample: PaceSample,
}

/// A mean logarithm and the weight of its evidence.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    mean: f64,
    weight: f64,
}

#[derive(Debug, Default)]
struct TargetPace {
    slots: VecDeque<Slot>,
    /// Local observations that [`PaceTable::take_samples`] has not returned yet.
    pending: PaceSample,
    /// The last estimate of the aggregator and when it arrived.
    adopted: Option<(Millis, PaceSample)>,
}

impl TargetPace {
    fn add(&mut self, now: Millis, sample: PaceSample) {
        if let Some(slot) = self.slots.back_mut()
            && now < slot.began_at + SLOT_MS
        {
            slot.sample.add(sample);
            return;
        }
        if self.slots.len() == MAX_SLOTS {
            self.slots.pop_front();
        }
        self.slots.push_back(Slot {
            began_at: now,
            sample,
        });
    }

    /// Returns the weighted median over the slots.
    fn observed(&self, now: Millis) -> Option<Evidence> {
        let mut means: Vec<Evidence> = self
            .slots
            .iter()
            .filter_map(|slot| {
                let mean = slot.sample.mean()?;
                // Without a bound a slot with many requests would be the median by itself.
                let weight = f64::from(slot.sample.weight).min(1.0) * decay(now, slot.began_at);
                (weight > 0.0).then_some(Evidence { mean, weight })
            })
            .collect();
        means.sort_by(|a, b| a.mean.total_cmp(&b.mean));
        let weight: f64 = means.iter().map(|slot| slot.weight).sum();
        let mut below = 0.0;
        let median = means.iter().find(|slot| {
            below += slot.weight;
            below * 2.0 >= weight
        })?;
        Some(Evidence {
            mean: median.mean,
            weight,
        })
    }

    fn evidence(&self, now: Millis) -> Option<Evidence> {
        let adopted = self.adopted.and_then(|(at, sample)| {
            let weight = f64::from(sample.weight) * decay(now, at);
            let mean = sample.mean()?;
            (weight > 0.0).then_some((at, Evidence { mean, weight }))
        });
        match (adopted, self.observed(now)) {
            (Some((at, adopted)), _) if now < at + ESTIMATE_FRESH_MS => Some(adopted),
            (Some((_, adopted)), Some(observed)) => {
                let weight = adopted.weight + observed.weight;
                let sum = adopted.mean * adopted.weight + observed.mean * observed.weight;
                Some(Evidence {
                    mean: sum / weight,
                    weight,
                })
            }
            (Some((_, adopted)), None) => Some(adopted),
            (None, observed) => observed,
        }
    }

    fn is_expired(&self, now: Millis) -> bool {
        let newest = self.slots.back().map(|slot| slot.began_at);
        let newest = newest.max(self.adopted.map(|(at, _)| at));
        newest.is_none_or(|at| now >= at + PACE_VALID_MS)
    }
}

/// Returns the fraction of its weight that evidence of a given time has left.
fn decay(now: Millis, at: Millis) -> f64 {
    let age = now - at;
    if age >= PACE_VALID_MS {
        return 0.0;
    }
    (-(age.0 as f64) / HALF_LIFE_MS).exp2()
}

/// The paces of all targets, as known to one instance.
#[derive(Debug, Default)]
pub struct PaceTable {
    targets: BTreeMap<String, TargetPace>,
}

impl PaceTable {
    /// Records a request of this instance.
    ///
    /// Both times are from the moment the request is sent to its first event; the expected one is
    /// that of a typical target of the service.
    pub fn record(&mut self, now: Millis, target: &str, expected_ms: Millis, observed_ms: Millis) {
        let sample = PaceSample::new(expected_ms, observed_ms);
        let known = self.targets.entry(target.to_owned()).or_default();
        known.pending.add(sample);
        known.add(now, sample);
    }

    /// Returns the observations of this instance since the last call, for the aggregator.
    #[must_use]
    pub fn take_samples(&mut self) -> Vec<(String, PaceSample)> {
        self.targets
            .iter_mut()
            .filter(|(_, known)| known.pending.weight > 0.0)
            .map(|(target, known)| (target.clone(), std::mem::take(&mut known.pending)))
            .collect()
    }

    /// Adds observations of another instance. A sample without valid numbers is ignored.
    pub fn merge(&mut self, now: Millis, target: &str, sample: PaceSample) {
        if sample.mean().is_some() {
            let known = self.targets.entry(target.to_owned()).or_default();
            known.add(now, sample);
        }
    }

    /// Returns all evidence about a target as one sample, for the members of the failure domain.
    #[must_use]
    pub fn estimate(&self, now: Millis, target: &str) -> Option<PaceSample> {
        let evidence = self.targets.get(target)?.evidence(now)?;
        Some(PaceSample {
            log_ratio_sum: (evidence.mean * evidence.weight) as f32,
            weight: evidence.weight as f32,
        })
    }

    /// Replaces the last estimate of the aggregator by a newer one that is `age_ms` old.
    pub fn adopt(&mut self, now: Millis, target: &str, age_ms: Millis, estimate: PaceSample) {
        if estimate.mean().is_some() {
            let known = self.targets.entry(target.to_owned()).or_default();
            known.adopted = Some((now - age_ms, estimate));
        }
    }

    /// Takes over a pace that another aggregator determined, as little evidence.
    pub fn adopt_pace(&mut self, now: Millis, target: &str, pace: f64) {
        if (MIN_PACE..=MAX_PACE).contains(&pace) && (pace - 1.0).abs() > f64::EPSILON {
            // Twice the logarithm, since `pace` divides by the assumption's weight as well.
            let estimate = PaceSample {
                log_ratio_sum: (pace.ln() * 2.0 * PRIOR_WEIGHT) as f32,
                weight: PRIOR_WEIGHT as f32,
            };
            self.adopt(now, target, Millis::ZERO, estimate);
        }
    }

    /// Returns the pace of a target, from [`MIN_PACE`] to [`MAX_PACE`]; 1 if nothing is known.
    #[must_use]
    pub fn pace(&self, now: Millis, target: &str) -> f64 {
        self.known_pace(now, target).unwrap_or(1.0)
    }

    /// Returns the pace of a target, or `None` if nothing is known.
    #[must_use]
    pub fn known_pace(&self, now: Millis, target: &str) -> Option<f64> {
        let Evidence { mean, weight } = self.targets.get(target)?.evidence(now)?;
        let pace = (mean * weight / (weight + PRIOR_WEIGHT)).exp();
        Some(pace.clamp(MIN_PACE, MAX_PACE))
    }

    /// Removes the pace of a target that is gone or was restarted.
    pub fn remove(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Removes the paces that no longer differ from 1.
    pub fn expire(&mut self, now: Millis) {
        self.targets.retain(|_, known| !known.is_expired(now));
    }
}
