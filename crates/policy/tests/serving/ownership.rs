//! Guards against two owners of one queue while instances restart: targets then get calls of
//! several owners and refuse some of them because they are full.

use arbutus_coord::Millis;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::ownership::Member;
use arbutus_policy::serving::ownership::UnavailableInstances;
use arbutus_policy::serving::ownership::owner;
use arbutus_policy::serving::ownership::preferred_watcher;
use arbutus_policy::serving::ownership::queue_name;

const NOW: Millis = Millis(10_000);

/// Returns the names of 18 instances and their failure domains.
fn instances() -> Vec<(String, &'static str)> {
    (0..18)
        .map(|index| (format!("i{index}"), ["x", "y", "z"][index % 3]))
        .collect()
}

fn queue(domain: Option<&str>) -> QueueName {
    QueueName {
        service: "stage".to_owned(),
        failure_domain: domain.map(str::to_owned),
    }
}

/// Returns the owner of a queue as seen by each instance.
fn owners_by_view(queue: &QueueName, unavailable: &UnavailableInstances) -> Vec<String> {
    let instances = instances();
    let members: Vec<Member<'_>> = instances
        .iter()
        .map(|(name, failure_domain)| Member {
            name,
            failure_domain,
            link_mbps: 0,
        })
        .collect();
    members
        .iter()
        .map(|local| {
            let others: Vec<Member<'_>> = members
                .iter()
                .copied()
                .filter(|other| other.name != local.name)
                .collect();
            owner(NOW, queue, *local, false, &others, unavailable).to_owned()
        })
        .collect()
}

fn domain_of(name: &str) -> &'static str {
    let instances = instances();
    let found = instances.iter().find(|(known, _)| known == name);
    found.expect("the instance is a member").1
}

#[test]
fn all_instances_agree_on_one_owner() {
    let all = owners_by_view(&queue(None), &UnavailableInstances::default());
    assert!(all.iter().all(|owner| *owner == all[0]), "{all:?}");
}

#[test]
fn all_instances_agree_on_an_owner_while_some_shut_down() {
    let mut unavailable = UnavailableInstances::default();
    let old_owner = owners_by_view(&queue(None), &unavailable)[0].clone();
    // An instance of each failure domain and the owner shut down.
    for name in [old_owner.as_str(), "i0", "i1", "i2"] {
        unavailable.record_shutdown(NOW, name);
    }
    let all = owners_by_view(&queue(None), &unavailable);
    let views_of_available: Vec<&String> = all
        .iter()
        .zip(instances())
        .filter(|(_, (name, _))| !unavailable.is_unavailable(NOW, name))
        .map(|(owner, _)| owner)
        .collect();
    assert!(
        views_of_available
            .iter()
            .all(|owner| **owner == *views_of_available[0]),
        "{all:?}"
    );
    assert_ne!(*views_of_available[0], old_owner);
    unavailable.record_serving(&old_owner);
    assert_eq!(owners_by_view(&queue(None), &unavailable)[3], old_owner);
}

#[test]
fn an_instance_of_a_partitioned_domain_is_not_selected() {
    let mut unavailable = UnavailableInstances::default();
    let old_owner = owners_by_view(&queue(None), &unavailable)[0].clone();
    let partitioned = domain_of(&old_owner);
    let others = instances()
        .into_iter()
        .filter(|(name, domain)| *domain == partitioned && *name != old_owner);
    let neighbour = others
        .map(|(name, _)| name)
        .next()
        .expect("the domain has several instances");
    unavailable.record_unreachable(NOW, &old_owner, true);
    unavailable.record_unreachable(NOW, &neighbour, true);
    for (owner, (name, domain)) in owners_by_view(&queue(None), &unavailable)
        .iter()
        .zip(instances())
    {
        if domain != partitioned {
            assert_ne!(domain_of(owner), partitioned, "as {name} sees it");
        }
    }
}

#[test]
fn an_unreachable_instance_is_unavailable_for_a_doubling_bounded_time() {
    let mut unavailable = UnavailableInstances::default();
    let mut durations_ms = Vec::new();
    let mut now = NOW;
    for _ in 0..4 {
        unavailable.record_unreachable(now, "i1", false);
        let unavailable_ms =
            (0..60_000).find(|&ms| !unavailable.is_unavailable(now + Millis(ms), "i1"));
        durations_ms.push(unavailable_ms.expect("the instance becomes available"));
        now = now + Millis(60_000);
    }
    assert_eq!(durations_ms, [3_000, 6_000, 12_000, 12_000]);
}

#[test]
fn a_large_service_has_a_queue_for_each_failure_domain() {
    let small = ["x", "y", "z", "x", "y"];
    assert_eq!(queue_name("stage", "x", small.into_iter()), queue(None));
    let large = ["x", "y", "z"].repeat(4);
    let name = |result_domain| queue_name("stage", result_domain, large.iter().copied());
    assert_eq!(name("y"), queue(Some("y")));
    // Pieces for a domain without targets go to the queue of another domain.
    assert!(name("w").failure_domain.is_some_and(|domain| domain != "w"));
    for domain in ["x", "y", "z"] {
        let all = owners_by_view(&queue(Some(domain)), &UnavailableInstances::default());
        assert!(all.iter().all(|owner| *owner == all[0]), "{all:?}");
        assert_eq!(domain_of(&all[0]), domain);
    }
}

#[test]
fn no_instance_follows_a_follower() {
    // If an instance followed a follower, it would get refusals and search for the watcher again
    // and again. This can happen in a domain with more instances than one watcher serves.
    for count in [1_usize, 7, 32, 100] {
        let names: Vec<String> = (0..count).map(|index| format!("i{index}")).collect();
        let unavailable = UnavailableInstances::default();
        let watcher_of = |local: &String| {
            let all = names.iter().map(|name| Member {
                name,
                failure_domain: "x",
                link_mbps: 0,
            });
            let (local, others): (Vec<_>, Vec<_>) = all.partition(|member| member.name == local);
            let watcher = preferred_watcher(NOW, local[0], false, &others, &unavailable, |_| false);
            watcher.map(str::to_owned)
        };
        let watchers: Vec<&String> = names
            .iter()
            .filter(|name| watcher_of(name).is_none())
            .collect();
        for name in &names {
            if let Some(watcher) = watcher_of(name) {
                assert!(watchers.contains(&&watcher), "{name} follows {watcher}");
            }
        }
        assert!(
            watchers.len() <= count.div_ceil(12),
            "{} of {count}",
            watchers.len()
        );
    }
}

#[test]
fn an_instance_that_cannot_reach_the_store_follows_another_one() {
    let local = Member {
        name: "i0",
        failure_domain: "x",
        link_mbps: 0,
    };
    let other = Member {
        name: "i1",
        failure_domain: "x",
        link_mbps: 0,
    };
    let unavailable = UnavailableInstances::default();
    let watcher_if_unreachable_from = |unreachable_from: &[&str]| {
        preferred_watcher(NOW, local, false, &[other], &unavailable, |name| {
            unreachable_from.contains(&name)
        })
    };
    assert_eq!(watcher_if_unreachable_from(&["i0"]), Some("i1"));
    assert_eq!(watcher_if_unreachable_from(&["i1"]), None);
    // If no instance can reach the store, each of them watches it itself.
    assert_eq!(watcher_if_unreachable_from(&["i0", "i1"]), None);
}

/// Guards against a large change that fills the slow link of a watcher for a second, in which
/// confirmations and the requests of clients wait.
#[test]
fn the_instances_with_the_fastest_links_watch_the_store() {
    let names: Vec<String> = (0..32).map(|index| format!("i{index}")).collect();
    let members: Vec<Member<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| Member {
            name,
            failure_domain: "x",
            link_mbps: [10, 10, 50, 200][index % 4],
        })
        .collect();
    let watcher_of = |local: &Member<'_>, unavailable: &UnavailableInstances| {
        let others: Vec<Member<'_>> = members
            .iter()
            .copied()
            .filter(|other| other.name != local.name)
            .collect();
        preferred_watcher(NOW, *local, false, &others, unavailable, |_| false).map(str::to_owned)
    };
    let watchers = |unavailable: &UnavailableInstances| -> Vec<Member<'_>> {
        let available = members
            .iter()
            .filter(|member| !unavailable.is_unavailable(NOW, member.name));
        available
            .copied()
            .filter(|member| watcher_of(member, unavailable).is_none())
            .collect()
    };
    let mut unavailable = UnavailableInstances::default();
    let fastest = watchers(&unavailable);
    assert_eq!(fastest.len(), 3, "{fastest:?}");
    assert!(
        fastest.iter().all(|member| member.link_mbps == 200),
        "{fastest:?}"
    );
    // No instance follows a follower when the fastest ones are lost either.
    for member in members.iter().filter(|member| member.link_mbps == 200) {
        unavailable.record_unreachable(NOW, member.name, false);
    }
    let next = watchers(&unavailable);
    assert_eq!(next.len(), 3, "{next:?}");
    assert!(next.iter().all(|member| member.link_mbps == 50), "{next:?}");
    for member in members.iter().filter(|member| member.link_mbps < 50) {
        let watcher = watcher_of(member, &unavailable).expect("the instance follows another one");
        assert!(next.iter().any(|member| member.name == watcher));
    }
}
