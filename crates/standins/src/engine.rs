//! Token streams of a model engine.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::calls::CallContext;
use crate::calls::refuse;
use crate::calls::survives;
use crate::generated_text;
use crate::generated_text::GeneratedText;
use crate::http::EventWriter;
use crate::http::Exchange;
use crate::target::TargetState;
use crate::target_faults::TargetFaults;
use arbutus_wire::target::DoneEvent;
use arbutus_wire::target::GenerateBody;
use arbutus_wire::target::TokenEvent;

/// The largest number of tokens of one stream.
const MAX_TOKENS: u32 = 65_536;
/// A stalled stream is given up after this time.
const MAX_STALL: Duration = Duration::from_secs(30);
/// How often a stalled stream checks whether its client is still there.
const STALL_SLICE: Duration = Duration::from_millis(50);
/// The share of the time to the first token that remains when the prompt's prefix is cached.
const CACHED_PREFIX_SHARE: f64 = 0.3;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Whole,
    Cut,
    Crashed,
}

/// Answers a request for a token stream.
pub(crate) fn generate(
    state: &Arc<TargetState>,
    body: &GenerateBody,
    exchange: Exchange,
) -> io::Result<()> {
    let mut context = CallContext::new(state, &exchange);
    let permit = match context.acquire_permit() {
        Ok(permit) => permit,
        Err(refusal) => return refuse(refusal, &context, exchange),
    };
    let faults = state.faults();
    let survives = survives(state, &faults, &body.input);
    if state.crashed.load(Ordering::SeqCst) {
        exchange.drop_connection();
        return Ok(());
    }
    if !survives {
        state.count(|stats| stats.failed += 1);
        let echo = context.echo(&faults);
        return exchange.respond(500, &echo, &json!({ "detail": "failed by a fault" }));
    }
    let mut events = exchange.into_event_stream(&context.echo(&faults))?;
    let streamed = stream(state, &context, &faults, body, &mut events);
    drop(permit);
    let whole = matches!(streamed, Ok(Ending::Whole));
    let sent = match streamed {
        // A crash leaves the body without its end.
        Ok(Ending::Crashed) => Ok(()),
        Ok(Ending::Whole | Ending::Cut) => events.finish(),
        Err(error) => Err(error),
    };
    context.end(&sent, whole);
    sent
}

fn stream(
    state: &Arc<TargetState>,
    context: &CallContext,
    faults: &TargetFaults,
    body: &GenerateBody,
    events: &mut EventWriter,
) -> io::Result<Ending> {
    let text = GeneratedText::new(&body.input, body.max_tokens.min(MAX_TOKENS));
    if body.resume_at > 0 {
        state.count(|stats| stats.resumed += 1);
    }
    let mut due = Instant::now() + first_token_delay(state, body);
    for offset in body.resume_at..text.len() {
        let sent = offset - body.resume_at;
        if faults.truncate_after_tokens == Some(sent) {
            return Ok(Ending::Cut);
        }
        if faults.stall_after_tokens == Some(sent) {
            stall(context, events);
            return Ok(Ending::Cut);
        }
        if !context.sleep(due.saturating_duration_since(Instant::now())) {
            return Ok(Ending::Cut);
        }
        if state.crashed.load(Ordering::SeqCst) {
            return Ok(Ending::Crashed);
        }
        let token = TokenEvent {
            offset,
            text: text.token(offset),
        };
        events.send("token", &token)?;
        state.count(|stats| stats.tokens += 1);
        due += state.duration(state.spec.token_ms);
    }
    events.send("done", &DoneEvent { tokens: text.len() })?;
    Ok(Ending::Whole)
}

/// Stays silent until the call is cancelled or the client gives up.
fn stall(context: &CallContext, events: &EventWriter) {
    let until = Instant::now() + MAX_STALL;
    while Instant::now() < until && !events.is_client_gone() {
        if !context.sleep(STALL_SLICE) {
            return;
        }
    }
}

fn first_token_delay(state: &TargetState, body: &GenerateBody) -> Duration {
    let delay = state.duration(state.spec.service_ms);
    let is_cached = state.touch_prefix(generated_text::prompt_prefix(&body.input));
    state.count(|stats| {
        stats.prefix_hits += u64::from(is_cached);
        stats.prefix_misses += u64::from(!is_cached);
    });
    if is_cached {
        delay.mul_f64(CACHED_PREFIX_SHARE)
    } else {
        delay
    }
}
