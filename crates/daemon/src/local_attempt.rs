//! One call of one attempt at one local target.
//!
//! Everything that is learnt from the call is recorded here: metrics, breaker, retry budget and
//! quarantine.

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
use arbutus_policy::health::CallOutcome;
use arbutus_policy::quarantine::AttemptHash;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::stream::Frame;
use arbutus_policy::stream::StreamAssembler;
use arbutus_policy::stream::StreamEvent;
use arbutus_policy::stream::StreamFault;
use arbutus_wire::target::GenerateBody;

/// The number of tokens after which the time of the whole stream is estimated.
const ESTIMATE_TOKENS: u32 = 8;

/// The tokens of a stream over all its attempts.
#[derive(Debug)]
pub struct TokenStream {
    assembler: StreamAssembler,
    started: bool,
    text: String,
}

/// How an attempt at a stream ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// Every token has been delivered.
    Done {
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
    /// The stream has to be resumed elsewhere.
    Broken {
        /// What was wrong.
        fault: StreamFault,
        /// Whether the attempt delivered a token.
        progressed: bool,
    },
    /// Nobody receives the tokens any more.
    CallerGone,
}

impl TokenStream {
    /// Creates a stream of which no token has been delivered.
    #[must_use]
    pub fn new(now: Millis, stall_ms: Millis) -> Self {
        Self {
            assembler: StreamAssembler::new(now, stall_ms),
            started: false,
            text: String::new(),
        }
    }

    /// Creates a stream that continues at an offset.
    #[must_use]
    pub fn resuming(now: Millis, stall_ms: Millis, offset: u32) -> Self {
        let assembler = StreamAssembler::resuming(now, stall_ms, offset);
        Self {
            assembler,
            started: false,
            text: String::new(),
        }
    }

    /// Returns the text that was delivered.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the offset of the next token.
    #[must_use]
    pub fn resume_at(&self) -> u32 {
        self.assembler.resume_at()
    }

    /// Starts to accept frames of another engine, and returns a receiver for them.
    pub fn attempt<'a>(
        &'a mut self,
        now: &'a dyn Fn() -> Millis,
        sink: &'a mut dyn TokenSink,
    ) -> StreamAttempt<'a> {
        if self.started {
            self.assembler.resume(now());
        }
        self.started = true;
        let first = self.assembler.resume_at();
        StreamAttempt {
            stream: self,
            now,
            sink,
            first,
            end: None,
        }
    }
}

/// The receiver of the frames of one attempt.
pub struct StreamAttempt<'a> {
    stream: &'a mut TokenStream,
    now: &'a dyn Fn() -> Millis,
    sink: &'a mut dyn TokenSink,
    first: u32,
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
    /// Takes a frame and tells whether more frames are wanted.
    pub fn receive(&mut self, frame: Frame) -> ControlFlow<()> {
        let now = (self.now)();
        let source = self.stream.assembler.source();
        // Silence shows as the end of the connection; the time tells it from a truncated stream. A
        // frame that arrives late continues the stream: the instance that a call was forwarded to
        // is silent as long as it takes to resume a stalled stream.
        let stalled = if frame == Frame::End {
            self.stream.assembler.check_stall(now)
        } else {
            None
        };
        let events = match stalled {
            Some(event) => vec![event],
            None => self.stream.assembler.push(now, source, frame),
        };
        for event in events {
            self.handle(event);
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
        let progressed = self.stream.assembler.resume_at() > self.first;
        self.end.unwrap_or(StreamEnd::Broken {
            fault: StreamFault::Truncated,
            progressed,
        })
    }

    fn handle(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Token { offset, text } => {
                self.stream.text.push_str(&text);
                if self.sink.token(offset, &text) == Err(SinkClosed) {
                    self.end = Some(StreamEnd::CallerGone);
                }
            }
            StreamEvent::Done { tokens } => self.end = Some(StreamEnd::Done { tokens }),
            StreamEvent::Broken { fault, resume_at } => {
                let progressed = resume_at > self.first;
                self.end = Some(StreamEnd::Broken { fault, progressed });
            }
        }
    }
}

/// Runs a call that has one answer.
///
/// # Errors
///
/// Returns why there is no usable answer.
pub fn call_target(
    node: &Node,
    call: &StageCall,
    ids: &AttemptIds,
    slot: &Slot,
    timeout_ms: Millis,
) -> Result<Value, CallError> {
    let begun = node.now();
    let result = node
        .targets
        .call(slot.address, ids, context(call, timeout_ms), &call.input);
    let outcome = match &result {
        Ok(_) => CallOutcome::Success {
            latency_ms: node.now() - begun,
        },
        Err(_) => CallOutcome::Failure,
    };
    record(node, call, slot, outcome, result.as_ref().err());
    if matches!(result, Err(CallError::Failed(_))) {
        suspect_request(node, call, ids);
    }
    result
}

/// Runs an attempt at a stream.
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
    let begun = node.now();
    let body = GenerateBody {
        input: call.input.clone(),
        max_tokens: call.max_tokens,
        resume_at: stream.resume_at(),
    };
    let now = || node.now();
    let mut first_token = None;
    let mut attempt = stream.attempt(&now, sink);
    let receive = |frame: Frame| {
        first_token.get_or_insert_with(|| node.now() - begun);
        if let Frame::Token { offset, .. } = frame
            && offset == body.resume_at + ESTIMATE_TOKENS
        {
            estimate(node, call, node.now() - begun);
        }
        attempt.receive(frame)
    };
    let started = node.targets.generate(
        slot.address,
        ids,
        context(call, call.deadline - begun),
        call.stall_ms,
        &body,
        receive,
    );
    let end = started.map(|()| attempt.finish());
    let outcome = match &end {
        Ok(StreamEnd::Done { .. } | StreamEnd::CallerGone) => CallOutcome::Success {
            latency_ms: first_token.unwrap_or(Millis::ZERO),
        },
        Ok(StreamEnd::Broken { .. }) if node.now() >= call.deadline => CallOutcome::Success {
            latency_ms: first_token.unwrap_or(node.now() - begun),
        },
        Ok(StreamEnd::Broken { .. }) | Err(_) => CallOutcome::Failure,
    };
    record(node, call, slot, outcome, end.as_ref().err());
    // The connection also ends when the time is over, which is no failure of the target.
    let crashed = node.now() < call.deadline
        && matches!(
            end,
            Ok(StreamEnd::Broken {
                fault: StreamFault::Truncated,
                ..
            }) | Err(CallError::Failed(_))
        );
    if crashed {
        suspect_request(node, call, ids);
    }
    if !matches!(end, Ok(StreamEnd::Done { .. }) | Err(_)) {
        node.targets.cancel(slot.address, ids);
    }
    end
}

/// Estimates the time of a whole stream from its first tokens.
///
/// Without an estimate, everything that arrives before the first stream has ended is admitted.
fn estimate(node: &Node, call: &StageCall, elapsed_ms: Millis) {
    let whole_ms = Millis(elapsed_ms.0 * u64::from(call.max_tokens) / u64::from(ESTIMATE_TOKENS));
    node.stage_times
        .estimate(node.now(), &call.pipeline, call.stage_index, whole_ms);
    node.slots.with_service(node.now(), &call.service, |state| {
        state.estimate_slot_time(whole_ms);
    });
}

fn context(call: &StageCall, timeout_ms: Millis) -> CallContext<'_> {
    CallContext {
        organisation: &call.organisation,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        timeout_ms,
    }
}

fn record(
    node: &Node,
    call: &StageCall,
    slot: &Slot,
    outcome: CallOutcome,
    error: Option<&CallError>,
) {
    let name = match (outcome, error) {
        (CallOutcome::Success { .. }, _) => "done",
        (_, Some(CallError::NotConnected(_))) => "not_connected",
        (_, Some(CallError::WrongEcho)) => "wrong_echo",
        (_, Some(CallError::Status(_))) => "error_status",
        (_, Some(CallError::TimedOut(_))) => "timed_out",
        (_, Some(CallError::Failed(_)) | None) => "failed",
    };
    let labels = AttemptLabels {
        service: call.service.clone(),
        outcome: name.to_owned(),
    };
    node.metrics.attempts.get_or_create(&labels).inc();
    let now = node.now();
    let changed = node.slots.with_service(now, &call.service, |state| {
        state.record_outcome(now, slot.target, outcome)
    });
    if changed {
        let state = if outcome == CallOutcome::Failure {
            "open"
        } else {
            "closed"
        };
        info!(service = call.service.as_str(), address:% = slot.address, state; "circuit breaker");
    }
}

/// Counts a target failure against the request; the second one quarantines it.
fn suspect_request(node: &Node, call: &StageCall, ids: &AttemptIds) {
    let attempt = AttemptHash(stable_hash(ids.attempt.as_bytes()));
    let fingerprint = Fingerprint(call.fingerprint);
    let entry = node
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record_failure(node.now(), fingerprint, attempt);
    if let Some(entry) = entry {
        node.share_quarantine(&entry);
    }
}
