//! The limits on requests in progress, as this instance enforces them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::node::Node;
use crate::stop::Stop;
use crate::supervisor::ChildResult;
use arbutus_config::deployment::LimitEntry;
use arbutus_config::deployment::LimitsSpec;
use arbutus_coord::Millis;
use arbutus_coord::entity::Instance;
use arbutus_coord::entity::NameTable;
use arbutus_coord::rendezvous;
use arbutus_policy::limit_share::LimitShareAllocator;
use arbutus_policy::limit_share::LimitShareSettings;
use arbutus_policy::limits::InFlightLimiter;
use arbutus_policy::limits::LimitDemand;
use arbutus_policy::limits::LimitDenied;
use arbutus_policy::limits::LimitPath;
use arbutus_policy::limits::LimitPermit;
use arbutus_policy::limits::LimitRule;
use arbutus_policy::limits::LimitStatus;
use arbutus_policy::limits::LimitTree;
use arbutus_policy::limits::LimitsSettings;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::LimitDemandEntry;
use arbutus_wire::datagram::LimitShareEntry;

/// The entries in a datagram, which keeps it under its size limit.
const MAX_ENTRIES: usize = 8;

/// The requests in progress and the limits on them.
#[derive(Debug)]
pub struct InstanceLimits {
    limits: Mutex<InFlightLimiter>,
    division: Mutex<Division>,
}

/// The limits that this instance divides among all.
#[derive(Debug)]
struct Division {
    instances: NameTable<Instance>,
    divider: LimitShareAllocator,
}

/// A request that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct LimitGuard<'a> {
    gate: &'a InstanceLimits,
    entry: Option<LimitPermit>,
}

impl InstanceLimits {
    /// Creates a gate without limits.
    ///
    /// # Panics
    ///
    /// Panics when the absence of limits is not valid, which cannot be.
    #[must_use]
    pub fn new() -> Self {
        let tree = tree(&LimitsSpec::default()).expect("no limits are valid limits");
        Self {
            limits: Mutex::new(InFlightLimiter::new(tree, 1)),
            division: Mutex::new(Division {
                instances: NameTable::new(),
                divider: LimitShareAllocator::new(LimitShareSettings::default()),
            }),
        }
    }

    /// Takes over the limits of a new configuration, all at once.
    pub fn set_limits(&self, spec: &LimitsSpec) {
        // Validation has accepted the same limits before they were committed.
        if let Some(tree) = tree(spec) {
            self.lock().replace(tree);
        }
    }

    /// Takes over the number of instances among which the limits are divided.
    pub fn set_live_instances(&self, live_instances: usize) {
        let live_instances = u32::try_from(live_instances).unwrap_or(u32::MAX).max(1);
        self.lock().set_live_instances(live_instances);
        let mut division = self.division.lock().unwrap_or_else(PoisonError::into_inner);
        division.divider.set_live_instances(live_instances);
    }

    /// Counts a request if every level allows one more.
    ///
    /// # Errors
    ///
    /// Returns the lowest level that denies it.
    pub fn acquire(
        &self,
        now: Millis,
        organisation: &str,
        class: &str,
        pipeline: &str,
    ) -> Result<LimitGuard<'_>, LimitDenied> {
        let path = LimitPath::new(organisation, class, pipeline);
        let entry = self.lock().try_acquire(now, &path)?;
        Ok(LimitGuard {
            gate: self,
            entry: Some(entry),
        })
    }

    /// Returns the demand for each limit that has been in use since the last call.
    #[must_use]
    pub fn take_demand(&self, now: Millis) -> Vec<LimitDemand> {
        self.lock().take_demand(now)
    }

    /// Takes over shares that the instances that divide the limits have assigned.
    pub fn set_shares(&self, shares: Vec<LimitShareEntry>) {
        let mut limits = self.lock();
        for LimitShareEntry {
            path,
            share,
            reported_at,
            valid_ms,
        } in shares
        {
            limits.set_share(path, share, reported_at, valid_ms);
        }
    }

    /// Divides limits for an instance that reports its demand.
    #[must_use]
    pub fn allocate_shares(
        &self,
        now: Millis,
        instance: &str,
        demands: &[LimitDemandEntry],
    ) -> Vec<LimitShareEntry> {
        let limits = self.lock();
        let mut division = self.division.lock().unwrap_or_else(PoisonError::into_inner);
        let instance = division.instances.intern(instance);
        division.divider.remove_expired_reports(now);
        let valid_ms = division.divider.valid_ms();
        demands
            .iter()
            .filter_map(
                |LimitDemandEntry {
                     demand,
                     reported_at,
                 }| {
                    let share = division
                        .divider
                        .allocate(now, limits.tree(), instance, demand)?;
                    let path = demand.path.clone();
                    Some(LimitShareEntry {
                        path,
                        share,
                        reported_at: *reported_at,
                        valid_ms,
                    })
                },
            )
            .collect()
    }

    /// Returns use and limit of every level that is in use.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        self.lock().status(now)
    }

    fn lock(&self) -> MutexGuard<'_, InFlightLimiter> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for LimitGuard<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take() {
            self.gate.lock().release(entry);
        }
    }
}

/// Reports the demand for limits to the instances that divide them, until the stop flag is raised.
///
/// # Errors
///
/// Never returns an error: without an answer the instance uses an even part of the limit.
pub fn run_demand_reports(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    while !stop.wait(LimitShareSettings::default().report_ms) {
        let reported_at = node.now();
        let live = node.live_everywhere();
        let mut by_divider: BTreeMap<String, Vec<LimitDemandEntry>> = BTreeMap::new();
        for demand in node.limits.take_demand(reported_at) {
            let path = demand.path.to_string();
            let members = live.iter().map(String::as_str);
            let Some(divider) = rendezvous::owner(path.as_bytes(), members) else {
                continue;
            };
            let entry = LimitDemandEntry {
                demand,
                reported_at,
            };
            by_divider
                .entry(divider.to_owned())
                .or_default()
                .push(entry);
        }
        for (divider, demands) in by_divider {
            if divider == node.settings.name {
                node.limits.set_shares(node.limits.allocate_shares(
                    reported_at,
                    &divider,
                    &demands,
                ));
                continue;
            }
            for demands in demands.chunks(MAX_ENTRIES) {
                node.send(&divider, DatagramBody::LimitDemand(demands.to_vec()));
            }
        }
    }
    Ok(())
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
