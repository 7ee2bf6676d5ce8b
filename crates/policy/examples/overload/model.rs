//! A simulation of one instance with a fixed number of slots, in steps of one millisecond.
//!
//! Five organisations with equal weights send requests with four stages each. Organisations 1 to 4
//! stay within their shares. Organisation 0 sends the rest of the offered load; all its requests
//! are urgent.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Organisation;
use arbutus_policy::admission::AdmissionQueue;
use arbutus_policy::admission::AdmissionRequest;
use arbutus_policy::admission::AdmissionSettings;
use arbutus_policy::admission::Ticket;
use arbutus_policy::limits::InFlightLimiter;
use arbutus_policy::limits::LimitPath;
use arbutus_policy::limits::LimitPermit;
use arbutus_policy::limits::LimitRule;
use arbutus_policy::limits::LimitTree;
use arbutus_policy::limits::LimitsSettings;
use arbutus_policy::stage_budget::StageBudgetSettings;
use arbutus_policy::stage_budget::StageBudgets;

/// The number of organisations. Organisation 0 exceeds its share when the load is high.
pub const ORGANISATIONS: usize = 5;
const SLOTS: usize = 32;
const DEADLINE_MS: Millis = Millis(1_500);
/// The mean duration of each stage, in milliseconds.
const STAGE_MS: [f64; 4] = [20.0, 30.0, 20.0, 130.0];
/// The highest load that each of the organisations 1 to 4 sends, relative to an equal share of the
/// capacity.
const MAX_LOAD_WITHIN_SHARE: f64 = 0.9;
/// The fraction of urgent requests among those of the organisations 1 to 4.
const URGENT_FRACTION: f64 = 0.3;
/// The quantile of the stage durations from which the completion of a request is predicted.
const PREDICTION_QUANTILE: f64 = 0.9;

/// The policies that are in effect in a run.
#[derive(Clone, Copy, Debug)]
pub struct Policies {
    /// Whether requests that would miss their deadline are refused, and slots are shared by
    /// weighted fair queueing.
    pub admission: bool,
    /// Whether the deployment and each organisation have a limit on requests in progress.
    pub limits: bool,
}

/// The results of one run; all are fractions.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// The number of requests that completed within their deadline, relative to the number that the
    /// slots can complete in the same time.
    pub goodput: f64,
    /// The fraction of the offered requests that was refused, or removed from the queue.
    pub refused: f64,
    /// The fraction of the offered requests that completed after their deadline.
    pub late: f64,
    /// The fraction of the offered requests that completed within their deadline, by organisation.
    pub attainment: [f64; ORGANISATIONS],
    /// The fraction of the non-urgent requests that completed within their deadline. Only the
    /// organisations 1 to 4 send such requests.
    pub non_urgent_attainment: f64,
}

#[derive(Debug)]
struct Request {
    organisation: usize,
    urgent: bool,
    deadline: Millis,
    stages_ms: [u64; STAGE_MS.len()],
    permit: LimitPermit,
}

/// A pseudo-random number generator, `SplitMix64`.
#[derive(Debug)]
struct Random(u64);

impl Random {
    /// Returns a uniformly distributed number above 0 and up to 1.
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64 + f64::EPSILON
    }

    /// Returns a random duration: half of the mean plus an exponentially distributed time with the
    /// other half as its mean.
    fn duration(&mut self, mean_ms: f64) -> u64 {
        (mean_ms * (0.5 - 0.5 * self.uniform().ln())).round() as u64
    }
}

/// Runs the simulation. A `load` of 1 equals the capacity of the slots.
pub fn run(load: f64, policies: Policies, seed: u64, duration_ms: u64) -> Measurements {
    let settings = AdmissionSettings {
        enabled: policies.admission,
        max_queue_length: usize::MAX,
        ..AdmissionSettings::default()
    };
    let mut simulation = Simulation {
        random: Random(seed),
        admission: AdmissionQueue::new(Millis::ZERO, settings),
        limits: InFlightLimiter::new(limit_tree(policies.limits), 1),
        stages: StageBudgets::new(StageBudgetSettings::default(), STAGE_MS.len()),
        waiting: BTreeMap::new(),
        running: Vec::new(),
        offered: [0; ORGANISATIONS],
        within_deadline: [0; ORGANISATIONS],
        non_urgent: (0, 0),
        refused: 0,
        late: 0,
    };
    let capacity = SLOTS as f64 / STAGE_MS.iter().sum::<f64>();
    let share = capacity / ORGANISATIONS as f64;
    let rate_within_share = share * load.min(MAX_LOAD_WITHIN_SHARE);
    let rate_of_organisation_0 = capacity * load - rate_within_share * (ORGANISATIONS - 1) as f64;
    for step in 0..duration_ms {
        let now = Millis(step);
        for organisation in 0..ORGANISATIONS {
            let rate = if organisation == 0 {
                rate_of_organisation_0
            } else {
                rate_within_share
            };
            // The rate is far below one request per millisecond, so one random number per step is
            // enough.
            if simulation.random.uniform() <= rate {
                simulation.arrive(now, organisation);
            }
        }
        simulation.finish(now);
        simulation.start(now);
    }
    simulation.measurements(capacity * duration_ms as f64)
}

fn limit_tree(enabled: bool) -> LimitTree {
    let slots = SLOTS as u32;
    let per_organisation = LimitRule {
        names: vec!["*".to_owned()],
        max_in_flight: slots * 4,
        child_rules: Vec::new(),
    };
    let settings = LimitsSettings {
        max_in_flight: enabled.then_some(slots * 8),
        organisations: if enabled {
            vec![per_organisation]
        } else {
            Vec::new()
        },
    };
    LimitTree::new(settings).expect("the limits should be valid")
}

struct Simulation {
    random: Random,
    admission: AdmissionQueue,
    limits: InFlightLimiter,
    stages: StageBudgets,
    waiting: BTreeMap<Ticket, Request>,
    running: Vec<(Millis, Request)>,
    offered: [u64; ORGANISATIONS],
    within_deadline: [u64; ORGANISATIONS],
    /// The number of non-urgent requests that were offered, and the number of those that completed
    /// within their deadline.
    non_urgent: (u64, u64),
    refused: u64,
    late: u64,
}

impl Simulation {
    fn arrive(&mut self, now: Millis, organisation: usize) {
        let urgent = organisation == 0 || self.random.uniform() < URGENT_FRACTION;
        self.offered[organisation] += 1;
        self.non_urgent.0 += u64::from(!urgent);
        let class = if urgent { "urgent" } else { "later" };
        let path = LimitPath::new(&organisation.to_string(), class, "ask");
        let Ok(permit) = self.limits.try_acquire(now, &path) else {
            self.refused += 1;
            return;
        };
        let expected_ms = self
            .stages
            .expected_latency(0, PREDICTION_QUANTILE)
            .unwrap_or(Millis(200));
        let mean_ms = self.stages.expected_latency(0, 0.5).unwrap_or(Millis(200));
        let admission_request = AdmissionRequest {
            organisation: Organisation::from_index(organisation as u32),
            weight: 1,
            priority: u8::from(!urgent),
            deadline: now + DEADLINE_MS,
            expected_ms,
            slot_ms: mean_ms,
        };
        let Ok(ticket) = self.admission.try_enqueue(now, admission_request) else {
            self.limits.release(permit);
            self.refused += 1;
            return;
        };
        let request = Request {
            organisation,
            urgent,
            deadline: admission_request.deadline,
            stages_ms: STAGE_MS.map(|mean| self.random.duration(mean)),
            permit,
        };
        self.waiting.insert(ticket, request);
    }

    /// Removes the requests that can no longer meet their deadline, and starts others in the free
    /// slots.
    fn start(&mut self, now: Millis) {
        for ticket in self.admission.take_expired(now) {
            if let Some(request) = self.waiting.remove(&ticket) {
                self.limits.release(request.permit);
                self.refused += 1;
            }
        }
        while self.running.len() < SLOTS {
            let Some(ticket) = self.admission.dequeue(now) else {
                return;
            };
            if let Some(request) = self.waiting.remove(&ticket) {
                let ends_at = now + Millis(request.stages_ms.iter().sum());
                self.running.push((ends_at, request));
            }
        }
    }

    fn finish(&mut self, now: Millis) {
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(ends_at, _)| *ends_at <= now)
            .collect();
        for (_, request) in ended {
            for (stage, &latency_ms) in request.stages_ms.iter().enumerate() {
                self.stages.record(now, stage, Millis(latency_ms));
            }
            self.limits.release(request.permit);
            if now <= request.deadline {
                self.within_deadline[request.organisation] += 1;
                self.non_urgent.1 += u64::from(!request.urgent);
            } else {
                self.late += 1;
            }
        }
    }

    fn measurements(&self, max_completed: f64) -> Measurements {
        let offered: u64 = self.offered.iter().sum();
        let fraction = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let mut attainment = [0.0; ORGANISATIONS];
        for (index, value) in attainment.iter_mut().enumerate() {
            *value = fraction(self.within_deadline[index], self.offered[index]);
        }
        Measurements {
            goodput: self.within_deadline.iter().sum::<u64>() as f64 / max_completed,
            refused: fraction(self.refused, offered),
            late: fraction(self.late, offered),
            attainment,
            non_urgent_attainment: fraction(self.non_urgent.1, self.non_urgent.0),
        }
    }
}
