//! Guards against new work for a failure domain that is drained, or for a target that leaves
//! (P3): with the platform up and down, and after a partition.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployment::Answer;
use crate::deployment::BOUND;
use crate::deployment::Deployment;
use crate::deployment::LOOKUPS;
use crate::deployment::eventually;
use crate::deployment::targets;

/// How long no call may arrive after the bound.
const QUIET: Duration = Duration::from_millis(1_500);
const SAMPLE: Duration = Duration::from_millis(25);
/// Longer than it takes until a failure domain that is cut off counts as dead.
const CUT_OFF: Duration = Duration::from_secs(4);

fn start(name: &str) -> Deployment {
    let services = vec![targets(LOOKUPS, 2, "--service-ms 5 --cold-ms 0")];
    Deployment::start(name, &["arita", "hakata"], 2, services)
}

fn drain(deployment: &Deployment, at: usize, failure_domain: &str) {
    let order = json!({"kind": "failure_domain", "name": failure_domain, "drained": true});
    deployment.post(deployment.address(at), "/admin/drain", &order);
}

/// Watches a counter of calls and returns after which time it stayed the same.
fn last_change(begun: Instant, calls: impl Fn() -> u64) -> Duration {
    let mut seen = calls();
    let mut last = Duration::ZERO;
    while begun.elapsed() < BOUND + QUIET {
        let before = begun.elapsed();
        let now = calls();
        if now != seen {
            (seen, last) = (now, before);
        }
        thread::sleep(SAMPLE);
    }
    last
}

fn assert_all_answered(deployment: &Deployment, answers: &[(SocketAddr, Option<Answer>)]) {
    let answered =
        |answer: &Option<Answer>| answer.as_ref().is_some_and(|answer| answer.status == 200);
    let refused = answers
        .iter()
        .filter(|(_, answer)| !answered(answer))
        .count();
    println!("{refused} of {} not answered", answers.len());
    let failed = answers.iter().find(|(_, answer)| !answered(answer));
    assert!(failed.is_none(), "a lookup was not answered: {failed:?}");
    for instance in deployment.fleet.instance_addresses() {
        let some = answers.iter().any(|(at, _)| *at == instance);
        assert!(some, "instance {instance} got no lookup");
    }
}

fn assert_drained(deployment: &Deployment, order: impl FnOnce()) {
    let (last, answers) =
        deployment.under_lookups(&deployment.fleet.instance_addresses(), 2, || {
            eventually(BOUND, "the failure domain is in use", || {
                deployment.calls_in("arita") > 0
            });
            let begun = Instant::now();
            order();
            let last = last_change(begun, || deployment.calls_in("arita"));
            assert!(last <= BOUND, "a call arrived {last:?} after the order");
            last
        });
    println!(
        "last call {last:?} after the order, {} lookups",
        answers.len()
    );
    assert_all_answered(deployment, &answers);
    for index in 0..4 {
        let expected = if index < 2 { 503 } else { 200 };
        assert_eq!(
            deployment.readiness(deployment.address(index)),
            Some(expected)
        );
    }
}

/// An order that reaches only the instance at which it was given.
#[test]
fn drained_failure_domain_gets_no_new_calls() {
    let deployment = start("drain");
    assert_drained(&deployment, || drain(&deployment, 3, "arita"));
    deployment.stop();
}

/// A drain that is distributed by the platform only.
#[test]
fn drain_works_while_the_platform_is_down() {
    let deployment = start("drain-outage");
    deployment.platform_faults(&json!({"outage": "closed"}));
    assert_drained(&deployment, || drain(&deployment, 2, "arita"));
    deployment.stop();
}

/// A drain that was ordered on the other side of a partition and is not learnt when it heals.
#[test]
fn failure_domain_that_was_cut_off_learns_of_its_drain() {
    let deployment = start("drain-partition");
    deployment.partition(true);
    deployment.platform_faults(&json!({"block_from": ["arita"]}));
    drain(&deployment, 2, "arita");
    let cut_off = [deployment.address(0), deployment.address(1)];
    let ((), _) = deployment.under_lookups(&cut_off, 2, || thread::sleep(CUT_OFF));
    assert_eq!(
        deployment.readiness(cut_off[0]),
        Some(200),
        "the order got through the partition"
    );
    assert_drained(&deployment, || {
        deployment.platform_faults(&json!({"block_from": []}));
        deployment.partition(false);
    });
    deployment.stop();
}

/// A target that is listed as leaving and still gets calls.
#[test]
fn leaving_target_gets_no_new_calls() {
    let deployment = start("leaving");
    let address = deployment.fleet.targets[0].address;
    let (last, answers) =
        deployment.under_lookups(&deployment.fleet.instance_addresses(), 2, || {
            eventually(BOUND, "the target is in use", || {
                deployment.stats(0).calls > 0
            });
            let begun = Instant::now();
            deployment.post(address, "/faults", &json!({"leaving": true}));
            let last = last_change(begun, || deployment.stats(0).calls);
            assert!(
                last <= BOUND,
                "a call arrived {last:?} after the target was leaving"
            );
            last
        });
    println!("last call {last:?} after the fault");
    assert_all_answered(&deployment, &answers);
    assert!(
        deployment.stats(1).calls > 0,
        "the other target is not used"
    );
    deployment.stop();
}
