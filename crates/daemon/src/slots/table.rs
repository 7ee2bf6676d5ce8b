//! The targets that this instance uses, their slots and the queues for them.
//!
//! Everything here is behind the lock of [`Slots`](super::Slots).

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
pub(super) struct Table {
    pub(super) settings: GrantSettings,
    pub(super) holders: BTreeMap<Target, Holder>,
    pub(super) services: RoutingTable,
    pub(super) organisations: NameTable<Organisation>,
    pub(super) admission: bool,
    pub(super) queues: BTreeMap<String, SlotQueue>,
    pub(super) kicked: bool,
}

#[derive(Debug)]
pub(super) struct Holder {
    pub(super) used: UsedTarget,
    pub(super) grants: GrantHolder,
    pub(super) waiting: u32,
    /// Whether the target is no longer used and only waits for its calls to end.
    pub(super) retired: bool,
}

impl Table {
    /// Returns whether no call of this instance runs or waits.
    pub(super) fn is_quiet(&self) -> bool {
        self.holders
            .values()
            .all(|holder| holder.waiting == 0 && holder.grants.in_use() == 0)
    }

    pub(super) fn choose(
        &mut self,
        request: SlotRequest<'_>,
        now: Millis,
        random: u64,
    ) -> Option<Target> {
        let state = self.services.state(now, request.service);
        let candidates: Vec<Candidate<'_>> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.takes(request))
            .map(|(&target, holder)| holder.candidate(now, target, state))
            .collect();
        let index = state.select_target(&candidates, request.prefix, random)?;
        Some(candidates[index].target)
    }

    /// Takes a slot if one is free.
    pub(super) fn take(
        &mut self,
        request: SlotRequest<'_>,
        now: Millis,
        random: u64,
    ) -> Option<AssignedSlot> {
        let target = self.choose(request, now, random)?;
        let holder = self.holders.get_mut(&target)?;
        let grant_slot = holder.grants.try_acquire(now)?;
        self.services
            .state(now, request.service)
            .start_call(now, target);
        Some(AssignedSlot { target, grant_slot })
    }

    /// Hands free slots to the waiting requests of a service, in the order of admission.
    pub(super) fn serve(&mut self, service: &str, now: Millis, random: &dyn Fn() -> u64) {
        self.queue(service, now).remove_expired(now);
        let mut passed_over = Vec::new();
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
            match self.take(request, now, random()) {
                Some(granted) => self.queue(service, now).assign(ticket, granted),
                // Its targets are among those that have failed it.
                None => passed_over.push((ticket, waiter)),
            }
        }
        for (ticket, waiter) in passed_over {
            self.queue(service, now).requeue(ticket, waiter);
        }
    }

    pub(super) fn has_free_slot(&mut self, service: &str, now: Millis) -> bool {
        let state = self.services.state(now, service);
        self.holders.iter().any(|(&target, holder)| {
            !holder.retired
                && !holder.used.closed
                && holder.used.entry.service == service
                && holder.grants.free(now) > 0
                && state.breaker_allows_calls(now, target)
        })
    }

    pub(super) fn queue(&mut self, service: &str, now: Millis) -> &mut SlotQueue {
        let admission = self.admission;
        let queue = self.queues.entry(service.to_owned());
        queue.or_insert_with(|| SlotQueue::new(now, admission))
    }

    pub(super) fn arrival(&mut self, request: SlotRequest<'_>, now: Millis) -> AdmissionRequest {
        AdmissionRequest {
            organisation: self.organisations.intern(request.organisation),
            weight: request.weight,
            priority: request.priority,
            deadline: request.deadline,
            expected_ms: request.expected_ms,
            slot_ms: self.services.state(now, request.service).mean_slot_time(),
        }
    }

    /// Returns the open target for which the fewest requests wait, relative to its capacity.
    pub(super) fn least_awaited(&self, request: SlotRequest<'_>) -> Option<Target> {
        let open = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.takes(request));
        let pressure = |holder: &Holder| {
            let waiting = u64::from(holder.waiting + holder.grants.in_use());
            waiting * 1_000 / u64::from(holder.grants.view().allowed.max(1))
        };
        open.min_by_key(|(_, holder)| pressure(holder))
            .map(|(&target, _)| target)
    }

    pub(super) fn add_waiting(&mut self, target: Target) {
        if let Some(holder) = self.holders.get_mut(&target) {
            holder.waiting += 1;
            holder.grants.set_waiting(holder.waiting);
        }
    }

    pub(super) fn remove_waiting(&mut self, target: Target) {
        if let Some(holder) = self.holders.get_mut(&target) {
            holder.waiting = holder.waiting.saturating_sub(1);
            holder.grants.set_waiting(holder.waiting);
        }
    }
}

impl Holder {
    pub(super) fn takes(&self, request: SlotRequest<'_>) -> bool {
        !self.retired
            && !self.used.closed
            && self.used.entry.service == request.service
            && !request.excluded.contains(&self.used.target)
    }

    pub(super) fn candidate<'a>(
        &'a self,
        now: Millis,
        target: Target,
        state: &ServiceRouting,
    ) -> Candidate<'a> {
        let view = self.grants.view();
        Candidate {
            target,
            name: &self.used.entry.name,
            breaker_allows_calls: state.breaker_allows_calls(now, target),
            free_slots: self.grants.free(now),
            capacity: view.allowed.max(1),
            load: view.load.max(self.grants.in_use()),
            latency_ms: state.mean_latency(target),
        }
    }
}
