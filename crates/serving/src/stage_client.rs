//! Submission of pieces to the owners of stage services.
//!
//! `arbutus_policy::serving::ownership` decides which instance owns a queue. A submission whose
//! owner falls silent goes to the next one; a piece may be made twice.

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

use crate::owner::Owners;
use crate::peer::PeerCommand;
use crate::peer::PeerLinks;
use crate::peer::SubmitMessage;
use crate::shared::Phase;
use crate::shared::Shared;
use arbutus_coord::Millis;
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

/// A piece's position, and what happened to it.
pub type PieceResult = (u32, PieceProgress);

#[derive(Clone, Debug, PartialEq, Eq)]
enum OwnerRoute {
    Local,
    Peer(String),
}

#[derive(Debug)]
struct Waiter {
    message: SubmitMessage,
    /// The time to which the spans in the message refer.
    submitted: Millis,
    outstanding: BTreeSet<u32>,
    route: OwnerRoute,
    results: UnboundedSender<PieceResult>,
}

/// Submits pieces and returns their results.
#[derive(Debug)]
pub struct StageClient {
    shared: Rc<Shared>,
    owners: Rc<Owners>,
    links: Rc<PeerLinks>,
    local_source: u64,
    next_number: Cell<u64>,
    waiters: RefCell<BTreeMap<u64, Waiter>>,
    absences: RefCell<UnavailableInstances>,
}

/// Pieces that were submitted; dropping it withdraws those that are not made yet.
#[derive(Debug)]
pub struct Submitted {
    client: Rc<StageClient>,
    number: u64,
    /// The results as they are made.
    pub results: UnboundedReceiver<PieceResult>,
}

impl StageClient {
    /// Creates a client and starts the tasks that deliver results.
    #[must_use]
    pub fn new(shared: Rc<Shared>, owners: Rc<Owners>, links: Rc<PeerLinks>) -> Rc<Self> {
        let (local_source, mut outcomes) = owners.add_source();
        let client = Rc::new(Self {
            shared,
            owners,
            links,
            local_source,
            next_number: Cell::new(1),
            waiters: RefCell::new(BTreeMap::new()),
            absences: RefCell::new(UnavailableInstances::default()),
        });
        let receiving = Rc::clone(&client);
        spawn_local(async move {
            while let Some(PieceReport {
                submission,
                piece,
                progress,
            }) = outcomes.recv().await
            {
                receiving.deliver(submission.number, piece, progress);
            }
        });
        client
    }

    /// Submits pieces of one stage of a request.
    pub fn submit(self: &Rc<Self>, message: SubmitMessage) -> Submitted {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, results) = mpsc::unbounded_channel();
        let route = self.route(&message.queue);
        let mut message = message;
        message.number = number;
        let waiter = Waiter {
            submitted: self.shared.now(),
            outstanding: message.pieces.iter().copied().collect(),
            message,
            route: route.clone(),
            results: sender,
        };
        self.waiters.borrow_mut().insert(number, waiter);
        self.send(number, &route);
        Submitted {
            client: Rc::clone(self),
            number,
            results,
        }
    }

    /// Returns the queue for work that is wanted in a failure domain.
    #[must_use]
    pub fn queue_name(&self, service: &str, wanted_domain: &str) -> QueueName {
        let directory = self.shared.directory.borrow();
        let targets = directory.usable(service);
        let domains = targets.map(|known| known.entry.failure_domain.as_str());
        ownership::queue_name(service, wanted_domain, domains)
    }

    /// Frees results of a service, by the owners of the queues of their makers.
    pub fn free(self: &Rc<Self>, service: &str, handles: Vec<String>) {
        let mut by_queue: BTreeMap<QueueName, Vec<String>> = BTreeMap::new();
        for handle in handles {
            let directory = self.shared.directory.borrow();
            // The results of a target that has gone are gone too.
            let Some(maker) = directory.find_by_address(stage::holder_of(&handle)) else {
                continue;
            };
            let queue = self.queue_name(service, &maker.entry.failure_domain);
            by_queue.entry(queue).or_default().push(handle);
        }
        for (queue, handles) in by_queue {
            match self.route(&queue) {
                OwnerRoute::Local => self.owners.free(&queue, handles),
                OwnerRoute::Peer(peer) => {
                    self.links.send(&peer, PeerCommand::Free { queue, handles });
                }
            }
        }
    }

    /// Hands out what happened to a piece.
    pub fn deliver(&self, number: u64, piece: u32, progress: PieceProgress) {
        let mut waiters = self.waiters.borrow_mut();
        let Some(waiter) = waiters.get_mut(&number) else {
            return;
        };
        let known = if progress == PieceProgress::InputsRead {
            waiter.outstanding.contains(&piece)
        } else {
            waiter.outstanding.remove(&piece)
        };
        if known {
            // A request that was given up has dropped its receiver.
            let _given_up = waiter.results.send((piece, progress));
        }
        if waiter.outstanding.is_empty() {
            waiters.remove(&number);
        }
    }

    /// Submits nothing more to an instance that stops; its calls in progress end there.
    pub fn leaving(&self, peer: &str) {
        let now = self.shared.now();
        if self.absences.borrow_mut().record_shutdown(now, peer) {
            info!(peer; "an instance stops");
        }
    }

    /// Submits to an instance again that has begun to serve, and hands over what it owns now.
    pub fn serving(&self, peer: &str) {
        self.absences.borrow_mut().record_serving(peer);
        info!(peer; "an instance serves");
        for queue in self.owners.names() {
            if self.route(&queue) == OwnerRoute::Peer(peer.to_owned()) {
                self.owners.hand_over(&queue);
            }
        }
    }

    /// Submits what an instance that cannot be reached still has to the next owner.
    pub fn lost(self: &Rc<Self>, peer: &str, error: &io::Error) {
        let is_silent = error.kind() == io::ErrorKind::TimedOut;
        let now = self.shared.now();
        let failures = self
            .absences
            .borrow_mut()
            .record_unreachable(now, peer, is_silent);
        let lost = OwnerRoute::Peer(peer.to_owned());
        let numbers: Vec<(u64, QueueName)> = self
            .waiters
            .borrow()
            .iter()
            .filter(|(_, waiter)| waiter.route == lost)
            .map(|(&number, waiter)| (number, waiter.message.queue.clone()))
            .collect();
        info!(peer, error:%, failures, submissions = numbers.len(); "an instance cannot be reached");
        for (number, queue) in numbers {
            let route = self.route(&queue);
            if let Some(waiter) = self.waiters.borrow_mut().get_mut(&number) {
                waiter.route = route.clone();
            }
            self.send(number, &route);
        }
    }

    fn send(self: &Rc<Self>, number: u64, route: &OwnerRoute) {
        let waiters = self.waiters.borrow();
        let Some(waiter) = waiters.get(&number) else {
            return;
        };
        let now = self.shared.now();
        let passed = now - waiter.submitted;
        let mut message = waiter.message.clone();
        message.pieces = waiter.outstanding.iter().copied().collect();
        message.due_ms = message.due_ms - passed;
        message.deadline_ms = message.deadline_ms - passed;
        drop(waiters);
        match route {
            OwnerRoute::Local => {
                let queue = message.queue.clone();
                let submission = message.into_submission(now, self.local_source);
                self.owners.submit(&queue, submission);
            }
            OwnerRoute::Peer(peer) => self.links.send(peer, PeerCommand::Submit(message)),
        }
    }

    /// Returns the owner of a queue for this instance.
    fn route(&self, queue: &QueueName) -> OwnerRoute {
        self.with_members(|now, own, is_leaving, members, absences| {
            let owner = ownership::owner(now, queue, own, is_leaving, members, absences);
            if owner == own.name {
                OwnerRoute::Local
            } else {
                OwnerRoute::Peer(owner.to_owned())
            }
        })
    }

    /// Returns the instance that this one follows instead of watching the store, if any.
    #[must_use]
    pub fn followed(&self, is_blind: impl Fn(&str) -> bool) -> Option<String> {
        self.with_members(|now, own, is_leaving, members, absences| {
            let followed =
                ownership::store_watcher(now, own, is_leaving, members, absences, is_blind);
            followed.map(str::to_owned)
        })
    }

    /// Decides by the time, the own member, whether the instance stops, the other members, and
    /// those of them that are absent.
    fn with_members<T>(
        &self,
        decide: impl FnOnce(Millis, Member<'_>, bool, &[Member<'_>], &UnavailableInstances) -> T,
    ) -> T {
        let peers = self.shared.peers();
        let members: Vec<Member<'_>> = peers
            .iter()
            .map(|peer| Member {
                name: &peer.name,
                failure_domain: &peer.failure_domain,
            })
            .collect();
        let own = Member {
            name: &self.shared.settings.name,
            failure_domain: &self.shared.settings.failure_domain,
        };
        let is_leaving = self.shared.phase() == Phase::Leaving;
        let absences = self.absences.borrow();
        decide(self.shared.now(), own, is_leaving, &members, &absences)
    }

    fn withdraw(self: &Rc<Self>, number: u64) {
        let Some(waiter) = self.waiters.borrow_mut().remove(&number) else {
            return;
        };
        let queue = waiter.message.queue;
        match waiter.route {
            OwnerRoute::Local => {
                let id = SubmissionId {
                    submitter: self.local_source,
                    number,
                };
                self.owners.cancel(&queue, id);
            }
            OwnerRoute::Peer(peer) => {
                self.links
                    .send(&peer, PeerCommand::Cancel { queue, number });
            }
        }
    }

    /// Returns whether pieces wait at an instance.
    #[must_use]
    pub fn waits_for(&self, peer: &str) -> bool {
        self.waiters
            .borrow()
            .values()
            .any(|waiter| matches!(&waiter.route, OwnerRoute::Peer(name) if name == peer))
    }
}

impl Drop for Submitted {
    fn drop(&mut self) {
        self.client.withdraw(self.number);
    }
}

impl SubmitMessage {
    /// Returns the submission as the owner's queue takes it.
    #[must_use]
    pub fn into_submission(self, now: Millis, source: u64) -> Submission {
        Submission {
            id: SubmissionId {
                submitter: source,
                number: self.number,
            },
            request: self.request,
            stage: self.stage,
            pieces: self.pieces,
            source: self.source,
            failure_domain: self.failure_domain,
            due: now + self.due_ms,
            deadline: now + self.deadline_ms,
            priority: self.rank,
            result_bytes: self.result_bytes,
        }
    }
}

/// Returns where the work of a piece begins.
#[must_use]
pub fn piece_source(inputs: Vec<String>, key: Option<&str>, is_first: bool) -> PieceSource {
    if is_first {
        PieceSource::Key(key.unwrap_or_default().to_owned())
    } else {
        PieceSource::Inputs(inputs)
    }
}
