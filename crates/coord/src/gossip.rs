//! Spreads members, documents and drains among the instances by gossip.
//!
//! [`Gossip`] combines [`Membership`], [`DocumentStore`] and [`DrainTable`]. Each packet carries
//! digests of all three. A receiver with an older document fetches the newer one from the sender; a
//! receiver with different drains replies with its own entries. An instance that learns of a new
//! drain or document sends a packet to a few random members immediately, so that changes do not
//! wait for the next probe.
//!
//! Invariants, for any order of messages: a document is never replaced by one with a lower version,
//! and a drain entry never by one with a lower revision.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Millis;
use crate::document::Document;
use crate::document::DocumentKind;
use crate::document::DocumentReply;
use crate::document::DocumentStore;
use crate::document::OfferOutcome;
use crate::document::Version;
use crate::drain::DrainEntry;
use crate::drain::DrainTable;
use crate::membership;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::membership::MembershipSpec;
use crate::membership::Packet;
use crate::membership::Scope;

/// The number of random members to which a change is sent immediately.
const FANOUT: usize = 4;

/// The largest encoded size of all drains in a packet. A packet that also contains
/// [`MembershipSpec::max_piggyback_bytes`] of member updates still fits into a datagram.
const MAX_DRAIN_BYTES: usize = 300;

/// The time after which a document may be requested again, from any peer, although an earlier
/// request for it is still unanswered.
const FETCH_TIMEOUT_MS: Millis = Millis(2_000);

/// The largest number of packets in each [`DRAIN_REPLY_PERIOD_MS`] that reply with all drains.
const MAX_DRAIN_REPLIES_PER_PERIOD: u32 = 16;

/// The period of the limit [`MAX_DRAIN_REPLIES_PER_PERIOD`], and the shortest time between two
/// exchanges of whole drain tables.
const DRAIN_REPLY_PERIOD_MS: Millis = Millis(500);

/// An input of [`Gossip`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The time returned by [`Gossip::wake_at`] has been reached.
    Tick,
    /// A packet arrived.
    Received {
        /// The address of the sender.
        from: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// Addresses of other instances from the settings and from the platform's list. They replace
    /// the seeds of an earlier input.
    Seeds(&'a [SocketAddr]),
    /// A peer replied to [`Output::FetchMembers`].
    Members(&'a [Member]),
    /// The platform or an operator provided a document.
    Document(&'a Document),
    /// A peer replied to [`Output::FetchDocument`].
    DocumentReply {
        /// The kind of the document that was requested.
        kind: &'a DocumentKind,
        /// The reply of the peer.
        reply: &'a DocumentReply,
    },
    /// The request of [`Output::FetchDocument`] for a document of this kind failed.
    DocumentFetchFailed(&'a DocumentKind),
    /// The platform, an operator or a peer provided drain entries.
    Drains(&'a [DrainEntry]),
    /// This instance is shutting down and takes no new work.
    Leave,
}

/// An output of [`Gossip`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The caller has to send a packet.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// The caller has to request members from a peer. The request carries
    /// [`Membership::digest_buckets`], and the peer replies with
    /// [`Membership::members_in_differing_buckets`].
    FetchMembers {
        /// The address of the peer.
        from: SocketAddr,
    },
    /// The caller has to request a document from a peer, which replies with
    /// [`DocumentStore::reply_to_fetch`].
    FetchDocument {
        /// The address of the peer.
        from: SocketAddr,
        /// The kind of the document.
        kind: DocumentKind,
        /// The version to send with the request; the default asks for the whole document.
        known_version: Version,
    },
    /// The caller has to exchange all drain entries with a peer, since they do not fit into a
    /// packet.
    ExchangeDrains {
        /// The address of the peer.
        with: SocketAddr,
    },
    /// The entry of another member changed.
    MemberChanged(Member),
    /// The document of this kind was replaced; [`Gossip::documents`] holds the new one.
    DocumentChanged(DocumentKind),
    /// These drain entries are new or changed; [`Gossip::drains`] holds all entries.
    DrainsChanged(Vec<DrainEntry>),
    /// Whether this instance now regards itself as suspect. `true` after a pause, in which its
    /// peers may have declared it dead; `false` once a peer has acknowledged it or it has no peers.
    SelfSuspect(bool),
    /// A later process has the name of this instance, so this process has to exit.
    Superseded {
        /// The boot identifier of the later process.
        boot_id: u64,
    },
}

/// The gossip protocol of one instance, with the members, documents and drains that it knows.
#[derive(Clone, Debug)]
pub struct Gossip {
    membership: Membership,
    documents: DocumentStore,
    drains: DrainTable,
    generations_by_member: BTreeMap<String, u64>,
    fetches_started_at: BTreeMap<DocumentKind, Millis>,
    next_fetch_is_full: bool,
    last_drain_exchange: Option<Millis>,
    drain_reply_period_start: Millis,
    drain_replies_in_period: u32,
}

impl Gossip {
    /// Creates the state of an instance that knows no other instances; for the parameters see
    /// [`Membership::new`].
    ///
    /// # Panics
    ///
    /// Panics when the name or the failure domain of the instance is empty or too long.
    #[must_use]
    pub fn new(spec: MembershipSpec, local_member: Member, random_seed: u64, now: Millis) -> Self {
        Self {
            documents: DocumentStore::new(&local_member.failure_domain),
            membership: Membership::new(spec, local_member, random_seed, now),
            drains: DrainTable::new(),
            generations_by_member: BTreeMap::new(),
            fetches_started_at: BTreeMap::new(),
            next_fetch_is_full: false,
            last_drain_exchange: None,
            drain_reply_period_start: now,
            drain_replies_in_period: 0,
        }
    }

    /// Handles one input and returns the outputs that the caller has to carry out.
    pub fn handle(&mut self, now: Millis, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.handle_membership(now, membership::Input::Tick, &mut outputs),
            Input::Seeds(seeds) => {
                self.handle_membership(now, membership::Input::Seeds(seeds), &mut outputs);
            }
            Input::Members(members) => {
                self.handle_membership(now, membership::Input::Members(members), &mut outputs);
            }
            Input::Leave => self.handle_membership(now, membership::Input::Leave, &mut outputs),
            Input::Received { from, packet } => self.receive(now, from, packet, &mut outputs),
            Input::Document(document) => self.offer_document(document, &mut outputs),
            Input::DocumentReply { kind, reply } => self.apply_reply(kind, reply, &mut outputs),
            Input::DocumentFetchFailed(kind) => {
                self.fetches_started_at.remove(kind);
            }
            Input::Drains(entries) => self.merge_drains(entries, &mut outputs),
        }
        outputs
    }

    /// Returns when the next [`Input::Tick`] is due.
    #[must_use]
    pub fn wake_at(&self) -> Millis {
        self.membership.wake_at()
    }

    /// Returns the failure detector with the known members.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the store of the current documents.
    #[must_use]
    pub fn documents(&self) -> &DocumentStore {
        &self.documents
    }

    /// Returns the drain table.
    #[must_use]
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Returns the configuration generation that a member last reported, or 0 when this instance
    /// has received none from it.
    #[must_use]
    pub fn generation_of(&self, member: &str) -> u64 {
        if member == self.membership.local_member().name {
            let kind = DocumentKind::Configuration;
            return self.documents.version(&kind).number;
        }
        self.generations_by_member.get(member).copied().unwrap_or(0)
    }

    /// Returns a packet that carries only the digests, so that a datagram has space for a message of
    /// another protocol.
    #[must_use]
    pub fn digests_packet(&self) -> Packet {
        let mut packet = self.membership.digests_packet();
        self.add_digests(&mut packet);
        packet
    }

    /// Returns a packet that carries digests and member updates, and needs no reply.
    pub fn gossip_packet(&mut self) -> Packet {
        let mut packet = self.membership.gossip_packet();
        self.add_digests(&mut packet);
        packet
    }

    fn add_digests(&self, packet: &mut Packet) {
        packet.digests.documents = self.documents.versions();
        packet.digests.drains = self.drains.digest();
    }

    fn handle_membership(
        &mut self,
        now: Millis,
        input: membership::Input<'_>,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.membership.handle(now, input) {
            outputs.push(match output {
                membership::Output::Send { to, mut packet } => {
                    self.add_digests(&mut packet);
                    Output::Send { to, packet }
                }
                membership::Output::FetchMembers { from } => Output::FetchMembers { from },
                membership::Output::MemberChanged(member) => {
                    if member.state == MemberState::Dead {
                        self.generations_by_member.remove(&member.name);
                    }
                    Output::MemberChanged(member)
                }
                membership::Output::SelfSuspect(suspect) => Output::SelfSuspect(suspect),
                membership::Output::Superseded { boot_id } => Output::Superseded { boot_id },
            });
        }
    }

    fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        packet: &Packet,
        outputs: &mut Vec<Output>,
    ) {
        self.merge_drains(&packet.drains, outputs);
        let input = membership::Input::Received { from, packet };
        self.handle_membership(now, input, outputs);
        if packet.sender == self.membership.local_member().name {
            return;
        }
        if self.membership.get(&packet.sender).is_some() {
            let generation = packet.digests.documents.configuration.number;
            self.generations_by_member
                .insert(packet.sender.clone(), generation);
        }
        self.fetch_newer_documents(now, from, packet, outputs);
        if packet.digests.drains != self.drains.digest() {
            self.reply_with_drains(now, from, outputs);
        }
    }

    fn fetch_newer_documents(
        &mut self,
        now: Millis,
        from: SocketAddr,
        packet: &Packet,
        outputs: &mut Vec<Output>,
    ) {
        let peer_versions = packet.digests.documents;
        let kind = DocumentKind::Configuration;
        self.fetch_if_newer(now, from, &kind, peer_versions.configuration, outputs);
        let local_domain = &self.membership.local_member().failure_domain;
        let sender = self.membership.get(&packet.sender);
        if sender.is_some_and(|sender| sender.failure_domain == *local_domain) {
            let kind = self.documents.target_list_kind().clone();
            self.fetch_if_newer(now, from, &kind, peer_versions.target_list, outputs);
        }
    }

    fn fetch_if_newer(
        &mut self,
        now: Millis,
        from: SocketAddr,
        kind: &DocumentKind,
        peer_version: Version,
        outputs: &mut Vec<Output>,
    ) {
        let current = self.documents.version(kind);
        let started_at = self.fetches_started_at.get(kind);
        let pending = started_at.is_some_and(|&started_at| now - started_at < FETCH_TIMEOUT_MS);
        if pending || !peer_version.replaces(current) {
            return;
        }
        self.fetches_started_at.insert(kind.clone(), now);
        // The peer replies to the default version with the whole document.
        let known_version = if self.next_fetch_is_full {
            Version::default()
        } else {
            current
        };
        outputs.push(Output::FetchDocument {
            from,
            kind: kind.clone(),
            known_version,
        });
    }

    fn offer_document(&mut self, document: &Document, outputs: &mut Vec<Output>) {
        if self.documents.offer(document) == OfferOutcome::Applied {
            self.announce_document(&document.kind, outputs);
        }
    }

    fn apply_reply(
        &mut self,
        kind: &DocumentKind,
        reply: &DocumentReply,
        outputs: &mut Vec<Output>,
    ) {
        self.fetches_started_at.remove(kind);
        let outcome = self.documents.apply_reply(reply);
        self.next_fetch_is_full = outcome.is_err();
        if outcome == Ok(OfferOutcome::Applied) {
            self.announce_document(kind, outputs);
        }
    }

    fn announce_document(&mut self, kind: &DocumentKind, outputs: &mut Vec<Output>) {
        outputs.push(Output::DocumentChanged(kind.clone()));
        let scope = match kind {
            DocumentKind::Configuration => Scope::All,
            DocumentKind::TargetList { .. } => Scope::LocalDomain,
        };
        for to in self.membership.sample_addresses(FANOUT, scope) {
            let packet = self.gossip_packet();
            outputs.push(Output::Send { to, packet });
        }
    }

    fn merge_drains(&mut self, entries: &[DrainEntry], outputs: &mut Vec<Output>) {
        let changed = self.drains.merge_reporting_changes(entries);
        if changed.is_empty() {
            return;
        }
        for to in self.membership.sample_addresses(FANOUT, Scope::All) {
            let mut packet = self.gossip_packet();
            packet.drains = take_fitting(changed.iter().cloned());
            outputs.push(Output::Send { to, packet });
        }
        outputs.push(Output::DrainsChanged(changed));
    }

    /// Replies to a packet whose drain digest differs. The peer merges the entries, and replies
    /// with its own only if its digest still differs, which means that this instance lacks some.
    fn reply_with_drains(&mut self, now: Millis, from: SocketAddr, outputs: &mut Vec<Output>) {
        let drains = take_fitting(self.drains.entries());
        if drains.len() < self.drains.len() {
            self.request_drain_exchange(now, from, outputs);
            return;
        }
        if now - self.drain_reply_period_start >= DRAIN_REPLY_PERIOD_MS {
            self.drain_reply_period_start = now;
            self.drain_replies_in_period = 0;
        }
        if self.drain_replies_in_period < MAX_DRAIN_REPLIES_PER_PERIOD {
            self.drain_replies_in_period += 1;
            let mut packet = self.gossip_packet();
            packet.drains = drains;
            outputs.push(Output::Send { to: from, packet });
        }
    }

    fn request_drain_exchange(&mut self, now: Millis, with: SocketAddr, outputs: &mut Vec<Output>) {
        let last = self.last_drain_exchange;
        if last.is_none_or(|last| now - last >= DRAIN_REPLY_PERIOD_MS) {
            self.last_drain_exchange = Some(now);
            outputs.push(Output::ExchangeDrains { with });
        }
    }
}

/// Returns the leading entries that fit into [`MAX_DRAIN_BYTES`] together.
fn take_fitting(entries: impl Iterator<Item = DrainEntry>) -> Vec<DrainEntry> {
    let mut budget_bytes = MAX_DRAIN_BYTES;
    let mut fitting = Vec::new();
    for entry in entries {
        let size = entry.max_encoded_bytes();
        if size > budget_bytes {
            break;
        }
        budget_bytes -= size;
        fitting.push(entry);
    }
    fitting
}
