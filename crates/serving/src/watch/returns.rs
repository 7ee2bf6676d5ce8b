//! A store that has come back from an older copy.
//!
//! The copy lacks what was written last, until the writers have written it again. Until
//! [`RETURN_GRACE_MS`] after the return, what is known from before is kept: the newest configuration,
//! the instances, the evacuations, and the targets, which [`TargetDirectory`] decides about.
//!
//! [`TargetDirectory`]: arbutus_policy::serving::target_directory::TargetDirectory

use std::collections::BTreeMap;
use std::rc::Rc;

use log::info;
use log::warn;
use rand::RngExt;

use super::StoreState;
use crate::net::sleep;
use arbutus_coord::Millis;
use arbutus_platform::configuration;
use arbutus_platform::store::CONFIGURATION_OBJECT_NAME;
use arbutus_platform::store::InstanceEntry;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::StoredObject;

/// Time after the return of the store until what is missing in it counts as removed. Targets and the
/// operator have written their objects again by then.
const RETURN_GRACE_MS: Millis = Millis(2_000);
/// Time over which the instances write their entries again, for each instance; 100 per second in all.
const REGISTRATION_SPREAD_MS: Millis = Millis(10);
/// Maximum part of the grace in which the entries are written again, so that they are not missed.
const MAX_REGISTRATION_SPREAD_MS: Millis = Millis(17_000);

impl StoreState {
    /// Returns the latest era of the store that is known; 0 if it names none.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.client.era().unwrap_or(0)
    }

    /// Compares the latest known era with that of the objects, and begins the grace of a return.
    pub(super) fn check_era(&self) {
        let era = self.client.era();
        let previous = self.era.replace(era);
        let Some(era) = era else {
            return;
        };
        let gauge = i64::try_from(era).unwrap_or(i64::MAX);
        self.shared.metrics.store_era.set(gauge);
        let Some(previous) = previous else {
            return;
        };
        if era <= previous {
            return;
        }
        let revision = self.store_version.borrow().revision();
        warn!(era, previous, revision; "the store has come back from an older copy");
        if era - previous > 1 {
            info!(era, previous; "eras of the store were missed");
        }
        let now = self.shared.now();
        self.reported_changes.take();
        self.returned_at.send_replace(Some(now));
        // Pending watches report nothing any more.
        let is_reachable = self.is_reachable();
        self.reachability.send_replace((is_reachable, now));
    }

    /// Returns whether the store came back a short time ago, so that its objects may be old.
    pub(super) fn is_after_return(&self) -> bool {
        let returned_at = *self.returned_at.borrow();
        returned_at.is_some_and(|at| at + RETURN_GRACE_MS > self.shared.now())
    }

    /// Sets the list of instances. After a return, those that were known before are kept.
    pub(super) fn set_instances(&self, entries: BTreeMap<String, InstanceEntry>) {
        let mut entries = entries;
        if self.is_after_return() {
            for peer in self.shared.peers() {
                entries.entry(peer.name.clone()).or_insert(peer);
            }
        }
        self.shared.set_instances(entries);
    }

    /// After each return of the store, writes the entry of this instance again if it is missing, and
    /// applies the objects as they are at the end of the grace.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be encoded.
    pub async fn recover_from_returns(self: Rc<Self>, entry: InstanceEntry) -> Result<(), String> {
        let mut returned_at = self.returned_at.subscribe();
        while returned_at.changed().await.is_ok() {
            let instances = self.shared.peers().len() as u64 + 1;
            let spread_ms = REGISTRATION_SPREAD_MS
                .times(instances)
                .min(MAX_REGISTRATION_SPREAD_MS);
            sleep(Millis(rand::rng().random_range(0..=spread_ms.0))).await;
            if !self.is_registered(&entry.name) {
                info!("registering this instance again");
                Rc::clone(&self).register(entry.clone()).await?;
            }
            sleep(RETURN_GRACE_MS).await;
            for kind in [ObjectKind::Evacuations, ObjectKind::Instances] {
                let caches = self.caches.borrow();
                if let Some(cache) = caches.get(&kind) {
                    self.apply_objects(kind, cache.objects());
                }
            }
        }
        Ok(())
    }

    fn is_registered(&self, name: &str) -> bool {
        let caches = self.caches.borrow();
        let instances = caches.get(&ObjectKind::Instances);
        instances.is_some_and(|cache| cache.objects().contains_key(name))
    }
}

/// Returns the objects of a copy with those that are newer than it.
pub(super) fn merge_objects(
    kind: ObjectKind,
    known: &BTreeMap<String, StoredObject>,
    copy: BTreeMap<String, StoredObject>,
) -> BTreeMap<String, StoredObject> {
    let mut objects = copy;
    let name = CONFIGURATION_OBJECT_NAME;
    if kind != ObjectKind::Configuration {
        return objects;
    }
    let version = |object: Option<&StoredObject>| {
        let decoded = configuration::decode(&object?.content).ok();
        decoded.map(|configuration| configuration.version)
    };
    if let Some(newest) = known.get(name)
        && version(Some(newest)) > version(objects.get(name))
    {
        objects.insert(name.to_owned(), newest.clone());
    }
    objects
}
