//! Guards against the selection of targets without a free slot, against the overload of an engine
//! by many prompts with the same prefix, and against targets that no instance uses.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Target;
use arbutus_policy::balance::BalancingStrategy;
use arbutus_policy::balance::Candidate;
use arbutus_policy::balance::LoadBalancer;
use arbutus_policy::balance::LoadBalancerSettings;
use arbutus_policy::balance::prefix_key;
use arbutus_policy::balance::target_subset;

const NAMES: [&str; 8] = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"];

fn candidate(index: usize, load: u32) -> Candidate<'static> {
    Candidate {
        target: Target::from_index(index as u32),
        name: NAMES[index],
        breaker_allows_calls: true,
        free_slots: 1,
        capacity: 8,
        load,
        latency_ms: Some(Millis(20)),
    }
}

/// The fields `breaker_allows_calls`, `free_slots`, `capacity`, `load` and `latency_ms` of a
/// candidate.
type CandidateState = (bool, u8, u8, u8, u8);

fn selected_target_is_usable(
    targets: Vec<CandidateState>,
    prefix: Option<u64>,
    random: u64,
) -> bool {
    let candidates: Vec<Candidate<'_>> = targets
        .into_iter()
        .take(NAMES.len())
        .enumerate()
        .map(
            |(index, (breaker_allows_calls, free, capacity, load, latency))| Candidate {
                breaker_allows_calls,
                free_slots: u32::from(free % 3),
                capacity: u32::from(capacity % 9),
                latency_ms: (latency > 100).then(|| Millis(u64::from(latency))),
                ..candidate(index, u32::from(load % 12))
            },
        )
        .collect();
    let is_usable =
        |c: &Candidate<'_>| c.breaker_allows_calls && c.free_slots > 0 && c.capacity > 0;
    [
        BalancingStrategy::LeastLoaded,
        BalancingStrategy::RoundRobin,
    ]
    .into_iter()
    .all(|strategy| {
        let mut load_balancer = LoadBalancer::new(LoadBalancerSettings {
            strategy,
            ..LoadBalancerSettings::default()
        });
        match load_balancer.select(&candidates, prefix, random) {
            Some(index) => is_usable(&candidates[index]),
            None => !candidates.iter().any(is_usable),
        }
    })
}

#[test]
fn only_a_usable_target_is_selected() {
    common::checker(5_000)
        .quickcheck(selected_target_is_usable as fn(Vec<CandidateState>, Option<u64>, u64) -> bool);
}

#[test]
fn a_prefix_is_sent_to_its_preferred_engine_only_up_to_a_bounded_load() {
    let settings = LoadBalancerSettings::default();
    let mut load_balancer = LoadBalancer::new(settings);
    let mut loads = [0_u32; 8];
    let key = prefix_key("You are the clerk of a pottery");
    let mut calls_by_index = BTreeMap::new();
    for random in 0..48_u64 {
        let candidates: Vec<_> = (0..8).map(|i| candidate(i, loads[i])).collect();
        let chosen = load_balancer
            .select(&candidates, Some(key), random)
            .expect("all targets are usable");
        loads[chosen] += 1;
        *calls_by_index.entry(chosen).or_insert(0) += 1;
    }
    let highest = f64::from(*loads.iter().max().expect("there are eight loads"));
    let bound = settings.affinity_load_factor * (48.0 + 8.0) / 8.0;
    assert!(highest <= bound + 1.0, "loads {loads:?} exceed {bound}");
    assert!(
        loads.iter().max() > loads.iter().min(),
        "the prefix should have a preferred engine"
    );
}

#[test]
fn a_slow_target_is_avoided_until_the_others_are_loaded() {
    let mut load_balancer = LoadBalancer::new(LoadBalancerSettings::default());
    for prefix in [None, Some(1), Some(2), Some(3)] {
        let mut candidates: Vec<_> = (0..3).map(|i| candidate(i, 2)).collect();
        candidates[1].latency_ms = Some(Millis(200));
        for random in 0..30 {
            assert_ne!(load_balancer.select(&candidates, prefix, random), Some(1));
        }
    }
    let mut candidates: Vec<_> = (0..2).map(|i| candidate(i, 7)).collect();
    candidates[1] = Candidate {
        latency_ms: Some(Millis(50)),
        load: 0,
        ..candidates[1]
    };
    assert_eq!(load_balancer.select(&candidates, None, 0), Some(1));
}

#[test]
fn round_robin_selects_each_target_in_turn() {
    let mut load_balancer = LoadBalancer::new(LoadBalancerSettings {
        strategy: BalancingStrategy::RoundRobin,
        ..LoadBalancerSettings::default()
    });
    let candidates: Vec<_> = (0..3).map(|i| candidate(i, i as u32)).collect();
    let chosen: Vec<_> = (0..6)
        .map(|_| {
            load_balancer
                .select(&candidates, None, 0)
                .expect("all targets are usable")
        })
        .collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn subsets_are_bounded_and_together_cover_all_targets() {
    let targets: Vec<String> = (0..20).map(|i| format!("engine-{i}")).collect();
    let mut used = BTreeSet::new();
    for instance in 0..17 {
        let name = format!("instance-{instance}");
        let members = target_subset(&name, targets.iter().map(String::as_str), 8);
        assert_eq!(members.len(), 8);
        let fewer = target_subset(&name, targets.iter().skip(1).map(String::as_str), 8);
        let changed = fewer.iter().filter(|name| !members.contains(name)).count();
        assert!(
            changed <= 1,
            "one target was removed, but {changed} members changed"
        );
        used.extend(members);
    }
    assert_eq!(used.len(), targets.len());
}
