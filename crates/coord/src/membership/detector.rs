//! The state of the failure detector, its periodic probes and its timeouts.

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
use super::probe_order::Random;
use super::receive::Retransmit;
use super::receive::has_valid_names;
use super::table::LOCAL_SLOT;
use super::table::Table;
use super::table::UpdateQueue;
use crate::Millis;

/// How often an update is sent, apart from the sends that [`RETRANSMITS_PER_DOUBLING`] adds. In a
/// small deployment, fewer sends would rarely reach another failure domain.
const MIN_RETRANSMITS: u32 = 12;

/// How many more times an update is sent for each doubling of the number of members.
const RETRANSMITS_PER_DOUBLING: u32 = 3;

/// The largest number of suspect members that are probed again in a period because their suspicion
/// is about to expire.
const MAX_FINAL_PROBES: usize = 16;

/// The number of periods before the end of a suspicion in which the suspect member is probed again.
const FINAL_PROBE_PERIODS: u64 = 3;

/// The number of periods between two removals of members that have been dead for
/// [`MembershipSpec::dead_retention_ms`].
const PERIODS_PER_DEAD_REMOVAL: u64 = 64;

/// The number of periods after the start in which several seeds are probed.
const STARTUP_PERIODS: u64 = 4;

/// The number of seeds that are probed in each of the [`STARTUP_PERIODS`].
const STARTUP_SEED_PROBES_PER_PERIOD: u32 = 4;

/// The number of random draws to find a seed that is not yet known as a live member.
const MAX_SEED_DRAWS: usize = 8;

#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) slot: usize,
    pub(super) boot_id: u64,
    pub(super) sequence: u64,
    pub(super) sent_at: Millis,
    pub(super) relays_asked: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
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
    pub(super) updates: UpdateQueue,
    pub(super) random: Random,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probes: Vec<Probe>,
    pub(super) relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// The suspect members: the time at which each is declared dead, and its slot.
    pub(super) suspicions_by_deadline: BTreeSet<(Millis, usize)>,
    /// The deadline of each suspect member, by slot.
    pub(super) suspicion_deadlines: BTreeMap<usize, Millis>,
    pub(super) last_sequence: u64,
    pub(super) next_period_at: Millis,
    pub(super) periods_started: u64,
    pub(super) wake_at: Millis,
    /// The packets in this period that introduced this instance to peers that did not know it.
    pub(super) introductions_in_period: u32,
    /// Whether this instance has received the members of a peer or seen a matching digest.
    pub(super) joined: bool,
    /// When member digests of peers first and last differed; `None` before the first mismatch.
    pub(super) digest_mismatch: Option<(Millis, Millis)>,
    pub(super) next_fetch_at: Millis,
    pub(super) self_suspect: bool,
    /// The sequence number of the last ping before the last pause. Only acknowledgements of later
    /// pings end the self-suspicion.
    pub(super) last_sequence_before_resume: u64,
    /// The highest boot identifier of a later process with this name, or 0 when there is none.
    pub(super) superseded_by: u64,
    pub(super) version: u64,
}

impl Membership {
    /// Creates the failure detector of an instance that knows no other instances.
    ///
    /// `local_member.boot_id` has to be higher than that of every earlier process with the same
    /// name; the wall-clock time of the start is suitable. `random_seed` initializes the random
    /// choices and should differ between instances so that they do not probe the same members.
    ///
    /// # Panics
    ///
    /// Panics when the name or the failure domain of the instance is empty or longer than
    /// [`MAX_NAME_BYTES`](super::MAX_NAME_BYTES).
    #[must_use]
    pub fn new(spec: MembershipSpec, local_member: Member, random_seed: u64, now: Millis) -> Self {
        assert!(
            has_valid_names(&local_member),
            "the name and the failure domain of an instance must have 1 to 64 bytes each"
        );
        let mut random = Random::new(random_seed);
        let first = now + Millis(random.below(spec.probe_period_ms.0 as usize) as u64);
        let mut updates = UpdateQueue::new(random.next());
        updates.push(LOCAL_SLOT, now, true);
        Self {
            spec,
            now,
            table: Table::new(local_member, now),
            updates,
            random,
            seeds: Vec::new(),
            probes: Vec::new(),
            relayed_probes: BTreeMap::new(),
            suspicions_by_deadline: BTreeSet::new(),
            suspicion_deadlines: BTreeMap::new(),
            last_sequence: 0,
            next_period_at: first,
            periods_started: 0,
            wake_at: first,
            introductions_in_period: 0,
            joined: false,
            digest_mismatch: None,
            next_fetch_at: Millis::ZERO,
            self_suspect: false,
            last_sequence_before_resume: 0,
            superseded_by: 0,
            version: 0,
        }
    }

    /// Handles one input and returns the outputs that the caller has to carry out.
    pub fn handle(&mut self, now: Millis, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.now = now;
        self.detect_pause(now, &mut outputs);
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Received { from, packet } => self.receive(now, from, packet, &mut outputs),
            Input::Seeds(seeds) => self.set_seeds(seeds),
            Input::Members(members) => self.merge_members(now, members, &mut outputs),
            Input::Leave => self.leave(now),
        }
        self.clear_self_suspicion_without_peers(&mut outputs);
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

    /// Returns the entry of a member or of this instance.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.table.by_name(name)
    }

    /// Returns all known members, including this instance and dead members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns the members of a failure domain that take new work, including this instance.
    ///
    /// Suspect members are included, since ownership moves only when a member is dead.
    pub fn accepting_work_in<'a>(
        &'a self,
        failure_domain: &'a str,
    ) -> impl Iterator<Item = &'a Member> {
        self.table.iter().filter(move |member| {
            member.failure_domain == failure_domain
                && matches!(member.state, MemberState::Alive | MemberState::Suspect)
        })
    }

    /// Returns a number that rises with each change of a member, by which callers can tell whether
    /// a cached result that depends on the members is still valid.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of other members that are not dead.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.table.peer_count()
    }

    /// Returns the digest of all members that are not dead.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the digests of the members in each hash bucket, which a request for members carries.
    #[must_use]
    pub fn digest_buckets(&self) -> &[u64] {
        self.table.digest_buckets()
    }

    /// Returns the members in buckets whose digest differs from that of a peer, which replies to
    /// its request for members.
    #[must_use]
    pub fn members_in_differing_buckets(&self, buckets: &[u64]) -> Vec<Member> {
        self.table.members_in_differing_buckets(buckets)
    }

    /// Returns whether this instance was paused and no peer has acknowledged a ping since.
    ///
    /// A pause is noticed as soon as the instance resumes, even before its next input.
    #[must_use]
    pub fn is_self_suspect(&self, now: Millis) -> bool {
        self.self_suspect || (self.table.peer_count() > 0 && self.is_tick_overdue(now))
    }

    fn is_tick_overdue(&self, now: Millis) -> bool {
        now - self.wake_at > self.spec.suspicion_ms
    }

    /// Returns the addresses of up to `count` random members that are not dead, without repetition.
    pub fn sample_addresses(&mut self, count: usize, scope: Scope) -> Vec<SocketAddr> {
        let local_count = self.table.local_domain().len();
        let total = match scope {
            Scope::LocalDomain => local_count,
            Scope::All => self.table.peer_count(),
        };
        let mut positions = BTreeSet::new();
        // The number of draws is bounded, so repeated positions may leave fewer than `count`.
        for _ in 0..count.saturating_mul(2) {
            if positions.len() < count && total > 0 {
                positions.insert(self.random.below(total));
            }
        }
        let slots = positions.into_iter().map(|position| {
            if position < local_count {
                self.table.local_domain().slots()[position]
            } else {
                self.table.other_domains().slots()[position - local_count]
            }
        });
        slots
            .filter_map(|slot| self.table.get(slot))
            .map(|member| member.peer_address)
            .collect()
    }

    /// Returns a packet without piggybacked updates, for datagrams that carry another protocol.
    #[must_use]
    pub fn digests_packet(&self) -> Packet {
        self.packet_without_updates(Message::Gossip)
    }

    /// Returns a packet that carries piggybacked updates and needs no reply.
    pub fn gossip_packet(&mut self) -> Packet {
        self.packet(Message::Gossip, Vec::new())
    }

    fn detect_pause(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        if !self.is_tick_overdue(now) {
            return;
        }
        let pause = now - self.wake_at;
        // Acknowledgements and refutations that arrived during the pause have not been processed
        // yet. Therefore pending probes are dropped, and suspicions are extended by the pause.
        self.probes.clear();
        self.relayed_probes.clear();
        self.suspicions_by_deadline = self
            .suspicions_by_deadline
            .iter()
            .map(|&(deadline, slot)| (deadline + pause, slot))
            .collect();
        for deadline in self.suspicion_deadlines.values_mut() {
            *deadline = *deadline + pause;
        }
        self.next_period_at = now;
        self.wake_at = now;
        self.last_sequence_before_resume = self.last_sequence;
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

    fn clear_self_suspicion_without_peers(&mut self, outputs: &mut Vec<Output>) {
        if self.self_suspect && self.table.peer_count() == 0 {
            self.self_suspect = false;
            outputs.push(Output::SelfSuspect(false));
        }
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let local_address = self.local_member().peer_address;
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != local_address)
            .collect();
    }

    fn leave(&mut self, now: Millis) {
        if self.local_member().state == MemberState::Leaving {
            return;
        }
        let mut local_member = self.local_member().clone();
        local_member.state = MemberState::Leaving;
        local_member.incarnation = local_member.incarnation.saturating_add(1);
        self.set_local_member(local_member, now);
    }

    pub(super) fn set_local_member(&mut self, local_member: Member, now: Millis) {
        self.table.set_local_member(local_member, now);
        self.updates.push(LOCAL_SLOT, now, false);
        self.version += 1;
    }

    fn next_deadline(&self) -> Millis {
        let mut deadline = self.next_period_at;
        for probe in &self.probes {
            deadline = deadline.min(self.probe_deadline(probe));
        }
        match self.suspicions_by_deadline.first() {
            Some(&(first, _)) => deadline.min(first),
            None => deadline,
        }
    }

    fn probe_deadline(&self, probe: &Probe) -> Millis {
        if probe.relays_asked {
            probe.sent_at + self.spec.probe_period_ms
        } else {
            probe.sent_at + self.spec.ack_timeout_ms
        }
    }

    fn tick(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.handle_probe_timeouts(now, outputs);
        self.declare_expired_suspects_dead(now, outputs);
        if now >= self.next_period_at {
            self.start_period(now, outputs);
        }
    }

    fn handle_probe_timeouts(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        for mut probe in std::mem::take(&mut self.probes) {
            if now < self.probe_deadline(&probe) {
                self.probes.push(probe);
            } else if probe.relays_asked {
                self.mark_suspect(now, &probe, outputs);
            } else {
                self.probe_indirectly(&probe, outputs);
                probe.relays_asked = true;
                self.probes.push(probe);
            }
        }
    }

    fn probe_indirectly(&mut self, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(address) = self.table.get(probe.slot).map(|member| member.peer_address) else {
            return;
        };
        // One more than needed, since the probed member itself may be among them.
        let relays = self.sample_addresses(self.spec.indirect_probe_count + 1, Scope::All);
        let relays = relays.into_iter().filter(|relay| *relay != address);
        for to in relays
            .take(self.spec.indirect_probe_count)
            .collect::<Vec<_>>()
        {
            let sequence = probe.sequence;
            let message = Message::PingRequest { sequence, address };
            self.send(to, message, Vec::new(), outputs);
        }
    }

    fn mark_suspect(&mut self, now: Millis, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(member) = self.table.get(probe.slot) else {
            return;
        };
        if member.boot_id != probe.boot_id || member.state >= MemberState::Suspect {
            return;
        }
        let mut suspect = member.clone();
        suspect.state = MemberState::Suspect;
        let address = suspect.peer_address;
        self.store_member(now, suspect.clone(), Retransmit::Compact, outputs);
        // The member is informed immediately, so that it can refute the suspicion.
        self.ping(address, vec![suspect], outputs);
    }

    fn declare_expired_suspects_dead(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        while let Some(&(deadline, slot)) = self.suspicions_by_deadline.first() {
            if deadline > now {
                return;
            }
            self.suspicions_by_deadline.pop_first();
            self.suspicion_deadlines.remove(&slot);
            if let Some(member) = self.table.get(slot) {
                let mut dead = member.clone();
                dead.state = MemberState::Dead;
                self.store_member(now, dead, Retransmit::Compact, outputs);
            }
        }
    }

    fn start_period(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.next_period_at = now + self.spec.probe_period_ms;
        self.periods_started += 1;
        self.introductions_in_period = 0;
        self.relayed_probes
            .retain(|_, relay| relay.expires_at > now);
        let local_slot = self.table.next_in_local_domain(&mut self.random);
        if let Some(slot) = local_slot {
            self.probe(now, slot, outputs);
        }
        let cross_domain = self
            .periods_started
            .is_multiple_of(self.spec.periods_per_cross_domain_probe);
        if (local_slot.is_none() || cross_domain)
            && let Some(slot) = self.table.next_in_other_domains(&mut self.random)
        {
            self.probe(now, slot, outputs);
        }
        self.probe_expiring_suspects(now, outputs);
        for _ in 0..self.seed_probes_in_period() {
            self.reconnect(outputs);
        }
        if self
            .periods_started
            .is_multiple_of(PERIODS_PER_DEAD_REMOVAL)
        {
            self.table
                .remove_dead_before(now - self.spec.dead_retention_ms);
        }
    }

    /// Returns the number of seeds to probe in this period.
    ///
    /// An instance that has just started knows few members. Until it knows those of its failure
    /// domain, it considers itself the owner of targets that other instances own as well, so it
    /// probes several seeds in each of its first periods.
    fn seed_probes_in_period(&self) -> u32 {
        if self.periods_started <= STARTUP_PERIODS {
            return STARTUP_SEED_PROBES_PER_PERIOD;
        }
        let reconnects = self
            .periods_started
            .is_multiple_of(self.spec.periods_per_reconnect);
        u32::from(self.table.peer_count() == 0 || reconnects)
    }

    fn probe(&mut self, now: Millis, slot: usize, outputs: &mut Vec<Output>) {
        let Some(member) = self.table.get(slot) else {
            return;
        };
        let boot_id = member.boot_id;
        let address = member.peer_address;
        let updates = self.entry_to_refute(slot);
        let sequence = self.ping(address, updates, outputs);
        self.probes.push(Probe {
            slot,
            boot_id,
            sequence,
            sent_at: now,
            relays_asked: false,
        });
    }

    /// Returns the entry of a member if it is suspect or dead. It is sent to the member, so that
    /// the member can refute it.
    fn entry_to_refute(&self, slot: usize) -> Vec<Member> {
        let member = self.table.get(slot);
        let member = member.filter(|member| member.state >= MemberState::Suspect);
        member.cloned().into_iter().collect()
    }

    /// Probes members whose suspicion is about to expire. Every instance does so itself, since a
    /// refutation that has reached other instances may have been lost on the way to this one.
    fn probe_expiring_suspects(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let latest_deadline = now + self.spec.probe_period_ms.times(FINAL_PROBE_PERIODS);
        let expiring = self
            .suspicions_by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= latest_deadline);
        let slots: Vec<usize> = expiring
            .map(|&(_, slot)| slot)
            .take(MAX_FINAL_PROBES)
            .collect();
        for slot in slots {
            self.ping_slot(slot, outputs);
        }
    }

    fn ping_slot(&mut self, slot: usize, outputs: &mut Vec<Output>) {
        let updates = self.entry_to_refute(slot);
        if let Some(member) = self.table.get(slot) {
            self.ping(member.peer_address, updates, outputs);
        }
    }

    /// Probes a dead member and a seed, so that both sides of a partition find each other again
    /// once it ends.
    fn reconnect(&mut self, outputs: &mut Vec<Output>) {
        if let Some(slot) = self.table.next_dead(&mut self.random) {
            self.ping_slot(slot, outputs);
        }
        for _ in 0..MAX_SEED_DRAWS {
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
        updates: Vec<Member>,
        outputs: &mut Vec<Output>,
    ) -> u64 {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.send(to, Message::Ping { sequence }, updates, outputs);
        sequence
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        updates: Vec<Member>,
        outputs: &mut Vec<Output>,
    ) {
        let packet = self.packet(message, updates);
        outputs.push(Output::Send { to, packet });
    }

    pub(super) fn packet(&mut self, message: Message, members: Vec<Member>) -> Packet {
        let members_bytes: usize = members.iter().map(Member::max_encoded_bytes).sum();
        let budget = self.spec.max_piggyback_bytes.saturating_sub(members_bytes);
        let rounded_count = (self.table.peer_count() as u64 + 2).next_power_of_two();
        let max_sends = MIN_RETRANSMITS + RETRANSMITS_PER_DOUBLING * rounded_count.trailing_zeros();
        let mut packet = self.packet_without_updates(message);
        packet.members = members;
        self.updates
            .fill_packet(self.now, &self.table, budget, max_sends, &mut packet);
        packet
    }

    fn packet_without_updates(&self, message: Message) -> Packet {
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
