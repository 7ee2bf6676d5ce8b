//! The status of an instance, for operators and for other instances.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use crate::node::Node;
use crate::slots::TargetSlotStatus;
use arbutus_coord::Millis;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::membership::Digests;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_wire::admin;
use arbutus_wire::admin::DrainKind;
use arbutus_wire::admin::DrainStatus;
use arbutus_wire::admin::LimitStatus;
use arbutus_wire::admin::MemberStatus;
use arbutus_wire::admin::Status;
use arbutus_wire::admin::TargetState;
use arbutus_wire::admin::TargetStatus;
use arbutus_wire::peer::InstanceStatus;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;

/// The largest number of members whose status is requested at the same time.
const MAX_CONCURRENT_CALLS: usize = 16;
const CALL_TIMEOUT_MS: Millis = Millis(500);

/// Returns the status of this instance for other instances.
#[must_use]
pub fn instance_status(node: &Node) -> InstanceStatus {
    let members = node.members();
    let alive = members
        .iter()
        .filter(|member| member.state == MemberState::Alive)
        .count();
    let (member, documents, drains) = node.gossip().read(|gossip| {
        (
            gossip.membership().local_member().clone(),
            gossip.documents().versions(),
            gossip.drains().digest(),
        )
    });
    InstanceStatus {
        member,
        digests: Digests {
            documents,
            drains,
            members: 0,
        },
        self_suspect: node.is_self_suspect(),
        alive_members: u32::try_from(alive).unwrap_or(u32::MAX),
        in_flight: u32::try_from(node.in_flight()).unwrap_or(u32::MAX),
        generation: node.active_configuration().generation,
    }
}

/// Returns the status for operators. Requests the configuration generation of each member, which
/// blocks until all have responded or timed out.
#[must_use]
pub fn operator_status(node: &Node) -> Status {
    let members = node.members();
    let generations = request_generations(node, &members);
    Status {
        instance: node.settings.name.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        generation: node.active_configuration().generation,
        members: members
            .iter()
            .map(|member| member_status(member, &generations))
            .collect(),
        drains: drain_statuses(node),
        targets: node
            .slots
            .target_statuses()
            .iter()
            .map(|slot_status| target_status(node, slot_status))
            .collect(),
        requests_in_progress: node.in_flight() as u64,
        limits: limit_statuses(node),
    }
}

/// Requests the active configuration generation of each member. The result has no entry for a
/// member that does not respond.
fn request_generations(node: &Node, members: &[Member]) -> BTreeMap<String, u64> {
    let local = (
        node.settings.name.clone(),
        node.active_configuration().generation,
    );
    let responses = Mutex::new(BTreeMap::from([local]));
    let remaining_members = Mutex::new(
        members
            .iter()
            .filter(|member| member.state != MemberState::Dead)
            .filter(|member| member.name != node.settings.name),
    );
    let request_statuses = || loop {
        let next = remaining_members
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next();
        let Some(member) = next else { return };
        let client = node.gossip().client();
        let reply = client.call(member.peer_address, PeerRequest::Status, CALL_TIMEOUT_MS);
        if let Ok(PeerReply::Status(status)) = reply {
            let mut responses = responses.lock().unwrap_or_else(PoisonError::into_inner);
            responses.insert(member.name.clone(), status.generation);
        }
    };
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_CALLS.min(members.len()) {
            scope.spawn(request_statuses);
        }
    });
    responses
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner)
}

fn member_status(member: &Member, generations: &BTreeMap<String, u64>) -> MemberStatus {
    let state = match member.state {
        MemberState::Alive => admin::MemberState::Alive,
        MemberState::Leaving => admin::MemberState::Leaving,
        MemberState::Suspect => admin::MemberState::Suspect,
        MemberState::Dead => admin::MemberState::Dead,
    };
    MemberStatus {
        name: member.name.clone(),
        failure_domain: member.failure_domain.clone(),
        state,
        generation: generations.get(&member.name).copied().unwrap_or(0),
    }
}

fn drain_statuses(node: &Node) -> Vec<DrainStatus> {
    let entries: Vec<DrainEntry> = node
        .gossip()
        .read(|gossip| gossip.drains().entries().collect());
    let drain_status = |entry: DrainEntry| {
        let (kind, name) = match entry.subject {
            DrainSubject::FailureDomain(name) => (DrainKind::FailureDomain, name),
            DrainSubject::Instance(name) => (DrainKind::Instance, name),
            DrainSubject::Target(name) => (DrainKind::Target, name),
        };
        DrainStatus {
            kind,
            name,
            drained: entry.drained,
            revision: entry.revision,
        }
    };
    entries.into_iter().map(drain_status).collect()
}

fn limit_statuses(node: &Node) -> Vec<LimitStatus> {
    let limit_status = |level: arbutus_policy::limits::LimitStatus| {
        // The status shows this instance's share of the limit.
        let limit = u64::from(level.share?);
        let in_flight = u64::from(level.in_flight);
        Some(LimitStatus {
            path: level.path.to_string(),
            limit,
            in_flight,
        })
    };
    node.limits
        .status(node.now())
        .into_iter()
        .filter_map(limit_status)
        .collect()
}

fn target_status(node: &Node, slot_status: &TargetSlotStatus) -> TargetStatus {
    // A boot identifier of 0 means that the target has not reported its load yet.
    let state = match slot_status {
        TargetSlotStatus { entry, .. } if entry.leaving => TargetState::Leaving,
        TargetSlotStatus { blocked: true, .. } => TargetState::Drained,
        TargetSlotStatus { view, .. } if view.boot_id == 0 => TargetState::Unreachable,
        TargetSlotStatus { view, .. } if view.warm => TargetState::Warm,
        _ => TargetState::Cold,
    };
    // The instance that owns the slots of the target knows how many are allowed at present. Any
    // other instance uses the number from the owner's last reply.
    let owner_slots = node
        .directory()
        .target_by_name(&slot_status.entry.name)
        .and_then(|target| node.grant_owners.allowed_slots(node.now(), target));
    TargetStatus {
        name: slot_status.entry.name.clone(),
        service: slot_status.entry.service.clone(),
        failure_domain: slot_status.entry.failure_domain.clone(),
        state,
        slots: u64::from(owner_slots.unwrap_or(slot_status.view.allowed)),
        in_flight: u64::from(slot_status.in_use),
    }
}
