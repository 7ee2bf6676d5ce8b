//! The exchange of grants between the owners of targets and the instances that use them.
//!
//! The owner of a target is the instance that grants its slots. This module computes which targets
//! this instance uses and owns, and sends and receives the messages about their slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::directory::TargetDirectory;
use crate::directory::TargetEntry;
use crate::grant_owners::OutgoingReply;
use crate::grant_owners::OwnedTarget;
use crate::node::Node;
use crate::slots::DueRequest;
use crate::slots::UsedTarget;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Target;
use arbutus_coord::rendezvous;
use arbutus_policy::balance::target_subset;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::TargetGrantReply;
use arbutus_wire::datagram::TargetGrantRequest;

/// Interval between checks of whether the used and owned targets have to be recomputed.
const SYNC_PERIOD_MS: Millis = Millis(100);
/// Interval between polls of a target's load report by its owner.
const REPORT_PERIOD_MS: Millis = Millis(250);
/// Number of tasks that poll load reports.
pub const REPORT_TASKS: usize = 4;
/// Maximum number of requests or replies in a datagram, so that it does not exceed
/// [`MAX_DATAGRAM_BYTES`](arbutus_wire::datagram::MAX_DATAGRAM_BYTES).
const MAX_MESSAGES_PER_DATAGRAM: usize = 10;

/// Recomputes the used and owned targets when their inputs change.
///
/// # Errors
///
/// Never returns an error.
pub fn run_assignment_updates(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    let mut previous = None;
    loop {
        let inputs = AssignmentInputs::of(node);
        // The targets are recomputed only after a change, because this takes milliseconds in a
        // large failure domain: rendezvous hashing ranks all instances for each target.
        if previous.as_ref() != Some(&inputs) {
            update_assignments(node, &inputs);
            previous = Some(inputs);
        }
        if stop.wait(SYNC_PERIOD_MS) {
            return Ok(());
        }
    }
}

/// The values that determine the used and owned targets.
#[derive(Debug, PartialEq, Eq)]
struct AssignmentInputs {
    directory_revision: u64,
    generation: u64,
    drains_digest: u64,
    live: BTreeSet<String>,
    non_dead: BTreeSet<String>,
    live_instance_count: usize,
}

impl AssignmentInputs {
    fn of(node: &Node) -> Self {
        Self {
            directory_revision: node.directory().revision(),
            generation: node.active_configuration().generation,
            drains_digest: node.gossip().read(|gossip| gossip.drains().digest()),
            live: node.live_domain_instances(),
            non_dead: node.non_dead_domain_instances(),
            live_instance_count: node.live_instance_count(),
        }
    }
}

/// Sends requests to the owners of used targets, and replies to the holders of owned targets'
/// slots, as they become due.
///
/// # Errors
///
/// Never returns an error.
pub fn run_grant_messages(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    while !stop.is_raised() {
        let due = node.slots.wait_for_due_requests();
        send_requests(node, due);
        send_replies(node, node.grant_owners.tick(node.now()));
    }
    Ok(())
}

/// Polls the load reports of the owned targets that are assigned to one of the [`REPORT_TASKS`]
/// polling tasks; `task` is its index.
///
/// A target that does not respond delays only the other targets of the same task.
///
/// # Errors
///
/// Never returns an error: a missing report is counted.
pub fn run_load_report_polls(node: &Arc<Node>, task: usize, stop: &StopSignal) -> ChildResult {
    loop {
        for (target, address) in node.grant_owners.target_addresses() {
            if target.index() as usize % REPORT_TASKS == task {
                poll_report(node, target, address);
            }
        }
        if stop.wait(REPORT_PERIOD_MS) {
            return Ok(());
        }
    }
}

/// Handles requests for slots of targets that this instance owns.
pub fn handle_requests(node: &Node, holder: &str, requests: &[TargetGrantRequest]) {
    // If this instance was paused, another one may have become the owner of the targets.
    if node.is_self_suspect() {
        return;
    }
    let directory = node.directory();
    let mut replies = Vec::new();
    for TargetGrantRequest { target, request } in requests {
        let Some(target) = directory.target_by_name(target) else {
            continue;
        };
        replies.extend(
            node.grant_owners
                .handle_request(node.now(), target, holder, *request),
        );
    }
    send_replies(node, replies);
}

/// Handles replies of owners to requests of this instance.
pub fn handle_replies(node: &Node, replies: &[TargetGrantReply]) {
    let directory = node.directory();
    for TargetGrantReply { target, reply } in replies {
        if let Some(target) = directory.target_by_name(target) {
            node.slots.handle_reply(node.now(), target, reply);
        }
    }
}

fn update_assignments(node: &Node, inputs: &AssignmentInputs) {
    let directory = node.directory();
    node.slots
        .set_targets(used_targets(node, &directory, &inputs.live));
    node.limits.set_live_instances(inputs.live_instance_count);
    let owned = owned_targets(node, &directory, &inputs.live);
    let settings = node.slots.grant_settings();
    send_replies(
        node,
        node.grant_owners
            .set_targets(node.now(), settings, &owned, &inputs.non_dead),
    );
}

/// Returns the targets that this instance uses: for each service, a subset of the targets of the
/// local failure domain.
fn used_targets(
    node: &Node,
    directory: &TargetDirectory,
    live: &BTreeSet<String>,
) -> Vec<UsedTarget> {
    let size = node.active_configuration().deployment.policy.subset_size as usize;
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
                blocked: node.is_target_blocked(entry),
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
            blocked: node.is_target_blocked(entry),
        })
        .collect()
}

/// Returns the targets of the local failure domain, the only ones to which this instance
/// dispatches.
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
            handle_requests(node, &owner, &requests);
            continue;
        }
        for requests in requests.chunks(MAX_MESSAGES_PER_DATAGRAM) {
            node.send_datagram(&owner, DatagramBody::GrantRequest(requests.to_vec()));
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
            handle_replies(node, &replies);
            continue;
        }
        for replies in replies.chunks(MAX_MESSAGES_PER_DATAGRAM) {
            node.send_datagram(&holder, DatagramBody::GrantReply(replies.to_vec()));
        }
    }
}

fn poll_report(node: &Node, target: Target, address: SocketAddr) {
    match node.targets.load_report(address) {
        Ok(report) => {
            let replies = node.grant_owners.handle_report(node.now(), target, &report);
            send_replies(node, replies);
        }
        Err(_error) => node.metrics.count("load_report_missing"),
    }
}
