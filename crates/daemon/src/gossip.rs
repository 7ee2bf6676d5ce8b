//! The threads that drive the gossip state machine.
//!
//! [`GossipNode`] owns the UDP socket, the listener for peer calls and the state machine behind a
//! lock. Three tasks run it: one receives datagrams, one hands over the time, one makes the calls
//! that the state machine asks for. News is passed to [`GossipHandler`] without the lock held.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;

use crate::peer;
use crate::peer::BlockedPeers;
use crate::peer::PeerClient;
use crate::peer::PeerCounters;
use crate::peer::PeerError;
use crate::peer::PeerHandler;
use crate::peer::ReplyWriter;
use crate::peer::lock;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_config::Settings;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::document::Version;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::gossip::Gossip;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::MAX_NAME_BYTES;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_coord::membership::MembershipSpec;
use arbutus_coord::membership::Packet;
use arbutus_coord::rendezvous::stable_hash;
use arbutus_wire::datagram::Datagram;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::DatagramError;
use arbutus_wire::datagram::MAX_DATAGRAM_BYTES;
use arbutus_wire::frame::FrameError;
use arbutus_wire::peer::PeerCall;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;

/// The time between two looks at the stop flag while waiting for datagrams or fetches.
const WAIT_MS: Millis = Millis(100);

/// The longest time between two looks at the next deadline, which a datagram may bring forward.
const LONGEST_TICK_MS: Millis = Millis(50);

/// The time in which a peer has to answer a fetch.
const FETCH_TIMEOUT_MS: Millis = Millis(1_500);

/// The number of fetches that wait; more are dropped, and later digests ask for them again.
const MAX_FETCHES: usize = 64;

/// Learns what the state machine reports, and answers the calls that gossip itself does not.
///
/// The methods are called from several threads, one change at a time for each thread; a receiver
/// that needs the latest state reads it through [`GossipNode::read`].
pub trait GossipHandler: Send + Sync + 'static {
    /// The entry of another member changed.
    fn member_changed(&self, member: &Member);

    /// A document was replaced by a newer version. The call for an earlier version may come after
    /// that for a later one, so the receiver compares versions.
    fn document_changed(&self, document: &Document);

    /// Drains changed; the entries are those that are new.
    fn drains_changed(&self, entries: &[DrainEntry]);

    /// This instance began or ceased to regard itself as suspect.
    fn self_suspicion_changed(&self, suspect: bool);

    /// A later process with the name of this instance exists; this one has to end.
    fn superseded(&self, boot_id: u64);

    /// A datagram of another part arrived: grants or quarantine entries.
    fn handle_datagram(&self, from: SocketAddr, sender: &str, body: DatagramBody);

    /// A stage call, a claim or a request for the status arrived.
    ///
    /// # Errors
    ///
    /// Returns an error when an answer could not be sent.
    fn handle_call(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError>;
}

#[derive(Debug)]
enum Fetch {
    Members(SocketAddr),
    Document(SocketAddr, DocumentKind, Version),
    Drains(SocketAddr),
}

/// The gossip state machine of an instance with its sockets.
#[derive(Debug)]
pub struct GossipNode<E> {
    cluster: String,
    clock: Clock,
    state: Mutex<Gossip>,
    socket: UdpSocket,
    listener: TcpListener,
    client: PeerClient,
    blocked: Arc<BlockedPeers>,
    counters: Arc<PeerCounters>,
    fetches: SyncSender<Fetch>,
    waiting: Mutex<Receiver<Fetch>>,
    events: Arc<E>,
}

impl<E: GossipHandler> GossipNode<E> {
    /// Binds the peer address for UDP and TCP, and takes over the seeds of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or a name is too long.
    pub fn bind(
        settings: &Settings,
        boot_id: u64,
        clock: Clock,
        events: Arc<E>,
    ) -> io::Result<Arc<Self>> {
        for name in [&settings.name, &settings.failure_domain, &settings.cluster] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                let message = format!("{name}: a name has 1 to {MAX_NAME_BYTES} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
            }
        }
        let listener = TcpListener::bind(settings.peer_address)?;
        // A port of 0 is chosen by the listener, and the socket uses the same one.
        let peer_address = listener.local_addr()?;
        let socket = UdpSocket::bind(peer_address)?;
        socket.set_read_timeout(Some(WAIT_MS.to_duration()))?;
        let me = Member {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_address,
            http_address: settings.http_address,
            boot_id,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let seed = stable_hash(me.name.as_bytes()) ^ boot_id;
        let mut gossip = Gossip::new(MembershipSpec::default(), me, seed, clock.now());
        // Seeds produce no outputs.
        drop(gossip.handle(clock.now(), Input::Seeds(&settings.seeds)));
        let blocked = Arc::new(BlockedPeers::default());
        let counters = Arc::new(PeerCounters::default());
        let (fetches, waiting) = mpsc::sync_channel(MAX_FETCHES);
        Ok(Arc::new(Self {
            cluster: settings.cluster.clone(),
            clock,
            client: PeerClient::new(
                &settings.cluster,
                &settings.name,
                boot_id,
                Arc::clone(&blocked),
                Arc::clone(&counters),
            ),
            state: Mutex::new(gossip),
            socket,
            listener,
            blocked,
            counters,
            fetches,
            waiting: Mutex::new(waiting),
            events,
        }))
    }

    /// Reads the state machine.
    pub fn read<R>(&self, read: impl FnOnce(&Gossip) -> R) -> R {
        read(&lock(&self.state))
    }

    /// Returns whether this instance was paused and no peer has acknowledged it since.
    #[must_use]
    pub fn is_self_suspect(&self) -> bool {
        self.read(|gossip| gossip.membership().is_self_suspect(self.clock.now()))
    }

    /// Returns the client for calls to other instances.
    #[must_use]
    pub fn client(&self) -> &PeerClient {
        &self.client
    }

    /// Returns the counters of traffic between instances.
    #[must_use]
    pub fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    /// Returns the address for other instances.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.read(|gossip| gossip.membership().local_member().peer_address)
    }

    /// Makes peers unreachable in both directions; replaces those of an earlier call. It exists
    /// for tests of partitions on one machine.
    pub fn set_blocked_peers(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.blocked.set(addresses);
    }

    /// Takes over the addresses of other instances; those of the settings belong to them.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.input(Input::Seeds(seeds));
    }

    /// Offers a document that the platform or an operator provided.
    pub fn offer_document(&self, document: &Document) {
        self.input(Input::Document(document));
    }

    /// Merges drains that the platform provided.
    pub fn merge_drains(&self, entries: &[DrainEntry]) {
        self.input(Input::Drains(entries));
    }

    /// Carries out an operator's order, and returns the entry that results.
    pub fn set_drained(&self, subject: DrainSubject, drained: bool) -> DrainEntry {
        let (entry, outputs) = {
            let mut state = lock(&self.state);
            let now = self.clock.now();
            let entry = state.drains().next_entry(subject, drained);
            let entries = std::slice::from_ref(&entry);
            let outputs = state.handle(now, Input::Drains(entries));
            (entry, outputs)
        };
        self.carry_out(outputs);
        entry
    }

    /// Announces that this instance takes no new work any more.
    pub fn announce_shutdown(&self) {
        self.input(Input::Leave);
    }

    /// Sends a datagram of another part.
    ///
    /// # Errors
    ///
    /// Returns an error when the body does not fit into a datagram.
    pub fn send_datagram(&self, to: SocketAddr, body: DatagramBody) -> Result<(), DatagramError> {
        let packet = self.read(Gossip::digests_packet);
        let mut datagram = Datagram::from_packet(&self.cluster, packet);
        datagram.body = body;
        let bytes = datagram.encode()?;
        self.send_bytes(to, &bytes);
        Ok(())
    }

    /// Receives datagrams until the stop flag is raised.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub fn run_receiver(&self, stop: &StopSignal) -> ChildResult {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !stop.is_raised() {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => self.receive(from, &buffer[..size]),
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(())
    }

    /// Hands the time to the state machine until the stop flag is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error.
    pub fn run_timer(&self, stop: &StopSignal) -> ChildResult {
        loop {
            let now = self.clock.now();
            let wake_at = self.read(Gossip::wake_at);
            if wake_at <= now {
                self.input(Input::Tick);
            } else if stop.wait((wake_at - now).min(LONGEST_TICK_MS)) {
                return Ok(());
            }
            if stop.is_raised() {
                return Ok(());
            }
        }
    }

    /// Makes the calls that the state machine asks for until the stop flag is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error: a failed fetch is asked for again after a later digest.
    pub fn run_fetcher(&self, stop: &StopSignal) -> ChildResult {
        let waiting = lock(&self.waiting);
        while !stop.is_raised() {
            match waiting.recv_timeout(WAIT_MS.to_duration()) {
                Ok(fetch) => self.fetch(fetch),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
        Ok(())
    }

    /// Answers peer calls until the stop flag is raised.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener fails.
    pub fn run_server(self: &Arc<Self>, stop: &StopSignal) -> ChildResult {
        peer::serve(&self.listener, &self.cluster, self, &self.counters, stop)
    }

    fn input(&self, input: Input<'_>) {
        let outputs = {
            let mut state = lock(&self.state);
            // The time is read under the lock, so that it never falls between two inputs.
            state.handle(self.clock.now(), input)
        };
        self.carry_out(outputs);
    }

    fn carry_out(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send_packet(to, packet),
                Output::FetchMembers { from } => self.queue(Fetch::Members(from)),
                Output::FetchDocument {
                    from,
                    kind,
                    known_version,
                } => {
                    self.queue(Fetch::Document(from, kind, known_version));
                }
                Output::ExchangeDrains { with } => self.queue(Fetch::Drains(with)),
                Output::MemberChanged(member) => self.events.member_changed(&member),
                Output::DocumentChanged(kind) => {
                    let document = self.read(|gossip| gossip.documents().get(&kind).cloned());
                    if let Some(document) = document {
                        self.events.document_changed(&document);
                    }
                }
                Output::DrainsChanged(entries) => self.events.drains_changed(&entries),
                Output::SelfSuspect(suspect) => self.events.self_suspicion_changed(suspect),
                Output::Superseded { boot_id } => self.events.superseded(boot_id),
            }
        }
    }

    fn queue(&self, fetch: Fetch) {
        if self.fetches.try_send(fetch).is_err() {
            PeerCounters::add(&self.counters.calls_failed, 1);
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: Packet) {
        match Datagram::from_packet(&self.cluster, packet).encode() {
            Ok(bytes) => self.send_bytes(to, &bytes),
            Err(_) => PeerCounters::add(&self.counters.datagrams_failed, 1),
        }
    }

    fn send_bytes(&self, to: SocketAddr, bytes: &[u8]) {
        if self.blocked.contains(&to) {
            return;
        }
        // A lost datagram and one that could not be sent are the same to the protocol.
        if self.socket.send_to(bytes, to).is_err() {
            PeerCounters::add(&self.counters.datagrams_failed, 1);
            return;
        }
        PeerCounters::add(&self.counters.datagrams_sent, 1);
        PeerCounters::add(&self.counters.datagram_bytes_sent, bytes.len());
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        if self.blocked.contains(&from) {
            return;
        }
        PeerCounters::add(&self.counters.datagrams_received, 1);
        PeerCounters::add(&self.counters.datagram_bytes_received, bytes.len());
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) if datagram.cluster == self.cluster => datagram,
            Ok(_) | Err(_) => {
                PeerCounters::add(&self.counters.datagrams_rejected, 1);
                return;
            }
        };
        let (packet, body) = datagram.into_packet();
        let packet = &packet;
        self.input(Input::Received { from, packet });
        if let Some(body) = body {
            self.events.handle_datagram(from, &packet.sender, body);
        }
    }

    fn fetch(&self, fetch: Fetch) {
        // A failure is counted by the client, and a later digest asks again.
        match fetch {
            Fetch::Members(from) => {
                let buckets = self.read(|gossip| gossip.membership().digest_buckets().to_vec());
                let reply = self.call(from, PeerRequest::FetchMembers { buckets });
                if let Ok(PeerReply::Members(members)) = reply {
                    self.input(Input::Members(&members));
                }
            }
            Fetch::Document(from, kind, version) => self.fetch_document(from, &kind, version),
            Fetch::Drains(with) => {
                let entries = self.read(|gossip| gossip.drains().entries().collect());
                let reply = self.call(with, PeerRequest::ExchangeDrains { entries });
                if let Ok(PeerReply::Drains(entries)) = reply {
                    self.input(Input::Drains(&entries));
                }
            }
        }
    }

    fn fetch_document(&self, from: SocketAddr, kind: &DocumentKind, known_version: Version) {
        let request = PeerRequest::FetchDocument {
            kind: kind.clone(),
            known_version,
        };
        match self.call(from, request) {
            Ok(PeerReply::Document(reply)) => {
                let reply = &reply;
                self.input(Input::DocumentReply { kind, reply });
            }
            Ok(_) | Err(_) => self.input(Input::DocumentFetchFailed(kind)),
        }
    }

    fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.client.call(to, request, FETCH_TIMEOUT_MS)
    }
}

impl<E: GossipHandler> PeerHandler for GossipNode<E> {
    fn is_blocked(&self, sender: &str) -> bool {
        let address = self.read(|gossip| gossip.membership().get(sender).map(|m| m.peer_address));
        address.is_some_and(|address| self.blocked.contains(&address))
    }

    fn handle(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError> {
        match call.request {
            PeerRequest::FetchDocument {
                kind,
                known_version,
            } => {
                let reply =
                    self.read(|gossip| gossip.documents().reply_to_fetch(&kind, known_version));
                replies.send(&PeerReply::Document(reply))
            }
            PeerRequest::FetchMembers { buckets } => {
                let members =
                    self.read(|gossip| gossip.membership().members_in_differing_buckets(&buckets));
                replies.send(&PeerReply::Members(members))
            }
            PeerRequest::ExchangeDrains { entries } => {
                self.input(Input::Drains(&entries));
                let entries = self.read(|gossip| gossip.drains().entries().collect());
                replies.send(&PeerReply::Drains(entries))
            }
            PeerRequest::StageCall(_) | PeerRequest::Claim { .. } | PeerRequest::Status => {
                self.events.handle_call(call, replies)
            }
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    // Linux reports a closed port of an earlier receiver as a refused connection.
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
