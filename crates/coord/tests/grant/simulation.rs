//! Simulation of one target with its owners and holders, and of a network that loses, duplicates
//! and delays messages.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Instance;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantOwner;
use arbutus_coord::grant::GrantReply;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::OwnerInput;
use arbutus_coord::grant::Slot;
use arbutus_coord::grant::TargetReport;

const STEP_MS: Millis = Millis(5);
const REPORT_INTERVAL_MS: u64 = 250;

/// Deterministic pseudo-random number generator (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound.max(1)
    }

    pub fn random_bool(&mut self, true_percent: u64) -> bool {
        self.below(100) < true_percent
    }
}

/// Faults that the simulation injects.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay_ms: u64,
    pub pauses: bool,
    /// Whether two instances act as owner at once. At first, each has half of the holders.
    pub two_owners: bool,
    /// Whether holders switch between the two owners at random.
    pub holders_switch_owner: bool,
}

pub const NO_FAULTS: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 2,
    pauses: false,
    two_owners: false,
    holders_switch_owner: false,
};

#[derive(Debug)]
enum Message {
    /// A request to an owner from a holder, by their indices.
    Request(usize, usize, GrantRequest),
    /// A reply to the holder with this index.
    Reply(usize, GrantReply),
}

/// A running call with the time at which it ends.
#[derive(Debug)]
struct Call {
    slot: Slot,
    ends_at: Millis,
}

#[derive(Debug)]
pub struct HolderInstance {
    pub holder: GrantHolder,
    calls: Vec<Call>,
    pub waiting: u32,
    paused_until: Millis,
    owner: usize,
    /// The number of calls that were started.
    pub started_calls: u64,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Millis,
    pub random: Random,
    pub faults: Faults,
    pub owners: Vec<GrantOwner>,
    owner_paused_until: Vec<Millis>,
    pub instances: Vec<HolderInstance>,
    /// The target's next report, apart from its running calls.
    pub report: TargetReport,
    /// Whether the target reports its load.
    pub sends_reports: bool,
    pub max_call_ms: u64,
    network: BTreeMap<(Millis, u64), Message>,
    /// The number of copies that the network has accepted, used to order them.
    sent: u64,
    /// The number of messages, counted once each even if lost or duplicated.
    pub messages: u64,
}

impl Simulation {
    pub fn new(seed: u64, holders: usize, capacity: u32, faults: Faults) -> Self {
        let settings = GrantSettings::default();
        let now = Millis(10_000);
        let instance = |index| HolderInstance {
            holder: GrantHolder::new(settings, 100 + index as u64),
            calls: Vec::new(),
            waiting: 0,
            paused_until: Millis::ZERO,
            owner: if faults.two_owners { index % 2 } else { 0 },
            started_calls: 0,
        };
        let owners = 1 + usize::from(faults.two_owners);
        Self {
            now,
            random: Random(seed),
            faults,
            owners: vec![GrantOwner::new(now, settings, true); owners],
            owner_paused_until: vec![Millis::ZERO; owners],
            instances: (0..holders).map(instance).collect(),
            report: TargetReport {
                boot_id: 1,
                warm: true,
                capacity,
                cold_capacity: 1,
                in_flight: 0,
                queued: 0,
                age_ms: Millis::ZERO,
            },
            sends_reports: true,
            max_call_ms: 400,
            network: BTreeMap::new(),
            sent: 0,
            messages: 0,
        }
    }

    /// Replaces the owner by a new one without any state.
    pub fn take_over(&mut self) {
        self.owners[0] = GrantOwner::new(self.now, GrantSettings::default(), false);
        for instance in &mut self.instances {
            instance.holder.change_owner();
        }
    }

    pub fn allowed(&self) -> u32 {
        let allowed = self.owners.iter().map(|owner| owner.allowed(self.now));
        allowed.max().unwrap_or(0)
    }

    /// Returns the sum over all holders of max(granted, in use).
    pub fn granted_or_used(&self) -> u32 {
        let granted_or_used =
            |instance: &HolderInstance| instance.holder.held(self.now).max(self.calls_of(instance));
        self.instances.iter().map(granted_or_used).sum()
    }

    /// Returns the number of running calls at the target. A call of a paused holder also ends at the
    /// target when its time has passed.
    pub fn running(&self) -> u32 {
        self.instances
            .iter()
            .map(|instance| self.calls_of(instance))
            .sum()
    }

    fn calls_of(&self, instance: &HolderInstance) -> u32 {
        let is_running = |call: &&Call| call.ends_at > self.now;
        instance.calls.iter().filter(is_running).count() as u32
    }

    /// Advances the time by one step, in which each holder gets a new call with a probability of
    /// `arrivals_percent`.
    pub fn step(&mut self, arrivals_percent: u64) {
        self.now = self.now + STEP_MS;
        self.deliver();
        self.report_load();
        for index in 0..self.instances.len() {
            self.run_instance(index, arrivals_percent);
        }
        for owner in 0..self.owners.len() {
            if self.faults.pauses && self.random.below(2_000) == 0 {
                self.owner_paused_until[owner] = self.now + Millis(self.random.below(4_000));
            }
            if self.now >= self.owner_paused_until[owner] && self.now.0.is_multiple_of(100) {
                self.handle(owner, OwnerInput::Tick);
            }
        }
    }

    fn run_instance(&mut self, index: usize, arrivals_percent: u64) {
        let now = self.now;
        if self.faults.pauses && self.random.below(1_000) == 0 {
            self.instances[index].paused_until = now + Millis(self.random.below(4_000));
        }
        if self.faults.holders_switch_owner && self.random.below(300) == 0 {
            self.instances[index].owner = self.random.below(2) as usize;
            self.instances[index].holder.change_owner();
        }
        let arrives = self.random.random_bool(arrivals_percent);
        let ends_at = now + Millis(1 + self.random.below(self.max_call_ms));
        let instance = &mut self.instances[index];
        if now < instance.paused_until {
            return;
        }
        for call in instance.calls.extract_if(.., |call| call.ends_at <= now) {
            instance.holder.release(call.slot);
        }
        instance.waiting += u32::from(arrives && instance.waiting < 20);
        while instance.waiting > 0
            && let Some(slot) = instance.holder.try_acquire(now)
        {
            assert!(slot.may_start(now), "a call may start with a new slot");
            instance.waiting -= 1;
            instance.started_calls += 1;
            instance.calls.push(Call { slot, ends_at });
        }
        instance.holder.set_waiting(instance.waiting);
        instance
            .holder
            .verify(now)
            .expect("the holder keeps its invariants");
        let owner = instance.owner;
        if let Some(request) = instance.holder.poll(now) {
            self.send(&|| Message::Request(owner, index, request));
        }
    }

    fn send(&mut self, message: &dyn Fn() -> Message) {
        self.messages += 1;
        let copies = 1 + u64::from(self.random.random_bool(self.faults.duplicate_percent));
        for _ in 0..copies {
            if self.random.random_bool(self.faults.loss_percent) {
                continue;
            }
            // A few messages are much later than the others, as after a pause of the receiver.
            let is_late = self.faults.max_delay_ms > 2 && self.random.random_bool(3);
            let factor = if is_late { 100 } else { 1 };
            let delay = 1 + self.random.below(self.faults.max_delay_ms) * factor;
            self.sent += 1;
            self.network
                .insert((self.now + Millis(delay), self.sent), message());
        }
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now + Millis(1), 0));
        for ((_, number), message) in std::mem::replace(&mut self.network, later) {
            let resumes_at = match &message {
                Message::Request(owner, _, _) => self.owner_paused_until[*owner],
                Message::Reply(holder, _) => self.instances[*holder].paused_until,
            };
            if self.now < resumes_at {
                self.network.insert((resumes_at, number), message);
                continue;
            }
            match message {
                Message::Request(owner, holder, request) => {
                    let holder = Instance::from_index(holder as u32);
                    self.handle(owner, OwnerInput::Request { holder, request });
                }
                Message::Reply(holder, reply) => {
                    self.instances[holder].holder.on_reply(self.now, &reply);
                }
            }
        }
    }

    fn report_load(&mut self) {
        if !self.sends_reports || !self.now.0.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        let report = TargetReport {
            in_flight: self.running(),
            ..self.report
        };
        for owner in 0..self.owners.len() {
            let lost = self.random.random_bool(self.faults.loss_percent);
            if !lost && self.now >= self.owner_paused_until[owner] {
                self.handle(owner, OwnerInput::Report(report));
            }
        }
    }

    pub fn handle(&mut self, owner: usize, input: OwnerInput) {
        let outputs = self.owners[owner].handle(self.now, input);
        self.owners[owner]
            .verify()
            .unwrap_or_else(|error| panic!("{error} after {input:?} at {}", self.now));
        for output in outputs {
            let holder = output.holder.index() as usize;
            self.send(&|| Message::Reply(holder, output.reply));
        }
    }
}
