//! The members that an instance knows, and the updates that it still has to send.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::message::Member;
use super::message::MemberState;
use super::message::Packet;
use super::probe_order::ProbeOrder;
use super::probe_order::Random;
use crate::Millis;
use crate::rendezvous::stable_hash;

/// The slot of the local instance.
pub(super) const LOCAL_SLOT: usize = 0;

/// The number of buckets into which members are divided by the hash of their name, each with a
/// digest of its own.
const BUCKET_COUNT: usize = 256;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed_at: Millis,
}

/// The group of members to which a member belongs; each group has its own probe order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberGroup {
    LocalDomain,
    OtherDomain,
    Dead,
}

/// The known members, with indices by name, process hash and address.
#[derive(Clone, Debug)]
pub(super) struct Table {
    slots: Vec<Option<Entry>>,
    free_slots: Vec<usize>,
    slots_by_name: BTreeMap<String, usize>,
    slots_by_process_hash: BTreeMap<[u8; 8], usize>,
    slots_by_address: BTreeMap<SocketAddr, usize>,
    local_domain: ProbeOrder,
    other_domains: ProbeOrder,
    dead: ProbeOrder,
    bucket_digests: Vec<u64>,
    digest: u64,
}

impl Table {
    pub(super) fn new(local_member: Member, now: Millis) -> Self {
        let mut bucket_digests = vec![0; BUCKET_COUNT];
        bucket_digests[bucket_of(&local_member.name)] = member_hash(&local_member);
        let mut table = Self {
            slots: Vec::new(),
            free_slots: Vec::new(),
            slots_by_name: BTreeMap::from([(local_member.name.clone(), LOCAL_SLOT)]),
            slots_by_process_hash: BTreeMap::from([(local_member.process_hash(), LOCAL_SLOT)]),
            slots_by_address: BTreeMap::from([(local_member.peer_address, LOCAL_SLOT)]),
            local_domain: ProbeOrder::default(),
            other_domains: ProbeOrder::default(),
            dead: ProbeOrder::default(),
            bucket_digests,
            digest: member_hash(&local_member),
        };
        table.slots.push(Some(Entry {
            member: local_member,
            changed_at: now,
        }));
        table
    }

    pub(super) fn local_member(&self) -> &Member {
        self.get(LOCAL_SLOT)
            .expect("the slot of the local instance is never freed")
    }

    /// Replaces the entry of the local instance; name, process and address must not change.
    pub(super) fn set_local_member(&mut self, local_member: Member, now: Millis) {
        let change = member_hash(self.local_member()) ^ member_hash(&local_member);
        self.xor_into_digest(&local_member.name, change);
        self.slots[LOCAL_SLOT] = Some(Entry {
            member: local_member,
            changed_at: now,
        });
    }

    pub(super) fn get(&self, slot: usize) -> Option<&Member> {
        self.slots.get(slot)?.as_ref().map(|entry| &entry.member)
    }

    pub(super) fn slot(&self, name: &str) -> Option<usize> {
        self.slots_by_name.get(name).copied()
    }

    pub(super) fn by_process_hash(&self, process_hash: [u8; 8]) -> Option<&Member> {
        self.get(*self.slots_by_process_hash.get(&process_hash)?)
    }

    pub(super) fn by_name(&self, name: &str) -> Option<&Member> {
        self.get(self.slot(name)?)
    }

    /// Returns whether a member that is not dead has the address.
    pub(super) fn is_live_address(&self, address: &SocketAddr) -> bool {
        let member = self
            .slots_by_address
            .get(address)
            .and_then(|&slot| self.get(slot));
        member.is_some_and(|member| member.state != MemberState::Dead)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.slots.iter().flatten().map(|entry| &entry.member)
    }

    pub(super) fn local_domain(&self) -> &ProbeOrder {
        &self.local_domain
    }

    pub(super) fn other_domains(&self) -> &ProbeOrder {
        &self.other_domains
    }

    pub(super) fn next_in_local_domain(&mut self, random: &mut Random) -> Option<usize> {
        self.local_domain.next(random)
    }

    pub(super) fn next_in_other_domains(&mut self, random: &mut Random) -> Option<usize> {
        self.other_domains.next(random)
    }

    pub(super) fn next_dead(&mut self, random: &mut Random) -> Option<usize> {
        self.dead.next(random)
    }

    /// Returns the number of other members that are not dead.
    pub(super) fn peer_count(&self) -> usize {
        self.local_domain.len() + self.other_domains.len()
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn digest_buckets(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// Returns the members that are not dead and in whose bucket the digest of a peer differs.
    pub(super) fn members_in_differing_buckets(&self, peer_buckets: &[u64]) -> Vec<Member> {
        let differs = |member: &&Member| {
            let bucket = bucket_of(&member.name);
            peer_buckets.get(bucket) != self.bucket_digests.get(bucket)
        };
        let live = self
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        live.filter(differs).cloned().collect()
    }

    fn xor_into_digest(&mut self, name: &str, change: u64) {
        self.bucket_digests[bucket_of(name)] ^= change;
        self.digest ^= change;
    }

    /// Stores another member's entry and returns its slot.
    pub(super) fn insert(&mut self, member: Member, now: Millis, random: &mut Random) -> usize {
        let slot = self
            .slot(&member.name)
            .unwrap_or_else(|| self.allocate(&member.name));
        let old = self.slots[slot].take().map(|entry| entry.member);
        let old_group = old.as_ref().map(|old| self.group(old));
        let new_group = self.group(&member);
        if let Some(old) = &old {
            self.xor_into_digest(&old.name, digest_contribution(old));
            self.slots_by_process_hash.remove(&old.process_hash());
            self.remove_address(old.peer_address, slot);
        }
        self.xor_into_digest(&member.name, digest_contribution(&member));
        self.slots_by_process_hash
            .insert(member.process_hash(), slot);
        self.slots_by_address.insert(member.peer_address, slot);
        if old_group != Some(new_group) {
            if let Some(group) = old_group {
                self.probe_order(group).remove(slot);
            }
            self.probe_order(new_group).insert(slot, random);
        }
        self.slots[slot] = Some(Entry {
            member,
            changed_at: now,
        });
        slot
    }

    fn allocate(&mut self, name: &str) -> usize {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots_by_name.insert(name.to_owned(), slot);
        slot
    }

    /// Removes the members that have been dead since before the given time.
    pub(super) fn remove_dead_before(&mut self, before: Millis) {
        let expired: Vec<usize> = self
            .dead
            .slots()
            .iter()
            .copied()
            .filter(|&slot| {
                self.slots[slot]
                    .as_ref()
                    .is_some_and(|entry| entry.changed_at < before)
            })
            .collect();
        for slot in expired {
            self.dead.remove(slot);
            if let Some(entry) = self.slots[slot].take() {
                self.slots_by_name.remove(&entry.member.name);
                self.slots_by_process_hash
                    .remove(&entry.member.process_hash());
                self.remove_address(entry.member.peer_address, slot);
            }
            self.free_slots.push(slot);
        }
    }

    /// Removes an address, unless the entry in another slot has taken it over.
    fn remove_address(&mut self, address: SocketAddr, slot: usize) {
        if self.slots_by_address.get(&address) == Some(&slot) {
            self.slots_by_address.remove(&address);
        }
    }

    fn group(&self, member: &Member) -> MemberGroup {
        if member.state == MemberState::Dead {
            MemberGroup::Dead
        } else if member.failure_domain == self.local_member().failure_domain {
            MemberGroup::LocalDomain
        } else {
            MemberGroup::OtherDomain
        }
    }

    fn probe_order(&mut self, group: MemberGroup) -> &mut ProbeOrder {
        match group {
            MemberGroup::LocalDomain => &mut self.local_domain,
            MemberGroup::OtherDomain => &mut self.other_domains,
            MemberGroup::Dead => &mut self.dead,
        }
    }
}

fn bucket_of(name: &str) -> usize {
    (stable_hash(name.as_bytes()) % BUCKET_COUNT as u64) as usize
}

/// Returns what an entry contributes to the digests: 0 for a dead member, otherwise its hash.
fn digest_contribution(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        0
    } else {
        member_hash(member)
    }
}

/// Returns the hash of an entry without its state. A suspect member has the same hash as before the
/// suspicion, since the suspicion ends within seconds.
fn member_hash(member: &Member) -> u64 {
    let mut bytes = Vec::with_capacity(member.name.len() + 16);
    bytes.extend_from_slice(&member.boot_id.to_be_bytes());
    bytes.extend_from_slice(&member.incarnation.to_be_bytes());
    bytes.extend_from_slice(member.name.as_bytes());
    stable_hash(&bytes)
}

/// How long an instance keeps sending an update. It bounds the traffic after a partition, when all
/// members of a side are announced together; instances that miss updates request the members.
const MAX_RETRANSMIT_DURATION_MS: Millis = Millis(30_000);

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    times_sent: u32,
    queued_at: Millis,
    full: bool,
}

/// The sort key of an update: how often it was sent, then a pseudorandom rank (0 for the local
/// instance), then the slot of the member.
type QueueKey = (u32, u64, usize);

/// The updates to piggyback on packets; those that were sent least often go first.
#[derive(Clone, Debug)]
pub(super) struct UpdateQueue {
    rank_multiplier: u64,
    pending: BTreeMap<usize, PendingUpdate>,
    order: BTreeSet<QueueKey>,
}

impl UpdateQueue {
    /// Creates an empty queue. The rank multiplier differs between instances, so that they do not
    /// send the same updates first when there are many.
    pub(super) fn new(rank_multiplier: u64) -> Self {
        Self {
            rank_multiplier,
            pending: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    fn key(&self, times_sent: u32, slot: usize) -> QueueKey {
        // Among updates that were sent equally often, the one about the local instance goes first.
        let rank = if slot == LOCAL_SLOT {
            0
        } else {
            (slot as u64).wrapping_mul(self.rank_multiplier | 1)
        };
        (times_sent, rank, slot)
    }

    /// Queues an update about the member in a slot. If one is queued already, its count of sends
    /// starts again at 0. `full` sends the whole entry, for a member that other instances may not
    /// know yet.
    pub(super) fn push(&mut self, slot: usize, queued_at: Millis, full: bool) {
        let old = self.pending.get(&slot).copied();
        if let Some(old) = old {
            self.order.remove(&self.key(old.times_sent, slot));
        }
        let pending = PendingUpdate {
            times_sent: 0,
            queued_at,
            full: full || old.is_some_and(|old| old.full),
        };
        self.pending.insert(slot, pending);
        self.order.insert(self.key(0, slot));
    }

    /// Adds updates to a packet as long as they fit into the given number of bytes. An update is
    /// removed from the queue when it was sent `max_sends` times.
    pub(super) fn fill_packet(
        &mut self,
        now: Millis,
        table: &Table,
        mut budget_bytes: usize,
        max_sends: u32,
        packet: &mut Packet,
    ) {
        let mut taken = Vec::new();
        for &key in &self.order {
            if let (Some(member), Some(pending)) = (table.get(key.2), self.pending.get(&key.2)) {
                let size = if pending.full {
                    member.max_encoded_bytes()
                } else {
                    member.compact_update().encoded_bytes()
                };
                if size > budget_bytes {
                    break;
                }
                budget_bytes -= size;
                if !pending.full {
                    packet.compact_updates.push(member.compact_update());
                } else if !packet.members.contains(member) {
                    packet.members.push(member.clone());
                }
            }
            taken.push(key);
        }
        for key in taken {
            self.record_sent(now, key, max_sends);
        }
    }

    fn record_sent(&mut self, now: Millis, key: QueueKey, max_sends: u32) {
        self.order.remove(&key);
        let (times_sent, _, slot) = key;
        let times_sent = times_sent + 1;
        let Some(pending) = self.pending.get_mut(&slot) else {
            return;
        };
        pending.times_sent = times_sent;
        if times_sent < max_sends && now - pending.queued_at < MAX_RETRANSMIT_DURATION_MS {
            self.order.insert(self.key(times_sent, slot));
        } else {
            self.pending.remove(&slot);
        }
    }
}
