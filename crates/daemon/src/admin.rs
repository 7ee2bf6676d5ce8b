//! The HTTP interface for operators.

use std::io;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::claims::operators;
use crate::http::refuse_request;
use crate::node::Node;
use crate::problem::Reason;
use crate::request::read_body;
use crate::response::Responder;
use crate::status;
use arbutus_coord::drain::DrainSubject;
use arbutus_wire::admin::DrainKind;
use arbutus_wire::admin::DrainRequest;
use arbutus_wire::admin::DrainResponse;
use arbutus_wire::admin::SettleRequest;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Handles a request to a path below `/admin/`.
///
/// # Errors
///
/// Returns the error of writing the response.
pub fn handle(node: &Node, request: Request, path: &str) -> io::Result<()> {
    match (request.method(), path) {
        (Method::Get, "/admin/status") => {
            let status = json!(status::operator_status(node));
            Responder::new(request, &node.new_request_id(), false).send_json(200, &status)
        }
        (Method::Post, "/admin/drain") => set_drained(node, request),
        (Method::Post, "/admin/faults") if node.settings.fault_injection => {
            inject_faults(node, request)
        }
        (Method::Get, "/admin/claims") => match operators::unsettled_claims(node) {
            Ok(claims) => Responder::new(request, &node.new_request_id(), false)
                .send_json(200, &json!(claims)),
            Err(detail) => refuse_request(node, request, Reason::PlatformUnavailable, &detail),
        },
        (Method::Post, "/admin/claims/settle") => settle_claim(node, request),
        _ => refuse_request(node, request, Reason::NotFound, "the path does not exist"),
    }
}

/// The faults to inject, for tests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// The failure domains to block: this instance does not communicate with their instances.
    block_failure_domains: Vec<String>,
}

/// Simulates a network partition between this instance and the given failure domains.
///
/// Each request replaces the faults of the previous one.
fn inject_faults(node: &Node, mut request: Request) -> io::Result<()> {
    let faults: Faults = match read_json(&mut request) {
        Ok(faults) => faults,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    let blocked = node
        .members()
        .into_iter()
        .filter(|member| {
            faults
                .block_failure_domains
                .contains(&member.failure_domain)
        })
        .map(|member| member.peer_address);
    node.gossip().set_blocked_peers(blocked);
    Responder::new(request, &node.new_request_id(), false).send_json(200, &json!({}))
}

fn settle_claim(node: &Node, mut request: Request) -> io::Result<()> {
    let settle_request: SettleRequest = match read_json(&mut request) {
        Ok(body) => body,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    match operators::settle_claim(node, &settle_request) {
        Ok(response) => {
            Responder::new(request, &node.new_request_id(), false).send_json(200, &json!(response))
        }
        Err(detail) => refuse_request(node, request, Reason::PlatformUnavailable, &detail),
    }
}

fn set_drained(node: &Node, mut request: Request) -> io::Result<()> {
    let drain_request: DrainRequest = match read_json(&mut request) {
        Ok(body) => body,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    if drain_request.name.is_empty() {
        let detail = "name must not be empty";
        return refuse_request(node, request, Reason::BadRequest, detail);
    }
    let subject = match drain_request.kind {
        DrainKind::FailureDomain => DrainSubject::FailureDomain(drain_request.name),
        DrainKind::Instance => DrainSubject::Instance(drain_request.name),
        DrainKind::Target => DrainSubject::Target(drain_request.name),
    };
    let entry = node.gossip().set_drained(subject, drain_request.drained);
    let response = DrainResponse {
        revision: entry.revision,
        drained: entry.drained,
    };
    Responder::new(request, &node.new_request_id(), false).send_json(200, &json!(response))
}

/// Reads the JSON body of an operator's request.
///
/// # Errors
///
/// Returns why the body cannot be read or is invalid.
fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let bytes = read_body(request, MAX_BODY_BYTES).map_err(|invalid| invalid.detail)?;
    serde_json::from_slice(&bytes).map_err(|error| format!("invalid request body: {error}"))
}
