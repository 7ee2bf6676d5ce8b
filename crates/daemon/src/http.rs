//! The listener for callers and operators.

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
use crate::dispatch::refuse;
use crate::lifecycle::Phase;
use crate::metrics::OutcomeLabels;
use crate::metrics::RequestLabels;
use crate::metrics::seconds;
use crate::node::Node;
use crate::pipeline;
use crate::pipeline::Answer;
use crate::problem::Problem;
use crate::problem::Reason;
use crate::request::ClientRequest;
use crate::response::EventStream;
use crate::response::Responder;
use crate::stage::SinkClosed;
use crate::stage::TokenSink;
use crate::stop::Stop;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Unsent;
use arbutus_wire::header;

const LISTEN_BACKLOG: i32 = 1024;
const ACCEPT_POLL_MS: Millis = Millis(100);
const REQUEST_STACK_BYTES: usize = 512 * 1024;
const SEND_TIMEOUT_MS: Millis = Millis(10_000);
const OVERLOAD_RETRY_MS: Millis = Millis(1_000);
const PIPELINES_PREFIX: &str = "/v1/pipelines/";

/// Opens the listener.
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
    // Accepted sockets inherit both options; the library offers neither.
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(SEND_TIMEOUT_MS.to_duration()))?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener = TcpListener::from(socket);
    Server::from_listener(listener, None).map_err(io::Error::other)
}

/// Accepts requests until the stop flag is raised, each in a thread of its own.
///
/// # Errors
///
/// Returns why the listener cannot accept any more.
pub fn serve(
    node: &Arc<Node>,
    server: &Server,
    relief: &ConnectionWaker,
    stop: &Stop,
) -> ChildResult {
    while !stop.is_raised() {
        let received = server
            .recv_timeout(ACCEPT_POLL_MS.to_duration())
            .map_err(|error| format!("accepting a request: {error}"))?;
        let Some(request) = received else { continue };
        if let Some(&peer) = request.remote_addr() {
            relief.observe(peer);
        }
        let node = Arc::clone(node);
        let spawned = thread::Builder::new()
            .name("request".to_owned())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || handle(&node, request));
        if let Err(error) = spawned {
            return Err(format!("starting a request thread: {error}"));
        }
    }
    Ok(())
}

fn handle(node: &Arc<Node>, request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let sent = match path {
        "/healthz" => respond(node, request).send(200, "text/plain", "ok\n"),
        "/readyz" => ready(node, request),
        "/metrics" => {
            node.update_gauges();
            let text = node.metrics.render();
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            respond(node, request).send(200, content_type, &text)
        }
        _ if path.starts_with("/admin/") => admin::handle(node, request, path),
        _ => match path.strip_prefix(PIPELINES_PREFIX) {
            Some(pipeline) => pipeline_request(node, request, pipeline),
            None => refuse_request(node, request, Reason::NotFound, "there is no such path"),
        },
    };
    if let Err(error) = sent {
        node.metrics.count("answer_not_delivered");
        debug!(error:% = error; "answer not delivered");
    }
}

fn ready(node: &Node, request: Request) -> io::Result<()> {
    let phase = node.phase.get();
    let drained = node.is_self_drained();
    let status = if phase == Phase::Serving && !drained {
        200
    } else {
        503
    };
    let body = json!({ "phase": phase.to_string(), "drained": drained });
    respond(node, request).send_json(status, &body)
}

fn pipeline_request(node: &Arc<Node>, mut request: Request, pipeline: &str) -> io::Result<()> {
    if *request.method() != Method::Post {
        return refuse_request(node, request, Reason::MethodNotAllowed, "use POST");
    }
    let Some(_in_flight) = node.begin_request() else {
        let detail = "this instance handles as many requests as it may";
        return refuse_request(node, request, Reason::Overloaded, detail);
    };
    let active = node.active();
    if active.generation == 0 {
        let detail = "this instance has no configuration yet";
        return refuse_request(node, request, Reason::NotReady, detail);
    }
    let id = node.new_request_id();
    let limit = node.settings.max_body_bytes;
    let read = ClientRequest::read(&mut request, pipeline, &id, &active, node.now(), limit);
    match read {
        Ok(caller_request) => run(node, request, &caller_request),
        Err(invalid) => refuse_request(node, request, invalid.reason, &invalid.detail),
    }
}

fn run(node: &Arc<Node>, request: Request, caller_request: &ClientRequest) -> io::Result<()> {
    let responder = Responder::new(request, &caller_request.id, closes(node));
    let mut sink = CallerSink::new(node, caller_request, responder);
    let result = run_within_limits(node, caller_request, &mut sink);
    count(node, caller_request, result.as_ref());
    sink.finish(result)
}

fn run_within_limits(
    node: &Arc<Node>,
    request: &ClientRequest,
    sink: &mut CallerSink<'_>,
) -> Result<Answer, Problem> {
    let ClientRequest {
        organisation,
        pipeline,
        ..
    } = request;
    match node
        .limits
        .acquire(node.now(), organisation, &request.spec().class, pipeline)
    {
        Ok(_counted) => pipeline::run(node, request, sink),
        Err(denied) => {
            node.metrics.count("limit_denied");
            let attempt = unsent_attempt(&request.id);
            let problem = refuse(attempt, Reason::Overloaded, denied.to_string())
                .with_retry_after(OVERLOAD_RETRY_MS);
            pipeline::confirm_refusal(node, request, problem)
        }
    }
}

fn unsent_attempt(request_id: &str) -> Attempt<Unsent> {
    Attempt::first(AttemptIds {
        request: request_id.to_owned(),
        stage: String::new(),
        attempt: format!("{request_id}..0"),
    })
}

fn count(node: &Node, request: &ClientRequest, result: Result<&Answer, &Problem>) {
    let late = node.now() > request.deadline;
    let outcome = match result {
        Ok(_) if late => "late".to_owned(),
        Ok(_) => "answered".to_owned(),
        Err(problem) => problem.reason().to_string(),
    };
    let labels = request_labels(request);
    let elapsed = node.now() - request.arrived;
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
        class: request.spec().class.clone(),
    }
}

fn respond(node: &Node, request: Request) -> Responder {
    Responder::new(request, &node.new_request_id(), closes(node))
}

/// Connections close after their answer while the instance leaves.
fn closes(node: &Node) -> bool {
    node.phase.get() == Phase::Leaving
}

/// Refuses a request of which nothing was dispatched.
pub(crate) fn refuse_request(
    node: &Node,
    request: Request,
    reason: Reason,
    detail: &str,
) -> io::Result<()> {
    let id = node.new_request_id();
    let mut problem = refuse(unsent_attempt(&id), reason, detail);
    if matches!(reason, Reason::Overloaded | Reason::NotReady) {
        problem = problem.with_retry_after(OVERLOAD_RETRY_MS);
    }
    let keyed = request
        .headers()
        .iter()
        .any(|header| header.field.equiv(header::IDEMPOTENCY_KEY));
    if keyed {
        problem = problem.with_earlier_calls_unknown();
    }
    node.metrics.count(&format!("refused_{reason}"));
    Responder::new(request, &id, closes(node)).send_problem(&problem)
}

/// Delivers tokens to the caller as they arrive, when the caller wants a stream.
///
/// The status line is written with the first token, so a request that fails before it gets a
/// problem with its own status.
struct CallerSink<'a> {
    node: &'a Node,
    request: &'a ClientRequest,
    responder: Option<Responder>,
    events: Option<EventStream>,
    last_token: Option<Millis>,
}

impl<'a> CallerSink<'a> {
    fn new(node: &'a Node, request: &'a ClientRequest, responder: Responder) -> Self {
        Self {
            node,
            request,
            responder: Some(responder),
            events: None,
            last_token: None,
        }
    }

    fn observe_token(&mut self) {
        let now = self.node.now();
        let labels = request_labels(self.request);
        let metrics = &self.node.metrics;
        match self.last_token {
            None => {
                let elapsed = now - self.request.arrived;
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
        self.last_token = Some(now);
    }

    fn events(&mut self) -> io::Result<&mut EventStream> {
        if let Some(responder) = self.responder.take() {
            self.events = Some(responder.into_events()?);
        }
        self.events
            .as_mut()
            .ok_or_else(|| io::Error::other("the stream did not start"))
    }

    fn finish(mut self, result: Result<Answer, Problem>) -> io::Result<()> {
        match result {
            Ok(answer) if self.request.stream => self.finish_stream(&answer),
            Ok(answer) => match self.responder.take() {
                Some(responder) => responder
                    .with_replayed(answer.replayed)
                    .send_json(200, &answer.output),
                None => Ok(()),
            },
            Err(problem) => match self.responder.take() {
                Some(responder) => responder.send_problem(&problem),
                None => self.finish_with_error(&problem),
            },
        }
    }

    fn finish_stream(mut self, answer: &Answer) -> io::Result<()> {
        let streamed = self.last_token.is_some();
        let events = self.events()?;
        if !streamed {
            events.event("result", &answer.output.to_string())?;
        }
        let done = json!({ "tokens": answer.output.get("tokens") });
        events.event("done", &done.to_string())?;
        self.events.take().map_or(Ok(()), EventStream::finish)
    }

    fn finish_with_error(mut self, problem: &Problem) -> io::Result<()> {
        self.events()?.event("error", &problem.to_json())?;
        self.events.take().map_or(Ok(()), EventStream::finish)
    }
}

impl TokenSink for CallerSink<'_> {
    fn token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed> {
        self.observe_token();
        if !self.request.stream {
            return Ok(());
        }
        let data = json!({ "offset": offset, "text": text }).to_string();
        self.events()
            .and_then(|events| events.event("token", &data))
            .map_err(|_error| SinkClosed)
    }
}
