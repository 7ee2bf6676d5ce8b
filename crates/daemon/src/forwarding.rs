//! Stages that run in another failure domain, through an instance there.
//!
//! A call is forwarded once at the most. The answering instance dispatches it to a target of its
//! own failure domain under its own limits, and its `NotRun` proves that no target received the
//! call. Every other loss of the answer leaves the outcome unknown.

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
use crate::peer::Replies;
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
use arbutus_wire::peer::NotRunReason;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;
use arbutus_wire::peer::StageCall as WireCall;
use arbutus_wire::peer::StageEnd;
use arbutus_wire::peer::StageOutcome;
use arbutus_wire::peer::TokenFrame;

const STATUS_OK: u16 = 200;
/// Instances that seem to be dead are tried only below this number of tried instances, as each of
/// them may cost the time of a connection that is not established.
const MAX_UNLIKELY_PEERS: usize = 2;
/// After this multiple of the stall time without a token, a stream that has begun is resumed
/// elsewhere. The peer needs the stall time itself to notice that its engine is silent, and then
/// the time until the first token of another engine.
const PEER_STALL_FACTOR: u64 = 3;
/// What a forwarded call may take longer than its deadline because of the way back.
const ANSWER_MARGIN_MS: Millis = Millis(50);

/// How a forwarded call ended.
#[derive(Debug)]
pub enum RemoteEnd {
    /// The stage has run.
    Answered(Value),
    /// All tokens have been delivered.
    Streamed {
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
    /// No target received the call.
    NotRun(String),
    /// The stage may have run.
    Failed {
        /// What was wrong.
        failure: String,
        /// Whether tokens were delivered.
        progressed: bool,
    },
    /// Nobody receives the tokens any more.
    CallerGone,
}

/// Returns an instance of another failure domain that can be expected to run a stage.
///
/// A call that has no target here is also offered to instances that seem to be dead, because
/// after a partition the news of a drain can arrive before that of live members. An instance that
/// cannot be reached is a proof of `not run`.
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
        if entry.service == service && !node.is_closed(entry) {
            domains.insert(entry.failure_domain.as_str());
        }
    }
    domains.remove(node.settings.failure_domain.as_str());
    let (alive, others): (Vec<Member>, Vec<Member>) = node
        .members()
        .into_iter()
        .filter(|member| member.state != MemberState::Leaving)
        .filter(|member| domains.contains(member.failure_domain.as_str()))
        .filter(|member| !excluded.contains(&member.name) && !node.is_instance_drained(member))
        .partition(|member| member.state == MemberState::Alive);
    let try_others = !has_local_target && excluded.len() < MAX_UNLIKELY_PEERS;
    let candidates = if alive.is_empty() && try_others {
        others
    } else {
        alive
    };
    if candidates.is_empty() {
        return None;
    }
    let index = (node.random() % candidates.len() as u64) as usize;
    candidates.into_iter().nth(index)
}

/// Runs an attempt of a stage through an instance of another failure domain.
pub fn run_remote(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    (peer, wait_ms): (&Member, Millis),
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
        dispatch_within_ms: call.dispatch_by.map(|by| by - node.now()),
        fingerprint: call.fingerprint,
        prefix: call.prefix,
        body: call.input.to_string().into_bytes(),
        max_tokens: call.max_tokens,
        stall_ms: call.stall_ms,
        resume_at: stream.resume_at(),
        wait_ms,
        hops: 1,
    }));
    let end = match node.gossip().client().stream(peer.peer_address, request) {
        Ok(answer) => receive(node, call, ids, answer, stream, sink),
        Err(error) => lost(&error, false),
    };
    let outcome = match &end {
        RemoteEnd::Answered(_) | RemoteEnd::Streamed { .. } => "remote_done",
        RemoteEnd::NotRun(_) => "remote_not_run",
        RemoteEnd::Failed { .. } => "remote_failed",
        RemoteEnd::CallerGone => "remote_caller_gone",
    };
    let labels = AttemptLabels {
        service: call.service.clone(),
        outcome: outcome.to_owned(),
    };
    node.metrics.attempts.get_or_create(&labels).inc();
    end
}

fn receive(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    mut answer: PeerStream,
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> RemoteEnd {
    let now = || node.now();
    let mut attempt = stream.attempt(&now, sink);
    let mut longest_silence_ms = Millis::MAX;
    loop {
        let remaining_ms = call.deadline - node.now() + ANSWER_MARGIN_MS;
        let frame = match answer.next(remaining_ms.min(longest_silence_ms)) {
            Ok(PeerReply::Token(TokenFrame { offset, text })) => {
                longest_silence_ms = Millis(call.stall_ms.0.saturating_mul(PEER_STALL_FACTOR));
                Frame::Token { offset, text }
            }
            Ok(PeerReply::StageEnd(end)) => match ended(ids, end) {
                RemoteEnd::Streamed { tokens } => Frame::Done { tokens },
                RemoteEnd::Failed { failure, .. } => {
                    let progressed = matches!(
                        attempt.finish(),
                        StreamEnd::Broken {
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
            Ok(_) => return lost(&PeerError::WrongAnswer, false),
            Err(error) => {
                let progressed = matches!(
                    attempt.finish(),
                    StreamEnd::Broken {
                        progressed: true,
                        ..
                    }
                );
                return lost(&error, progressed);
            }
        };
        if attempt.receive(frame) == ControlFlow::Break(()) {
            break;
        }
    }
    match attempt.finish() {
        StreamEnd::Done { tokens } => RemoteEnd::Streamed { tokens },
        StreamEnd::CallerGone => RemoteEnd::CallerGone,
        StreamEnd::Broken { fault, progressed } => RemoteEnd::Failed {
            failure: format!("forwarded stream {fault}"),
            progressed,
        },
    }
}

fn ended(ids: &AttemptIds, end: StageEnd) -> RemoteEnd {
    let echo = EchoedIds {
        request: Some(&end.request_id),
        stage: Some(&end.stage_id),
        attempt: Some(&end.attempt_id),
    };
    if ids.check_echo(echo).is_err() {
        return lost(&PeerError::WrongAnswer, false);
    }
    match end.outcome {
        StageOutcome::Answered { body, .. } => match serde_json::from_slice(&body) {
            Ok(output) => RemoteEnd::Answered(output),
            Err(_error) => lost(&PeerError::WrongAnswer, false),
        },
        StageOutcome::Streamed { tokens } => RemoteEnd::Streamed { tokens },
        StageOutcome::NotRun { reason, .. } => RemoteEnd::NotRun(format!("not run: {reason}")),
        StageOutcome::Unknown { detail } => RemoteEnd::Failed {
            failure: detail,
            progressed: false,
        },
    }
}

fn lost(error: &PeerError, progressed: bool) -> RemoteEnd {
    let failure = error.to_string();
    if error.is_not_run() && !progressed {
        return RemoteEnd::NotRun(failure);
    }
    RemoteEnd::Failed {
        failure,
        progressed,
    }
}

/// Runs a stage for an instance of another failure domain.
///
/// # Errors
///
/// Returns an error when an answer could not be sent.
pub fn serve_forwarded_stage(
    node: &Arc<Node>,
    sender: &str,
    call: &WireCall,
    replies: &mut Replies<'_>,
) -> Result<(), FrameError> {
    let entered = node.begin_request();
    let outcome = if entered.is_none() {
        StageOutcome::NotRun {
            reason: NotRunReason::Limit,
            retry_after_ms: None,
        }
    } else if call.hops > 1 {
        StageOutcome::NotRun {
            reason: NotRunReason::AlreadyForwarded,
            retry_after_ms: None,
        }
    } else {
        run_for_peer(node, sender, call, replies)
    };
    let end = StageEnd {
        request_id: call.request_id.clone(),
        stage_id: call.stage_id.clone(),
        attempt_id: call.attempt_id.clone(),
        outcome,
    };
    replies.send(&PeerReply::StageEnd(end))
}

fn run_for_peer(
    node: &Arc<Node>,
    sender: &str,
    call: &WireCall,
    replies: &mut Replies<'_>,
) -> StageOutcome {
    let Ok(input) = serde_json::from_slice(&call.body) else {
        // Nothing was sent to a target.
        return StageOutcome::NotRun {
            reason: NotRunReason::Unavailable,
            retry_after_ms: None,
        };
    };
    let local = StageCall {
        pipeline: String::new(),
        stage_index: 0,
        streams: node.streams(&call.service),
        service: call.service.clone(),
        organisation: call.organisation.clone(),
        weight: node.weight(&call.organisation),
        priority: call.priority,
        deadline: node.now() + call.remaining_ms,
        expected_ms: Millis::ZERO,
        patience_ms: call.remaining_ms,
        stall_ms: call.stall_ms,
        max_tokens: call.max_tokens,
        hedge: false,
        idempotency_key: call.idempotency_key.clone(),
        fingerprint: call.fingerprint,
        prefix: call.prefix,
        input,
        resume_at: call.resume_at,
        wait_ms: call.wait_ms,
        dispatch_by: call.dispatch_within_ms.map(|within| node.now() + within),
        forwarded: true,
    };
    let attempt = Attempt::first(AttemptIds {
        request: call.request_id.clone(),
        stage: call.stage_id.clone(),
        // The instance's own attempts get identifiers that the sender never uses.
        attempt: format!("{}.{sender}.1", call.attempt_id),
    });
    let mut sink = PeerSink { replies };
    match dispatch::run_stage(node, &local, attempt, &mut sink) {
        Ok(done) => answered(&local, &done),
        Err(problem) => failed(&problem),
    }
}

fn answered(call: &StageCall, done: &CompletedStage) -> StageOutcome {
    if call.streams {
        let tokens = done
            .output
            .get("tokens")
            .and_then(Value::as_u64)
            .unwrap_or(0);
        return StageOutcome::Streamed {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
    }
    StageOutcome::Answered {
        status: STATUS_OK,
        body: done.output.to_string().into_bytes(),
    }
}

fn failed(problem: &Problem) -> StageOutcome {
    if problem.executed() == Executed::Unknown {
        return StageOutcome::Unknown {
            detail: problem.detail().to_owned(),
        };
    }
    let reason = match problem.reason() {
        Reason::NoTarget => NotRunReason::NoTarget,
        Reason::Deadline => NotRunReason::Deadline,
        Reason::Quarantined => NotRunReason::Quarantined,
        Reason::Overloaded => NotRunReason::Limit,
        _ => NotRunReason::Unavailable,
    };
    StageOutcome::NotRun {
        reason,
        retry_after_ms: problem.retry_after_ms(),
    }
}

/// Delivers tokens to the instance that forwarded the call.
struct PeerSink<'a, 'b> {
    replies: &'a mut Replies<'b>,
}

impl TokenSink for PeerSink<'_, '_> {
    fn token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed> {
        let frame = TokenFrame {
            offset,
            text: text.to_owned(),
        };
        self.replies
            .send(&PeerReply::Token(frame))
            .map_err(|_error| SinkClosed)
    }
}
