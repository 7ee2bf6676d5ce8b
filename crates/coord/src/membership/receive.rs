//! What the failure detector does with packets and statements.

use std::net::SocketAddr;

use super::MAX_NAME_BYTES;
use super::Output;
use super::detector::Membership;
use super::detector::Relay;
use super::message::Member;
use super::message::MemberState;
use super::message::Message;
use super::message::Packet;
use super::table::SELF_SLOT;
use crate::Millis;

/// The number of packets per period that introduce this instance to peers that do not know it.
const MAX_INTRODUCTIONS: u32 = 4;

/// The number of indirect probes that an instance carries out at once.
const MAX_RELAYS: usize = 256;

/// How long digests have to differ before members are requested.
const MISMATCH_MS: Millis = Millis(10_000);

/// The time without differing digests after which an earlier difference is settled.
const MISMATCH_RESET_MS: Millis = Millis(15_000);

/// The time between two requests for members while joining.
const JOIN_RETRY_MS: Millis = Millis(1_000);

/// The time until the next request for members, for each one that the last answer contained. It
/// bounds their traffic to about 1.4 KB per second at 50 bytes for each.
const FETCH_INTERVAL_PER_MEMBER_MS: Millis = Millis(35);

/// The shortest time between two requests for members.
const MIN_FETCH_INTERVAL_MS: Millis = Millis(5_000);

/// How a statement is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PassOn {
    No,
    Compact,
    Whole,
}

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        packet: &Packet,
        outputs: &mut Vec<Output>,
    ) {
        if packet.sender == self.local_member().name {
            self.check_superseded(packet.boot_id, outputs);
            return;
        }
        for member in &packet.members {
            self.apply(now, member, PassOn::Whole, outputs);
        }
        for brief in &packet.compact_updates {
            let known = self.table.by_process_hash(brief.process_hash);
            if let Some(member) = known.map(|known| brief.to_member(known)) {
                self.apply(now, &member, PassOn::Compact, outputs);
            }
        }
        let knows_sender = self.knows(packet);
        match packet.message {
            Message::Ping { sequence } => {
                let message = Message::Ack {
                    sequence,
                    boot_id: self.local_member().boot_id,
                    knows_sender,
                };
                let told = self.answer_statements(packet, knows_sender);
                self.send(from, message, told, outputs);
            }
            Message::Ack {
                sequence,
                boot_id,
                knows_sender: known,
            } => self.acknowledge(from, sequence, boot_id, known, outputs),
            Message::PingRequest { sequence, address } => {
                self.relay(now, from, sequence, address, outputs);
            }
            Message::Gossip => {}
        }
        self.compare_digest(now, from, packet, outputs);
    }

    /// Returns whether the entry of the sender is that of its process and not suspect or dead.
    fn knows(&self, packet: &Packet) -> bool {
        self.get(&packet.sender).is_some_and(|member| {
            member.boot_id == packet.boot_id && member.state < MemberState::Suspect
        })
    }

    fn answer_statements(&self, packet: &Packet, knows_sender: bool) -> Vec<Member> {
        if knows_sender {
            return Vec::new();
        }
        let entry = self.get(&packet.sender).cloned();
        let me = self.local_member().clone();
        entry.into_iter().chain([me]).collect()
    }

    fn acknowledge(
        &mut self,
        from: SocketAddr,
        sequence: u64,
        boot_id: u64,
        known: bool,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let message = Message::Ack {
                sequence: relay.sequence,
                boot_id,
                knows_sender: self.table.is_live_address(&relay.requester),
            };
            self.send(relay.requester, message, Vec::new(), outputs);
            return;
        }
        self.probes
            .retain(|probe| probe.sequence != sequence || probe.boot_id != boot_id);
        let after_resume = sequence > self.resumed_at_sequence && sequence <= self.sequence;
        if known && after_resume && self.self_suspect {
            self.self_suspect = false;
            outputs.push(Output::SelfSuspect(false));
        }
        if !known && self.introductions < MAX_INTRODUCTIONS {
            self.introductions += 1;
            let introduction = vec![self.local_member().clone()];
            self.ping(from, introduction, outputs);
        }
    }

    fn relay(
        &mut self,
        now: Millis,
        requester: SocketAddr,
        sequence: u64,
        address: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let relay = Relay {
            requester,
            sequence,
            expires_at: now + self.spec.probe_period_ms,
        };
        let own_sequence = self.ping(address, Vec::new(), outputs);
        self.relays.insert(own_sequence, relay);
    }

    fn compare_digest(
        &mut self,
        now: Millis,
        from: SocketAddr,
        packet: &Packet,
        outputs: &mut Vec<Output>,
    ) {
        if packet.digests.members == self.table.digest() {
            self.joined = true;
            return;
        }
        // A match with one peer does not end a mismatch with others: after a partition, whole
        // failure domains agree among themselves and differ from the rest.
        let since = match self.differs {
            Some((since, last)) if now - last < MISMATCH_RESET_MS => since,
            _ => now,
        };
        self.differs = Some((since, now));
        let (patience, retry) = if self.joined {
            (MISMATCH_MS, MIN_FETCH_INTERVAL_MS)
        } else {
            (Millis::ZERO, JOIN_RETRY_MS)
        };
        if now >= self.next_fetch && now - since >= patience {
            self.next_fetch = now + retry;
            outputs.push(Output::FetchMembers { from });
        }
    }

    /// Merges members of a peer. Suspicions and deaths are left to the failure detector: a
    /// peer from the other side of a healed partition regards live members as dead.
    pub(super) fn merge_all(&mut self, now: Millis, members: &[Member], outputs: &mut Vec<Output>) {
        self.joined = true;
        let cost = FETCH_INTERVAL_PER_MEMBER_MS.times(members.len() as u64);
        self.next_fetch = now + cost.max(MIN_FETCH_INTERVAL_MS);
        for member in members {
            if member.state < MemberState::Suspect || member.name == self.local_member().name {
                self.apply(now, member, PassOn::No, outputs);
            }
        }
    }

    fn apply(
        &mut self,
        now: Millis,
        statement: &Member,
        pass_on: PassOn,
        outputs: &mut Vec<Output>,
    ) {
        if !is_valid(statement) {
            return;
        }
        if statement.name == self.local_member().name {
            self.answer_statement(now, statement, outputs);
            return;
        }
        let newer = match self.table.by_name(&statement.name) {
            Some(present) => statement.precedence() > present.precedence(),
            None => statement.state != MemberState::Dead,
        };
        if newer {
            self.store(now, statement.clone(), pass_on, outputs);
        }
    }

    pub(super) fn store(
        &mut self,
        now: Millis,
        member: Member,
        pass_on: PassOn,
        outputs: &mut Vec<Output>,
    ) {
        let state = member.state;
        outputs.push(Output::MemberChanged(member.clone()));
        let slot = self.table.put(member, now, &mut self.random);
        if let Some(deadline) = self.deadlines.remove(&slot) {
            self.suspects.remove(&(deadline, slot));
        }
        if state == MemberState::Suspect {
            let deadline = now + self.spec.suspicion_ms;
            self.deadlines.insert(slot, deadline);
            self.suspects.insert((deadline, slot));
        }
        match pass_on {
            PassOn::No => {}
            PassOn::Compact => self.updates.push(slot, now, false),
            PassOn::Whole => self.updates.push(slot, now, true),
        }
        self.version += 1;
    }

    /// Refutes a statement about this instance that overrides its own entry.
    fn answer_statement(&mut self, now: Millis, statement: &Member, outputs: &mut Vec<Output>) {
        if statement.boot_id > self.local_member().boot_id {
            self.check_superseded(statement.boot_id, outputs);
        } else if statement.boot_id < self.local_member().boot_id {
            self.updates.push(SELF_SLOT, now, true);
        } else if statement.precedence() > self.local_member().precedence() {
            let mut me = self.local_member().clone();
            me.incarnation = statement.incarnation.saturating_add(1);
            self.set_local_member(me, now);
        }
    }

    fn check_superseded(&mut self, boot_id: u64, outputs: &mut Vec<Output>) {
        if boot_id > self.local_member().boot_id && boot_id > self.superseded_by {
            self.superseded_by = boot_id;
            outputs.push(Output::Superseded { boot_id });
        }
    }
}

pub(super) fn is_valid(member: &Member) -> bool {
    let valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    valid(&member.name) && valid(&member.failure_domain)
}
