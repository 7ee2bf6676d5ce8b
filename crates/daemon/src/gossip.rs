//! The I/O of the gossip state machine.
//!
//! [`GossipNode`] owns the UDP socket, the TCP listener for peer calls, and the state machine
//! behind a lock. Four tasks run it: one receives datagrams, one advances the time, one makes the
//! calls that the state machine requests, and one serves the calls of peers. Changes are passed to
//! a [`GossipHandler`] without the lock held.

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

/// Interval between checks of the stop signal while waiting for datagrams or fetches.
const STOP_POLL_MS: Millis = Millis(100);

/// Maximum sleep of the timer task. A datagram that arrives during a sleep may create an earlier
/// deadline, which the timer task notices only after the sleep.
const MAX_TICK_INTERVAL_MS: Millis = Millis(50);

/// Time limit for the response to a fetch.
const FETCH_TIMEOUT_MS: Millis = Millis(1_500);

/// Maximum number of queued fetches. Further ones are dropped; a later digest requests them again.
const MAX_QUEUED_FETCHES: usize = 64;

/// Receives the changes that gossip reports, and the messages and calls that it does not handle.
///
/// The methods are called concurrently from several threads, so changes can arrive out of order. A
/// handler that needs the latest state reads it through [`GossipNode::read`].
pub trait GossipHandler: Send + Sync + 'static {
    /// Called when the entry of another member has changed.
    fn member_changed(&self, member: &Member);

    /// Called when a document has been replaced by a newer version. The call for an older version
    /// may come after that for a newer one, so the handler has to compare versions.
    fn document_changed(&self, document: &Document);

    /// Called with the drain entries that have changed.
    fn drains_changed(&self, entries: &[DrainEntry]);

    /// Called when this instance starts or stops regarding itself as suspect, that is, when other
    /// instances may regard it as dead after a pause.
    fn self_suspicion_changed(&self, suspect: bool);

    /// Called when a newer process with the name of this instance exists, so that this process has
    /// to end. `boot_id` identifies the newer process.
    fn superseded(&self, boot_id: u64);

    /// Handles a datagram body that is not part of gossip, such as grants or quarantine entries.
    fn handle_datagram(&self, from: SocketAddr, sender: &str, body: DatagramBody);

    /// Handles a peer call that is not part of gossip: a stage call, a claim command or a status
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error if a reply could not be sent.
    fn handle_call(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError>;
}

#[derive(Debug)]
enum Fetch {
    Members(SocketAddr),
    Document(SocketAddr, DocumentKind, Version),
    Drains(SocketAddr),
}

/// The gossip state machine of an instance, with its sockets.
#[derive(Debug)]
pub struct GossipNode<H> {
    cluster: String,
    clock: Clock,
    state: Mutex<Gossip>,
    socket: UdpSocket,
    listener: TcpListener,
    client: PeerClient,
    blocked_peers: Arc<BlockedPeers>,
    counters: Arc<PeerCounters>,
    fetch_sender: SyncSender<Fetch>,
    fetch_receiver: Mutex<Receiver<Fetch>>,
    handler: Arc<H>,
}

impl<H: GossipHandler> GossipNode<H> {
    /// Binds the peer address for UDP and TCP, and passes the seeds of the settings to the state
    /// machine.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or a name is empty or too long.
    pub fn bind(
        settings: &Settings,
        boot_id: u64,
        clock: Clock,
        handler: Arc<H>,
    ) -> io::Result<Arc<Self>> {
        for name in [&settings.name, &settings.failure_domain, &settings.cluster] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                let message =
                    format!("invalid name `{name}`: a name must have 1 to {MAX_NAME_BYTES} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
            }
        }
        let listener = TcpListener::bind(settings.peer_address)?;
        // If the port is 0, the listener chooses one, which the socket has to use too.
        let peer_address = listener.local_addr()?;
        let socket = UdpSocket::bind(peer_address)?;
        socket.set_read_timeout(Some(STOP_POLL_MS.to_duration()))?;
        let local_member = Member {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_address,
            http_address: settings.http_address,
            boot_id,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let seed = stable_hash(local_member.name.as_bytes()) ^ boot_id;
        let mut gossip = Gossip::new(MembershipSpec::default(), local_member, seed, clock.now());
        // This input produces no outputs.
        drop(gossip.handle(clock.now(), Input::Seeds(&settings.seeds)));
        let blocked_peers = Arc::new(BlockedPeers::default());
        let counters = Arc::new(PeerCounters::default());
        let (fetch_sender, fetch_receiver) = mpsc::sync_channel(MAX_QUEUED_FETCHES);
        Ok(Arc::new(Self {
            cluster: settings.cluster.clone(),
            clock,
            client: PeerClient::new(
                &settings.cluster,
                &settings.name,
                boot_id,
                Arc::clone(&blocked_peers),
                Arc::clone(&counters),
            ),
            state: Mutex::new(gossip),
            socket,
            listener,
            blocked_peers,
            counters,
            fetch_sender,
            fetch_receiver: Mutex::new(fetch_receiver),
            handler,
        }))
    }

    /// Calls `read` with the state machine, under its lock.
    pub fn read<R>(&self, read: impl FnOnce(&Gossip) -> R) -> R {
        read(&lock(&self.state))
    }

    /// Returns whether this instance was paused and no peer has acknowledged it since, so that
    /// other instances may regard it as dead.
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

    /// Returns the address at which other instances reach this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.read(|gossip| gossip.membership().local_member().peer_address)
    }

    /// Drops all traffic to and from the given peer addresses, which replace those of an earlier
    /// call.
    ///
    /// Tests use this to simulate a network partition on one machine.
    pub fn set_blocked_peers(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.blocked_peers.set(addresses);
    }

    /// Replaces the seeds. `seeds` has to include those of the settings.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.handle_input(Input::Seeds(seeds));
    }

    /// Stores and distributes a document, unless its version is not newer than the stored one.
    pub fn offer_document(&self, document: &Document) {
        self.handle_input(Input::Document(document));
    }

    /// Merges drain entries that were read from the platform.
    pub fn merge_drains(&self, entries: &[DrainEntry]) {
        self.handle_input(Input::Drains(entries));
    }

    /// Drains or undrains a subject on behalf of an operator, and returns the new drain entry.
    pub fn set_drained(&self, subject: DrainSubject, drained: bool) -> DrainEntry {
        let (entry, outputs) = {
            let mut state = lock(&self.state);
            let now = self.clock.now();
            let entry = state.drains().next_entry(subject, drained);
            let entries = std::slice::from_ref(&entry);
            let outputs = state.handle(now, Input::Drains(entries));
            (entry, outputs)
        };
        self.perform_outputs(outputs);
        entry
    }

    /// Announces to the other instances that this one is shutting down and takes no new work.
    pub fn announce_shutdown(&self) {
        self.handle_input(Input::Leave);
    }

    /// Sends a datagram with a body that is not part of gossip. The datagram also carries the
    /// digests of the gossip state.
    ///
    /// # Errors
    ///
    /// Returns an error if the body does not fit into a datagram.
    pub fn send_datagram(&self, to: SocketAddr, body: DatagramBody) -> Result<(), DatagramError> {
        let packet = self.read(Gossip::digests_packet);
        let mut datagram = Datagram::from_packet(&self.cluster, packet);
        datagram.body = body;
        let bytes = datagram.encode()?;
        self.send_bytes(to, &bytes);
        Ok(())
    }

    /// Receives datagrams until the stop signal is raised.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
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

    /// Advances the time of the state machine until the stop signal is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error.
    pub fn run_timer(&self, stop: &StopSignal) -> ChildResult {
        loop {
            let now = self.clock.now();
            let wake_at = self.read(Gossip::wake_at);
            if wake_at <= now {
                self.handle_input(Input::Tick);
            } else if stop.wait((wake_at - now).min(MAX_TICK_INTERVAL_MS)) {
                return Ok(());
            }
            if stop.is_raised() {
                return Ok(());
            }
        }
    }

    /// Makes the calls that the state machine requests until the stop signal is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error: after a failed fetch, a later digest requests it again.
    pub fn run_fetcher(&self, stop: &StopSignal) -> ChildResult {
        let fetch_receiver = lock(&self.fetch_receiver);
        while !stop.is_raised() {
            match fetch_receiver.recv_timeout(STOP_POLL_MS.to_duration()) {
                Ok(fetch) => self.fetch(fetch),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
        Ok(())
    }

    /// Serves peer calls until the stop signal is raised.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub fn run_server(self: &Arc<Self>, stop: &StopSignal) -> ChildResult {
        peer::serve(&self.listener, &self.cluster, self, &self.counters, stop)
    }

    fn handle_input(&self, input: Input<'_>) {
        let outputs = {
            let mut state = lock(&self.state);
            // The time is read under the lock, so that it never goes back from one input to the
            // next.
            state.handle(self.clock.now(), input)
        };
        self.perform_outputs(outputs);
    }

    fn perform_outputs(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send_packet(to, packet),
                Output::FetchMembers { from } => self.queue_fetch(Fetch::Members(from)),
                Output::FetchDocument {
                    from,
                    kind,
                    known_version,
                } => {
                    self.queue_fetch(Fetch::Document(from, kind, known_version));
                }
                Output::ExchangeDrains { with } => self.queue_fetch(Fetch::Drains(with)),
                Output::MemberChanged(member) => self.handler.member_changed(&member),
                Output::DocumentChanged(kind) => {
                    let document = self.read(|gossip| gossip.documents().get(&kind).cloned());
                    if let Some(document) = document {
                        self.handler.document_changed(&document);
                    }
                }
                Output::DrainsChanged(entries) => self.handler.drains_changed(&entries),
                Output::SelfSuspect(suspect) => self.handler.self_suspicion_changed(suspect),
                Output::Superseded { boot_id } => self.handler.superseded(boot_id),
            }
        }
    }

    fn queue_fetch(&self, fetch: Fetch) {
        if self.fetch_sender.try_send(fetch).is_err() {
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
        if self.blocked_peers.contains(&to) {
            return;
        }
        // The protocol tolerates lost datagrams, so a failure to send is only counted.
        if self.socket.send_to(bytes, to).is_err() {
            PeerCounters::add(&self.counters.datagrams_failed, 1);
            return;
        }
        PeerCounters::add(&self.counters.datagrams_sent, 1);
        PeerCounters::add(&self.counters.datagram_bytes_sent, bytes.len());
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        if self.blocked_peers.contains(&from) {
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
        self.handle_input(Input::Received { from, packet });
        if let Some(body) = body {
            self.handler.handle_datagram(from, &packet.sender, body);
        }
    }

    fn fetch(&self, fetch: Fetch) {
        // The client counts failures, and a later digest requests the fetch again.
        match fetch {
            Fetch::Members(from) => {
                let buckets = self.read(|gossip| gossip.membership().digest_buckets().to_vec());
                let reply = self.call(from, PeerRequest::FetchMembers { buckets });
                if let Ok(PeerReply::Members(members)) = reply {
                    self.handle_input(Input::Members(&members));
                }
            }
            Fetch::Document(from, kind, version) => self.fetch_document(from, &kind, version),
            Fetch::Drains(with) => {
                let entries = self.read(|gossip| gossip.drains().entries().collect());
                let reply = self.call(with, PeerRequest::ExchangeDrains { entries });
                if let Ok(PeerReply::Drains(entries)) = reply {
                    self.handle_input(Input::Drains(&entries));
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
                self.handle_input(Input::DocumentReply { kind, reply });
            }
            Ok(_) | Err(_) => self.handle_input(Input::DocumentFetchFailed(kind)),
        }
    }

    fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.client.call(to, request, FETCH_TIMEOUT_MS)
    }
}

impl<H: GossipHandler> PeerHandler for GossipNode<H> {
    fn is_blocked(&self, sender: &str) -> bool {
        let address = self.read(|gossip| {
            gossip
                .membership()
                .get(sender)
                .map(|member| member.peer_address)
        });
        address.is_some_and(|address| self.blocked_peers.contains(&address))
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
                self.handle_input(Input::Drains(&entries));
                let entries = self.read(|gossip| gossip.drains().entries().collect());
                replies.send(&PeerReply::Drains(entries))
            }
            PeerRequest::StageCall(_) | PeerRequest::Claim { .. } | PeerRequest::Status => {
                self.handler.handle_call(call, replies)
            }
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    // Linux reports an ICMP "port unreachable" for an earlier datagram as a refused connection.
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
