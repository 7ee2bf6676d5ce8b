//! TCP connections to other instances.
//!
//! An instance connects to each peer that owns a queue to which it submits pieces, to peers from
//! which it receives store objects, and to all peers to report requests that crash targets. The
//! messages are `arbutus_wire` frames. A connection is closed if a reply is expected and the peer
//! sends nothing for `SILENCE_TIMEOUT_MS`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::rc::Weak;

use log::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::crashes;
use crate::net;
use crate::peer_frames;
use crate::peer_frames::FrameReader;
use crate::peer_frames::FrameWriter;
use crate::peer_messages::COMPRESSED_UPDATES_PROTOCOL;
use crate::peer_messages::CONFIRMED_CRASHES_PROTOCOL;
use crate::peer_messages::CRASH_REPORTS_PROTOCOL;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::PeerReply;
use crate::peer_messages::STORE_ERAS_PROTOCOL;
use crate::rollouts;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::store_version::StoreVersion;
use crate::target_notices;
use crate::target_reports;
use crate::update::StateUpdate;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_platform::store::InstanceEntry;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::serving::crash_quarantine::CrashReport;

/// Connect timeout, shorter than the 1 s after which TCP retransmits a dropped SYN.
const CONNECT_TIMEOUT_MS: Millis = Millis(400);
/// Interval of pings on a connection while a reply is expected.
const PING_INTERVAL_MS: Millis = Millis(300);
/// How long the peer may send nothing while a reply is expected before the connection is closed.
const SILENCE_TIMEOUT_MS: Millis = Millis(900);

/// The connections that this instance opens to its peers.
#[derive(Debug)]
pub struct PeerConnections {
    shared: Rc<Shared>,
    command_senders: RefCell<BTreeMap<String, UnboundedSender<PeerCommand>>>,
    /// Peers to which commands are being written.
    writing: RefCell<BTreeSet<String>>,
    stage_client: RefCell<Weak<StageClient>>,
    store: Rc<StoreState>,
}

impl PeerConnections {
    /// Creates the set without connections; each one is opened with the first command to its peer.
    #[must_use]
    pub fn new(shared: Rc<Shared>, store: Rc<StoreState>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            command_senders: RefCell::new(BTreeMap::new()),
            writing: RefCell::new(BTreeSet::new()),
            stage_client: RefCell::new(Weak::new()),
            store,
        })
    }

    /// Sets the client that receives the progress of pieces.
    pub fn set_stage_client(&self, stage_client: &Rc<StageClient>) {
        *self.stage_client.borrow_mut() = Rc::downgrade(stage_client);
    }

    /// Sends a command to a peer, opening a connection if there is none.
    pub fn send(self: &Rc<Self>, peer: &str, command: PeerCommand) {
        let mut command_senders = self.command_senders.borrow_mut();
        let command = match command_senders.get(peer) {
            Some(sender) => match sender.send(command) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => command,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        if sender.send(command).is_ok() {
            command_senders.insert(peer.to_owned(), sender);
            spawn_local(Rc::clone(self).run_connection(peer.to_owned(), receiver));
        }
    }

    /// Asks a peer for all store objects newer than the known versions and, if `follow` is set,
    /// for each change from now on.
    pub fn request_updates(
        self: &Rc<Self>,
        peer: &str,
        known_versions: Vec<(ObjectKind, StoreVersion)>,
        follow: bool,
    ) {
        if self.understands(peer, STORE_ERAS_PROTOCOL) {
            let command = PeerCommand::UpdatesInEras {
                known_versions,
                follow,
            };
            return self.send(peer, command);
        }
        let understands_rollouts = rollouts::is_understood_by(&self.shared, peer);
        let known_versions = known_versions
            .into_iter()
            // The peer could not decode the command.
            .filter(|(kind, _)| understands_rollouts || *kind != ObjectKind::Rollouts)
            .map(|(kind, version)| (kind, version.without_era()))
            .collect();
        let command = if self.understands(peer, COMPRESSED_UPDATES_PROTOCOL) {
            PeerCommand::Updates {
                known_versions,
                follow,
            }
        } else if follow {
            PeerCommand::Follow(known_versions)
        } else {
            PeerCommand::Objects(known_versions)
        };
        self.send(peer, command);
    }

    /// Returns whether a peer cannot be followed because the store has eras and the peer knows none.
    pub fn lacks_eras(&self, peer: &str) -> bool {
        self.store.era() > 0 && !self.understands(peer, STORE_ERAS_PROTOCOL)
    }

    /// Returns whether a peer understands the commands of a version of the messages.
    fn understands(&self, peer: &str, protocol: u32) -> bool {
        let entry = self.shared.peer(peer);
        entry.is_some_and(|entry| entry.peer_protocol >= protocol)
    }

    /// Sends a command to a peer if the peer understands messages of a version.
    pub fn send_if_understood(
        self: &Rc<Self>,
        peer: &InstanceEntry,
        protocol: u32,
        command: PeerCommand,
    ) {
        if peer.peer_protocol >= protocol {
            self.send(&peer.name, command);
        }
    }

    /// Sends a command that may be lost, unless the peer has not read the previous ones yet. Without
    /// this, periodic commands to a frozen peer would take more and more memory.
    pub fn send_droppable(self: &Rc<Self>, peer: &str, command: PeerCommand) {
        if !self.writing.borrow().contains(peer) {
            self.send(peer, command);
        }
    }

    async fn run_connection(
        self: Rc<Self>,
        peer: String,
        mut commands: UnboundedReceiver<PeerCommand>,
    ) {
        let address = self
            .shared
            .peers()
            .into_iter()
            .find(|entry| entry.name == peer)
            .map(|entry| entry.address);
        let result = match address {
            Some(address) => self.exchange_messages(&peer, address, &mut commands).await,
            None => Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        self.command_senders.borrow_mut().remove(&peer);
        self.writing.borrow_mut().remove(&peer);
        drop(commands);
        self.store.record_follow_refusal(&peer, result.is_err());
        let stage_client = self.stage_client.borrow().upgrade();
        if let (Some(stage_client), Err(error)) = (stage_client, result) {
            stage_client.handle_unreachable(&peer, &error);
        }
    }

    /// Exchanges messages until the peer has shut down or the connection fails.
    async fn exchange_messages(
        self: &Rc<Self>,
        peer: &str,
        address: SocketAddrV4,
        commands: &mut UnboundedReceiver<PeerCommand>,
    ) -> io::Result<()> {
        let stream = net::connect(address, CONNECT_TIMEOUT_MS).await?;
        let (reader, writer) = stream.into_split();
        let mut replies = FrameReader::<PeerReply>::spawn(peer, reader);
        let mut writer = FrameWriter::new(peer, writer);
        let mut is_peer_shutting_down = false;
        let mut expected_since = Instant::now();
        let mut next_ping = expected_since + PING_INTERVAL_MS.to_duration();
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    self.writing.borrow_mut().insert(peer.to_owned());
                    write_commands(&mut writer, command, commands).await?;
                    self.writing.borrow_mut().remove(peer);
                }
                reply = replies.recv() => {
                    let Some(reply) = reply else {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    };
                    if matches!(reply, PeerReply::Leaving) && !is_peer_shutting_down {
                        is_peer_shutting_down = true;
                        let stage_client = self.stage_client.borrow().upgrade();
                        if let Some(stage_client) = stage_client {
                            stage_client.handle_shutdown(peer);
                        }
                    }
                    let is_update = matches!(
                        reply,
                        PeerReply::Objects(..) | PeerReply::CompressedObjects(..)
                    );
                    self.handle_reply(peer, reply);
                    if is_update && self.understands(peer, COMPRESSED_UPDATES_PROTOCOL) {
                        write_commands(&mut writer, PeerCommand::UpdateReceived, commands).await?;
                    }
                }
                () = sleep_until(next_ping) => {
                    next_ping = Instant::now() + PING_INTERVAL_MS.to_duration();
                    let stage_client = self.stage_client.borrow().upgrade();
                    let awaits_results = stage_client.is_some_and(|stage_client| stage_client.awaits_results_from(peer));
                    let awaits_reply = awaits_results
                        || self.store.follows_or_asked(peer)
                        || rollouts::is_decider(&self.shared, peer);
                    if !awaits_reply {
                        if is_peer_shutting_down {
                            return Ok(());
                        }
                        // Silence counts only while a reply is expected.
                        expected_since = Instant::now();
                        continue;
                    }
                    let last_received = replies.last_received();
                    if replies.is_receiving() && last_received.elapsed() < PING_INTERVAL_MS.to_duration() {
                        // Confirmations wait behind a long update on the same connection.
                        self.store.record_follow_progress(peer);
                    }
                    if last_received.max(expected_since).elapsed() > SILENCE_TIMEOUT_MS.to_duration() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    write_commands(&mut writer, PeerCommand::Ping, commands).await?;
                }
            }
        }
    }

    /// Tells all peers, to which the same requests have been reported, that these got a response.
    pub fn report_responses(self: &Rc<Self>, responses: &[(Fingerprint, Millis)]) {
        if responses.is_empty() {
            return;
        }
        for peer in self.shared.peers() {
            if peer.peer_protocol >= CONFIRMED_CRASHES_PROTOCOL {
                self.send(&peer.name, PeerCommand::RecentResponses(responses.to_vec()));
            }
        }
    }

    /// Reports requests that crash targets to a peer.
    pub fn report_crashes(self: &Rc<Self>, peer: &InstanceEntry, reports: &[CrashReport]) {
        let reports = reports.iter().cloned();
        if peer.peer_protocol >= CRASH_REPORTS_PROTOCOL {
            let command = PeerCommand::CrashReports(reports.collect());
            return self.send(&peer.name, command);
        }
        let entries: Vec<QuarantineEntry> = reports
            .filter_map(|report| report.before_response)
            .collect();
        if entries.is_empty() {
            return;
        }
        let command = if peer.peer_protocol >= CONFIRMED_CRASHES_PROTOCOL {
            PeerCommand::CrashesToConfirm(entries)
        } else {
            PeerCommand::Crashes(entries)
        };
        self.send(&peer.name, command);
    }

    fn handle_reply(self: &Rc<Self>, peer: &str, reply: PeerReply) {
        match reply {
            PeerReply::Followed => self.store.record_follow_confirmation(peer),
            PeerReply::StoreUnreachable => self.store.record_follow_refusal(peer, true),
            PeerReply::NotWatching => self.store.record_follow_refusal(peer, false),
            PeerReply::Piece {
                number,
                piece,
                progress,
            } => {
                let stage_client = self.stage_client.borrow().upgrade();
                if let Some(stage_client) = stage_client {
                    stage_client.deliver(number, piece, progress);
                }
            }
            PeerReply::Objects(kind, update) => self.store.apply_peer_update(kind, update),
            PeerReply::CompressedObjects(kind, bytes) => match StateUpdate::decompress(&bytes) {
                Ok(update) => self.store.apply_peer_update(kind, update),
                Err(error) => {
                    warn!(peer, kind = kind.label(), error:%; "cannot decode an update of a peer");
                }
            },
            PeerReply::Backlog { queue, backlog_ms } => self.shared.set_backlog(queue, backlog_ms),
            PeerReply::PromptCrashes(earlier) => {
                crashes::merge_earlier_crashes(&self.shared, &earlier);
            }
            PeerReply::KnownCrashes(reports) => {
                let answered = crashes::merge_crashes(&self.shared, &reports);
                self.report_responses(&answered);
            }
            PeerReply::RecentResponses(responses) => {
                let learnt = crashes::record_peer_responses(&self.shared, &responses);
                self.report_responses(&learnt);
            }
            PeerReply::TargetLimits(reports) => {
                target_notices::merge_limits(&self.shared, &reports);
            }
            PeerReply::LeavingTargets(reports) => {
                target_notices::merge_leaving(&self.shared, &reports);
            }
            PeerReply::TargetSummaries(message) => {
                target_reports::merge_known_targets(&self.shared, &message);
            }
            PeerReply::RolloutDirective(directive) => {
                rollouts::apply_directive(&self.shared, directive);
            }
            PeerReply::Pong | PeerReply::Leaving => {}
        }
    }
}

/// Writes a command and all commands queued behind it with one system call.
async fn write_commands(
    writer: &mut FrameWriter,
    first: PeerCommand,
    queued: &mut UnboundedReceiver<PeerCommand>,
) -> io::Result<()> {
    let mut bytes = peer_frames::encode(&first)?;
    while let Ok(command) = queued.try_recv() {
        bytes.extend(peer_frames::encode(&command)?);
    }
    writer.write(&bytes).await
}
