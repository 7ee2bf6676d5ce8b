//! Which of the new targets get the small share of requests before the shift.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::target_group;
use arbutus_coord::rendezvous;

/// Number of new targets that get the share at least, if there are as many. With one target, a slow
/// target could not be told from a bad version.
const MIN_CANARY_TARGETS: u32 = 2;

/// Number of targets of each version that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableTargets {
    /// Targets of the version from before the order.
    pub old: u32,
    /// Targets of the ordered version; cold targets are not usable.
    pub new: u32,
}

/// Returns the number of new targets on which a share of the requests is as much load per target as
/// the rest of the requests is on the old targets.
#[must_use]
pub fn canary_target_count(targets: UsableTargets, new_share: f64) -> u32 {
    let as_loaded = f64::from(targets.old) * new_share / (1.0 - new_share).max(0.01);
    (as_loaded as u32).max(MIN_CANARY_TARGETS).min(targets.new)
}

/// Returns `count` of the new targets that are usable, the same ones at all instances that know the
/// same targets.
///
/// They are of different groups as far as possible, so that the evidence of each is separate.
pub fn canary_targets<'a>(
    service: &str,
    revision: u64,
    usable: impl Iterator<Item = &'a str>,
    count: u32,
) -> Vec<&'a str> {
    let key = format!("{service}/{revision}");
    let mut ranked: Vec<&str> = usable.collect();
    ranked.sort_by_key(|target| {
        let weight = rendezvous::weight(key.as_bytes(), target);
        (Reverse(weight), *target)
    });
    let mut groups = BTreeSet::new();
    let (mut chosen, others): (Vec<&str>, Vec<&str>) = ranked
        .into_iter()
        .partition(|target| groups.insert(target_group(target)));
    chosen.extend(others);
    chosen.truncate(count as usize);
    chosen
}
