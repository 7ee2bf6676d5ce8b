//! Guards against responses that say that a call was not executed although it was: without targets,
//! without the platform, and during a shutdown (promise P5 in `docs/design.md`). Also guards
//! against a request that crashes every target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::deployment::DEPOSIT_PIPELINE;
use crate::deployment::DEPOSIT_SERVICE;
use crate::deployment::Deployment;
use crate::deployment::LOOKUP_PIPELINE;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::Response;
use crate::deployment::TIMEOUT;
use crate::deployment::service_targets;
use crate::deployment::wait_until;

const CLIENTS: usize = 6;
/// Pause between retries, in which the datagram with a quarantine entry reaches the other
/// instances.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Number of target crashes after which a request is quarantined.
const QUARANTINE_THRESHOLD: usize = 2;

fn post_deposit(deployment: &Deployment, instance: SocketAddr, key: &str) -> Option<Response> {
    deployment.request(
        instance,
        DEPOSIT_PIPELINE,
        Some(key),
        &json!({ "marker": key }),
    )
}

/// Checks that a request was executed at most once, and that the response agrees with the number of
/// executions at the targets.
fn assert_consistent(deployment: &Deployment, key: &str, response: Option<&Response>) {
    let executions = deployment.execution_count(key);
    assert!(executions <= 1, "{key} was executed {executions} times");
    let Some(response) = response else { return };
    let is_refused = response.body["executed"] == "no";
    assert!(
        !is_refused || executions == 0,
        "{key} was refused and executed: {response:?}"
    );
    assert!(
        response.status != 200 || executions == 1,
        "{key} was not executed: {response:?}"
    );
}

fn count(responses: &[(String, Option<Response>)], predicate: impl Fn(&Response) -> bool) -> usize {
    let responses = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref());
    responses.filter(|response| predicate(response)).count()
}

/// Guards against wrong refusals of deposits while the platform goes down and comes back, and while
/// an instance shuts down.
#[test]
fn refusals_during_an_outage_and_a_shutdown_are_correct() {
    let services = vec![service_targets(
        DEPOSIT_SERVICE,
        1,
        "--service-ms 30 --cold-ms 0",
    )];
    let mut deployment = Deployment::start("refuse-busy", &["arita", "hakata"], 2, services);
    let mut stopping_instance = deployment.fleet.instances.remove(0);
    let mut all = deployment.fleet.instance_addresses();
    all.push(stopping_instance.settings.http_address);
    let responses = Mutex::new(Vec::new());
    let stop_clients = AtomicBool::new(false);
    let client = |client: usize| {
        for number in 0.. {
            if stop_clients.load(Ordering::SeqCst) {
                return;
            }
            let key = format!("{client}-{number}");
            let response = post_deposit(&deployment, all[(client + number) % all.len()], &key);
            responses
                .lock()
                .expect("no client panicked")
                .push((key, response));
            thread::sleep(Duration::from_millis(20));
        }
    };
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let client = &client;
            scope.spawn(move || client(number));
        }
        thread::sleep(Duration::from_secs(1));
        deployment.set_platform_faults(&json!({"outage": "closed"}));
        thread::sleep(Duration::from_millis(1_500));
        deployment.set_platform_faults(&json!({"outage": "none"}));
        thread::sleep(Duration::from_millis(500));
        stopping_instance
            .process
            .terminate()
            .expect("the signal is sent");
        let ended_in_time = stopping_instance
            .process
            .wait(TIMEOUT)
            .expect("the exit status is available");
        stop_clients.store(true, Ordering::SeqCst);
        assert!(ended_in_time.is_some_and(|status| status.success()));
    });
    let responses = responses.into_inner().expect("no client panicked");
    for (key, response) in &responses {
        assert_consistent(&deployment, key, response.as_ref());
    }
    let refused = count(&responses, |response| response.body["executed"] == "no");
    let succeeded = count(&responses, |response| response.status == 200);
    println!(
        "{succeeded} of {} deposits succeeded, {refused} were refused",
        responses.len()
    );
    assert!(succeeded > 0 && refused > 0, "the faults had no effect");
    deployment.stop();
}

/// Guards against deposits that are refused as not executed although their target was killed during
/// the call. Deposits that arrive when no target is left are refused as not executed.
#[test]
fn only_calls_that_reached_no_target_are_refused_as_not_executed() {
    let services = vec![service_targets(
        DEPOSIT_SERVICE,
        1,
        "--service-ms 1500 --cold-ms 0",
    )];
    let mut deployment = Deployment::start("refuse-killed", &["arita"], 2, services);
    let mut target = deployment.fleet.targets.remove(0);
    let all = deployment.fleet.instance_addresses();
    let in_flight = || {
        deployment
            .fleet
            .get(target.address, "/v1/load")
            .expect("the target responds")
    };
    thread::scope(|scope| {
        let client = |number: usize| {
            let (deployment, instance) = (&deployment, all[number % all.len()]);
            scope.spawn(move || post_deposit(deployment, instance, &format!("sent-{number}")))
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        wait_until(PROPAGATION_BOUND, "the deposits are in progress", || {
            in_flight()["in_flight"].as_u64() == Some(CLIENTS as u64)
        });
        target.process.kill().expect("the target is killed");
        for client in clients {
            let response = client
                .join()
                .expect("the client thread ends")
                .expect("the instance responds");
            // The target may have executed the call before it was killed.
            assert_eq!(response.body["executed"], "unknown", "{response:?}");
        }
    });
    for (number, &instance) in all.iter().enumerate() {
        let response = post_deposit(&deployment, instance, &format!("late-{number}"));
        let response = response.expect("the instance responds");
        assert_eq!(response.body["executed"], "no", "{response:?}");
        let retried = post_deposit(&deployment, instance, "sent-0").expect("the instance responds");
        assert_eq!(retried.body["executed"], "unknown", "{retried:?}");
    }
    deployment.stop();
}

fn count_running_targets(deployment: &mut Deployment, service: &str) -> usize {
    let mut running = 0;
    for target in &mut deployment.fleet.targets {
        let exit_status = target
            .process
            .wait(Duration::ZERO)
            .expect("the exit status is available");
        running += usize::from(target.service == service && exit_status.is_none());
    }
    running
}

/// Guards against a request that crashes all targets, when clients retry it at all instances, also
/// with new idempotency keys.
#[test]
fn request_that_crashes_targets_is_quarantined() {
    let options = "--service-ms 20 --cold-ms 0";
    let services = vec![
        service_targets(LOOKUP_SERVICE, 3, options),
        service_targets(DEPOSIT_SERVICE, 3, options),
    ];
    let mut deployment = Deployment::start("refuse-crash", &["arita", "hakata"], 2, services);
    let all = deployment.fleet.instance_addresses();
    let crash = json!({"crash_on": "poison"});
    for (service, pipeline) in [
        (LOOKUP_SERVICE, LOOKUP_PIPELINE),
        (DEPOSIT_SERVICE, DEPOSIT_PIPELINE),
    ] {
        deployment.set_target_faults(service, &crash);
        let body = json!({ "marker": format!("poison-{service}") });
        for round in 0..3 {
            for (number, &instance) in all.iter().enumerate() {
                let key = format!("{service}-{round}-{number}");
                let key = (pipeline == DEPOSIT_PIPELINE).then_some(key.as_str());
                let response = deployment.request(instance, pipeline, key, &body);
                let response = response.expect("the instance responds");
                println!(
                    "{pipeline}: {} {} {}",
                    response.status, response.body["executed"], response.body["title"]
                );
                assert_ne!(response.status, 200, "{response:?}");
                if round > 0 {
                    let kind = "urn:arbutushaven:problem:quarantined";
                    assert_eq!(
                        (&response.body["type"], &response.body["executed"]),
                        (&json!(kind), &json!("no")),
                        "{response:?}"
                    );
                }
                thread::sleep(RETRY_PAUSE);
            }
        }
        let running = count_running_targets(&mut deployment, service);
        println!("{running} of 6 targets of {service} are running");
        assert!(
            running >= 6 - QUARANTINE_THRESHOLD,
            "{running} of 6 targets of {service} are running"
        );
    }
    for instance in all {
        let response = deployment.request(
            instance,
            LOOKUP_PIPELINE,
            None,
            &json!({ "marker": "healthy" }),
        );
        assert_eq!(response.expect("the instance responds").status, 200);
        let key = format!("healthy-{instance}");
        let response = post_deposit(&deployment, instance, &key);
        assert_consistent(&deployment, &key, response.as_ref());
        assert_eq!(response.expect("the instance responds").status, 200);
    }
    deployment.stop();
}
