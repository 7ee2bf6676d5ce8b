//! Executes one attempt of a stage at a target of the local failure domain.
//!
//! The outcome is recorded in the metrics, the circuit breaker, the retry budget and the quarantine
//! of requests that crash targets.

use std::ops::ControlFlow;
use std::sync::PoisonError;

use log::info;
use serde_json::Value;

use crate::metrics::AttemptLabels;
use crate::node::Node;
use crate::slots::Slot;
use crate::stage::SinkClosed;
use crate::stage::StageCall;
use crate::stage::TokenSink;
use crate::target_client::CallContext;
use crate::target_client::CallError;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::circuit_breaker::CallOutcome;
use arbutus_policy::quarantine::AttemptHash;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::stream::Frame;
use arbutus_policy::stream::StreamAssembler;
use arbutus_policy::stream::StreamEvent;
use arbutus_policy::stream::StreamFault;
use arbutus_wire::target::GenerateBody;

/// The number of tokens after which the duration of the whole stream is estimated.
const TOKENS_BEFORE_ESTIMATE: u32 = 8;

/// The state of one token stream, whose tokens may come from several attempts.
#[derive(Debug)]
pub struct TokenStream {
    assembler: StreamAssembler,
    /// Whether an attempt has begun.
    has_attempt: bool,
    /// The text of all tokens that have been delivered.
    text: String,
}

/// How an attempt to read a stream ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// Every token has been delivered.
    Completed {
        /// The number of tokens in the whole output.
        tokens: u32,
    },
    /// The stream ended before its last token. Another attempt may resume it.
    Interrupted {
        /// Why the stream ended.
        fault: StreamFault,
        /// Whether the attempt delivered at least one token.
        progressed: bool,
    },
    /// The receiver of the tokens has disconnected.
    SinkClosed,
}

impl TokenStream {
    /// Creates a stream that starts at token 0.
    #[must_use]
    pub fn new(now: Millis, stall_ms: Millis) -> Self {
        Self {
            assembler: StreamAssembler::new(now, stall_ms),
            has_attempt: false,
            text: String::new(),
        }
    }

    /// Creates a stream whose first token has the given offset.
    #[must_use]
    pub fn starting_at(now: Millis, stall_ms: Millis, offset: u32) -> Self {
        let assembler = StreamAssembler::starting_at(now, stall_ms, offset);
        Self {
            assembler,
            has_attempt: false,
            text: String::new(),
        }
    }

    /// Returns the text of all tokens that have been delivered.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the offset of the next token to deliver.
    #[must_use]
    pub fn next_offset(&self) -> u32 {
        self.assembler.next_offset()
    }

    /// Starts an attempt and returns the receiver of its frames. Frames of earlier attempts are
    /// ignored from now on.
    pub fn begin_attempt<'a>(
        &'a mut self,
        now: &'a dyn Fn() -> Millis,
        sink: &'a mut dyn TokenSink,
    ) -> StreamAttempt<'a> {
        if self.has_attempt {
            self.assembler.resume(now());
        }
        self.has_attempt = true;
        let first_offset = self.assembler.next_offset();
        StreamAttempt {
            stream: self,
            now,
            sink,
            first_offset,
            end: None,
        }
    }
}

/// Receives the frames of one attempt and passes the tokens to the sink.
pub struct StreamAttempt<'a> {
    stream: &'a mut TokenStream,
    now: &'a dyn Fn() -> Millis,
    sink: &'a mut dyn TokenSink,
    first_offset: u32,
    end: Option<StreamEnd>,
}

impl std::fmt::Debug for StreamAttempt<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamAttempt")
            .field("end", &self.end)
            .finish_non_exhaustive()
    }
}

impl StreamAttempt<'_> {
    /// Handles a frame; returns `Break` when the attempt has ended.
    pub fn receive(&mut self, frame: Frame) -> ControlFlow<()> {
        let now = (self.now)();
        let source = self.stream.assembler.source();
        // The target client reports a read timeout as `Frame::End`, like a closed connection. The
        // time since the last token tells whether the stream has stalled or was truncated. This is
        // checked only for `Frame::End`, so that a late token does not end the attempt: an instance
        // that received a forwarded call sends nothing while it resumes a stalled stream at another
        // engine.
        let stall_event = if frame == Frame::End {
            self.stream.assembler.check_stall(now)
        } else {
            None
        };
        let events = match stall_event {
            Some(event) => vec![event],
            None => self.stream.assembler.push(now, source, frame),
        };
        for event in events {
            self.handle_event(event);
        }
        if self.end.is_some() {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }

    /// Returns how the attempt ended.
    #[must_use]
    pub fn finish(self) -> StreamEnd {
        let progressed = self.stream.assembler.next_offset() > self.first_offset;
        self.end.unwrap_or(StreamEnd::Interrupted {
            fault: StreamFault::Truncated,
            progressed,
        })
    }

    fn handle_event(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Token { offset, text } => {
                self.stream.text.push_str(&text);
                if self.sink.deliver_token(offset, &text) == Err(SinkClosed) {
                    self.end = Some(StreamEnd::SinkClosed);
                }
            }
            StreamEvent::Done { tokens } => self.end = Some(StreamEnd::Completed { tokens }),
            StreamEvent::SourceFailed { fault, resume_at } => {
                let progressed = resume_at > self.first_offset;
                self.end = Some(StreamEnd::Interrupted { fault, progressed });
            }
        }
    }
}

/// Sends a call to a target and waits for its single response.
///
/// # Errors
///
/// Returns why there is no usable response.
pub fn call_target(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    slot: &Slot,
    timeout_ms: Millis,
) -> Result<Value, CallError> {
    let started_at = node.now();
    let result = node.targets.call(
        slot.address,
        ids,
        call_context(call, timeout_ms),
        &call.input,
    );
    let outcome = match &result {
        Ok(_) => CallOutcome::Success {
            latency_ms: node.now() - started_at,
        },
        Err(_) => CallOutcome::Failure,
    };
    record_outcome(node, call, slot, outcome, result.as_ref().err());
    if matches!(result, Err(CallError::Failed(_))) {
        record_possible_crash(node, call, ids);
    }
    result
}

/// Requests a stream from a target and passes its tokens to the sink. Cancels the request at the
/// target when the stream starts but ends before its last token.
///
/// The latency recorded for the target is the time until the first token.
///
/// # Errors
///
/// Returns why the stream did not start.
pub fn stream_from_target(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    slot: &Slot,
    stream: &mut TokenStream,
    sink: &mut dyn TokenSink,
) -> Result<StreamEnd, CallError> {
    let started_at = node.now();
    let body = GenerateBody {
        input: call.input.clone(),
        max_tokens: call.max_tokens,
        resume_at: stream.next_offset(),
    };
    let now = || node.now();
    let mut first_token_ms = None;
    let mut attempt = stream.begin_attempt(&now, sink);
    let receive = |frame: Frame| {
        first_token_ms.get_or_insert_with(|| node.now() - started_at);
        if let Frame::Token { offset, .. } = frame
            && offset == body.resume_at + TOKENS_BEFORE_ESTIMATE
        {
            record_estimates(node, call, node.now() - started_at);
        }
        attempt.receive(frame)
    };
    let result = node.targets.generate(
        slot.address,
        ids,
        call_context(call, call.deadline - started_at),
        call.stall_ms,
        &body,
        receive,
    );
    let end = result.map(|()| attempt.finish());
    // A stream that is interrupted by the deadline counts as a success of the target, because the
    // deadline does not show that the target has failed.
    let outcome = match &end {
        Ok(StreamEnd::Completed { .. } | StreamEnd::SinkClosed) => CallOutcome::Success {
            latency_ms: first_token_ms.unwrap_or(Millis::ZERO),
        },
        Ok(StreamEnd::Interrupted { .. }) if node.now() >= call.deadline => CallOutcome::Success {
            latency_ms: first_token_ms.unwrap_or(node.now() - started_at),
        },
        Ok(StreamEnd::Interrupted { .. }) | Err(_) => CallOutcome::Failure,
    };
    record_outcome(node, call, slot, outcome, end.as_ref().err());
    // The connection also ends at the deadline, which does not indicate a crash of the target.
    let may_have_crashed = node.now() < call.deadline
        && matches!(
            end,
            Ok(StreamEnd::Interrupted {
                fault: StreamFault::Truncated,
                ..
            }) | Err(CallError::Failed(_))
        );
    if may_have_crashed {
        record_possible_crash(node, call, ids);
    }
    if !matches!(end, Ok(StreamEnd::Completed { .. }) | Err(_)) {
        node.targets.cancel(slot.address, ids);
    }
    end
}

/// Extrapolates the time of the first tokens of a stream to the largest number of tokens. Records
/// the result as an estimate of the duration of the stage and of the time that its slot is
/// occupied.
///
/// Without an estimate, admission would accept all requests until the first stream has ended.
fn record_estimates(node: &Node, call: &StageCall, elapsed_ms: Millis) {
    let estimated_ms =
        Millis(elapsed_ms.0 * u64::from(call.max_tokens) / u64::from(TOKENS_BEFORE_ESTIMATE));
    node.stage_times
        .record_estimate(node.now(), &call.pipeline, call.stage_index, estimated_ms);
    node.slots
        .with_routing(node.now(), &call.service, |routing| {
            routing.estimate_slot_time(estimated_ms);
        });
}

fn call_context(call: &StageCall, timeout_ms: Millis) -> CallContext<'_> {
    CallContext {
        organisation: &call.organisation,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        timeout_ms,
    }
}

fn record_outcome(
    node: &Node,
    call: &StageCall,
    slot: &Slot,
    outcome: CallOutcome,
    error: Option<&CallError>,
) {
    let outcome_label = match (outcome, error) {
        (CallOutcome::Success { .. }, _) => "done",
        (_, Some(CallError::NotConnected(_))) => "not_connected",
        (_, Some(CallError::EchoMismatch)) => "wrong_echo",
        (_, Some(CallError::Status(_))) => "error_status",
        (_, Some(CallError::TimedOut(_))) => "timed_out",
        (_, Some(CallError::Failed(_)) | None) => "failed",
    };
    let labels = AttemptLabels {
        service: call.service.clone(),
        outcome: outcome_label.to_owned(),
    };
    node.metrics.attempts.get_or_create(&labels).inc();
    let now = node.now();
    let breaker_changed = node.slots.with_routing(now, &call.service, |routing| {
        routing.record_outcome(now, slot.target, outcome)
    });
    if breaker_changed {
        let state = if outcome == CallOutcome::Failure {
            "open"
        } else {
            "closed"
        };
        info!(
            service = call.service.as_str(), address:% = slot.address, state;
            "circuit breaker changed its state"
        );
    }
}

/// Records that a target failed during an attempt of the request, and informs the other instances.
/// A second failed attempt quarantines the request, because it may have crashed the targets.
fn record_possible_crash(node: &Node, call: &StageCall, ids: &AttemptIds) {
    let attempt = AttemptHash(stable_hash(ids.attempt.as_bytes()));
    let fingerprint = Fingerprint(call.fingerprint);
    let entry = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record_failure(node.now(), fingerprint, attempt);
    if let Some(entry) = entry {
        node.broadcast_quarantine(&entry);
    }
}
