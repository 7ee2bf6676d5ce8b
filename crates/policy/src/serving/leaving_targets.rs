//! Targets that have said in a response that they shut down.
//!
//! The list of targets lags and may be unreadable, so what a target says itself counts at once. It
//! holds for the incarnation that said it, whatever the list says, until a new incarnation begins.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// Maximum number of targets that are remembered; the ones that were marked first are forgotten.
const MAX_TARGETS: usize = 4_096;

/// A target that shuts down, as reported to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Identifier of the target.
    pub target: String,
    /// The run of the target that shuts down; `None` if its entry names none.
    pub incarnation: Option<u64>,
}

#[derive(Debug)]
struct Leaving {
    incarnation: Option<u64>,
    marked_at: Millis,
}

/// The targets that shut down, as known to one instance.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    targets: BTreeMap<String, Leaving>,
}

impl LeavingTargets {
    /// Records that an incarnation of a target shuts down; returns whether this is new.
    pub fn mark(&mut self, now: Millis, target: &str, incarnation: Option<u64>) -> bool {
        if self.contains(target, incarnation) {
            return false;
        }
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(target) {
            let oldest = self.targets.iter().min_by_key(|(_, known)| known.marked_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.targets.remove(&oldest);
            }
        }
        let leaving = Leaving {
            incarnation,
            marked_at: now,
        };
        self.targets.insert(target.to_owned(), leaving);
        true
    }

    /// Returns whether an incarnation of a target shuts down.
    #[must_use]
    pub fn contains(&self, target: &str, incarnation: Option<u64>) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|leaving| leaving.incarnation == incarnation)
    }

    /// Returns all targets that shut down, for an instance that has started.
    #[must_use]
    pub fn reports(&self) -> Vec<LeavingReport> {
        let reports = self.targets.iter().map(|(target, leaving)| LeavingReport {
            target: target.clone(),
            incarnation: leaving.incarnation,
        });
        reports.collect()
    }
}
