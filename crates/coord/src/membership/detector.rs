//! The failure detector.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Input;
use super::MembershipSpec;
use super::Output;
use super::Scope;
use super::message::Digests;
use super::message::Member;
use super::message::MemberState;
use super::message::Message;
use super::message::Packet;
use super::receive::PassOn;
use super::receive::is_valid;
use super::ring::Random;
use super::table::SELF_SLOT;
use super::table::Table;
use super::table::Updates;
use crate::Millis;

/// How often an instance passes on the same statement, whatever the number of members. In a small
/// deployment few of its packets go to other failure domains.
const MIN_RETRANSMITS: u32 = 12;

/// How often it does so in addition, for each doubling of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// The number of suspect members that are probed again in each period.
const MAX_LAST_PROBES: usize = 16;

/// The number of periods before the end of a suspicion in which the member is probed again.
const LAST_PROBE_PERIODS: u64 = 3;

/// The number of periods between two searches for dead members to forget.
const FORGET_PERIODS: u64 = 64;

/// The number of periods after the start in which several seeds are probed.
const STARTUP_PERIODS: u64 = 4;

/// The number of seeds that are probed in each of these periods.
const STARTUP_SEED_PROBES: u32 = 4;

/// The number of random seeds that are looked at to find one that is not a live member.
const SEED_TRIES: usize = 8;

#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) slot: usize,
    pub(super) boot_id: u64,
    pub(super) sequence: u64,
    pub(super) sent_at: Millis,
    pub(super) indirect: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub(super) requester: SocketAddr,
    pub(super) sequence: u64,
    pub(super) expires_at: Millis,
}

/// The failure detector of one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) spec: MembershipSpec,
    pub(super) now: Millis,
    pub(super) table: Table,
    pub(super) updates: Updates,
    pub(super) random: Random,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probes: Vec<Probe>,
    pub(super) relays: BTreeMap<u64, Relay>,
    pub(super) suspects: BTreeSet<(Millis, usize)>,
    pub(super) deadlines: BTreeMap<usize, Millis>,
    pub(super) sequence: u64,
    pub(super) next_period: Millis,
    pub(super) periods: u64,
    pub(super) wake_at: Millis,
    pub(super) introductions: u32,
    pub(super) joined: bool,
    pub(super) differs: Option<(Millis, Millis)>,
    pub(super) next_fetch: Millis,
    pub(super) self_suspect: bool,
    pub(super) resumed_at_sequence: u64,
    pub(super) superseded_by: u64,
    pub(super) version: u64,
}

impl Membership {
    /// Creates the failure detector of an instance that knows no others yet.
    ///
    /// `me.boot_id` has to be higher than that of every earlier process with the same name; the
    /// wall-clock time of the start serves this purpose. The seed spreads the probes.
    ///
    /// # Panics
    ///
    /// Panics when the name or the failure domain is empty or longer than [`MAX_NAME_BYTES`].
    #[must_use]
    pub fn new(spec: MembershipSpec, me: Member, seed: u64, now: Millis) -> Self {
        assert!(
            is_valid(&me),
            "the names of an instance have 1 to 64 bytes each"
        );
        let mut random = Random::new(seed);
        let first = now + Millis(random.below(spec.probe_period_ms.0 as usize) as u64);
        let mut updates = Updates::new(random.next());
        updates.push(SELF_SLOT, now, true);
        Self {
            spec,
            now,
            table: Table::new(me, now),
            updates,
            random,
            seeds: Vec::new(),
            probes: Vec::new(),
            relays: BTreeMap::new(),
            suspects: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            sequence: 0,
            next_period: first,
            periods: 0,
            wake_at: first,
            introductions: 0,
            joined: false,
            differs: None,
            next_fetch: Millis::ZERO,
            self_suspect: false,
            resumed_at_sequence: 0,
            superseded_by: 0,
            version: 0,
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Millis, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.now = now;
        self.detect_pause(now, &mut outputs);
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Received { from, packet } => self.receive(now, from, packet, &mut outputs),
            Input::Seeds(seeds) => self.set_seeds(seeds),
            Input::Members(members) => self.merge_all(now, members, &mut outputs),
            Input::Leave => self.leave(now),
        }
        self.clear_suspicion_when_alone(&mut outputs);
        self.wake_at = self.next_deadline();
        outputs
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn wake_at(&self) -> Millis {
        self.wake_at
    }

    /// Returns the entry of this instance.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        self.table.local_member()
    }

    /// Returns the entry of a member, which may be this instance.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.table.by_name(name)
    }

    /// Returns every known member including this instance and those that are dead.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns the members of a failure domain that take new work, including this instance.
    ///
    /// A suspect member is included: its roles move only when it is dead.
    pub fn accepting_work_in<'a>(
        &'a self,
        failure_domain: &'a str,
    ) -> impl Iterator<Item = &'a Member> {
        self.table.iter().filter(move |member| {
            member.failure_domain == failure_domain
                && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        })
    }

    /// Returns a number that rises with each change of a member, so that results that were
    /// computed from the members can be kept.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of other members that are not dead.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.table.peer_count()
    }

    /// Returns the digest of the members that are not dead.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the parts of the digest, which go with a request for members.
    #[must_use]
    pub fn digest_buckets(&self) -> &[u64] {
        self.table.digest_buckets()
    }

    /// Returns the members that a peer with other parts of the digest may lack.
    #[must_use]
    pub fn members_in_differing_buckets(&self, buckets: &[u64]) -> Vec<Member> {
        self.table.members_in_differing_buckets(buckets)
    }

    /// Returns whether this instance was paused and no peer has acknowledged it since.
    ///
    /// A pause counts from the moment the instance goes on, even before its next input.
    #[must_use]
    pub fn is_self_suspect(&self, now: Millis) -> bool {
        self.self_suspect || (self.table.peer_count() > 0 && self.is_late(now))
    }

    fn is_late(&self, now: Millis) -> bool {
        now - self.wake_at > self.spec.suspicion_ms
    }

    /// Returns the addresses of random members that are not dead, without repetition.
    pub fn sample_addresses(&mut self, count: usize, scope: Scope) -> Vec<SocketAddr> {
        let own = self.table.own().len();
        let total = match scope {
            Scope::OwnDomain => own,
            Scope::All => self.table.peer_count(),
        };
        let mut positions = BTreeSet::new();
        // A bounded number of draws; a draw that repeats a position is lost.
        for _ in 0..count.saturating_mul(2) {
            if positions.len() < count && total > 0 {
                positions.insert(self.random.below(total));
            }
        }
        let slots = positions.into_iter().map(|position| {
            if position < own {
                self.table.own().items()[position]
            } else {
                self.table.other().items()[position - own]
            }
        });
        slots
            .filter_map(|slot| self.table.get(slot))
            .map(|member| member.peer_address)
            .collect()
    }

    /// Returns a packet without piggybacked statements, for messages that need its room.
    #[must_use]
    pub fn digests_packet(&self) -> Packet {
        self.header(Message::Gossip)
    }

    /// Returns a packet that asks for no answer.
    pub fn gossip_packet(&mut self) -> Packet {
        self.packet(Message::Gossip, Vec::new())
    }

    fn detect_pause(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        if !self.is_late(now) {
            return;
        }
        let pause = now - self.wake_at;
        // Acknowledgements that were on the way are not counted as missing, and members are not
        // declared dead for suspicions that they could not refute here in the meantime.
        self.probes.clear();
        self.relays.clear();
        self.suspects = self
            .suspects
            .iter()
            .map(|&(deadline, slot)| (deadline + pause, slot))
            .collect();
        for deadline in self.deadlines.values_mut() {
            *deadline = *deadline + pause;
        }
        self.next_period = now;
        self.wake_at = now;
        self.resumed_at_sequence = self.sequence;
        if self.table.peer_count() == 0 {
            return;
        }
        if !self.self_suspect {
            self.self_suspect = true;
            outputs.push(Output::SelfSuspect(true));
        }
        for to in self.sample_addresses(self.spec.indirect_probe_count, Scope::All) {
            self.ping(to, Vec::new(), outputs);
        }
    }

    fn clear_suspicion_when_alone(&mut self, outputs: &mut Vec<Output>) {
        if self.self_suspect && self.table.peer_count() == 0 {
            self.self_suspect = false;
            outputs.push(Output::SelfSuspect(false));
        }
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.local_member().peer_address;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
    }

    fn leave(&mut self, now: Millis) {
        if self.local_member().state == MemberState::Leaving {
            return;
        }
        let mut me = self.local_member().clone();
        me.state = MemberState::Leaving;
        me.incarnation = me.incarnation.saturating_add(1);
        self.set_local_member(me, now);
    }

    pub(super) fn set_local_member(&mut self, me: Member, now: Millis) {
        self.table.set_local_member(me, now);
        self.updates.push(SELF_SLOT, now, false);
        self.version += 1;
    }

    fn next_deadline(&self) -> Millis {
        let mut deadline = self.next_period;
        for probe in &self.probes {
            deadline = deadline.min(self.probe_deadline(probe));
        }
        match self.suspects.first() {
            Some(&(first, _)) => deadline.min(first),
            None => deadline,
        }
    }

    fn probe_deadline(&self, probe: &Probe) -> Millis {
        if probe.indirect {
            probe.sent_at + self.spec.probe_period_ms
        } else {
            probe.sent_at + self.spec.ack_timeout_ms
        }
    }

    fn tick(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.check_probes(now, outputs);
        self.bury_suspects(now, outputs);
        if now >= self.next_period {
            self.start_period(now, outputs);
        }
    }

    fn check_probes(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        for mut probe in std::mem::take(&mut self.probes) {
            if now < self.probe_deadline(&probe) {
                self.probes.push(probe);
            } else if probe.indirect {
                self.accuse(now, &probe, outputs);
            } else {
                self.probe_indirectly(&probe, outputs);
                probe.indirect = true;
                self.probes.push(probe);
            }
        }
    }

    fn probe_indirectly(&mut self, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(address) = self.table.get(probe.slot).map(|member| member.peer_address) else {
            return;
        };
        // One more, since the member itself may be among them.
        let proxies = self.sample_addresses(self.spec.indirect_probe_count + 1, Scope::All);
        let proxies = proxies.into_iter().filter(|proxy| *proxy != address);
        for to in proxies
            .take(self.spec.indirect_probe_count)
            .collect::<Vec<_>>()
        {
            let sequence = probe.sequence;
            let message = Message::PingRequest { sequence, address };
            self.send(to, message, Vec::new(), outputs);
        }
    }

    fn accuse(&mut self, now: Millis, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(member) = self.table.get(probe.slot) else {
            return;
        };
        if member.boot_id != probe.boot_id || member.state >= MemberState::Suspect {
            return;
        }
        let mut suspect = member.clone();
        suspect.state = MemberState::Suspect;
        let address = suspect.peer_address;
        self.store(now, suspect.clone(), PassOn::Compact, outputs);
        // The member hears of the suspicion at once and can refute it.
        self.ping(address, vec![suspect], outputs);
    }

    fn bury_suspects(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        while let Some(&(deadline, slot)) = self.suspects.first() {
            if deadline > now {
                return;
            }
            self.suspects.pop_first();
            self.deadlines.remove(&slot);
            if let Some(member) = self.table.get(slot) {
                let mut dead = member.clone();
                dead.state = MemberState::Dead;
                self.store(now, dead, PassOn::Compact, outputs);
            }
        }
    }

    fn start_period(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.next_period = now + self.spec.probe_period_ms;
        self.periods += 1;
        self.introductions = 0;
        self.relays.retain(|_, relay| relay.expires_at > now);
        let own = self.table.next_own(&mut self.random);
        if let Some(slot) = own {
            self.probe(now, slot, outputs);
        }
        let cross_domain = self
            .periods
            .is_multiple_of(self.spec.periods_per_cross_domain_probe);
        if (own.is_none() || cross_domain)
            && let Some(slot) = self.table.next_other(&mut self.random)
        {
            self.probe(now, slot, outputs);
        }
        self.probe_suspects(now, outputs);
        for _ in 0..self.seed_probes() {
            self.reconnect(outputs);
        }
        if self.periods.is_multiple_of(FORGET_PERIODS) {
            self.table.forget_dead(now - self.spec.dead_retention_ms);
        }
    }

    /// Returns the number of seeds that are probed in this period.
    ///
    /// An instance that has just started knows few members. Until it knows those of its failure
    /// domain, it takes itself for the owner of targets that others own as well.
    fn seed_probes(&self) -> u32 {
        if self.periods <= STARTUP_PERIODS {
            return STARTUP_SEED_PROBES;
        }
        let reconnects = self.periods.is_multiple_of(self.spec.periods_per_reconnect);
        u32::from(self.table.peer_count() == 0 || reconnects)
    }

    fn probe(&mut self, now: Millis, slot: usize, outputs: &mut Vec<Output>) {
        let Some(member) = self.table.get(slot) else {
            return;
        };
        let boot_id = member.boot_id;
        let address = member.peer_address;
        let told = self.statement_for(slot);
        let sequence = self.ping(address, told, outputs);
        self.probes.push(Probe {
            slot,
            boot_id,
            sequence,
            sent_at: now,
            indirect: false,
        });
    }

    /// Returns what a member has to be told about itself so that it can refute it.
    fn statement_for(&self, slot: usize) -> Vec<Member> {
        let member = self.table.get(slot);
        let member = member.filter(|member| member.state >= MemberState::Suspect);
        member.cloned().into_iter().collect()
    }

    /// Probes members that are about to be declared dead. Every instance does so by itself: a
    /// refutation that reached others can be lost on its way here.
    fn probe_suspects(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let end = now + self.spec.probe_period_ms.times(LAST_PROBE_PERIODS);
        let ending = self
            .suspects
            .iter()
            .take_while(|(deadline, _)| *deadline <= end);
        let slots: Vec<usize> = ending
            .map(|&(_, slot)| slot)
            .take(MAX_LAST_PROBES)
            .collect();
        for slot in slots {
            self.ping_slot(slot, outputs);
        }
    }

    fn ping_slot(&mut self, slot: usize, outputs: &mut Vec<Output>) {
        let told = self.statement_for(slot);
        if let Some(member) = self.table.get(slot) {
            self.ping(member.peer_address, told, outputs);
        }
    }

    /// Contacts a dead member and a seed, so that both sides of a healed partition meet.
    fn reconnect(&mut self, outputs: &mut Vec<Output>) {
        if let Some(slot) = self.table.next_dead(&mut self.random) {
            self.ping_slot(slot, outputs);
        }
        for _ in 0..SEED_TRIES {
            let position = self.random.below(self.seeds.len());
            let Some(&seed) = self.seeds.get(position) else {
                return;
            };
            if !self.table.is_live_address(&seed) {
                let introduction = vec![self.local_member().clone()];
                self.ping(seed, introduction, outputs);
                return;
            }
        }
    }

    pub(super) fn ping(
        &mut self,
        to: SocketAddr,
        told: Vec<Member>,
        outputs: &mut Vec<Output>,
    ) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        self.send(to, Message::Ping { sequence }, told, outputs);
        sequence
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        told: Vec<Member>,
        outputs: &mut Vec<Output>,
    ) {
        let packet = self.packet(message, told);
        outputs.push(Output::Send { to, packet });
    }

    pub(super) fn packet(&mut self, message: Message, members: Vec<Member>) -> Packet {
        let told: usize = members.iter().map(Member::size_bytes).sum();
        let budget = self.spec.max_piggyback_bytes.saturating_sub(told);
        let bits = (self.table.peer_count() as u64 + 2).next_power_of_two();
        let limit = MIN_RETRANSMITS + RETRANSMIT_FACTOR * bits.trailing_zeros();
        let mut packet = self.header(message);
        packet.members = members;
        self.updates
            .take(self.now, &self.table, budget, limit, &mut packet);
        packet
    }

    fn header(&self, message: Message) -> Packet {
        Packet {
            sender: self.local_member().name.clone(),
            boot_id: self.local_member().boot_id,
            digests: Digests {
                members: self.table.digest(),
                ..Digests::default()
            },
            message,
            members: Vec::new(),
            compact_updates: Vec::new(),
            drains: Vec::new(),
        }
    }
}
