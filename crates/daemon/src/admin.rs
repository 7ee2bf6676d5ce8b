//! The interface for operators.

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

const MAX_ORDER_BYTES: usize = 64 * 1024;

/// Answers a request of the operators' interface.
///
/// # Errors
///
/// Returns the error of the connection.
pub fn handle(node: &Node, request: Request, path: &str) -> io::Result<()> {
    match (request.method(), path) {
        (Method::Get, "/admin/status") => {
            let status = json!(status::operator_status(node));
            Responder::new(request, &node.new_request_id(), false).send_json(200, &status)
        }
        (Method::Post, "/admin/drain") => drain(node, request),
        (Method::Post, "/admin/faults") if node.settings.fault_injection => {
            inject_faults(node, request)
        }
        (Method::Get, "/admin/claims") => match operators::unsettled(node) {
            Ok(claims) => Responder::new(request, &node.new_request_id(), false)
                .send_json(200, &json!(claims)),
            Err(detail) => refuse_request(node, request, Reason::PlatformUnavailable, &detail),
        },
        (Method::Post, "/admin/claims/settle") => settle(node, request),
        _ => refuse_request(node, request, Reason::NotFound, "there is no such path"),
    }
}

/// Faults that tests switch on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// The failure domains whose instances are cut off.
    block_failure_domains: Vec<String>,
}

/// Cuts this instance off from the instances of other failure domains.
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
    node.gossip().set_blocked(blocked);
    Responder::new(request, &node.new_request_id(), false).send_json(200, &json!({}))
}

fn settle(node: &Node, mut request: Request) -> io::Result<()> {
    let order: SettleRequest = match read_json(&mut request) {
        Ok(order) => order,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    match operators::settle(node, &order) {
        Ok(answer) => {
            Responder::new(request, &node.new_request_id(), false).send_json(200, &json!(answer))
        }
        Err(detail) => refuse_request(node, request, Reason::PlatformUnavailable, &detail),
    }
}

fn drain(node: &Node, mut request: Request) -> io::Result<()> {
    let order: DrainRequest = match read_json(&mut request) {
        Ok(order) => order,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    if order.name.is_empty() {
        let detail = "name: it has to name what is drained";
        return refuse_request(node, request, Reason::BadRequest, detail);
    }
    let subject = match order.kind {
        DrainKind::FailureDomain => DrainSubject::FailureDomain(order.name),
        DrainKind::Instance => DrainSubject::Instance(order.name),
        DrainKind::Target => DrainSubject::Target(order.name),
    };
    let entry = node.gossip().order_drain(subject, order.drained);
    let answer = DrainResponse {
        revision: entry.revision,
        drained: entry.drained,
    };
    Responder::new(request, &node.new_request_id(), false).send_json(200, &json!(answer))
}

/// Reads the JSON body of an operator's order.
///
/// # Errors
///
/// Returns what is wrong with the body.
fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let bytes = read_body(request, MAX_ORDER_BYTES).map_err(|invalid| invalid.detail)?;
    serde_json::from_slice(&bytes).map_err(|error| format!("the body is not valid: {error}"))
}
