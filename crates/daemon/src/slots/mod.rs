//! The slots that this instance holds at targets, and the selection of a target for a call.
//!
//! A slot permits one call at a time to a target. The owner of a target is the instance that grants
//! its slots, for a limited time, to the instances that use the target. A call starts only with a
//! slot that has not expired. Requests that find no free slot wait in a queue for each service. The
//! number of waiting requests is part of the demand that the instance reports to the owners.

mod table;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::directory::TargetEntry;
use crate::service_routing::RoutingTable;
use crate::service_routing::ServiceRouting;
use crate::slot_queue::AssignedSlot;
use crate::slot_queue::Waiter;
use crate::slots::table::SlotTable;
use crate::slots::table::TargetSlots;
use arbutus_config::deployment::PolicySpec;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::entity::NameTable;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantReply;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::Slot as GrantSlot;
use arbutus_coord::grant::TargetView;
use arbutus_policy::admission::AdmissionRefusal;
use arbutus_policy::admission::Ticket;

/// Maximum interval between checks for requests that are due to be sent to owners, while calls run
/// or wait.
const ACTIVE_POLL_PERIOD_MS: Millis = Millis(10);
/// Maximum interval between these checks while no call runs or waits.
const IDLE_POLL_PERIOD_MS: Millis = Millis(200);
/// Maximum interval between checks for a free slot by a waiting request.
const RECHECK_PERIOD_MS: Millis = Millis(50);

/// A request for a slot at one of the targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Targets that must not be selected, because they have failed the request.
    pub excluded: &'a BTreeSet<Target>,
    /// Hash of the prompt prefix, which determines the preferred engine; `None` for no preference.
    pub prefix: Option<u64>,
    /// Time until which to wait for a free slot.
    pub until: Millis,
    /// Name of the organisation that sent the request.
    pub organisation: &'a str,
    /// Weight of the organisation in fair queueing.
    pub weight: u32,
    /// Priority of the request's class; 0 is the most urgent.
    pub priority: u8,
    /// Time when the response to the client is due.
    pub deadline: Millis,
    /// Expected duration of this stage and all later stages of the request.
    pub expected_ms: Millis,
    /// Whether the request has passed the admission check; it is then refused only if the queue is
    /// full.
    pub admitted: bool,
}

static NO_TARGETS: BTreeSet<Target> = BTreeSet::new();

impl<'a> SlotRequest<'a> {
    /// Creates a request that excludes no target and does not wait for a free slot.
    #[must_use]
    pub fn for_service(service: &'a str) -> Self {
        Self {
            service,
            excluded: &NO_TARGETS,
            prefix: None,
            until: Millis::ZERO,
            organisation: "",
            weight: 1,
            priority: 0,
            deadline: Millis::MAX,
            expected_ms: Millis::ZERO,
            admitted: false,
        }
    }
}

/// Why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// This instance uses no target of the service that takes calls and is not excluded by the
    /// request.
    NoTarget,
    /// All targets were busy until the end of the wait.
    Busy,
    /// The request is not admitted, because it would miss its deadline in the queue.
    Refused {
        /// Delay after which a retry is likely to be admitted.
        retry_ms: Millis,
    },
}

/// A target that this instance uses, and the owner of its slots.
#[derive(Clone, Debug)]
pub struct UsedTarget {
    /// Number of the target in the local directory.
    pub target: Target,
    /// Entry of the target in the platform's list.
    pub entry: TargetEntry,
    /// Name of the instance that grants the target's slots.
    pub owner: String,
    /// Whether the target is leaving or drained, so that it takes no new calls.
    pub blocked: bool,
}

/// A grant request that is due to be sent to an owner.
#[derive(Clone, Debug)]
pub struct DueRequest {
    /// Name of the instance that grants the target's slots.
    pub owner: String,
    /// Name of the target.
    pub target: String,
    /// The request to send.
    pub request: GrantRequest,
}

/// The slots of this instance at one target, for operators.
#[derive(Clone, Debug)]
pub struct TargetSlotStatus {
    /// Entry of the target in the platform's list.
    pub entry: TargetEntry,
    /// Whether the target is leaving or drained, so that it takes no new calls.
    pub blocked: bool,
    /// State of the target as its owner last reported it.
    pub view: TargetView,
    /// Number of calls of this instance that the target executes.
    pub in_use: u32,
}

/// The slots of this instance at all targets that it uses.
#[derive(Debug)]
pub struct SlotPool {
    clock: Clock,
    boot_id: u64,
    table: Mutex<SlotTable>,
    slot_freed: Condvar,
    request_due: Condvar,
}

/// An acquired slot, which is released when it is dropped.
#[derive(Debug)]
pub struct Slot {
    pool: Arc<SlotPool>,
    grant: Option<GrantSlot>,
    acquired_at: Millis,
    /// Number of the target in the local directory.
    pub target: Target,
    /// Address for calls to the target.
    pub address: SocketAddr,
}

impl SlotPool {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(clock: Clock, boot_id: u64) -> Self {
        Self {
            clock,
            boot_id,
            table: Mutex::new(SlotTable {
                grant_settings: GrantSettings::default(),
                targets: BTreeMap::new(),
                routing: RoutingTable::default(),
                organisations: NameTable::new(),
                admission_enabled: true,
                queues: BTreeMap::new(),
                poll_requested: false,
            }),
            slot_freed: Condvar::new(),
            request_due: Condvar::new(),
        }
    }

    /// Applies the policy of a new configuration.
    pub fn set_policy(&self, policy: &PolicySpec) {
        let mut table = self.lock();
        table.grant_settings.slow_start = policy.slow_start;
        table.routing.set_policy(policy);
        table.admission_enabled = policy.admission;
        for queue in table.queues.values_mut() {
            queue.set_enabled(policy.admission);
        }
    }

    /// Returns the settings of the grant protocol, with the slow start of the current policy.
    #[must_use]
    pub fn grant_settings(&self) -> GrantSettings {
        self.lock().grant_settings
    }

    /// Replaces the targets that this instance uses. A target that is no longer used is removed
    /// after its slots have been returned.
    pub fn set_targets(&self, used: Vec<UsedTarget>) {
        let mut table = self.lock();
        let settings = table.grant_settings;
        let current: BTreeSet<Target> = used.iter().map(|used| used.target).collect();
        for used in used {
            let target_slots = table
                .targets
                .entry(used.target)
                .or_insert_with(|| TargetSlots {
                    used: used.clone(),
                    grants: GrantHolder::new(settings, self.boot_id),
                    waiting: 0,
                    retired: false,
                });
            if target_slots.used.owner != used.owner {
                target_slots.grants.change_owner();
            }
            target_slots.grants.set_blocked(used.blocked);
            target_slots.retired = false;
            target_slots.used = used;
        }
        for (target, target_slots) in &mut table.targets {
            target_slots.retired = !current.contains(target);
            if target_slots.retired {
                target_slots.grants.set_blocked(true);
            }
        }
        drop(table);
        self.slot_freed.notify_all();
    }

    /// Checks whether a request could meet its deadline if it had to wait for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`NoSlot::Refused`] if the request would miss its deadline.
    pub fn check_admission(&self, request: SlotRequest<'_>, now: Millis) -> Result<(), NoSlot> {
        let mut table = self.lock();
        if !table.admission_enabled {
            return Ok(());
        }
        let admission_request = table.admission_request(request, now);
        table
            .queue(request.service, now)
            .check_admission(now, admission_request)
            .map_err(no_slot)
    }

    /// Acquires a slot, and waits for one while all targets are busy.
    ///
    /// # Errors
    ///
    /// Returns why no slot was acquired.
    pub fn acquire(
        self: &Arc<Self>,
        request: SlotRequest<'_>,
        random: &dyn Fn() -> u64,
    ) -> Result<Slot, NoSlot> {
        let mut table = self.lock();
        let now = self.clock.now();
        if table.queue(request.service, now).is_empty()
            && let Some(assigned) = table.try_acquire(request, now, random())
        {
            return Ok(self.new_slot(&table, assigned, now));
        }
        let least_loaded_target = table.least_loaded(request).ok_or(NoSlot::NoTarget)?;
        if now >= request.until {
            return Err(NoSlot::Busy);
        }
        let waiter = Waiter {
            excluded: request.excluded.clone(),
            prefix: request.prefix,
            admission_request: table.admission_request(request, now),
            admitted: request.admitted,
        };
        let ticket = table
            .queue(request.service, now)
            .enqueue(now, waiter)
            .map_err(no_slot)?;
        // The waiting request counts as demand at this target only.
        table.add_waiting(least_loaded_target);
        let (mut table, result) = self.wait_for_slot(table, request, ticket, random);
        table.remove_waiting(least_loaded_target);
        let assigned = result?;
        Ok(self.new_slot(&table, assigned, self.clock.now()))
    }

    /// Waits until a slot is assigned to the request, the time to wait ends, or no target is left.
    fn wait_for_slot<'a>(
        &'a self,
        mut table: MutexGuard<'a, SlotTable>,
        request: SlotRequest<'_>,
        ticket: Ticket,
        random: &dyn Fn() -> u64,
    ) -> (MutexGuard<'a, SlotTable>, Result<AssignedSlot, NoSlot>) {
        loop {
            let now = self.clock.now();
            table.assign_free_slots(request.service, now, random);
            let queue = table.queue(request.service, now);
            if let Some(assigned) = queue.take_assigned(ticket) {
                return (table, Ok(assigned));
            }
            if !queue.is_waiting(ticket) {
                return (table, Err(NoSlot::Busy));
            }
            if now >= request.until {
                queue.cancel(ticket);
                return (table, Err(NoSlot::Busy));
            }
            if table.least_loaded(request).is_none() {
                table.queue(request.service, now).cancel(ticket);
                return (table, Err(NoSlot::NoTarget));
            }
            table.poll_requested = true;
            self.request_due.notify_all();
            let wait = RECHECK_PERIOD_MS.min(request.until - now).max(Millis(1));
            (table, _) = self
                .slot_freed
                .wait_timeout(table, wait.to_duration())
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits until a poll is requested or the poll period ends, and returns the grant requests that
    /// are due.
    #[must_use]
    pub fn wait_for_due_requests(&self) -> Vec<DueRequest> {
        let table = self.lock();
        let period = if table.is_idle() {
            IDLE_POLL_PERIOD_MS
        } else {
            ACTIVE_POLL_PERIOD_MS
        };
        let (mut table, _) = self
            .request_due
            .wait_timeout_while(table, period.to_duration(), |table| !table.poll_requested)
            .unwrap_or_else(PoisonError::into_inner);
        table.poll_requested = false;
        let now = self.clock.now();
        let mut due = Vec::new();
        for target_slots in table.targets.values_mut() {
            if let Some(request) = target_slots.grants.poll(now) {
                due.push(DueRequest {
                    owner: target_slots.used.owner.clone(),
                    target: target_slots.used.entry.name.clone(),
                    request,
                });
            }
        }
        // The owner reserves the slots of a retired target until they are returned, so the target
        // is kept until then.
        table
            .targets
            .retain(|_, target_slots| !target_slots.retired || !target_slots.grants.is_idle(now));
        due
    }

    /// Handles a reply of the target's owner.
    pub fn handle_reply(&self, now: Millis, target: Target, reply: &GrantReply) {
        let mut table = self.lock();
        let Some(target_slots) = table.targets.get_mut(&target) else {
            return;
        };
        if target_slots.grants.on_reply(now, reply) {
            // The reply may make another request due, which the next poll sends.
            table.poll_requested = true;
            drop(table);
            self.slot_freed.notify_all();
            self.request_due.notify_all();
        }
    }

    /// Calls `apply` with the routing state of a service, under the lock of the pool.
    pub fn with_routing<T>(
        &self,
        now: Millis,
        service: &str,
        apply: impl FnOnce(&mut ServiceRouting) -> T,
    ) -> T {
        apply(self.lock().routing.state(now, service))
    }

    /// Returns the state of all targets that this instance uses, for operators.
    #[must_use]
    pub fn target_statuses(&self) -> Vec<TargetSlotStatus> {
        let table = self.lock();
        let to_status = |target_slots: &TargetSlots| TargetSlotStatus {
            entry: target_slots.used.entry.clone(),
            blocked: target_slots.used.blocked,
            view: target_slots.grants.view(),
            in_use: target_slots.grants.in_use(),
        };
        table.targets.values().map(to_status).collect()
    }

    fn new_slot(self: &Arc<Self>, table: &SlotTable, assigned: AssignedSlot, now: Millis) -> Slot {
        let target_slots = &table.targets[&assigned.target];
        Slot {
            pool: Arc::clone(self),
            grant: Some(assigned.grant_slot),
            acquired_at: now,
            target: assigned.target,
            address: target_slots.used.entry.address,
        }
    }

    fn release(&self, target: Target, grant_slot: GrantSlot, occupied_ms: Millis) {
        let mut table = self.lock();
        let table = &mut *table;
        if let Some(target_slots) = table.targets.get_mut(&target) {
            target_slots.grants.release(grant_slot);
            let service = &target_slots.used.entry.service;
            table
                .routing
                .state(self.clock.now(), service)
                .record_slot_time(occupied_ms);
        }
        // The next poll tells the owner, which may need the slot for another instance.
        table.poll_requested = true;
        self.request_due.notify_all();
        self.slot_freed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_slot(refusal: AdmissionRefusal) -> NoSlot {
    NoSlot::Refused {
        retry_ms: refusal.retry_after(),
    }
}

impl Slot {
    /// Returns whether the grant still permits a call to start. This has to be checked immediately
    /// before the call is written to the target.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant_slot| grant_slot.may_start(now))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(grant_slot) = self.grant.take() {
            let occupied_ms = self.pool.clock.now() - self.acquired_at;
            self.pool.release(self.target, grant_slot, occupied_ms);
        }
    }
}
