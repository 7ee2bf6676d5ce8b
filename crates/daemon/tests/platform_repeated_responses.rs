//! Tests of targets that write an earlier response once more on a kept connection, with real
//! processes.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::names;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::client::ClientResponse;
use arbutus_standins::simulated_platform::example::complete_stream_body;
use arbutus_standins::simulated_platform::example::staged_stream_request;
use arbutus_standins::simulated_platform::repeater::Repeater;
use arbutus_standins::simulated_platform::target::Fault;

/// Time within which a request that was sent to a target is executed.
const MAX_EXECUTION_DELAY: Duration = Duration::from_millis(500);

/// Puts a repeater in front of a target.
fn add_repeater(cluster: &TestCluster, id: &str) -> Repeater {
    let repeater = Repeater::default();
    let target = cluster.platform.target(id);
    let address = repeater.relay(target.entry().address);
    target.set_proxy(address.expect("the relay listens"));
    let written = cluster.platform.store.put_target(&target.entry());
    written.expect("the entry can be encoded");
    thread::sleep(Duration::from_millis(600));
    repeater
}

/// Leaves one target of the service `desk`, behind a repeater.
fn cluster_with_one_desk() -> (TestCluster, Repeater) {
    let cluster = start_cluster(1);
    let repeater = add_repeater(&cluster, "d1");
    cluster.platform.store.remove(ObjectKind::Targets, "d2");
    thread::sleep(Duration::from_millis(600));
    (cluster, repeater)
}

fn call(cluster: &TestCluster, method: &'static str, path: &str, id: &str) -> ClientResponse {
    ClientRequest::new(method, path, id)
        .call(cluster.instances[0].client_address())
        .expect("the instance responds")
}

/// Guards against clients that get the response to an earlier request, whole or cut.
#[test]
fn a_repeated_response_reaches_no_other_client() {
    let (cluster, repeater) = cluster_with_one_desk();
    let call = |method, path, id: &str| call(&cluster, method, path, id);
    let mut executed = Vec::new();
    for (round, max_bytes) in [usize::MAX, 40, 200].into_iter().enumerate() {
        repeater.record_next();
        call("GET", "/safe/1", &format!("first{round}"));
        repeater.repeat(max_bytes);
        for number in 0..3 {
            let id = format!("r{round}-{number}");
            let response = call("POST", "/unsafe/1", &id);
            if response.status == 200 {
                assert_eq!(response.headers[names::REQUEST_ID.as_str()], id);
                assert_eq!(response.body, "answer of d1");
            }
            // With the copy, the instance responds before the target executes the request.
            let deadline = Instant::now() + MAX_EXECUTION_DELAY;
            while cluster.platform.execution_count(&id) == 0 && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(1));
            }
            assert_eq!(cluster.platform.execution_count(&id), 1);
            executed.push(id);
        }
    }
    assert_eq!(repeater.repeat_count(), 3);
    thread::sleep(MAX_EXECUTION_DELAY);
    for id in executed {
        assert_eq!(cluster.platform.execution_count(&id), 1, "{id}");
    }
}

/// Guards against clients that are told that a request was not executed, or have it executed by a
/// second target, because an earlier refusal was written once more.
#[test]
fn a_repeated_refusal_proves_nothing_about_another_request() {
    let cluster = start_cluster(1);
    let repeater = add_repeater(&cluster, "d1");
    let call = |method, path, id: &str| call(&cluster, method, path, id);
    repeater.record_next();
    cluster
        .platform
        .target("d1")
        .add_fault(Fault::RejectUnexecuted);
    for number in 0..8 {
        call("GET", "/safe/1", &format!("refused{number}"));
    }
    thread::sleep(Duration::from_millis(100));
    for number in 0..8 {
        call("GET", "/safe/1", &format!("kept{number}"));
    }
    repeater.repeat(usize::MAX);
    for number in 0..12 {
        let id = format!("u{number}");
        let status = call("POST", "/unsafe/1", &id).status;
        let executions = cluster.platform.execution_count(&id);
        assert!(executions <= 1, "{id} was executed {executions} times");
        assert!(status != 503 || executions == 0, "{id} was executed");
    }
    assert_eq!(repeater.repeat_count(), 1);
}

/// Guards against pieces that get the results of an earlier call.
#[test]
fn a_repeated_stage_response_gives_no_piece_the_result_of_another_one() {
    let cluster = start_cluster(1);
    let repeater = add_repeater(&cluster, "f1");
    let address = cluster.instances[0].client_address();
    let call = |id: &str| {
        let request = staged_stream_request(id, "1,1", &format!("key-{id}"));
        request.call(address).expect("the instance responds")
    };
    repeater.record_next();
    assert_eq!(call("p0").body, complete_stream_body());
    repeater.repeat(usize::MAX);
    for number in 1..4 {
        assert_eq!(call(&format!("p{number}")).body, complete_stream_body());
    }
    assert_eq!(repeater.repeat_count(), 1);
    // The inputs of the calls of the second stage are the results of the first one.
    let calls = cluster.platform.target("s1").stage_calls();
    let mut inputs: Vec<String> = calls
        .iter()
        .flatten()
        .map(|source| format!("{source:?}"))
        .collect();
    let count = inputs.len();
    inputs.sort_unstable();
    inputs.dedup();
    assert_eq!(inputs.len(), count, "two pieces got the same result");
}

/// Returns the source of the piece whose result has this handle.
fn source_of(cluster: &TestCluster, target: &str, handle: &str) -> PieceSource {
    let number = handle.rsplit('/').next().and_then(|text| text.parse().ok());
    let number: usize = number.expect("the handle has a number");
    let calls = cluster.platform.target(target).stage_calls();
    let mut sources = calls.into_iter().flatten();
    sources.nth(number).expect("the piece was computed")
}

/// Guards against requests that get the results of other requests, because a response without any
/// result was written once more and shifted all later ones of its connection.
#[test]
fn a_repeated_failed_stage_response_shifts_no_results_to_another_request() {
    const CLIENTS: usize = 4;
    const REQUESTS: usize = 6;
    let cluster = start_cluster(1);
    let repeater = add_repeater(&cluster, "f1");
    let call = |id: &str| {
        // Each call is full, so all responses have the same number of results.
        let request = staged_stream_request(id, "8,1", &format!("key-{id}"));
        let response = request.call(cluster.instances[0].client_address());
        response.expect("the instance responds")
    };
    assert_eq!(call("first").body, complete_stream_body());
    // The next response is not that of the call that frees the result.
    thread::sleep(Duration::from_millis(300));
    repeater.record_next();
    cluster.platform.target("f1").fail_next_stage_call();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (repeater, call) = (&repeater, &call);
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    // The recorded response is written once more as soon as there is one.
                    if repeater.repeat_count() == 0 {
                        repeater.repeat(usize::MAX);
                    }
                    call(&format!("c{client}-{number}"));
                }
            });
        }
    });
    let engines = ["e1", "e2"].map(|id| cluster.platform.target(id));
    let executed = engines.iter().flat_map(|engine| engine.executed_requests());
    let mut checked = 0;
    for request in executed {
        let handles = request.headers[&names::INPUT_HANDLES].to_str();
        let second = source_of(&cluster, "s1", handles.expect("handles are text"));
        let PieceSource::Inputs(inputs) = second else {
            panic!("the second stage reads results");
        };
        for input in inputs {
            let first = source_of(&cluster, "f1", &input);
            let key = format!("key-{}", request.request_id);
            assert_eq!(first, PieceSource::Key(key));
        }
        checked += 1;
    }
    assert!(checked > CLIENTS * REQUESTS / 2, "{checked} requests");
    assert_eq!(repeater.repeat_count(), 1);
}
