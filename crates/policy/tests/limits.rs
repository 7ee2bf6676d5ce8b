//! Guards against requests that are counted at some levels only, against counts that become wrong
//! when limits change, and against instances that exceed a limit together.

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

fn rule(name: &str, max_in_flight: u32, child_rules: Vec<LimitRule>) -> LimitRule {
    LimitRule {
        names: name.split(' ').map(str::to_owned).collect(),
        max_in_flight,
        child_rules,
    }
}

fn settings(max_in_flight: Option<u32>, organisations: Vec<LimitRule>) -> LimitsSettings {
    LimitsSettings {
        max_in_flight,
        organisations,
    }
}

#[test]
fn all_violations_are_reported_with_their_levels() {
    let class_above_parent = rule("a", 5, vec![rule("urgent", 6, vec![])]);
    let rules = vec![
        class_above_parent,
        rule("* b", 11, vec![]),
        rule("c", 1, vec![]),
    ];
    let errors =
        LimitTree::new(settings(Some(10), rules)).expect_err("the limits should be rejected");
    let texts: Vec<String> = errors.iter().map(LimitError::to_string).collect();
    assert_eq!(
        texts,
        [
            "organisation a, class urgent: the limit 6 exceeds the limit 5 of the parent level, organisation a",
            "deployment: a rule has `*` together with other names",
            "deployment: the rule with `*` is not the last one",
            "organisation *: the limit 11 exceeds the limit 10 of the parent level, deployment",
            "organisation b: the limit 11 exceeds the limit 10 of the parent level, deployment",
        ]
    );
}

/// Returns a set of limits that depends on `choice`, without any limit if that set is not valid.
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

/// Checks after each step that every level counts exactly the requests in progress below it.
///
/// The first number of a step determines whether the limits are replaced, a request ends or a
/// request starts. The second one selects the limits or the request.
fn counts_are_exact_at_every_level(steps: Vec<(u8, u8)>) -> bool {
    let mut limiter = InFlightLimiter::new(tree(0), 1);
    let mut permits = Vec::new();
    for (kind, choice) in steps {
        match kind % 8 {
            0 => limiter.replace(tree(choice)),
            1 | 2 if !permits.is_empty() => {
                let (_, permit) = permits.swap_remove(usize::from(choice) % permits.len());
                limiter.release(permit);
            }
            _ => {
                let organisation = ["a", "b", "c"][usize::from(choice % 3)];
                let class = ["urgent", "later"][usize::from(choice / 3 % 2)];
                let pipeline = ["book", "look"][usize::from(choice / 6 % 2)];
                let path = LimitPath::new(organisation, class, pipeline);
                let before = limiter.status(Millis::ZERO);
                match limiter.try_acquire(Millis::ZERO, &path) {
                    Ok(permit) => {
                        let status = limiter.status(Millis::ZERO);
                        let mut level = Some(path.clone());
                        while let Some(path) = level {
                            let of_level = status.iter().find(|status| status.path == path);
                            let status = of_level.expect("a level in use should have a status");
                            let limit = status.limit.unwrap_or(u32::MAX);
                            assert!(status.in_flight <= limit, "{path} is above its limit");
                            level = path.parent();
                        }
                        permits.push((path, permit));
                    }
                    Err(denied) => {
                        assert!(denied.in_flight >= denied.limit, "{denied}");
                        let total = |status: &[_]| -> u32 {
                            let sum = |sum, status: &LimitStatus| sum + status.in_flight;
                            status.iter().fold(0, sum)
                        };
                        let after = limiter.status(Millis::ZERO);
                        assert_eq!(
                            total(&before),
                            total(&after),
                            "a denial should count nothing"
                        );
                    }
                }
            }
        }
        let mut expected: BTreeMap<LimitPath, u32> = BTreeMap::new();
        for (path, _) in &permits {
            let mut level = Some(path.clone());
            while let Some(path) = level {
                *expected.entry(path.clone()).or_default() += 1;
                level = path.parent();
            }
        }
        let status = limiter.status(Millis::ZERO);
        let is_exact = |status: &LimitStatus| {
            status.in_flight == expected.get(&status.path).copied().unwrap_or(0)
        };
        if !status.iter().all(is_exact) {
            return false;
        }
    }
    true
}

#[test]
fn requests_in_progress_are_counted_exactly_while_limits_change() {
    common::checker(1_000).quickcheck(counts_are_exact_at_every_level as fn(Vec<(u8, u8)>) -> bool);
}

/// Sends requests of one organisation to 17 instances at twice the rate that the limit allows. The
/// requests are distributed unevenly, and the distribution changes over time. Returns the highest
/// and the mean number of requests in progress at all instances together.
fn run_instances(limit: u32, seed: u64) -> (u32, f64) {
    const INSTANCES: u32 = 17;
    const STEPS: u64 = 6_000;
    let tree = LimitTree::new(settings(None, vec![rule("a", limit, vec![])]))
        .expect("the limit should be valid");
    let path = LimitPath::new("a", "urgent", "book");
    let share_settings = LimitShareSettings::default();
    let mut allocator = LimitShareAllocator::new(share_settings);
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
        for ended in running.extract_if(.., |(ends_at, _, _)| *ends_at <= now) {
            let (_, index, permit): (Millis, usize, _) = ended;
            instances[index].release(permit);
        }
        // A request takes 500 ms on average, which is 50 steps of 10 ms. The limit therefore allows
        // limit / 50 requests per step, and twice as many are sent.
        for _ in 0..=(2 * limit / 50) {
            let spread = 1 + (step / 1_000) % u64::from(INSTANCES);
            let index = (next(spread) as usize + step as usize / 1_500) % INSTANCES as usize;
            if let Ok(permit) = instances[index].try_acquire(now, &path) {
                running.push((now + Millis(250 + next(500)), index, permit));
            }
        }
        for (index, limiter) in instances.iter_mut().enumerate() {
            if !(step + index as u64 * 5).is_multiple_of(share_settings.report_interval_ms.0 / 10) {
                continue;
            }
            let instance = Instance::from_index(index as u32);
            for demand in limiter.take_demand(now) {
                let share = allocator.allocate(now, &tree, instance, &demand);
                limiter.set_share(
                    demand.path,
                    share.unwrap_or(0),
                    now,
                    allocator.share_validity(),
                );
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
        println!(
            "limit {limit}, 17 instances: at most {highest} in progress, {mean:.1} on average"
        );
        assert!(
            highest <= limit + limit.max(17),
            "the total should stay within the bound that `limit_share` documents"
        );
        assert!(
            mean > 0.6 * f64::from(limit),
            "shares that some instances do not need should be used by others"
        );
    }
}

/// Checks that the valid shares never add up to more than the limit.
///
/// Each step has the time since the previous step in units of 8 ms, an instance and its demand.
fn valid_shares_stay_within_the_limit(limit: u8, steps: Vec<(u8, u8, u8)>) -> bool {
    let limit = u32::from(limit);
    let rules = vec![rule("a", limit, vec![])];
    let tree = LimitTree::new(settings(None, rules)).expect("the limit should be valid");
    let path = LimitPath::new("a", "urgent", "book");
    let path = path
        .parent()
        .and_then(|class| class.parent())
        .expect("the path of a pipeline has an organisation");
    let mut allocator = LimitShareAllocator::new(LimitShareSettings::default());
    let mut valid_shares = BTreeMap::new();
    let mut now = Millis::ZERO;
    for (gap, index, wanted) in steps {
        now = now + Millis(u64::from(gap) * 8);
        valid_shares.retain(|_, &mut (_, valid_until)| now < valid_until);
        let instance = Instance::from_index(u32::from(index % 5));
        let current_share = valid_shares.get(&instance).map_or(0, |&(share, _)| share);
        let demand = LimitDemand {
            path: path.clone(),
            in_flight: u32::from(wanted).min(current_share),
            wanted: u32::from(wanted),
        };
        let share = allocator.allocate(now, &tree, instance, &demand);
        valid_shares.insert(
            instance,
            (share.unwrap_or(0), now + allocator.share_validity()),
        );
        allocator.remove_expired_reports(now);
        let sum: u32 = valid_shares.values().map(|(share, _)| share).sum();
        if sum > limit {
            return false;
        }
    }
    true
}

#[test]
fn one_allocator_never_allocates_more_than_the_limit() {
    common::checker(1_000)
        .quickcheck(valid_shares_stay_within_the_limit as fn(u8, Vec<(u8, u8, u8)>) -> bool);
}
