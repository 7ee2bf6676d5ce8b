//! HTTP endpoints for readiness probes of the load balancer and for metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::yield_now;

use crate::client_limits::LimitReason;
use crate::connection::AbortOnDrop;
use crate::net;
use crate::net::sleep;
use crate::shared::Phase;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_platform::names::READINESS_PATH;

const METRICS_PATH: &str = "/metrics";
/// Connections of each port; the load balancer and the collector of metrics need one or two.
const MAX_CONNECTIONS: usize = 16;
/// Minimum buffer size that the HTTP library accepts; its default is 400 KB for each connection.
const MAX_BUFFER_BYTES: usize = 8_192;
/// How long a connection may last after its last complete request. Load balancers probe once a second.
const IDLE_TIMEOUT_MS: Millis = Millis(15_000);

/// An open connection; dropping it closes it.
struct ProbeConnection {
    requested_at: Rc<Cell<Millis>>,
    is_closed: Rc<Cell<bool>>,
    _task: AbortOnDrop,
}

/// Serves both endpoints on one listener.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run(shared: Rc<Shared>, listener: Rc<TcpListener>) -> Result<(), String> {
    let mut connections: Vec<ProbeConnection> = Vec::new();
    loop {
        let stream = net::accept(&listener).await;
        connections.retain(|connection| !connection.is_closed.get());
        if connections.len() >= MAX_CONNECTIONS {
            // The one without a request for the longest time gives way, so that a crowd of silent
            // connections does not keep the load balancer out.
            let times = connections.iter().map(|open| open.requested_at.get());
            let longest = times
                .enumerate()
                .min_by_key(|(_, requested_at)| *requested_at);
            if let Some((index, _)) = longest {
                connections.remove(index);
                shared.record_limit(LimitReason::ProbeConnection);
                // Its socket is closed when its task has run.
                yield_now().await;
            }
        }
        let requested_at = Rc::new(Cell::new(shared.now()));
        let is_closed = Rc::new(Cell::new(false));
        let serving = serve(Rc::clone(&shared), stream, Rc::clone(&requested_at));
        let task_is_closed = Rc::clone(&is_closed);
        let task = spawn_local(async move {
            serving.await;
            task_is_closed.set(true);
        });
        connections.push(ProbeConnection {
            requested_at,
            is_closed,
            _task: AbortOnDrop::new(task),
        });
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream, requested_at: Rc<Cell<Millis>>) {
    let service = service_fn(|request: Request<Incoming>| {
        requested_at.set(shared.now());
        let response = respond(&shared, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        let expires_at = requested_at.get() + IDLE_TIMEOUT_MS;
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(error:%; "connection closed with an error");
                }
                return;
            }
            () = sleep(expires_at - shared.now()) => {
                if requested_at.get() + IDLE_TIMEOUT_MS <= shared.now() {
                    return;
                }
            }
        }
    }
}

fn respond(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        READINESS_PATH if shared.phase() == Phase::Serving => (StatusCode::OK, Bytes::new()),
        READINESS_PATH => (
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from(shared.phase().to_string()),
        ),
        METRICS_PATH => (StatusCode::OK, Bytes::from(shared.metrics.render())),
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
