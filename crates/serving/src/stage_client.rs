//! Submission of pieces to the owners of stage services.
//!
//! The owner of a service is the instance that ranks first by rendezvous hashing among those that
//! can be reached. Where several instances of another failure domain are silent, the domain counts
//! as cut off and none of its instances is asked. A submission whose owner falls
//! silent goes to the next one; a piece may be made twice.

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
use arbutus_coord::rendezvous;
use arbutus_platform::store::InstanceEntry;
use arbutus_policy::serving::batch::PieceOutcome;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::graph::PieceProgress;

/// How long an instance that could not be reached is not asked again; doubles each time. An
/// instance that serves again announces itself.
const UNREACHABLE_MS: Millis = Millis(3_000);
/// The most doublings of that time.
const MAX_DOUBLINGS: u32 = 2;
/// The silent instances after which their failure domain counts as cut off.
const CUT_OFF: usize = 2;
/// How long an instance that stops is not asked again; it is back after that or unreachable.
const LEAVING_MS: Millis = Millis(6_000);
/// Up to this number of targets, one owner serves the whole service; above it, each failure domain
/// has an owner of its own, so that the work of an owner stays bounded.
const TARGETS_OF_ONE_OWNER: usize = 8;

/// A piece's position, and what happened to it.
pub type PieceResult = (u32, PieceProgress);

#[derive(Clone, Debug, PartialEq, Eq)]
enum OwnerRoute {
    Local,
    Peer(String),
}

/// The absence of an instance.
#[derive(Debug, Default)]
struct Absence {
    until: Millis,
    /// How often it could not be reached since it was there last.
    failures: u32,
    /// Whether it did not answer at all, as behind a cut.
    is_silent: bool,
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
    absent: RefCell<BTreeMap<String, Absence>>,
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
            absent: RefCell::new(BTreeMap::new()),
        });
        let receiving = Rc::clone(&client);
        spawn_local(async move {
            while let Some(PieceOutcome {
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
        let route = self.route(&message.service);
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

    /// Frees results of a service.
    pub fn free(self: &Rc<Self>, service: &str, handles: Vec<String>) {
        if handles.is_empty() {
            return;
        }
        match self.route(service) {
            OwnerRoute::Local => self.owners.free(service, handles),
            OwnerRoute::Peer(peer) => {
                let service = service.to_owned();
                self.links
                    .send(&peer, PeerCommand::Free { service, handles });
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
        let absence = Absence {
            until: now + LEAVING_MS,
            failures: 0,
            is_silent: false,
        };
        let known = self.absent.borrow_mut().insert(peer.to_owned(), absence);
        if known.is_none_or(|known| known.until <= now) {
            info!(peer; "an instance stops");
        }
    }

    /// Submits to an instance again that has begun to serve, and hands over what it owns now.
    pub fn serving(&self, peer: &str) {
        self.absent.borrow_mut().remove(peer);
        info!(peer; "an instance serves");
        for service in self.owners.services() {
            if self.route(&service) == OwnerRoute::Peer(peer.to_owned()) {
                self.owners.hand_over(&service);
            }
        }
    }

    /// Submits what an instance that cannot be reached still has to the next owner.
    pub fn lost(self: &Rc<Self>, peer: &str, error: &io::Error) {
        let failures = {
            let mut absent = self.absent.borrow_mut();
            let absence = absent.entry(peer.to_owned()).or_default();
            let pause_ms = UNREACHABLE_MS.times(1 << absence.failures.min(MAX_DOUBLINGS));
            absence.until = self.shared.now() + pause_ms;
            absence.is_silent = error.kind() == io::ErrorKind::TimedOut;
            absence.failures += 1;
            absence.failures
        };
        let lost = OwnerRoute::Peer(peer.to_owned());
        let numbers: Vec<(u64, String)> = self
            .waiters
            .borrow()
            .iter()
            .filter(|(_, waiter)| waiter.route == lost)
            .map(|(&number, waiter)| (number, waiter.message.service.clone()))
            .collect();
        info!(peer, error:%, failures, submissions = numbers.len(); "an instance cannot be reached");
        for (number, service) in numbers {
            let route = self.route(&service);
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
                let service = message.service.clone();
                let submission = message.into_submission(now, self.local_source);
                self.owners.submit(&service, submission);
            }
            OwnerRoute::Peer(peer) => self.links.send(peer, PeerCommand::Submit(message)),
        }
    }

    /// Returns the owner of a service for this instance.
    fn route(&self, service: &str) -> OwnerRoute {
        let now = self.shared.now();
        let own = &self.shared.settings;
        let peers = self.shared.peers();
        let absent = self.absent.borrow();
        let is_absent = |peer: &str| absent.get(peer).is_some_and(|absence| absence.until > now);
        let targets = self.shared.directory.borrow().usable(service).count();
        let domain_only = targets > TARGETS_OF_ONE_OWNER;
        let mut silent: BTreeMap<&str, usize> = BTreeMap::new();
        for peer in &peers {
            if is_absent(&peer.name) && absent[&peer.name].is_silent {
                *silent.entry(&peer.failure_domain).or_default() += 1;
            }
        }
        let is_cut_off = |domain: &str| silent.get(domain).is_some_and(|&count| count >= CUT_OFF);
        let allowed = |peer: &&InstanceEntry| {
            let is_own = peer.failure_domain == own.failure_domain;
            !is_absent(&peer.name) && (is_own || !(domain_only || is_cut_off(&peer.failure_domain)))
        };
        let key = if domain_only {
            format!("{service}/{}", own.failure_domain)
        } else {
            service.to_owned()
        };
        let mut names: Vec<&str> = peers
            .iter()
            .filter(allowed)
            .map(|peer| peer.name.as_str())
            .collect();
        if names.is_empty() || self.shared.phase() != Phase::Leaving {
            names.push(&own.name);
        }
        match rendezvous::owner(key.as_bytes(), names.into_iter()) {
            Some(name) if name != own.name => OwnerRoute::Peer(name.to_owned()),
            _ => OwnerRoute::Local,
        }
    }

    fn withdraw(self: &Rc<Self>, number: u64) {
        let Some(waiter) = self.waiters.borrow_mut().remove(&number) else {
            return;
        };
        let service = waiter.message.service;
        match waiter.route {
            OwnerRoute::Local => {
                let id = SubmissionId {
                    source: self.local_source,
                    number,
                };
                self.owners.cancel(&service, id);
            }
            OwnerRoute::Peer(peer) => {
                self.links
                    .send(&peer, PeerCommand::Cancel { service, number });
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
                source,
                number: self.number,
            },
            request: self.request,
            stage: self.stage,
            pieces: self.pieces,
            source: self.source,
            failure_domain: self.failure_domain,
            due: now + self.due_ms,
            deadline: now + self.deadline_ms,
            rank: self.rank,
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
