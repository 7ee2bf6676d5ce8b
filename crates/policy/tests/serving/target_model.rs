//! Model of the targets of a service, of the senders that choose among them, and of the aggregator
//! that rates them. A target reads prompts one after the other.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use arbutus_coord::Millis;
use arbutus_policy::serving::target_pace::PaceTable;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_ramp::TargetRamp;
use arbutus_policy::serving::target_ramp::is_candidate;

/// Objective for the first event.
pub const OBJECTIVE_MS: u64 = 1_200;
/// Mean of the times that requests need at an idle target, which are log-uniform from 1 to 500 ms.
pub const MEAN_WORK_MS: f64 = 80.3;
const MAX_WORK_MS: f64 = 500.0;
/// Greatest age of a report, and interval of the snapshots of the past.
const MAX_AGE_MS: u64 = 400;
const SNAPSHOT_MS: u64 = 50;
/// A disturbance makes a target this much slower for this time, and takes this share of all time.
const NOISE_SLOWNESS: f64 = 2.5;
const NOISE_MS: f64 = 600.0;
const NOISE_SHARE: f64 = 0.15;
/// Share of the choices that compare the waiting work; the others have no report of the targets.
const REPORTED_SHARE: f64 = 0.2;
const DEFAULT_SEED: u64 = 20_261_206;

/// How a target treats requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Serves,
    Refuses,
    /// Accepts requests and never sends a first event.
    Hangs,
}

pub struct ModelTarget {
    pub mode: Mode,
    pub slowness: f64,
    incarnation: u64,
    busy_until_ms: f64,
    noise_until_ms: f64,
}

/// A request that was sent to a target.
pub struct Sent {
    pub target: usize,
    pub at_ms: u64,
    pub is_in_time: bool,
}

/// A change that the aggregator hears of when its report arrives.
enum Report {
    Outcomes(OutcomeCounts),
    Pace {
        expected_ms: f64,
        waiting_ms: f64,
        observed_ms: f64,
    },
}

/// A rule that gives targets their weights; the tests compare several.
pub trait WeightRule: Default {
    fn record_start(&mut self, now: Millis, target: &str);
    fn record_outcomes(&mut self, now: Millis, target: &str, outcomes: OutcomeCounts);
    fn weight(&self, now: Millis, target: &str) -> f64;

    /// Records the time from sending a request to its first event.
    fn record_time(&mut self, _now: Millis, _target: &str, _expected_ms: f64, _observed_ms: f64) {}
}

impl WeightRule for TargetRamp {
    fn record_start(&mut self, now: Millis, target: &str) {
        self.record_start(now, target);
    }

    fn record_outcomes(&mut self, now: Millis, target: &str, outcomes: OutcomeCounts) {
        self.record_outcomes(now, target, outcomes);
    }

    fn weight(&self, now: Millis, target: &str) -> f64 {
        self.weight(now, target)
    }
}

pub struct Fleet<R = TargetRamp> {
    pub now_ms: u64,
    pub targets: Vec<ModelTarget>,
    pub ramp: R,
    pub pace: PaceTable,
    pub sent: Vec<Sent>,
    pub has_noise: bool,
    /// Every target is a candidate, whatever its weight.
    pub ignores_weights: bool,
    /// Requests per second to each target with a normal share.
    pub rate_per_s: f64,
    next_arrival_ms: f64,
    /// Age of the reports that each sender sees.
    sender_ages_ms: Vec<u64>,
    /// Weights and waiting work of all targets in the past, the newest first.
    snapshots: VecDeque<Vec<(f64, f64)>>,
    /// What the aggregator will hear of: when, about which target and incarnation.
    reports: BTreeMap<(u64, usize), (usize, u64, Report)>,
    report_count: usize,
    random: ChaCha8Rng,
}

pub fn name(target: usize) -> String {
    format!("t{target:02}")
}

impl Fleet {
    /// Returns a fleet; `run` selects one of several sequences of random numbers.
    pub fn new(targets: usize, senders: usize, rate_per_s: f64, run: u64) -> Self {
        Self::with_rule(targets, senders, rate_per_s, run)
    }
}

impl<R: WeightRule> Fleet<R> {
    pub fn with_rule(targets: usize, senders: usize, rate_per_s: f64, run: u64) -> Self {
        let text = std::env::var("ARBUTUS_SEED").ok();
        let seed = text.map_or(DEFAULT_SEED, |text| text.parse().expect("a number"));
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(run));
        let target = || ModelTarget {
            mode: Mode::Serves,
            slowness: 1.0,
            incarnation: 0,
            busy_until_ms: 0.0,
            noise_until_ms: 0.0,
        };
        Self {
            now_ms: 0,
            targets: (0..targets).map(|_| target()).collect(),
            ramp: R::default(),
            pace: PaceTable::default(),
            sent: Vec::new(),
            has_noise: false,
            ignores_weights: false,
            rate_per_s,
            next_arrival_ms: 0.0,
            sender_ages_ms: (0..senders)
                .map(|_| random.random_range(0..=MAX_AGE_MS))
                .collect(),
            snapshots: VecDeque::new(),
            reports: BTreeMap::new(),
            report_count: 0,
            random,
        }
    }

    pub fn now(&self) -> Millis {
        Millis(self.now_ms)
    }

    pub fn weight(&self, target: usize) -> f64 {
        self.ramp.weight(self.now(), &name(target))
    }

    /// Restarts a target, idle. Reports about the incarnation before are ignored.
    pub fn start(&mut self, target: usize) {
        self.targets[target].busy_until_ms = 0.0;
        self.targets[target].incarnation += 1;
        self.ramp.record_start(self.now(), &name(target));
    }

    /// Returns the requests that were sent to a target from a time on.
    pub fn sent_to(&self, target: usize, from_ms: u64) -> impl Iterator<Item = &Sent> {
        let sent = self.sent.iter();
        sent.filter(move |sent| sent.target == target && sent.at_ms >= from_ms)
    }

    /// Returns the requests to a target since a time, as a fraction of the mean of all targets.
    pub fn share(&self, target: usize, from_ms: u64) -> f64 {
        let all = self.sent.iter().filter(|sent| sent.at_ms >= from_ms);
        let mean = all.count() as f64 / self.targets.len() as f64;
        self.sent_to(target, from_ms).count() as f64 / mean
    }

    /// Returns the fraction of the requests from a time on that were in time.
    pub fn in_time(&self, from_ms: u64) -> f64 {
        let sent: Vec<&Sent> = self.sent.iter().filter(|s| s.at_ms >= from_ms).collect();
        sent.iter().filter(|sent| sent.is_in_time).count() as f64 / sent.len() as f64
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.deliver();
        if self.now_ms.is_multiple_of(SNAPSHOT_MS) {
            self.disturb();
            let now_ms = self.now_ms as f64;
            let snapshot = self.targets.iter().enumerate().map(|(index, target)| {
                let waiting_ms = (target.busy_until_ms - now_ms).max(0.0);
                (self.weight(index), waiting_ms)
            });
            let snapshot = snapshot.collect();
            self.snapshots.push_front(snapshot);
            self.snapshots
                .truncate((MAX_AGE_MS / SNAPSHOT_MS) as usize + 1);
        }
        while self.next_arrival_ms <= self.now_ms as f64 {
            let gap_ms = 1_000.0 / (self.rate_per_s * self.targets.len() as f64);
            self.next_arrival_ms -= gap_ms * (1.0 - self.random.random::<f64>()).ln();
            if !self.snapshots.is_empty() {
                let target = self.choose();
                self.send(target);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.reports.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (target, incarnation, report) = entry.remove();
            if self.targets[target].incarnation != incarnation {
                continue;
            }
            let now = self.now();
            match report {
                Report::Outcomes(outcomes) => {
                    self.ramp.record_outcomes(now, &name(target), outcomes);
                }
                Report::Pace {
                    expected_ms,
                    waiting_ms,
                    observed_ms,
                } => {
                    let time_ms = waiting_ms + observed_ms;
                    self.ramp
                        .record_time(now, &name(target), expected_ms, time_ms);
                    let expected_ms = Millis(expected_ms as u64);
                    let observed_ms = Millis(observed_ms as u64);
                    self.pace
                        .record(now, &name(target), expected_ms, observed_ms);
                }
            }
        }
    }

    fn disturb(&mut self) {
        let share = NOISE_SHARE / (1.0 - NOISE_SHARE) * SNAPSHOT_MS as f64 / NOISE_MS;
        let now_ms = self.now_ms as f64;
        for target in &mut self.targets {
            if self.has_noise && target.noise_until_ms < now_ms && self.random.random_bool(share) {
                target.noise_until_ms = now_ms + NOISE_MS;
            }
        }
    }

    /// Draws targets at random, each of which is a candidate with the probability of its weight, and
    /// chooses the first candidate, or that of two which has less waiting work according to a report.
    fn choose(&mut self) -> usize {
        let sender = self.random.random_range(0..self.sender_ages_ms.len());
        let age = (self.sender_ages_ms[sender] / SNAPSHOT_MS) as usize;
        let snapshot = &self.snapshots[age.min(self.snapshots.len() - 1)];
        let mut candidates = Vec::new();
        let has_report = self.random.random_bool(REPORTED_SHARE);
        while candidates.len() < 1 + usize::from(has_report) {
            let target = self.random.random_range(0..self.targets.len());
            let weight = if self.ignores_weights {
                1.0
            } else {
                snapshot[target].0
            };
            if is_candidate(weight, self.random.random()) {
                candidates.push(target);
            }
        }
        let waiting = |&&target: &&usize| snapshot[target].1;
        *candidates
            .iter()
            .min_by(|a, b| waiting(a).total_cmp(&waiting(b)))
            .expect("a candidate")
    }

    fn send(&mut self, index: usize) {
        let now_ms = self.now_ms as f64;
        let work_ms = MAX_WORK_MS.powf(self.random.random::<f64>());
        let target = &mut self.targets[index];
        let is_disturbed = target.noise_until_ms > now_ms;
        let noise = if is_disturbed { NOISE_SLOWNESS } else { 1.0 };
        let waiting_ms = (target.busy_until_ms - now_ms).max(0.0);
        let observed_ms = waiting_ms + work_ms * target.slowness * noise;
        let mut outcome = OutcomeCounts::default();
        let ended_ms = match target.mode {
            Mode::Refuses => {
                outcome.refused = 1;
                2.0
            }
            Mode::Serves if observed_ms <= OBJECTIVE_MS as f64 => {
                outcome.in_time = 1;
                outcome.tight = u32::from(observed_ms * 2.0 > OBJECTIVE_MS as f64);
                observed_ms
            }
            Mode::Serves | Mode::Hangs => {
                outcome.late = 1;
                OBJECTIVE_MS as f64
            }
        };
        let sent = OutcomeCounts {
            sent: 1,
            ..OutcomeCounts::default()
        };
        if target.mode == Mode::Serves {
            target.busy_until_ms = now_ms + observed_ms;
            // The forecast of the choice contains the waiting work, the pace does not.
            let pace = Report::Pace {
                expected_ms: work_ms,
                waiting_ms,
                observed_ms: observed_ms - waiting_ms,
            };
            self.report(index, observed_ms, pace);
        }
        self.sent.push(Sent {
            target: index,
            at_ms: self.now_ms,
            is_in_time: outcome.in_time > 0,
        });
        self.report(index, 0.0, Report::Outcomes(sent));
        self.report(index, ended_ms, Report::Outcomes(outcome));
    }

    /// Has the aggregator hear of a change of `in_ms` with the delay of a report.
    fn report(&mut self, target: usize, in_ms: f64, report: Report) {
        let delay_ms = self.random.random_range(0..=MAX_AGE_MS);
        self.report_count += 1;
        let at_ms = self.now_ms + in_ms as u64 + delay_ms;
        let incarnation = self.targets[target].incarnation;
        let report = (target, incarnation, report);
        self.reports.insert((at_ms, self.report_count), report);
    }
}
