//! Choice of a target and count of the calls in progress at each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use arbutus_coord::entity::Target;

use crate::directory::Directory;

/// The calls in progress at each target.
#[derive(Debug, Default)]
pub struct Slots {
    in_flight: Mutex<BTreeMap<Target, u32>>,
}

/// A call in progress at a target; it ends when it is dropped.
#[derive(Debug)]
pub struct Slot<'a> {
    slots: &'a Slots,
    /// The target.
    pub target: Target,
    /// The target's address.
    pub address: SocketAddr,
}

impl Slots {
    /// Creates a table without calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a slot at the target of a service that has the fewest calls of this instance.
    pub fn acquire(
        &self,
        directory: &Directory,
        service: &str,
        failure_domain: &str,
        excluded: &BTreeSet<Target>,
    ) -> Option<Slot<'_>> {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (target, entry) = directory
            .of_service(service, failure_domain)
            .filter(|(target, entry)| !entry.leaving && !excluded.contains(target))
            .min_by_key(|(target, _)| in_flight.get(target).copied().unwrap_or(0))?;
        *in_flight.entry(target).or_default() += 1;
        Some(Slot {
            slots: self,
            target,
            address: entry.address,
        })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut in_flight = self
            .slots
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_flight.get_mut(&self.target) {
            *count -= 1;
        }
    }
}
