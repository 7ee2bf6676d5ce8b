//! The targets that may get work.
//!
//! The platform's list is the truth. Two things delay it: entries that lapse while the store is
//! away, which come back shortly after it, and evacuated failure domains, whose targets may be
//! cold when they are taken back. State is checked again at each send, since it may have changed
//! between the choice of a target and the send.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::serving::model::TargetEntry;
use arbutus_coord::Millis;

/// How long an entry that lapsed during an outage of the store is still used. Living targets are
/// back in the list within two seconds; a target that left gets nothing later than that.
const LAPSE_GRACE_MS: Millis = Millis(1_700);

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// A target or a new lifetime of it appeared.
    Added(String),
    /// A target no longer accepts work.
    Draining(String),
    /// A target is gone.
    Removed(String),
}

/// A target of the list.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// What the target says of itself.
    pub entry: TargetEntry,
    cold_until: Millis,
    /// When the entry was found missing after an outage.
    missing_since: Option<Millis>,
}

/// All targets and the evacuated failure domains.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    targets: BTreeMap<String, KnownTarget>,
    evacuated: BTreeSet<String>,
    /// When a failure domain was taken back last.
    taken_back: BTreeMap<String, Millis>,
}

impl TargetDirectory {
    /// Replaces the whole list; `after_outage` says that the store was away shortly before.
    pub fn replace(
        &mut self,
        now: Millis,
        entries: Vec<TargetEntry>,
        after_outage: bool,
    ) -> Vec<TargetChange> {
        let present: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<String> = self
            .targets
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            changes.extend(self.remove(now, &id, after_outage));
        }
        for entry in entries {
            changes.extend(self.upsert(now, entry));
        }
        changes
    }

    /// Takes over a new or changed entry.
    pub fn upsert(&mut self, now: Millis, entry: TargetEntry) -> Option<TargetChange> {
        let id = entry.id.clone();
        let cold_until = now + entry.cold_remaining_ms;
        let Some(known) = self.targets.get_mut(&id) else {
            let change = TargetChange::Added(id.clone());
            let known = KnownTarget {
                entry,
                cold_until,
                missing_since: None,
            };
            self.targets.insert(id, known);
            return Some(change);
        };
        let reborn =
            known.entry.incarnation != entry.incarnation || known.entry.address != entry.address;
        let left = known.entry.accepts_work && !entry.accepts_work;
        // A repeated entry states the same remaining time, which has passed in part since.
        if reborn || entry.cold_remaining_ms != known.entry.cold_remaining_ms {
            known.cold_until = cold_until;
        }
        known.entry = entry;
        known.missing_since = None;
        if reborn {
            return Some(TargetChange::Added(id));
        }
        left.then_some(TargetChange::Draining(id))
    }

    /// Removes an entry; after an outage of the store, the target may only have lapsed.
    pub fn remove(&mut self, now: Millis, id: &str, after_outage: bool) -> Option<TargetChange> {
        if after_outage {
            let known = self.targets.get_mut(id)?;
            known.missing_since.get_or_insert(now);
            return None;
        }
        self.targets
            .remove(id)
            .map(|_| TargetChange::Removed(id.to_owned()))
    }

    /// Removes the entries that lapsed during an outage and did not come back.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetChange> {
        let expired: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, known)| {
                known
                    .missing_since
                    .is_some_and(|since| since + LAPSE_GRACE_MS <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let gone = expired.iter().filter_map(|id| self.remove(now, id, false));
        gone.collect()
    }

    /// Replaces the set of evacuated failure domains; returns those evacuated and taken back.
    pub fn set_evacuated(
        &mut self,
        now: Millis,
        domains: BTreeSet<String>,
    ) -> (Vec<String>, Vec<String>) {
        let evacuated = domains.difference(&self.evacuated).cloned().collect();
        let returned: Vec<String> = self.evacuated.difference(&domains).cloned().collect();
        for domain in &returned {
            self.taken_back.insert(domain.clone(), now);
        }
        self.evacuated = domains;
        (evacuated, returned)
    }

    /// Returns a target whatever its state.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&KnownTarget> {
        self.targets.get(id)
    }

    /// Returns the target at an address.
    #[must_use]
    pub fn find_by_address(&self, address: &str) -> Option<&KnownTarget> {
        let address: SocketAddrV4 = address.parse().ok()?;
        self.iter().find(|known| known.entry.address == address)
    }

    /// Returns the targets of a service that may get work.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownTarget> + use<'a> {
        self.targets
            .values()
            .filter(move |known| known.entry.service == service && self.may_work(known))
    }

    /// Returns whether a target of this lifetime may get work now.
    #[must_use]
    pub fn may_send(&self, id: &str, incarnation: Option<u64>) -> bool {
        self.targets
            .get(id)
            .is_some_and(|known| known.entry.incarnation == incarnation && self.may_work(known))
    }

    /// Returns whether a target may be cold; `service_cold_ms` is how long a start takes.
    #[must_use]
    pub fn is_cold(&self, now: Millis, known: &KnownTarget, service_cold_ms: Millis) -> bool {
        let taken_back = self.taken_back.get(&known.entry.failure_domain);
        known.cold_until > now || taken_back.is_some_and(|&at| at + service_cold_ms > now)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &KnownTarget> {
        self.targets.values()
    }

    fn may_work(&self, known: &KnownTarget) -> bool {
        known.entry.accepts_work && !self.evacuated.contains(&known.entry.failure_domain)
    }
}
