//! Delivers packets between [`Gossip`] state machines with losses, delays, duplicates, pauses,
//! crashes and partitions, in simulated time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use arbutus_coord::Millis;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::gossip::Gossip;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_coord::membership::MembershipSpec;
use arbutus_coord::membership::Packet;

/// How the network treats packets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay_ms: u64,
    /// Whether failure domains cannot reach each other.
    pub partitioned: bool,
    /// Two instances that cannot reach each other.
    pub cut_pair: Option<(usize, usize)>,
}

pub struct Node {
    pub gossip: Gossip,
    pub domain: usize,
    pub paused_until: Millis,
    pub deaths_seen: BTreeSet<(String, u64)>,
    pub superseded: bool,
    generation: u64,
}

struct Delivery {
    from: usize,
    to: SocketAddr,
    packet: Packet,
}

pub struct Network {
    pub now: Millis,
    pub nodes: BTreeMap<usize, Node>,
    pub faults: Faults,
    domains: usize,
    queue: BTreeMap<(Millis, u64), Delivery>,
    random: u64,
    boots: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

pub fn name(index: usize) -> String {
    format!("instance-{index}")
}

impl Network {
    pub fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Millis(1_000),
            nodes: BTreeMap::new(),
            faults: Faults::default(),
            domains,
            queue: BTreeMap::new(),
            random: seed,
            boots: 0,
        };
        for index in 0..count {
            network.start(index);
        }
        network.run(Millis(10_000));
        network
    }

    /// Starts an instance, which replaces the process that has the same index.
    pub fn start(&mut self, index: usize) {
        self.boots += 1;
        let domain = index % self.domains;
        let me = Member {
            name: name(index),
            failure_domain: format!("domain-{domain}"),
            peer_address: address(index),
            http_address: address(index),
            boot_id: self.boots,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let seed = self.draw(u64::MAX);
        let mut gossip = Gossip::new(MembershipSpec::default(), me, seed, self.now);
        // One seed in each failure domain.
        let seeds: Vec<SocketAddr> = (0..self.domains).map(address).collect();
        assert_eq!(gossip.handle(self.now, Input::Seeds(&seeds)), []);
        let node = Node {
            gossip,
            domain,
            paused_until: Millis::ZERO,
            deaths_seen: BTreeSet::new(),
            superseded: false,
            generation: 0,
        };
        self.nodes.insert(index, node);
    }

    pub fn draw(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (value ^ (value >> 31)) % bound
    }

    pub fn reachable(&self, from: usize, to: usize) -> bool {
        let (Some(from), Some(to)) = (self.nodes.get(&from), self.nodes.get(&to)) else {
            return false;
        };
        !self.faults.partitioned || from.domain == to.domain
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let pair = self.faults.cut_pair;
        pair == Some((from, to))
            || pair == Some((to, from))
            || (self.faults.partitioned && from % self.domains != to % self.domains)
    }

    /// Hands an input to an instance and carries out its outputs.
    pub fn input(&mut self, index: usize, input: Input<'_>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&index) else {
            return;
        };
        let outputs = node.gossip.handle(now, input);
        let generation = node
            .gossip
            .documents()
            .version(&DocumentKind::Configuration);
        assert!(generation.number >= node.generation, "the generation fell");
        node.generation = generation.number;
        node.gossip
            .drains()
            .verify()
            .expect("the drain table is consistent");
        for output in outputs {
            self.output(index, output);
        }
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, packet } => self.send(index, to, &packet),
            Output::FetchMembers { from } => {
                if let Some(peer) = self.peer(index, from) {
                    let buckets = self.nodes[&index].gossip.membership().digest_buckets();
                    let members = peer
                        .gossip
                        .membership()
                        .members_in_differing_buckets(buckets);
                    self.input(index, Input::Members(&members));
                }
            }
            Output::FetchDocument {
                from,
                kind,
                known_version,
            } => {
                let kind = &kind;
                match self.peer(index, from) {
                    Some(peer) => {
                        let reply = &peer.gossip.documents().reply_to_fetch(kind, known_version);
                        self.input(index, Input::DocumentReply { kind, reply });
                    }
                    None => self.input(index, Input::DocumentFetchFailed(kind)),
                }
            }
            Output::ExchangeDrains { with } => self.exchange(index, with),
            Output::MemberChanged(member) if member.state == MemberState::Dead => {
                let node = self.nodes.get_mut(&index).expect("the instance runs");
                node.deaths_seen.insert((member.name, member.boot_id));
            }
            Output::Superseded { .. } => {
                let node = self.nodes.get_mut(&index).expect("the instance runs");
                node.superseded = true;
            }
            Output::MemberChanged(_)
            | Output::DocumentChanged(_)
            | Output::DrainsChanged(_)
            | Output::SelfSuspect(_) => {}
        }
    }

    fn exchange(&mut self, index: usize, with: SocketAddr) {
        let ours: Vec<_> = self.nodes[&index].gossip.drains().entries().collect();
        let other = (0..250).find(|&other| address(other) == with);
        if let Some(other) = other.filter(|&other| self.reachable(index, other)) {
            self.input(other, Input::Drains(&ours));
            let theirs: Vec<_> = self.nodes[&other].gossip.drains().entries().collect();
            self.input(index, Input::Drains(&theirs));
        }
    }

    fn peer(&self, index: usize, at: SocketAddr) -> Option<&Node> {
        let other = (0..250).find(|&other| address(other) == at)?;
        let running = self.reachable(index, other) && self.nodes[&other].paused_until <= self.now;
        self.nodes.get(&other).filter(|_| running)
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let copies = 1 + u64::from(self.draw(100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            if self.draw(100) < self.faults.loss_percent {
                continue;
            }
            let delay = self.draw(self.faults.max_delay_ms + 1) + 1;
            let order = self.draw(u64::MAX);
            let delivery = Delivery {
                from,
                to,
                packet: packet.clone(),
            };
            self.queue
                .insert((self.now + Millis(delay), order), delivery);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            self.tick();
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Some(to) = (0..250).find(|&index| address(index) == delivery.to) else {
            return;
        };
        // A packet of a process that has crashed since is still delivered.
        let cut = self.is_cut(delivery.from, to);
        let Some(node) = self.nodes.get(&to).filter(|_| !cut) else {
            return;
        };
        if node.paused_until > self.now {
            // The receive buffer holds the packet until the process resumes.
            let key = (node.paused_until, self.draw(u64::MAX));
            self.queue.insert(key, delivery);
            return;
        }
        let from = address(delivery.from);
        let packet = &delivery.packet;
        self.input(to, Input::Received { from, packet });
    }

    fn tick(&mut self) {
        let now = self.now;
        let due = self
            .nodes
            .iter()
            .filter(|(_, node)| node.paused_until <= now && node.gossip.wake_at() <= now);
        let due: Vec<usize> = due.map(|(&index, _)| index).collect();
        for index in due {
            self.input(index, Input::Tick);
        }
    }

    /// Returns the first statement of an instance about a running one that is wrong.
    pub fn wrong_view(&self) -> Option<String> {
        for (&observer, node) in &self.nodes {
            for (&index, other) in &self.nodes {
                let seen = node.gossip.membership().get(&name(index));
                let right = seen.is_some_and(|seen| {
                    seen.boot_id == other.gossip.membership().local_member().boot_id
                        && seen.state != MemberState::Dead
                });
                if !right {
                    return Some(format!("{observer} sees {index} as {seen:?}"));
                }
            }
        }
        None
    }

    /// Returns whether every running instance regards a name as dead or unknown.
    pub fn is_dead_everywhere(&self, index: usize) -> bool {
        self.nodes.values().all(|node| {
            let seen = node.gossip.membership().get(&name(index));
            seen.is_none_or(|seen| seen.state == MemberState::Dead)
        })
    }
}
