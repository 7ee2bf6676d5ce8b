//! When the versions of each service were first seen.
//!
//! Orders and targets are read with different calls, so new targets may be known before their order
//! is. A further version of a service is therefore not used at once.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_directory::TargetDirectory;

/// How long a further version of a service is not used without an order. A change of the store takes
/// effect within 2 s, also if the response of a watch is lost.
const HOLD_MS: Millis = Millis(2_200);

/// The versions of the targets of each service, with the time at which they were first seen.
#[derive(Debug, Default)]
pub(super) struct FirstSeen {
    services: BTreeMap<String, BTreeMap<Option<String>, Millis>>,
}

impl FirstSeen {
    /// Records the versions of the usable targets of a service, and forgets versions without targets.
    pub(super) fn update(&mut self, now: Millis, directory: &TargetDirectory, service: &str) {
        let versions = self.services.entry(service.to_owned()).or_default();
        let is_unchanged = directory
            .usable(service)
            .all(|known| versions.contains_key(&known.entry.version));
        if !is_unchanged {
            for known in directory.usable(service) {
                let version = known.entry.version.clone();
                versions.entry(version).or_insert(now);
            }
        }
        versions.retain(|version, _| {
            let mut usable = directory.usable(service);
            usable.any(|known| known.entry.version == *version)
        });
    }

    /// Returns whether a target may not be used yet: its version is new, and another one has been
    /// used before.
    pub(super) fn is_held(&self, now: Millis, entry: &TargetEntry) -> bool {
        let Some(versions) = self.services.get(&entry.service) else {
            return false;
        };
        let Some(&seen_at) = versions.get(&entry.version) else {
            return false;
        };
        seen_at + HOLD_MS > now && versions.values().any(|&other| other < seen_at)
    }
}
