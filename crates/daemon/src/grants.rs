//! The exchange of grants: which targets are used and owned, and the messages about their slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::directory::TargetDirectory;
use crate::directory::TargetEntry;
use crate::node::Node;
use crate::owner::OutgoingReply;
use crate::owner::OwnedTarget;
use crate::slots::DueRequest;
use crate::slots::UsedTarget;
use crate::stop::Stop;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Target;
use arbutus_coord::rendezvous;
use arbutus_policy::balance::target_subset;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::TargetGrantReply;
use arbutus_wire::datagram::TargetGrantRequest;

/// How often the used and owned targets are computed anew.
const SYNC_PERIOD_MS: Millis = Millis(100);
/// How often an owner polls the load report of a target.
const REPORT_PERIOD_MS: Millis = Millis(250);
/// The number of tasks that poll load reports.
pub const REPORT_TASKS: usize = 4;
/// The number of requests or replies in a datagram, which keeps it under its size limit.
const MAX_MESSAGES: usize = 10;

/// Keeps the used and owned targets up to date.
///
/// # Errors
///
/// Never returns an error.
pub fn run_sync(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    let mut seen = None;
    loop {
        let basis = Basis::of(node);
        // Ranking all instances for all targets of a large failure domain takes milliseconds.
        if seen.as_ref() != Some(&basis) {
            sync(node, &basis);
            seen = Some(basis);
        }
        if stop.wait(SYNC_PERIOD_MS) {
            return Ok(());
        }
    }
}

/// Everything that the used and owned targets depend on.
#[derive(Debug, PartialEq, Eq)]
struct Basis {
    revision: u64,
    generation: u64,
    drains: u64,
    live: BTreeSet<String>,
    known: BTreeSet<String>,
    live_everywhere: usize,
}

impl Basis {
    fn of(node: &Node) -> Self {
        Self {
            revision: node.directory().revision(),
            generation: node.active().generation,
            drains: node.gossip().read(|gossip| gossip.drains().digest()),
            live: node.live_instances(),
            known: node.known_instances(),
            live_everywhere: node.count_live_instances(),
        }
    }
}

/// Sends due requests to the owners.
///
/// # Errors
///
/// Never returns an error.
pub fn run_requests(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    while !stop.is_raised() {
        let due = node.slots.poll();
        send_requests(node, due);
        send_replies(node, node.owners.tick(node.now()));
    }
    Ok(())
}

/// Polls the load reports of the owned targets that fall to one of [`REPORT_TASKS`].
///
/// A target that does not answer delays only those that share its task.
///
/// # Errors
///
/// Never returns an error: a missing report is counted.
pub fn run_reports(node: &Arc<Node>, task: usize, stop: &Stop) -> ChildResult {
    loop {
        for (target, address) in node.owners.addresses() {
            if target.index() as usize % REPORT_TASKS == task {
                poll_report(node, target, address);
            }
        }
        if stop.wait(REPORT_PERIOD_MS) {
            return Ok(());
        }
    }
}

/// Takes requests of another instance.
pub fn on_requests(node: &Node, holder: &str, requests: &[TargetGrantRequest]) {
    // An instance that was paused may not know that another one owns its targets now.
    if node.is_self_suspect() {
        return;
    }
    let directory = node.directory();
    let mut replies = Vec::new();
    for TargetGrantRequest { target, request } in requests {
        let Some(target) = directory.target_by_name(target) else {
            continue;
        };
        replies.extend(node.owners.on_request(node.now(), target, holder, *request));
    }
    send_replies(node, replies);
}

/// Takes replies of an owner.
pub fn on_replies(node: &Node, replies: &[TargetGrantReply]) {
    let directory = node.directory();
    for TargetGrantReply { target, reply } in replies {
        if let Some(target) = directory.target_by_name(target) {
            node.slots.on_reply(node.now(), target, reply);
        }
    }
}

fn sync(node: &Node, basis: &Basis) {
    let directory = node.directory();
    node.slots.sync(used_targets(node, &directory, &basis.live));
    node.limits.set_live_instances(basis.live_everywhere);
    let owned = owned_targets(node, &directory, &basis.live);
    let settings = node.slots.settings();
    send_replies(
        node,
        node.owners.sync(node.now(), settings, &owned, &basis.known),
    );
}

fn used_targets(
    node: &Node,
    directory: &TargetDirectory,
    live: &BTreeSet<String>,
) -> Vec<UsedTarget> {
    let size = node.active().deployment.policy.subset_size as usize;
    let mut services: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (_, entry) in local_targets(node, directory) {
        services
            .entry(&entry.service)
            .or_default()
            .push(&entry.name);
    }
    let mut used = Vec::new();
    for names in services.into_values() {
        for name in target_subset(&node.settings.name, names.into_iter(), size) {
            let Some(target) = directory.target_by_name(name) else {
                continue;
            };
            let Some(entry) = directory.entry(target) else {
                continue;
            };
            let Some(owner) = owner_of(name, live) else {
                continue;
            };
            used.push(UsedTarget {
                target,
                entry: entry.clone(),
                owner: owner.to_owned(),
                closed: node.is_closed(entry),
            });
        }
    }
    used
}

fn owned_targets(
    node: &Node,
    directory: &TargetDirectory,
    live: &BTreeSet<String>,
) -> Vec<OwnedTarget> {
    local_targets(node, directory)
        .filter(|(_, entry)| owner_of(&entry.name, live) == Some(node.settings.name.as_str()))
        .map(|(target, entry)| OwnedTarget {
            target,
            entry: entry.clone(),
            closed: node.is_closed(entry),
        })
        .collect()
}

/// Only instances of a target's own failure domain dispatch to it.
fn local_targets<'a>(
    node: &'a Node,
    directory: &'a TargetDirectory,
) -> impl Iterator<Item = (Target, &'a TargetEntry)> {
    directory
        .iter()
        .filter(|(_, entry)| entry.failure_domain == node.settings.failure_domain)
}

fn owner_of<'a>(target: &str, live: &'a BTreeSet<String>) -> Option<&'a str> {
    rendezvous::owner(target.as_bytes(), live.iter().map(String::as_str))
}

fn send_requests(node: &Node, due: Vec<DueRequest>) {
    let mut by_owner: BTreeMap<String, Vec<TargetGrantRequest>> = BTreeMap::new();
    for DueRequest {
        owner,
        target,
        request,
    } in due
    {
        by_owner
            .entry(owner)
            .or_default()
            .push(TargetGrantRequest { target, request });
    }
    for (owner, requests) in by_owner {
        if owner == node.settings.name {
            on_requests(node, &owner, &requests);
            continue;
        }
        for requests in requests.chunks(MAX_MESSAGES) {
            node.send(&owner, DatagramBody::GrantRequest(requests.to_vec()));
        }
    }
}

fn send_replies(node: &Node, replies: Vec<OutgoingReply>) {
    let mut by_holder: BTreeMap<String, Vec<TargetGrantReply>> = BTreeMap::new();
    for OutgoingReply {
        holder,
        target,
        reply,
    } in replies
    {
        by_holder
            .entry(holder)
            .or_default()
            .push(TargetGrantReply { target, reply });
    }
    for (holder, replies) in by_holder {
        if holder == node.settings.name {
            on_replies(node, &replies);
            continue;
        }
        for replies in replies.chunks(MAX_MESSAGES) {
            node.send(&holder, DatagramBody::GrantReply(replies.to_vec()));
        }
    }
}

fn poll_report(node: &Node, target: Target, address: SocketAddr) {
    match node.targets.load_report(address) {
        Ok(report) => {
            let replies = node.owners.on_report(node.now(), target, &report);
            send_replies(node, replies);
        }
        Err(_error) => node.metrics.count("load_report_missing"),
    }
}
