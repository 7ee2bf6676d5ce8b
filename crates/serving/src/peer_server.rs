//! TCP connections that other instances open to this one; [`peer`](crate::peer) opens those to
//! them.

use std::io;
use std::rc::Rc;

use log::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::crashes;
use crate::follow_state::FollowState;
use crate::net;
use crate::peer_frames;
use crate::peer_frames::FrameReader;
use crate::peer_frames::FrameWriter;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::PeerReply;
use crate::rollouts;
use crate::shared::Shared;
use crate::stage_queues::StageQueues;
use crate::store_version::StoreVersion;
use crate::submitter_guard::SubmitterGuard;
use crate::target_notices;
use crate::target_reports;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::crash_quarantine::CrashReport;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::stage_graph::PieceProgress;

/// Interval of backlog reports to instances that submit pieces.
const BACKLOG_REPORT_INTERVAL_MS: Millis = Millis(200);
/// Shorter backlogs are not reported, because pieces wait for a call about this long anyway.
const MIN_REPORTED_BACKLOG_MS: Millis = Millis(150);

/// Serves the connections that other instances open.
#[derive(Debug)]
pub struct PeerServer {
    /// The state of this instance.
    pub shared: Rc<Shared>,
    /// The stage queues that this instance owns.
    pub queues: Rc<StageQueues>,
    /// The local copy of the store objects.
    pub store: Rc<StoreState>,
}

impl PeerServer {
    /// Accepts connections.
    ///
    /// # Errors
    ///
    /// Never returns; supervised tasks must have a `Result` as their return type.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>) -> Result<(), String> {
        loop {
            let stream = net::accept(&listener).await;
            let server = Rc::clone(&self);
            spawn_local(async move {
                if let Err(error) = server.serve(stream).await {
                    info!(error:%; "incoming peer connection failed");
                }
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let peer_address = stream.peer_addr()?.to_string();
        let (reader, writer) = stream.into_split();
        let mut commands = FrameReader::<PeerCommand>::spawn(&peer_address, reader);
        let mut writer = FrameWriter::new(&peer_address, writer);
        let (submitter, mut reports) = self.queues.add_submitter();
        let _submitter_guard = SubmitterGuard {
            queues: Rc::clone(&self.queues),
            submitter,
        };
        let mut phase = self.shared.subscribe_phase();
        let mut next_report = Instant::now();
        let mut follower = FollowState::default();
        let mut store_changes = self.store.subscribe_changes();
        loop {
            let mut replies = Vec::new();
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    self.handle_command(submitter, command, &mut follower, &mut replies);
                    while let Ok(command) = commands.try_recv() {
                        self.handle_command(submitter, command, &mut follower, &mut replies);
                    }
                }
                report = reports.recv() => {
                    let Some(report) = report else { return Ok(()) };
                    replies.push(piece_reply(report));
                    while let Ok(report) = reports.try_recv() {
                        replies.push(piece_reply(report));
                    }
                }
                _changed = store_changes.changed(), if follower.is_following => {
                    if self.store.is_active_watcher() {
                        self.push_updates(&mut follower, &mut replies);
                    } else {
                        follower.is_following = false;
                        replies.push(self.store.follow_refusal_reply());
                    }
                }
                () = sleep_until(next_report) => {
                    next_report = Instant::now() + BACKLOG_REPORT_INTERVAL_MS.to_duration();
                    self.push_backlog_reports(&mut replies);
                }
                _changed = phase.changed() => {
                    if phase.borrow().is_shutting_down() {
                        replies.push(PeerReply::Leaving);
                    }
                }
            }
            let mut bytes = Vec::new();
            for reply in &replies {
                bytes.extend(peer_frames::encode(reply)?);
            }
            if !bytes.is_empty() {
                writer.write(&bytes).await?;
            }
        }
    }

    /// Adds a report of each backlog of at least [`MIN_REPORTED_BACKLOG_MS`] to the replies.
    fn push_backlog_reports(&self, replies: &mut Vec<PeerReply>) {
        for (queue, backlog_ms) in self.queues.backlogs() {
            if backlog_ms >= MIN_REPORTED_BACKLOG_MS {
                replies.push(PeerReply::Backlog { queue, backlog_ms });
            }
        }
    }

    /// Adds the objects that are newer than the versions known to the peer to the replies.
    fn push_updates(&self, follower: &mut FollowState, replies: &mut Vec<PeerReply>) {
        let hides_era = !follower.knows_eras && self.store.era() > 0;
        for (kind, version) in &mut follower.known_versions {
            if hides_era {
                let known = StoreVersion::new(self.store.era(), version.revision());
                if let Some(update) = self.store.update_since(*kind, known) {
                    let update = update.without_era();
                    *version = update.version;
                    follower.unacknowledged += u32::from(follower.accepts_compression);
                    replies.push(PeerReply::Objects(*kind, update));
                }
            } else if follower.accepts_compression {
                let update = self.store.compressed_update_since(*kind, *version);
                if let Some((current, reply)) = update {
                    *version = current;
                    follower.unacknowledged += 1;
                    replies.push(reply);
                }
            } else if let Some(update) = self.store.update_since(*kind, *version) {
                *version = update.version;
                replies.push(PeerReply::Objects(*kind, update));
            }
        }
    }

    /// Sends a peer that accepts compressed updates the objects that are newer than those that it
    /// knows, and accepts it as a follower if `follow` is set.
    fn update_peer(
        &self,
        known_versions: Vec<(ObjectKind, StoreVersion)>,
        knows_eras: bool,
        follow: bool,
        follower: &mut FollowState,
        replies: &mut Vec<PeerReply>,
    ) {
        if follow {
            if !follower.awaits_acknowledgement() {
                follower.known_versions = known_versions;
            }
            follower.accepts_compression = true;
            follower.knows_eras = knows_eras;
            self.begin_following(follower, replies);
        } else {
            let mut requester = FollowState::new(known_versions, true);
            requester.knows_eras = knows_eras;
            self.push_updates(&mut requester, replies);
            follower.unacknowledged += requester.unacknowledged;
        }
    }

    /// Accepts a peer as a follower if this instance watches the store.
    fn begin_following(&self, follower: &mut FollowState, replies: &mut Vec<PeerReply>) {
        // Following a follower could create a cycle in which no instance watches the store.
        follower.is_following = self.store.is_active_watcher();
        if follower.is_following {
            // `Followed` comes first; the peer ignores updates until it receives it.
            replies.push(PeerReply::Followed);
            self.push_updates(follower, replies);
        } else {
            replies.push(self.store.follow_refusal_reply());
        }
    }

    /// Records the reported crashes, and adds the requests among them that got a response to the
    /// replies.
    fn merge_crashes(&self, reports: &[CrashReport], replies: &mut Vec<PeerReply>) {
        let answered = crashes::merge_crashes(&self.shared, reports);
        if !answered.is_empty() {
            replies.push(PeerReply::RecentResponses(answered));
        }
    }

    /// Records the reported crashes, and adds earlier ones of the same prompt parts to the replies.
    fn merge_prompt_crashes(
        &self,
        now: Millis,
        reported: &[(Millis, PromptCrash)],
        replies: &mut Vec<PeerReply>,
    ) {
        for (age_ms, crash) in reported {
            let earlier = self
                .shared
                .prompt_quarantine
                .borrow()
                .earlier_crashes(now, crash);
            if !earlier.is_empty() {
                replies.push(PeerReply::PromptCrashes(earlier));
            }
            crashes::record_prompt_crash(&self.shared, *age_ms, crash);
        }
    }

    fn handle_command(
        &self,
        submitter: u64,
        command: PeerCommand,
        follower: &mut FollowState,
        replies: &mut Vec<PeerReply>,
    ) {
        let now = self.shared.now();
        match command {
            PeerCommand::Submit(message) => {
                if self.shared.phase().is_shutting_down() {
                    replies.push(PeerReply::Leaving);
                    replies.extend(message.pieces.iter().map(|&piece| PeerReply::Piece {
                        number: message.number,
                        piece,
                        progress: PieceProgress::Returned,
                    }));
                    return;
                }
                let queue = message.queue.clone();
                self.queues
                    .submit(&queue, message.into_submission(now, submitter));
            }
            PeerCommand::Cancel { queue, number } => {
                self.queues
                    .cancel(&queue, SubmissionId { submitter, number });
            }
            PeerCommand::Free { queue, handles } => self.queues.free(&queue, handles),
            PeerCommand::Ping => replies.push(PeerReply::Pong),
            PeerCommand::Objects(known_versions) => {
                self.push_updates(&mut FollowState::new(known_versions, false), replies);
            }
            PeerCommand::Follow(known_versions) => {
                *follower = FollowState::new(known_versions, false);
                self.begin_following(follower, replies);
            }
            PeerCommand::Updates {
                known_versions,
                follow,
            } => self.update_peer(known_versions, false, follow, follower, replies),
            PeerCommand::UpdatesInEras {
                known_versions,
                follow,
            } => self.update_peer(known_versions, true, follow, follower, replies),
            PeerCommand::UpdateReceived => {
                follower.unacknowledged = follower.unacknowledged.saturating_sub(1);
            }
            PeerCommand::Crashes(entries) => {
                // The peer understands no reply.
                let reports: Vec<CrashReport> = entries.into_iter().map(Into::into).collect();
                let _answered = crashes::merge_crashes(&self.shared, &reports);
            }
            PeerCommand::CrashesToConfirm(entries) => {
                let reports: Vec<CrashReport> = entries.into_iter().map(Into::into).collect();
                self.merge_crashes(&reports, replies);
            }
            PeerCommand::CrashReports(reports) => self.merge_crashes(&reports, replies),
            PeerCommand::KnownCrashes => {
                let reports = crashes::known_crashes(&self.shared);
                if !reports.is_empty() {
                    replies.push(PeerReply::KnownCrashes(reports));
                }
            }
            PeerCommand::RecentResponses(responses) => {
                // The peer has told all others.
                let _learnt = crashes::record_peer_responses(&self.shared, &responses);
            }
            PeerCommand::PromptCrashes(reported) => {
                self.merge_prompt_crashes(now, &reported, replies);
            }
            PeerCommand::QuarantinedPrompts => {
                let crashes = self.shared.prompt_quarantine.borrow().all_crashes(now);
                if !crashes.is_empty() {
                    replies.push(PeerReply::PromptCrashes(crashes));
                }
            }
            command @ (PeerCommand::TargetLimits(_)
            | PeerCommand::KnownTargetLimits
            | PeerCommand::LeavingTargets(_)
            | PeerCommand::KnownLeavingTargets) => {
                target_notices::handle_command(&self.shared, command, replies);
            }
            command @ (PeerCommand::TargetObservations(_)
            | PeerCommand::TargetSummaries(_)
            | PeerCommand::KnownTargets) => {
                target_reports::handle_command(&self.shared, command, replies);
            }
            PeerCommand::ClearedParts(parts) => crashes::clear_parts(&self.shared, &parts),
            PeerCommand::RolloutEvidence(report) => {
                let directive = rollouts::merge_report(&self.shared, report);
                replies.extend(directive.map(PeerReply::RolloutDirective));
            }
        }
    }
}

fn piece_reply(report: PieceReport) -> PeerReply {
    PeerReply::Piece {
        number: report.submission.number,
        piece: report.piece,
        progress: report.progress,
    }
}
