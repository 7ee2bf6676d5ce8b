//! Guards against two owners of one queue: while instances restart, each target then gets calls of
//! several owners, which it refuses as full.

use arbutus_coord::Millis;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::ownership::Member;
use arbutus_policy::serving::ownership::UnavailableInstances;
use arbutus_policy::serving::ownership::owner;
use arbutus_policy::serving::ownership::queue_name;
use arbutus_policy::serving::ownership::store_watcher;

const NOW: Millis = Millis(10_000);

fn names() -> Vec<(String, &'static str)> {
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

/// Returns the owner as each of the instances sees it.
fn views(queue: &QueueName, absences: &UnavailableInstances) -> Vec<String> {
    let names = names();
    let members: Vec<Member<'_>> = names
        .iter()
        .map(|(name, failure_domain)| Member {
            name,
            failure_domain,
        })
        .collect();
    members
        .iter()
        .map(|own| {
            let others: Vec<Member<'_>> = members
                .iter()
                .copied()
                .filter(|other| other.name != own.name)
                .collect();
            owner(NOW, queue, *own, false, &others, absences).to_owned()
        })
        .collect()
}

fn domain_of(name: &str) -> &'static str {
    let names = names();
    let found = names.iter().find(|(known, _)| known == name);
    found.expect("it is a member").1
}

#[test]
fn all_instances_agree_on_one_owner() {
    let all = views(&queue(None), &UnavailableInstances::default());
    assert!(all.iter().all(|owner| *owner == all[0]), "{all:?}");
}

#[test]
fn instances_that_stop_do_not_divide_the_ownership() {
    let mut absences = UnavailableInstances::default();
    let first = views(&queue(None), &absences)[0].clone();
    // One instance of each failure domain stops, the owner among them.
    for name in [first.as_str(), "i0", "i1", "i2"] {
        absences.record_leaving(NOW, name);
    }
    let all = views(&queue(None), &absences);
    let present: Vec<&String> = all
        .iter()
        .zip(names())
        .filter(|(_, (name, _))| !absences.is_unavailable(NOW, name))
        .map(|(owner, _)| owner)
        .collect();
    assert!(
        present.iter().all(|owner| **owner == *present[0]),
        "{all:?}"
    );
    assert_ne!(*present[0], first);
    absences.record_serving(&first);
    assert_eq!(views(&queue(None), &absences)[3], first);
}

#[test]
fn a_failure_domain_behind_a_cut_is_not_asked() {
    let mut absences = UnavailableInstances::default();
    let first = views(&queue(None), &absences)[0].clone();
    let cut = domain_of(&first);
    let others = names()
        .into_iter()
        .filter(|(name, domain)| *domain == cut && *name != first);
    let second = others.map(|(name, _)| name).next().expect("there are more");
    absences.record_unreachable(NOW, &first, true);
    absences.record_unreachable(NOW, &second, true);
    for (owner, (name, domain)) in views(&queue(None), &absences).iter().zip(names()) {
        if domain != cut {
            assert_ne!(domain_of(owner), cut, "as {name} sees it");
        }
    }
}

#[test]
fn an_unreachable_instance_is_asked_again_ever_more_seldom() {
    let mut absences = UnavailableInstances::default();
    let mut pauses = Vec::new();
    let mut now = NOW;
    for _ in 0..4 {
        absences.record_unreachable(now, "i1", false);
        let pause = (0..60_000).find(|&ms| !absences.is_unavailable(now + Millis(ms), "i1"));
        pauses.push(pause.expect("it is asked again"));
        now = now + Millis(60_000);
    }
    assert_eq!(pauses, [3_000, 6_000, 12_000, 12_000]);
}

#[test]
fn a_large_service_has_a_queue_for_each_failure_domain() {
    let small = ["x", "y", "z", "x", "y"];
    assert_eq!(queue_name("stage", "x", small.into_iter()), queue(None));
    let large = ["x", "y", "z"].repeat(4);
    let name = |wanted| queue_name("stage", wanted, large.iter().copied());
    assert_eq!(name("y"), queue(Some("y")));
    // A domain without targets has its work done elsewhere.
    assert!(name("w").failure_domain.is_some_and(|domain| domain != "w"));
    for domain in ["x", "y", "z"] {
        let all = views(&queue(Some(domain)), &UnavailableInstances::default());
        assert!(all.iter().all(|owner| *owner == all[0]), "{all:?}");
        assert_eq!(domain_of(&all[0]), domain);
    }
}

#[test]
fn nobody_follows_a_follower() {
    // With more instances than one may serve, whoever was followed could follow another one, which
    // is then asked again and again who watches the store.
    for count in [1_usize, 7, 32, 100] {
        let names: Vec<String> = (0..count).map(|index| format!("i{index}")).collect();
        let absences = UnavailableInstances::default();
        let followed_by = |own: &String| {
            let all = names.iter().map(|name| Member {
                name,
                failure_domain: "x",
            });
            let (own, others): (Vec<_>, Vec<_>) = all.partition(|member| member.name == own);
            let followed = store_watcher(NOW, own[0], false, &others, &absences, |_| false);
            followed.map(str::to_owned)
        };
        let watching: Vec<&String> = names
            .iter()
            .filter(|name| followed_by(name).is_none())
            .collect();
        for name in &names {
            if let Some(followed) = followed_by(name) {
                assert!(watching.contains(&&followed), "{name} follows {followed}");
            }
        }
        assert!(
            watching.len() <= count.div_ceil(12),
            "{} of {count}",
            watching.len()
        );
    }
}

#[test]
fn an_instance_without_the_store_follows_another_one() {
    let own = Member {
        name: "i0",
        failure_domain: "x",
    };
    let other = Member {
        name: "i1",
        failure_domain: "x",
    };
    let absences = UnavailableInstances::default();
    let follow = |blind: &[&str]| {
        store_watcher(NOW, own, false, &[other], &absences, |name| {
            blind.contains(&name)
        })
    };
    assert_eq!(follow(&["i0"]), Some("i1"));
    assert_eq!(follow(&["i1"]), None);
    // With nobody left, each asks the store itself.
    assert_eq!(follow(&["i0", "i1"]), None);
}
