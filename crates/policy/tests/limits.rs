//! Guards against requests that are counted at some levels only, against ends of requests that a
//! changed limit loses, and against instances that exceed a limit together.

mod common;

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Instance;
use arbutus_policy::limit_share::LimitShareAllocator;
use arbutus_policy::limit_share::LimitShareSettings;
use arbutus_policy::limits::InFlightLimiter;
use arbutus_policy::limits::LimitDemand;
use arbutus_policy::limits::LimitError;
use arbutus_policy::limits::LimitPath;
use arbutus_policy::limits::LimitRule;
use arbutus_policy::limits::LimitStatus;
use arbutus_policy::limits::LimitTree;
use arbutus_policy::limits::LimitsSettings;

fn rule(name: &str, max_in_flight: u32, within: Vec<LimitRule>) -> LimitRule {
    LimitRule {
        names: name.split(' ').map(str::to_owned).collect(),
        max_in_flight,
        within,
    }
}

fn settings(max_in_flight: Option<u32>, organisations: Vec<LimitRule>) -> LimitsSettings {
    LimitsSettings {
        max_in_flight,
        organisations,
    }
}

#[test]
fn every_error_is_found_and_names_both_levels() {
    let nested = rule("a", 5, vec![rule("urgent", 6, vec![])]);
    let rules = vec![nested, rule("* b", 11, vec![]), rule("c", 1, vec![])];
    let errors = LimitTree::new(settings(Some(10), rules)).expect_err("it is wrong");
    let texts: Vec<String> = errors.iter().map(LimitError::to_string).collect();
    assert_eq!(
        texts,
        [
            "the limit 6 of organisation a, class urgent is above the limit 5 of organisation a",
            "in deployment, an entry lists `*` beside other names",
            "in deployment, the entry `*` is not the last one",
            "the limit 11 of organisation * is above the limit 10 of deployment",
            "the limit 11 of organisation b is above the limit 10 of deployment",
        ]
    );
}

fn tree(choice: u8) -> LimitTree {
    let pipelines = vec![rule("book", u32::from(choice % 3), vec![])];
    let classes = vec![
        rule("urgent", u32::from(choice % 4), pipelines),
        rule("*", 2, vec![]),
    ];
    let first = rule("a", u32::from(choice % 8).max(3), classes);
    let rules = match choice % 3 {
        0 => vec![],
        1 => vec![first],
        _ => vec![first, rule("*", 4, vec![])],
    };
    let limit = (choice & 8 > 0).then_some(10);
    LimitTree::new(settings(limit, rules)).unwrap_or_default()
}

/// Each step starts a request, ends one, or replaces the limits.
fn counts_are_exact_at_every_level(steps: Vec<(u8, u8)>) -> bool {
    let mut limits = InFlightLimiter::new(tree(0), 1);
    let mut entries = Vec::new();
    for (kind, choice) in steps {
        match kind % 8 {
            0 => limits.replace(tree(choice)),
            1 | 2 if !entries.is_empty() => {
                let (_, entry) = entries.swap_remove(usize::from(choice) % entries.len());
                limits.release(entry);
            }
            _ => {
                let organisation = ["a", "b", "c"][usize::from(choice % 3)];
                let class = ["urgent", "later"][usize::from(choice / 3 % 2)];
                let pipeline = ["book", "look"][usize::from(choice / 6 % 2)];
                let path = LimitPath::new(organisation, class, pipeline);
                let before = limits.status(Millis::ZERO);
                match limits.try_acquire(Millis::ZERO, &path) {
                    Ok(entry) => {
                        let status = limits.status(Millis::ZERO);
                        let mut level = Some(path.clone());
                        while let Some(path) = level {
                            let of_level = status.iter().find(|status| status.path == path);
                            let status = of_level.expect("a level in use has a status");
                            let limit = status.limit.unwrap_or(u32::MAX);
                            assert!(status.in_flight <= limit, "{path} is above its limit");
                            level = path.parent();
                        }
                        entries.push((path, entry));
                    }
                    Err(denied) => {
                        assert!(denied.in_flight >= denied.limit, "{denied}");
                        let used = |status: &[_]| -> u32 {
                            let sum = |sum, status: &LimitStatus| sum + status.in_flight;
                            status.iter().fold(0, sum)
                        };
                        let after = limits.status(Millis::ZERO);
                        assert_eq!(used(&before), used(&after), "a denial counts nothing");
                    }
                }
            }
        }
        let mut model: BTreeMap<LimitPath, u32> = BTreeMap::new();
        for (path, _) in &entries {
            let mut level = Some(path.clone());
            while let Some(path) = level {
                *model.entry(path.clone()).or_default() += 1;
                level = path.parent();
            }
        }
        let status = limits.status(Millis::ZERO);
        let exact = |status: &LimitStatus| {
            status.in_flight == model.get(&status.path).copied().unwrap_or(0)
        };
        if !status.iter().all(exact) {
            return false;
        }
    }
    true
}

#[test]
fn requests_in_progress_are_counted_exactly_while_limits_change() {
    common::checker(1_000).quickcheck(counts_are_exact_at_every_level as fn(Vec<(u8, u8)>) -> bool);
}

/// 17 instances get requests of one organisation, unevenly and with a changing focus, at twice the
/// limit; returns the highest and the mean number of requests in progress.
fn run_instances(limit: u32, seed: u64) -> (u32, f64) {
    const INSTANCES: u32 = 17;
    const STEPS: u64 = 6_000;
    let tree = LimitTree::new(settings(None, vec![rule("a", limit, vec![])])).expect("valid");
    let path = LimitPath::new("a", "urgent", "book");
    let share = LimitShareSettings::default();
    let mut divider = LimitShareAllocator::new(share);
    let mut instances: Vec<InFlightLimiter> = (0..INSTANCES)
        .map(|_| InFlightLimiter::new(tree.clone(), INSTANCES))
        .collect();
    let mut random = seed;
    let mut next = |bound: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % bound
    };
    let mut running = Vec::new();
    let (mut highest, mut sum) = (0, 0_u64);
    for step in 0..STEPS {
        let now = Millis(step * 10);
        for call in running.extract_if(.., |(ends_at, _, _)| *ends_at <= now) {
            let (_, index, entry): (Millis, usize, _) = call;
            instances[index].release(entry);
        }
        // A call takes 500 ms, so 2 x limit / 50 calls in each step of 10 ms are twice the limit.
        for _ in 0..=(2 * limit / 50) {
            let focus = 1 + (step / 1_000) % u64::from(INSTANCES);
            let index = (next(focus) as usize + step as usize / 1_500) % INSTANCES as usize;
            if let Ok(entry) = instances[index].try_acquire(now, &path) {
                running.push((now + Millis(250 + next(500)), index, entry));
            }
        }
        for (index, limits) in instances.iter_mut().enumerate() {
            if !(step + index as u64 * 5).is_multiple_of(share.report_ms.0 / 10) {
                continue;
            }
            let instance = Instance::from_index(index as u32);
            for demand in limits.take_demand(now) {
                let slots = divider.allocate(now, &tree, instance, &demand);
                limits.set_share(demand.path, slots.unwrap_or(0), now, divider.valid_ms());
            }
        }
        highest = highest.max(running.len() as u32);
        sum += running.len() as u64;
    }
    (highest, sum as f64 / STEPS as f64)
}

#[test]
fn instances_together_stay_within_a_limit() {
    for limit in [5, 50, 400] {
        let runs: Vec<(u32, f64)> = (0..10).map(|seed| run_instances(limit, seed)).collect();
        let highest = runs.iter().map(|run| run.0).max().unwrap_or(0);
        let mean = runs.iter().map(|run| run.1).sum::<f64>() / runs.len() as f64;
        println!("limit {limit} of 17 instances: highest {highest}, mean {mean:.1} in progress");
        assert!(
            highest <= limit + limit.max(17),
            "the bound that the module states"
        );
        assert!(
            mean > 0.6 * f64::from(limit),
            "shares that others do not need are used"
        );
    }
}

/// Each step is the time since the previous one, an instance, and what it wants.
fn assigned_shares_keep_the_limit(limit: u8, steps: Vec<(u8, u8, u8)>) -> bool {
    let limit = u32::from(limit);
    let rules = vec![rule("a", limit, vec![])];
    let tree = LimitTree::new(settings(None, rules)).expect("the limit is valid");
    let path = LimitPath::new("a", "urgent", "book");
    let path = path
        .parent()
        .and_then(|class| class.parent())
        .expect("a pipeline has parents");
    let mut divider = LimitShareAllocator::new(LimitShareSettings::default());
    let mut assigned = BTreeMap::new();
    let mut now = Millis::ZERO;
    for (gap, index, wanted) in steps {
        now = now + Millis(u64::from(gap) * 8);
        assigned.retain(|_, &mut (_, valid_until)| now < valid_until);
        let instance = Instance::from_index(u32::from(index % 5));
        let held = assigned.get(&instance).map_or(0, |&(share, _)| share);
        let demand = LimitDemand {
            path: path.clone(),
            in_flight: u32::from(wanted).min(held),
            wanted: u32::from(wanted),
        };
        let share = divider.allocate(now, &tree, instance, &demand);
        assigned.insert(instance, (share.unwrap_or(0), now + divider.valid_ms()));
        divider.remove_expired_reports(now);
        let sum: u32 = assigned.values().map(|(share, _)| share).sum();
        if sum > limit {
            return false;
        }
    }
    true
}

#[test]
fn one_divider_never_assigns_more_than_the_limit() {
    common::checker(1_000)
        .quickcheck(assigned_shares_keep_the_limit as fn(u8, Vec<(u8, u8, u8)>) -> bool);
}
