//! A simulated deployment in which a version is rolled out: instances, the store, messages that are
//! lost, late and repeated, and targets with faults.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::rollout_scenario::Condition;
use crate::rollout_scenario::Harm;
use crate::rollout_scenario::Outcome;
use crate::rollout_scenario::Request;
use crate::rollout_scenario::Scenario;
use crate::rollout_scenario::duration_spread;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_policy::serving::rollout::DeciderOutput;
use arbutus_policy::serving::rollout::Directive;
use arbutus_policy::serving::rollout::EvidenceReport;
use arbutus_policy::serving::rollout::REPORT_INTERVAL_MS;
use arbutus_policy::serving::rollout::ResponseOutcome;
use arbutus_policy::serving::rollout::RolloutDecider;
use arbutus_policy::serving::rollout::RolloutLimits;
use arbutus_policy::serving::rollout::RolloutMember;
use arbutus_policy::serving::rollout::RolloutOrder;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_policy::serving::rollout::StoredStatus;
use arbutus_policy::serving::rollout::UsableTargets;
use arbutus_policy::serving::rollout::VersionSide;
use arbutus_policy::serving::rollout::WriteOutcome;

const STEP_MS: u64 = 10;
const DECIDER_STEP_MS: u64 = 50;
/// Time after which instances notice that another one has ended or is unreachable.
const DETECTION_MS: u64 = 1_500;
/// Time for which the platform lists an instance that has ended.
const LISTED_MS: u64 = 3_000;
/// Time between the listing of an instance that has started and its first request.
const START_MS: u64 = 1_000;
/// Number of bad responses from which on [`RolloutLimits::rollback_ms`] counts.
const COUNTED_BAD_RESPONSES: u64 = 50;

#[derive(Debug)]
enum Event {
    Report(usize, EvidenceReport),
    Directive(usize, Directive),
    /// Status that a watch shows, with the revision of the object.
    Watch(usize, StoredStatus),
    Read(usize),
    /// Sender, state, expected revision, and whether it gets a response.
    Write(usize, RolloutState, u64, bool),
    WriteEnd(usize, WriteOutcome),
    ReadEnd(usize, Option<StoredStatus>),
}

struct Instance {
    name: String,
    member: RolloutMember,
    incarnation: u64,
    decider: Option<RolloutDecider>,
    directive: Option<Directive>,
    reports_to: Option<usize>,
    begun_at: u64,
    serves_from: u64,
    killed_at: Option<u64>,
}

pub struct World {
    scenario: Scenario,
    limits: RolloutLimits,
    rng: ChaCha8Rng,
    now: u64,
    instances: Vec<Instance>,
    order: RolloutOrder,
    status: StoredStatus,
    events: BTreeMap<u64, Vec<Event>>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    paces: BTreeMap<(VersionSide, usize), f64>,
    /// Times of the recent requests to each new target.
    recent: BTreeMap<usize, Vec<u64>>,
    /// New targets in the order in which they are used.
    ranked_new: Vec<usize>,
    outcome: Outcome,
}

impl World {
    pub fn new(scenario: Scenario, mut rng: ChaCha8Rng) -> Self {
        let order = RolloutOrder {
            service: "engines".to_owned(),
            version: "v2".to_owned(),
            duration_ms: Millis(scenario.duration_ms),
            revision: 7,
        };
        let instance = |index: usize| Instance {
            name: format!("i{index}"),
            member: RolloutMember::new(&format!("i{index}"), 1),
            incarnation: 1,
            decider: None,
            directive: None,
            reports_to: None,
            begun_at: 100 + index as u64 * 37 % 400,
            serves_from: 0,
            killed_at: None,
        };
        let mut paces = BTreeMap::new();
        for (side, count) in [
            (VersionSide::Old, scenario.old_targets),
            (VersionSide::New, scenario.new_targets),
        ] {
            for target in 0..count {
                paces.insert((side, target), rng.random_range(0.8..1.3));
            }
        }
        let mut world = Self {
            instances: (0..scenario.members).map(instance).collect(),
            limits: RolloutLimits::default(),
            rng,
            now: 0,
            order,
            status: StoredStatus {
                object_revision: 7,
                state: None,
            },
            events: BTreeMap::new(),
            ends: BinaryHeap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            paces,
            recent: BTreeMap::new(),
            ranked_new: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        };
        world.ranked_new = world.scenario.ranked_new_targets(&world.order);
        if let Some(side) = world.scenario.slow_target {
            let slow = match side {
                VersionSide::Old => 0,
                VersionSide::New => world.ranked_new[0],
            };
            world.paces.insert((side, slow), 6.0);
        }
        world
    }

    /// Simulates the order, and some time after its limit.
    pub fn run(mut self) -> Outcome {
        while self.now < self.scenario.duration_ms + 4_000 {
            self.step();
            self.now += STEP_MS;
        }
        self.outcome
    }

    fn step(&mut self) {
        self.start_and_kill();
        for event in self.events.remove(&self.now).unwrap_or_default() {
            self.handle(event);
        }
        self.end_requests();
        self.send_requests();
        for index in 0..self.instances.len() {
            if self.is_alive(index) && self.instances[index].begun_at <= self.now {
                self.step_instance(index);
            }
        }
    }

    fn start_and_kill(&mut self) {
        for index in 0..self.instances.len() {
            let restarts = self.instances[index]
                .killed_at
                .is_some_and(|killed_at| self.now == killed_at + 4_000);
            let instance = &mut self.instances[index];
            if restarts {
                instance.killed_at = None;
                instance.incarnation += 1;
                instance.member = RolloutMember::new(&instance.name, instance.incarnation);
                instance.begun_at = self.now;
                instance.serves_from = self.now + START_MS;
            }
        }
        for index in 0..self.instances.len() {
            if self.instances[index].member.order().is_none()
                && self.instances[index].begun_at <= self.now
                && self.is_alive(index)
            {
                let own = self.requests.values().filter(|request| {
                    request.instance == index && request.side == VersionSide::Old
                });
                let in_flight = own.count() as u64;
                let order = self.order.clone();
                let member = &mut self.instances[index].member;
                member.begin(Millis(self.now), &order, in_flight);
                if let Some(state) = self.status.state {
                    member.record_state(order.revision, state);
                }
            }
        }
        if self.scenario.decider_kills.contains(&self.now) {
            let deciders: Vec<usize> = (0..self.instances.len())
                .filter(|&index| self.instances[index].decider.is_some())
                .collect();
            for index in deciders {
                let instance = &mut self.instances[index];
                instance.killed_at = Some(self.now);
                instance.decider = None;
                instance.directive = None;
                self.requests.retain(|_, request| request.instance != index);
            }
        }
    }

    fn is_alive(&self, index: usize) -> bool {
        self.instances[index].killed_at.is_none()
    }

    /// Returns whether an instance is in the smaller part of a cut network.
    fn is_cut(&self, index: usize) -> bool {
        self.scenario.cut.is_some_and(|(from, to, part, _)| {
            (from..to).contains(&self.now) && (index as f64) < part * self.scenario.members as f64
        })
    }

    fn reaches_store(&self, index: usize) -> bool {
        let outage = self.scenario.store_outage;
        let has_outage = outage.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let is_cut = self.is_cut(index) && self.scenario.cut.is_some_and(|cut| cut.3);
        !is_cut && !has_outage
    }

    /// Returns whether an instance takes another one for a live member.
    fn sees(&self, index: usize, other: usize) -> bool {
        let is_listed = self.instances[other]
            .killed_at
            .is_none_or(|killed_at| self.now < killed_at + DETECTION_MS);
        let is_cut_off = self.is_cut(index) != self.is_cut(other)
            && self
                .scenario
                .cut
                .is_some_and(|(from, ..)| self.now >= from + DETECTION_MS);
        index == other || (is_listed && !is_cut_off)
    }

    fn owner(&self, index: usize) -> usize {
        let key = self.order.service.as_bytes();
        let visible = (0..self.instances.len()).filter(|&other| self.sees(index, other));
        let weight = |other: usize| rendezvous::weight(key, &self.instances[other].name);
        visible
            .max_by_key(|&other| weight(other))
            .expect("an instance sees itself")
    }

    fn step_instance(&mut self, index: usize) {
        let phase = index as u64 * 70 % REPORT_INTERVAL_MS.0 / STEP_MS * STEP_MS;
        if (self.now + phase).is_multiple_of(REPORT_INTERVAL_MS.0) {
            self.send_report(index);
        }
        if self.now.is_multiple_of(DECIDER_STEP_MS) && self.instances[index].decider.is_some() {
            self.step_decider(index);
        }
    }

    /// Sends a report to the decider; the instance becomes the decider if it is ranked first.
    fn send_report(&mut self, index: usize) {
        let now = Millis(self.now);
        let owner = self.owner(index);
        let order = self.order.clone();
        let limits = self.limits;
        let instance = &mut self.instances[index];
        if owner == index && instance.decider.is_none() {
            let age_ms = now - Millis(instance.begun_at);
            let decider = RolloutDecider::new(now, &instance.name, order, limits, age_ms);
            instance.decider = Some(decider);
        } else if owner != index {
            instance.decider = None;
        }
        if instance.reports_to.replace(owner) != Some(owner) {
            instance.member.mark_unreported();
        }
        if let Some(report) = instance.member.report(now) {
            self.send(index, owner, Event::Report(owner, report));
        }
    }

    fn step_decider(&mut self, index: usize) {
        let now = Millis(self.now);
        let listed: BTreeSet<String> = self
            .instances
            .iter()
            .filter(|it| it.killed_at.is_none_or(|at| self.now < at + LISTED_MS))
            .map(|it| it.name.clone())
            .collect();
        let targets = UsableTargets {
            old: self.scenario.old_targets as u32,
            new: self.scenario.new_targets as u32,
        };
        let instance = &mut self.instances[index];
        let Some(decider) = &mut instance.decider else {
            return;
        };
        decider.set_instances(now, listed);
        decider.set_targets(now, targets);
        let outputs = decider.step(now);
        let reason = (
            self.now,
            format!("{:?} {}", decider.phase(), decider.reason()),
        );
        if self
            .outcome
            .reasons
            .last()
            .is_none_or(|last| last.1 != reason.1)
        {
            self.outcome.reasons.push(reason);
        }
        for output in outputs {
            match output {
                DeciderOutput::Directive(directive) => {
                    self.instances[index].directive = Some(directive);
                }
                DeciderOutput::ReadStatus => {
                    let delay_ms = self.rng.random_range(2..15) * STEP_MS;
                    self.schedule(delay_ms, Event::Read(index));
                }
                DeciderOutput::WriteState {
                    state,
                    object_revision,
                } => self.write(index, state, object_revision),
            }
        }
    }

    fn write(&mut self, index: usize, state: RolloutState, revision: u64) {
        let delay_ms = self.rng.random_range(2..15) * STEP_MS;
        let is_lost = self.rng.random_bool(self.scenario.lost_writes);
        if !self.reaches_store(index) || is_lost {
            if self.reaches_store(index) && self.rng.random_bool(0.5) {
                // The write takes effect, possibly only after the call has ended.
                let delay_ms = self.rng.random_range(2..90) * STEP_MS;
                self.schedule(delay_ms, Event::Write(index, state, revision, false));
            }
            self.schedule(500, Event::WriteEnd(index, WriteOutcome::Unknown));
        } else {
            self.schedule(delay_ms, Event::Write(index, state, revision, true));
        }
    }

    /// Sends a message between instances, which may be lost, repeated or late.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.is_cut(from) != self.is_cut(to) {
            return;
        }
        let is_faulty = self.rng.random_bool(self.scenario.message_faults);
        if !is_faulty || from == to {
            let delay_ms = self.rng.random_range(1..6) * STEP_MS;
            self.schedule(delay_ms, event);
            return;
        }
        let copies = self.rng.random_range(0..3);
        let copy = |event: &Event| match event {
            Event::Report(to, report) => Event::Report(*to, report.clone()),
            Event::Directive(to, directive) => Event::Directive(*to, directive.clone()),
            _ => unreachable!("only messages between instances are sent"),
        };
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..70) * STEP_MS;
            self.schedule(delay_ms, copy(&event));
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let at = self.now + delay_ms.max(STEP_MS);
        self.events.entry(at).or_default().push(event);
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Report(to, report) => {
                let from = report.instance[1..].parse().expect("a number");
                let instance = &mut self.instances[to];
                if let Some(decider) = &mut instance.decider {
                    decider.merge(now, &report);
                    if let Some(directive) = instance.directive.clone() {
                        self.send(to, from, Event::Directive(from, directive));
                    }
                }
            }
            Event::Directive(to, directive) => {
                let member = &mut self.instances[to].member;
                let phase = member.phase(now);
                member.apply(now, directive);
                let has_changed = member.phase(now) != phase;
                if has_changed && self.is_alive(to) {
                    self.send_report(to);
                }
            }
            Event::Watch(to, status) => {
                let instance = &mut self.instances[to];
                if let Some(state) = status.state {
                    instance.member.record_state(self.order.revision, state);
                }
                if let Some(decider) = &mut instance.decider {
                    decider.record_status(now, status);
                }
            }
            Event::Read(index) => {
                let status = self.reaches_store(index).then_some(self.status);
                self.schedule(STEP_MS, Event::ReadEnd(index, status));
            }
            Event::ReadEnd(index, status) => {
                if let Some(decider) = &mut self.instances[index].decider {
                    match status {
                        Some(status) => decider.record_status(now, status),
                        None => decider.record_read_failure(now),
                    }
                }
            }
            Event::Write(index, state, revision, gets_response) => {
                let outcome = self.apply_write(state, revision);
                if gets_response {
                    self.schedule(STEP_MS, Event::WriteEnd(index, outcome));
                }
            }
            Event::WriteEnd(index, outcome) => {
                if let Some(decider) = &mut self.instances[index].decider {
                    decider.record_write(now, outcome);
                }
            }
        }
    }

    fn apply_write(&mut self, state: RolloutState, revision: u64) -> WriteOutcome {
        if self.status.object_revision != revision {
            return WriteOutcome::Conflict;
        }
        self.status = StoredStatus {
            object_revision: revision + 1,
            state: Some(state),
        };
        if state != RolloutState::InProgress {
            self.outcome.decisions.push((self.now, state));
            let old = self
                .requests
                .values()
                .filter(|it| it.side == VersionSide::Old);
            self.outcome.old_in_flight_at_end = old.count();
        }
        for index in 0..self.instances.len() {
            let delay_ms = self.rng.random_range(2..50) * STEP_MS;
            let arrives_at = self.now + delay_ms;
            let cut_until = self.scenario.cut.filter(|cut| cut.3 && self.is_cut(index));
            let at = cut_until.map_or(arrives_at, |(_, to, ..)| to.max(arrives_at) + 500);
            let watch = Event::Watch(index, self.status);
            self.schedule(at / STEP_MS * STEP_MS - self.now, watch);
        }
        WriteOutcome::Written {
            object_revision: revision + 1,
        }
    }

    fn send_requests(&mut self) {
        let is_in = |window: Option<(u64, u64)>, now: u64| {
            window.is_some_and(|(from, to)| (from..to).contains(&now))
        };
        let factor = if is_in(self.scenario.burst, self.now) {
            4.0
        } else {
            1.0
        };
        let mean = self.scenario.rate_per_s * factor * STEP_MS as f64 / 1_000.0;
        let whole = mean.floor() as usize;
        let count = whole + usize::from(self.rng.random_bool(mean - mean.floor()));
        for _ in 0..count {
            let index = self.rng.random_range(0..self.instances.len());
            if self.is_alive(index) && self.instances[index].serves_from <= self.now {
                self.send_request(index, is_in(self.scenario.service_fault, self.now));
            }
        }
    }

    fn send_request(&mut self, index: usize, service_fails: bool) {
        let now = Millis(self.now);
        let last = self.scenario.routes.len() - 1;
        let route = self.scenario.route(self.rng.random_range(0.0..1.0));
        let (name, _, median_ms) = self.scenario.routes[route];
        let random = self.rng.random_range(0.0..1.0);
        let member = &mut self.instances[index].member;
        let side = member.choose_side(now, name, random);
        member.record_send(now, side);
        let canary = member.canary_targets(now);
        let target = match side {
            VersionSide::Old => self.rng.random_range(0..self.scenario.old_targets),
            VersionSide::New => {
                let all = self.ranked_new.len();
                let count = canary.map_or(all, |count| count as usize);
                self.ranked_new[self.rng.random_range(0..count)]
            }
        };
        let spread = duration_spread(median_ms, &mut self.rng);
        let mut duration_ms = median_ms * spread * self.paces[&(side, target)];
        let is_bad = side == VersionSide::New && self.is_bad_response(route == last, target);
        let harm = self.scenario.bad.filter(|_| is_bad).map(|bad| bad.harm);
        if harm == Some(Harm::IsSlow) {
            duration_ms *= 5.0;
        }
        let failed = harm == Some(Harm::Fails)
            || self
                .rng
                .random_bool(if service_fails { 0.4 } else { 0.005 });
        if self.now < self.scenario.duration_ms {
            self.outcome.sent_all += 1;
            self.outcome.sent_new += u64::from(side == VersionSide::New);
        }
        let has_completed = self.status.state == Some(RolloutState::Completed);
        if side == VersionSide::New {
            self.outcome.last_sent_new_at = self.now;
        } else if has_completed {
            self.outcome.sent_old_after_end += 1;
        }
        let id = self.next_request;
        self.next_request += 1;
        self.ends
            .push(Reverse((self.now + duration_ms.max(1.0) as u64, id)));
        let request = Request {
            instance: index,
            incarnation: self.instances[index].incarnation,
            route,
            side,
            target,
            sent_at: self.now,
            failed,
            is_bad,
        };
        self.requests.insert(id, request);
    }

    fn is_bad_response(&mut self, is_rare_route: bool, target: usize) -> bool {
        let recent = self.recent.entry(target).or_default();
        recent.retain(|&sent_at| sent_at + 1_000 > self.now);
        recent.push(self.now);
        let load = recent.len() as f64;
        let usual_load = self.scenario.rate_per_s / self.scenario.old_targets as f64;
        let Some(bad) = self.scenario.bad else {
            return false;
        };
        let holds = match bad.condition {
            Condition::Always => true,
            Condition::OnRareRoute => is_rare_route,
            Condition::UnderLoad => load >= usual_load * 0.7,
            Condition::Later(from) => self.now >= from,
        };
        holds && self.rng.random_bool(bad.fraction)
    }

    fn end_requests(&mut self) {
        while let Some(&Reverse((ends_at, id))) = self.ends.peek()
            && ends_at <= self.now
        {
            self.ends.pop();
            let Some(request) = self.requests.remove(&id) else {
                continue;
            };
            if request.is_bad {
                self.outcome.bad_responses += 1;
                if self.outcome.bad_responses == COUNTED_BAD_RESPONSES {
                    self.outcome.counted_at = Some(self.now);
                }
            }
            let instance = &mut self.instances[request.instance];
            if instance.incarnation != request.incarnation {
                continue;
            }
            let outcome = if request.failed {
                ResponseOutcome::Failure
            } else {
                ResponseOutcome::Success
            };
            instance.member.record_end(
                Millis(self.now),
                self.scenario.routes[request.route].0,
                request.side,
                &format!("n{}", request.target),
                outcome,
                Millis(self.now - request.sent_at),
            );
        }
    }
}
