//! Which instance owns the queue of a stage service, and which instances watch the store.
//!
//! A small service has one queue, which any instance may own. A service with many targets has a
//! queue for each failure domain, so that the load of an owner stays bounded. The owner is the
//! first of the available instances by rendezvous hashing. Two owners of one queue still compute
//! correct results, but they form smaller batches and compete for the targets. Instances should
//! therefore agree on the owner: an instance announces when it shuts down and when it serves again,
//! and only instances that do not reply at all indicate a network partition.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::serving::batch::QueueName;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Maximum number of targets for which a service has a single queue.
const MAX_TARGETS_PER_OWNER: usize = 8;
/// Maximum mean size of a group of instances. The instances of a failure domain are divided into
/// groups, and one instance of each group watches the store. The largest configuration (1 MB) has
/// about 100 KB when it is compressed, and reaches a group of this size within a second over the
/// slowest links (10 Mbit/s).
const MAX_INSTANCES_PER_WATCHER: usize = 12;
/// Key by which the instances are ranked to select a watcher.
const STORE_WATCH_KEY: &str = "store-watch";
/// How long an instance counts as unavailable after the first failure to reach it; the time doubles
/// with each further failure. An instance that serves again announces itself.
const FIRST_UNREACHABLE_MS: Millis = Millis(3_000);
/// Maximum number of doublings of `FIRST_UNREACHABLE_MS`.
const MAX_DOUBLINGS: u32 = 2;
/// How long an instance counts as unavailable after it announced that it shuts down. By the end of
/// this time, it has restarted or cannot be reached.
const SHUTDOWN_MS: Millis = Millis(6_000);
/// A failure domain counts as partitioned if at least this many of its instances do not reply at
/// all.
const MIN_SILENT_FOR_PARTITION: usize = 2;

/// An instance that may own a queue.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Failure domain of the instance.
    pub failure_domain: &'a str,
    /// Bandwidth of its network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Unavailability {
    until: Millis,
    /// Consecutive failures to reach the instance.
    failures: u32,
    /// Whether there was no reply at all, as in a network partition.
    is_silent: bool,
}

/// Instances that are not selected as owners or watchers at present.
#[derive(Debug, Default)]
pub struct UnavailableInstances {
    unavailable: BTreeMap<String, Unavailability>,
}

impl UnavailableInstances {
    /// Records that an instance could not be reached, and returns the number of consecutive
    /// failures.
    ///
    /// `is_silent` is true if it did not reply at all, as in a network partition.
    pub fn record_unreachable(&mut self, now: Millis, name: &str, is_silent: bool) -> u32 {
        let entry = self.unavailable.entry(name.to_owned()).or_default();
        let doublings = entry.failures.min(MAX_DOUBLINGS);
        entry.until = now + FIRST_UNREACHABLE_MS.times(1 << doublings);
        entry.is_silent = is_silent;
        entry.failures += 1;
        entry.failures
    }

    /// Records that an instance shuts down; returns false if it was unavailable already.
    pub fn record_shutdown(&mut self, now: Millis, name: &str) -> bool {
        let was_unavailable = self.is_unavailable(now, name);
        let entry = Unavailability {
            until: now + SHUTDOWN_MS,
            ..Unavailability::default()
        };
        self.unavailable.insert(name.to_owned(), entry);
        !was_unavailable
    }

    /// Records that an instance serves requests.
    pub fn record_serving(&mut self, name: &str) {
        self.unavailable.remove(name);
    }

    /// Returns whether an instance counts as unavailable.
    #[must_use]
    pub fn is_unavailable(&self, now: Millis, name: &str) -> bool {
        self.unavailable
            .get(name)
            .is_some_and(|entry| entry.until > now)
    }

    /// Returns the failure domains that a network partition seems to separate from this instance.
    fn partitioned_domains<'a>(&self, now: Millis, peers: &[Member<'a>]) -> BTreeSet<&'a str> {
        let mut silent_instances: BTreeMap<&str, usize> = BTreeMap::new();
        for peer in peers {
            let entry = self.unavailable.get(peer.name);
            if entry.is_some_and(|entry| entry.is_silent && entry.until > now) {
                *silent_instances.entry(peer.failure_domain).or_default() += 1;
            }
        }
        let partitioned_domains = silent_instances
            .into_iter()
            .filter(|&(_, count)| count >= MIN_SILENT_FOR_PARTITION);
        partitioned_domains.map(|(domain, _)| domain).collect()
    }
}

/// Returns the queue for pieces whose results are needed in the failure domain `result_domain`.
///
/// `target_domains` holds the failure domain of each usable target of the service.
pub fn queue_name<'a>(
    service: &str,
    result_domain: &str,
    target_domains: impl Iterator<Item = &'a str>,
) -> QueueName {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for domain in target_domains {
        *counts.entry(domain).or_default() += 1;
    }
    let is_split = counts.values().sum::<usize>() > MAX_TARGETS_PER_OWNER;
    let domain = if counts.contains_key(result_domain) {
        Some(result_domain)
    } else {
        // If no target is in the domain, the pieces go to the domain with the most targets.
        let largest = counts.iter().max_by_key(|&(_, &count)| count);
        largest.map(|(&domain, _)| domain)
    };
    QueueName {
        service: service.to_owned(),
        failure_domain: domain.filter(|_| is_split).map(str::to_owned),
    }
}

/// Returns the owner of a queue, as seen by the instance `local`.
///
/// `peers` are the other instances. If `is_shutting_down` is true, the local instance is shutting
/// down and owns the queue only if no other instance can.
#[must_use]
pub fn owner<'a>(
    now: Millis,
    queue: &QueueName,
    local: Member<'a>,
    is_shutting_down: bool,
    peers: &[Member<'a>],
    unavailable: &UnavailableInstances,
) -> &'a str {
    let partitioned_domains = unavailable.partitioned_domains(now, peers);
    let domain = queue.failure_domain.as_deref();
    let is_candidate = |member: &Member<'_>| {
        let is_local = member.failure_domain == local.failure_domain;
        !unavailable.is_unavailable(now, member.name)
            && (is_local || !partitioned_domains.contains(member.failure_domain))
    };
    let is_in_queue_domain =
        |member: &Member<'_>| domain.is_none_or(|name| name == member.failure_domain);
    let mut candidates: Vec<&str> = peers
        .iter()
        .filter(|peer| is_in_queue_domain(peer) && is_candidate(peer))
        .map(|peer| peer.name)
        .collect();
    let local_may_own = is_in_queue_domain(&local) && !is_shutting_down;
    if candidates.is_empty() || local_may_own {
        candidates.push(local.name);
    }
    let key = format!("{}/{}", queue.service, domain.unwrap_or_default());
    rendezvous::owner(key.as_bytes(), candidates.into_iter()).unwrap_or(local.name)
}

/// Returns the watcher that the instance `local` should follow, or `None` if it should watch the
/// store itself.
///
/// The instances of a failure domain are divided into groups by a hash of their names, and each
/// group has one watcher. It has one of the fastest links, since it sends each change to all others.
/// Since a watcher belongs to the group of its followers, no instance follows a follower as long as
/// all instances have the same list. `peers` are the other instances. Instances that cannot reach the store are not followed. If the local instance cannot
/// reach it either, it watches the store only when there is no instance to follow.
#[must_use]
pub fn preferred_watcher<'a>(
    now: Millis,
    local: Member<'a>,
    is_shutting_down: bool,
    peers: &[Member<'a>],
    unavailable: &UnavailableInstances,
    is_store_unreachable_from: impl Fn(&str) -> bool,
) -> Option<&'a str> {
    let in_local_domain = peers
        .iter()
        .filter(|peer| peer.failure_domain == local.failure_domain);
    let groups = (in_local_domain.clone().count() + 1).div_ceil(MAX_INSTANCES_PER_WATCHER) as u64;
    let group_of = |name: &str| rendezvous::stable_hash(name.as_bytes()) % groups;
    let mut group: Vec<Member<'a>> = in_local_domain
        .filter(|peer| {
            group_of(peer.name) == group_of(local.name) && !is_store_unreachable_from(peer.name)
        })
        .copied()
        .collect();
    let queue = QueueName {
        service: STORE_WATCH_KEY.to_owned(),
        failure_domain: Some(local.failure_domain.to_owned()),
    };
    let mut may_not_watch = is_shutting_down || is_store_unreachable_from(local.name);
    let available = group
        .iter()
        .filter(|peer| !unavailable.is_unavailable(now, peer.name));
    let candidates = available.chain((!may_not_watch).then_some(&local));
    if let Some(fastest_mbps) = candidates.map(|member| member.link_mbps).max() {
        group.retain(|peer| peer.link_mbps == fastest_mbps);
        may_not_watch |= local.link_mbps < fastest_mbps;
    }
    let watcher = owner(now, &queue, local, may_not_watch, &group, unavailable);
    (watcher != local.name).then_some(watcher)
}
