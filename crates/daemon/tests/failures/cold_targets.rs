//! Guards against more work than a cold target can handle (P2): with load from all instances of
//! its failure domain, when its owner is paused or killed, and when it turns cold under load.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployment::BOUND;
use crate::deployment::Deployment;
use crate::deployment::LOOKUPS;
use crate::deployment::eventually;
use crate::deployment::targets;
use arbutus_coord::rendezvous;
use arbutus_standins::fleet::InstanceProcess;
use arbutus_wire::target::LoadReport;

const COLD_CAPACITY: u32 = 1;
const CALLERS_EACH: usize = 3;
const SPAN: Duration = Duration::from_secs(2);
/// Longer than a suspicion, so that another instance takes over.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Until a new owner may grant slots: its detection, the grant lifetime and the margin.
const TAKE_OVER: Duration = Duration::from_secs(5);
/// The lifetime of grants that were given before, a poll of the report and its lag.
const REDUCTION: Duration = Duration::from_millis(1_500 + 250 + 25);
const SAMPLE: Duration = Duration::from_millis(2);

fn start(name: &str, options: &str) -> Deployment {
    let common = "--capacity 8 --cold-capacity 1 --service-ms 40 --load-lag-ms 0";
    let services = vec![targets(LOOKUPS, 1, &format!("{common} {options}"))];
    Deployment::start(name, &["arita"], 3, services)
}

/// Returns the load report of the target.
fn load(deployment: &Deployment) -> LoadReport {
    let address = deployment.fleet.targets[0].address;
    let report = deployment.fleet.get(address, "/v1/load");
    serde_json::from_value(report.expect("the target answers")).expect("the report is valid")
}

/// Returns how often the target failed because it was cold.
fn cold_failures(deployment: &Deployment) -> u64 {
    deployment.stats(0).cold_failures
}

/// Watches a target that stays cold, and checks that it executes some calls meanwhile.
fn assert_not_overloaded(deployment: &Deployment, span: Duration, what: &str, at_least: u64) {
    let before = deployment.stats(0).executed;
    let begun = Instant::now();
    while begun.elapsed() < span {
        let (running, failures) = (load(deployment).in_flight, cold_failures(deployment));
        assert!(
            running <= COLD_CAPACITY && failures == 0,
            "{what}, {:?}: {running} run, {failures} failed",
            begun.elapsed()
        );
        thread::sleep(SAMPLE);
    }
    let executed = deployment.stats(0).executed - before;
    println!("{what}: {executed} calls");
    assert!(executed >= at_least, "{what}: no call ran");
}

/// Takes the owner of the target out of the list of instances.
fn take_owner(deployment: &mut Deployment) -> InstanceProcess {
    let target = format!("{LOOKUPS}-arita-0");
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

/// The owner of a cold target is paused, and another one takes over.
#[test]
fn cold_target_is_not_overloaded_while_its_owner_is_paused() {
    let mut deployment = start("cold-pause", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let owner = take_owner(&mut deployment);
    deployment.under_lookups(&all, CALLERS_EACH, || {
        assert_not_overloaded(&deployment, SPAN / 2, "cold", 1);
        owner.process.pause().expect("the signal is sent");
        assert_not_overloaded(&deployment, TAKE_OVER, "owner paused", 1);
        // The callers of the paused instance would wait for their answers.
        owner.process.resume().expect("the signal is sent");
    });
    deployment.fleet.instances.push(owner);
    deployment.stop();
}

/// The owner of a cold target is resumed while another one has taken over, and both grant slots.
#[test]
fn cold_target_is_not_overloaded_when_its_owner_is_resumed() {
    let mut deployment = start("cold-resume", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let owner = take_owner(&mut deployment);
    deployment.under_lookups(&all, CALLERS_EACH, || {
        owner.process.pause().expect("the signal is sent");
        assert_not_overloaded(&deployment, PAUSE, "owner paused", 0);
        owner.process.resume().expect("the signal is sent");
        assert_not_overloaded(&deployment, TAKE_OVER, "owner resumed", 1);
    });
    deployment.fleet.instances.push(owner);
    deployment.stop();
}

/// The owner of a cold target leaves while its grants are in use, and the next one is killed.
#[test]
fn cold_target_is_not_overloaded_when_its_owners_leave_and_are_killed() {
    let mut deployment = start("cold-kill", "--cold-ms 120000");
    let all = deployment.fleet.instance_addresses();
    let first = take_owner(&mut deployment);
    let mut second = take_owner(&mut deployment);
    deployment.under_lookups(&all, CALLERS_EACH, || {
        assert_not_overloaded(&deployment, SPAN / 2, "cold", 1);
        first.process.terminate().expect("the signal is sent");
        assert_not_overloaded(&deployment, TAKE_OVER, "owner leaves", 1);
        second.process.kill().expect("the owner is killed");
        assert_not_overloaded(&deployment, TAKE_OVER, "owner killed", 1);
    });
    deployment.stop();
}

/// A warm target turns cold under load, and keeps getting what it could handle before.
#[test]
fn target_that_turns_cold_is_relieved_within_the_grant_lifetime() {
    let deployment = start("cold-turn", "--cold-ms 4000");
    let address = deployment.fleet.targets[0].address;
    let all = deployment.fleet.instance_addresses();
    deployment.under_lookups(&all, CALLERS_EACH, || {
        eventually(BOUND * 2, "the target is warm and full", || {
            load(&deployment).in_flight > 3
        });
        let message = "the target was overloaded before it was warm";
        assert_eq!(cold_failures(&deployment), 0, "{message}");
        deployment.post(address, "/faults", &json!({"turn_cold": true}));
        let begun = Instant::now();
        let (mut worst, mut over_until, mut failures) = (0, Duration::ZERO, 0);
        while begun.elapsed() < REDUCTION + SPAN {
            let sampled = begun.elapsed();
            let report = load(&deployment);
            let failed = cold_failures(&deployment);
            // A report from before the target turned cold, or after it became warm, does not count.
            if (!report.warm && report.in_flight > COLD_CAPACITY) || failed > failures {
                (worst, over_until) = (worst.max(report.in_flight), sampled);
            }
            failures = failed;
            thread::sleep(SAMPLE);
        }
        println!("worst {worst} calls for 1, {failures} failed, until {over_until:?}");
        assert!(
            over_until <= REDUCTION,
            "more than one call ran after {over_until:?}"
        );
    });
    deployment.stop();
}
