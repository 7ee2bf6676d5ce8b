//! Allocation of a deployment-wide limit to the instances.
//!
//! For each limit, one live instance is the allocator, chosen by rendezvous hashing of the limit's
//! path. The others report their demand to it once per interval, and only for limits in use. An
//! instance with more demand may receive what the others do not need. As long as there is one
//! allocator, the shares that it allocates never add up to more than the limit; an instance that
//! reports more requests than its share counts with these requests.
//!
//! An instance without a valid share uses an equal share of the limit, and every instance may run
//! at least one request. The total can therefore exceed the limit by one equal share for each
//! instance whose first report has not been answered, and by 1 for each other instance. During a
//! network partition each side allocates the whole limit.

use std::collections::BTreeMap;

use crate::limits::LimitDemand;
use crate::limits::LimitPath;
use crate::limits::LimitTree;
use arbutus_coord::Millis;
use arbutus_coord::entity::Instance;

/// Settings of the allocation of limits.
#[derive(Clone, Copy, Debug)]
pub struct LimitShareSettings {
    /// The interval at which an instance reports its demand.
    pub report_ms: Millis,
    /// How long a share is valid after the report that it answers.
    pub valid_ms: Millis,
}

impl Default for LimitShareSettings {
    fn default() -> Self {
        Self {
            report_ms: Millis(1_000),
            valid_ms: Millis(3_500),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    in_flight: u32,
    wanted: u32,
    share: u32,
    valid_until: Millis,
}

/// Allocates the shares of the limits for which this instance is the allocator.
#[derive(Debug)]
pub struct LimitShareAllocator {
    settings: LimitShareSettings,
    live_instances: u32,
    reports: BTreeMap<LimitPath, BTreeMap<Instance, Report>>,
}

impl LimitShareAllocator {
    /// Creates an allocator without reports and with one live instance.
    #[must_use]
    pub fn new(settings: LimitShareSettings) -> Self {
        Self {
            settings,
            live_instances: 1,
            reports: BTreeMap::new(),
        }
    }

    /// Sets the number of live instances, which share equally what no instance demands.
    pub fn set_live_instances(&mut self, live_instances: u32) {
        self.live_instances = live_instances;
    }

    /// Records the demand of an instance and returns its share, or `None` if the level has no
    /// limit.
    pub fn allocate(
        &mut self,
        now: Millis,
        tree: &LimitTree,
        instance: Instance,
        demand: &LimitDemand,
    ) -> Option<u32> {
        let limit = tree.limit(&demand.path)?;
        let reports = self.reports.entry(demand.path.clone()).or_default();
        reports.retain(|&other, report| other == instance || now < report.valid_until);
        let report = reports.entry(instance).or_insert(Report {
            in_flight: 0,
            wanted: 0,
            share: 0,
            valid_until: now,
        });
        report.in_flight = demand.in_flight;
        report.wanted = demand.wanted.max(demand.in_flight);
        report.valid_until = now + self.settings.valid_ms;
        let others: u32 = reports
            .iter()
            .filter(|&(&other, _)| other != instance)
            .map(|(_, report)| report.share.max(report.in_flight))
            .fold(0, u32::saturating_add);
        let demands: Vec<u32> = reports.values().map(|report| report.wanted).collect();
        let own = demand.wanted.max(demand.in_flight);
        // Unused slots are kept for instances that have not reported yet, because they need their
        // shares when their first request arrives.
        let fair = fair_share(limit, &demands, own, self.live_instances);
        let share = fair.min(limit.saturating_sub(others));
        if let Some(report) = reports.get_mut(&instance) {
            report.share = share;
        }
        Some(share)
    }

    /// Removes reports that have expired, and limits without any report.
    pub fn remove_expired_reports(&mut self, now: Millis) {
        self.reports.retain(|_, reports| {
            reports.retain(|_, report| now < report.valid_until);
            !reports.is_empty()
        });
    }

    /// Returns how long a share is valid after the report that it answers.
    #[must_use]
    pub fn valid_ms(&self) -> Millis {
        self.settings.valid_ms
    }
}

/// Returns the max-min fair share for the demand `own`, plus an equal share of what is left over.
///
/// `demands` has the demands of all instances, including `own`.
fn fair_share(limit: u32, demands: &[u32], own: u32, live_instances: u32) -> u32 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut left = limit;
    for (index, &demand) in sorted.iter().enumerate() {
        let remaining = (sorted.len() - index) as u32;
        let equal_share = left / remaining;
        if demand > equal_share {
            return own.min(equal_share.max(1));
        }
        left -= demand;
    }
    let receivers = live_instances.max(sorted.len() as u32).max(1);
    own.saturating_add(left / receivers)
}
