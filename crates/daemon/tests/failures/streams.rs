//! Guards against tokens that are lost, repeated, out of order or of another request (P1, P4),
//! when engines stall, truncate, are killed or answer with other identifiers, and against a
//! `done` of a stream that is not whole.

use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::deployment::BOUND;
use crate::deployment::Deployment;
use crate::deployment::ENGINES;
use crate::deployment::LOOKUP;
use crate::deployment::LOOKUPS;
use crate::deployment::PATIENCE;
use crate::deployment::Streamed;
use crate::deployment::eventually;
use crate::deployment::targets;
use arbutus_standins::target::TargetStats;

const STREAMS: usize = 8;
/// The tokens after which streams count as in progress.
const FLOWING: u64 = 4;
const CUT_AT: u32 = 10;
const ENGINE: &str = "--service-ms 20 --token-ms 20 --cold-ms 0";

fn start(name: &str) -> Deployment {
    let services = vec![
        targets(ENGINES, 2, ENGINE),
        targets(LOOKUPS, 1, "--service-ms 5 --cold-ms 0"),
    ];
    Deployment::start(name, &["arita", "hakata"], 1, services)
}

fn input(name: &str, number: usize) -> Value {
    json!({ "marker": format!("{name}-{number}"), "prompt": format!("{name} {number}") })
}

/// Reads streams at all instances while `act` runs, which begins when tokens flow.
fn streams_during(deployment: &Deployment, name: &str, act: impl FnOnce()) -> Vec<Streamed> {
    let instances = deployment.fleet.instance_addresses();
    let before = tokens(deployment);
    thread::scope(|scope| {
        let stream = |number: usize| {
            let instance = instances[number % instances.len()];
            scope.spawn(move || deployment.stream(instance, &input(name, number)))
        };
        let callers: Vec<_> = (0..STREAMS).map(stream).collect();
        eventually(PATIENCE, "tokens flow", || {
            tokens(deployment) > before + FLOWING
        });
        act();
        let join = |caller: thread::ScopedJoinHandle<'_, _>| caller.join().expect("it ends");
        callers.into_iter().map(join).collect()
    })
}

fn assert_all_whole(deployment: &Deployment, name: &str, act: impl FnOnce()) {
    let streamed = streams_during(deployment, name, act);
    for (number, streamed) in streamed.iter().enumerate() {
        streamed.assert_whole(&input(name, number));
    }
}

fn tokens(deployment: &Deployment) -> u64 {
    sum(deployment, |stats| stats.tokens)
}

fn sum(deployment: &Deployment, counter: impl Fn(TargetStats) -> u64) -> u64 {
    let targets = 0..deployment.fleet.targets.len();
    targets.map(|index| counter(deployment.stats(index))).sum()
}

/// An engine falls silent in mid-stream, and one ends the body there without `done`.
#[test]
fn stalled_and_truncated_streams_are_resumed() {
    let deployment = start("streams-cut");
    let faults = ["stall_after_tokens", "truncate_after_tokens"];
    for (index, fault) in [0, 3].into_iter().zip(faults) {
        let address = deployment.fleet.targets[index].address;
        deployment.post(address, "/faults", &json!({ fault: CUT_AT }));
    }
    assert_all_whole(&deployment, "cut", || {});
    for (index, event) in ["stream_stalled", "stream_truncated"]
        .into_iter()
        .enumerate()
    {
        let met = deployment.events(deployment.address(index), event);
        assert!(met > 0, "no {event}");
        println!("{event}: {met}");
    }
    deployment.stop();
}

/// Lets the second failure domain forward its streams.
fn drain_engines(deployment: &Deployment) {
    for name in ["hearth-llm-hakata-0", "hearth-llm-hakata-1"] {
        let order = json!({"kind": "target", "name": name, "drained": true});
        deployment.post(deployment.address(0), "/admin/drain", &order);
    }
    thread::sleep(BOUND);
}

/// The instance that a stream was forwarded to is paused, and the caller waits until the deadline.
#[test]
fn forwarded_stream_of_a_paused_instance_is_resumed() {
    let services = vec![targets(ENGINES, 2, ENGINE)];
    let deployment = Deployment::start("streams-pause", &["arita", "hakata"], 2, services);
    drain_engines(&deployment);
    let body = input("pause", 0);
    let is_busy = |index: &usize| {
        let status = deployment.status(deployment.address(*index));
        status.expect("the instance answers")["requests_in_progress"].as_u64() > Some(0)
    };
    let paused = thread::scope(|scope| {
        let caller = scope.spawn(|| deployment.stream(deployment.address(2), &body));
        eventually(PATIENCE, "tokens flow", || tokens(&deployment) > FLOWING);
        let paused = [0, 1].into_iter().find(is_busy);
        let paused = paused.expect("the stream is forwarded");
        let process = &deployment.fleet.instances[paused].process;
        process.pause().expect("the signal is sent");
        caller.join().expect("the caller ends").assert_whole(&body);
        paused
    });
    let process = &deployment.fleet.instances[paused].process;
    process.resume().expect("the signal is sent");
    deployment.stop();
}

/// A forwarded stream is silent while the other instance resumes it, and is taken for broken.
#[test]
fn forwarded_stream_is_resumed_where_it_runs() {
    let deployment = start("streams-forward");
    drain_engines(&deployment);
    let address = deployment.fleet.targets[0].address;
    deployment.post(address, "/faults", &json!({"stall_after_tokens": CUT_AT}));
    assert_all_whole(&deployment, "forward", || {});
    let met = deployment.events(deployment.address(0), "stream_stalled");
    assert!(met > 0, "no stream stalled");
    deployment.stop();
}

/// An engine is killed in the middle of streams.
#[test]
fn streams_of_a_killed_engine_are_resumed() {
    let mut deployment = start("streams-kill");
    let mut victim = deployment.fleet.targets.remove(0);
    assert_eq!(victim.service, ENGINES);
    let load = |address| {
        deployment
            .fleet
            .get(address, "/v1/load")
            .expect("it answers")
    };
    assert_all_whole(&deployment, "kill", || {
        eventually(PATIENCE, "the engine has streams", || {
            load(victim.address)["in_flight"].as_u64() > Some(0)
        });
        victim.process.kill().expect("the engine is killed");
    });
    let resumed = sum(&deployment, |stats| stats.resumed);
    assert!(resumed > 0, "no stream was broken");
    println!("{resumed} resumptions");
    deployment.stop();
}

/// Answers that carry the identifiers of another request are delivered to the caller.
#[test]
fn answers_with_other_identifiers_are_never_delivered() {
    let deployment = start("streams-echo");
    let wrong = json!({"wrong_echo": true});
    deployment.post(deployment.fleet.targets[0].address, "/faults", &wrong);
    for (number, streamed) in streams_during(&deployment, "echo", || {})
        .iter()
        .enumerate()
    {
        // The retry budget may refuse another attempt, but nothing wrong is delivered.
        println!("{number}: {:?} {:?}", streamed.done, streamed.error);
        if streamed.error.is_none() {
            streamed.assert_whole(&input("echo", number));
        } else {
            assert_eq!((&streamed.tokens, &streamed.done), (&Vec::new(), &None));
        }
    }
    for service in [ENGINES, LOOKUPS] {
        deployment.target_faults(service, &wrong);
    }
    let executed = sum(&deployment, |stats| stats.executed);
    for (number, instance) in deployment
        .fleet
        .instance_addresses()
        .into_iter()
        .enumerate()
    {
        let streamed = deployment.stream(instance, &input("wrong", number));
        assert_eq!((&streamed.tokens, &streamed.done), (&Vec::new(), &None));
        let error = streamed.error.expect("the caller gets an error");
        assert_eq!(error["executed"], "unknown", "{error}");
        let answer = deployment.request(instance, LOOKUP, None, &input("wrong", number));
        let answer = answer.expect("the instance answers");
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["executed"], "unknown", "{answer:?}");
    }
    assert!(
        sum(&deployment, |stats| stats.executed) > executed,
        "nothing ran"
    );
    deployment.stop();
}

/// The caller takes a stream for whole that ended because its instance was killed.
#[test]
fn stream_of_a_killed_instance_has_no_done() {
    let mut deployment = start("streams-instance");
    let mut victim = deployment.fleet.instances.remove(0);
    let address = victim.settings.http_address;
    let body = input("instance", 0);
    let streamed = thread::scope(|scope| {
        let shared = &deployment;
        let caller = scope.spawn(|| shared.stream(address, &body));
        eventually(PATIENCE, "tokens flow", || tokens(shared) > FLOWING);
        victim.process.kill().expect("the instance is killed");
        caller.join().expect("the caller ends")
    });
    assert!(!streamed.tokens.is_empty(), "the stream had not begun");
    assert_eq!((streamed.done, streamed.error), (None, None));
    deployment.stop();
}
