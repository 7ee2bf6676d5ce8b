//! The slots that this instance holds at targets, and the choice among them.
//!
//! A call starts only with a slot that the target's owner has granted and that has not expired.
//! Requests that find no free slot wait; the number of waiting requests is part of what the
//! instance asks the owners for.

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
use crate::slots::table::Holder;
use crate::slots::table::Table;
use arbutus_config::deployment::PolicySpec;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::entity::NameTable;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantReply;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::Slot as Permission;
use arbutus_coord::grant::TargetView;
use arbutus_policy::admission::AdmissionRefusal;
use arbutus_policy::admission::Ticket;

/// How often requests to owners become due while calls run or wait, and while none do.
const BUSY_PERIOD_MS: Millis = Millis(10);
const QUIET_PERIOD_MS: Millis = Millis(200);
/// How long a waiting request sleeps before it looks for a free slot again.
const WAIT_SLICE_MS: Millis = Millis(50);

/// What a call needs from its target.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The targets that have failed the request.
    pub excluded: &'a BTreeSet<Target>,
    /// The key that determines the preferred engine of a prompt.
    pub prefix: Option<u64>,
    /// How long to wait for a free slot.
    pub until: Millis,
    /// The organisation on whose behalf the call is made.
    pub organisation: &'a str,
    /// The share of the organisation relative to others.
    pub weight: u32,
    /// The urgency of the class, 0 being the most urgent.
    pub priority: u8,
    /// When the answer to the caller is due.
    pub deadline: Millis,
    /// How long this stage and the later ones take.
    pub expected_ms: Millis,
    /// Whether the request was admitted when it arrived.
    pub admitted: bool,
}

static NO_TARGETS: BTreeSet<Target> = BTreeSet::new();

impl<'a> SlotRequest<'a> {
    /// Creates a request that excludes no target and does not wait.
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

/// Why no slot was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// The service has no target here that takes calls.
    NoTarget,
    /// All targets stayed busy.
    Busy,
    /// The request would not be answered before its deadline.
    Refused {
        /// The delay after which a retry is likely to be admitted.
        retry_ms: Millis,
    },
}

/// A target as the owner of its slots is asked for them.
#[derive(Clone, Debug)]
pub struct UsedTarget {
    /// The target.
    pub target: Target,
    /// What the platform's list says.
    pub entry: TargetEntry,
    /// The instance that owns the target's slots.
    pub owner: String,
    /// Whether the target is leaving or drained.
    pub closed: bool,
}

/// A request for slots that is due.
#[derive(Clone, Debug)]
pub struct DueRequest {
    /// The instance that owns the target's slots.
    pub owner: String,
    /// The target's name.
    pub target: String,
    /// The request.
    pub request: GrantRequest,
}

/// A target as operators see it.
#[derive(Clone, Debug)]
pub struct TargetUse {
    /// What the platform's list says.
    pub entry: TargetEntry,
    /// Whether the target is leaving or drained.
    pub closed: bool,
    /// What the owner last said.
    pub view: TargetView,
    /// The calls of this instance.
    pub in_use: u32,
}

/// The slots of this instance at all targets that it uses.
#[derive(Debug)]
pub struct Slots {
    clock: Clock,
    boot_id: u64,
    table: Mutex<Table>,
    freed: Condvar,
    due: Condvar,
}

/// A slot that a call occupies until it is dropped.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
    permission: Option<Permission>,
    since: Millis,
    /// The target.
    pub target: Target,
    /// The target's address.
    pub address: SocketAddr,
}

impl Slots {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(clock: Clock, boot_id: u64) -> Self {
        Self {
            clock,
            boot_id,
            table: Mutex::new(Table {
                settings: GrantSettings::default(),
                holders: BTreeMap::new(),
                services: RoutingTable::default(),
                organisations: NameTable::new(),
                admission: true,
                queues: BTreeMap::new(),
                kicked: false,
            }),
            freed: Condvar::new(),
            due: Condvar::new(),
        }
    }

    /// Takes over the policy of a new configuration.
    pub fn set_policy(&self, policy: &PolicySpec) {
        let mut table = self.lock();
        table.settings.slow_start = policy.slow_start;
        table.services.set_policy(policy);
        table.admission = policy.admission;
        for queue in table.queues.values_mut() {
            queue.set_enabled(policy.admission);
        }
    }

    /// Returns the settings of grants.
    #[must_use]
    pub fn settings(&self) -> GrantSettings {
        self.lock().settings
    }

    /// Takes over the targets that this instance uses and their owners.
    pub fn sync(&self, used: Vec<UsedTarget>) {
        let mut table = self.lock();
        let settings = table.settings;
        let current: BTreeSet<Target> = used.iter().map(|used| used.target).collect();
        for used in used {
            let holder = table.holders.entry(used.target).or_insert_with(|| Holder {
                used: used.clone(),
                grants: GrantHolder::new(settings, self.boot_id),
                waiting: 0,
                retired: false,
            });
            if holder.used.owner != used.owner {
                holder.grants.change_owner();
            }
            holder.grants.set_blocked(used.closed);
            holder.retired = false;
            holder.used = used;
        }
        for (target, holder) in &mut table.holders {
            holder.retired = !current.contains(target);
            if holder.retired {
                holder.grants.set_blocked(true);
            }
        }
        drop(table);
        self.freed.notify_all();
    }

    /// Checks whether a request that waits for a slot would be answered before its deadline.
    ///
    /// # Errors
    ///
    /// Returns that the request is refused.
    pub fn check(&self, request: SlotRequest<'_>, now: Millis) -> Result<(), NoSlot> {
        let mut table = self.lock();
        if !table.admission {
            return Ok(());
        }
        let arrival = table.arrival(request, now);
        table
            .queue(request.service, now)
            .check_admission(now, arrival)
            .map_err(refused)
    }

    /// Takes a slot, and waits for one when all targets are busy.
    ///
    /// # Errors
    ///
    /// Returns whether there is no target, no free slot, or too little time.
    pub fn acquire(
        self: &Arc<Self>,
        request: SlotRequest<'_>,
        random: &dyn Fn() -> u64,
    ) -> Result<Slot, NoSlot> {
        let mut table = self.lock();
        let time = self.clock.now();
        if table.queue(request.service, time).is_empty()
            && let Some(granted) = table.take(request, time, random())
        {
            return Ok(self.slot(&table, granted, time));
        }
        let awaited = table.least_awaited(request).ok_or(NoSlot::NoTarget)?;
        if time >= request.until {
            return Err(NoSlot::Busy);
        }
        let waiter = Waiter {
            excluded: request.excluded.clone(),
            prefix: request.prefix,
            admission_request: table.arrival(request, time),
            admitted: request.admitted,
        };
        let ticket = table
            .queue(request.service, time)
            .enqueue(time, waiter)
            .map_err(refused)?;
        table.add_waiting(awaited);
        let (mut table, result) = self.wait(table, request, ticket, random);
        table.remove_waiting(awaited);
        let granted = result?;
        Ok(self.slot(&table, granted, self.clock.now()))
    }

    fn wait<'a>(
        &'a self,
        mut table: MutexGuard<'a, Table>,
        request: SlotRequest<'_>,
        ticket: Ticket,
        random: &dyn Fn() -> u64,
    ) -> (MutexGuard<'a, Table>, Result<AssignedSlot, NoSlot>) {
        loop {
            let time = self.clock.now();
            table.serve(request.service, time, random);
            let queue = table.queue(request.service, time);
            if let Some(granted) = queue.take_assigned(ticket) {
                return (table, Ok(granted));
            }
            if !queue.is_waiting(ticket) {
                return (table, Err(NoSlot::Busy));
            }
            if time >= request.until {
                queue.cancel(ticket);
                return (table, Err(NoSlot::Busy));
            }
            if table.least_awaited(request).is_none() {
                table.queue(request.service, time).cancel(ticket);
                return (table, Err(NoSlot::NoTarget));
            }
            table.kicked = true;
            self.due.notify_all();
            let slice = WAIT_SLICE_MS.min(request.until - time).max(Millis(1));
            (table, _) = self
                .freed
                .wait_timeout(table, slice.to_duration())
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Returns the requests to owners that are due, after waiting for one at most for a span.
    #[must_use]
    pub fn poll(&self) -> Vec<DueRequest> {
        let table = self.lock();
        let span = if table.is_quiet() {
            QUIET_PERIOD_MS
        } else {
            BUSY_PERIOD_MS
        };
        let (mut table, _) = self
            .due
            .wait_timeout_while(table, span.to_duration(), |table| !table.kicked)
            .unwrap_or_else(PoisonError::into_inner);
        table.kicked = false;
        let time = self.clock.now();
        let mut due = Vec::new();
        for holder in table.holders.values_mut() {
            if let Some(request) = holder.grants.poll(time) {
                due.push(DueRequest {
                    owner: holder.used.owner.clone(),
                    target: holder.used.entry.name.clone(),
                    request,
                });
            }
        }
        // The owner counts the slots of a retired target until they have been given back.
        table
            .holders
            .retain(|_, holder| !holder.retired || !holder.grants.is_idle(time));
        due
    }

    /// Takes an owner's answer.
    pub fn on_reply(&self, now: Millis, target: Target, reply: &GrantReply) {
        let mut table = self.lock();
        let Some(holder) = table.holders.get_mut(&target) else {
            return;
        };
        if holder.grants.on_reply(now, reply) {
            // An answer may ask for a report, which the next poll sends.
            table.kicked = true;
            drop(table);
            self.freed.notify_all();
            self.due.notify_all();
        }
    }

    /// Gives access to the routing state of a service.
    pub fn with_service<T>(
        &self,
        now: Millis,
        service: &str,
        apply: impl FnOnce(&mut ServiceRouting) -> T,
    ) -> T {
        apply(self.lock().services.state(now, service))
    }

    /// Returns the targets that this instance uses, for operators.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetUse> {
        let table = self.lock();
        let use_of = |holder: &Holder| TargetUse {
            entry: holder.used.entry.clone(),
            closed: holder.used.closed,
            view: holder.grants.view(),
            in_use: holder.grants.in_use(),
        };
        table.holders.values().map(use_of).collect()
    }

    fn slot(self: &Arc<Self>, table: &Table, granted: AssignedSlot, now: Millis) -> Slot {
        let holder = &table.holders[&granted.target];
        Slot {
            slots: Arc::clone(self),
            permission: Some(granted.grant_slot),
            since: now,
            target: granted.target,
            address: holder.used.entry.address,
        }
    }

    fn release(&self, target: Target, permission: Permission, occupied_ms: Millis) {
        let mut table = self.lock();
        let table = &mut *table;
        if let Some(holder) = table.holders.get_mut(&target) {
            holder.grants.release(permission);
            let service = &holder.used.entry.service;
            table
                .services
                .state(self.clock.now(), service)
                .record_slot_time(occupied_ms);
        }
        // The owner may need the slot for another instance.
        table.kicked = true;
        self.due.notify_all();
        self.freed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(refusal: AdmissionRefusal) -> NoSlot {
    NoSlot::Refused {
        retry_ms: refusal.retry_after(),
    }
}

impl Slot {
    /// Returns whether the call may still start; it is checked right before the call is written.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        self.permission
            .as_ref()
            .is_some_and(|permission| permission.may_start(now))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permission) = self.permission.take() {
            let occupied_ms = self.slots.clock.now() - self.since;
            self.slots.release(self.target, permission, occupied_ms);
        }
    }
}
