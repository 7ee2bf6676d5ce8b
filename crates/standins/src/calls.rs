//! HTTP interface of a stand-in target: stage calls, orders, load reports, faults and counters.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::call_limiter::CallRejection;
use crate::call_limiter::Permit;
use crate::generated_text;
use crate::http::BodyError;
use crate::http::Exchange;
use crate::http::Handler;
use crate::target::RunningCallId;
use crate::target::TargetKind;
use crate::target::TargetState;
use crate::target::lock;
use crate::target_faults::TargetFaults;
use crate::target_faults::TargetFaultsUpdate;
use arbutus_coord::Millis;
use arbutus_wire::header;
use arbutus_wire::target::CallBody;
use arbutus_wire::target::CallResponse;
use arbutus_wire::target::CancelBody;
use arbutus_wire::target::Order;
use arbutus_wire::target::OrderBody;

pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const DEFAULT_PRIORITY: u8 = 5;
/// Longest time until a sleeping call notices that it was cancelled.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Handles the requests to a target.
#[derive(Debug)]
pub struct TargetHandler {
    state: Arc<TargetState>,
}

impl TargetHandler {
    /// Creates a handler for the target with this state.
    #[must_use]
    pub fn new(state: Arc<TargetState>) -> Self {
        Self { state }
    }
}

impl Handler for TargetHandler {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let state = &self.state;
        if state.crashed.load(Ordering::SeqCst) {
            exchange.drop_connection();
            return Ok(());
        }
        match (exchange.method(), exchange.path()) {
            ("POST", "/v1/call") if state.spec.kind != TargetKind::Engine => {
                match exchange.json(MAX_BODY_BYTES) {
                    Ok(body) => handle_call(state, &body, exchange),
                    Err(error) => respond_body_error(&error, exchange),
                }
            }
            ("POST", "/v1/generate") if state.spec.kind == TargetKind::Engine => {
                match exchange.json(MAX_BODY_BYTES) {
                    Ok(body) => crate::engine::generate(state, &body, exchange),
                    Err(error) => respond_body_error(&error, exchange),
                }
            }
            ("POST", "/v1/cancel") => match exchange.json(MAX_BODY_BYTES) {
                Ok(body) => handle_cancel(state, body, exchange),
                Err(error) => respond_body_error(&error, exchange),
            },
            ("POST", "/v1/orders") => match exchange.json(MAX_BODY_BYTES) {
                Ok(body) => handle_order(state, body, exchange),
                Err(error) => respond_body_error(&error, exchange),
            },
            ("GET", "/v1/load") => match state.load_report() {
                Some(report) => exchange.respond(200, &[], &report),
                None => exchange.respond_error(503, "no load has been recorded yet"),
            },
            ("GET", "/stats") => exchange.respond(200, &[], &state.stats()),
            ("GET", "/executions") => exchange.respond(200, &[], &state.executions.list()),
            ("POST", "/faults") => match exchange.json(MAX_BODY_BYTES) {
                Ok(update) => set_faults(state, update, exchange),
                Err(error) => respond_body_error(&error, exchange),
            },
            _ => exchange.respond_error(404, "unknown path or method for this target"),
        }
    }
}

pub(crate) fn respond_body_error(error: &BodyError, exchange: Exchange) -> io::Result<()> {
    exchange.respond_error(error.status(), &error.to_string())
}

fn set_faults(
    state: &Arc<TargetState>,
    update: TargetFaultsUpdate,
    exchange: Exchange,
) -> io::Result<()> {
    if update.turn_cold {
        state.limiter.turn_cold();
    }
    let faults = state.update_faults(|faults| {
        faults.apply(update);
        faults.clone()
    });
    state.set_leaving(faults.leaving);
    exchange.respond(200, &[], &faults)
}

fn handle_cancel(state: &TargetState, body: CancelBody, exchange: Exchange) -> io::Result<()> {
    let call_id = RunningCallId {
        request_id: body.request_id,
        attempt_id: body.attempt_id,
    };
    let found = lock(&state.running).get(&call_id).map(Arc::clone);
    if let Some(cancelled) = &found {
        cancelled.store(true, Ordering::SeqCst);
    }
    exchange.respond(200, &[], &json!({ "cancelled": found.is_some() }))
}

fn handle_order(state: &TargetState, body: OrderBody, exchange: Exchange) -> io::Result<()> {
    let highest = state.stats().highest_fencing_token;
    if state.spec.checks_fencing && body.fencing_token < highest {
        state.update_stats(|stats| stats.orders_refused += 1);
        let error_body = json!({
            "detail": "the fencing token is lower than that of an earlier order",
            "highest": highest,
        });
        return exchange.respond(409, &[], &error_body);
    }
    if let Order::LoadModel { model, version } = body.order {
        lock(&state.models).insert(format!("{model}@{version}"));
    }
    state.update_stats(|stats| {
        stats.orders += 1;
        stats.highest_fencing_token = highest.max(body.fencing_token);
    });
    exchange.respond(200, &[], &json!({ "accepted": true }))
}

/// A call in progress: identifiers, priority and deadline from its headers.
///
/// It is registered for cancellation until it is dropped.
pub(crate) struct CallContext {
    pub request_id: String,
    pub stage_id: String,
    pub attempt_id: String,
    pub idempotency_key: Option<String>,
    pub priority: u8,
    pub deadline: Millis,
    /// When the call left the queue; its execution time is measured from here.
    pub started_at: Instant,
    pub cancelled: Arc<AtomicBool>,
    state: Arc<TargetState>,
}

impl fmt::Debug for CallContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallContext")
            .field("request_id", &self.request_id)
            .field("attempt_id", &self.attempt_id)
            .finish_non_exhaustive()
    }
}

impl CallContext {
    pub fn new(state: &Arc<TargetState>, exchange: &Exchange) -> Self {
        let text = |name| exchange.header(name).unwrap_or("").to_owned();
        let number = |name| exchange.header(name).and_then(|text| text.parse().ok());
        let context = Self {
            request_id: text(header::REQUEST_ID),
            stage_id: text(header::STAGE_ID),
            attempt_id: text(header::ATTEMPT_ID),
            idempotency_key: exchange.header(header::IDEMPOTENCY_KEY).map(str::to_owned),
            priority: number(header::PRIORITY)
                .and_then(|priority: u64| u8::try_from(priority).ok())
                .unwrap_or(DEFAULT_PRIORITY),
            deadline: state.clock.now()
                + Millis(number(header::DEADLINE_MS).unwrap_or(DEFAULT_DEADLINE_MS)),
            started_at: Instant::now(),
            cancelled: Arc::new(AtomicBool::new(false)),
            state: Arc::clone(state),
        };
        state.update_stats(|stats| stats.calls += 1);
        lock(&state.running).insert(context.running_call_id(), Arc::clone(&context.cancelled));
        context
    }

    fn running_call_id(&self) -> RunningCallId {
        RunningCallId {
            request_id: self.request_id.clone(),
            attempt_id: self.attempt_id.clone(),
        }
    }

    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Sleeps for `duration`; returns `false` early if the call is cancelled.
    pub fn sleep(&self, duration: Duration) -> bool {
        let wake_at = Instant::now() + duration;
        while !self.is_cancelled() {
            let remaining = wake_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            thread::sleep(remaining.min(CANCEL_CHECK_INTERVAL));
        }
        false
    }

    /// Returns response headers with the identifiers of the call, or with wrong ones if the fault
    /// `wrong_echo` is active.
    pub fn echoed_ids(&self, faults: &TargetFaults) -> [(&'static str, String); 3] {
        let echoed = |id: &str| {
            if faults.wrong_echo {
                format!("other-{id}")
            } else {
                id.to_owned()
            }
        };
        [
            (header::REQUEST_ID, echoed(&self.request_id)),
            (header::STAGE_ID, echoed(&self.stage_id)),
            (header::ATTEMPT_ID, echoed(&self.attempt_id)),
        ]
    }

    /// Counts the end of a call in the statistics of the target; its execution must have started.
    ///
    /// `sent` is the result of sending the response; `is_complete` tells whether the response was
    /// complete.
    pub fn record_end(&self, sent: &io::Result<()>, is_complete: bool) {
        // Time in the queue does not count, because a queued call uses no capacity.
        let spent_ms = self.started_at.elapsed().as_millis() as u64;
        let cancelled = self.is_cancelled();
        self.state.update_stats(|stats| {
            stats.spent_ms += spent_ms;
            if sent.is_ok() && is_complete {
                stats.completed += 1;
                return;
            }
            stats.wasted_ms += spent_ms;
            stats.cancelled += u64::from(cancelled);
            stats.client_gone += u64::from(sent.is_err() && !cancelled);
        });
    }

    /// Waits for a permit to execute the call; a rejection is counted in the statistics.
    pub fn acquire_permit(&mut self) -> Result<Permit, CallRejection> {
        let permit = self.state.limiter.acquire(self.priority, self.deadline);
        self.started_at = Instant::now();
        if let Err(rejection) = &permit {
            self.state.update_stats(|stats| match rejection {
                CallRejection::ColdOverload => stats.cold_failures += 1,
                CallRejection::QueueFull => stats.queue_full += 1,
                CallRejection::Expired => stats.expired += 1,
            });
        }
        permit
    }
}

impl Drop for CallContext {
    fn drop(&mut self) {
        lock(&self.state.running).remove(&self.running_call_id());
    }
}

pub(crate) fn respond_rejection(
    rejection: CallRejection,
    context: &CallContext,
    exchange: Exchange,
) -> io::Result<()> {
    let (status, detail) = match rejection {
        CallRejection::ColdOverload => (500, "the target is cold"),
        CallRejection::QueueFull => (503, "the queue is full"),
        CallRejection::Expired => (504, "the deadline passed in the queue"),
    };
    let ids = context.echoed_ids(&context.state.faults());
    exchange.respond(status, &ids, &json!({ "detail": detail }))
}

/// Applies the faults that take effect before the execution of a call.
///
/// Crashes the target if the input contains the text of `crash_on`. Returns `false` if the call has
/// to fail because of `fail_share`.
pub(crate) fn apply_pre_execution_faults(
    state: &TargetState,
    faults: &TargetFaults,
    input: &Value,
) -> bool {
    if let Some(crash_text) = &faults.crash_on
        && input.to_string().contains(crash_text)
    {
        state.crash();
    }
    !state.random_bool(faults.fail_share)
}

fn handle_call(state: &Arc<TargetState>, body: &CallBody, exchange: Exchange) -> io::Result<()> {
    let context = CallContext::new(state, &exchange);
    let key = context.idempotency_key.clone();
    let deduplication_key = key.filter(|_| state.spec.deduplicates);
    let Some(key) = deduplication_key else {
        return execute(state, context, &body.input, exchange);
    };
    if let Some(output) = state.executions.output_or_begin(&key) {
        state.update_stats(|stats| stats.deduplicated += 1);
        let ids = context.echoed_ids(&state.faults());
        return exchange.respond(200, &ids, &CallResponse { output });
    }
    let outcome = execute(state, context, &body.input, exchange);
    state.executions.end_call(&key);
    outcome
}

fn execute(
    state: &Arc<TargetState>,
    mut context: CallContext,
    input: &Value,
    exchange: Exchange,
) -> io::Result<()> {
    let permit = match context.acquire_permit() {
        Ok(permit) => permit,
        Err(rejection) => return respond_rejection(rejection, &context, exchange),
    };
    let faults = state.faults();
    let may_execute = apply_pre_execution_faults(state, &faults, input);
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
    let slept_fully = context.sleep(state.actual_duration(state.spec.service_ms));
    // A cancelled call with an idempotency key is still executed and recorded.
    if !slept_fully && context.idempotency_key.is_none() {
        context.record_end(&Ok(()), false);
        return exchange.respond_error(409, "the call was cancelled");
    }
    let output = count_and_compute_output(state, input);
    if let Some(key) = &context.idempotency_key {
        state
            .executions
            .record_execution(key, generated_text::marker(&output), &output);
    }
    drop(permit);
    if faults.drop_after_execution {
        context.record_end(&Ok(()), false);
        exchange.drop_connection();
        return Ok(());
    }
    let sent = exchange.respond(200, &context.echoed_ids(&faults), &CallResponse { output });
    context.record_end(&sent, true);
    sent
}

/// Counts an execution and returns its output.
fn count_and_compute_output(state: &TargetState, input: &Value) -> Value {
    let spec = &state.spec;
    let execution = state.next_execution_number();
    let origin = generated_text::origin(input).clone();
    match spec.kind {
        TargetKind::Plain => json!({
            "origin": origin,
            "input": input,
            "service": spec.service,
            "target": spec.name,
            "execution": execution,
        }),
        TargetKind::Encoder => json!({
            "origin": origin,
            "vector": [generated_text::prompt_prefix_hash(&origin) % 1_000, 1, 2],
        }),
        TargetKind::Retriever => json!({
            "origin": origin,
            "documents": ["d1", "d2", "d3", "d4"],
        }),
        TargetKind::Reranker | TargetKind::Engine => json!({
            "origin": origin,
            "documents": ["d2", "d1"],
        }),
    }
}
