//! Which instance owns the queue of a stage service, and which ones watch the store.
//!
//! Small services have one queue, whose owner is any instance; the targets of large ones are
//! divided by failure domain, so that the work of an owner stays bounded. The owner is the instance
//! that ranks first by rendezvous hashing among those that are not absent. Two owners of one queue
//! are harmless but make smaller calls, so instances should agree: an instance that stops or serves
//! again says so, and only one that does not answer at all counts as behind a cut.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::serving::batch::QueueName;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Up to this number of targets, one owner serves the whole service.
const TARGETS_OF_ONE_OWNER: usize = 8;
/// The instances of a failure domain that share one watching instance. A configuration of 100 KB
/// reaches them within a second over the slowest links (10 Mbit/s).
const INSTANCES_OF_ONE_WATCHER: usize = 12;
/// The key by which the watching instance is ranked.
const STORE_WATCH: &str = "store-watch";
/// How long an instance that could not be reached is not asked again; doubles each time. An
/// instance that serves again announces itself.
const UNREACHABLE_MS: Millis = Millis(3_000);
/// The most doublings of that time.
const MAX_DOUBLINGS: u32 = 2;
/// How long an instance that stops is not asked again; it is back after that or unreachable.
const LEAVING_MS: Millis = Millis(6_000);
/// The silent instances after which their failure domain counts as cut off.
const CUT_OFF: usize = 2;

/// An instance that may own a queue.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The name of the instance.
    pub name: &'a str,
    /// The failure domain that it is in.
    pub failure_domain: &'a str,
}

#[derive(Clone, Copy, Debug, Default)]
struct Absence {
    until: Millis,
    /// How often the instance could not be reached since it was there last.
    failures: u32,
    /// Whether it did not answer at all, as behind a cut.
    is_silent: bool,
}

/// The instances that one instance does not submit to at present.
#[derive(Debug, Default)]
pub struct UnavailableInstances {
    absences: BTreeMap<String, Absence>,
}

impl UnavailableInstances {
    /// Records that an instance could not be reached, and returns how often that happened.
    pub fn record_unreachable(&mut self, now: Millis, name: &str, is_silent: bool) -> u32 {
        let absence = self.absences.entry(name.to_owned()).or_default();
        let doublings = absence.failures.min(MAX_DOUBLINGS);
        absence.until = now + UNREACHABLE_MS.times(1 << doublings);
        absence.is_silent = is_silent;
        absence.failures += 1;
        absence.failures
    }

    /// Records that an instance stops; returns whether that was not known.
    pub fn record_leaving(&mut self, now: Millis, name: &str) -> bool {
        let was_absent = self.is_unavailable(now, name);
        let absence = Absence {
            until: now + LEAVING_MS,
            ..Absence::default()
        };
        self.absences.insert(name.to_owned(), absence);
        !was_absent
    }

    /// Records that an instance serves.
    pub fn record_serving(&mut self, name: &str) {
        self.absences.remove(name);
    }

    /// Returns whether an instance is absent.
    #[must_use]
    pub fn is_unavailable(&self, now: Millis, name: &str) -> bool {
        self.absences
            .get(name)
            .is_some_and(|absence| absence.until > now)
    }

    /// Returns the failure domains that seem to be behind a cut.
    fn cut_off<'a>(&self, now: Millis, members: &[Member<'a>]) -> BTreeSet<&'a str> {
        let mut silent: BTreeMap<&str, usize> = BTreeMap::new();
        for member in members {
            let absence = self.absences.get(member.name);
            if absence.is_some_and(|absence| absence.is_silent && absence.until > now) {
                *silent.entry(member.failure_domain).or_default() += 1;
            }
        }
        let cut_off = silent.into_iter().filter(|&(_, count)| count >= CUT_OFF);
        cut_off.map(|(domain, _)| domain).collect()
    }
}

/// Returns the queue for work that is wanted in a failure domain.
///
/// `target_domains` are the failure domains of the service's usable targets, one for each target.
pub fn queue_name<'a>(
    service: &str,
    wanted_domain: &str,
    target_domains: impl Iterator<Item = &'a str>,
) -> QueueName {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for domain in target_domains {
        *counts.entry(domain).or_default() += 1;
    }
    let is_large = counts.values().sum::<usize>() > TARGETS_OF_ONE_OWNER;
    let domain = if counts.contains_key(wanted_domain) {
        Some(wanted_domain)
    } else {
        // Without targets where the results are wanted, the domain with most of them does the work.
        let largest = counts.iter().max_by_key(|&(_, &count)| count);
        largest.map(|(&domain, _)| domain)
    };
    QueueName {
        service: service.to_owned(),
        failure_domain: domain.filter(|_| is_large).map(str::to_owned),
    }
}

/// Returns the owner of a queue as one instance sees it.
///
/// `members` are the other instances. An instance that `is_leaving` owns nothing itself unless
/// there is nobody else.
#[must_use]
pub fn owner<'a>(
    now: Millis,
    queue: &QueueName,
    own: Member<'a>,
    is_leaving: bool,
    members: &[Member<'a>],
    absences: &UnavailableInstances,
) -> &'a str {
    let cut_off = absences.cut_off(now, members);
    let domain = queue.failure_domain.as_deref();
    let is_allowed = |member: &Member<'_>| {
        let is_near = member.failure_domain == own.failure_domain;
        !absences.is_unavailable(now, member.name)
            && (is_near || !cut_off.contains(member.failure_domain))
    };
    let in_domain = |member: &Member<'_>| domain.is_none_or(|name| name == member.failure_domain);
    let mut names: Vec<&str> = members
        .iter()
        .filter(|member| in_domain(member) && is_allowed(member))
        .map(|member| member.name)
        .collect();
    let may_own = in_domain(&own) && !is_leaving;
    if names.is_empty() || may_own {
        names.push(own.name);
    }
    let key = format!("{}/{}", queue.service, domain.unwrap_or_default());
    rendezvous::owner(key.as_bytes(), names.into_iter()).unwrap_or(own.name)
}

/// Returns the instance that another one follows instead of watching the store, if any.
///
/// The instances of a failure domain are divided into groups by their names, and the first of a
/// group watches for it. Whoever is followed is in the same group, so nobody follows a follower
/// while the views agree. `members` are the other instances; those that are blind, perhaps the
/// instance itself, do not know the present state of the store.
#[must_use]
pub fn store_watcher<'a>(
    now: Millis,
    own: Member<'a>,
    is_leaving: bool,
    members: &[Member<'a>],
    absences: &UnavailableInstances,
    is_store_unreachable_from: impl Fn(&str) -> bool,
) -> Option<&'a str> {
    let near = members
        .iter()
        .filter(|member| member.failure_domain == own.failure_domain);
    let groups = (near.clone().count() + 1).div_ceil(INSTANCES_OF_ONE_WATCHER) as u64;
    let group_of = |name: &str| rendezvous::stable_hash(name.as_bytes()) % groups;
    let group: Vec<Member<'a>> = near
        .filter(|member| {
            group_of(member.name) == group_of(own.name) && !is_store_unreachable_from(member.name)
        })
        .copied()
        .collect();
    let queue = QueueName {
        service: STORE_WATCH.to_owned(),
        failure_domain: Some(own.failure_domain.to_owned()),
    };
    let steps_back = is_leaving || is_store_unreachable_from(own.name);
    let first = owner(now, &queue, own, steps_back, &group, absences);
    (first != own.name).then_some(first)
}
