//! A network of [`Gossip`] state machines in simulated time, with packet loss, delays, duplicates,
//! pauses, crashes and partitions.

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

/// The faults that the network injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay_ms: u64,
    /// Whether instances can only reach others in their own failure domain.
    pub partitioned: bool,
    /// Two instances that cannot reach each other.
    pub blocked_pair: Option<(usize, usize)>,
}

pub struct Node {
    pub gossip: Gossip,
    pub domain: usize,
    pub paused_until: Millis,
    /// The name and boot identifier of each process that the instance regarded as dead, after its
    /// own suspicion or an update from another instance.
    pub dead_processes: BTreeSet<(String, u64)>,
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
    random_state: u64,
    last_boot_id: u64,
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
            random_state: seed,
            last_boot_id: 0,
        };
        for index in 0..count {
            network.start(index);
        }
        network.run(Millis(10_000));
        network
    }

    /// Starts an instance; it replaces a running process with the same index.
    pub fn start(&mut self, index: usize) {
        self.last_boot_id += 1;
        let domain = index % self.domains;
        let local_member = Member {
            name: name(index),
            failure_domain: format!("domain-{domain}"),
            peer_address: address(index),
            http_address: address(index),
            boot_id: self.last_boot_id,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let seed = self.random_below(u64::MAX);
        let mut gossip = Gossip::new(MembershipSpec::default(), local_member, seed, self.now);
        // One instance of each failure domain serves as a seed.
        let seeds: Vec<SocketAddr> = (0..self.domains).map(address).collect();
        assert_eq!(gossip.handle(self.now, Input::Seeds(&seeds)), []);
        let node = Node {
            gossip,
            domain,
            paused_until: Millis::ZERO,
            dead_processes: BTreeSet::new(),
            superseded: false,
            generation: 0,
        };
        self.nodes.insert(index, node);
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value =
            (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (value ^ (value >> 31)) % bound
    }

    /// Returns whether both instances run and no partition separates them. Ignores
    /// [`Faults::blocked_pair`].
    pub fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (Some(from), Some(to)) = (self.nodes.get(&from), self.nodes.get(&to)) else {
            return false;
        };
        !self.faults.partitioned || from.domain == to.domain
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let pair = self.faults.blocked_pair;
        pair == Some((from, to))
            || pair == Some((to, from))
            || (self.faults.partitioned && from % self.domains != to % self.domains)
    }

    /// Passes an input to an instance and carries out its outputs.
    pub fn handle(&mut self, index: usize, input: Input<'_>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&index) else {
            return;
        };
        let outputs = node.gossip.handle(now, input);
        let generation = node
            .gossip
            .documents()
            .version(&DocumentKind::Configuration);
        assert!(
            generation.number >= node.generation,
            "the configuration generation decreased"
        );
        node.generation = generation.number;
        node.gossip
            .drains()
            .verify()
            .expect("the drain table is consistent");
        for output in outputs {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, packet } => self.send(index, to, &packet),
            Output::FetchMembers { from } => {
                if let Some(peer) = self.responsive_peer(index, from) {
                    let buckets = self.nodes[&index].gossip.membership().digest_buckets();
                    let members = peer
                        .gossip
                        .membership()
                        .members_in_differing_buckets(buckets);
                    self.handle(index, Input::Members(&members));
                }
            }
            Output::FetchDocument {
                from,
                kind,
                known_version,
            } => {
                let kind = &kind;
                match self.responsive_peer(index, from) {
                    Some(peer) => {
                        let reply = &peer.gossip.documents().reply_to_fetch(kind, known_version);
                        self.handle(index, Input::DocumentReply { kind, reply });
                    }
                    None => self.handle(index, Input::DocumentFetchFailed(kind)),
                }
            }
            Output::ExchangeDrains { with } => self.exchange_drains(index, with),
            Output::MemberChanged(member) if member.state == MemberState::Dead => {
                let node = self.nodes.get_mut(&index).expect("the instance runs");
                node.dead_processes.insert((member.name, member.boot_id));
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

    fn exchange_drains(&mut self, index: usize, with: SocketAddr) {
        let entries: Vec<_> = self.nodes[&index].gossip.drains().entries().collect();
        let other = (0..250).find(|&other| address(other) == with);
        if let Some(other) = other.filter(|&other| self.is_reachable(index, other)) {
            self.handle(other, Input::Drains(&entries));
            let peer_entries: Vec<_> = self.nodes[&other].gossip.drains().entries().collect();
            self.handle(index, Input::Drains(&peer_entries));
        }
    }

    /// Returns the instance at an address if it is reachable and not paused.
    fn responsive_peer(&self, index: usize, at: SocketAddr) -> Option<&Node> {
        let other = (0..250).find(|&other| address(other) == at)?;
        let running =
            self.is_reachable(index, other) && self.nodes[&other].paused_until <= self.now;
        self.nodes.get(&other).filter(|_| running)
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let copies = 1 + u64::from(self.random_below(100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            if self.random_below(100) < self.faults.loss_percent {
                continue;
            }
            let delay = self.random_below(self.faults.max_delay_ms + 1) + 1;
            let order = self.random_below(u64::MAX);
            let delivery = Delivery {
                from,
                to,
                packet: packet.clone(),
            };
            self.queue
                .insert((self.now + Millis(delay), order), delivery);
        }
    }

    /// Advances the simulated time.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
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
        // The packet is delivered even if its sender has crashed since it sent the packet.
        let blocked = self.is_blocked(delivery.from, to);
        let Some(node) = self.nodes.get(&to).filter(|_| !blocked) else {
            return;
        };
        if node.paused_until > self.now {
            // The packet stays in the receive buffer until the process resumes.
            let key = (node.paused_until, self.random_below(u64::MAX));
            self.queue.insert(key, delivery);
            return;
        }
        let from = address(delivery.from);
        let packet = &delivery.packet;
        self.handle(to, Input::Received { from, packet });
    }

    fn tick(&mut self) {
        let now = self.now;
        let due = self
            .nodes
            .iter()
            .filter(|(_, node)| node.paused_until <= now && node.gossip.wake_at() <= now);
        let due: Vec<usize> = due.map(|(&index, _)| index).collect();
        for index in due {
            self.handle(index, Input::Tick);
        }
    }

    /// Returns an error text if an instance has no entry of the current process of a running
    /// instance, or regards it as dead.
    pub fn find_wrong_entry(&self) -> Option<String> {
        for (&observer, node) in &self.nodes {
            for (&index, other) in &self.nodes {
                let seen = node.gossip.membership().get(&name(index));
                let is_correct = seen.is_some_and(|seen| {
                    seen.boot_id == other.gossip.membership().local_member().boot_id
                        && seen.state != MemberState::Dead
                });
                if !is_correct {
                    return Some(format!(
                        "instance {observer} has a wrong entry of running instance {index}: {seen:?}"
                    ));
                }
            }
        }
        None
    }

    /// Returns whether every running instance regards the instance as dead or does not know it.
    pub fn is_dead_everywhere(&self, index: usize) -> bool {
        self.nodes.values().all(|node| {
            let seen = node.gossip.membership().get(&name(index));
            seen.is_none_or(|seen| seen.state == MemberState::Dead)
        })
    }
}
