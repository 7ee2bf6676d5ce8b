//! The HTTP server for clients and operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use log::debug;
use serde_json::json;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

use crate::admin;
use crate::connection_waker::ConnectionWaker;
use crate::dispatch::refusal;
use crate::lifecycle::Phase;
use crate::metrics::OutcomeLabels;
use crate::metrics::RequestLabels;
use crate::metrics::seconds;
use crate::node::Node;
use crate::pipeline;
use crate::pipeline::PipelineResponse;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::request::ClientRequest;
use crate::response::EventStream;
use crate::response::Responder;
use crate::stage::SinkClosed;
use crate::stage::TokenSink;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Unsent;
use arbutus_wire::header;

const LISTEN_BACKLOG: i32 = 1024;
const ACCEPT_POLL_MS: Millis = Millis(100);
const REQUEST_STACK_BYTES: usize = 512 * 1024;
const WRITE_TIMEOUT_MS: Millis = Millis(10_000);
/// The `Retry-After` of a refusal because a limit on requests in progress is reached or the
/// instance has no configuration yet.
const REFUSAL_RETRY_AFTER_MS: Millis = Millis(1_000);
const PIPELINES_PREFIX: &str = "/v1/pipelines/";

/// Opens the listening socket.
///
/// # Errors
///
/// Returns why the address cannot be used.
pub fn bind(node: &Node) -> io::Result<Server> {
    let address = node.settings.http_address;
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // `tiny_http` cannot set these two options. Accepted sockets inherit them from this one.
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT_MS.to_duration()))?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener = TcpListener::from(socket);
    Server::from_listener(listener, None).map_err(io::Error::other)
}

/// Accepts requests until the stop signal is raised and handles each in its own thread.
///
/// # Errors
///
/// Returns why no further request can be accepted or handled.
pub fn serve(
    node: &Arc<Node>,
    server: &Server,
    connection_waker: &ConnectionWaker,
    stop: &StopSignal,
) -> ChildResult {
    while !stop.is_raised() {
        let received = server
            .recv_timeout(ACCEPT_POLL_MS.to_duration())
            .map_err(|error| format!("cannot accept a request: {error}"))?;
        let Some(request) = received else { continue };
        if let Some(&peer) = request.remote_addr() {
            connection_waker.observe(peer);
        }
        let node = Arc::clone(node);
        let spawn_result = thread::Builder::new()
            .name("request".to_owned())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || handle(&node, request));
        if let Err(error) = spawn_result {
            return Err(format!("cannot start a request thread: {error}"));
        }
    }
    Ok(())
}

fn handle(node: &Arc<Node>, request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let written = match path {
        "/healthz" => responder(node, request).send(200, "text/plain", "ok\n"),
        "/readyz" => respond_readiness(node, request),
        "/metrics" => {
            node.update_peer_traffic_metrics();
            let text = node.metrics.render();
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            responder(node, request).send(200, content_type, &text)
        }
        _ if path.starts_with("/admin/") => admin::handle(node, request, path),
        _ => match path.strip_prefix(PIPELINES_PREFIX) {
            Some(pipeline) => handle_pipeline_request(node, request, pipeline),
            None => refuse_request(node, request, Reason::NotFound, "the path does not exist"),
        },
    };
    if let Err(error) = written {
        node.metrics.count("answer_not_delivered");
        debug!(error:% = error; "could not deliver the response");
    }
}

fn respond_readiness(node: &Node, request: Request) -> io::Result<()> {
    let phase = node.phase.get();
    let drained = node.is_self_drained();
    let status = if phase == Phase::Serving && !drained {
        200
    } else {
        503
    };
    let body = json!({ "phase": phase.to_string(), "drained": drained });
    responder(node, request).send_json(status, &body)
}

fn handle_pipeline_request(
    node: &Arc<Node>,
    mut request: Request,
    pipeline: &str,
) -> io::Result<()> {
    if *request.method() != Method::Post {
        return refuse_request(
            node,
            request,
            Reason::MethodNotAllowed,
            "this path supports only POST",
        );
    }
    let Some(in_flight) = node.begin_request() else {
        let detail = "this instance has reached its limit on requests in progress";
        return refuse_request(node, request, Reason::Overloaded, detail);
    };
    // Checked after the request is counted: the shutdown raises the signal before it reads the
    // count, so it either waits for this request or the request is refused here.
    if node.intake_end.is_raised() {
        drop(in_flight);
        let detail = "this instance is shutting down";
        return refuse_request(node, request, Reason::NotReady, detail);
    }
    let active = node.active_configuration();
    if active.generation == 0 {
        let detail = "this instance has not received its configuration yet";
        return refuse_request(node, request, Reason::NotReady, detail);
    }
    let id = node.new_request_id();
    let limit = node.settings.max_body_bytes;
    let read = ClientRequest::read(&mut request, pipeline, &id, &active, node.now(), limit);
    match read {
        Ok(client_request) => execute(node, request, &client_request),
        Err(invalid) => refuse_request(node, request, invalid.reason, &invalid.detail),
    }
}

fn execute(node: &Arc<Node>, request: Request, client_request: &ClientRequest) -> io::Result<()> {
    let responder = Responder::new(request, &client_request.id, closes_connection(node));
    let mut sink = ClientSink::new(node, client_request, responder);
    let result = execute_within_limits(node, client_request, &mut sink);
    record_metrics(node, client_request, result.as_ref());
    sink.finish(result)
}

fn execute_within_limits(
    node: &Arc<Node>,
    request: &ClientRequest,
    sink: &mut ClientSink<'_>,
) -> Result<PipelineResponse, Problem> {
    let ClientRequest {
        organisation,
        pipeline,
        ..
    } = request;
    match node.limits.acquire(
        node.now(),
        organisation,
        &request.pipeline_spec().class,
        pipeline,
    ) {
        Ok(_limit_guard) => pipeline::execute(node, request, sink),
        Err(denied) => {
            node.metrics.count("limit_denied");
            let attempt = unsent_attempt(&request.id);
            let problem = refusal(attempt, Reason::Overloaded, denied.to_string())
                .with_retry_after(REFUSAL_RETRY_AFTER_MS);
            pipeline::resolve_refusal(node, request, problem)
        }
    }
}

/// Creates an attempt that is never sent, for a request that is refused before its first stage. The
/// proof that the request was not executed requires an unsent attempt.
fn unsent_attempt(request_id: &str) -> Attempt<Unsent> {
    Attempt::first(AttemptIds {
        request: request_id.to_owned(),
        stage: String::new(),
        attempt: format!("{request_id}..0"),
    })
}

fn record_metrics(
    node: &Node,
    request: &ClientRequest,
    result: Result<&PipelineResponse, &Problem>,
) {
    let is_late = node.now() > request.deadline;
    let outcome = match result {
        Ok(_) if is_late => "late".to_owned(),
        Ok(_) => "answered".to_owned(),
        Err(problem) => problem.reason().to_string(),
    };
    let labels = request_labels(request);
    let elapsed = node.now() - request.arrived_at;
    node.metrics
        .request_seconds
        .get_or_create(&labels)
        .observe(seconds(elapsed));
    let labels = OutcomeLabels {
        organisation: labels.organisation,
        class: labels.class,
        outcome,
    };
    node.metrics.requests.get_or_create(&labels).inc();
}

fn request_labels(request: &ClientRequest) -> RequestLabels {
    RequestLabels {
        organisation: request.organisation.clone(),
        class: request.pipeline_spec().class.clone(),
    }
}

fn responder(node: &Node, request: Request) -> Responder {
    Responder::new(request, &node.new_request_id(), closes_connection(node))
}

/// Returns whether connections are closed after their response, because the instance is shutting
/// down.
fn closes_connection(node: &Node) -> bool {
    node.phase.get() == Phase::Leaving
}

/// Refuses a request before any attempt to execute it.
pub(crate) fn refuse_request(
    node: &Node,
    request: Request,
    reason: Reason,
    detail: &str,
) -> io::Result<()> {
    let id = node.new_request_id();
    let mut problem = refusal(unsent_attempt(&id), reason, detail);
    if matches!(reason, Reason::Overloaded | Reason::NotReady) {
        problem = problem.with_retry_after(REFUSAL_RETRY_AFTER_MS);
    }
    let has_idempotency_key = request
        .headers()
        .iter()
        .any(|header| header.field.equiv(header::IDEMPOTENCY_KEY));
    if has_idempotency_key {
        problem = problem.with_earlier_calls_unknown();
    }
    node.metrics.count(&format!("refused_{reason}"));
    Responder::new(request, &id, closes_connection(node)).send_problem(&problem)
}

/// Delivers the tokens to the client as they arrive, if the client accepts an event stream.
///
/// The status line is written with the first token. A request that fails earlier therefore gets the
/// HTTP status of its problem instead of 200.
struct ClientSink<'a> {
    node: &'a Node,
    request: &'a ClientRequest,
    responder: Option<Responder>,
    events: Option<EventStream>,
    last_token_at: Option<Millis>,
}

impl<'a> ClientSink<'a> {
    fn new(node: &'a Node, request: &'a ClientRequest, responder: Responder) -> Self {
        Self {
            node,
            request,
            responder: Some(responder),
            events: None,
            last_token_at: None,
        }
    }

    fn observe_token(&mut self) {
        let now = self.node.now();
        let labels = request_labels(self.request);
        let metrics = &self.node.metrics;
        match self.last_token_at {
            None => {
                let elapsed = now - self.request.arrived_at;
                metrics
                    .first_token_seconds
                    .get_or_create(&labels)
                    .observe(seconds(elapsed));
            }
            Some(last) => {
                metrics
                    .token_gap_seconds
                    .get_or_create(&labels)
                    .observe(seconds(now - last));
            }
        }
        self.last_token_at = Some(now);
    }

    fn event_stream(&mut self) -> io::Result<&mut EventStream> {
        if let Some(responder) = self.responder.take() {
            self.events = Some(responder.into_event_stream()?);
        }
        self.events
            .as_mut()
            .ok_or_else(|| io::Error::other("the event stream could not be started"))
    }

    fn finish(mut self, result: Result<PipelineResponse, Problem>) -> io::Result<()> {
        match result {
            Ok(response) if self.request.accepts_event_stream => self.finish_stream(&response),
            Ok(response) => match self.responder.take() {
                Some(responder) => responder
                    .with_replayed(response.replayed)
                    .send_json(200, &response.output),
                None => Ok(()),
            },
            Err(problem) => match self.responder.take() {
                Some(responder) => responder.send_problem(&problem),
                None => self.finish_with_error(&problem),
            },
        }
    }

    fn finish_stream(mut self, response: &PipelineResponse) -> io::Result<()> {
        let streamed = self.last_token_at.is_some();
        let events = self.event_stream()?;
        if !streamed {
            events.write_event("result", &response.output.to_string())?;
        }
        let done = json!({ "tokens": response.output.get("tokens") });
        events.write_event("done", &done.to_string())?;
        self.events.take().map_or(Ok(()), EventStream::finish)
    }

    fn finish_with_error(mut self, problem: &Problem) -> io::Result<()> {
        self.event_stream()?
            .write_event("error", &problem.to_json())?;
        self.events.take().map_or(Ok(()), EventStream::finish)
    }
}

impl TokenSink for ClientSink<'_> {
    fn deliver_token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed> {
        self.observe_token();
        if !self.request.accepts_event_stream {
            return Ok(());
        }
        let data = json!({ "offset": offset, "text": text }).to_string();
        self.event_stream()
            .and_then(|events| events.write_event("token", &data))
            .map_err(|_error| SinkClosed)
    }
}
