//! Guards against new work for a drained failure domain or a leaving target, with the platform up
//! and down, and after a partition (promise P3 in `docs/design.md`).

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::Response;
use crate::deployment::service_targets;
use crate::deployment::wait_until;

/// Time after [`PROPAGATION_BOUND`] during which no call may arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Longer than it takes until the instances of a partitioned failure domain count as dead.
const PARTITION_DURATION: Duration = Duration::from_secs(4);

fn start(name: &str) -> Deployment {
    let services = vec![service_targets(
        LOOKUP_SERVICE,
        2,
        "--service-ms 5 --cold-ms 0",
    )];
    Deployment::start(name, &["arita", "hakata"], 2, services)
}

fn drain(deployment: &Deployment, at: usize, failure_domain: &str) {
    let drain_request = json!({"kind": "failure_domain", "name": failure_domain, "drained": true});
    deployment.post(deployment.address(at), "/admin/drain", &drain_request);
}

/// Samples a counter of calls during [`PROPAGATION_BOUND`] and [`QUIET_PERIOD`], and returns how
/// long after the start it last changed.
fn last_change(started_at: Instant, calls: impl Fn() -> u64) -> Duration {
    let mut previous = calls();
    let mut last_change_after = Duration::ZERO;
    while started_at.elapsed() < PROPAGATION_BOUND + QUIET_PERIOD {
        let before = started_at.elapsed();
        let now = calls();
        if now != previous {
            (previous, last_change_after) = (now, before);
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    last_change_after
}

fn assert_all_succeeded(deployment: &Deployment, responses: &[(SocketAddr, Option<Response>)]) {
    let succeeded = |response: &Option<Response>| {
        response
            .as_ref()
            .is_some_and(|response| response.status == 200)
    };
    let failed_count = responses
        .iter()
        .filter(|(_, response)| !succeeded(response))
        .count();
    println!("{failed_count} of {} lookups failed", responses.len());
    let failed = responses.iter().find(|(_, response)| !succeeded(response));
    assert!(failed.is_none(), "a lookup failed: {failed:?}");
    for instance in deployment.fleet.instance_addresses() {
        let has_response = responses.iter().any(|(at, _)| *at == instance);
        assert!(has_response, "instance {instance} received no lookup");
    }
}

fn assert_drained(deployment: &Deployment, start_drain: impl FnOnce()) {
    let (last_change_after, responses) =
        deployment.with_lookup_load(&deployment.fleet.instance_addresses(), 2, || {
            wait_until(PROPAGATION_BOUND, "the failure domain is in use", || {
                deployment.calls_in("arita") > 0
            });
            let started_at = Instant::now();
            start_drain();
            let last_change_after = last_change(started_at, || deployment.calls_in("arita"));
            assert!(
                last_change_after <= PROPAGATION_BOUND,
                "a call arrived {last_change_after:?} after the drain command"
            );
            last_change_after
        });
    println!(
        "last call {last_change_after:?} after the drain command, {} lookups",
        responses.len()
    );
    assert_all_succeeded(deployment, &responses);
    for index in 0..4 {
        let expected = if index < 2 { 503 } else { 200 };
        assert_eq!(
            deployment.readiness(deployment.address(index)),
            Some(expected)
        );
    }
}

/// Guards against a drain command that takes effect only at the instance that received it.
#[test]
fn drained_failure_domain_gets_no_new_calls() {
    let deployment = start("drain");
    assert_drained(&deployment, || drain(&deployment, 3, "arita"));
    deployment.stop();
}

/// Guards against a drain that is distributed only through the platform.
#[test]
fn drain_takes_effect_during_a_platform_outage() {
    let deployment = start("drain-outage");
    deployment.set_platform_faults(&json!({"outage": "closed"}));
    assert_drained(&deployment, || drain(&deployment, 2, "arita"));
    deployment.stop();
}

/// Guards against a drain that does not take effect at the end of a partition, when the command was
/// sent to an instance on the other side.
#[test]
fn partitioned_failure_domain_learns_of_its_drain() {
    let deployment = start("drain-partition");
    deployment.partition(true);
    deployment.set_platform_faults(&json!({"block_from": ["arita"]}));
    drain(&deployment, 2, "arita");
    let partitioned = [deployment.address(0), deployment.address(1)];
    let ((), _) =
        deployment.with_lookup_load(&partitioned, 2, || thread::sleep(PARTITION_DURATION));
    assert_eq!(
        deployment.readiness(partitioned[0]),
        Some(200),
        "the drain command crossed the partition"
    );
    assert_drained(&deployment, || {
        deployment.set_platform_faults(&json!({"block_from": []}));
        deployment.partition(false);
    });
    deployment.stop();
}

/// Guards against calls to a target that is listed as leaving.
#[test]
fn leaving_target_gets_no_new_calls() {
    let deployment = start("leaving");
    let address = deployment.fleet.targets[0].address;
    let (last_change_after, responses) =
        deployment.with_lookup_load(&deployment.fleet.instance_addresses(), 2, || {
            wait_until(PROPAGATION_BOUND, "the target is in use", || {
                deployment.stats(0).calls > 0
            });
            let started_at = Instant::now();
            deployment.post(address, "/faults", &json!({"leaving": true}));
            let last_change_after = last_change(started_at, || deployment.stats(0).calls);
            assert!(
                last_change_after <= PROPAGATION_BOUND,
                "a call arrived {last_change_after:?} after the target started leaving"
            );
            last_change_after
        });
    println!("last call {last_change_after:?} after the fault");
    assert_all_succeeded(&deployment, &responses);
    assert!(
        deployment.stats(1).calls > 0,
        "the other target is not used"
    );
    deployment.stop();
}
