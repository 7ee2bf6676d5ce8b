//! Enforces the limits on requests in progress at this instance, and allocates shares of them to
//! other instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::node::Node;
use crate::stop_signal::StopSignal;
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

/// The largest number of demands in a datagram. It keeps the datagram below its size limit.
const MAX_DATAGRAM_ENTRIES: usize = 8;

/// The limits on requests in progress at this instance, and the allocation of limit shares.
#[derive(Debug)]
pub struct InstanceLimits {
    limiter: Mutex<InFlightLimiter>,
    allocation: Mutex<ShareAllocation>,
}

/// The allocation of the limits for which this instance is the allocator.
#[derive(Debug)]
struct ShareAllocation {
    instances: NameTable<Instance>,
    allocator: LimitShareAllocator,
}

/// Counts a request against the limits until the guard is dropped.
#[derive(Debug)]
pub struct LimitGuard<'a> {
    limits: &'a InstanceLimits,
    permit: Option<LimitPermit>,
}

impl InstanceLimits {
    /// Creates the state without any limit.
    ///
    /// # Panics
    ///
    /// Panics if the default limits are invalid, which is not possible: they are empty.
    #[must_use]
    pub fn new() -> Self {
        let tree = limit_tree(&LimitsSpec::default()).expect("the default limits are valid");
        Self {
            limiter: Mutex::new(InFlightLimiter::new(tree, 1)),
            allocation: Mutex::new(ShareAllocation {
                instances: NameTable::new(),
                allocator: LimitShareAllocator::new(LimitShareSettings::default()),
            }),
        }
    }

    /// Replaces all limits by those of a new configuration.
    pub fn set_limits(&self, spec: &LimitsSpec) {
        // The limits are valid, because a configuration is validated before it is published.
        if let Some(tree) = limit_tree(spec) {
            self.lock().replace(tree);
        }
    }

    /// Sets the number of live instances among which the limits are divided.
    pub fn set_live_instances(&self, live_instances: usize) {
        let live_instances = u32::try_from(live_instances).unwrap_or(u32::MAX).max(1);
        self.lock().set_live_instances(live_instances);
        let mut allocation = self
            .allocation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        allocation.allocator.set_live_instances(live_instances);
    }

    /// Counts a request against the limits of its organisation, class and pipeline.
    ///
    /// # Errors
    ///
    /// Returns the lowest level at which this instance has used up its share of the limit.
    pub fn acquire(
        &self,
        now: Millis,
        organisation: &str,
        class: &str,
        pipeline: &str,
    ) -> Result<LimitGuard<'_>, LimitDenied> {
        let path = LimitPath::new(organisation, class, pipeline);
        let permit = self.lock().try_acquire(now, &path)?;
        Ok(LimitGuard {
            limits: self,
            permit: Some(permit),
        })
    }

    /// Returns the demand for each limit that has been in use since the last call, and starts the
    /// next reporting period.
    #[must_use]
    pub fn take_demand(&self, now: Millis) -> Vec<LimitDemand> {
        self.lock().take_demand(now)
    }

    /// Sets the shares of limits that their allocators have assigned to this instance.
    pub fn set_shares(&self, shares: Vec<LimitShareEntry>) {
        let mut limiter = self.lock();
        for LimitShareEntry {
            path,
            share,
            reported_at,
            valid_ms,
        } in shares
        {
            limiter.set_share(path, share, reported_at, valid_ms);
        }
    }

    /// Allocates shares of limits to an instance that reports its demand. `instance` is its name.
    #[must_use]
    pub fn allocate_shares(
        &self,
        now: Millis,
        instance: &str,
        demands: &[LimitDemandEntry],
    ) -> Vec<LimitShareEntry> {
        let limiter = self.lock();
        let mut allocation = self
            .allocation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let instance = allocation.instances.intern(instance);
        allocation.allocator.remove_expired_reports(now);
        let valid_ms = allocation.allocator.share_validity();
        demands
            .iter()
            .filter_map(
                |LimitDemandEntry {
                     demand,
                     reported_at,
                 }| {
                    let share =
                        allocation
                            .allocator
                            .allocate(now, limiter.tree(), instance, demand)?;
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

    /// Returns the requests in progress and the limit of each level that is in use.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        self.lock().status(now)
    }

    fn lock(&self) -> MutexGuard<'_, InFlightLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for LimitGuard<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.limits.lock().release(permit);
        }
    }
}

/// Reports the demand for each limit to its allocator, until the stop signal is raised. The
/// allocator is a live instance that rendezvous hashing selects by the path of the limit.
///
/// # Errors
///
/// Never returns an error. Without a response the instance uses an equal share of the limit.
pub fn run_demand_reports(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    while !stop.wait(LimitShareSettings::default().report_interval_ms) {
        let reported_at = node.now();
        let live = node.all_live_instances();
        let mut by_allocator: BTreeMap<String, Vec<LimitDemandEntry>> = BTreeMap::new();
        for demand in node.limits.take_demand(reported_at) {
            let path = demand.path.to_string();
            let members = live.iter().map(String::as_str);
            let Some(allocator) = rendezvous::owner(path.as_bytes(), members) else {
                continue;
            };
            let entry = LimitDemandEntry {
                demand,
                reported_at,
            };
            by_allocator
                .entry(allocator.to_owned())
                .or_default()
                .push(entry);
        }
        for (allocator, demands) in by_allocator {
            if allocator == node.settings.name {
                node.limits.set_shares(node.limits.allocate_shares(
                    reported_at,
                    &allocator,
                    &demands,
                ));
                continue;
            }
            for demands in demands.chunks(MAX_DATAGRAM_ENTRIES) {
                node.send_datagram(&allocator, DatagramBody::LimitDemand(demands.to_vec()));
            }
        }
    }
    Ok(())
}

fn limit_tree(spec: &LimitsSpec) -> Option<LimitTree> {
    let settings = LimitsSettings {
        max_in_flight: spec.max_in_flight,
        organisations: spec.organisations.iter().map(limit_rule).collect(),
    };
    LimitTree::new(settings).ok()
}

fn limit_rule(entry: &LimitEntry) -> LimitRule {
    LimitRule {
        names: entry.names.clone(),
        max_in_flight: entry.max_in_flight,
        child_rules: entry.within.iter().map(limit_rule).collect(),
    }
}
