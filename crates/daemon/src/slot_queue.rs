//! The requests that wait for a slot at the targets of one service.
//!
//! Admission decides who gets the next free slot. A request gets its slot while it waits, so a
//! slot that becomes free is never taken by a request that has just arrived.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::Slot as GrantSlot;
use arbutus_policy::admission::AdmissionQueue;
use arbutus_policy::admission::AdmissionRefusal;
use arbutus_policy::admission::AdmissionRequest;
use arbutus_policy::admission::AdmissionSettings;
use arbutus_policy::admission::Ticket;

/// A slot that was taken for a waiting request.
#[derive(Debug)]
pub struct AssignedSlot {
    /// The target.
    pub target: Target,
    /// The permission to run one call.
    pub grant_slot: GrantSlot,
}

/// What a waiting request can use.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The targets that have failed the request.
    pub excluded: BTreeSet<Target>,
    /// The key that determines the preferred engine of a prompt.
    pub prefix: Option<u64>,
    /// What admission knows about the request.
    pub admission_request: AdmissionRequest,
    /// Whether the request was admitted before, so that only its deadline ends its wait.
    pub admitted: bool,
}

/// The queue of one service.
#[derive(Debug)]
pub struct SlotQueue {
    admission: AdmissionQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    assigned: BTreeMap<Ticket, AssignedSlot>,
}

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Millis, enabled: bool) -> Self {
        let settings = AdmissionSettings {
            enabled,
            ..AdmissionSettings::default()
        };
        Self {
            admission: AdmissionQueue::new(now, settings),
            waiters: BTreeMap::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// Switches admission on or off for waiting and later requests.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.admission.set_enabled(enabled);
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Checks whether a request would be put into the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry.
    pub fn check_admission(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.admission.check(now, request)
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry.
    pub fn enqueue(&mut self, now: Millis, waiter: Waiter) -> Result<Ticket, AdmissionRefusal> {
        let ticket = if waiter.admitted {
            self.admission
                .enqueue_admitted(now, waiter.admission_request)?
        } else {
            self.admission.try_enqueue(now, waiter.admission_request)?
        };
        self.waiters.insert(ticket, waiter);
        Ok(ticket)
    }

    /// Returns the next request that gets a slot.
    pub fn dequeue(&mut self, now: Millis) -> Option<(Ticket, Waiter)> {
        let ticket = self.admission.dequeue(now)?;
        let waiter = self.waiters.remove(&ticket)?;
        Some((ticket, waiter))
    }

    /// Hands a slot to a waiting request.
    pub fn assign(&mut self, ticket: Ticket, slot: AssignedSlot) {
        self.assigned.insert(ticket, slot);
    }

    /// Puts a request back that could not use the free slots.
    pub fn requeue(&mut self, ticket: Ticket, waiter: Waiter) {
        self.admission.requeue(ticket, waiter.admission_request);
        self.waiters.insert(ticket, waiter);
    }

    /// Returns the slot that was taken for a request.
    pub fn take_assigned(&mut self, ticket: Ticket) -> Option<AssignedSlot> {
        self.assigned.remove(&ticket)
    }

    /// Forgets the requests that can no longer meet their deadline.
    pub fn remove_expired(&mut self, now: Millis) {
        for ticket in self.admission.take_expired(now) {
            self.waiters.remove(&ticket);
        }
    }

    /// Returns whether a request still waits.
    #[must_use]
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiters.contains_key(&ticket)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.admission.cancel(ticket);
        self.waiters.remove(&ticket);
    }
}
