//! Allocation of a deployment-wide limit to the instances.
//!
//! For each limit, one live instance is the allocator. Rendezvous hashing of the limit's
//! [`LimitPath`] selects it. Each instance reports its demand to the allocator once per interval,
//! and only for limits in use. The part of the limit that some instances do not need is allocated
//! to those whose demand is above an equal share.
//!
//! As long as only one instance acts as the allocator, the allocated shares never add up to more
//! than the limit. If an instance reports more requests in progress than its share, the allocator
//! counts the requests instead of the share.
//!
//! An instance without a valid share uses an equal share of the limit, and every instance may have
//! at least one request in progress, unless the limit is 0. The total can therefore exceed the
//! limit: by one equal share for each instance that waits for the reply to its first report, and
//! by 1 for each other instance. During a network partition, each side allocates the whole limit.

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
    pub report_interval_ms: Millis,
    /// How long a share is valid, counted from the report for which it was allocated.
    pub share_validity_ms: Millis,
}

impl Default for LimitShareSettings {
    fn default() -> Self {
        Self {
            report_interval_ms: Millis(1_000),
            share_validity_ms: Millis(3_500),
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

    /// Sets the number of live instances. The part of a limit that exceeds the total demand is
    /// divided equally among them.
    pub fn set_live_instances(&mut self, live_instances: u32) {
        self.live_instances = live_instances;
    }

    /// Records the demand of an instance and returns its share, or `None` if there is no limit for
    /// the path of the demand.
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
        report.valid_until = now + self.settings.share_validity_ms;
        let reserved_by_others: u32 = reports
            .iter()
            .filter(|&(&other, _)| other != instance)
            .map(|(_, report)| report.share.max(report.in_flight))
            .fold(0, u32::saturating_add);
        let demands: Vec<u32> = reports.values().map(|report| report.wanted).collect();
        let own_demand = demand.wanted.max(demand.in_flight);
        // The unused part of the limit is divided among all live instances, not only those that
        // have reported, because an instance needs its share when its first request arrives.
        let fair_share = fair_share(limit, &demands, own_demand, self.live_instances);
        let share = fair_share.min(limit.saturating_sub(reserved_by_others));
        if let Some(report) = reports.get_mut(&instance) {
            report.share = share;
        }
        Some(share)
    }

    /// Removes the reports that have expired.
    pub fn remove_expired_reports(&mut self, now: Millis) {
        self.reports.retain(|_, reports| {
            reports.retain(|_, report| now < report.valid_until);
            !reports.is_empty()
        });
    }

    /// Returns how long a share is valid, counted from the report for which it was allocated.
    #[must_use]
    pub fn share_validity(&self) -> Millis {
        self.settings.share_validity_ms
    }
}

/// Returns the max-min fair share of an instance whose demand is `own_demand`. If the limit exceeds
/// the total demand, the rest is divided equally among the instances and added.
///
/// `demands` has the demands of all instances that have reported, including `own_demand`.
fn fair_share(limit: u32, demands: &[u32], own_demand: u32, live_instances: u32) -> u32 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut unallocated = limit;
    for (index, &demand) in sorted.iter().enumerate() {
        let remaining_demands = (sorted.len() - index) as u32;
        let equal_share = unallocated / remaining_demands;
        if demand > equal_share {
            return own_demand.min(equal_share.max(1));
        }
        unallocated -= demand;
    }
    let receivers = live_instances.max(sorted.len() as u32).max(1);
    own_demand.saturating_add(unallocated / receivers)
}
