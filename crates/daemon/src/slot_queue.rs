//! The queue of requests that wait for a slot at the targets of one service.
//!
//! The admission queue of `arbutus-policy` determines the order. The thread that finds a free slot
//! assigns it to the next request in the queue, whose own thread takes the slot later. A newly
//! arrived request can therefore not take the slot in the meantime.

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

/// A slot that has been acquired for a waiting request.
#[derive(Debug)]
pub struct AssignedSlot {
    /// The target that the slot belongs to.
    pub target: Target,
    /// The slot of the instance's grant, which permits one call.
    pub grant_slot: GrantSlot,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The targets that must not be used, because an attempt was already made there.
    pub excluded: BTreeSet<Target>,
    /// The hash of the prompt prefix, which determines the preferred engine. `None` when there is
    /// no preference.
    pub prefix: Option<u64>,
    /// The properties of the request that determine its place in the queue.
    pub admission_request: AdmissionRequest,
    /// Whether the request was admitted when it arrived. It is then refused only if the
    /// queue is full, and otherwise waits as long as it can meet its deadline.
    pub admitted: bool,
}

/// The requests that wait for a slot of one service, and the slots assigned to them.
#[derive(Debug)]
pub struct SlotQueue {
    admission: AdmissionQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    assigned: BTreeMap<Ticket, AssignedSlot>,
}

impl SlotQueue {
    /// Creates an empty queue; `enabled` says whether admission control is on.
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

    /// Switches admission control on or off, for waiting requests as well.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.admission.set_enabled(enabled);
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Checks whether the queue would accept a request, without adding it.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, with a delay for a retry.
    pub fn check_admission(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.admission.check(now, request)
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal, with a delay for a retry.
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

    /// Removes and returns the request that is next to get a slot, `None` if no request is waiting.
    pub fn dequeue(&mut self, now: Millis) -> Option<(Ticket, Waiter)> {
        let ticket = self.admission.dequeue(now)?;
        let waiter = self.waiters.remove(&ticket)?;
        Some((ticket, waiter))
    }

    /// Assigns a slot to a dequeued request, which takes it with [`Self::take_assigned`].
    pub fn assign(&mut self, ticket: Ticket, slot: AssignedSlot) {
        self.assigned.insert(ticket, slot);
    }

    /// Returns a dequeued request to its place in the queue, because it cannot use the free slots.
    pub fn requeue(&mut self, ticket: Ticket, waiter: Waiter) {
        self.admission.requeue(ticket, waiter.admission_request);
        self.waiters.insert(ticket, waiter);
    }

    /// Removes and returns the slot that was assigned to a request, `None` if it has none.
    pub fn take_assigned(&mut self, ticket: Ticket) -> Option<AssignedSlot> {
        self.assigned.remove(&ticket)
    }

    /// Removes the requests that can no longer meet their deadline.
    pub fn remove_expired(&mut self, now: Millis) {
        for ticket in self.admission.take_expired(now) {
            self.waiters.remove(&ticket);
        }
    }

    /// Returns whether a request is in the queue.
    #[must_use]
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiters.contains_key(&ticket)
    }

    /// Removes a request that stops waiting.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.admission.cancel(ticket);
        self.waiters.remove(&ticket);
    }
}
