//! Forwards stage calls to instances of other failure domains, and executes the calls that they
//! forward.
//!
//! An instance does not forward a call that was forwarded to it: it sends the call to a target of
//! its own failure domain, and counts it against its own maximum number of requests in progress.
//! The outcome [`StageOutcome::NotExecuted`] proves that no target received the call. When there is
//! no valid reply, a target may have executed the call, unless the connection to the instance was
//! never established.

use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::sync::Arc;

use serde_json::Value;

use crate::dispatch;
use crate::local_attempt::StreamEnd;
use crate::local_attempt::TokenStream;
use crate::metrics::AttemptLabels;
use crate::node::Node;
use crate::peer::PeerError;
use crate::peer::PeerStream;
use crate::peer::ReplyWriter;
use crate::problem::Executed;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::stage::CompletedStage;
use crate::stage::SinkClosed;
use crate::stage::StageCall;
use crate::stage::TokenSink;
use arbutus_coord::Millis;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::EchoedIds;
use arbutus_policy::stream::Frame;
use arbutus_wire::frame::FrameError;
use arbutus_wire::peer::NotExecutedReason;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;
use arbutus_wire::peer::StageCall as WireCall;
use arbutus_wire::peer::StageEnd;
use arbutus_wire::peer::StageOutcome;
use arbutus_wire::peer::TokenFrame;

const STATUS_OK: u16 = 200;
/// A suspect or dead instance is tried only while fewer instances than this have been tried,
/// because each such attempt may last until the connection timeout.
const UNRESPONSIVE_PEER_TRY_LIMIT: usize = 2;
/// The multiple of the stall timeout after which a started stream without a new token is resumed
/// through another instance. The peer needs one stall timeout to detect that its engine is silent,
/// and then the time until the first token of another engine.
const PEER_STALL_FACTOR: u64 = 3;
/// How long after the deadline of a forwarded call its reply is still accepted.
const REPLY_MARGIN_MS: Millis = Millis(50);

/// How a forwarded call ended.
#[derive(Debug)]
pub enum RemoteEnd {
    /// A target executed the stage and returned this output.
    Completed(Value),
    /// All tokens have been delivered.
    Streamed {
        /// The number of tokens in the whole output.
        tokens: u32,
    },
    /// No target received the call, for the given reason.
    NotExecuted(String),
    /// A target may have executed the stage.
    Failed {
        /// The description of the failure.
        failure: String,
        /// Whether at least one token was delivered.
        progressed: bool,
    },
    /// The receiver of the tokens has disconnected.
    SinkClosed,
}

/// Selects a random instance of another failure domain that has targets of a service.
///
/// Returns `None` when there is no such instance. Instances in `excluded` are not selected.
///
/// If no candidate is alive and the call has no local target, suspect and dead instances are
/// candidates as well. This is needed after a network partition: the drain of the local targets can
/// become known before the instances of the other failure domains are known to be alive again. Such
/// an attempt is safe, because a failed connection proves that the call was not executed.
#[must_use]
pub fn select_peer(
    node: &Node,
    service: &str,
    excluded: &BTreeSet<String>,
    has_local_target: bool,
) -> Option<Member> {
    let directory = node.directory();
    let mut domains = BTreeSet::new();
    for (_, entry) in directory.iter() {
        if entry.service == service && !node.is_target_blocked(entry) {
            domains.insert(entry.failure_domain.as_str());
        }
    }
    domains.remove(node.settings.failure_domain.as_str());
    let (alive, not_alive): (Vec<Member>, Vec<Member>) = node
        .members()
        .into_iter()
        .filter(|member| member.state != MemberState::Leaving)
        .filter(|member| domains.contains(member.failure_domain.as_str()))
        .filter(|member| !excluded.contains(&member.name) && !node.is_instance_drained(member))
        .partition(|member| member.state == MemberState::Alive);
    let try_unresponsive = !has_local_target && excluded.len() < UNRESPONSIVE_PEER_TRY_LIMIT;
    let candidates = if alive.is_empty() && try_unresponsive {
        not_alive
    } else {
        alive
    };
    if candidates.is_empty() {
        return None;
    }
    let index = (node.random() % candidates.len() as u64) as usize;
    candidates.into_iter().nth(index)
}

/// Executes an attempt of a stage through an instance of another failure domain.
///
/// `max_slot_wait_ms` limits how long the call may wait for a slot there.
pub fn forward_stage(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    (peer, max_slot_wait_ms): (&Member, Millis),
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> RemoteEnd {
    let request = PeerRequest::StageCall(Box::new(WireCall {
        request_id: ids.request.clone(),
        stage_id: ids.stage.clone(),
        attempt_id: ids.attempt.clone(),
        service: call.service.clone(),
        remaining_ms: call.deadline - node.now(),
        organisation: call.organisation.clone(),
        priority: call.priority,
        idempotency_key: call.idempotency_key.clone(),
        dispatch_within_ms: call
            .dispatch_deadline
            .map(|window_end| window_end - node.now()),
        fingerprint: call.fingerprint,
        prefix: call.prefix,
        body: call.input.to_string().into_bytes(),
        max_tokens: call.max_tokens,
        stall_ms: call.stall_ms,
        resume_at: stream.next_offset(),
        max_slot_wait_ms,
        hops: 1,
    }));
    let end = match node
        .gossip()
        .client()
        .open_stream(peer.peer_address, request)
    {
        Ok(reply) => receive_reply(node, call, ids, reply, stream, sink),
        Err(error) => end_after_error(&error, false),
    };
    let outcome = match &end {
        RemoteEnd::Completed(_) | RemoteEnd::Streamed { .. } => "remote_done",
        RemoteEnd::NotExecuted(_) => "remote_not_run",
        RemoteEnd::Failed { .. } => "remote_failed",
        RemoteEnd::SinkClosed => "remote_caller_gone",
    };
    let labels = AttemptLabels {
        service: call.service.clone(),
        outcome: outcome.to_owned(),
    };
    node.metrics.attempts.get_or_create(&labels).inc();
    end
}

fn receive_reply(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    mut reply: PeerStream,
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> RemoteEnd {
    let now = || node.now();
    let mut attempt = stream.begin_attempt(&now, sink);
    // Only the deadline limits the wait for the first token.
    let mut frame_timeout_ms = Millis::MAX;
    loop {
        let remaining_ms = call.deadline - node.now() + REPLY_MARGIN_MS;
        let frame = match reply.next_reply(remaining_ms.min(frame_timeout_ms)) {
            Ok(PeerReply::Token(TokenFrame { offset, text })) => {
                frame_timeout_ms = Millis(call.stall_ms.0.saturating_mul(PEER_STALL_FACTOR));
                Frame::Token { offset, text }
            }
            Ok(PeerReply::StageEnd(end)) => match parse_end(ids, end) {
                RemoteEnd::Streamed { tokens } => Frame::Done { tokens },
                RemoteEnd::Failed { failure, .. } => {
                    let progressed = matches!(
                        attempt.finish(),
                        StreamEnd::Interrupted {
                            progressed: true,
                            ..
                        }
                    );
                    return RemoteEnd::Failed {
                        failure,
                        progressed,
                    };
                }
                end => return end,
            },
            Ok(_) => return end_after_error(&PeerError::UnexpectedReply, false),
            Err(error) => {
                let progressed = matches!(
                    attempt.finish(),
                    StreamEnd::Interrupted {
                        progressed: true,
                        ..
                    }
                );
                return end_after_error(&error, progressed);
            }
        };
        if attempt.receive(frame) == ControlFlow::Break(()) {
            break;
        }
    }
    match attempt.finish() {
        StreamEnd::Completed { tokens } => RemoteEnd::Streamed { tokens },
        StreamEnd::SinkClosed => RemoteEnd::SinkClosed,
        StreamEnd::Interrupted { fault, progressed } => RemoteEnd::Failed {
            failure: format!("forwarded stream {fault}"),
            progressed,
        },
    }
}

fn parse_end(ids: &AttemptIds, end: StageEnd) -> RemoteEnd {
    let echo = EchoedIds {
        request: Some(&end.request_id),
        stage: Some(&end.stage_id),
        attempt: Some(&end.attempt_id),
    };
    if ids.check_echo(echo).is_err() {
        return end_after_error(&PeerError::UnexpectedReply, false);
    }
    match end.outcome {
        StageOutcome::Responded { body, .. } => match serde_json::from_slice(&body) {
            Ok(output) => RemoteEnd::Completed(output),
            Err(_error) => end_after_error(&PeerError::UnexpectedReply, false),
        },
        StageOutcome::Streamed { tokens } => RemoteEnd::Streamed { tokens },
        StageOutcome::NotExecuted { reason, .. } => {
            RemoteEnd::NotExecuted(format!("not executed: {reason}"))
        }
        StageOutcome::Unknown { detail } => RemoteEnd::Failed {
            failure: detail,
            progressed: false,
        },
    }
}

/// Returns how a forwarded call ended that failed with an error. The call counts as not executed
/// only if the error proves it and no token was delivered.
fn end_after_error(error: &PeerError, progressed: bool) -> RemoteEnd {
    let failure = error.to_string();
    if error.is_not_executed() && !progressed {
        return RemoteEnd::NotExecuted(failure);
    }
    RemoteEnd::Failed {
        failure,
        progressed,
    }
}

/// Executes a stage that an instance of another failure domain has forwarded. `sender` is the name
/// of that instance.
///
/// # Errors
///
/// Returns an error when a reply could not be sent.
pub fn serve_forwarded_stage(
    node: &Arc<Node>,
    sender: &str,
    call: &WireCall,
    replies: &mut ReplyWriter<'_>,
) -> Result<(), FrameError> {
    let permit = node.begin_request();
    // As for requests of clients, the signal is checked after the call is counted.
    let outcome = if permit.is_none() || node.intake_end.is_raised() {
        StageOutcome::NotExecuted {
            reason: NotExecutedReason::Limit,
            retry_after_ms: None,
        }
    } else if call.hops > 1 {
        StageOutcome::NotExecuted {
            reason: NotExecutedReason::AlreadyForwarded,
            retry_after_ms: None,
        }
    } else {
        execute_for_peer(node, sender, call, replies)
    };
    let end = StageEnd {
        request_id: call.request_id.clone(),
        stage_id: call.stage_id.clone(),
        attempt_id: call.attempt_id.clone(),
        outcome,
    };
    replies.send(&PeerReply::StageEnd(end))
}

fn execute_for_peer(
    node: &Arc<Node>,
    sender: &str,
    call: &WireCall,
    replies: &mut ReplyWriter<'_>,
) -> StageOutcome {
    let Ok(input) = serde_json::from_slice(&call.body) else {
        // The body is not valid JSON, so nothing is sent to a target.
        return StageOutcome::NotExecuted {
            reason: NotExecutedReason::Unavailable,
            retry_after_ms: None,
        };
    };
    let local_call = StageCall {
        pipeline: String::new(),
        stage_index: 0,
        streams: node.is_streaming(&call.service),
        service: call.service.clone(),
        organisation: call.organisation.clone(),
        weight: node.organisation_weight(&call.organisation),
        priority: call.priority,
        deadline: node.now() + call.remaining_ms,
        expected_ms: Millis::ZERO,
        attempt_timeout_ms: call.remaining_ms,
        stall_ms: call.stall_ms,
        max_tokens: call.max_tokens,
        hedge: false,
        idempotency_key: call.idempotency_key.clone(),
        fingerprint: call.fingerprint,
        prefix: call.prefix,
        input,
        first_offset: call.resume_at,
        max_slot_wait_ms: call.max_slot_wait_ms,
        dispatch_deadline: call.dispatch_within_ms.map(|within| node.now() + within),
        forwarded: true,
    };
    let attempt = Attempt::first(AttemptIds {
        request: call.request_id.clone(),
        stage: call.stage_id.clone(),
        // The sender's name makes these identifiers differ from those of the sender's attempts.
        attempt: format!("{}.{sender}.1", call.attempt_id),
    });
    let mut sink = PeerSink { replies };
    match dispatch::execute_stage(node, &local_call, attempt, &mut sink) {
        Ok(completed) => success_outcome(&local_call, &completed),
        Err(problem) => failure_outcome(&problem),
    }
}

fn success_outcome(call: &StageCall, completed: &CompletedStage) -> StageOutcome {
    if call.streams {
        let tokens = completed
            .output
            .get("tokens")
            .and_then(Value::as_u64)
            .unwrap_or(0);
        return StageOutcome::Streamed {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
    }
    StageOutcome::Responded {
        status: STATUS_OK,
        body: completed.output.to_string().into_bytes(),
    }
}

fn failure_outcome(problem: &Problem) -> StageOutcome {
    if problem.executed() == Executed::Unknown {
        return StageOutcome::Unknown {
            detail: problem.detail().to_owned(),
        };
    }
    let reason = match problem.reason() {
        Reason::NoTarget => NotExecutedReason::NoTarget,
        Reason::Deadline => NotExecutedReason::Deadline,
        Reason::Quarantined => NotExecutedReason::Quarantined,
        Reason::Overloaded => NotExecutedReason::Limit,
        _ => NotExecutedReason::Unavailable,
    };
    StageOutcome::NotExecuted {
        reason,
        retry_after_ms: problem.retry_after_ms(),
    }
}

/// Sends tokens to the instance that forwarded the call.
struct PeerSink<'a, 'b> {
    replies: &'a mut ReplyWriter<'b>,
}

impl TokenSink for PeerSink<'_, '_> {
    fn deliver_token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed> {
        let frame = TokenFrame {
            offset,
            text: text.to_owned(),
        };
        self.replies
            .send(&PeerReply::Token(frame))
            .map_err(|_error| SinkClosed)
    }
}
