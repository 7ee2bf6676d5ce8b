//! Handling of received packets and member updates by the failure detector.

use std::net::SocketAddr;

use super::MAX_NAME_BYTES;
use super::Output;
use super::detector::Membership;
use super::detector::RelayedProbe;
use super::message::Member;
use super::message::MemberState;
use super::message::Message;
use super::message::Packet;
use super::table::LOCAL_SLOT;
use crate::Millis;

/// The largest number of packets in a period that send the entry of this instance to peers that do
/// not know it.
const MAX_INTRODUCTIONS: u32 = 4;

/// The largest number of probes that an instance relays for others at the same time.
const MAX_RELAYED_PROBES: usize = 256;

/// How long digests have to differ before an instance that has joined requests members.
const MIN_MISMATCH_MS: Millis = Millis(10_000);

/// The time without a differing digest after which an earlier mismatch is considered resolved.
const MISMATCH_RESET_MS: Millis = Millis(15_000);

/// The time between two requests for members while joining.
const JOIN_RETRY_MS: Millis = Millis(1_000);

/// The time until the next request for members, for each member in the last reply. At 50 bytes for
/// each member, it limits the traffic of these replies to about 1.4 KB per second.
const FETCH_INTERVAL_PER_MEMBER_MS: Millis = Millis(35);

/// The shortest time between two requests for members.
const MIN_FETCH_INTERVAL_MS: Millis = Millis(5_000);

/// Whether and in which form a received update is piggybacked on later packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retransmit {
    No,
    Compact,
    Full,
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
            self.report_later_process(packet.boot_id, outputs);
            return;
        }
        for member in &packet.members {
            self.apply_update(now, member, Retransmit::Full, outputs);
        }
        for update in &packet.compact_updates {
            let known = self.table.by_process_hash(update.process_hash);
            if let Some(member) = known.map(|known| update.to_member(known)) {
                self.apply_update(now, &member, Retransmit::Compact, outputs);
            }
        }
        let knows_sender = self.knows_sender(packet);
        match packet.message {
            Message::Ping { sequence } => {
                let message = Message::Ack {
                    sequence,
                    boot_id: self.local_member().boot_id,
                    knows_sender,
                };
                let updates = self.updates_for_sender(packet, knows_sender);
                self.send(from, message, updates, outputs);
            }
            Message::Ack {
                sequence,
                boot_id,
                knows_sender: known_to_peer,
            } => self.handle_ack(from, sequence, boot_id, known_to_peer, outputs),
            Message::PingRequest { sequence, address } => {
                self.relay_probe(now, from, sequence, address, outputs);
            }
            Message::Gossip => {}
        }
        self.fetch_members_on_mismatch(now, from, packet, outputs);
    }

    /// Returns whether the table has an entry of the process that sent the packet, in which it is
    /// neither suspect nor dead.
    fn knows_sender(&self, packet: &Packet) -> bool {
        self.get(&packet.sender).is_some_and(|member| {
            member.boot_id == packet.boot_id && member.state < MemberState::Suspect
        })
    }

    fn updates_for_sender(&self, packet: &Packet, knows_sender: bool) -> Vec<Member> {
        if knows_sender {
            return Vec::new();
        }
        let entry = self.get(&packet.sender).cloned();
        let local_member = self.local_member().clone();
        entry.into_iter().chain([local_member]).collect()
    }

    fn handle_ack(
        &mut self,
        from: SocketAddr,
        sequence: u64,
        boot_id: u64,
        known_to_peer: bool,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            let message = Message::Ack {
                sequence: relayed.sequence,
                boot_id,
                knows_sender: self.table.is_live_address(&relayed.requester),
            };
            self.send(relayed.requester, message, Vec::new(), outputs);
            return;
        }
        self.probes
            .retain(|probe| probe.sequence != sequence || probe.boot_id != boot_id);
        let sent_after_resume =
            sequence > self.last_sequence_before_resume && sequence <= self.last_sequence;
        if known_to_peer && sent_after_resume && self.self_suspect {
            self.self_suspect = false;
            outputs.push(Output::SelfSuspect(false));
        }
        if !known_to_peer && self.introductions_in_period < MAX_INTRODUCTIONS {
            self.introductions_in_period += 1;
            let introduction = vec![self.local_member().clone()];
            self.ping(from, introduction, outputs);
        }
    }

    fn relay_probe(
        &mut self,
        now: Millis,
        requester: SocketAddr,
        sequence: u64,
        address: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let relayed = RelayedProbe {
            requester,
            sequence,
            expires_at: now + self.spec.probe_period_ms,
        };
        let relayed_sequence = self.ping(address, Vec::new(), outputs);
        self.relayed_probes.insert(relayed_sequence, relayed);
    }

    /// Requests members from the sender of a packet if member digests have differed for long
    /// enough.
    fn fetch_members_on_mismatch(
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
        // A matching digest from one peer does not reset the mismatch: after a partition, the
        // digests match within each failure domain and differ between failure domains.
        let first_seen_at = match self.digest_mismatch {
            Some((first, last)) if now - last < MISMATCH_RESET_MS => first,
            _ => now,
        };
        self.digest_mismatch = Some((first_seen_at, now));
        let (min_mismatch, retry_interval) = if self.joined {
            (MIN_MISMATCH_MS, MIN_FETCH_INTERVAL_MS)
        } else {
            (Millis::ZERO, JOIN_RETRY_MS)
        };
        if now >= self.next_fetch_at && now - first_seen_at >= min_mismatch {
            self.next_fetch_at = now + retry_interval;
            outputs.push(Output::FetchMembers { from });
        }
    }

    /// Merges the members that a peer sent in reply to a request. Suspect and dead states are
    /// ignored, since after a partition a peer from the other side may still regard live members as
    /// dead.
    pub(super) fn merge_members(
        &mut self,
        now: Millis,
        members: &[Member],
        outputs: &mut Vec<Output>,
    ) {
        self.joined = true;
        let interval = FETCH_INTERVAL_PER_MEMBER_MS.times(members.len() as u64);
        self.next_fetch_at = now + interval.max(MIN_FETCH_INTERVAL_MS);
        for member in members {
            if member.state < MemberState::Suspect || member.name == self.local_member().name {
                self.apply_update(now, member, Retransmit::No, outputs);
            }
        }
    }

    fn apply_update(
        &mut self,
        now: Millis,
        update: &Member,
        retransmit: Retransmit,
        outputs: &mut Vec<Output>,
    ) {
        if !has_valid_names(update) {
            return;
        }
        if update.name == self.local_member().name {
            self.handle_update_about_self(now, update, outputs);
            return;
        }
        let newer = match self.table.by_name(&update.name) {
            Some(current) => update.precedence() > current.precedence(),
            None => update.state != MemberState::Dead,
        };
        if newer {
            self.store_member(now, update.clone(), retransmit, outputs);
        }
    }

    pub(super) fn store_member(
        &mut self,
        now: Millis,
        member: Member,
        retransmit: Retransmit,
        outputs: &mut Vec<Output>,
    ) {
        let state = member.state;
        outputs.push(Output::MemberChanged(member.clone()));
        let slot = self.table.insert(member, now, &mut self.random);
        if let Some(deadline) = self.suspicion_deadlines.remove(&slot) {
            self.suspicions_by_deadline.remove(&(deadline, slot));
        }
        if state == MemberState::Suspect {
            let deadline = now + self.spec.suspicion_ms;
            self.suspicion_deadlines.insert(slot, deadline);
            self.suspicions_by_deadline.insert((deadline, slot));
        }
        match retransmit {
            Retransmit::No => {}
            Retransmit::Compact => self.updates.push(slot, now, false),
            Retransmit::Full => self.updates.push(slot, now, true),
        }
        self.version += 1;
    }

    /// Handles an update about this instance. Raises the incarnation if the update ranks higher
    /// than the local entry, and announces the local entry again if the update is about an earlier
    /// process.
    fn handle_update_about_self(
        &mut self,
        now: Millis,
        update: &Member,
        outputs: &mut Vec<Output>,
    ) {
        if update.boot_id > self.local_member().boot_id {
            self.report_later_process(update.boot_id, outputs);
        } else if update.boot_id < self.local_member().boot_id {
            self.updates.push(LOCAL_SLOT, now, true);
        } else if update.precedence() > self.local_member().precedence() {
            let mut local_member = self.local_member().clone();
            local_member.incarnation = update.incarnation.saturating_add(1);
            self.set_local_member(local_member, now);
        }
    }

    /// Reports a later process with the name of this instance, once for each such process.
    fn report_later_process(&mut self, boot_id: u64, outputs: &mut Vec<Output>) {
        if boot_id > self.local_member().boot_id && boot_id > self.superseded_by {
            self.superseded_by = boot_id;
            outputs.push(Output::Superseded { boot_id });
        }
    }
}

pub(super) fn has_valid_names(member: &Member) -> bool {
    let valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    valid(&member.name) && valid(&member.failure_domain)
}
