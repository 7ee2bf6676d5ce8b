//! Executes one stage: acquires a slot, makes attempts, and resumes interrupted streams.
//!
//! An attempt is marked as sent before the first byte of its call is written. A non-idempotent call
//! is retried only while no target can have received it. A retry counts against the retry budget of
//! the service if a target may have received the failed attempt. Resuming a stream does not count
//! if the interrupted attempt delivered a token, because no work is repeated.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::PoisonError;
use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::forwarding::RemoteEnd;
use crate::forwarding::forward_stage;
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

/// How long a stage waits for a local slot before it is forwarded to another failure domain.
const LOCAL_SLOT_WAIT_MS: Millis = Millis(200);
/// How long a forwarded stage waits for a slot in the other failure domain, if it could also wait
/// for a local one.
const REMOTE_SLOT_WAIT_MS: Millis = Millis(50);
/// The `Retry-After` of a refusal when no target is available.
const NO_TARGET_RETRY_AFTER_MS: Millis = Millis(500);

/// Where an attempt is executed.
enum Location {
    Local(Slot),
    /// The instance that receives the call, and the longest time that the call may wait for a slot
    /// there.
    Remote(Member, Millis),
}

enum AttemptOutcome {
    Succeeded(Value, Attempt<Sent>),
    /// No target can have received the attempt, for the given reason.
    NotReceived(Attempt<Unsent>, String),
    /// A target may have executed the attempt.
    Failed {
        attempt: Attempt<Sent>,
        failure: String,
        /// Whether the attempt delivered at least one token.
        progressed: bool,
    },
    SinkClosed,
}

/// Executes a stage until an attempt succeeds or no further attempt is allowed.
///
/// # Errors
///
/// Returns the problem for the client.
pub fn execute_stage(
    node: &Arc<Node>,
    call: &StageCall,
    attempt: Attempt<Unsent>,
    sink: &mut dyn TokenSink,
) -> Result<CompletedStage, Problem> {
    let mut stage = StageExecution::new(node, call);
    let mut attempt = attempt;
    loop {
        if let Some(remaining_ms) = quarantine_remaining(node, call) {
            let detail = "targets failed repeatedly while they executed this request";
            return Err(
                refusal(attempt, Reason::Quarantined, detail).with_retry_after(remaining_ms)
            );
        }
        if node.now() >= call.deadline {
            return Err(refusal(
                attempt,
                Reason::Deadline,
                "the deadline has passed",
            ));
        }
        if call.dispatch_window_passed(node.now()) {
            let detail = "no target was available within the dispatch window of the claim";
            return Err(refusal(attempt, Reason::NoTarget, detail)
                .with_retry_after(NO_TARGET_RETRY_AFTER_MS));
        }
        let location = match stage.acquire_location() {
            Ok(location) => location,
            Err(no_slot) => return Err(stage.refusal_without_slot(attempt, no_slot)),
        };
        let outcome = match location {
            Location::Local(slot) => stage.execute_local(attempt, slot, sink),
            Location::Remote(peer, max_slot_wait_ms) => {
                stage.execute_remote(attempt, &peer, max_slot_wait_ms, sink)
            }
        };
        match outcome {
            AttemptOutcome::Succeeded(output, attempt) => {
                clear_recorded_failure(node, call);
                let started_at = stage.started_at.unwrap_or_else(|| node.now());
                let duration_ms = node.now() - started_at;
                return Ok(CompletedStage {
                    output,
                    attempt,
                    duration_ms,
                });
            }
            AttemptOutcome::NotReceived(unsent, failure) => {
                stage.last_failure = Some(failure);
                let id = next_attempt_id(unsent.ids());
                attempt = unsent.with_attempt_id(id);
            }
            AttemptOutcome::SinkClosed => {
                return Err(Problem::maybe_executed(
                    Reason::StageFailed,
                    "the receiver of the tokens has disconnected",
                ));
            }
            AttemptOutcome::Failed {
                attempt: failed,
                failure,
                progressed,
            } => {
                attempt = stage.retry(&failed, failure, progressed)?;
            }
        }
    }
}

/// Builds the problem for a request whose next attempt has not been sent.
///
/// The problem says that the request was not executed if no earlier attempt can have reached a
/// target either.
pub fn refusal(attempt: Attempt<Unsent>, reason: Reason, detail: impl Into<String>) -> Problem {
    match attempt.prove_not_executed() {
        Ok(proof) => Problem::not_executed(&proof, reason, detail),
        Err(_may_have_executed) => Problem::maybe_executed(reason, detail),
    }
}

/// Acquires a slot at a target of the local failure domain. Blocks until a slot is free or the time
/// `until` is reached.
pub(crate) fn acquire_slot(
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

/// Checks whether a stage can complete before its deadline, including the wait for a slot.
///
/// # Errors
///
/// Returns [`NoSlot::Refused`] when it cannot.
pub fn check_admission(node: &Node, call: &StageCall) -> Result<(), NoSlot> {
    node.slots.check_admission(slot_request(call), node.now())
}

fn slot_request(call: &StageCall) -> SlotRequest<'_> {
    SlotRequest {
        prefix: call.prefix,
        organisation: &call.organisation,
        weight: call.weight,
        priority: call.priority,
        deadline: call.deadline,
        expected_ms: call.expected_ms,
        // The instance that received the request from the client checked its own queues for all
        // stages before it executed the first one. This does not cover the queue of an instance
        // that receives a forwarded call.
        admitted: !call.forwarded,
        ..SlotRequest::for_service(&call.service)
    }
}

/// Returns the identifier of the next attempt: the number after the last dot is incremented.
pub(crate) fn next_attempt_id(ids: &AttemptIds) -> String {
    let (prefix, number) = ids.attempt.rsplit_once('.').unwrap_or((&ids.attempt, "0"));
    let number = number.parse::<u32>().unwrap_or(0);
    format!("{prefix}.{}", number + 1)
}

/// The state that the attempts of one stage share.
struct StageExecution<'a> {
    node: &'a Arc<Node>,
    call: &'a StageCall,
    /// The local targets that an attempt did not reach, because the connection failed, the slot
    /// expired or the dispatch window passed.
    not_reached: BTreeSet<Target>,
    /// The local targets at which an attempt failed after it was sent.
    failed: BTreeSet<Target>,
    /// The instances of other failure domains to which the call was forwarded, successfully or not.
    tried_peers: BTreeSet<String>,
    /// Whether a selection has found no instance to which the call can be forwarded. Also set when
    /// the call must not be forwarded.
    no_peer_left: bool,
    /// The number of consecutive attempts that failed after they were sent and delivered no token.
    attempts_without_progress: u32,
    /// Why the last attempt was not received or failed; `None` before that.
    last_failure: Option<String>,
    /// The tokens of a streaming stage, unused for others.
    stream: TokenStream,
    /// When the first local attempt started.
    started_at: Option<Millis>,
}

impl<'a> StageExecution<'a> {
    fn new(node: &'a Arc<Node>, call: &'a StageCall) -> Self {
        Self {
            node,
            call,
            not_reached: BTreeSet::new(),
            failed: BTreeSet::new(),
            tried_peers: BTreeSet::new(),
            no_peer_left: false,
            attempts_without_progress: 0,
            last_failure: None,
            started_at: None,
            stream: TokenStream::starting_at(node.now(), call.stall_ms, call.first_offset),
        }
    }

    fn excluded(&self) -> BTreeSet<Target> {
        self.not_reached.union(&self.failed).copied().collect()
    }

    /// Acquires a slot at a target of the local failure domain. Selects an instance of another
    /// failure domain instead when there is no local target, or no local slot becomes free within
    /// [`LOCAL_SLOT_WAIT_MS`]. Blocks while it waits for a slot.
    fn acquire_location(&mut self) -> Result<Location, NoSlot> {
        let now = self.node.now();
        let wait_deadline = self
            .call
            .slot_wait_deadline()
            .min(now + self.call.max_slot_wait_ms);
        let waits_until_deadline = self.call.forwarded || self.no_peer_left;
        let until = if waits_until_deadline {
            wait_deadline
        } else {
            wait_deadline.min(now + LOCAL_SLOT_WAIT_MS)
        };
        let no_slot = match acquire_slot(self.node, self.call, &self.excluded(), until) {
            Ok(slot) => return Ok(Location::Local(slot)),
            Err(no_slot) => no_slot,
        };
        let has_local_target = no_slot != NoSlot::NoTarget;
        if !self.call.forwarded
            && let Some(peer) = select_peer(
                self.node,
                &self.call.service,
                &self.tried_peers,
                has_local_target,
            )
        {
            // A call that can also wait for a local slot waits only briefly in the other failure
            // domain.
            let max_slot_wait_ms = if has_local_target {
                REMOTE_SLOT_WAIT_MS
            } else {
                Millis::MAX
            };
            return Ok(Location::Remote(peer, max_slot_wait_ms));
        }
        self.no_peer_left = true;
        if no_slot == NoSlot::NoTarget && !self.failed.is_empty() {
            // An attempt has failed at each available target. They are all tried again; the retry
            // budget limits the number of attempts.
            self.failed.clear();
        } else if no_slot == NoSlot::NoTarget || waits_until_deadline {
            return Err(no_slot);
        }
        acquire_slot(self.node, self.call, &self.excluded(), wait_deadline).map(Location::Local)
    }

    fn execute_remote(
        &mut self,
        attempt: Attempt<Unsent>,
        peer: &Member,
        max_slot_wait_ms: Millis,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        self.tried_peers.insert(peer.name.clone());
        let attempt = attempt.mark_sent(self.node.now());
        let ids = attempt.ids();
        let stream = &mut self.stream;
        match forward_stage(
            self.node,
            self.call,
            ids,
            (peer, max_slot_wait_ms),
            stream,
            sink,
        ) {
            RemoteEnd::Completed(output) => AttemptOutcome::Succeeded(output, attempt),
            RemoteEnd::Streamed { tokens } => AttemptOutcome::Succeeded(
                json!({ "text": stream.text(), "tokens": tokens }),
                attempt,
            ),
            RemoteEnd::NotExecuted(failure) => {
                AttemptOutcome::NotReceived(attempt.into_unsent(), failure)
            }
            RemoteEnd::Failed {
                failure,
                progressed,
            } => AttemptOutcome::Failed {
                attempt,
                failure,
                progressed,
            },
            RemoteEnd::SinkClosed => AttemptOutcome::SinkClosed,
        }
    }

    fn execute_local(
        &mut self,
        attempt: Attempt<Unsent>,
        slot: Slot,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let target = slot.target;
        self.started_at.get_or_insert_with(|| self.node.now());
        let outcome = self.execute_attempt(attempt, slot, sink);
        match &outcome {
            AttemptOutcome::NotReceived(..) => {
                self.not_reached.insert(target);
            }
            AttemptOutcome::Failed { .. } => {
                self.failed.insert(target);
            }
            AttemptOutcome::Succeeded(..) | AttemptOutcome::SinkClosed => {}
        }
        outcome
    }

    fn execute_attempt(
        &mut self,
        attempt: Attempt<Unsent>,
        slot: Slot,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let now = self.node.now();
        if !slot.may_start(now) {
            return AttemptOutcome::NotReceived(
                attempt,
                "the slot expired before the call was sent".to_owned(),
            );
        }
        if self.call.dispatch_window_passed(now) {
            return AttemptOutcome::NotReceived(
                attempt,
                "the dispatch window of the claim has passed".to_owned(),
            );
        }
        let attempt = attempt.mark_sent(now);
        if self.call.streams {
            return self.execute_stream(attempt, &slot, sink);
        }
        let delay_ms = self.start_hedgeable_call(now);
        let timeout_ms = self.timeout(now);
        let (attempt, result) = if let Some(delay_ms) = delay_ms {
            call_hedged(self.node, self.call, attempt, slot, delay_ms, timeout_ms)
        } else {
            let result = call_target(self.node, self.call, attempt.ids(), &slot, timeout_ms);
            (attempt, result)
        };
        match result {
            Ok(output) => AttemptOutcome::Succeeded(output, attempt),
            Err(error) => failed_outcome(attempt, &error),
        }
    }

    fn execute_stream(
        &mut self,
        attempt: Attempt<Sent>,
        slot: &Slot,
        sink: &mut dyn TokenSink,
    ) -> AttemptOutcome {
        let stream = &mut self.stream;
        match stream_from_target(self.node, self.call, attempt.ids(), slot, stream, sink) {
            Ok(StreamEnd::Completed { tokens }) => {
                let output = json!({ "text": stream.text(), "tokens": tokens });
                AttemptOutcome::Succeeded(output, attempt)
            }
            Ok(StreamEnd::SinkClosed) => AttemptOutcome::SinkClosed,
            Ok(StreamEnd::Interrupted { .. }) if self.node.now() >= self.call.deadline => {
                self.node.metrics.count("stream_past_deadline");
                let failure = "the deadline passed before the stream was complete".to_owned();
                // With `progressed`, the failure causes no retry delay and does not count against
                // the retry budget. No further attempt is sent, because `execute_stage` checks the
                // deadline first.
                AttemptOutcome::Failed {
                    attempt,
                    failure,
                    progressed: true,
                }
            }
            Ok(StreamEnd::Interrupted { fault, progressed }) => {
                self.node.metrics.count(&format!("stream_{fault}"));
                let failure = format!("stream {fault} before token {}", stream.next_offset());
                AttemptOutcome::Failed {
                    attempt,
                    failure,
                    progressed,
                }
            }
            Err(error) => failed_outcome(attempt, &error),
        }
    }

    /// Returns the timeout of an attempt. The timeout of the first attempt of an idempotent call
    /// leaves time for a retry.
    fn timeout(&self, now: Millis) -> Millis {
        let remaining_ms = self.call.deadline - now;
        if !self.call.is_idempotent() || self.attempts_without_progress > 0 {
            return remaining_ms;
        }
        remaining_ms.min(self.call.attempt_timeout_ms)
    }

    /// Returns the delay after which the call may be hedged; `None` when it may not. Counts a call
    /// that may be hedged.
    fn start_hedgeable_call(&self, now: Millis) -> Option<Millis> {
        if !self.call.hedge || !self.call.is_idempotent() {
            return None;
        }
        self.node.slots.with_routing(
            now,
            &self.call.service,
            ServiceRouting::start_hedgeable_call,
        )
    }

    /// Creates the attempt that follows a failed one, or returns the problem if none is allowed.
    /// Blocks during the retry delay, unless the failed attempt delivered a token.
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
            self.attempts_without_progress = 0;
        } else {
            self.attempts_without_progress += 1;
            self.wait_before_retry(&failure)?;
        }
        self.last_failure = Some(failure);
        let id = next_attempt_id(failed.ids());
        Ok(failed.next_attempt(failed.ids().stage.clone(), id))
    }

    /// Counts a retry against the retry budget and sleeps for the retry delay, or returns the
    /// problem if no retry is allowed.
    fn wait_before_retry(&self, failure: &str) -> Result<(), Problem> {
        let now = self.node.now();
        let random = self.node.random();
        let delay = self
            .node
            .slots
            .with_routing(now, &self.call.service, |routing| {
                routing.try_retry(
                    now,
                    self.attempts_without_progress,
                    self.call.deadline,
                    random,
                )
            });
        match delay {
            Ok(delay_ms) => {
                thread::sleep(delay_ms.to_duration());
                Ok(())
            }
            Err(retry_refusal) => {
                self.node.metrics.count("retry_refused");
                Err(Problem::maybe_executed(
                    Reason::StageFailed,
                    format!("{failure}; {retry_refusal}"),
                ))
            }
        }
    }

    fn refusal_without_slot(&mut self, attempt: Attempt<Unsent>, no_slot: NoSlot) -> Problem {
        let service = &self.call.service;
        let last_failure = self.last_failure.take();
        match no_slot {
            NoSlot::NoTarget => {
                let detail = last_failure
                    .unwrap_or_else(|| format!("service {service} has no available target"));
                refusal(attempt, Reason::NoTarget, detail)
                    .with_retry_after(NO_TARGET_RETRY_AFTER_MS)
            }
            NoSlot::Refused { retry_ms } => overload_refusal(attempt, service, retry_ms),
            NoSlot::Busy => {
                let detail = format!("no slot of service {service} became free in time");
                refusal(attempt, Reason::Deadline, detail)
            }
        }
    }
}

/// Builds the problem for a request that cannot complete before its deadline because of the queue
/// of the service; `retry_ms` is the delay after which a retry is likely to be admitted.
#[must_use]
pub fn overload_refusal(attempt: Attempt<Unsent>, service: &str, retry_ms: Millis) -> Problem {
    let detail = format!("the queue of service {service} is too long to meet the deadline");
    refusal(attempt, Reason::Overloaded, detail).with_retry_after(retry_ms)
}

fn failed_outcome(attempt: Attempt<Sent>, error: &CallError) -> AttemptOutcome {
    let failure = error.to_string();
    match error {
        CallError::NotConnected(_) => AttemptOutcome::NotReceived(attempt.into_unsent(), failure),
        _ => AttemptOutcome::Failed {
            attempt,
            failure,
            progressed: false,
        },
    }
}

fn quarantine_remaining(node: &Node, call: &StageCall) -> Option<Millis> {
    let quarantine = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    quarantine.remaining(node.now(), Fingerprint(call.fingerprint))
}

/// Removes a single recorded failure of the request after a success. Does not end a quarantine.
fn clear_recorded_failure(node: &Node, call: &StageCall) {
    let mut quarantine = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    quarantine.record_success(Fingerprint(call.fingerprint));
}
