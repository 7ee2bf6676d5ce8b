//! The interface for operators.

use std::io;

use serde_json::json;
use tiny_http::Request;

use crate::http::refuse_request;
use crate::node::Node;
use crate::problem::Reason;
use crate::response::Responder;

/// Answers a request of the operators' interface.
///
/// # Errors
///
/// Returns the error of the connection.
pub fn handle(node: &Node, request: Request, path: &str) -> io::Result<()> {
    match path {
        "/admin/status" => {
            let status = json!({
                "instance": node.settings.name,
                "failure_domain": node.settings.failure_domain,
                "generation": node.active().generation,
                "phase": node.phase.get().to_string(),
                "in_flight": node.in_flight(),
            });
            Responder::new(request, &node.new_request_id(), false).send_json(200, &status)
        }
        _ => refuse_request(node, request, Reason::NotFound, "there is no such path"),
    }
}
