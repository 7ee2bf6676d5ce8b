//! One target, its owners and holders, and a network that loses, repeats and delays messages.

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

/// A sequence of random numbers.
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

    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u64,
    pub repeat_percent: u64,
    pub max_delay_ms: u64,
    pub pauses: bool,
    /// Whether there are two owners, and half of the holders believe in each at first.
    pub two_owners: bool,
    /// Whether holders change their belief at random.
    pub beliefs_change: bool,
}

pub const QUIET: Faults = Faults {
    loss_percent: 0,
    repeat_percent: 0,
    max_delay_ms: 2,
    pauses: false,
    two_owners: false,
    beliefs_change: false,
};

#[derive(Debug)]
enum Message {
    Request(usize, usize, GrantRequest),
    Reply(usize, GrantReply),
}

/// A call with the time at which it ends.
#[derive(Debug)]
struct Call {
    slot: Slot,
    ends_at: Millis,
}

#[derive(Debug)]
pub struct Node {
    pub holder: GrantHolder,
    calls: Vec<Call>,
    pub waiting: u32,
    paused_until: Millis,
    owner: usize,
    pub served: u64,
}

#[derive(Debug)]
pub struct Deployment {
    pub now: Millis,
    pub random: Random,
    pub faults: Faults,
    pub owners: Vec<GrantOwner>,
    owner_paused_until: Vec<Millis>,
    pub nodes: Vec<Node>,
    pub report: TargetReport,
    pub reports: bool,
    pub max_call_ms: u64,
    network: BTreeMap<(Millis, u64), Message>,
    sent: u64,
    pub messages: u64,
}

impl Deployment {
    pub fn new(seed: u64, holders: usize, capacity: u32, faults: Faults) -> Self {
        let settings = GrantSettings::default();
        let now = Millis(10_000);
        let node = |index| Node {
            holder: GrantHolder::new(settings, 100 + index as u64),
            calls: Vec::new(),
            waiting: 0,
            paused_until: Millis::ZERO,
            owner: if faults.two_owners { index % 2 } else { 0 },
            served: 0,
        };
        let owners = 1 + usize::from(faults.two_owners);
        Self {
            now,
            random: Random(seed),
            faults,
            owners: vec![GrantOwner::new(now, settings, true); owners],
            owner_paused_until: vec![Millis::ZERO; owners],
            nodes: (0..holders).map(node).collect(),
            report: TargetReport {
                boot_id: 1,
                warm: true,
                capacity,
                cold_capacity: 1,
                in_flight: 0,
                queued: 0,
                age_ms: Millis::ZERO,
            },
            reports: true,
            max_call_ms: 400,
            network: BTreeMap::new(),
            sent: 0,
            messages: 0,
        }
    }

    /// Replaces the owner by a new one that knows nothing.
    pub fn take_over(&mut self) {
        self.owners[0] = GrantOwner::new(self.now, GrantSettings::default(), false);
        for node in &mut self.nodes {
            node.holder.change_owner();
        }
    }

    pub fn allowed(&self) -> u32 {
        let allowed = self.owners.iter().map(|owner| owner.allowed(self.now));
        allowed.max().unwrap_or(0)
    }

    /// Returns the sum over all holders of max(granted, in use).
    pub fn in_hand(&self) -> u32 {
        let in_hand = |node: &Node| node.holder.held(self.now).max(self.calls_of(node));
        self.nodes.iter().map(in_hand).sum()
    }

    /// Returns the calls that run at the target; those of a paused holder end there in time.
    pub fn running(&self) -> u32 {
        self.nodes.iter().map(|node| self.calls_of(node)).sum()
    }

    fn calls_of(&self, node: &Node) -> u32 {
        let runs = |call: &&Call| call.ends_at > self.now;
        node.calls.iter().filter(runs).count() as u32
    }

    /// Advances the time by one step; `arrivals_percent` of the holders get a new call.
    pub fn step(&mut self, arrivals_percent: u64) {
        self.now = self.now + STEP_MS;
        self.deliver();
        self.report_load();
        for index in 0..self.nodes.len() {
            self.run_node(index, arrivals_percent);
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

    fn run_node(&mut self, index: usize, arrivals_percent: u64) {
        let now = self.now;
        if self.faults.pauses && self.random.below(1_000) == 0 {
            self.nodes[index].paused_until = now + Millis(self.random.below(4_000));
        }
        if self.faults.beliefs_change && self.random.below(300) == 0 {
            self.nodes[index].owner = self.random.below(2) as usize;
            self.nodes[index].holder.change_owner();
        }
        let arrives = self.random.percent(arrivals_percent);
        let ends_at = now + Millis(1 + self.random.below(self.max_call_ms));
        let node = &mut self.nodes[index];
        if now < node.paused_until {
            return;
        }
        for call in node.calls.extract_if(.., |call| call.ends_at <= now) {
            node.holder.release(call.slot);
        }
        node.waiting += u32::from(arrives && node.waiting < 20);
        while node.waiting > 0
            && let Some(slot) = node.holder.try_acquire(now)
        {
            assert!(slot.may_start(now), "a call may start with a fresh slot");
            node.waiting -= 1;
            node.served += 1;
            node.calls.push(Call { slot, ends_at });
        }
        node.holder.set_waiting(node.waiting);
        node.holder.verify(now).expect("the holder is consistent");
        let owner = node.owner;
        if let Some(request) = node.holder.poll(now) {
            self.send(&|| Message::Request(owner, index, request));
        }
    }

    fn send(&mut self, message: &dyn Fn() -> Message) {
        self.messages += 1;
        let copies = 1 + u64::from(self.random.percent(self.faults.repeat_percent));
        for _ in 0..copies {
            if self.random.percent(self.faults.loss_percent) {
                continue;
            }
            // A few messages are very late, as after a pause of the receiver.
            let late = self.faults.max_delay_ms > 2 && self.random.percent(3);
            let factor = if late { 100 } else { 1 };
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
                Message::Reply(holder, _) => self.nodes[*holder].paused_until,
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
                    self.nodes[holder].holder.on_reply(self.now, &reply);
                }
            }
        }
    }

    fn report_load(&mut self) {
        if !self.reports || !self.now.0.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        let report = TargetReport {
            in_flight: self.running(),
            ..self.report
        };
        for owner in 0..self.owners.len() {
            let lost = self.random.percent(self.faults.loss_percent);
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
