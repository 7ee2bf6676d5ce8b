//! Division of a limit for the deployment among its instances.
//!
//! One live instance divides each limit; which one is computed by rendezvous hashing of the path.
//! The others report their demand to it once per interval, and only for limits that are in use. A
//! share that is not needed elsewhere may be used. While one instance divides, the shares that it
//! assigned and the requests that were reported never exceed the limit together.
//!
//! An instance without a valid share uses an even part of the limit, and every instance may run
//! one request. The sum can therefore exceed the limit by one even part for each instance whose
//! first report has not been answered, and by 1 for each other instance. During a partition each
//! side divides the whole limit.

use std::collections::BTreeMap;

use crate::limits::LimitDemand;
use crate::limits::LimitPath;
use crate::limits::LimitTree;
use arbutus_coord::Millis;
use arbutus_coord::entity::Instance;

/// Settings of the division of limits.
#[derive(Clone, Copy, Debug)]
pub struct LimitShareSettings {
    /// How often an instance reports its demand.
    pub report_ms: Millis,
    /// How long a share is valid after the report.
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

/// The divider of the limits that one instance is responsible for.
#[derive(Debug)]
pub struct LimitShareAllocator {
    settings: LimitShareSettings,
    live_instances: u32,
    reports: BTreeMap<LimitPath, BTreeMap<Instance, Report>>,
}

impl LimitShareAllocator {
    /// Creates a divider without reports.
    #[must_use]
    pub fn new(settings: LimitShareSettings) -> Self {
        Self {
            settings,
            live_instances: 1,
            reports: BTreeMap::new(),
        }
    }

    /// Sets the number of live instances, among which the part is divided that nobody needs.
    pub fn set_live_instances(&mut self, live_instances: u32) {
        self.live_instances = live_instances;
    }

    /// Takes a report and returns the instance's share, or nothing without a limit.
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
        let wanted: Vec<u32> = reports.values().map(|report| report.wanted).collect();
        let mine = demand.wanted.max(demand.in_flight);
        // An instance that has not reported yet needs its part when its first request arrives.
        let fair = fair_share(limit, &wanted, mine, self.live_instances);
        let share = fair.min(limit.saturating_sub(others));
        if let Some(report) = reports.get_mut(&instance) {
            report.share = share;
        }
        Some(share)
    }

    /// Forgets limits that are no longer in use.
    pub fn remove_expired_reports(&mut self, now: Millis) {
        self.reports.retain(|_, reports| {
            reports.retain(|_, report| now < report.valid_until);
            !reports.is_empty()
        });
    }

    /// Returns the validity of a share.
    #[must_use]
    pub fn valid_ms(&self) -> Millis {
        self.settings.valid_ms
    }
}

/// Returns the max-min fair share of one of the demands, with an even part of what is left over.
fn fair_share(limit: u32, wanted: &[u32], mine: u32, live_instances: u32) -> u32 {
    let mut sorted = wanted.to_vec();
    sorted.sort_unstable();
    let mut left = limit;
    for (index, &demand) in sorted.iter().enumerate() {
        let remaining = (sorted.len() - index) as u32;
        let level = left / remaining;
        if demand > level {
            return mine.min(level.max(1));
        }
        left -= demand;
    }
    let parts = live_instances.max(sorted.len() as u32).max(1);
    mine.saturating_add(left / parts)
}
