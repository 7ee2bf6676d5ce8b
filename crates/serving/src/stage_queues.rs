//! The stage queues that this instance owns.
//!
//! All instances submit their pieces to the owner of a queue, which batches them into calls.
//! Ownership is assigned by hashing. If two instances act as the owner of the same queue, the only
//! effect is smaller batches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::iter;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::body;
use crate::connection::CallError;
use crate::net::sleep;
use crate::rollouts;
use crate::shared::Shared;
use crate::target_notices;
use crate::target_notices::Sender;
use crate::target_reports;
use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_platform::response;
use arbutus_platform::stage;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::Call;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::stage_graph::PieceFailure;

/// Results to free are collected for this time and then freed by one call per target.
const FREE_DELAY_MS: Millis = Millis(20);
/// Timeout of a call that frees results. Results that are not freed expire at the target.
const FREE_TIMEOUT_MS: Millis = Millis(1_000);
/// Time after the start of a call by which the target is assumed to have read the inputs. Inputs
/// are megabytes sent over fast links, and a target works on one call at a time.
const INPUTS_READ_AFTER_MS: Millis = Millis(60);
/// Maximum size of the response to a stage call, which has a handle of some 50 bytes for each piece.
const MAX_STAGE_RESPONSE_BYTES: usize = 1024 * 1024;
/// How long an idle queue task sleeps at most.
const MAX_SLEEP_MS: Millis = Millis(60_000);

/// A message to the task of a queue.
#[derive(Debug)]
enum QueueMessage {
    Submit(Submission),
    Cancel(SubmissionId),
    CancelSubmitter(u64),
    CallEnded {
        target: String,
        outcome: CallOutcome,
    },
    HandOff,
    InputsRead(String),
    Free(Vec<String>),
    Freed {
        target: String,
        handles: Vec<String>,
    },
}

/// The stage queues that this instance owns.
#[derive(Debug)]
pub struct StageQueues {
    shared: Rc<Shared>,
    senders: RefCell<BTreeMap<QueueName, UnboundedSender<QueueMessage>>>,
    report_senders: RefCell<BTreeMap<u64, UnboundedSender<PieceReport>>>,
    next_submitter: RefCell<u64>,
    backlogs: RefCell<BTreeMap<QueueName, Millis>>,
}

impl StageQueues {
    /// Creates an empty set of queues; a queue is created with the first message to it.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            senders: RefCell::new(BTreeMap::new()),
            report_senders: RefCell::new(BTreeMap::new()),
            next_submitter: RefCell::new(0),
            backlogs: RefCell::new(BTreeMap::new()),
        })
    }

    /// Registers a submitter, and returns its number and the receiver of its reports.
    pub fn add_submitter(&self) -> (u64, UnboundedReceiver<PieceReport>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut next_submitter = self.next_submitter.borrow_mut();
        let submitter = *next_submitter;
        *next_submitter += 1;
        self.report_senders.borrow_mut().insert(submitter, sender);
        (submitter, receiver)
    }

    /// Returns the backlog of each local queue: the time its targets need for the waiting pieces.
    #[must_use]
    pub fn backlogs(&self) -> BTreeMap<QueueName, Millis> {
        self.backlogs.borrow().clone()
    }

    /// Returns the names of the local queues.
    #[must_use]
    pub fn queue_names(&self) -> Vec<QueueName> {
        self.senders.borrow().keys().cloned().collect()
    }

    /// Returns the waiting pieces of a queue to their submitters, because another instance now owns
    /// the queue.
    pub fn hand_off(self: &Rc<Self>, queue: &QueueName) {
        self.send_message(queue, QueueMessage::HandOff);
    }

    /// Removes a submitter and cancels its pieces.
    pub fn remove_submitter(&self, submitter: u64) {
        self.report_senders.borrow_mut().remove(&submitter);
        for sender in self.senders.borrow().values() {
            // A queue whose task has ended holds no pieces.
            let _closed = sender.send(QueueMessage::CancelSubmitter(submitter));
        }
    }

    /// Adds pieces to a queue.
    pub fn submit(self: &Rc<Self>, queue: &QueueName, submission: Submission) {
        self.send_message(queue, QueueMessage::Submit(submission));
    }

    /// Cancels the pieces of a submission.
    pub fn cancel(self: &Rc<Self>, queue: &QueueName, submission: SubmissionId) {
        self.send_message(queue, QueueMessage::Cancel(submission));
    }

    /// Frees results at the targets of a queue.
    pub fn free(self: &Rc<Self>, queue: &QueueName, handles: Vec<String>) {
        self.send_message(queue, QueueMessage::Free(handles));
    }

    fn send_message(self: &Rc<Self>, name: &QueueName, message: QueueMessage) {
        let mut senders = self.senders.borrow_mut();
        let message = match senders.get(name) {
            Some(sender) => match sender.send(message) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => message,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        if sender.send(message).is_ok() {
            let task = QueueTask {
                queues: Rc::clone(self),
                name: name.clone(),
                message_sender: sender.clone(),
                pending_frees: BTreeMap::new(),
                free_at: Millis::MAX,
            };
            spawn_local(task.run(receiver));
            senders.insert(name.clone(), sender);
        }
    }

    fn deliver(&self, reports: Vec<PieceReport>) {
        let report_senders = self.report_senders.borrow();
        for report in reports {
            if let Some(sender) = report_senders.get(&report.submission.submitter) {
                // A removed submitter needs no report; its pieces are cancelled too.
                let _closed = sender.send(report);
            }
        }
    }
}

/// The task that batches the pieces of one queue into calls.
struct QueueTask {
    queues: Rc<StageQueues>,
    name: QueueName,
    message_sender: UnboundedSender<QueueMessage>,
    /// Handles of the results to free, by target address.
    pending_frees: BTreeMap<String, Vec<String>>,
    /// When the collected results are freed; `Millis::MAX` if there are none.
    free_at: Millis,
}

impl QueueTask {
    async fn run(mut self, mut receiver: UnboundedReceiver<QueueMessage>) {
        let shared = Rc::clone(&self.queues.shared);
        let Some(spec) = shared
            .service(&self.name.service)
            .and_then(|service| service.stage)
        else {
            warn!(service = self.name.service.as_str(); "pieces submitted for a service that is not a stage service");
            return;
        };
        info!(queue:% = self.name; "started a stage queue owned by this instance");
        let mut queue = BatchQueue::new(shared.now(), spec);
        let mut target_changes = shared.subscribe_target_changes();
        let mut phase = shared.subscribe_phase();
        let mut is_shutting_down = shared.phase().is_shutting_down();
        self.apply_changes(&mut queue);
        loop {
            let now = shared.now();
            self.queues.deliver(queue.expire(now));
            for call in queue.start_calls(now) {
                self.start_call(call);
            }
            self.publish_backlog(queue.backlog_ms(now));
            if self.free_at <= now {
                self.free_pending();
            }
            let wakeup = queue.next_wakeup(now).unwrap_or(now + MAX_SLEEP_MS);
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { return };
                    self.handle_message(&mut queue, message);
                    while let Ok(message) = receiver.try_recv() {
                        self.handle_message(&mut queue, message);
                    }
                }
                _changed = target_changes.changed() => self.apply_changes(&mut queue),
                _changed = phase.wait_for(|phase| phase.is_shutting_down()), if !is_shutting_down => {
                    is_shutting_down = true;
                    let returned = queue.drain();
                    info!(queue:% = self.name, pieces = returned.len(); "shutting down; returning the waiting pieces of a stage queue");
                    self.queues.deliver(returned);
                }
                () = sleep(wakeup.min(self.free_at) - now) => {}
            }
        }
    }

    fn publish_backlog(&self, backlog_ms: Millis) {
        let queues = &self.queues;
        queues.shared.set_backlog(self.name.clone(), backlog_ms);
        let mut backlogs = queues.backlogs.borrow_mut();
        backlogs.insert(self.name.clone(), backlog_ms);
    }

    /// Applies the current configuration and list of targets to the queue.
    fn apply_changes(&self, queue: &mut BatchQueue) {
        let shared = &self.queues.shared;
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
            .filter(|entry| domain.is_none_or(|domain| domain == entry.failure_domain))
            .filter(|entry| rollouts::allows_pieces(shared, entry));
        queue.set_targets(entries);
    }

    fn handle_message(&mut self, queue: &mut BatchQueue, message: QueueMessage) {
        let now = self.queues.shared.now();
        match message {
            QueueMessage::Submit(submission) => queue.submit(now, &submission),
            QueueMessage::Cancel(submission) => queue.cancel(submission),
            QueueMessage::CancelSubmitter(submitter) => queue.cancel_submitter(submitter),
            QueueMessage::CallEnded { target, outcome } => {
                let (reports, orphaned) = queue.record_call_end(now, &target, outcome);
                self.queues.deliver(reports);
                self.schedule_free(orphaned);
            }
            QueueMessage::HandOff => {
                let returned = queue.take_waiting();
                info!(queue:% = self.name, pieces = returned.len(); "stage queue handed off to another instance");
                self.queues.deliver(returned);
            }
            QueueMessage::InputsRead(target) => {
                self.queues.deliver(queue.mark_inputs_read(now, &target));
            }
            QueueMessage::Free(handles) => self.schedule_free(handles),
            QueueMessage::Freed { target, handles } => {
                queue.record_freed_results(&target, &handles);
            }
        }
    }

    fn schedule_free(&mut self, handles: Vec<String>) {
        if !handles.is_empty() && self.pending_frees.is_empty() {
            self.free_at = self.queues.shared.now() + FREE_DELAY_MS;
        }
        for handle in handles {
            let target_address = stage::producer_address(&handle).to_owned();
            self.pending_frees
                .entry(target_address)
                .or_default()
                .push(handle);
        }
    }

    /// Frees the collected results.
    fn free_pending(&mut self) {
        self.free_at = Millis::MAX;
        let shared = &self.queues.shared;
        let directory = shared.directory.borrow();
        for (target_address, handles) in std::mem::take(&mut self.pending_frees) {
            let entry = directory
                .find_by_address(&target_address)
                .map(|known| known.entry.clone());
            // A target that is gone has lost its results anyway.
            if let Some(entry) = entry {
                let message_sender = self.message_sender.clone();
                spawn_local(free_results(
                    Rc::clone(shared),
                    entry,
                    handles,
                    message_sender,
                ));
            }
        }
    }

    fn start_call(&self, call: Call) {
        let shared = Rc::clone(&self.queues.shared);
        let message_sender = self.message_sender.clone();
        shared
            .metrics
            .pieces_per_call
            .observe(call.pieces.len() as f64);
        spawn_local(async move {
            let started_at = shared.now();
            let outcome = {
                let mut running_call = pin!(run_call(&shared, &call));
                let mut result =
                    timeout(INPUTS_READ_AFTER_MS.to_duration(), running_call.as_mut()).await;
                if result.is_err() {
                    // The queue task runs as long as the process.
                    let _closed =
                        message_sender.send(QueueMessage::InputsRead(call.target.clone()));
                    let remaining_ms = call.timeout_ms - INPUTS_READ_AFTER_MS;
                    result = timeout(remaining_ms.to_duration(), running_call).await;
                }
                result.unwrap_or(CallOutcome::Broken)
            };
            log_call(&call, &outcome, shared.now() - started_at);
            let target = call.target;
            // The queue task runs as long as the process.
            let _closed = message_sender.send(QueueMessage::CallEnded { target, outcome });
        });
    }
}

/// Logs a call with the identifiers of the requests whose pieces it contained.
fn log_call(call: &Call, outcome: &CallOutcome, took_ms: Millis) {
    let requests: BTreeSet<&str> = call
        .pieces
        .iter()
        .map(|piece| piece.request.as_str())
        .collect();
    let requests: Vec<&str> = requests.into_iter().collect();
    let (outcome_label, failed) = match outcome {
        CallOutcome::Responded(results) => {
            let failures = call.pieces.iter().zip(results);
            for (piece, failure) in
                failures.filter_map(|(piece, result)| Some((piece, result.as_ref().err()?)))
            {
                info!(
                    request = piece.request.as_str(), target_id = call.target.as_str(),
                    stage = piece.stage, piece = piece.piece, reason:% = failure,
                    remaining_ms = piece.remaining_ms.0;
                    "piece not computed"
                );
            }
            let failed = results.iter().filter(|result| result.is_err()).count();
            ("answered", failed)
        }
        CallOutcome::Full { .. } => ("full", call.pieces.len()),
        CallOutcome::Broken => ("broken", call.pieces.len()),
    };
    info!(
        target_id = call.target.as_str(), pieces = call.pieces.len(), outcome = outcome_label, failed,
        took_ms = took_ms.0, give_up_ms = call.timeout_ms.0, waited_ms = call.waited_ms.0,
        still_waiting = call.still_waiting, room_left_bytes = call.free_result_bytes, requests = requests.join(",");
        "stage call ended"
    );
}

async fn run_call(shared: &Shared, call: &Call) -> CallOutcome {
    let entry = {
        let directory = shared.directory.borrow();
        let known = directory.get(&call.target);
        known.map(|known| known.entry.clone())
    };
    let Some(entry) = entry else {
        return CallOutcome::Full { backoff_ms: None };
    };
    let body = match stage::encode_call_request(&call.pieces) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:%; "cannot encode the stage call");
            return CallOutcome::Broken;
        }
    };
    let request = StageRequest::Run {
        pieces: call.pieces.len(),
    };
    match post(shared, &entry, request, body).await {
        Ok(PostOutcome::Computed(results)) => CallOutcome::Responded(results),
        // Only the response to the other kind of request.
        Ok(PostOutcome::Freed) => CallOutcome::Broken,
        Ok(PostOutcome::NotExecuted) => {
            let backoff_ms = target_notices::backoff_ms(shared, &entry.id);
            CallOutcome::Full {
                backoff_ms: (backoff_ms > Millis::ZERO).then_some(backoff_ms),
            }
        }
        Ok(PostOutcome::UnexpectedStatus(status)) => {
            warn!(target_id = entry.id.as_str(), status = status.as_u16(); "stage call failed with an unexpected status");
            CallOutcome::Broken
        }
        Err(error) => {
            warn!(target_id = entry.id.as_str(), error:%; "stage call failed");
            CallOutcome::Broken
        }
    }
}

async fn free_results(
    shared: Rc<Shared>,
    entry: TargetEntry,
    handles: Vec<String>,
    message_sender: UnboundedSender<QueueMessage>,
) {
    let body = match stage::encode_free_request(&handles) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:%; "cannot encode the handles of results to free");
            return;
        }
    };
    let post_future = post(&shared, &entry, StageRequest::Free, body);
    match timeout(FREE_TIMEOUT_MS.to_duration(), post_future).await {
        Ok(Ok(PostOutcome::Freed)) => {
            let target = entry.id;
            // The queue task runs as long as the process.
            let _closed = message_sender.send(QueueMessage::Freed { target, handles });
        }
        // Results that are not freed expire at the target.
        result => {
            info!(target_id = entry.id.as_str(), results = handles.len(), failed = !matches!(result, Ok(Ok(_))); "cannot free results; they will expire at the target");
        }
    }
}

/// A request to a stage target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageRequest {
    /// Computes this number of pieces.
    Run { pieces: usize },
    /// Frees results.
    Free,
}

enum PostOutcome {
    Computed(Vec<Result<String, PieceFailure>>),
    Freed,
    NotExecuted,
    UnexpectedStatus(StatusCode),
}

/// Sends a request to a target. Pieces are not sent to a target that accepts no work any more.
///
/// The connection is used again only after a response that fits the request: after any other one,
/// the response to this request may still arrive.
async fn post(
    shared: &Shared,
    entry: &TargetEntry,
    request: StageRequest,
    body: Vec<u8>,
) -> Result<PostOutcome, CallError> {
    let is_work = request != StageRequest::Free;
    let path = if is_work {
        names::STAGE_RUN_PATH
    } else {
        names::STAGE_FREE_PATH
    };
    let is_allowed = if is_work {
        target_notices::try_take(shared, &entry.id, Sender::QueueOwner)
    } else {
        // Results expire by themselves.
        target_notices::accepts_optional_calls(shared, entry)
    };
    if !is_allowed {
        return Ok(PostOutcome::NotExecuted);
    }
    let mut connection = shared.pool.acquire(shared.now(), entry).await?;
    let may_send = shared
        .directory
        .borrow()
        .may_send(&entry.id, entry.incarnation)
        && rollouts::allows_pieces(shared, entry);
    if (is_work && !may_send) || target_notices::is_paused(shared, &entry.id) {
        return Ok(PostOutcome::NotExecuted);
    }
    let http_request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, entry.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(names::EXPECTED_TARGET, &entry.id)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CallError::Connect(std::io::Error::other(error)))?;
    let sent_at = shared.now();
    let response = connection.get()?.send(http_request).await?;
    let status = response.status();
    let headers = response.headers().clone();
    let not_executed =
        headers.contains_key(names::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if status != StatusCode::MISDIRECTED_REQUEST {
        target_notices::record_response(shared, entry, status, &headers, sent_at, !not_executed);
        if let Some(load) = response::reported_load(&headers) {
            target_reports::record_load(shared, entry, &load);
        }
    }
    let body = body::read_up_to(response.into_body(), MAX_STAGE_RESPONSE_BYTES)
        .await
        .map_err(CallError::Body)?;
    let outcome = match request {
        // A later response on a connection may be a refusal that was written once more.
        _ if not_executed && connection.is_reused() => return Ok(PostOutcome::NotExecuted),
        _ if not_executed => PostOutcome::NotExecuted,
        _ if status != StatusCode::OK => return Ok(PostOutcome::UnexpectedStatus(status)),
        StageRequest::Free => PostOutcome::Freed,
        StageRequest::Run { pieces } => {
            let results = decode_results(entry, &body, pieces).ok_or(CallError::Mismatched)?;
            let handles = results.iter().flatten().map(String::as_bytes);
            if !connection.record_results(handles) {
                warn!(target_id = entry.id.as_str(); "target repeated the response to an earlier stage call");
                return Err(CallError::Mismatched);
            }
            // Without a handle, a response that the target has sent before may be written once more.
            // The true response may still arrive, so the connection is not used again.
            let has_handles = results.iter().any(Result::is_ok);
            if !has_handles && !connection.record_results(iter::once(&*body)) {
                return Ok(PostOutcome::Computed(results));
            }
            PostOutcome::Computed(results)
        }
    };
    if !response::closes_connection(&headers) {
        connection.release(shared.now(), response::keep_alive_timeout_ms(&headers));
    }
    Ok(outcome)
}

/// Decodes the results of a number of pieces, or logs why that is not possible.
fn decode_results(
    entry: &TargetEntry,
    body: &[u8],
    pieces: usize,
) -> Option<Vec<Result<String, PieceFailure>>> {
    match stage::decode_call_response(body) {
        Ok(results) if results.len() == pieces => return Some(results),
        Ok(results) => {
            warn!(target_id = entry.id.as_str(), expected = pieces, results = results.len(); "stage call returned the wrong number of results");
        }
        Err(error) => {
            warn!(target_id = entry.id.as_str(), error:%; "cannot decode the response to a stage call");
        }
    }
    None
}
