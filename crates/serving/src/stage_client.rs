//! Submission of pieces to the owners of stage queues.
//!
//! A piece is one unit of work of a stage. `arbutus_policy::serving::ownership` decides which
//! instance owns a queue. If the owner becomes unreachable, its submissions go to the next owner,
//! so a piece may be computed twice.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

use crate::peer::PeerConnections;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::ROLLOUTS_PROTOCOL;
use crate::peer_messages::SubmitMessage;
use crate::shared::Shared;
use crate::stage_queues::StageQueues;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_platform::stage;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::ownership;
use arbutus_policy::serving::ownership::Member;
use arbutus_policy::serving::ownership::UnavailableInstances;
use arbutus_policy::serving::stage_graph::PieceProgress;

/// Begin of the key by which the instances are ranked to select the decider of a roll-out.
const ROLLOUT_KEY_PREFIX: &str = "rollout/";

/// The index of a piece and its progress.
pub type PieceUpdate = (u32, PieceProgress);

#[derive(Clone, Debug, PartialEq, Eq)]
enum QueueOwner {
    Local,
    Peer(String),
}

/// A submission with pieces that are still outstanding.
#[derive(Debug)]
struct PendingSubmission {
    message: SubmitMessage,
    /// The time that the durations in `message` are relative to.
    submitted_at: Millis,
    /// Indices of the pieces that were not computed and did not fail yet.
    outstanding: BTreeSet<u32>,
    owner: QueueOwner,
    progress_sender: UnboundedSender<PieceUpdate>,
}

/// Submits pieces to queue owners and forwards their progress to the requests.
#[derive(Debug)]
pub struct StageClient {
    shared: Rc<Shared>,
    queues: Rc<StageQueues>,
    connections: Rc<PeerConnections>,
    local_submitter: u64,
    next_number: Cell<u64>,
    pending: RefCell<BTreeMap<u64, PendingSubmission>>,
    unavailable_peers: RefCell<UnavailableInstances>,
}

/// A submission; dropping it cancels the pieces that are not computed yet.
#[derive(Debug)]
pub struct SubmissionHandle {
    client: Rc<StageClient>,
    number: u64,
    /// Receives the progress of the pieces.
    pub updates: UnboundedReceiver<PieceUpdate>,
}

impl StageClient {
    /// Creates a client and starts the task that receives progress from the local queues.
    #[must_use]
    pub fn new(
        shared: Rc<Shared>,
        queues: Rc<StageQueues>,
        connections: Rc<PeerConnections>,
    ) -> Rc<Self> {
        let (local_submitter, mut reports) = queues.add_submitter();
        let client = Rc::new(Self {
            shared,
            queues,
            connections,
            local_submitter,
            next_number: Cell::new(1),
            pending: RefCell::new(BTreeMap::new()),
            unavailable_peers: RefCell::new(UnavailableInstances::default()),
        });
        let receiver_client = Rc::clone(&client);
        spawn_local(async move {
            while let Some(PieceReport {
                submission,
                piece,
                progress,
            }) = reports.recv().await
            {
                receiver_client.deliver(submission.number, piece, progress);
            }
        });
        client
    }

    /// Submits pieces of one stage of a request; the number in the message is assigned here.
    pub fn submit(self: &Rc<Self>, message: SubmitMessage) -> SubmissionHandle {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, updates) = mpsc::unbounded_channel();
        let owner = self.owner_of(&message.queue);
        let mut message = message;
        message.number = number;
        let submission = PendingSubmission {
            submitted_at: self.shared.now(),
            outstanding: message.pieces.iter().copied().collect(),
            message,
            owner: owner.clone(),
            progress_sender: sender,
        };
        self.pending.borrow_mut().insert(number, submission);
        self.send(number, &owner);
        SubmissionHandle {
            client: Rc::clone(self),
            number,
            updates,
        }
    }

    /// Returns the queue to use when results are needed in a failure domain.
    #[must_use]
    pub fn queue_name(&self, service: &str, failure_domain: &str) -> QueueName {
        let directory = self.shared.directory.borrow();
        let targets = directory.usable(service);
        let domains = targets.map(|target| target.entry.failure_domain.as_str());
        ownership::queue_name(service, failure_domain, domains)
    }

    /// Frees results of a service through the owners of the queues that produced them.
    pub fn free(self: &Rc<Self>, service: &str, handles: Vec<String>) {
        let mut by_queue: BTreeMap<QueueName, Vec<String>> = BTreeMap::new();
        for handle in handles {
            let directory = self.shared.directory.borrow();
            // A target that is gone has lost its results anyway.
            let Some(producer) = directory.find_by_address(stage::producer_address(&handle)) else {
                continue;
            };
            let queue = self.queue_name(service, &producer.entry.failure_domain);
            by_queue.entry(queue).or_default().push(handle);
        }
        for (queue, handles) in by_queue {
            match self.owner_of(&queue) {
                QueueOwner::Local => self.queues.free(&queue, handles),
                QueueOwner::Peer(peer) => {
                    self.connections
                        .send(&peer, PeerCommand::Free { queue, handles });
                }
            }
        }
    }

    /// Forwards the progress of a piece to the request that submitted it.
    pub fn deliver(&self, number: u64, piece: u32, progress: PieceProgress) {
        let mut pending = self.pending.borrow_mut();
        let Some(submission) = pending.get_mut(&number) else {
            return;
        };
        let is_expected = if progress == PieceProgress::InputsRead {
            submission.outstanding.contains(&piece)
        } else {
            submission.outstanding.remove(&piece)
        };
        if is_expected {
            // The receiver is dropped when the request is abandoned.
            let _abandoned = submission.progress_sender.send((piece, progress));
        }
        if submission.outstanding.is_empty() {
            pending.remove(&number);
        }
    }

    /// Stops submitting to a peer that shuts down; its calls in progress still complete.
    pub fn handle_shutdown(&self, peer: &str) {
        let now = self.shared.now();
        if self
            .unavailable_peers
            .borrow_mut()
            .record_shutdown(now, peer)
        {
            info!(peer; "peer is shutting down");
        }
    }

    /// Resumes submitting to a peer that has started to serve, and hands off the local queues that
    /// it now owns.
    pub fn handle_serving(&self, peer: &str) {
        self.unavailable_peers.borrow_mut().record_serving(peer);
        info!(peer; "peer started to serve");
        for queue in self.queues.queue_names() {
            if self.owner_of(&queue) == QueueOwner::Peer(peer.to_owned()) {
                self.queues.hand_off(&queue);
            }
        }
    }

    /// Resubmits the outstanding pieces of an unreachable peer to the next owner.
    pub fn handle_unreachable(self: &Rc<Self>, peer: &str, error: &io::Error) {
        let timed_out = error.kind() == io::ErrorKind::TimedOut;
        let now = self.shared.now();
        let failures = self
            .unavailable_peers
            .borrow_mut()
            .record_unreachable(now, peer, timed_out);
        let unreachable_owner = QueueOwner::Peer(peer.to_owned());
        let submissions: Vec<(u64, QueueName)> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, submission)| submission.owner == unreachable_owner)
            .map(|(&number, submission)| (number, submission.message.queue.clone()))
            .collect();
        info!(peer, error:%, failures, submissions = submissions.len(); "peer unreachable; resubmitting its pieces");
        for (number, queue) in submissions {
            let owner = self.owner_of(&queue);
            if let Some(submission) = self.pending.borrow_mut().get_mut(&number) {
                submission.owner = owner.clone();
            }
            self.send(number, &owner);
        }
    }

    fn send(self: &Rc<Self>, number: u64, owner: &QueueOwner) {
        let pending = self.pending.borrow();
        let Some(submission) = pending.get(&number) else {
            return;
        };
        let now = self.shared.now();
        let elapsed = now - submission.submitted_at;
        let mut message = submission.message.clone();
        message.pieces = submission.outstanding.iter().copied().collect();
        message.due_ms = message.due_ms - elapsed;
        message.deadline_ms = message.deadline_ms - elapsed;
        drop(pending);
        match owner {
            QueueOwner::Local => {
                let queue = message.queue.clone();
                let submission = message.into_submission(now, self.local_submitter);
                self.queues.submit(&queue, submission);
            }
            QueueOwner::Peer(peer) => self.connections.send(peer, PeerCommand::Submit(message)),
        }
    }

    /// Returns the owner of a queue as seen by this instance.
    fn owner_of(&self, queue: &QueueName) -> QueueOwner {
        self.with_members(|now, local, is_shutting_down, peers, unavailable_peers| {
            let owner = ownership::owner(
                now,
                queue,
                local,
                is_shutting_down,
                peers,
                unavailable_peers,
            );
            if owner == local.name {
                QueueOwner::Local
            } else {
                QueueOwner::Peer(owner.to_owned())
            }
        })
    }

    /// Returns the preferred watcher, or `None` if this instance should watch the store itself.
    /// `is_store_unreachable` tells whether the store does not respond to a peer.
    #[must_use]
    pub fn preferred_watcher(&self, is_store_unreachable: impl Fn(&str) -> bool) -> Option<String> {
        self.with_members(|now, local, is_shutting_down, peers, unavailable_peers| {
            let preferred = ownership::preferred_watcher(
                now,
                local,
                is_shutting_down,
                peers,
                unavailable_peers,
                is_store_unreachable,
            );
            preferred.map(str::to_owned)
        })
    }

    /// Returns whether a peer shuts down or could not be reached.
    #[must_use]
    pub fn is_unavailable(&self, peer: &str) -> bool {
        let unavailable_peers = self.unavailable_peers.borrow();
        unavailable_peers.is_unavailable(self.shared.now(), peer)
    }

    /// Returns the instance that decides about the roll-out of a service: the first one by
    /// rendezvous hashing that is available and knows roll-outs.
    #[must_use]
    pub fn rollout_decider(&self, service: &str) -> String {
        let now = self.shared.now();
        let unavailable_peers = self.unavailable_peers.borrow();
        let peers = self.shared.peers();
        let available = peers.iter().filter(|peer| {
            peer.peer_protocol >= ROLLOUTS_PROTOCOL
                && !unavailable_peers.is_unavailable(now, &peer.name)
        });
        let local = Some(self.shared.settings.name.as_str())
            .filter(|_| !self.shared.phase().is_shutting_down());
        let members = available.map(|peer| peer.name.as_str()).chain(local);
        let key = format!("{ROLLOUT_KEY_PREFIX}{service}");
        let owner = rendezvous::owner(key.as_bytes(), members);
        owner.unwrap_or(&self.shared.settings.name).to_owned()
    }

    /// Calls `decide` with the current time, this instance, whether it is shutting down, the other
    /// instances, and the unavailable ones among them.
    fn with_members<T>(
        &self,
        decide: impl FnOnce(Millis, Member<'_>, bool, &[Member<'_>], &UnavailableInstances) -> T,
    ) -> T {
        let entries = self.shared.peers();
        let peers: Vec<Member<'_>> = entries
            .iter()
            .map(|entry| Member {
                name: &entry.name,
                failure_domain: &entry.failure_domain,
                link_mbps: entry.link_mbps,
            })
            .collect();
        let local = Member {
            name: &self.shared.settings.name,
            failure_domain: &self.shared.settings.failure_domain,
            link_mbps: self.shared.settings.link_mbps,
        };
        let is_shutting_down = self.shared.phase().is_shutting_down();
        let unavailable_peers = self.unavailable_peers.borrow();
        decide(
            self.shared.now(),
            local,
            is_shutting_down,
            &peers,
            &unavailable_peers,
        )
    }

    fn cancel_submission(self: &Rc<Self>, number: u64) {
        let Some(submission) = self.pending.borrow_mut().remove(&number) else {
            return;
        };
        let queue = submission.message.queue;
        match submission.owner {
            QueueOwner::Local => {
                let id = SubmissionId {
                    submitter: self.local_submitter,
                    number,
                };
                self.queues.cancel(&queue, id);
            }
            QueueOwner::Peer(peer) => {
                self.connections
                    .send(&peer, PeerCommand::Cancel { queue, number });
            }
        }
    }

    /// Returns whether a peer still has to report results.
    #[must_use]
    pub fn awaits_results_from(&self, peer: &str) -> bool {
        self.pending
            .borrow()
            .values()
            .any(|submission| matches!(&submission.owner, QueueOwner::Peer(name) if name == peer))
    }
}

impl Drop for SubmissionHandle {
    fn drop(&mut self) {
        self.client.cancel_submission(self.number);
    }
}

impl SubmitMessage {
    /// Converts the message to a submission, with absolute times.
    #[must_use]
    pub fn into_submission(self, now: Millis, submitter: u64) -> Submission {
        Submission {
            id: SubmissionId {
                submitter,
                number: self.number,
            },
            request: self.request,
            stage: self.stage,
            pieces: self.pieces,
            source: self.source,
            failure_domain: self.failure_domain,
            due: now + self.due_ms,
            deadline: now + self.deadline_ms,
            priority: self.priority,
            result_bytes: self.result_bytes,
        }
    }
}

/// Returns the input of the pieces of a stage: the client's key for a first stage, the results of
/// earlier stages otherwise.
#[must_use]
pub fn piece_source(inputs: Vec<String>, key: Option<&str>, is_first: bool) -> PieceSource {
    if is_first {
        PieceSource::Key(key.unwrap_or_default().to_owned())
    } else {
        PieceSource::Inputs(inputs)
    }
}
