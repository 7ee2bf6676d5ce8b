//! Guards against more work than a cold target can handle: with load from all instances of its
//! failure domain, when its owner is paused or killed, and when it turns cold under load (promise
//! P2 in `docs/design.md`).

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::service_targets;
use crate::deployment::wait_until;
use arbutus_coord::rendezvous;
use arbutus_standins::fleet::InstanceProcess;
use arbutus_wire::target::LoadReport;

const COLD_CAPACITY: u32 = 1;
const CLIENTS_PER_INSTANCE: usize = 3;
const OBSERVATION_PERIOD: Duration = Duration::from_secs(2);
/// Longer than the suspicion timeout, so that another instance becomes the owner.
const OWNER_PAUSE: Duration = Duration::from_millis(3_500);
/// Time until a new owner may grant slots: failure detection, grant lifetime and takeover margin.
const OWNER_CHANGE: Duration = Duration::from_secs(5);
/// Lifetime of the earlier grants, poll interval of the load report, and lag of the report.
const REDUCTION_BOUND: Duration = Duration::from_millis(1_500 + 250 + 25);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Starts three instances and one target with [`COLD_CAPACITY`].
fn start(name: &str, options: &str) -> Deployment {
    let common = "--capacity 8 --cold-capacity 1 --service-ms 40 --load-lag-ms 0";
    let services = vec![service_targets(
        LOOKUP_SERVICE,
        1,
        &format!("{common} {options}"),
    )];
    Deployment::start(name, &["arita"], 3, services)
}

/// Returns the load report of the target.
fn load_report(deployment: &Deployment) -> LoadReport {
    let address = deployment.fleet.targets[0].address;
    let report = deployment.fleet.get(address, "/v1/load");
    serde_json::from_value(report.expect("the target responds")).expect("the report is valid")
}

/// Returns how many calls failed because the target was cold.
fn cold_failures(deployment: &Deployment) -> u64 {
    deployment.stats(0).cold_failures
}

/// Checks that for a duration, the cold target runs no more calls than its cold capacity, and that
/// it executes at least `min_executed`.
fn assert_not_overloaded(
    deployment: &Deployment,
    duration: Duration,
    phase: &str,
    min_executed: u64,
) {
    let before = deployment.stats(0).executed;
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        let (running, failures) = (load_report(deployment).in_flight, cold_failures(deployment));
        assert!(
            running <= COLD_CAPACITY && failures == 0,
            "{phase}, {:?}: {running} in progress, {failures} failed",
            started_at.elapsed()
        );
        thread::sleep(SAMPLE_INTERVAL);
    }
    let executed = deployment.stats(0).executed - before;
    println!("{phase}: {executed} calls");
    assert!(
        executed >= min_executed,
        "{phase}: {executed} calls, expected {min_executed}"
    );
}

/// Removes the owner of the target from the list of instances, and returns it.
fn remove_owner(deployment: &mut Deployment) -> InstanceProcess {
    let target = format!("{LOOKUP_SERVICE}-arita-0");
    let instances = &deployment.fleet.instances;
    let names = instances
        .iter()
        .map(|instance| instance.settings.name.as_str());
    let owner = rendezvous::owner(target.as_bytes(), names);
    let position = instances
        .iter()
        .position(|instance| Some(instance.settings.name.as_str()) == owner);
    let position = position.expect("there is an owner");
    deployment.fleet.instances.remove(position)
}

/// Guards against overload when the owner of a cold target is paused and another one takes over.
#[test]
fn cold_target_is_not_overloaded_while_its_owner_is_paused() {
    let mut deployment = start("cold-pause", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let owner = remove_owner(&mut deployment);
    deployment.with_lookup_load(&all, CLIENTS_PER_INSTANCE, || {
        assert_not_overloaded(&deployment, OBSERVATION_PERIOD / 2, "cold", 1);
        owner.process.pause().expect("the signal is sent");
        assert_not_overloaded(&deployment, OWNER_CHANGE, "owner paused", 1);
        // The clients of the paused instance wait for their responses until it is resumed.
        owner.process.resume().expect("the signal is sent");
    });
    deployment.fleet.instances.push(owner);
    deployment.stop();
}

/// Guards against two owners that both grant slots, when the owner of a cold target is resumed
/// after another one has taken over.
#[test]
fn cold_target_is_not_overloaded_when_its_owner_is_resumed() {
    let mut deployment = start("cold-resume", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let owner = remove_owner(&mut deployment);
    deployment.with_lookup_load(&all, CLIENTS_PER_INSTANCE, || {
        owner.process.pause().expect("the signal is sent");
        assert_not_overloaded(&deployment, OWNER_PAUSE, "owner paused", 0);
        owner.process.resume().expect("the signal is sent");
        assert_not_overloaded(&deployment, OWNER_CHANGE, "owner resumed", 1);
    });
    deployment.fleet.instances.push(owner);
    deployment.stop();
}

/// Guards against overload when the owner of a cold target shuts down while its grants are in use,
/// and the next owner is killed.
#[test]
fn cold_target_is_not_overloaded_when_its_owners_shut_down_and_are_killed() {
    let mut deployment = start("cold-kill", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let first = remove_owner(&mut deployment);
    let mut second = remove_owner(&mut deployment);
    deployment.with_lookup_load(&all, CLIENTS_PER_INSTANCE, || {
        assert_not_overloaded(&deployment, OBSERVATION_PERIOD / 2, "cold", 1);
        first.process.terminate().expect("the signal is sent");
        assert_not_overloaded(&deployment, OWNER_CHANGE, "owner shuts down", 1);
        second.process.kill().expect("the owner is killed");
        assert_not_overloaded(&deployment, OWNER_CHANGE, "owner killed", 1);
    });
    deployment.stop();
}

/// Guards against a target that turns cold under load and still receives the load of a warm target.
#[test]
fn load_of_a_target_that_turns_cold_is_reduced_within_the_grant_lifetime() {
    let deployment = start("cold-turn", "--cold-ms 4000");
    let address = deployment.fleet.targets[0].address;
    let all = deployment.fleet.instance_addresses();
    deployment.with_lookup_load(&all, CLIENTS_PER_INSTANCE, || {
        wait_until(PROPAGATION_BOUND * 2, "the target is warm and full", || {
            load_report(&deployment).in_flight > 3
        });
        let message = "the target was overloaded before it was warm";
        assert_eq!(cold_failures(&deployment), 0, "{message}");
        deployment.post(address, "/faults", &json!({"turn_cold": true}));
        let started_at = Instant::now();
        let (mut max_in_flight, mut last_overload, mut failures) = (0, Duration::ZERO, 0);
        while started_at.elapsed() < REDUCTION_BOUND + OBSERVATION_PERIOD {
            let sampled = started_at.elapsed();
            let report = load_report(&deployment);
            let failed = cold_failures(&deployment);
            // Reports from before the target turned cold, or after it became warm, are ignored.
            if (!report.warm && report.in_flight > COLD_CAPACITY) || failed > failures {
                (max_in_flight, last_overload) = (max_in_flight.max(report.in_flight), sampled);
            }
            failures = failed;
            thread::sleep(SAMPLE_INTERVAL);
        }
        println!("at most {max_in_flight} calls in progress, 1 allowed; {failures} failed; last overload after {last_overload:?}");
        assert!(
            last_overload <= REDUCTION_BOUND,
            "overloaded until {last_overload:?}"
        );
    });
    deployment.stop();
}
