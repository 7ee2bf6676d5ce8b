//! Token streams of a stand-in model engine.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::calls::CallContext;
use crate::calls::apply_pre_execution_faults;
use crate::calls::respond_rejection;
use crate::generated_text;
use crate::generated_text::GeneratedText;
use crate::http::EventWriter;
use crate::http::Exchange;
use crate::target::TargetState;
use crate::target_faults::TargetFaults;
use arbutus_wire::target::DoneEvent;
use arbutus_wire::target::GenerateBody;
use arbutus_wire::target::TokenEvent;

/// Limit on the tokens of a stream, whatever the request asks for.
const MAX_TOKENS: u32 = 65_536;
/// Time after which a stalled stream ends, without the event `done`.
const MAX_STALL: Duration = Duration::from_secs(30);
/// How often a stalled stream checks whether its client is still connected.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Factor on the time to the first token of a stream whose prompt prefix is cached.
const CACHED_PREFIX_DELAY_FACTOR: f64 = 0.3;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The event `done` was sent.
    Complete,
    /// The body has its last chunk, but no event `done`, because of a fault or a cancellation.
    Truncated,
    /// The body lacks its last chunk, because the target has crashed.
    Crashed,
}

/// Responds to a request for a token stream.
pub(crate) fn generate(
    state: &Arc<TargetState>,
    body: &GenerateBody,
    exchange: Exchange,
) -> io::Result<()> {
    let mut context = CallContext::new(state, &exchange);
    let permit = match context.acquire_permit() {
        Ok(permit) => permit,
        Err(rejection) => return respond_rejection(rejection, &context, exchange),
    };
    let faults = state.faults();
    let may_execute = apply_pre_execution_faults(state, &faults, &body.input);
    if state.crashed.load(Ordering::SeqCst) {
        exchange.drop_connection();
        return Ok(());
    }
    if !may_execute {
        state.update_stats(|stats| stats.failed += 1);
        let ids = context.echoed_ids(&faults);
        return exchange.respond(
            500,
            &ids,
            &json!({ "detail": "the call failed because of an injected fault" }),
        );
    }
    let mut events = exchange.into_event_stream(&context.echoed_ids(&faults))?;
    let stream_end = send_tokens(state, &context, &faults, body, &mut events);
    drop(permit);
    let is_complete = matches!(stream_end, Ok(StreamEnd::Complete));
    let sent = match stream_end {
        // After a crash, the last chunk of the body is missing.
        Ok(StreamEnd::Crashed) => Ok(()),
        Ok(StreamEnd::Complete | StreamEnd::Truncated) => events.finish(),
        Err(error) => Err(error),
    };
    context.record_end(&sent, is_complete);
    sent
}

fn send_tokens(
    state: &Arc<TargetState>,
    context: &CallContext,
    faults: &TargetFaults,
    body: &GenerateBody,
    events: &mut EventWriter,
) -> io::Result<StreamEnd> {
    let text = GeneratedText::new(&body.input, body.max_tokens.min(MAX_TOKENS));
    if body.resume_at > 0 {
        state.update_stats(|stats| stats.resumed += 1);
    }
    let mut next_token_at = Instant::now() + first_token_delay(state, body);
    for offset in body.resume_at..text.len() {
        let sent_tokens = offset - body.resume_at;
        if faults.truncate_after_tokens == Some(sent_tokens) {
            return Ok(StreamEnd::Truncated);
        }
        if faults.stall_after_tokens == Some(sent_tokens) {
            stall(context, events);
            return Ok(StreamEnd::Truncated);
        }
        if !context.sleep(next_token_at.saturating_duration_since(Instant::now())) {
            return Ok(StreamEnd::Truncated);
        }
        if state.crashed.load(Ordering::SeqCst) {
            return Ok(StreamEnd::Crashed);
        }
        let token = TokenEvent {
            offset,
            text: text.token(offset),
        };
        events.send("token", &token)?;
        state.update_stats(|stats| stats.tokens += 1);
        next_token_at += state.actual_duration(state.spec.token_ms);
    }
    events.send("done", &DoneEvent { tokens: text.len() })?;
    Ok(StreamEnd::Complete)
}

/// Sends nothing until the call is cancelled, the client disconnects or [`MAX_STALL`] has passed.
fn stall(context: &CallContext, events: &EventWriter) {
    let until = Instant::now() + MAX_STALL;
    while Instant::now() < until && !events.is_client_gone() {
        if !context.sleep(STALL_CHECK_INTERVAL) {
            return;
        }
    }
}

fn first_token_delay(state: &TargetState, body: &GenerateBody) -> Duration {
    let delay = state.actual_duration(state.spec.service_ms);
    let is_cached = state.cache_prefix(generated_text::prompt_prefix_hash(&body.input));
    state.update_stats(|stats| {
        stats.prefix_hits += u64::from(is_cached);
        stats.prefix_misses += u64::from(!is_cached);
    });
    if is_cached {
        delay.mul_f64(CACHED_PREFIX_DELAY_FACTOR)
    } else {
        delay
    }
}
