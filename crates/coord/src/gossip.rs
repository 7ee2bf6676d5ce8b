//! What instances tell each other: members, versions of documents, and drains.
//!
//! [`Gossip`] joins [`Membership`], [`DocumentStore`] and [`DrainTable`]. Each packet carries
//! digests of all three. A receiver that is behind pulls the document; a receiver with other
//! drains answers with its own. Whoever learns of a new drain or document tells a few random
//! members at once, so that news does not wait for the next probe.
//!
//! Invariants: a document is never replaced by one of a lower version, and a drain entry never by
//! one of a lower revision, whatever arrives in whatever order.

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

/// The number of members that are told of news at once.
const FANOUT: usize = 4;

/// The largest sum of the sizes of the drains in a packet, in bytes; a packet with drains and the
/// largest number of members stays within a datagram.
const MAX_DRAIN_BYTES: usize = 300;

/// The time after which a request for a document or for drains may be repeated.
const FETCH_TIMEOUT_MS: Millis = Millis(2_000);

/// The number of answers with own drains in a period of [`DRAIN_ANSWER_PERIOD_MS`].
const MAX_DRAIN_ANSWERS: u32 = 16;

/// The period to which [`MAX_DRAIN_ANSWERS`] applies.
const DRAIN_ANSWER_PERIOD_MS: Millis = Millis(500);

/// An input of [`Gossip`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The time that [`Gossip::wake_at`] named has come.
    Tick,
    /// A packet arrived.
    Received {
        /// The address of the sender.
        from: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// Addresses of other instances from the settings and the platform's list.
    Seeds(&'a [SocketAddr]),
    /// A peer answered [`Output::FetchMembers`].
    Members(&'a [Member]),
    /// The platform or an operator provided a document.
    Document(&'a Document),
    /// A peer answered [`Output::FetchDocument`].
    DocumentReply {
        /// The kind of the document.
        kind: &'a DocumentKind,
        /// The answer.
        reply: &'a DocumentReply,
    },
    /// A peer did not answer [`Output::FetchDocument`].
    DocumentFetchFailed(&'a DocumentKind),
    /// The platform, an operator or a peer provided drains.
    Drains(&'a [DrainEntry]),
    /// This instance takes no new work any more.
    Leave,
}

/// An output of [`Gossip`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A packet has to be sent.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Members have to be requested from a peer; [`Membership::buckets`] goes with the request,
    /// and [`Membership::members_in_differing_buckets`] answers it.
    FetchMembers {
        /// The address of the peer.
        from: SocketAddr,
    },
    /// A document has to be requested from a peer.
    FetchDocument {
        /// The address of the peer.
        from: SocketAddr,
        /// The kind of the document.
        kind: DocumentKind,
        /// The version to name in the request.
        known_version: Version,
    },
    /// Drains have to be exchanged with a peer, since they are too many for a packet.
    ExchangeDrains {
        /// The address of the peer.
        with: SocketAddr,
    },
    /// The entry of another member changed.
    MemberChanged(Member),
    /// A document was replaced; [`Gossip::documents`] holds the new one.
    DocumentChanged(DocumentKind),
    /// Drains changed; [`Gossip::drains`] holds all of them.
    DrainsChanged(Vec<DrainEntry>),
    /// This instance began or ceased to regard itself as suspect.
    SelfSuspect(bool),
    /// A later process with the name of this instance exists; this one has to end.
    Superseded {
        /// The boot identifier of the other process.
        boot_id: u64,
    },
}

/// What one instance knows and tells others.
#[derive(Clone, Debug)]
pub struct Gossip {
    membership: Membership,
    documents: DocumentStore,
    drains: DrainTable,
    generations: BTreeMap<String, u64>,
    fetches: BTreeMap<DocumentKind, Millis>,
    full_document_next: bool,
    last_exchange: Option<Millis>,
    answers_since: Millis,
    answers: u32,
}

impl Gossip {
    /// Creates the state of an instance that knows nothing yet; see [`Membership::new`].
    ///
    /// # Panics
    ///
    /// Panics when the name or the failure domain is empty or too long.
    #[must_use]
    pub fn new(spec: MembershipSpec, me: Member, seed: u64, now: Millis) -> Self {
        Self {
            documents: DocumentStore::new(&me.failure_domain),
            membership: Membership::new(spec, me, seed, now),
            drains: DrainTable::new(),
            generations: BTreeMap::new(),
            fetches: BTreeMap::new(),
            full_document_next: false,
            last_exchange: None,
            answers_since: now,
            answers: 0,
        }
    }

    /// Handles one input.
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
            Input::Document(document) => self.offer(document, &mut outputs),
            Input::DocumentReply { kind, reply } => self.apply_reply(kind, reply, &mut outputs),
            Input::DocumentFetchFailed(kind) => {
                self.fetches.remove(kind);
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

    /// Returns the members.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the documents.
    #[must_use]
    pub fn documents(&self) -> &DocumentStore {
        &self.documents
    }

    /// Returns the drains.
    #[must_use]
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Returns the generation that a member reported last, or 0 when it has reported none here.
    #[must_use]
    pub fn generation_of(&self, member: &str) -> u64 {
        if member == self.membership.local_member().name {
            let kind = DocumentKind::Configuration;
            return self.documents.version(&kind).number;
        }
        self.generations.get(member).copied().unwrap_or(0)
    }

    /// Returns a packet with the digests only, for messages of other parts.
    #[must_use]
    pub fn digests_packet(&self) -> Packet {
        let mut packet = self.membership.digests_packet();
        self.add_digests(&mut packet);
        packet
    }

    /// Returns a packet that asks for no answer.
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
                        self.generations.remove(&member.name);
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
            self.generations.insert(packet.sender.clone(), generation);
        }
        self.compare_documents(now, from, packet, outputs);
        if packet.digests.drains != self.drains.digest() {
            self.answer_drains(now, from, outputs);
        }
    }

    fn compare_documents(
        &mut self,
        now: Millis,
        from: SocketAddr,
        packet: &Packet,
        outputs: &mut Vec<Output>,
    ) {
        let theirs = packet.digests.documents;
        let configuration = DocumentKind::Configuration;
        self.fetch(now, from, &configuration, theirs.configuration, outputs);
        let own_domain = &self.membership.local_member().failure_domain;
        let sender = self.membership.get(&packet.sender);
        if sender.is_some_and(|sender| sender.failure_domain == *own_domain) {
            let kind = self.documents.target_list_kind().clone();
            self.fetch(now, from, &kind, theirs.target_list, outputs);
        }
    }

    fn fetch(
        &mut self,
        now: Millis,
        from: SocketAddr,
        kind: &DocumentKind,
        theirs: Version,
        outputs: &mut Vec<Output>,
    ) {
        let held = self.documents.version(kind);
        let begun = self.fetches.get(kind);
        let busy = begun.is_some_and(|&begun| now - begun < FETCH_TIMEOUT_MS);
        if busy || !theirs.replaces(held) {
            return;
        }
        self.fetches.insert(kind.clone(), now);
        // Naming no version makes the peer send the whole document.
        let known_version = if self.full_document_next {
            Version::default()
        } else {
            held
        };
        outputs.push(Output::FetchDocument {
            from,
            kind: kind.clone(),
            known_version,
        });
    }

    fn offer(&mut self, document: &Document, outputs: &mut Vec<Output>) {
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
        self.fetches.remove(kind);
        let offer = self.documents.apply_reply(reply);
        self.full_document_next = offer.is_err();
        if offer == Ok(OfferOutcome::Applied) {
            self.announce_document(kind, outputs);
        }
    }

    fn announce_document(&mut self, kind: &DocumentKind, outputs: &mut Vec<Output>) {
        outputs.push(Output::DocumentChanged(kind.clone()));
        let scope = match kind {
            DocumentKind::Configuration => Scope::All,
            DocumentKind::TargetList { .. } => Scope::OwnDomain,
        };
        for to in self.membership.sample_addresses(FANOUT, scope) {
            let packet = self.gossip_packet();
            outputs.push(Output::Send { to, packet });
        }
    }

    fn merge_drains(&mut self, entries: &[DrainEntry], outputs: &mut Vec<Output>) {
        let new = self.drains.merge_reporting_changes(entries);
        if new.is_empty() {
            return;
        }
        for to in self.membership.sample_addresses(FANOUT, Scope::All) {
            let mut packet = self.gossip_packet();
            packet.drains = fitting(new.iter().cloned());
            outputs.push(Output::Send { to, packet });
        }
        outputs.push(Output::DrainsChanged(new));
    }

    /// Answers a packet whose digest of drains differs. The peer merges the answer, and answers in
    /// its turn only if it has entries that are missing here.
    fn answer_drains(&mut self, now: Millis, from: SocketAddr, outputs: &mut Vec<Output>) {
        let drains = fitting(self.drains.entries());
        if drains.len() < self.drains.len() {
            self.exchange_drains(now, from, outputs);
            return;
        }
        if now - self.answers_since >= DRAIN_ANSWER_PERIOD_MS {
            self.answers_since = now;
            self.answers = 0;
        }
        if self.answers < MAX_DRAIN_ANSWERS {
            self.answers += 1;
            let mut packet = self.gossip_packet();
            packet.drains = drains;
            outputs.push(Output::Send { to: from, packet });
        }
    }

    fn exchange_drains(&mut self, now: Millis, with: SocketAddr, outputs: &mut Vec<Output>) {
        let last = self.last_exchange;
        if last.is_none_or(|last| now - last >= DRAIN_ANSWER_PERIOD_MS) {
            self.last_exchange = Some(now);
            outputs.push(Output::ExchangeDrains { with });
        }
    }
}

/// Returns the first entries whose sizes fit into a packet.
fn fitting(entries: impl Iterator<Item = DrainEntry>) -> Vec<DrainEntry> {
    let mut budget_bytes = MAX_DRAIN_BYTES;
    let mut fitting = Vec::new();
    for entry in entries {
        let size = entry.size_bytes();
        if size > budget_bytes {
            break;
        }
        budget_bytes -= size;
        fitting.push(entry);
    }
    fitting
}
