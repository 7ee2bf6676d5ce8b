//! A model of one instance with a fixed number of slots, in steps of one millisecond.
//!
//! Five organisations with equal weights send requests of four stages. Four of them stay within
//! their share; the first one sends what is missing to the offered load, all of it urgent.

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

/// The number of organisations.
pub const ORGANISATIONS: usize = 5;
const SLOTS: usize = 32;
const DEADLINE_MS: Millis = Millis(1_500);
/// The mean duration of each stage.
const STAGE_MS: [f64; 4] = [20.0, 30.0, 20.0, 130.0];
/// The part of its even share that an organisation within its share sends at most.
const WITHIN_SHARE: f64 = 0.9;
/// The part of the requests of the organisations within their shares that is urgent.
const URGENT: f64 = 0.3;
/// The quantile of the stages' durations by which the completion is predicted.
const QUANTILE: f64 = 0.9;

/// The policies in effect.
#[derive(Clone, Copy, Debug)]
pub struct Policies {
    /// Whether requests are refused early and organisations are kept to their shares.
    pub admission: bool,
    /// Whether organisations and the deployment have limits.
    pub limits: bool,
}

/// What is measured for one load.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The requests that completed within their deadline, relative to the capacity.
    pub goodput: f64,
    /// The part of the offered requests that was refused or left the queue.
    pub refused: f64,
    /// The part of the offered requests that completed after their deadline.
    pub late: f64,
    /// The part of the offered requests that completed in time, by organisation.
    pub attainment: [f64; ORGANISATIONS],
    /// The same for the requests that are not urgent, of the organisations within their shares.
    pub later_class: f64,
}

#[derive(Debug)]
struct Request {
    organisation: usize,
    urgent: bool,
    deadline: Millis,
    stages_ms: [u64; STAGE_MS.len()],
    entry: LimitPermit,
}

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

    /// Returns a duration that varies between half and several times the mean.
    fn duration(&mut self, mean_ms: f64) -> u64 {
        (mean_ms * (0.5 - 0.5 * self.uniform().ln())).round() as u64
    }
}

/// Runs the model at a load relative to the capacity.
pub fn run(load: f64, policies: Policies, seed: u64, duration_ms: u64) -> Measured {
    let settings = AdmissionSettings {
        enabled: policies.admission,
        max_waiting: usize::MAX,
        ..AdmissionSettings::default()
    };
    let mut model = Model {
        random: Random(seed),
        admission: AdmissionQueue::new(Millis::ZERO, settings),
        limits: InFlightLimiter::new(limits(policies.limits), 1),
        stages: StageBudgets::new(StageBudgetSettings::default(), STAGE_MS.len()),
        waiting: BTreeMap::new(),
        running: Vec::new(),
        offered: [0; ORGANISATIONS],
        in_time: [0; ORGANISATIONS],
        later_class: (0, 0),
        refused: 0,
        late: 0,
    };
    let capacity = SLOTS as f64 / STAGE_MS.iter().sum::<f64>();
    let share = capacity / ORGANISATIONS as f64;
    let within = share * load.min(WITHIN_SHARE);
    let first = capacity * load - within * (ORGANISATIONS - 1) as f64;
    for step in 0..duration_ms {
        let now = Millis(step);
        for organisation in 0..ORGANISATIONS {
            let rate = if organisation == 0 { first } else { within };
            // At most one arrival per millisecond and organisation; the rates are far below that.
            if model.random.uniform() <= rate {
                model.arrive(now, organisation);
            }
        }
        model.finish(now);
        model.start(now);
    }
    model.measured(capacity * duration_ms as f64)
}

fn limits(enabled: bool) -> LimitTree {
    let slots = SLOTS as u32;
    let all = LimitRule {
        names: vec!["*".to_owned()],
        max_in_flight: slots * 4,
        within: Vec::new(),
    };
    let settings = LimitsSettings {
        max_in_flight: enabled.then_some(slots * 8),
        organisations: if enabled { vec![all] } else { Vec::new() },
    };
    LimitTree::new(settings).expect("the limits are valid")
}

struct Model {
    random: Random,
    admission: AdmissionQueue,
    limits: InFlightLimiter,
    stages: StageBudgets,
    waiting: BTreeMap<Ticket, Request>,
    running: Vec<(Millis, Request)>,
    offered: [u64; ORGANISATIONS],
    in_time: [u64; ORGANISATIONS],
    later_class: (u64, u64),
    refused: u64,
    late: u64,
}

impl Model {
    fn arrive(&mut self, now: Millis, organisation: usize) {
        let urgent = organisation == 0 || self.random.uniform() < URGENT;
        self.offered[organisation] += 1;
        self.later_class.0 += u64::from(!urgent);
        let class = if urgent { "urgent" } else { "later" };
        let path = LimitPath::new(&organisation.to_string(), class, "ask");
        let Ok(entry) = self.limits.try_acquire(now, &path) else {
            self.refused += 1;
            return;
        };
        let expected_ms = self
            .stages
            .expected_latency(0, QUANTILE)
            .unwrap_or(Millis(200));
        let mean_ms = self.stages.expected_latency(0, 0.5).unwrap_or(Millis(200));
        let arrival = AdmissionRequest {
            organisation: Organisation::from_index(organisation as u32),
            weight: 1,
            priority: u8::from(!urgent),
            deadline: now + DEADLINE_MS,
            expected_ms,
            slot_ms: mean_ms,
        };
        let Ok(ticket) = self.admission.try_enqueue(now, arrival) else {
            self.limits.release(entry);
            self.refused += 1;
            return;
        };
        let request = Request {
            organisation,
            urgent,
            deadline: arrival.deadline,
            stages_ms: STAGE_MS.map(|mean| self.random.duration(mean)),
            entry,
        };
        self.waiting.insert(ticket, request);
    }

    fn start(&mut self, now: Millis) {
        for ticket in self.admission.take_expired(now) {
            if let Some(request) = self.waiting.remove(&ticket) {
                self.limits.release(request.entry);
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
            self.limits.release(request.entry);
            if now <= request.deadline {
                self.in_time[request.organisation] += 1;
                self.later_class.1 += u64::from(!request.urgent);
            } else {
                self.late += 1;
            }
        }
    }

    fn measured(&self, capacity: f64) -> Measured {
        let offered: u64 = self.offered.iter().sum();
        let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let mut attainment = [0.0; ORGANISATIONS];
        for (index, value) in attainment.iter_mut().enumerate() {
            *value = part(self.in_time[index], self.offered[index]);
        }
        Measured {
            goodput: self.in_time.iter().sum::<u64>() as f64 / capacity,
            refused: part(self.refused, offered),
            late: part(self.late, offered),
            attainment,
            later_class: part(self.later_class.1, self.later_class.0),
        }
    }
}
