//! The members that an instance knows, and the statements that it still passes on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::message::Member;
use super::message::MemberState;
use super::message::Packet;
use super::ring::Random;
use super::ring::Ring;
use crate::Millis;
use crate::rendezvous::stable_hash;

/// The slot of the instance itself.
pub(super) const SELF_SLOT: usize = 0;

/// The number of parts into which the digest of the members is split.
const BUCKETS: usize = 256;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Own,
    Other,
    Dead,
}

/// The members by slot, name and address.
#[derive(Clone, Debug)]
pub(super) struct Table {
    slots: Vec<Option<Entry>>,
    free: Vec<usize>,
    names: BTreeMap<String, usize>,
    process_hashes: BTreeMap<[u8; 8], usize>,
    addresses: BTreeMap<SocketAddr, usize>,
    own: Ring,
    other: Ring,
    dead: Ring,
    buckets: Vec<u64>,
    digest: u64,
}

impl Table {
    pub(super) fn new(me: Member, now: Millis) -> Self {
        let mut buckets = vec![0; BUCKETS];
        buckets[bucket_of(&me.name)] = member_hash(&me);
        let mut table = Self {
            slots: Vec::new(),
            free: Vec::new(),
            names: BTreeMap::from([(me.name.clone(), SELF_SLOT)]),
            process_hashes: BTreeMap::from([(me.process_hash(), SELF_SLOT)]),
            addresses: BTreeMap::from([(me.peer_address, SELF_SLOT)]),
            own: Ring::default(),
            other: Ring::default(),
            dead: Ring::default(),
            buckets,
            digest: member_hash(&me),
        };
        table.slots.push(Some(Entry {
            member: me,
            changed_at: now,
        }));
        table
    }

    pub(super) fn local_member(&self) -> &Member {
        self.get(SELF_SLOT).expect("the own slot is never freed")
    }

    /// Replaces the own entry; the name stays.
    pub(super) fn set_local_member(&mut self, me: Member, now: Millis) {
        let change = member_hash(self.local_member()) ^ member_hash(&me);
        self.change_digest(&me.name, change);
        self.slots[SELF_SLOT] = Some(Entry {
            member: me,
            changed_at: now,
        });
    }

    pub(super) fn get(&self, slot: usize) -> Option<&Member> {
        self.slots.get(slot)?.as_ref().map(|entry| &entry.member)
    }

    pub(super) fn slot(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    pub(super) fn by_process_hash(&self, process_hash: [u8; 8]) -> Option<&Member> {
        self.get(*self.process_hashes.get(&process_hash)?)
    }

    pub(super) fn by_name(&self, name: &str) -> Option<&Member> {
        self.get(self.slot(name)?)
    }

    /// Returns whether a member that is not dead has the address.
    pub(super) fn is_live_address(&self, address: &SocketAddr) -> bool {
        let member = self.addresses.get(address).and_then(|&slot| self.get(slot));
        member.is_some_and(|member| member.state != MemberState::Dead)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.slots.iter().flatten().map(|entry| &entry.member)
    }

    pub(super) fn own(&self) -> &Ring {
        &self.own
    }

    pub(super) fn other(&self) -> &Ring {
        &self.other
    }

    pub(super) fn next_own(&mut self, random: &mut Random) -> Option<usize> {
        self.own.next(random)
    }

    pub(super) fn next_other(&mut self, random: &mut Random) -> Option<usize> {
        self.other.next(random)
    }

    pub(super) fn next_dead(&mut self, random: &mut Random) -> Option<usize> {
        self.dead.next(random)
    }

    /// Returns the number of other members that are not dead.
    pub(super) fn peer_count(&self) -> usize {
        self.own.len() + self.other.len()
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn digest_buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the members that are not dead and whose bucket differs from that of a peer.
    pub(super) fn members_in_differing_buckets(&self, theirs: &[u64]) -> Vec<Member> {
        let differs = |member: &&Member| {
            let bucket = bucket_of(&member.name);
            theirs.get(bucket) != self.buckets.get(bucket)
        };
        let live = self
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        live.filter(differs).cloned().collect()
    }

    fn change_digest(&mut self, name: &str, change: u64) {
        self.buckets[bucket_of(name)] ^= change;
        self.digest ^= change;
    }

    /// Stores another member's entry and returns its slot.
    pub(super) fn put(&mut self, member: Member, now: Millis, random: &mut Random) -> usize {
        let slot = self
            .slot(&member.name)
            .unwrap_or_else(|| self.allocate(&member.name));
        let old = self.slots[slot].take().map(|entry| entry.member);
        let old_place = old.as_ref().map(|old| self.place(old));
        let new_place = self.place(&member);
        if let Some(old) = &old {
            self.change_digest(&old.name, live_hash(old));
            self.process_hashes.remove(&old.process_hash());
            self.release_address(old.peer_address, slot);
        }
        self.change_digest(&member.name, live_hash(&member));
        self.process_hashes.insert(member.process_hash(), slot);
        self.addresses.insert(member.peer_address, slot);
        if old_place != Some(new_place) {
            if let Some(place) = old_place {
                self.ring(place).remove(slot);
            }
            self.ring(new_place).insert(slot, random);
        }
        self.slots[slot] = Some(Entry {
            member,
            changed_at: now,
        });
        slot
    }

    fn allocate(&mut self, name: &str) -> usize {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.names.insert(name.to_owned(), slot);
        slot
    }

    /// Removes members that have been dead since before a time.
    pub(super) fn forget_dead(&mut self, before: Millis) {
        let old: Vec<usize> = self
            .dead
            .items()
            .iter()
            .copied()
            .filter(|&slot| {
                self.slots[slot]
                    .as_ref()
                    .is_some_and(|entry| entry.changed_at < before)
            })
            .collect();
        for slot in old {
            self.dead.remove(slot);
            if let Some(entry) = self.slots[slot].take() {
                self.names.remove(&entry.member.name);
                self.process_hashes.remove(&entry.member.process_hash());
                self.release_address(entry.member.peer_address, slot);
            }
            self.free.push(slot);
        }
    }

    fn release_address(&mut self, address: SocketAddr, slot: usize) {
        if self.addresses.get(&address) == Some(&slot) {
            self.addresses.remove(&address);
        }
    }

    fn place(&self, member: &Member) -> Place {
        if member.state == MemberState::Dead {
            Place::Dead
        } else if member.failure_domain == self.local_member().failure_domain {
            Place::Own
        } else {
            Place::Other
        }
    }

    fn ring(&mut self, place: Place) -> &mut Ring {
        match place {
            Place::Own => &mut self.own,
            Place::Other => &mut self.other,
            Place::Dead => &mut self.dead,
        }
    }
}

fn bucket_of(name: &str) -> usize {
    (stable_hash(name.as_bytes()) % BUCKETS as u64) as usize
}

fn live_hash(member: &Member) -> u64 {
    if member.state == MemberState::Dead {
        0
    } else {
        member_hash(member)
    }
}

/// A suspicion has the same hash as the entry it concerns, since it is settled within seconds.
fn member_hash(member: &Member) -> u64 {
    let mut bytes = Vec::with_capacity(member.name.len() + 16);
    bytes.extend_from_slice(&member.boot_id.to_be_bytes());
    bytes.extend_from_slice(&member.incarnation.to_be_bytes());
    bytes.extend_from_slice(member.name.as_bytes());
    stable_hash(&bytes)
}

/// How long an instance passes on a statement. It bounds the traffic after a partition, when all
/// members of a side are announced at once; what is missing then is pulled.
const PASS_ON_MS: Millis = Millis(30_000);

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: u32,
    since: Millis,
    whole: bool,
}

/// The turn of a statement: how often it was sent, then a rank, then the slot.
type Turn = (u32, u64, usize);

/// The statements to pass on, those that were sent least often first.
#[derive(Clone, Debug)]
pub(super) struct Updates {
    salt: u64,
    pending: BTreeMap<usize, Pending>,
    order: BTreeSet<Turn>,
}

impl Updates {
    /// Creates an empty list. The salt differs between instances, so that they do not pass on the
    /// same statements first when there are many.
    pub(super) fn new(salt: u64) -> Self {
        Self {
            salt,
            pending: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    fn turn(&self, sent: u32, slot: usize) -> Turn {
        // What an instance says about itself goes first.
        let rank = if slot == SELF_SLOT {
            0
        } else {
            (slot as u64).wrapping_mul(self.salt | 1)
        };
        (sent, rank, slot)
    }

    /// Adds the entry of a slot, or starts again with it. It is passed on as a whole when other
    /// instances may not know the member yet.
    pub(super) fn push(&mut self, slot: usize, since: Millis, whole: bool) {
        let old = self.pending.get(&slot).copied();
        if let Some(old) = old {
            self.order.remove(&self.turn(old.sent, slot));
        }
        let pending = Pending {
            sent: 0,
            since,
            whole: whole || old.is_some_and(|old| old.whole),
        };
        self.pending.insert(slot, pending);
        self.order.insert(self.turn(0, slot));
    }

    /// Adds entries that fit into a number of bytes to a packet, each at most `limit` times.
    pub(super) fn take(
        &mut self,
        now: Millis,
        table: &Table,
        mut budget_bytes: usize,
        limit: u32,
        packet: &mut Packet,
    ) {
        let mut taken = Vec::new();
        for &turn in &self.order {
            if let (Some(member), Some(pending)) = (table.get(turn.2), self.pending.get(&turn.2)) {
                let size = if pending.whole {
                    member.size_bytes()
                } else {
                    member.compact_update().size_bytes()
                };
                if size > budget_bytes {
                    break;
                }
                budget_bytes -= size;
                if !pending.whole {
                    packet.compact_updates.push(member.compact_update());
                } else if !packet.members.contains(member) {
                    packet.members.push(member.clone());
                }
            }
            taken.push(turn);
        }
        for turn in taken {
            self.count(now, turn, limit);
        }
    }

    fn count(&mut self, now: Millis, turn: Turn, limit: u32) {
        self.order.remove(&turn);
        let (sent, _, slot) = turn;
        let sent = sent + 1;
        let Some(pending) = self.pending.get_mut(&slot) else {
            return;
        };
        pending.sent = sent;
        if sent < limit && now - pending.since < PASS_ON_MS {
            self.order.insert(self.turn(sent, slot));
        } else {
            self.pending.remove(&slot);
        }
    }
}
