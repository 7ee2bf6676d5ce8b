//! Guards against a configuration that is not in effect everywhere in time, or reverts (P8): with
//! operators that race, a failure domain without the platform, and a platform with older data.

use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployment::BOUND;
use crate::deployment::Deployment;
use crate::deployment::LOOKUPS;
use crate::deployment::binaries;
use crate::deployment::eventually;
use crate::deployment::targets;
use crate::deployment::write_configuration;
use arbutus_config::committed::CONFIG_KEY;

/// Longer than a poll of the platform and the spread of news, which take 500 ms each at the most.
const STALE: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(50);

fn start(name: &str) -> Deployment {
    let services = vec![targets(LOOKUPS, 1, "--service-ms 5 --cold-ms 0")];
    Deployment::start(name, &["arita", "hakata"], 2, services)
}

/// Commits a configuration that was made from a generation.
fn apply(deployment: &Deployment, author: &str, parent: u64) -> Output {
    let directory = deployment.directory.join(author);
    write_configuration(&directory, author);
    Command::new(binaries().join("arbutusctl"))
        .args(["apply", "--json", "--platform"])
        .arg(deployment.fleet.platform.to_string())
        .args(["--parent", &parent.to_string(), "--author", author])
        .arg(Path::new(&directory))
        .output()
        .expect("the tool starts")
}

fn assert_applied(deployment: &Deployment, author: &str, parent: u64) {
    let output = apply(deployment, author, parent);
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

fn await_generation(deployment: &Deployment, expected: u64) {
    let what = format!("generation {expected} is in effect at all instances");
    let took = eventually(BOUND, &what, || {
        generations(deployment)
            .iter()
            .all(|&generation| generation == expected)
    });
    println!("generation {expected} everywhere after {took:?}");
}

/// Two operators commit at the same time, and both believe that they have won.
#[test]
fn one_of_two_racing_operators_wins_and_all_instances_follow() {
    let deployment = start("config-race");
    for parent in 1..4 {
        let authors = [format!("aiko-{parent}"), format!("ben-{parent}")];
        let outputs = thread::scope(|scope| {
            let shared = &deployment;
            let racers = authors
                .each_ref()
                .map(|author| scope.spawn(move || apply(shared, author, parent)));
            racers.map(|racer| racer.join().expect("the operator ends"))
        });
        await_generation(&deployment, parent + 1);
        let winners = outputs.iter().filter(|output| output.status.success());
        assert_eq!(winners.count(), 1, "{outputs:?}");
        let author = committed(&deployment)["value"]["author"].clone();
        for (name, output) in authors.iter().zip(&outputs) {
            let said: Value = serde_json::from_slice(&output.stdout).expect("the tool says why");
            let expected = if output.status.success() {
                "accepted"
            } else {
                "conflict"
            };
            assert_eq!(
                (&said["outcome"], author == *name),
                (&json!(expected), output.status.success())
            );
        }
    }
    deployment.stop();
}

/// A failure domain that does not reach the platform keeps the old generation, or an instance that
/// starts there has none.
#[test]
fn failure_domain_without_the_platform_learns_from_its_peers() {
    let mut deployment = start("config-cut-off");
    assert_applied(&deployment, "before", 1);
    await_generation(&deployment, 2);
    deployment.platform_faults(&json!({"block_from": ["arita"]}));
    deployment.fleet.instances[1]
        .process
        .kill()
        .expect("the instance is killed");
    let begun = Instant::now();
    deployment
        .fleet
        .restart_instance(1)
        .expect("the instance becomes ready");
    println!("ready {:?} after the restart", begun.elapsed());
    assert_eq!(generations(&deployment)[1], 2);
    assert_applied(&deployment, "after", 2);
    await_generation(&deployment, 3);
    deployment.stop();
}

fn committed(deployment: &Deployment) -> Value {
    let path = format!("/v1/objects/{CONFIG_KEY}");
    let object = deployment.fleet.get(deployment.fleet.platform, &path);
    object.expect("the platform answers")
}

fn assert_steady(deployment: &Deployment, span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        let elapsed = begun.elapsed();
        assert_eq!(generations(deployment), [3; 4], "after {elapsed:?}");
        thread::sleep(POLL);
    }
}

/// The platform answers reads with older data, or has lost a write, and an instance puts in force
/// what it reads.
#[test]
fn older_data_of_the_platform_revert_nothing() {
    let mut deployment = start("config-stale");
    assert_applied(&deployment, "first", 1);
    let older = committed(&deployment)["value"].clone();
    assert_applied(&deployment, "second", 2);
    await_generation(&deployment, 3);
    deployment.platform_faults(&json!({"stale_reads": 1.0}));
    deployment.fleet.instances[0]
        .process
        .kill()
        .expect("the instance is killed");
    let restarted = deployment.fleet.restart_instance(0);
    restarted.expect("the instance becomes ready");
    await_generation(&deployment, 3);
    assert_steady(&deployment, STALE);
    deployment.platform_faults(&json!({"stale_reads": 0.0}));
    let version = committed(&deployment)["version"].clone();
    let platform = deployment.fleet.platform;
    let answer = deployment
        .fleet
        .agent()
        .put(format!("http://{platform}/v1/objects/{CONFIG_KEY}"))
        .header("If-Match", format!("\"{version}\""))
        .send_json(&older)
        .expect("the platform answers");
    assert!(answer.status().is_success(), "{answer:?}");
    assert_steady(&deployment, STALE);
    deployment.stop();
}
