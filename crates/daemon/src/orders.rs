//! Orders to targets: the models that they have to load.
//!
//! For each service of the instance's failure domain one instance gives the orders. It holds a
//! lease at the platform and sends its fencing token with each order. Targets that do not check
//! the token are protected by time: no order is sent that could still be on its way when the
//! lease expires, and a successor waits longer than the lease. Orders state the wanted state, so
//! repeating one changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::info;
use serde_json::json;

use crate::directory::TargetEntry;
use crate::node::Node;
use crate::platform::Condition;
use crate::stop::Stop;
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
/// How often the targets of a service are compared with their wanted state.
const RECONCILE_PERIOD_MS: Millis = Millis(2_000);

/// The order giver of one service.
#[derive(Debug)]
struct OrderGiver {
    lease: LeaseClient,
    had_token: bool,
    next_reconcile: Millis,
}

/// Gives orders until the stop flag is raised.
///
/// # Errors
///
/// Never returns an error: a platform or target that cannot be reached is tried again.
pub fn run(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    let mut givers: BTreeMap<String, OrderGiver> = BTreeMap::new();
    while !stop.wait(LEASE_POLL_MS) {
        let wanted = services_to_order(node);
        let former: Vec<String> = givers
            .keys()
            .filter(|service| !wanted.contains_key(*service))
            .cloned()
            .collect();
        for service in former {
            if let Some(giver) = givers.remove(&service) {
                release(node, &service, giver);
            }
        }
        for (service, order) in &wanted {
            let giver = givers
                .entry(service.clone())
                .or_insert_with(|| OrderGiver::new(node));
            giver.step(node, service, order);
        }
    }
    for (service, giver) in givers {
        release(node, &service, giver);
    }
    Ok(())
}

/// Returns the services for which this instance is to give orders, with the wanted state.
fn services_to_order(node: &Node) -> BTreeMap<String, Order> {
    let active = node.active();
    let live = node.live_instances();
    let is_giver = |service: &str| {
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
            is_giver(service).then(|| (service.clone(), order))
        })
        .collect()
}

impl OrderGiver {
    fn new(node: &Node) -> Self {
        let holder = Holder {
            instance: node.settings.name.clone(),
            boot_id: node.boot_id,
        };
        Self {
            lease: LeaseClient::new(holder, LEASE_DURATION_MS),
            had_token: false,
            next_reconcile: Millis::ZERO,
        }
    }

    fn step(&mut self, node: &Node, service: &str, order: &Order) {
        let mut output = self.lease.handle(node.now(), Input::Tick);
        while let Some(request) = output {
            let input = perform(node, service, &request);
            output = self.lease.handle(node.now(), input);
        }
        self.log_change(node, service);
        let now = node.now();
        if now < self.next_reconcile || self.token(now).is_none() {
            return;
        }
        self.next_reconcile = now + RECONCILE_PERIOD_MS;
        let directory = node.directory();
        for (_, entry) in directory.service_targets(service, &node.settings.failure_domain) {
            self.reconcile(node, entry, order);
        }
    }

    /// Returns the fencing token if an order that is sent now cannot outlast the lease.
    fn token(&self, now: Millis) -> Option<u64> {
        self.lease
            .token(now + ORDER_TIMEOUT_MS)
            .map(|token| token.0)
    }

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
        let Some(fencing_token) = self.token(node.now()) else {
            return;
        };
        let body = OrderBody {
            fencing_token,
            order: order.clone(),
        };
        match node.targets.send_order(entry.address, &body) {
            Ok(OrderResponse::Accepted) => {
                node.metrics.count("order_accepted");
                info!(target_name = entry.name.as_str(), model = model.as_str(), version, fencing_token; "model ordered");
            }
            Ok(OrderResponse::Fenced) => node.metrics.count("order_fenced"),
            Err(_error) => node.metrics.count("order_failed"),
        }
    }

    fn log_change(&mut self, node: &Node, service: &str) {
        let has_token = self.lease.token(node.now()).is_some();
        if has_token != self.had_token {
            self.had_token = has_token;
            info!(service, held = has_token; "lease for orders");
        }
    }
}

fn release(node: &Node, service: &str, mut giver: OrderGiver) {
    if let Some(write) = giver.lease.release() {
        // A successor waits for the expiry when this write is lost.
        let _version = put(node, service, &write);
    }
}

fn perform(node: &Node, service: &str, request: &Output) -> Input {
    match request {
        Output::Read => Input::Read(read(node, service)),
        Output::Write(write) => match put(node, service, write) {
            Some(version) => Input::Written { version },
            None => Input::NotConfirmed,
        },
    }
}

fn read(node: &Node, service: &str) -> Option<LeaseRead> {
    let found = node.platform.get(&object_key(node, service)).ok()?;
    let Some(object) = found else {
        return Some(LeaseRead::Absent);
    };
    let record = serde_json::from_value(object.value).ok()?;
    Some(LeaseRead::Found {
        version: object.version,
        record,
    })
}

fn put(node: &Node, service: &str, write: &LeaseWrite) -> Option<u64> {
    let condition = write.expected.map_or(Condition::Absent, Condition::Version);
    node.platform
        .put(&object_key(node, service), condition, &json!(write.record))
        .ok()
}

fn object_key(node: &Node, service: &str) -> String {
    format!("leases/{}/{service}", node.settings.failure_domain)
}
