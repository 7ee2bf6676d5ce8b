//! Guards against tokens that are lost, repeated, out of order or from another request, when
//! engines stall, truncate streams, are killed or respond with wrong identifiers; and against a
//! `done` event of an incomplete stream (promises P1 and P4 in `docs/design.md`).

use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::ENGINE_SERVICE;
use crate::deployment::LOOKUP_PIPELINE;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::StreamResult;
use crate::deployment::TIMEOUT;
use crate::deployment::service_targets;
use crate::deployment::wait_until;
use arbutus_standins::target::TargetStats;

const STREAMS: usize = 8;
/// Number of tokens after which streams count as in progress.
const IN_PROGRESS_TOKENS: u64 = 4;
const FAULT_AFTER_TOKENS: u32 = 10;
const ENGINE_OPTIONS: &str = "--service-ms 20 --token-ms 20 --cold-ms 0";

fn start(name: &str) -> Deployment {
    let services = vec![
        service_targets(ENGINE_SERVICE, 2, ENGINE_OPTIONS),
        service_targets(LOOKUP_SERVICE, 1, "--service-ms 5 --cold-ms 0"),
    ];
    Deployment::start(name, &["arita", "hakata"], 1, services)
}

fn request_body(name: &str, number: usize) -> Value {
    json!({ "marker": format!("{name}-{number}"), "prompt": format!("{name} {number}") })
}

/// Reads streams from all instances, and runs `action` when the first tokens have been sent.
fn streams_during(deployment: &Deployment, name: &str, action: impl FnOnce()) -> Vec<StreamResult> {
    let instances = deployment.fleet.instance_addresses();
    let before = sent_tokens(deployment);
    thread::scope(|scope| {
        let stream = |number: usize| {
            let instance = instances[number % instances.len()];
            scope.spawn(move || deployment.read_stream(instance, &request_body(name, number)))
        };
        let clients: Vec<_> = (0..STREAMS).map(stream).collect();
        wait_until(TIMEOUT, "tokens have been sent", || {
            sent_tokens(deployment) > before + IN_PROGRESS_TOKENS
        });
        action();
        let join = |client: thread::ScopedJoinHandle<'_, _>| {
            client.join().expect("the client thread ends")
        };
        clients.into_iter().map(join).collect()
    })
}

fn assert_all_complete(deployment: &Deployment, name: &str, action: impl FnOnce()) {
    let streamed = streams_during(deployment, name, action);
    for (number, streamed) in streamed.iter().enumerate() {
        streamed.assert_complete(&request_body(name, number));
    }
}

fn sent_tokens(deployment: &Deployment) -> u64 {
    sum_counter(deployment, |stats| stats.tokens)
}

fn sum_counter(deployment: &Deployment, counter: impl Fn(TargetStats) -> u64) -> u64 {
    let targets = 0..deployment.fleet.targets.len();
    targets.map(|index| counter(deployment.stats(index))).sum()
}

/// Guards against incomplete streams when one engine stalls in the middle of a stream, and another
/// ends the response there without a `done` event.
#[test]
fn stalled_and_truncated_streams_are_resumed() {
    let deployment = start("streams-cut");
    let faults = ["stall_after_tokens", "truncate_after_tokens"];
    for (index, fault) in [0, 3].into_iter().zip(faults) {
        let address = deployment.fleet.targets[index].address;
        deployment.post(address, "/faults", &json!({ fault: FAULT_AFTER_TOKENS }));
    }
    assert_all_complete(&deployment, "cut", || {});
    for (index, event) in ["stream_stalled", "stream_truncated"]
        .into_iter()
        .enumerate()
    {
        let count = deployment.event_count(deployment.address(index), event);
        assert!(count > 0, "no {event}");
        println!("{event}: {count}");
    }
    deployment.stop();
}

/// Drains the engines of the second failure domain, so that its streams are forwarded.
fn drain_engines(deployment: &Deployment) {
    for name in ["hearth-llm-hakata-0", "hearth-llm-hakata-1"] {
        let drain_request = json!({"kind": "target", "name": name, "drained": true});
        deployment.post(deployment.address(0), "/admin/drain", &drain_request);
    }
    thread::sleep(PROPAGATION_BOUND);
}

/// Guards against a client that waits until its deadline because the instance to which its stream
/// was forwarded is paused.
#[test]
fn stream_forwarded_to_a_paused_instance_is_resumed() {
    let services = vec![service_targets(ENGINE_SERVICE, 2, ENGINE_OPTIONS)];
    let deployment = Deployment::start("streams-pause", &["arita", "hakata"], 2, services);
    drain_engines(&deployment);
    let body = request_body("pause", 0);
    let is_busy = |index: &usize| {
        let status = deployment.status(deployment.address(*index));
        status.expect("the instance responds")["requests_in_progress"].as_u64() > Some(0)
    };
    let paused = thread::scope(|scope| {
        let client = scope.spawn(|| deployment.read_stream(deployment.address(2), &body));
        wait_until(TIMEOUT, "tokens have been sent", || {
            sent_tokens(&deployment) > IN_PROGRESS_TOKENS
        });
        let paused = [0, 1].into_iter().find(is_busy);
        let paused = paused.expect("the stream is forwarded");
        let process = &deployment.fleet.instances[paused].process;
        process.pause().expect("the signal is sent");
        client
            .join()
            .expect("the client thread ends")
            .assert_complete(&body);
        paused
    });
    let process = &deployment.fleet.instances[paused].process;
    process.resume().expect("the signal is sent");
    deployment.stop();
}

/// Guards against an instance that abandons a forwarded stream because no tokens arrive while the
/// other instance resumes it.
#[test]
fn forwarded_stream_is_resumed_by_the_instance_that_executes_it() {
    let deployment = start("streams-forward");
    drain_engines(&deployment);
    let address = deployment.fleet.targets[0].address;
    deployment.post(
        address,
        "/faults",
        &json!({"stall_after_tokens": FAULT_AFTER_TOKENS}),
    );
    assert_all_complete(&deployment, "forward", || {});
    let count = deployment.event_count(deployment.address(0), "stream_stalled");
    assert!(count > 0, "no stream stalled");
    deployment.stop();
}

/// Guards against incomplete streams when an engine is killed in the middle of them.
#[test]
fn streams_of_a_killed_engine_are_resumed() {
    let mut deployment = start("streams-kill");
    let mut killed = deployment.fleet.targets.remove(0);
    assert_eq!(killed.service, ENGINE_SERVICE);
    let load = |address| {
        deployment
            .fleet
            .get(address, "/v1/load")
            .expect("the target responds")
    };
    assert_all_complete(&deployment, "kill", || {
        wait_until(TIMEOUT, "the engine has streams", || {
            load(killed.address)["in_flight"].as_u64() > Some(0)
        });
        killed.process.kill().expect("the engine is killed");
    });
    let resumed = sum_counter(&deployment, |stats| stats.resumed);
    assert!(resumed > 0, "no stream was resumed");
    println!("{resumed} streams resumed");
    deployment.stop();
}

/// Guards against responses with the identifiers of another request that are delivered to the
/// client.
#[test]
fn responses_with_wrong_identifiers_are_never_delivered() {
    let deployment = start("streams-echo");
    let wrong_echo = json!({"wrong_echo": true});
    deployment.post(deployment.fleet.targets[0].address, "/faults", &wrong_echo);
    for (number, streamed) in streams_during(&deployment, "echo", || {})
        .iter()
        .enumerate()
    {
        // The retry budget may refuse a retry, but no token of another request may be delivered.
        println!("{number}: {:?} {:?}", streamed.done, streamed.error);
        if streamed.error.is_none() {
            streamed.assert_complete(&request_body("echo", number));
        } else {
            assert_eq!((&streamed.tokens, &streamed.done), (&Vec::new(), &None));
        }
    }
    for service in [ENGINE_SERVICE, LOOKUP_SERVICE] {
        deployment.set_target_faults(service, &wrong_echo);
    }
    let executed = sum_counter(&deployment, |stats| stats.executed);
    for (number, instance) in deployment
        .fleet
        .instance_addresses()
        .into_iter()
        .enumerate()
    {
        let streamed = deployment.read_stream(instance, &request_body("wrong", number));
        assert_eq!((&streamed.tokens, &streamed.done), (&Vec::new(), &None));
        let error = streamed.error.expect("the client receives an error");
        assert_eq!(error["executed"], "unknown", "{error}");
        let response = deployment.request(
            instance,
            LOOKUP_PIPELINE,
            None,
            &request_body("wrong", number),
        );
        let response = response.expect("the instance responds");
        assert_ne!(response.status, 200, "{response:?}");
        assert_eq!(response.body["executed"], "unknown", "{response:?}");
    }
    assert!(
        sum_counter(&deployment, |stats| stats.executed) > executed,
        "no request was executed"
    );
    deployment.stop();
}

/// Guards against a stream that looks complete to its client although the instance was killed.
#[test]
fn stream_of_a_killed_instance_has_no_done_event() {
    let mut deployment = start("streams-instance");
    let mut killed = deployment.fleet.instances.remove(0);
    let address = killed.settings.http_address;
    let body = request_body("instance", 0);
    let streamed = thread::scope(|scope| {
        let shared = &deployment;
        let client = scope.spawn(|| shared.read_stream(address, &body));
        wait_until(TIMEOUT, "tokens have been sent", || {
            sent_tokens(shared) > IN_PROGRESS_TOKENS
        });
        killed.process.kill().expect("the instance is killed");
        client.join().expect("the client thread ends")
    });
    assert!(!streamed.tokens.is_empty(), "no token had arrived");
    assert_eq!((streamed.done, streamed.error), (None, None));
    deployment.stop();
}
