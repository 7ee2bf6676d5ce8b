//! The targets that this instance uses, their slots, and the queues of waiting requests.
//!
//! All of this state is protected by the lock of [`SlotPool`](super::SlotPool).

use std::collections::BTreeMap;

use crate::service_routing::RoutingTable;
use crate::service_routing::ServiceRouting;
use crate::slot_queue::AssignedSlot;
use crate::slot_queue::SlotQueue;
use crate::slots::SlotRequest;
use crate::slots::UsedTarget;
use arbutus_coord::Millis;
use arbutus_coord::entity::NameTable;
use arbutus_coord::entity::Organisation;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantSettings;
use arbutus_policy::admission::AdmissionRequest;
use arbutus_policy::balance::Candidate;

#[derive(Debug)]
pub(super) struct SlotTable {
    pub(super) grant_settings: GrantSettings,
    pub(super) targets: BTreeMap<Target, TargetSlots>,
    pub(super) routing: RoutingTable,
    pub(super) organisations: NameTable<Organisation>,
    pub(super) admission_enabled: bool,
    pub(super) queues: BTreeMap<String, SlotQueue>,
    /// Whether requests to owners may be due before the poll period ends.
    pub(super) poll_requested: bool,
}

#[derive(Debug)]
pub(super) struct TargetSlots {
    pub(super) used: UsedTarget,
    pub(super) grants: GrantHolder,
    /// Number of waiting requests that count as demand at this target; each counts at one target.
    pub(super) waiting: u32,
    /// Whether the target is no longer used, and only kept until its slots are returned.
    pub(super) retired: bool,
}

impl SlotTable {
    /// Returns whether no call of this instance runs or waits.
    pub(super) fn is_idle(&self) -> bool {
        self.targets
            .values()
            .all(|target_slots| target_slots.waiting == 0 && target_slots.grants.in_use() == 0)
    }

    pub(super) fn select(
        &mut self,
        request: SlotRequest<'_>,
        now: Millis,
        random: u64,
    ) -> Option<Target> {
        let routing = self.routing.state(now, request.service);
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .filter(|(_, target_slots)| target_slots.accepts(request))
            .map(|(&target, target_slots)| target_slots.candidate(now, target, routing))
            .collect();
        let index = routing.select_target(&candidates, request.prefix, random)?;
        Some(candidates[index].target)
    }

    /// Acquires a slot if one is free.
    pub(super) fn try_acquire(
        &mut self,
        request: SlotRequest<'_>,
        now: Millis,
        random: u64,
    ) -> Option<AssignedSlot> {
        let target = self.select(request, now, random)?;
        let target_slots = self.targets.get_mut(&target)?;
        let grant_slot = target_slots.grants.try_acquire(now)?;
        self.routing
            .state(now, request.service)
            .start_call(now, target);
        Some(AssignedSlot { target, grant_slot })
    }

    /// Assigns free slots to the waiting requests of a service, in the order of the admission
    /// queue.
    pub(super) fn assign_free_slots(
        &mut self,
        service: &str,
        now: Millis,
        random: &dyn Fn() -> u64,
    ) {
        self.queue(service, now).remove_expired(now);
        let mut unassignable = Vec::new();
        while self.has_free_slot(service, now) {
            let Some((ticket, waiter)) = self.queue(service, now).dequeue(now) else {
                break;
            };
            let request = SlotRequest {
                service,
                excluded: &waiter.excluded,
                prefix: waiter.prefix,
                ..SlotRequest::for_service(service)
            };
            match self.try_acquire(request, now, random()) {
                Some(assigned) => self.queue(service, now).assign(ticket, assigned),
                // The free slots are at targets that the request excludes.
                None => unassignable.push((ticket, waiter)),
            }
        }
        for (ticket, waiter) in unassignable {
            self.queue(service, now).requeue(ticket, waiter);
        }
    }

    pub(super) fn has_free_slot(&mut self, service: &str, now: Millis) -> bool {
        let routing = self.routing.state(now, service);
        self.targets.iter().any(|(&target, target_slots)| {
            !target_slots.retired
                && !target_slots.used.blocked
                && target_slots.used.entry.service == service
                && target_slots.grants.free(now) > 0
                && routing.breaker_allows_calls(now, target)
        })
    }

    pub(super) fn queue(&mut self, service: &str, now: Millis) -> &mut SlotQueue {
        let admission_enabled = self.admission_enabled;
        let queue = self.queues.entry(service.to_owned());
        queue.or_insert_with(|| SlotQueue::new(now, admission_enabled))
    }

    pub(super) fn admission_request(
        &mut self,
        request: SlotRequest<'_>,
        now: Millis,
    ) -> AdmissionRequest {
        AdmissionRequest {
            organisation: self.organisations.intern(request.organisation),
            weight: request.weight,
            priority: request.priority,
            deadline: request.deadline,
            expected_ms: request.expected_ms,
            slot_ms: self.routing.state(now, request.service).mean_slot_time(),
        }
    }

    /// Returns the target with the fewest waiting and running calls relative to its allowed slots,
    /// among those that the request accepts.
    pub(super) fn least_loaded(&self, request: SlotRequest<'_>) -> Option<Target> {
        let accepting = self
            .targets
            .iter()
            .filter(|(_, target_slots)| target_slots.accepts(request));
        let load_permille = |target_slots: &TargetSlots| {
            let calls = u64::from(target_slots.waiting + target_slots.grants.in_use());
            calls * 1_000 / u64::from(target_slots.grants.view().allowed.max(1))
        };
        accepting
            .min_by_key(|(_, target_slots)| load_permille(target_slots))
            .map(|(&target, _)| target)
    }

    pub(super) fn add_waiting(&mut self, target: Target) {
        if let Some(target_slots) = self.targets.get_mut(&target) {
            target_slots.waiting += 1;
            target_slots.grants.set_waiting(target_slots.waiting);
        }
    }

    pub(super) fn remove_waiting(&mut self, target: Target) {
        if let Some(target_slots) = self.targets.get_mut(&target) {
            target_slots.waiting = target_slots.waiting.saturating_sub(1);
            target_slots.grants.set_waiting(target_slots.waiting);
        }
    }
}

impl TargetSlots {
    pub(super) fn accepts(&self, request: SlotRequest<'_>) -> bool {
        !self.retired
            && !self.used.blocked
            && self.used.entry.service == request.service
            && !request.excluded.contains(&self.used.target)
    }

    pub(super) fn candidate<'a>(
        &'a self,
        now: Millis,
        target: Target,
        routing: &ServiceRouting,
    ) -> Candidate<'a> {
        let view = self.grants.view();
        Candidate {
            target,
            name: &self.used.entry.name,
            breaker_allows_calls: routing.breaker_allows_calls(now, target),
            free_slots: self.grants.free(now),
            capacity: view.allowed.max(1),
            load: view.load.max(self.grants.in_use()),
            latency_ms: routing.mean_latency(target),
        }
    }
}
