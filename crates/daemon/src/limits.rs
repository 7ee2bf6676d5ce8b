//! The limits on requests in progress, as this instance enforces them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutus_config::deployment::LimitEntry;
use arbutus_config::deployment::LimitsSpec;
use arbutus_coord::Millis;
use arbutus_policy::limits::Entry;
use arbutus_policy::limits::LimitDenied;
use arbutus_policy::limits::LimitPath;
use arbutus_policy::limits::LimitRule;
use arbutus_policy::limits::LimitStatus;
use arbutus_policy::limits::LimitTree;
use arbutus_policy::limits::Limits;
use arbutus_policy::limits::LimitsSettings;

/// The requests in progress and the limits on them.
#[derive(Debug)]
pub struct LimitGate {
    limits: Mutex<Limits>,
}

/// A request that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct Counted<'a> {
    gate: &'a LimitGate,
    entry: Option<Entry>,
}

impl LimitGate {
    /// Creates a gate without limits.
    ///
    /// # Panics
    ///
    /// Panics when the absence of limits is not valid, which cannot be.
    #[must_use]
    pub fn new() -> Self {
        let tree = tree(&LimitsSpec::default()).expect("no limits are valid limits");
        Self {
            limits: Mutex::new(Limits::new(tree, 1)),
        }
    }

    /// Takes over the limits of a new configuration, all at once.
    pub fn replace(&self, spec: &LimitsSpec) {
        // Validation has accepted the same limits before they were committed.
        if let Some(tree) = tree(spec) {
            self.lock().replace(tree);
        }
    }

    /// Takes over the number of instances among which the limits are divided.
    pub fn set_live_instances(&self, live_instances: usize) {
        self.lock()
            .set_live_instances(u32::try_from(live_instances).unwrap_or(u32::MAX).max(1));
    }

    /// Counts a request if every level allows one more.
    ///
    /// # Errors
    ///
    /// Returns the lowest level that denies it.
    pub fn enter(
        &self,
        now: Millis,
        organisation: &str,
        class: &str,
        pipeline: &str,
    ) -> Result<Counted<'_>, LimitDenied> {
        let path = LimitPath::new(organisation, class, pipeline);
        let entry = self.lock().try_enter(now, &path)?;
        Ok(Counted {
            gate: self,
            entry: Some(entry),
        })
    }

    /// Returns use and limit of every level that is in use.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        self.lock().status(now)
    }

    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for LimitGate {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take() {
            self.gate.lock().leave(entry);
        }
    }
}

fn tree(spec: &LimitsSpec) -> Option<LimitTree> {
    let settings = LimitsSettings {
        max_in_flight: spec.max_in_flight,
        organisations: spec.organisations.iter().map(rule).collect(),
    };
    LimitTree::new(settings).ok()
}

fn rule(entry: &LimitEntry) -> LimitRule {
    LimitRule {
        names: entry.names.clone(),
        max_in_flight: entry.max_in_flight,
        within: entry.within.iter().map(rule).collect(),
    }
}
