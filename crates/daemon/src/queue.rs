//! The requests that wait for a slot at the targets of one service.
//!
//! Admission decides who gets the next free slot. A request gets its slot while it waits, so a
//! slot that becomes free is never taken by a request that has just arrived.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::Slot as Permission;
use arbutus_policy::admission::AdmissionQueue;
use arbutus_policy::admission::AdmissionRefusal;
use arbutus_policy::admission::AdmissionRequest;
use arbutus_policy::admission::AdmissionSettings;
use arbutus_policy::admission::Ticket;

/// A slot that was taken for a waiting request.
#[derive(Debug)]
pub struct Granted {
    /// The target.
    pub target: Target,
    /// The permission to run one call.
    pub permission: Permission,
}

/// What a waiting request can use.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The targets that have failed the request.
    pub excluded: BTreeSet<Target>,
    /// The key that determines the preferred engine of a prompt.
    pub prefix: Option<u64>,
    /// What admission knows about the request.
    pub arrival: AdmissionRequest,
    /// Whether the request was admitted before, so that only its deadline ends its wait.
    pub admitted: bool,
}

/// The queue of one service.
#[derive(Debug)]
pub struct Queue {
    admission: AdmissionQueue,
    waiters: BTreeMap<Ticket, Waiter>,
    granted: BTreeMap<Ticket, Granted>,
}

impl Queue {
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
            granted: BTreeMap::new(),
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
    pub fn check(
        &mut self,
        now: Millis,
        arrival: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.admission.check(now, arrival)
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry.
    pub fn join(&mut self, now: Millis, waiter: Waiter) -> Result<Ticket, AdmissionRefusal> {
        let ticket = if waiter.admitted {
            self.admission.enqueue_admitted(now, waiter.arrival)?
        } else {
            self.admission.try_enqueue(now, waiter.arrival)?
        };
        self.waiters.insert(ticket, waiter);
        Ok(ticket)
    }

    /// Returns the next request that gets a slot.
    pub fn next(&mut self, now: Millis) -> Option<(Ticket, Waiter)> {
        let ticket = self.admission.dequeue(now)?;
        let waiter = self.waiters.remove(&ticket)?;
        Some((ticket, waiter))
    }

    /// Hands a slot to a waiting request.
    pub fn grant(&mut self, ticket: Ticket, granted: Granted) {
        self.granted.insert(ticket, granted);
    }

    /// Puts a request back that could not use the free slots.
    pub fn rejoin(&mut self, ticket: Ticket, waiter: Waiter) {
        self.admission.requeue(ticket, waiter.arrival);
        self.waiters.insert(ticket, waiter);
    }

    /// Returns the slot that was taken for a request.
    pub fn claim_granted(&mut self, ticket: Ticket) -> Option<Granted> {
        self.granted.remove(&ticket)
    }

    /// Forgets the requests that can no longer meet their deadline.
    pub fn expire(&mut self, now: Millis) {
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
    pub fn leave(&mut self, ticket: Ticket) {
        self.admission.cancel(ticket);
        self.waiters.remove(&ticket);
    }
}
