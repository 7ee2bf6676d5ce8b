//! Runs one stage: takes a slot, makes attempts, and resumes broken streams.
//!
//! An attempt counts as sent before its call is written. A non-idempotent call is tried again
//! only while nothing was sent. Retries are paid from the service's budget; the resumption of a
//! stream that has made progress is not, because it repeats no work.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::PoisonError;
use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::forwarding::RemoteEnd;
use crate::forwarding::run_remote;
use crate::forwarding::select_peer;
use crate::hedge::call_hedged;
use crate::local_attempt::StreamEnd;
use crate::local_attempt::TokenStream;
use crate::local_attempt::call_target;
use crate::local_attempt::stream_from_target;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::service_routing::ServiceRouting;
use crate::slots::NoSlot;
use crate::slots::Slot;
use crate::slots::SlotRequest;
use crate::stage::CompletedStage;
use crate::stage::StageCall;
use crate::stage::TokenSink;
use crate::target_client::CallError;
use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_coord::membership::Member;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Sent;
use arbutus_policy::attempt::Unsent;
use arbutus_policy::quarantine::Fingerprint;

/// How long a stage waits for a local slot before it is offered to another failure domain.
const LOCAL_PATIENCE_MS: Millis = Millis(200);
/// How long a stage that could also wait here waits for a slot in another failure domain.
const REMOTE_PATIENCE_MS: Millis = Millis(50);
const BUSY_RETRY_MS: Millis = Millis(500);

/// Where an attempt runs.
enum Place {
    Local(Slot),
    Remote(Member, Millis),
}

enum Outcome {
    Done(Value, Attempt<Sent>),
    NotSent(Attempt<Unsent>, String),
    Failed {
        attempt: Attempt<Sent>,
        failure: String,
        progressed: bool,
    },
    CallerGone,
}

/// Runs a stage.
///
/// # Errors
///
/// Returns the problem that the caller gets.
pub fn run_stage(
    node: &Arc<Node>,
    call: &StageCall,
    attempt: Attempt<Unsent>,
    sink: &mut dyn TokenSink,
) -> Result<CompletedStage, Problem> {
    let mut stage = Stage::new(node, call);
    let mut attempt = attempt;
    loop {
        if let Some(remaining_ms) = quarantined(node, call) {
            let detail = "targets failed each time that they ran this request";
            return Err(refuse(attempt, Reason::Quarantined, detail).with_retry_after(remaining_ms));
        }
        if node.now() >= call.deadline {
            return Err(refuse(attempt, Reason::Deadline, "the deadline has passed"));
        }
        if call.is_too_late(node.now()) {
            let detail = "no target took the call within the dispatch window of its claim";
            return Err(refuse(attempt, Reason::NoTarget, detail).with_retry_after(BUSY_RETRY_MS));
        }
        let place = match stage.choose_place() {
            Ok(place) => place,
            Err(no_slot) => return Err(stage.refuse_without_slot(attempt, no_slot)),
        };
        let outcome = match place {
            Place::Local(slot) => stage.run_local(attempt, slot, sink),
            Place::Remote(peer, wait_ms) => stage.run_remote(attempt, &peer, wait_ms, sink),
        };
        match outcome {
            Outcome::Done(output, attempt) => {
                forgive(node, call);
                let begun = stage.begun.unwrap_or_else(|| node.now());
                let took_ms = node.now() - begun;
                return Ok(CompletedStage {
                    output,
                    attempt,
                    took_ms,
                });
            }
            Outcome::NotSent(unsent, failure) => {
                stage.last_failure = Some(failure);
                let id = next_attempt_id(unsent.ids());
                attempt = unsent.with_attempt_id(id);
            }
            Outcome::CallerGone => {
                return Err(Problem::maybe_executed(
                    Reason::StageFailed,
                    "the caller went away",
                ));
            }
            Outcome::Failed {
                attempt: failed,
                failure,
                progressed,
            } => {
                attempt = stage.retry(&failed, failure, progressed)?;
            }
        }
    }
}

/// Ends a request that is not dispatched any further.
pub fn refuse(attempt: Attempt<Unsent>, reason: Reason, detail: impl Into<String>) -> Problem {
    match attempt.not_run() {
        Ok(proof) => Problem::not_executed(&proof, reason, detail),
        Err(_may_have_run) => Problem::maybe_executed(reason, detail),
    }
}

/// Takes a slot at a target of this failure domain.
pub(crate) fn acquire(
    node: &Node,
    call: &StageCall,
    excluded: &BTreeSet<Target>,
    until: Millis,
) -> Result<Slot, NoSlot> {
    let request = SlotRequest {
        excluded,
        until,
        ..slot_request(call)
    };
    node.slots.acquire(request, &|| node.random())
}

/// Checks whether a stage would be answered before its deadline if it had to wait for a slot.
///
/// # Errors
///
/// Returns that the request is refused.
pub fn check_admission(node: &Node, call: &StageCall) -> Result<(), NoSlot> {
    node.slots.check(slot_request(call), node.now())
}

fn slot_request(call: &StageCall) -> SlotRequest<'_> {
    SlotRequest {
        prefix: call.prefix,
        organisation: &call.organisation,
        weight: call.weight,
        priority: call.priority,
        deadline: call.deadline,
        expected_ms: call.expected_ms,
        // The instance that received the request checked all stages before the first one ran.
        admitted: !call.forwarded,
        ..SlotRequest::for_service(&call.service)
    }
}

/// Returns an identifier with the next number at its end.
pub(crate) fn next_attempt_id(ids: &AttemptIds) -> String {
    let (series, number) = ids.attempt.rsplit_once('.').unwrap_or((&ids.attempt, "0"));
    let number = number.parse::<u32>().unwrap_or(0);
    format!("{series}.{}", number + 1)
}

/// The state of a stage over its attempts.
struct Stage<'a> {
    node: &'a Arc<Node>,
    call: &'a StageCall,
    /// The targets to which no connection could be established.
    unreachable: BTreeSet<Target>,
    /// The targets that have failed an attempt.
    failed: BTreeSet<Target>,
    /// The instances of other failure domains that were tried.
    peers: BTreeSet<String>,
    /// Whether no other failure domain is left to try.
    remote_tried: bool,
    /// The attempts in a row that were sent and made no progress.
    fruitless: u32,
    last_failure: Option<String>,
    stream: TokenStream,
    /// When the first attempt began.
    begun: Option<Millis>,
}

impl<'a> Stage<'a> {
    fn new(node: &'a Arc<Node>, call: &'a StageCall) -> Self {
        Self {
            node,
            call,
            unreachable: BTreeSet::new(),
            failed: BTreeSet::new(),
            peers: BTreeSet::new(),
            remote_tried: false,
            fruitless: 0,
            last_failure: None,
            begun: None,
            stream: TokenStream::resuming(node.now(), call.stall_ms, call.resume_at),
        }
    }

    fn excluded(&self) -> BTreeSet<Target> {
        self.unreachable.union(&self.failed).copied().collect()
    }

    /// Returns where the next attempt runs: at a target of this failure domain, or through an
    /// instance of another one when this one has no target or all of its targets stay busy.
    fn choose_place(&mut self) -> Result<Place, NoSlot> {
        let now = self.node.now();
        let deadline = self.call.wait_until().min(now + self.call.wait_ms);
        let patient = self.call.forwarded || self.remote_tried;
        let until = if patient {
            deadline
        } else {
            deadline.min(now + LOCAL_PATIENCE_MS)
        };
        let no_slot = match acquire(self.node, self.call, &self.excluded(), until) {
            Ok(slot) => return Ok(Place::Local(slot)),
            Err(no_slot) => no_slot,
        };
        let has_local_target = no_slot != NoSlot::NoTarget;
        if !self.call.forwarded
            && let Some(peer) =
                select_peer(self.node, &self.call.service, &self.peers, has_local_target)
        {
            // A call that can also wait here does not wait there.
            let wait_ms = if has_local_target {
                REMOTE_PATIENCE_MS
            } else {
                Millis::MAX
            };
            return Ok(Place::Remote(peer, wait_ms));
        }
        self.remote_tried = true;
        if no_slot == NoSlot::NoTarget && !self.failed.is_empty() {
            // The only targets left have failed once; the retry budget allows another attempt.
            self.failed.clear();
        } else if no_slot == NoSlot::NoTarget || patient {
            return Err(no_slot);
        }
        acquire(self.node, self.call, &self.excluded(), deadline).map(Place::Local)
    }

    fn run_remote(
        &mut self,
        attempt: Attempt<Unsent>,
        peer: &Member,
        wait_ms: Millis,
        sink: &mut dyn TokenSink,
    ) -> Outcome {
        self.peers.insert(peer.name.clone());
        let attempt = attempt.send(self.node.now());
        let ids = attempt.ids();
        let stream = &mut self.stream;
        match run_remote(self.node, self.call, ids, (peer, wait_ms), stream, sink) {
            RemoteEnd::Answered(output) => Outcome::Done(output, attempt),
            RemoteEnd::Streamed { tokens } => {
                Outcome::Done(json!({ "text": stream.text(), "tokens": tokens }), attempt)
            }
            RemoteEnd::NotRun(failure) => Outcome::NotSent(attempt.into_unsent(), failure),
            RemoteEnd::Failed {
                failure,
                progressed,
            } => Outcome::Failed {
                attempt,
                failure,
                progressed,
            },
            RemoteEnd::CallerGone => Outcome::CallerGone,
        }
    }

    fn run_local(
        &mut self,
        attempt: Attempt<Unsent>,
        slot: Slot,
        sink: &mut dyn TokenSink,
    ) -> Outcome {
        let target = slot.target;
        self.begun.get_or_insert_with(|| self.node.now());
        let outcome = self.run_attempt(attempt, slot, sink);
        match &outcome {
            Outcome::NotSent(..) => {
                self.unreachable.insert(target);
            }
            Outcome::Failed { .. } => {
                self.failed.insert(target);
            }
            Outcome::Done(..) | Outcome::CallerGone => {}
        }
        outcome
    }

    fn run_attempt(
        &mut self,
        attempt: Attempt<Unsent>,
        slot: Slot,
        sink: &mut dyn TokenSink,
    ) -> Outcome {
        let now = self.node.now();
        if !slot.may_start(now) {
            return Outcome::NotSent(attempt, "the slot expired".to_owned());
        }
        if self.call.is_too_late(now) {
            return Outcome::NotSent(attempt, "the dispatch window has passed".to_owned());
        }
        let attempt = attempt.send(now);
        if self.call.streams {
            return self.run_stream(attempt, &slot, sink);
        }
        let delay_ms = self.hedge_delay(now);
        let timeout_ms = self.timeout(now);
        let (attempt, result) = if let Some(delay_ms) = delay_ms {
            call_hedged(self.node, self.call, attempt, slot, delay_ms, timeout_ms)
        } else {
            let result = call_target(self.node, self.call, attempt.ids(), &slot, timeout_ms);
            (attempt, result)
        };
        match result {
            Ok(output) => Outcome::Done(output, attempt),
            Err(error) => failed(attempt, &error),
        }
    }

    fn run_stream(
        &mut self,
        attempt: Attempt<Sent>,
        slot: &Slot,
        sink: &mut dyn TokenSink,
    ) -> Outcome {
        let stream = &mut self.stream;
        match stream_from_target(self.node, self.call, attempt.ids(), slot, stream, sink) {
            Ok(StreamEnd::Done { tokens }) => {
                let output = json!({ "text": stream.text(), "tokens": tokens });
                Outcome::Done(output, attempt)
            }
            Ok(StreamEnd::CallerGone) => Outcome::CallerGone,
            Ok(StreamEnd::Broken { .. }) if self.node.now() >= self.call.deadline => {
                self.node.metrics.count("stream_past_deadline");
                let failure = "the deadline passed in the middle of the stream".to_owned();
                Outcome::Failed {
                    attempt,
                    failure,
                    progressed: true,
                }
            }
            Ok(StreamEnd::Broken { fault, progressed }) => {
                self.node.metrics.count(&format!("stream_{fault}"));
                let failure = format!("stream {fault} at token {}", stream.resume_at());
                Outcome::Failed {
                    attempt,
                    failure,
                    progressed,
                }
            }
            Err(error) => failed(attempt, &error),
        }
    }

    /// Returns how long an attempt may take. A first attempt leaves time for another one.
    fn timeout(&self, now: Millis) -> Millis {
        let remaining_ms = self.call.deadline - now;
        if !self.call.is_idempotent() || self.fruitless > 0 {
            return remaining_ms;
        }
        remaining_ms.min(self.call.patience_ms)
    }

    fn hedge_delay(&self, now: Millis) -> Option<Millis> {
        if !self.call.hedge || !self.call.is_idempotent() {
            return None;
        }
        self.node
            .slots
            .with_service(now, &self.call.service, ServiceRouting::hedge_delay)
    }

    /// Returns the attempt that repeats a failed one, after its delay.
    fn retry(
        &mut self,
        failed: &Attempt<Sent>,
        failure: String,
        progressed: bool,
    ) -> Result<Attempt<Unsent>, Problem> {
        if !self.call.is_idempotent() {
            return Err(Problem::maybe_executed(Reason::StageFailed, failure));
        }
        if progressed {
            self.fruitless = 0;
        } else {
            self.fruitless += 1;
            self.wait_before_retry(&failure)?;
        }
        self.last_failure = Some(failure);
        let id = next_attempt_id(failed.ids());
        Ok(failed.next_attempt(failed.ids().stage.clone(), id))
    }

    fn wait_before_retry(&self, failure: &str) -> Result<(), Problem> {
        let now = self.node.now();
        let random = self.node.random();
        let delay = self
            .node
            .slots
            .with_service(now, &self.call.service, |state| {
                state.try_retry(now, self.fruitless, self.call.deadline, random)
            });
        match delay {
            Ok(delay_ms) => {
                thread::sleep(delay_ms.to_duration());
                Ok(())
            }
            Err(refusal) => {
                self.node.metrics.count("retry_refused");
                Err(Problem::maybe_executed(
                    Reason::StageFailed,
                    format!("{failure}; {refusal}"),
                ))
            }
        }
    }

    fn refuse_without_slot(&mut self, attempt: Attempt<Unsent>, no_slot: NoSlot) -> Problem {
        let service = &self.call.service;
        let last_failure = self.last_failure.take();
        match no_slot {
            NoSlot::NoTarget => {
                let detail = last_failure
                    .unwrap_or_else(|| format!("no target of service {service} takes calls"));
                refuse(attempt, Reason::NoTarget, detail).with_retry_after(BUSY_RETRY_MS)
            }
            NoSlot::Refused { retry_ms } => refuse_overloaded(attempt, service, retry_ms),
            NoSlot::Busy => {
                let detail = format!("all targets of service {service} stayed busy");
                refuse(attempt, Reason::Deadline, detail)
            }
        }
    }
}

/// Refuses a request that would not be answered before its deadline.
#[must_use]
pub fn refuse_overloaded(attempt: Attempt<Unsent>, service: &str, retry_ms: Millis) -> Problem {
    let detail = format!("the queue of service {service} is too long for the deadline");
    refuse(attempt, Reason::Overloaded, detail).with_retry_after(retry_ms)
}

fn failed(attempt: Attempt<Sent>, error: &CallError) -> Outcome {
    let failure = error.to_string();
    match error {
        CallError::NotConnected(_) => Outcome::NotSent(attempt.into_unsent(), failure),
        _ => Outcome::Failed {
            attempt,
            failure,
            progressed: false,
        },
    }
}

fn quarantined(node: &Node, call: &StageCall) -> Option<Millis> {
    let quarantine = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    quarantine.remaining(node.now(), Fingerprint(call.fingerprint))
}

fn forgive(node: &Node, call: &StageCall) {
    let mut quarantine = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    quarantine.record_success(Fingerprint(call.fingerprint));
}
