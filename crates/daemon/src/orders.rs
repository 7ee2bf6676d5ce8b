//! Orders, which tell targets to load the model that the configuration names for their service.
//!
//! In each failure domain, one instance sends the orders to the targets of a service. It holds a
//! lease at the platform and sends the fencing token of the lease with each order. Targets that do
//! not check the token are protected by timing: an order is sent only if its timeout ends before
//! the lease expires, and a successor waits longer than the lease. An order names the desired
//! state, so repeating it has no effect.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::info;
use serde_json::json;

use crate::directory::TargetEntry;
use crate::node::Node;
use crate::platform_client::WriteCondition;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use crate::target_client::ORDER_TIMEOUT_MS;
use crate::target_client::OrderResponse;
use arbutus_coord::Millis;
use arbutus_coord::claim::Holder;
use arbutus_coord::lease::Input;
use arbutus_coord::lease::LeaseClient;
use arbutus_coord::lease::LeaseRead;
use arbutus_coord::lease::LeaseWrite;
use arbutus_coord::lease::Output;
use arbutus_coord::rendezvous;
use arbutus_wire::target::Order;
use arbutus_wire::target::OrderBody;

const LEASE_DURATION_MS: Millis = Millis(10_000);
const LEASE_POLL_MS: Millis = Millis(200);
/// Interval between comparisons of the targets of a service with their desired state.
const RECONCILE_PERIOD_MS: Millis = Millis(2_000);

/// Sends the orders of one service while this instance holds the lease.
#[derive(Debug)]
struct OrderSender {
    lease: LeaseClient,
    held_lease_before: bool,
    next_reconcile: Millis,
}

/// Sends orders until the stop signal is raised.
///
/// # Errors
///
/// Never returns an error: calls to an unreachable platform or target are retried.
pub fn run(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    let mut senders: BTreeMap<String, OrderSender> = BTreeMap::new();
    while !stop.wait(LEASE_POLL_MS) {
        let desired = assigned_services(node);
        let removed: Vec<String> = senders
            .keys()
            .filter(|service| !desired.contains_key(*service))
            .cloned()
            .collect();
        for service in removed {
            if let Some(sender) = senders.remove(&service) {
                release_lease(node, &service, sender);
            }
        }
        for (service, order) in &desired {
            let sender = senders
                .entry(service.clone())
                .or_insert_with(|| OrderSender::new(node));
            sender.renew_and_reconcile(node, service, order);
        }
    }
    for (service, sender) in senders {
        release_lease(node, &service, sender);
    }
    Ok(())
}

/// Returns the services whose orders this instance should send, with the order for their targets.
fn assigned_services(node: &Node) -> BTreeMap<String, Order> {
    let active = node.active_configuration();
    let live = node.live_domain_instances();
    let is_assigned = |service: &str| {
        let owner = rendezvous::owner(service.as_bytes(), live.iter().map(String::as_str));
        owner == Some(node.settings.name.as_str())
    };
    let services = active.deployment.services.iter();
    services
        .filter_map(|(service, spec)| {
            let model = spec.model.as_ref()?;
            let order = Order::LoadModel {
                model: model.name.clone(),
                version: model.version,
            };
            is_assigned(service).then(|| (service.clone(), order))
        })
        .collect()
}

impl OrderSender {
    fn new(node: &Node) -> Self {
        let holder = Holder {
            instance: node.settings.name.clone(),
            boot_id: node.boot_id,
        };
        Self {
            lease: LeaseClient::new(holder, LEASE_DURATION_MS),
            held_lease_before: false,
            next_reconcile: Millis::ZERO,
        }
    }

    /// Acquires or renews the lease, and compares the targets with the order if a comparison is
    /// due.
    fn renew_and_reconcile(&mut self, node: &Node, service: &str, order: &Order) {
        let mut output = self.lease.handle(node.now(), Input::Tick);
        while let Some(request) = output {
            let input = perform_lease_request(node, service, &request);
            output = self.lease.handle(node.now(), input);
        }
        self.log_change(node, service);
        let now = node.now();
        if now < self.next_reconcile || self.fencing_token(now).is_none() {
            return;
        }
        self.next_reconcile = now + RECONCILE_PERIOD_MS;
        let directory = node.directory();
        for (_, entry) in directory.service_targets(service, &node.settings.failure_domain) {
            self.reconcile(node, entry, order);
        }
    }

    /// Returns the fencing token if the timeout of an order that is sent now ends before the lease
    /// expires.
    fn fencing_token(&self, now: Millis) -> Option<u64> {
        self.lease
            .token(now + ORDER_TIMEOUT_MS)
            .map(|token| token.0)
    }

    /// Sends the order to a target that has not loaded the model.
    fn reconcile(&self, node: &Node, entry: &TargetEntry, order: &Order) {
        let Order::LoadModel { model, version } = order else {
            return;
        };
        let Ok(report) = node.targets.load_report(entry.address) else {
            return;
        };
        if report.models.contains(&format!("{model}@{version}")) {
            return;
        }
        let Some(fencing_token) = self.fencing_token(node.now()) else {
            return;
        };
        let body = OrderBody {
            fencing_token,
            order: order.clone(),
        };
        match node.targets.send_order(entry.address, &body) {
            Ok(OrderResponse::Accepted) => {
                node.metrics.count("order_accepted");
                info!(target_name = entry.name.as_str(), model = model.as_str(), version, fencing_token; "target accepted order to load model");
            }
            Ok(OrderResponse::Fenced) => node.metrics.count("order_fenced"),
            Err(_error) => node.metrics.count("order_failed"),
        }
    }

    fn log_change(&mut self, node: &Node, service: &str) {
        let holds_lease = self.lease.token(node.now()).is_some();
        if holds_lease != self.held_lease_before {
            self.held_lease_before = holds_lease;
            info!(service, held = holds_lease; "state of the lease for orders changed");
        }
    }
}

fn release_lease(node: &Node, service: &str, mut sender: OrderSender) {
    if let Some(write) = sender.lease.release() {
        // If this write is lost, a successor waits until the lease expires.
        let _version = write_lease(node, service, &write);
    }
}

fn perform_lease_request(node: &Node, service: &str, request: &Output) -> Input {
    match request {
        Output::Read => Input::Read(read_lease(node, service)),
        Output::Write(write) => match write_lease(node, service, write) {
            Some(version) => Input::Written { version },
            None => Input::NotConfirmed,
        },
    }
}

fn read_lease(node: &Node, service: &str) -> Option<LeaseRead> {
    let found = node.platform.get(&lease_key(node, service)).ok()?;
    let Some(object) = found else {
        return Some(LeaseRead::Absent);
    };
    let record = serde_json::from_value(object.value).ok()?;
    Some(LeaseRead::Found {
        version: object.version,
        record,
    })
}

fn write_lease(node: &Node, service: &str, write: &LeaseWrite) -> Option<u64> {
    let condition = write
        .expected
        .map_or(WriteCondition::Absent, WriteCondition::Version);
    node.platform
        .put(&lease_key(node, service), condition, &json!(write.record))
        .ok()
}

fn lease_key(node: &Node, service: &str) -> String {
    format!("leases/{}/{service}", node.settings.failure_domain)
}
