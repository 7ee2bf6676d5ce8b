//! The interface for operators.

use std::io;

use arbutus_coord::drain::Subject;
use arbutus_coord::membership::MemberState;
use arbutus_wire::admin;
use arbutus_wire::admin::DrainAnswer;
use arbutus_wire::admin::DrainKind;
use arbutus_wire::admin::DrainOrder;
use arbutus_wire::admin::DrainStatus;
use arbutus_wire::admin::MemberStatus;
use arbutus_wire::admin::SettleOrder;
use arbutus_wire::admin::Status;
use arbutus_wire::admin::TargetState;
use arbutus_wire::admin::TargetStatus;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::claims::operators;
use crate::http::refuse_request;
use crate::node::Node;
use crate::problem::Reason;
use crate::request::read_body;
use crate::response::Responder;
use crate::slots::TargetUse;

const MAX_ORDER_BYTES: usize = 64 * 1024;

/// Answers a request of the operators' interface.
///
/// # Errors
///
/// Returns the error of the connection.
pub fn handle(node: &Node, request: Request, path: &str) -> io::Result<()> {
    match (request.method(), path) {
        (Method::Get, "/admin/status") => {
            let status = json!(status(node));
            Responder::new(request, &node.new_request_id(), false).send_json(200, &status)
        }
        (Method::Post, "/admin/drain") => drain(node, request),
        (Method::Get, "/admin/claims") => match operators::unsettled(node) {
            Ok(claims) => Responder::new(request, &node.new_request_id(), false)
                .send_json(200, &json!(claims)),
            Err(detail) => refuse_request(node, request, Reason::PlatformUnavailable, &detail),
        },
        (Method::Post, "/admin/claims/settle") => settle(node, request),
        _ => refuse_request(node, request, Reason::NotFound, "there is no such path"),
    }
}

fn settle(node: &Node, mut request: Request) -> io::Result<()> {
    let order: SettleOrder = match read_json(&mut request) {
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
    let order: DrainOrder = match read_json(&mut request) {
        Ok(order) => order,
        Err(detail) => return refuse_request(node, request, Reason::BadRequest, &detail),
    };
    if order.name.is_empty() {
        let detail = "name: it has to name what is drained";
        return refuse_request(node, request, Reason::BadRequest, detail);
    }
    let subject = match order.kind {
        DrainKind::FailureDomain => Subject::FailureDomain(order.name),
        DrainKind::Instance => Subject::Instance(order.name),
        DrainKind::Target => Subject::Target(order.name),
    };
    let entry = node.gossip().order_drain(subject, order.drained);
    let answer = DrainAnswer {
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
fn read_json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let bytes = read_body(request, MAX_ORDER_BYTES).map_err(|invalid| invalid.detail)?;
    serde_json::from_slice(&bytes).map_err(|error| format!("the body is not valid: {error}"))
}

fn status(node: &Node) -> Status {
    let own_generation = node.active().generation;
    Status {
        instance: node.settings.name.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        generation: own_generation,
        members: members(node, own_generation),
        drains: drains(node),
        targets: node
            .slots
            .targets()
            .iter()
            .map(|used| target(node, used))
            .collect(),
        requests_in_progress: node.in_flight() as u64,
        limits: Vec::new(),
    }
}

fn members(node: &Node, own_generation: u64) -> Vec<MemberStatus> {
    let status = |member: arbutus_coord::membership::Member| {
        let state = match member.state {
            MemberState::Alive => admin::MemberState::Live,
            MemberState::Leaving => admin::MemberState::Leaving,
            MemberState::Suspect => admin::MemberState::Suspect,
            MemberState::Dead => admin::MemberState::Dead,
        };
        let generation = if member.name == node.settings.name {
            own_generation
        } else {
            0
        };
        MemberStatus {
            name: member.name,
            failure_domain: member.failure_domain,
            state,
            generation,
        }
    };
    node.members().into_iter().map(status).collect()
}

fn drains(node: &Node) -> Vec<DrainStatus> {
    let entries: Vec<_> = node
        .gossip()
        .read(|gossip| gossip.drains().entries().collect());
    let status = |entry: arbutus_coord::drain::DrainEntry| {
        let (kind, name) = match entry.subject {
            Subject::FailureDomain(name) => (DrainKind::FailureDomain, name),
            Subject::Instance(name) => (DrainKind::Instance, name),
            Subject::Target(name) => (DrainKind::Target, name),
        };
        DrainStatus {
            kind,
            name,
            drained: entry.drained,
            revision: entry.revision,
        }
    };
    entries.into_iter().map(status).collect()
}

fn target(node: &Node, used: &TargetUse) -> TargetStatus {
    let state = match used {
        TargetUse { entry, .. } if entry.leaving => TargetState::Leaving,
        TargetUse { closed: true, .. } => TargetState::Drained,
        TargetUse { view, .. } if view.boot_id == 0 => TargetState::Unreachable,
        TargetUse { view, .. } if view.warm => TargetState::Warm,
        _ => TargetState::Cold,
    };
    let owned = node
        .directory()
        .find(&used.entry.name)
        .and_then(|target| node.owners.allowed(node.now(), target));
    TargetStatus {
        name: used.entry.name.clone(),
        service: used.entry.service.clone(),
        failure_domain: used.entry.failure_domain.clone(),
        state,
        slots: u64::from(owned.unwrap_or(used.view.allowed)),
        in_flight: u64::from(used.in_use),
    }
}
