//! The targets that may get requests.
//!
//! The list of targets in the platform's store is authoritative, with two exceptions. Entries that
//! expire during an outage of the store stay in use for a grace period, because their targets
//! register again after the outage. Targets of a failure domain whose evacuation has ended are
//! treated as cold for a time, whatever their entries say. Callers check a target again right
//! before they send to it, since its state may have changed after its selection. A target that has
//! said that it shuts down gets no requests, however the list shows it. The list of a store that has
//! come back from an older copy is no news; see [`TargetDirectory::replace_by_copy`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::serving::leaving_targets::LeavingReport;
use crate::serving::leaving_targets::LeavingTargets;
use crate::serving::model::TargetEntry;
use arbutus_coord::Millis;

/// How long an entry that expired during an outage of the store is still used. Running targets are
/// back in the list within two seconds, and a target that is gone must not get requests for longer
/// than that.
const EXPIRY_GRACE_MS: Millis = Millis(1_700);

/// How long an entry that appears in a store which has come back from an older copy is not used, unless
/// its target writes it again. Running targets do so within this time.
const COPIED_ENTRY_DELAY_MS: Millis = Millis(2_000);
/// How long it is remembered that a target was removed or drained. A copy of the store is some seconds
/// old.
const REMOVED_RETENTION_MS: Millis = Millis(60_000);
/// Maximum number of removed targets that are remembered.
const MAX_REMOVED_TARGETS: usize = 4_096;

/// A change of the list of targets; each variant holds the identifier of the target. Log lines
/// contain the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// A target was added to the list, or an existing one was restarted.
    Appeared(String),
    /// A target no longer accepts work.
    Draining(String),
    /// A target was removed from the list.
    Gone(String),
}

/// A target of the directory.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The entry that the target published.
    pub entry: TargetEntry,
    cold_until: Millis,
    /// When the entry was found missing after a store outage.
    missing_since: Option<Millis>,
    /// Until when the entry is not used, because it comes from an older copy of the store.
    withheld_until: Option<Millis>,
}

/// All targets and the evacuated failure domains.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    targets: BTreeMap<String, KnownTarget>,
    leaving: LeavingTargets,
    /// When each target was removed, with its incarnation.
    removed: BTreeMap<String, (Option<u64>, Millis)>,
    evacuated: BTreeSet<String>,
    /// When the last evacuation of each failure domain ended.
    evacuation_ended_at: BTreeMap<String, Millis>,
}

impl TargetDirectory {
    /// Replaces the whole list, and returns the resulting changes.
    ///
    /// `after_outage` is true shortly after a store outage; see [`Self::remove`].
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
            let known = self.targets.get(&entry.id);
            // A list shows only that the target has not written the entry again.
            let is_withheld =
                known.is_some_and(|known| known.withheld_until.is_some() && known.entry == entry);
            if !is_withheld {
                changes.extend(self.upsert(now, entry));
            }
        }
        changes
    }

    /// Inserts or updates an entry. Returns the resulting change, or `None` if it is none of the
    /// kinds of [`TargetChange`].
    pub fn upsert(&mut self, now: Millis, entry: TargetEntry) -> Option<TargetChange> {
        let id = entry.id.clone();
        let cold_until = now + entry.cold_remaining_ms;
        let Some(known) = self.targets.get_mut(&id) else {
            let change = TargetChange::Appeared(id.clone());
            let known = KnownTarget {
                entry,
                cold_until,
                missing_since: None,
                withheld_until: None,
            };
            self.removed.remove(&id);
            self.targets.insert(id, known);
            return Some(change);
        };
        let is_new_incarnation =
            known.entry.incarnation != entry.incarnation || known.entry.address != entry.address;
        let stopped_accepting = known.entry.accepts_work && !entry.accepts_work;
        // An entry that is received again without a change has the remaining time as of when it was
        // written. Part of it has passed, so the end that was computed first is kept.
        if is_new_incarnation || entry.cold_remaining_ms != known.entry.cold_remaining_ms {
            known.cold_until = cold_until;
        }
        known.entry = entry;
        known.missing_since = None;
        let was_withheld = known.withheld_until.take().is_some();
        if is_new_incarnation || was_withheld {
            return Some(TargetChange::Appeared(id));
        }
        stopped_accepting.then_some(TargetChange::Draining(id))
    }

    /// Removes an entry.
    ///
    /// With `after_outage`, the entry is only marked as missing, since it may have expired during a
    /// store outage while its target kept running; [`Self::expire`] removes it later.
    pub fn remove(&mut self, now: Millis, id: &str, after_outage: bool) -> Option<TargetChange> {
        if after_outage {
            let known = self.targets.get_mut(id)?;
            known.missing_since.get_or_insert(now);
            return None;
        }
        let known = self.targets.remove(id)?;
        self.remember_removed(now, id, known.entry.incarnation);
        Some(TargetChange::Gone(id.to_owned()))
    }

    fn remember_removed(&mut self, now: Millis, id: &str, incarnation: Option<u64>) {
        self.removed
            .retain(|_, (_, removed_at)| *removed_at + REMOVED_RETENTION_MS > now);
        if self.removed.len() < MAX_REMOVED_TARGETS {
            self.removed.insert(id.to_owned(), (incarnation, now));
        }
    }

    /// Replaces the whole list by that of a store that has come back from an older copy, and returns
    /// the resulting changes.
    ///
    /// What is known from before is newer: entries that are missing in the copy stay in use for a
    /// time, as after an outage, and earlier states of known targets are ignored. Other entries are
    /// not used until their target writes them again, which [`Self::upsert`] records, or until they
    /// are in the list for some time without having been removed before.
    pub fn replace_by_copy(&mut self, now: Millis, entries: Vec<TargetEntry>) -> Vec<TargetChange> {
        let present: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        for (id, known) in &mut self.targets {
            if !present.contains(id) {
                known.missing_since.get_or_insert(now);
            }
        }
        let mut changes = Vec::new();
        for entry in entries {
            if let Some(known) = self.targets.get_mut(&entry.id) {
                let is_newer = entry.incarnation > known.entry.incarnation;
                let is_same = entry.incarnation == known.entry.incarnation;
                if is_newer || (is_same && !entry.accepts_work) {
                    changes.extend(self.upsert(now, entry));
                } else if is_same {
                    known.missing_since = None;
                    if !known.entry.accepts_work {
                        // The target was drained after the copy. Later lists show the same entry.
                        known.entry = entry;
                        known.withheld_until = Some(now + REMOVED_RETENTION_MS);
                    }
                }
                continue;
            }
            let removed = self.removed.get(&entry.id);
            let was_removed = removed.is_some_and(|(incarnation, removed_at)| {
                *incarnation >= entry.incarnation && *removed_at + REMOVED_RETENTION_MS > now
            });
            let delay_ms = if was_removed {
                REMOVED_RETENTION_MS
            } else {
                COPIED_ENTRY_DELAY_MS
            };
            let known = KnownTarget {
                cold_until: now + entry.cold_remaining_ms,
                missing_since: None,
                withheld_until: Some(now + delay_ms),
                entry,
            };
            self.targets.insert(known.entry.id.clone(), known);
        }
        changes
    }

    /// Removes the entries that expired during a store outage and did not return in the grace
    /// period, and accepts those that were withheld long enough.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetChange> {
        let expired: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, known)| {
                known
                    .missing_since
                    .is_some_and(|since| since + EXPIRY_GRACE_MS <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let gone = expired.iter().filter_map(|id| self.remove(now, id, false));
        let mut changes: Vec<TargetChange> = gone.collect();
        for (id, known) in &mut self.targets {
            if known.withheld_until.is_some_and(|until| until <= now) {
                known.withheld_until = None;
                changes.push(TargetChange::Appeared(id.clone()));
            }
        }
        changes
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &String> {
        self.evacuated.iter()
    }

    /// Replaces the set of evacuated failure domains.
    ///
    /// Returns the newly evacuated domains, and those whose evacuation has ended.
    pub fn set_evacuated(
        &mut self,
        now: Millis,
        domains: BTreeSet<String>,
    ) -> (Vec<String>, Vec<String>) {
        let evacuated = domains.difference(&self.evacuated).cloned().collect();
        let ended: Vec<String> = self.evacuated.difference(&domains).cloned().collect();
        for domain in &ended {
            self.evacuation_ended_at.insert(domain.clone(), now);
        }
        self.evacuated = domains;
        (evacuated, ended)
    }

    /// Records that an incarnation of a target has said that it shuts down. Returns the resulting
    /// change, or `None` if the incarnation was known to shut down or is not in the list.
    pub fn mark_leaving(
        &mut self,
        now: Millis,
        id: &str,
        incarnation: Option<u64>,
    ) -> Option<TargetChange> {
        let is_new = self.leaving.mark(now, id, incarnation);
        let is_listed = self.get(id)?.entry.incarnation == incarnation;
        (is_new && is_listed).then(|| TargetChange::Draining(id.to_owned()))
    }

    /// Returns whether an incarnation of a target has said that it shuts down.
    #[must_use]
    pub fn is_leaving(&self, id: &str, incarnation: Option<u64>) -> bool {
        self.leaving.contains(id, incarnation)
    }

    /// Returns all targets that have said that they shut down.
    #[must_use]
    pub fn leaving_reports(&self) -> Vec<LeavingReport> {
        self.leaving.reports()
    }

    /// Returns whether a service has targets, but none of them may get requests.
    #[must_use]
    pub fn is_closed(&self, service: &str) -> bool {
        let mut targets = self.iter().filter(|known| known.entry.service == service);
        let mut has_targets = false;
        let may_send = targets.any(|known| {
            has_targets = true;
            self.may_get_requests(known)
        });
        has_targets && !may_send
    }

    /// Returns a target, including draining and evacuated ones.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&KnownTarget> {
        self.targets.get(id)
    }

    /// Returns the target that listens on an address of the form `ip:port`.
    #[must_use]
    pub fn find_by_address(&self, address: &str) -> Option<&KnownTarget> {
        let address: SocketAddrV4 = address.parse().ok()?;
        self.iter().find(|known| known.entry.address == address)
    }

    /// Returns the targets of a service that may get requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownTarget> + use<'a> {
        self.targets
            .values()
            .filter(move |known| known.entry.service == service && self.may_get_requests(known))
    }

    /// Returns whether a target may get requests and is still the given incarnation.
    #[must_use]
    pub fn may_send(&self, id: &str, incarnation: Option<u64>) -> bool {
        self.targets.get(id).is_some_and(|known| {
            known.entry.incarnation == incarnation && self.may_get_requests(known)
        })
    }

    /// Returns whether a target may be cold; `service_cold_ms` is how long targets of its service
    /// stay cold after a start.
    #[must_use]
    pub fn is_cold(&self, now: Millis, known: &KnownTarget, service_cold_ms: Millis) -> bool {
        let evacuation_ended_at = self.evacuation_ended_at.get(&known.entry.failure_domain);
        known.cold_until > now || evacuation_ended_at.is_some_and(|&at| at + service_cold_ms > now)
    }

    /// Returns all targets, including draining and evacuated ones.
    pub fn iter(&self) -> impl Iterator<Item = &KnownTarget> {
        self.targets.values()
    }

    fn may_get_requests(&self, known: &KnownTarget) -> bool {
        let entry = &known.entry;
        entry.accepts_work
            && known.withheld_until.is_none()
            && !self.evacuated.contains(&entry.failure_domain)
            && !self.leaving.contains(&entry.id, entry.incarnation)
    }
}
