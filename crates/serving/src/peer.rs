//! Connections between instances.
//!
//! An instance opens a connection to each owner that it submits pieces to, and to other instances
//! while the store is away. Frames are those of `arbutus_wire`. A connection on which something is
//! awaited and nothing arrives for [`SILENCE_MS`] is given up.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::rc::Weak;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::net;
use crate::owner::Owners;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::update::StateUpdate;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::stage_graph::PieceProgress;
use arbutus_wire::frame;
use arbutus_wire::frame::HEADER_BYTES;
use arbutus_wire::frame::MAX_FRAME_BYTES;

/// How long a connection may take; a refused packet would be repeated after a second.
const CONNECT_MS: Millis = Millis(400);
/// How often the other side is asked for a sign of life while something is awaited.
const PING_MS: Millis = Millis(300);
/// After this time without a sign of life the connection is given up.
const SILENCE_MS: Millis = Millis(900);

/// How often backlogs are reported to instances that submit pieces.
const REPORT_MS: Millis = Millis(200);
/// Shorter backlogs are not reported: each call has a wait of this order.
const LEAST_REPORTED_MS: Millis = Millis(150);

/// Pieces of one stage of a request, as they travel to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitMessage {
    /// The number that the submitting instance chose.
    pub number: u64,
    /// The queue that the pieces go to.
    pub queue: QueueName,
    /// The identifier of the request.
    pub request: String,
    /// The position of the stage.
    pub stage: u32,
    /// The positions of the pieces.
    pub pieces: Vec<u32>,
    /// Where the work begins.
    pub source: PieceSource,
    /// The failure domain where results are wanted.
    pub failure_domain: String,
    /// How soon the pieces should be made.
    pub due_ms: Millis,
    /// When the request is given up.
    pub deadline_ms: Millis,
    /// The rank of the request.
    pub rank: u32,
    /// The approximate size of a result.
    pub result_bytes: u64,
}

/// What an instance sends to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCommand {
    /// Adds pieces to a queue.
    Submit(SubmitMessage),
    /// Withdraws pieces.
    Cancel {
        /// The queue.
        queue: QueueName,
        /// The number of the submission.
        number: u64,
    },
    /// Frees results.
    Free {
        /// The queue of the targets that made them.
        queue: QueueName,
        /// The results.
        handles: Vec<String>,
    },
    /// Asks for a sign of life.
    Ping,
    /// Asks for objects of the store that are newer than those known.
    Objects(Vec<(ObjectKind, u64)>),
    /// Asks for the same, and for each change from now on.
    Follow(Vec<(ObjectKind, u64)>),
    /// Tells of a request that crashes targets.
    Crashes(Vec<QuarantineEntry>),
}

/// What an instance answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Something happened to a piece.
    Piece {
        /// The number of the submission.
        number: u64,
        /// The position of the piece.
        piece: u32,
        /// What happened to it.
        progress: PieceProgress,
    },
    /// A sign of life.
    Pong,
    /// The instance stops; it finishes the calls in progress and returns all other pieces.
    Leaving,
    /// Objects of the store.
    Objects(ObjectKind, StateUpdate),
    /// The instance watches the store, which answers, and sends each change.
    Followed,
    /// The store does not answer the instance.
    Blind,
    /// The instance does not watch the store, at least not yet.
    NotWatching,
    /// How long the targets of a queue need for what waits.
    Backlog {
        /// The queue.
        queue: QueueName,
        /// The time.
        backlog_ms: Millis,
    },
}

/// The outgoing connections.
#[derive(Debug)]
pub struct PeerLinks {
    shared: Rc<Shared>,
    links: RefCell<BTreeMap<String, UnboundedSender<PeerCommand>>>,
    client: RefCell<Weak<StageClient>>,
    store: Rc<StoreState>,
}

impl PeerLinks {
    /// Creates the links of an instance, of which there are none yet.
    #[must_use]
    pub fn new(shared: Rc<Shared>, store: Rc<StoreState>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            links: RefCell::new(BTreeMap::new()),
            client: RefCell::new(Weak::new()),
            store,
        })
    }

    /// Sets the client that gets the outcomes of pieces.
    pub fn set_client(&self, client: &Rc<StageClient>) {
        *self.client.borrow_mut() = Rc::downgrade(client);
    }

    /// Sends a command to an instance, and opens a connection if there is none.
    pub fn send(self: &Rc<Self>, peer: &str, command: PeerCommand) {
        let mut links = self.links.borrow_mut();
        let command = match links.get(peer) {
            Some(link) => match link.send(command) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => command,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        if sender.send(command).is_ok() {
            links.insert(peer.to_owned(), sender);
            spawn_local(Rc::clone(self).run(peer.to_owned(), receiver));
        }
    }

    async fn run(self: Rc<Self>, peer: String, mut commands: UnboundedReceiver<PeerCommand>) {
        let address = self
            .shared
            .peers()
            .into_iter()
            .find(|entry| entry.name == peer)
            .map(|entry| entry.address);
        let ended = match address {
            Some(address) => self.exchange(&peer, address, &mut commands).await,
            None => Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        self.links.borrow_mut().remove(&peer);
        drop(commands);
        self.store.refused(&peer, ended.is_err());
        let client = self.client.borrow().upgrade();
        if let (Some(client), Err(error)) = (client, ended) {
            client.lost(&peer, &error);
        }
    }

    /// Exchanges messages until the other side has left or the connection fails.
    async fn exchange(
        &self,
        peer: &str,
        address: SocketAddrV4,
        commands: &mut UnboundedReceiver<PeerCommand>,
    ) -> io::Result<()> {
        let stream = net::connect(address, CONNECT_MS).await?;
        let (reader, mut writer) = stream.into_split();
        let (sender, mut replies) = mpsc::unbounded_channel();
        let reading = spawn_local(read_frames::<PeerReply>(reader, sender));
        let _reading = crate::connection::TaskGuard::new(reading);
        let mut leaving = false;
        let mut heard = Instant::now();
        let mut next_ping = heard + PING_MS.to_duration();
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    write_all(&mut writer, command, commands).await?;
                }
                reply = replies.recv() => {
                    let Some(reply) = reply else {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    };
                    heard = Instant::now();
                    if matches!(reply, PeerReply::Leaving) && !leaving {
                        leaving = true;
                        let client = self.client.borrow().upgrade();
                        if let Some(client) = client {
                            client.leaving(peer);
                        }
                    }
                    self.handle(peer, reply);
                }
                () = sleep_until(next_ping) => {
                    next_ping = Instant::now() + PING_MS.to_duration();
                    let client = self.client.borrow().upgrade();
                    let waits = client.is_some_and(|client| client.waits_for(peer));
                    if !waits && !self.store.asks(peer) {
                        if leaving {
                            return Ok(());
                        }
                        heard = Instant::now();
                        continue;
                    }
                    if heard.elapsed() > SILENCE_MS.to_duration() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    write_all(&mut writer, PeerCommand::Ping, commands).await?;
                }
            }
        }
    }

    fn handle(&self, peer: &str, reply: PeerReply) {
        match reply {
            PeerReply::Followed => self.store.confirmed(peer),
            PeerReply::Blind => self.store.refused(peer, true),
            PeerReply::NotWatching => self.store.refused(peer, false),
            PeerReply::Piece {
                number,
                piece,
                progress,
            } => {
                let client = self.client.borrow().upgrade();
                if let Some(client) = client {
                    client.deliver(number, piece, progress);
                }
            }
            PeerReply::Objects(kind, update) => self.store.offer(kind, update),
            PeerReply::Backlog { queue, backlog_ms } => self.shared.set_backlog(queue, backlog_ms),
            PeerReply::Pong | PeerReply::Leaving => {}
        }
    }
}

/// Writes a command and those that wait behind it in one go.
async fn write_all(
    writer: &mut OwnedWriteHalf,
    first: PeerCommand,
    waiting: &mut UnboundedReceiver<PeerCommand>,
) -> io::Result<()> {
    let mut bytes = encode(&first)?;
    while let Ok(command) = waiting.try_recv() {
        bytes.extend(encode(&command)?);
    }
    writer.write_all(&bytes).await
}

fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    frame::encode(message).map_err(io::Error::other)
}

/// Reads frames until the connection ends, and passes them on.
async fn read_frames<T: DeserializeOwned>(mut reader: OwnedReadHalf, sender: UnboundedSender<T>) {
    loop {
        match read_frame(&mut reader).await {
            Ok(message) => {
                if sender.send(message).is_err() {
                    return;
                }
            }
            Err(error) => {
                if error.kind() != io::ErrorKind::UnexpectedEof {
                    info!(error:%; "a connection between instances ended");
                }
                return;
            }
        }
    }
}

async fn read_frame<T: DeserializeOwned>(reader: &mut OwnedReadHalf) -> io::Result<T> {
    let mut bytes = vec![0; HEADER_BYTES];
    reader.read_exact(&mut bytes).await?;
    let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    bytes.resize(HEADER_BYTES + length, 0);
    reader.read_exact(&mut bytes[HEADER_BYTES..]).await?;
    let (message, _) =
        frame::read(&mut bytes.as_slice(), MAX_FRAME_BYTES).map_err(io::Error::other)?;
    Ok(message)
}

/// Answers other instances.
#[derive(Debug)]
pub struct PeerServer {
    /// What all parts share.
    pub shared: Rc<Shared>,
    /// The queues of this instance.
    pub owners: Rc<Owners>,
    /// What is known of the store.
    pub store: Rc<StoreState>,
}

impl PeerServer {
    /// Accepts connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener fails.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>) -> Result<(), String> {
        loop {
            let (stream, _) = listener.accept().await.map_err(|error| error.to_string())?;
            let server = Rc::clone(&self);
            spawn_local(async move {
                if let Err(error) = server.serve(stream).await {
                    info!(error:%; "a connection of another instance ended");
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        net::prepare(&stream)?;
        let (reader, mut writer) = stream.into_split();
        let (sender, mut commands) = mpsc::unbounded_channel();
        let reading = spawn_local(read_frames::<PeerCommand>(reader, sender));
        let _reading = crate::connection::TaskGuard::new(reading);
        let (source, mut outcomes) = self.owners.add_source();
        let _source = SourceGuard {
            owners: Rc::clone(&self.owners),
            source,
        };
        let mut phase = self.shared.watch_phase();
        let mut next_report = Instant::now();
        let mut follower = Follower::default();
        let mut store_changes = self.store.changes();
        loop {
            let mut replies = Vec::new();
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    self.handle(source, command, &mut follower, &mut replies);
                    while let Ok(command) = commands.try_recv() {
                        self.handle(source, command, &mut follower, &mut replies);
                    }
                }
                outcome = outcomes.recv() => {
                    let Some(outcome) = outcome else { return Ok(()) };
                    replies.push(piece_reply(outcome));
                    while let Ok(outcome) = outcomes.try_recv() {
                        replies.push(piece_reply(outcome));
                    }
                }
                _changed = store_changes.changed(), if follower.follows => {
                    if self.store.is_watching() {
                        self.update(&mut follower, &mut replies);
                    } else {
                        follower.follows = false;
                        replies.push(self.store.not_watching());
                    }
                }
                () = sleep_until(next_report) => {
                    next_report = Instant::now() + REPORT_MS.to_duration();
                    self.report(&mut replies);
                }
                _changed = phase.changed() => {
                    if *phase.borrow() == Phase::Leaving {
                        replies.push(PeerReply::Leaving);
                    }
                }
            }
            let mut bytes = Vec::new();
            for reply in &replies {
                bytes.extend(encode(reply)?);
            }
            if !bytes.is_empty() {
                writer.write_all(&bytes).await?;
            }
        }
    }

    /// Reports the backlogs that other instances should know of.
    fn report(&self, replies: &mut Vec<PeerReply>) {
        for (queue, backlog_ms) in self.owners.backlogs() {
            if backlog_ms >= LEAST_REPORTED_MS {
                replies.push(PeerReply::Backlog { queue, backlog_ms });
            }
        }
    }

    /// Sends what is newer than what the other instance knows.
    fn update(&self, follower: &mut Follower, replies: &mut Vec<PeerReply>) {
        for (kind, revision) in &mut follower.known {
            if let Some(update) = self.store.newer_than(*kind, *revision) {
                *revision = update.revision;
                replies.push(PeerReply::Objects(*kind, update));
            }
        }
    }

    fn handle(
        &self,
        source: u64,
        command: PeerCommand,
        follower: &mut Follower,
        replies: &mut Vec<PeerReply>,
    ) {
        let now = self.shared.now();
        match command {
            PeerCommand::Submit(message) => {
                if self.shared.phase() == Phase::Leaving {
                    replies.push(PeerReply::Leaving);
                    replies.extend(message.pieces.iter().map(|&piece| PeerReply::Piece {
                        number: message.number,
                        piece,
                        progress: PieceProgress::Returned,
                    }));
                    return;
                }
                let queue = message.queue.clone();
                self.owners
                    .submit(&queue, message.into_submission(now, source));
            }
            PeerCommand::Cancel { queue, number } => {
                self.owners.cancel(
                    &queue,
                    SubmissionId {
                        submitter: source,
                        number,
                    },
                );
            }
            PeerCommand::Free { queue, handles } => self.owners.free(&queue, handles),
            PeerCommand::Ping => replies.push(PeerReply::Pong),
            PeerCommand::Objects(known) => {
                let mut asking = Follower {
                    follows: false,
                    known,
                };
                self.update(&mut asking, replies);
            }
            PeerCommand::Follow(known) => {
                // Following a follower could end in a circle in which nobody watches the store.
                follower.follows = self.store.is_watching();
                follower.known = known;
                if follower.follows {
                    // The other instance takes nothing over before it follows.
                    replies.push(PeerReply::Followed);
                    self.update(follower, replies);
                } else {
                    replies.push(self.store.not_watching());
                }
            }
            PeerCommand::Crashes(entries) => {
                for entry in entries {
                    if self.shared.crashing.borrow_mut().merge(now, &entry) {
                        warn!(fingerprint:? = entry.fingerprint, failures = entry.failures.len(); "another instance reports a request that crashes targets");
                    }
                }
            }
        }
    }
}

/// What another instance knows of the store.
#[derive(Debug, Default)]
struct Follower {
    follows: bool,
    known: Vec<(ObjectKind, u64)>,
}

struct SourceGuard {
    owners: Rc<Owners>,
    source: u64,
}

impl Drop for SourceGuard {
    fn drop(&mut self) {
        self.owners.remove_source(self.source);
    }
}

fn piece_reply(outcome: PieceReport) -> PeerReply {
    PeerReply::Piece {
        number: outcome.submission.number,
        piece: outcome.piece,
        progress: outcome.progress,
    }
}
