//! Guards against a configuration that does not take effect everywhere in time, or that reverts:
//! with concurrent commits, a failure domain without the platform, and a platform that returns
//! older data (promise P8 in `docs/design.md`).

use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::binaries;
use crate::deployment::service_targets;
use crate::deployment::wait_until;
use crate::deployment::write_configuration;
use arbutus_config::committed::CONFIG_KEY;

/// Longer than a poll of the platform and the distribution of a change, which take at most 500 ms
/// each.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(50);

fn start(name: &str) -> Deployment {
    let services = vec![service_targets(
        LOOKUP_SERVICE,
        1,
        "--service-ms 5 --cold-ms 0",
    )];
    Deployment::start(name, &["arita", "hakata"], 2, services)
}

/// Runs `arbutusctl apply` with a configuration that was derived from the generation `parent`.
fn apply_configuration(deployment: &Deployment, author: &str, parent: u64) -> Output {
    let directory = deployment.directory.join(author);
    write_configuration(&directory, author);
    Command::new(binaries().join("arbutusctl"))
        .args(["apply", "--json", "--platform"])
        .arg(deployment.fleet.platform.to_string())
        .args(["--parent", &parent.to_string(), "--author", author])
        .arg(Path::new(&directory))
        .output()
        .expect("arbutusctl starts")
}

fn assert_applied(deployment: &Deployment, author: &str, parent: u64) {
    let output = apply_configuration(deployment, author, parent);
    assert!(output.status.success(), "{output:?}");
}

fn generations(deployment: &Deployment) -> Vec<u64> {
    let instances = deployment.fleet.instance_addresses().into_iter();
    let generation =
        |status: Option<Value>| status.and_then(|status| status["generation"].as_u64());
    instances
        .map(|instance| generation(deployment.status(instance)).unwrap_or(0))
        .collect()
}

fn wait_for_generation(deployment: &Deployment, expected: u64) {
    let what = format!("generation {expected} is in effect at all instances");
    let took = wait_until(PROPAGATION_BOUND, &what, || {
        generations(deployment)
            .iter()
            .all(|&generation| generation == expected)
    });
    println!("generation {expected} everywhere after {took:?}");
}

/// Guards against two operators who commit at the same time and are both told that they succeeded.
#[test]
fn one_of_two_concurrent_commits_wins_and_takes_effect_everywhere() {
    let deployment = start("config-race");
    for parent in 1..4 {
        let authors = [format!("aiko-{parent}"), format!("ben-{parent}")];
        let outputs = thread::scope(|scope| {
            let shared = &deployment;
            let operators = authors
                .each_ref()
                .map(|author| scope.spawn(move || apply_configuration(shared, author, parent)));
            operators.map(|operator| operator.join().expect("the operator thread ends"))
        });
        wait_for_generation(&deployment, parent + 1);
        let winners = outputs.iter().filter(|output| output.status.success());
        assert_eq!(winners.count(), 1, "{outputs:?}");
        let author = committed_object(&deployment)["value"]["author"].clone();
        for (name, output) in authors.iter().zip(&outputs) {
            let report: Value =
                serde_json::from_slice(&output.stdout).expect("arbutusctl prints a report");
            let expected = if output.status.success() {
                "accepted"
            } else {
                "conflict"
            };
            assert_eq!(
                (&report["outcome"], author == *name),
                (&json!(expected), output.status.success())
            );
        }
    }
    deployment.stop();
}

/// Guards against a failure domain that cannot reach the platform and keeps the old generation, or
/// whose restarted instance gets none.
#[test]
fn failure_domain_without_the_platform_gets_the_configuration_from_its_peers() {
    let mut deployment = start("config-cut-off");
    assert_applied(&deployment, "before", 1);
    wait_for_generation(&deployment, 2);
    deployment.set_platform_faults(&json!({"block_from": ["arita"]}));
    deployment.fleet.instances[1]
        .process
        .kill()
        .expect("the instance is killed");
    let started_at = Instant::now();
    deployment
        .fleet
        .restart_instance(1)
        .expect("the instance becomes ready");
    println!("ready {:?} after the restart", started_at.elapsed());
    assert_eq!(generations(&deployment)[1], 2);
    assert_applied(&deployment, "after", 2);
    wait_for_generation(&deployment, 3);
    deployment.stop();
}

fn committed_object(deployment: &Deployment) -> Value {
    let path = format!("/v1/objects/{CONFIG_KEY}");
    let object = deployment.fleet.get(deployment.fleet.platform, &path);
    object.expect("the platform responds")
}

fn assert_generation_unchanged(deployment: &Deployment, duration: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        let elapsed = started_at.elapsed();
        assert_eq!(generations(deployment), [3; 4], "after {elapsed:?}");
        thread::sleep(POLL);
    }
}

/// Guards against an instance that activates an older configuration when reads of the platform
/// return older data, or when the platform has lost the write of the newer one.
#[test]
fn older_data_at_the_platform_do_not_revert_the_configuration() {
    let mut deployment = start("config-stale");
    assert_applied(&deployment, "first", 1);
    let older = committed_object(&deployment)["value"].clone();
    assert_applied(&deployment, "second", 2);
    wait_for_generation(&deployment, 3);
    deployment.set_platform_faults(&json!({"stale_reads": 1.0}));
    deployment.fleet.instances[0]
        .process
        .kill()
        .expect("the instance is killed");
    let restarted = deployment.fleet.restart_instance(0);
    restarted.expect("the instance becomes ready");
    wait_for_generation(&deployment, 3);
    assert_generation_unchanged(&deployment, OBSERVATION_PERIOD);
    deployment.set_platform_faults(&json!({"stale_reads": 0.0}));
    let version = committed_object(&deployment)["version"].clone();
    let platform = deployment.fleet.platform;
    let response = deployment
        .fleet
        .agent()
        .put(format!("http://{platform}/v1/objects/{CONFIG_KEY}"))
        .header("If-Match", format!("\"{version}\""))
        .send_json(&older)
        .expect("the platform responds");
    assert!(response.status().is_success(), "{response:?}");
    assert_generation_unchanged(&deployment, OBSERVATION_PERIOD);
    deployment.stop();
}
