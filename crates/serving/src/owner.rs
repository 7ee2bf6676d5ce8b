//! The queues of stage services that this instance owns.
//!
//! Instances submit pieces to the owner of a service, which puts them into common calls. The owner
//! is a role that hashing gives; two owners of one service only make smaller calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::connection::CallError;
use crate::net::sleep;
use crate::shared::Phase;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_platform::answer;
use arbutus_platform::names;
use arbutus_platform::stage;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::Call;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::model::TargetEntry;

/// Results are freed at a target by one call for all that gathered in this time.
const FREE_GATHER_MS: Millis = Millis(20);
/// How long freeing may take; results that are not freed lapse by themselves.
const FREE_TIMEOUT_MS: Millis = Millis(1_000);
/// A call's inputs are read within this time of its start: they are megabytes on fast links, and
/// the target works on one call at a time.
const READ_INPUTS_MS: Millis = Millis(60);
/// How long a queue sleeps when nothing is due.
const LONGEST_WAIT_MS: Millis = Millis(60_000);

/// What the queue of a service is told.
#[derive(Debug)]
enum QueueInput {
    Submit(Submission),
    Cancel(SubmissionId),
    CancelSource(u64),
    Ended {
        target: String,
        outcome: CallOutcome,
    },
    HandOver,
    InputsRead(String),
    Free(Vec<String>),
    Freed {
        target: String,
        handles: Vec<String>,
    },
}

/// The queues of this instance.
#[derive(Debug)]
pub struct Owners {
    shared: Rc<Shared>,
    queues: RefCell<BTreeMap<QueueName, UnboundedSender<QueueInput>>>,
    sinks: RefCell<BTreeMap<u64, UnboundedSender<PieceReport>>>,
    next_source: RefCell<u64>,
    backlogs: RefCell<BTreeMap<QueueName, Millis>>,
}

impl Owners {
    /// Creates an instance's queues, of which there are none yet.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            queues: RefCell::new(BTreeMap::new()),
            sinks: RefCell::new(BTreeMap::new()),
            next_source: RefCell::new(0),
            backlogs: RefCell::new(BTreeMap::new()),
        })
    }

    /// Numbers a submitting instance, which gets its outcomes through the receiver.
    pub fn add_source(&self) -> (u64, UnboundedReceiver<PieceReport>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut next = self.next_source.borrow_mut();
        let source = *next;
        *next += 1;
        self.sinks.borrow_mut().insert(source, sender);
        (source, receiver)
    }

    /// Returns the backlogs of the own queues.
    #[must_use]
    pub fn backlogs(&self) -> BTreeMap<QueueName, Millis> {
        self.backlogs.borrow().clone()
    }

    /// Returns the names of the own queues.
    #[must_use]
    pub fn names(&self) -> Vec<QueueName> {
        self.queues.borrow().keys().cloned().collect()
    }

    /// Returns the waiting pieces of a queue, which another instance owns from now on.
    pub fn hand_over(self: &Rc<Self>, queue: &QueueName) {
        self.tell(queue, QueueInput::HandOver);
    }

    /// Drops what a submitting instance waits for.
    pub fn remove_source(&self, source: u64) {
        self.sinks.borrow_mut().remove(&source);
        for queue in self.queues.borrow().values() {
            // A queue that has ended holds no pieces.
            let _ended = queue.send(QueueInput::CancelSource(source));
        }
    }

    /// Adds pieces to a queue.
    pub fn submit(self: &Rc<Self>, queue: &QueueName, submission: Submission) {
        self.tell(queue, QueueInput::Submit(submission));
    }

    /// Removes pieces from a queue.
    pub fn cancel(self: &Rc<Self>, queue: &QueueName, submission: SubmissionId) {
        self.tell(queue, QueueInput::Cancel(submission));
    }

    /// Frees results of a queue's targets.
    pub fn free(self: &Rc<Self>, queue: &QueueName, handles: Vec<String>) {
        self.tell(queue, QueueInput::Free(handles));
    }

    fn tell(self: &Rc<Self>, name: &QueueName, input: QueueInput) {
        let mut queues = self.queues.borrow_mut();
        let input = match queues.get(name) {
            Some(queue) => match queue.send(input) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => input,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        if sender.send(input).is_ok() {
            let queue = OwnedQueue {
                owners: Rc::clone(self),
                name: name.clone(),
                inputs: sender.clone(),
                to_free: BTreeMap::new(),
                free_at: Millis::MAX,
            };
            spawn_local(queue.run(receiver));
            queues.insert(name.clone(), sender);
        }
    }

    fn deliver(&self, outcomes: Vec<PieceReport>) {
        let sinks = self.sinks.borrow();
        for outcome in outcomes {
            if let Some(sink) = sinks.get(&outcome.submission.submitter) {
                // A source that has gone needs no outcome; its pieces are removed with it.
                let _gone = sink.send(outcome);
            }
        }
    }
}

struct OwnedQueue {
    owners: Rc<Owners>,
    name: QueueName,
    inputs: UnboundedSender<QueueInput>,
    /// Results to free, by the address of their target.
    to_free: BTreeMap<String, Vec<String>>,
    /// When the results that gathered are freed.
    free_at: Millis,
}

impl OwnedQueue {
    async fn run(mut self, mut receiver: UnboundedReceiver<QueueInput>) {
        let shared = Rc::clone(&self.owners.shared);
        let Some(spec) = shared
            .service(&self.name.service)
            .and_then(|service| service.stage)
        else {
            warn!(service = self.name.service.as_str(); "pieces for a service that runs no stages");
            return;
        };
        info!(queue:% = self.name; "a stage queue is owned here");
        let mut queue = BatchQueue::new(shared.now(), spec);
        let mut changes = shared.watch_targets();
        let mut phase = shared.watch_phase();
        let mut leaving = shared.phase() == Phase::Leaving;
        self.update(&mut queue);
        loop {
            let now = shared.now();
            self.owners.deliver(queue.expire(now));
            for call in queue.start_calls(now) {
                self.start(call);
            }
            self.report(queue.backlog_ms(now));
            if self.free_at <= now {
                self.free();
            }
            let wakeup = queue.next_wakeup(now).unwrap_or(now + LONGEST_WAIT_MS);
            tokio::select! {
                input = receiver.recv() => {
                    let Some(input) = input else { return };
                    self.handle(&mut queue, input);
                    while let Ok(input) = receiver.try_recv() {
                        self.handle(&mut queue, input);
                    }
                }
                _changed = changes.changed() => self.update(&mut queue),
                _changed = phase.wait_for(|&phase| phase == Phase::Leaving), if !leaving => {
                    leaving = true;
                    let returned = queue.drain();
                    info!(queue:% = self.name, pieces = returned.len(); "waiting pieces are returned");
                    self.owners.deliver(returned);
                }
                () = sleep(wakeup.min(self.free_at) - now) => {}
            }
        }
    }

    fn report(&self, backlog_ms: Millis) {
        let owners = &self.owners;
        owners.shared.set_backlog(self.name.clone(), backlog_ms);
        let mut backlogs = owners.backlogs.borrow_mut();
        backlogs.insert(self.name.clone(), backlog_ms);
    }

    /// Follows the list of targets and the configuration.
    fn update(&self, queue: &mut BatchQueue) {
        let shared = &self.owners.shared;
        if let Some(spec) = shared
            .service(&self.name.service)
            .and_then(|service| service.stage)
        {
            queue.set_spec(spec);
        }
        let directory = shared.directory.borrow();
        let domain = self.name.failure_domain.as_deref();
        let entries = directory
            .usable(&self.name.service)
            .map(|known| &known.entry)
            .filter(|entry| domain.is_none_or(|domain| domain == entry.failure_domain));
        queue.set_targets(entries);
    }

    fn handle(&mut self, queue: &mut BatchQueue, input: QueueInput) {
        let now = self.owners.shared.now();
        match input {
            QueueInput::Submit(submission) => queue.submit(now, &submission),
            QueueInput::Cancel(submission) => queue.cancel(submission),
            QueueInput::CancelSource(source) => queue.cancel_submitter(source),
            QueueInput::Ended { target, outcome } => {
                let (delivered, orphaned) = queue.record_call_end(now, &target, outcome);
                self.owners.deliver(delivered);
                self.add_to_free(orphaned);
            }
            QueueInput::HandOver => {
                let returned = queue.take_waiting();
                info!(queue:% = self.name, pieces = returned.len(); "a stage queue is handed over");
                self.owners.deliver(returned);
            }
            QueueInput::InputsRead(target) => {
                self.owners.deliver(queue.mark_inputs_read(now, &target));
            }
            QueueInput::Free(handles) => self.add_to_free(handles),
            QueueInput::Freed { target, handles } => queue.record_freed_results(&target, &handles),
        }
    }

    fn add_to_free(&mut self, handles: Vec<String>) {
        if !handles.is_empty() && self.to_free.is_empty() {
            self.free_at = self.owners.shared.now() + FREE_GATHER_MS;
        }
        for handle in handles {
            let holder = stage::holder_of(&handle).to_owned();
            self.to_free.entry(holder).or_default().push(handle);
        }
    }

    /// Frees the results that gathered.
    fn free(&mut self) {
        self.free_at = Millis::MAX;
        let shared = &self.owners.shared;
        let directory = shared.directory.borrow();
        for (holder, handles) in std::mem::take(&mut self.to_free) {
            let entry = directory
                .find_by_address(&holder)
                .map(|known| known.entry.clone());
            // The results of a target that has gone are gone too.
            if let Some(entry) = entry {
                let inputs = self.inputs.clone();
                spawn_local(free(Rc::clone(shared), entry, handles, inputs));
            }
        }
    }

    fn start(&self, call: Call) {
        let shared = Rc::clone(&self.owners.shared);
        let inputs = self.inputs.clone();
        shared.metrics.call_pieces.observe(call.pieces.len() as f64);
        spawn_local(async move {
            let begun = shared.now();
            let outcome = {
                let mut running = pin!(run_call(&shared, &call));
                let mut ended = timeout(READ_INPUTS_MS.to_duration(), running.as_mut()).await;
                if ended.is_err() {
                    // The queue lives as long as the process.
                    let _ended = inputs.send(QueueInput::InputsRead(call.target.clone()));
                    let rest_ms = call.timeout_ms - READ_INPUTS_MS;
                    ended = timeout(rest_ms.to_duration(), running).await;
                }
                ended.unwrap_or(CallOutcome::Broken)
            };
            log_call(&call, &outcome, shared.now() - begun);
            let target = call.target;
            // The queue lives as long as the process.
            let _ended = inputs.send(QueueInput::Ended { target, outcome });
        });
    }
}

/// Logs a call and, by their identifiers, the requests whose pieces it held.
fn log_call(call: &Call, outcome: &CallOutcome, took_ms: Millis) {
    let requests: BTreeSet<&str> = call
        .pieces
        .iter()
        .map(|piece| piece.request.as_str())
        .collect();
    let requests: Vec<&str> = requests.into_iter().collect();
    let (label, failed) = match outcome {
        CallOutcome::Responded(results) => {
            let failures = call.pieces.iter().zip(results);
            for (piece, failure) in
                failures.filter_map(|(piece, result)| Some((piece, result.as_ref().err()?)))
            {
                info!(
                    request = piece.request.as_str(), target_id = call.target.as_str(),
                    stage = piece.stage, piece = piece.piece, reason:% = failure,
                    remaining_ms = piece.remaining_ms.0;
                    "a piece was not made"
                );
            }
            let failed = results.iter().filter(|result| result.is_err()).count();
            ("answered", failed)
        }
        CallOutcome::Full => ("full", call.pieces.len()),
        CallOutcome::Broken => ("broken", call.pieces.len()),
    };
    info!(
        target_id = call.target.as_str(), pieces = call.pieces.len(), outcome = label, failed,
        took_ms = took_ms.0, give_up_ms = call.timeout_ms.0, waited_ms = call.waited_ms.0,
        still_waiting = call.still_waiting, room_left_bytes = call.free_result_bytes, requests = requests.join(",");
        "a stage call ended"
    );
}

async fn run_call(shared: &Shared, call: &Call) -> CallOutcome {
    let entry = {
        let directory = shared.directory.borrow();
        let known = directory.get(&call.target);
        known.map(|known| known.entry.clone())
    };
    let Some(entry) = entry else {
        return CallOutcome::Full;
    };
    let body = match stage::encode_run(&call.pieces) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:%; "a stage call could not be encoded");
            return CallOutcome::Broken;
        }
    };
    match post(shared, &entry, names::STAGE_RUN_PATH, body, true).await {
        Ok(Posted::Answered(body)) => match stage::decode_run(&body) {
            Ok(results) if results.len() == call.pieces.len() => CallOutcome::Responded(results),
            Ok(results) => {
                warn!(target_id = entry.id.as_str(), expected = call.pieces.len(), results = results.len(); "a stage call answered for other pieces");
                CallOutcome::Broken
            }
            Err(error) => {
                warn!(target_id = entry.id.as_str(), error:%; "the answer of a stage call could not be read");
                CallOutcome::Broken
            }
        },
        Ok(Posted::NotExecuted) => CallOutcome::Full,
        Ok(Posted::Refused(status)) => {
            warn!(target_id = entry.id.as_str(), status = status.as_u16(); "a stage call was refused");
            CallOutcome::Broken
        }
        Err(error) => {
            warn!(target_id = entry.id.as_str(), error:%; "a stage call failed");
            CallOutcome::Broken
        }
    }
}

async fn free(
    shared: Rc<Shared>,
    entry: TargetEntry,
    handles: Vec<String>,
    inputs: UnboundedSender<QueueInput>,
) {
    let body = match stage::encode_free(&handles) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:%; "results could not be encoded");
            return;
        }
    };
    let freeing = post(&shared, &entry, names::STAGE_FREE_PATH, body, false);
    match timeout(FREE_TIMEOUT_MS.to_duration(), freeing).await {
        Ok(Ok(Posted::Answered(_))) => {
            let target = entry.id;
            // The queue lives as long as the process.
            let _ended = inputs.send(QueueInput::Freed { target, handles });
        }
        // Results lapse by themselves.
        failed => {
            info!(target_id = entry.id.as_str(), results = handles.len(), failed = !matches!(failed, Ok(Ok(_))); "results were not freed");
        }
    }
}

enum Posted {
    Answered(Bytes),
    NotExecuted,
    Refused(StatusCode),
}

/// Sends a body to a target; `is_work` calls are not sent to targets that left.
async fn post(
    shared: &Shared,
    entry: &TargetEntry,
    path: &str,
    body: Vec<u8>,
    is_work: bool,
) -> Result<Posted, CallError> {
    let mut lease = shared.pool.lease(shared.now(), entry).await?;
    let may_send = shared
        .directory
        .borrow()
        .may_send(&entry.id, entry.incarnation);
    if is_work && !may_send {
        return Ok(Posted::NotExecuted);
    }
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, entry.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(names::EXPECTED_TARGET, &entry.id)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CallError::Connect(std::io::Error::other(error)))?;
    let response = lease.connection()?.send(request).await?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(CallError::Broken)?
        .to_bytes();
    if answer::closes(&headers) {
        drop(lease);
    } else {
        lease.keep(shared.now(), answer::keep_alive_ms(&headers));
    }
    if status == StatusCode::OK {
        return Ok(Posted::Answered(body));
    }
    if headers.contains_key(names::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST {
        return Ok(Posted::NotExecuted);
    }
    Ok(Posted::Refused(status))
}
