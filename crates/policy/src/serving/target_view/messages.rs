//! What instances tell each other about targets, and the compact records that travel.
//!
//! Records name a target and its incarnation by a hash of 32 bits, which takes 5 bytes whatever the
//! length of the names. The receiver resolves it by its own list of targets, so an invented or
//! outdated record takes no memory. With 300 targets, two of them have the same hash with a
//! probability of one in 100,000; their loads would then be confused, which is not unsafe.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::target_pace::PaceSample;
use crate::serving::target_ramp::OutcomeCounts;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Largest age that is sent; older figures are of no use.
const MAX_SENT_AGE_MS: Millis = Millis(60_000);
/// Value of a record's figure that stands for an unknown one.
const UNKNOWN: u32 = 0;
/// Significant bits in each byte of an encoded number.
const SIGNIFICANT_BITS_PER_BYTE: u32 = 7;
/// Largest pace, in percent, that is taken from a message.
const MAX_PACE_PERCENT: u32 = 800;
/// Steps per unit in which the sums of a [`PaceSample`] are sent.
const PACE_STEPS: f32 = 100.0;
/// Smallest pace, in percent, that is taken from a message.
const MIN_PACE_PERCENT: u32 = 25;

/// What one instance learnt from responses of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetObservation {
    /// Identifier of the target.
    pub target: String,
    /// The run of the target; `None` if its entry names none.
    pub incarnation: Option<u64>,
    /// Time since the response that reported the load.
    pub age_ms: Millis,
    /// Number of requests that the target executes.
    pub running: u32,
    /// Number of requests that wait at the target.
    pub waiting: u32,
    /// Number of requests that the target executes concurrently; `None` if not reported.
    pub slots: Option<u32>,
    /// How long work takes at present, in percent of the usual duration; `None` if not reported.
    pub work_percent: Option<u32>,
    /// Evidence of the pace since the last observation that was sent.
    pub pace: PaceSample,
    /// Outcomes since the last observation that was sent.
    pub outcomes: OutcomeCounts,
}

/// What an aggregator tells about a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetSummary {
    /// Identifier of the target.
    pub target: String,
    /// The run of the target; `None` if its entry names none.
    pub incarnation: Option<u64>,
    /// Time since the response that reported the load.
    pub age_ms: Millis,
    /// Number of requests that the target executes.
    pub running: u32,
    /// Number of requests that wait at the target.
    pub waiting: u32,
    /// Number of requests that the target executes concurrently; `None` if not reported.
    pub slots: Option<u32>,
    /// How long work takes at present, in percent of the usual duration; `None` if not reported.
    pub work_percent: Option<u32>,
    /// The work percentage that the target reports most of the time.
    pub usual_work_percent: Option<u32>,
    /// How long work takes at the target in relation to its service; `None` if not known.
    pub pace: Option<f64>,
    /// Fraction of a normal share that the target gets; `None` if not known.
    pub ramp_weight: Option<f64>,
}

/// Identifies a message, so that a repeated one is recognised and a delayed one is not mistaken for a
/// recent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageStamp {
    /// Random number that identifies this run of the sender.
    pub sender_incarnation: u32,
    /// Number of the message, counted by the sender from 1.
    pub sequence: u32,
    /// Time since the sender started, when it sent the message.
    pub sender_uptime_ms: Millis,
}

/// A [`TargetObservation`] as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationRecord {
    target_hash: u32,
    age_ms: u32,
    running: u32,
    waiting: u32,
    slots: u32,
    work_percent: u32,
    samples: Option<SampleRecord>,
}

/// The part of an observation that is added to earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SampleRecord {
    /// Sum of the logarithms, in hundredths.
    log_ratio_steps: i32,
    /// Sum of the weights, in hundredths.
    weight_steps: u32,
    outcomes: OutcomeCounts,
}

/// A [`TargetSummary`] as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryRecord {
    target_hash: u32,
    age_ms: u32,
    running: u32,
    waiting: u32,
    slots: u32,
    work_percent: u32,
    usual_work_percent: u32,
    pace_percent: u32,
    ramp_percent: u32,
}

/// The targets that this instance knows, by the hash that records use.
#[derive(Clone, Debug, Default)]
pub struct TargetNames {
    names: BTreeMap<u32, (String, Option<u64>)>,
}

impl TargetNames {
    /// Creates the table from the targets and their incarnations.
    #[must_use]
    pub fn new<'a>(targets: impl Iterator<Item = (&'a str, Option<u64>)>) -> Self {
        let names = targets.map(|(target, incarnation)| {
            let hash = target_hash(target, incarnation);
            (hash, (target.to_owned(), incarnation))
        });
        Self {
            names: names.collect(),
        }
    }

    /// Returns the observation of a record, or `None` if the target is not known.
    #[must_use]
    pub fn observation(&self, record: &ObservationRecord) -> Option<TargetObservation> {
        let (target, incarnation) = self.names.get(&record.target_hash)?;
        let samples = record.samples.unwrap_or_default();
        let pace = PaceSample {
            log_ratio_sum: samples.log_ratio_steps as f32 / PACE_STEPS,
            weight: samples.weight_steps as f32 / PACE_STEPS,
        };
        Some(TargetObservation {
            target: target.clone(),
            incarnation: *incarnation,
            age_ms: Millis(record.age_ms.into()),
            running: record.running,
            waiting: record.waiting,
            slots: known(record.slots),
            work_percent: known(record.work_percent),
            pace,
            outcomes: samples.outcomes,
        })
    }

    /// Returns the summary of a record, or `None` if the target is not known.
    #[must_use]
    pub fn summary(&self, record: &SummaryRecord) -> Option<TargetSummary> {
        let (target, incarnation) = self.names.get(&record.target_hash)?;
        let pace_percent = known(record.pace_percent)
            .map(|percent| percent.clamp(MIN_PACE_PERCENT, MAX_PACE_PERCENT));
        let ramp_percent = known(record.ramp_percent).map(|percent| percent.min(100));
        Some(TargetSummary {
            target: target.clone(),
            incarnation: *incarnation,
            age_ms: Millis(record.age_ms.into()),
            running: record.running,
            waiting: record.waiting,
            slots: known(record.slots),
            work_percent: known(record.work_percent),
            usual_work_percent: known(record.usual_work_percent),
            pace: pace_percent.map(|percent| f64::from(percent) / 100.0),
            ramp_weight: ramp_percent.map(|percent| f64::from(percent) / 100.0),
        })
    }
}

impl TargetObservation {
    /// Returns the record that is sent.
    #[must_use]
    pub fn record(&self) -> ObservationRecord {
        let has_samples = self.pace.weight > 0.0 || self.outcomes != OutcomeCounts::default();
        ObservationRecord {
            target_hash: target_hash(&self.target, self.incarnation),
            age_ms: sent_age_ms(self.age_ms),
            running: self.running,
            waiting: self.waiting,
            slots: self.slots.unwrap_or(UNKNOWN),
            work_percent: self.work_percent.unwrap_or(UNKNOWN),
            samples: has_samples.then_some(SampleRecord {
                log_ratio_steps: (self.pace.log_ratio_sum * PACE_STEPS).round() as i32,
                weight_steps: (self.pace.weight * PACE_STEPS).round() as u32,
                outcomes: self.outcomes,
            }),
        }
    }
}

impl ObservationRecord {
    /// Returns the size of the encoded record.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let numbers = [
            self.target_hash,
            self.age_ms,
            self.running,
            self.waiting,
            self.slots,
            self.work_percent,
        ];
        let samples = self.samples.map_or(0, |samples| {
            let outcomes = samples.outcomes;
            // The sign takes the lowest bit.
            let log_ratio = samples.log_ratio_steps;
            let counts = [
                (log_ratio << 1 ^ log_ratio >> 31) as u32,
                samples.weight_steps,
                outcomes.sent,
                outcomes.in_time,
                outcomes.tight,
                outcomes.late,
                outcomes.refused,
                outcomes.failed,
            ];
            encoded_bytes(&counts)
        });
        encoded_bytes(&numbers) + 1 + samples
    }
}

impl TargetSummary {
    /// Returns the record that is sent.
    #[must_use]
    pub fn record(&self) -> SummaryRecord {
        let percent = |ratio: f64| ((ratio * 100.0).round() as u32).max(1);
        SummaryRecord {
            target_hash: target_hash(&self.target, self.incarnation),
            age_ms: sent_age_ms(self.age_ms),
            running: self.running,
            waiting: self.waiting,
            slots: self.slots.unwrap_or(UNKNOWN),
            work_percent: self.work_percent.unwrap_or(UNKNOWN),
            usual_work_percent: self.usual_work_percent.unwrap_or(UNKNOWN),
            pace_percent: self.pace.map_or(UNKNOWN, percent),
            ramp_percent: self.ramp_weight.map_or(UNKNOWN, percent),
        }
    }
}

impl SummaryRecord {
    /// Returns the size of the encoded record.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        encoded_bytes(&[
            self.target_hash,
            self.age_ms,
            self.running,
            self.waiting,
            self.slots,
            self.work_percent,
            self.usual_work_percent,
            self.pace_percent,
            self.ramp_percent,
        ])
    }
}

fn target_hash(target: &str, incarnation: Option<u64>) -> u32 {
    let mut bytes = target.as_bytes().to_vec();
    bytes.push(0);
    if let Some(incarnation) = incarnation {
        bytes.extend(incarnation.to_le_bytes());
    }
    rendezvous::stable_hash(&bytes) as u32
}

fn sent_age_ms(age_ms: Millis) -> u32 {
    u32::try_from(age_ms.min(MAX_SENT_AGE_MS).0).unwrap_or(u32::MAX)
}

fn known(figure: u32) -> Option<u32> {
    (figure != UNKNOWN).then_some(figure)
}

/// Returns the size of numbers in an encoding with 7 significant bits in each byte.
fn encoded_bytes(numbers: &[u32]) -> usize {
    let sizes = numbers.iter().map(|number| {
        let bits = (u32::BITS - number.leading_zeros()).max(1);
        bits.div_ceil(SIGNIFICANT_BITS_PER_BYTE) as usize
    });
    sizes.sum()
}
