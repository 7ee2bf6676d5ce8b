//! HTTP endpoints for readiness probes of the load balancer and for metrics.

use std::convert::Infallible;
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
use tokio::task::spawn_local;

use crate::net;
use crate::shared::Phase;
use crate::shared::Shared;
use arbutus_platform::names::READINESS_PATH;

const METRICS_PATH: &str = "/metrics";

/// Serves both endpoints on one listener.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run(shared: Rc<Shared>, listener: Rc<TcpListener>) -> Result<(), String> {
    loop {
        let stream = net::accept(&listener).await;
        let shared = Rc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(&shared, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(error:%; "connection closed with an error");
            }
        });
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
