//! The client for the HTTP interface of targets.
//!
//! [`CallError::NotConnected`] is the only error that proves that no byte reached the target. The
//! failure of a reused connection proves nothing, so non-idempotent calls use an agent without a
//! connection pool.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::ops::ControlFlow;

use displaydoc::Display;
use serde_json::Value;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::RequestBuilder;
use ureq::Timeout;
use ureq::http::Response;
use ureq::typestate::WithBody;

use arbutus_coord::Millis;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::EchoedIds;
use arbutus_policy::stream::Frame;
use arbutus_wire::header;
use arbutus_wire::target::CallBody;
use arbutus_wire::target::CallResponse;
use arbutus_wire::target::CancelBody;
use arbutus_wire::target::DoneEvent;
use arbutus_wire::target::GenerateBody;
use arbutus_wire::target::LoadReport;
use arbutus_wire::target::OrderBody;
use arbutus_wire::target::TokenEvent;

const CONNECT_TIMEOUT_MS: Millis = Millis(500);
/// The timeout of cancellations and of requests for a load report.
const SHORT_REQUEST_TIMEOUT_MS: Millis = Millis(400);
/// The timeout of an order. An instance sends an order only if its lease remains valid for longer
/// than this.
pub const ORDER_TIMEOUT_MS: Millis = Millis(2_000);
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS: usize = 256;
const MAX_IDLE_CONNECTIONS_PER_TARGET: usize = 32;
/// The default of `ureq`, 128 KiB for each direction, would be most of the memory of an open
/// stream.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;
const STATUS_CONFLICT: u16 = 409;

/// Why a call has no usable response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// cannot connect to the target: {0}
    NotConnected(String),
    /// the call to the target failed after connecting: {0}
    Failed(String),
    /// the call to the target timed out: {0}
    TimedOut(String),
    /// the target returned HTTP status {0}
    Status(u16),
    /// the response echoes the identifiers of another attempt
    EchoMismatch,
}

/// The parameters that all attempts of a call share, and the timeout of this attempt.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// The organisation that made the request.
    pub organisation: &'a str,
    /// The priority of the request's class; 0 is the highest.
    pub priority: u8,
    /// The idempotency key of a non-idempotent call; `None` marks a call as idempotent.
    pub idempotency_key: Option<&'a str>,
    /// The time within which the call must complete; sent to the target as its deadline.
    pub timeout_ms: Millis,
}

/// The response of a target to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The target accepted the order.
    Accepted,
    /// The target refused the order because it has seen a newer fencing token.
    Fenced,
}

/// The client for the HTTP interface of targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    pooled: Agent,
    /// Opens a new connection for each request.
    unpooled: Agent,
}

impl TargetClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pooled: agent(MAX_IDLE_CONNECTIONS),
            unpooled: agent(0),
        }
    }

    /// Sends a call with a single response and returns the target's output.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable response.
    pub fn call(
        &self,
        address: SocketAddr,
        ids: &AttemptIds,
        context: CallContext<'_>,
        input: &Value,
    ) -> Result<Value, CallError> {
        // A connection error proves that nothing was sent only if the connection was new.
        let agent = if context.idempotency_key.is_some() {
            &self.unpooled
        } else {
            &self.pooled
        };
        let request = with_headers(
            agent.post(format!("http://{address}/v1/call")),
            ids,
            context,
        );
        let body = CallBody {
            input: input.clone(),
        };
        let mut response = request
            .config()
            .timeout_global(Some(context.timeout_ms.to_duration()))
            .build()
            .send_json(&body)
            .map_err(|error| call_error(&error))?;
        check_response(&response, ids)?;
        response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_json::<CallResponse>()
            .map(|response| response.output)
            .map_err(|error| CallError::Failed(error.to_string()))
    }

    /// Requests a token stream and passes each frame to `receive` until it returns `Break`.
    ///
    /// If `receive` never returns `Break`, the last frame is [`Frame::End`], for a read timeout as
    /// well as for a closed connection.
    ///
    /// # Errors
    ///
    /// Returns why the stream did not start.
    pub fn generate(
        &self,
        address: SocketAddr,
        ids: &AttemptIds,
        context: CallContext<'_>,
        stall_ms: Millis,
        body: &GenerateBody,
        mut receive: impl FnMut(Frame) -> ControlFlow<()>,
    ) -> Result<(), CallError> {
        let url = format!("http://{address}/v1/generate");
        let request = with_headers(self.unpooled.post(url), ids, context);
        let response = request
            .config()
            .timeout_global(Some(context.timeout_ms.to_duration()))
            .timeout_per_read(Some(stall_ms.to_duration()))
            .build()
            .send_json(body)
            .map_err(|error| call_error(&error))?;
        check_response(&response, ids)?;
        let mut reader = BufReader::new(response.into_body().into_reader());
        let mut event = String::new();
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(1..) => {}
                Ok(0) | Err(_) => break,
            }
            let text = line.trim_end();
            if let Some(name) = text.strip_prefix("event: ") {
                name.clone_into(&mut event);
                continue;
            }
            let Some(data) = text.strip_prefix("data: ") else {
                continue;
            };
            let Some(frame) = parse_frame(&event, data) else {
                continue;
            };
            if receive(frame).is_break() {
                return Ok(());
            }
        }
        let _: ControlFlow<()> = receive(Frame::End);
        Ok(())
    }

    /// Tells a target that the response to an attempt is no longer needed. Ignores errors.
    pub fn cancel(&self, address: SocketAddr, ids: &AttemptIds) {
        let body = CancelBody {
            request_id: ids.request.clone(),
            attempt_id: ids.attempt.clone(),
        };
        // A lost cancellation does little harm, because the target also detects that the connection
        // of the attempt is closed.
        drop(
            self.pooled
                .post(format!("http://{address}/v1/cancel"))
                .config()
                .timeout_global(Some(SHORT_REQUEST_TIMEOUT_MS.to_duration()))
                .build()
                .send_json(&body),
        );
    }

    /// Requests the load report of a target.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable report.
    pub fn load_report(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let mut response = self
            .pooled
            .get(format!("http://{address}/v1/load"))
            .config()
            .timeout_global(Some(SHORT_REQUEST_TIMEOUT_MS.to_duration()))
            .build()
            .call()
            .map_err(|error| call_error(&error))?;
        if !response.status().is_success() {
            return Err(CallError::Status(response.status().as_u16()));
        }
        response
            .body_mut()
            .read_json()
            .map_err(|error| CallError::Failed(error.to_string()))
    }

    /// Sends an order to a target.
    ///
    /// # Errors
    ///
    /// Returns why the outcome of the order is not known, or an unexpected HTTP status.
    pub fn send_order(
        &self,
        address: SocketAddr,
        order: &OrderBody,
    ) -> Result<OrderResponse, CallError> {
        let response = self
            .unpooled
            .post(format!("http://{address}/v1/orders"))
            .config()
            .timeout_global(Some(ORDER_TIMEOUT_MS.to_duration()))
            .build()
            .send_json(order)
            .map_err(|error| call_error(&error))?;
        match response.status().as_u16() {
            200..=299 => Ok(OrderResponse::Accepted),
            STATUS_CONFLICT => Ok(OrderResponse::Fenced),
            status => Err(CallError::Status(status)),
        }
    }
}

impl Default for TargetClient {
    fn default() -> Self {
        Self::new()
    }
}

fn agent(max_idle_connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections.min(MAX_IDLE_CONNECTIONS_PER_TARGET))
        .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .build()
        .new_agent()
}

fn with_headers(
    request: RequestBuilder<WithBody>,
    ids: &AttemptIds,
    context: CallContext<'_>,
) -> RequestBuilder<WithBody> {
    let request = request
        .header(header::REQUEST_ID, &ids.request)
        .header(header::STAGE_ID, &ids.stage)
        .header(header::ATTEMPT_ID, &ids.attempt)
        .header(header::ORGANISATION, context.organisation)
        .header(header::PRIORITY, context.priority.to_string())
        .header(header::DEADLINE_MS, context.timeout_ms.0.to_string());
    match context.idempotency_key {
        Some(key) => request.header(header::IDEMPOTENCY_KEY, key),
        None => request,
    }
}

fn check_response(response: &Response<Body>, ids: &AttemptIds) -> Result<(), CallError> {
    if !response.status().is_success() {
        return Err(CallError::Status(response.status().as_u16()));
    }
    let header_value = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let echo = EchoedIds {
        request: header_value(header::REQUEST_ID),
        stage: header_value(header::STAGE_ID),
        attempt: header_value(header::ATTEMPT_ID),
    };
    ids.check_echo(echo)
        .map_err(|_mismatch| CallError::EchoMismatch)
}

fn call_error(error: &Error) -> CallError {
    let text = error.to_string();
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => {
            CallError::NotConnected(text)
        }
        // The HTTP client reached its own timeout, which does not show that the target has failed.
        Error::Timeout(_) => CallError::TimedOut(text),
        Error::Io(error) => match error.kind() {
            // These kinds occur only while connecting, never on an established connection.
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => CallError::NotConnected(text),
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => CallError::TimedOut(text),
            _ => CallError::Failed(text),
        },
        _ => CallError::Failed(text),
    }
}

fn parse_frame(event: &str, data: &str) -> Option<Frame> {
    match event {
        "token" => {
            let token: TokenEvent = serde_json::from_str(data).ok()?;
            Some(Frame::Token {
                offset: token.offset,
                text: token.text,
            })
        }
        "done" => {
            let done: DoneEvent = serde_json::from_str(data).ok()?;
            Some(Frame::Done {
                tokens: done.tokens,
            })
        }
        _ => None,
    }
}
