//! Tests of targets that write bytes without end, with real processes.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use strum::VariantArray;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::names;
use arbutus_platform::store::ObjectKind;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::client::ClientResponse;
use arbutus_standins::simulated_platform::example::complete_stream_body;
use arbutus_standins::simulated_platform::example::staged_stream_request;
use arbutus_standins::simulated_platform::example::stream_request;
use arbutus_standins::simulated_platform::flooder::Flood;
use arbutus_standins::simulated_platform::flooder::Flooder;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const CLIENTS_AT_ONCE: usize = 8;
/// Longer than the timeout of a route, which is 3 s, and than the delay of the last response.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(5);

/// Puts a flooder in place of the only target of a service.
fn replace_by_flooder(cluster: &TestCluster, id: &str, flood: Flood) -> Flooder {
    let flooder = Flooder::start(flood).expect("a port is free");
    let target = cluster.platform.target(id);
    target.set_proxy(flooder.address);
    let store = &cluster.platform.store;
    for other in &cluster.platform.targets {
        let entry = other.entry();
        if entry.service == target.entry().service && entry.id != id {
            store.remove(ObjectKind::Targets, &entry.id);
        }
    }
    store
        .put_target(&target.entry())
        .expect("the entry can be encoded");
    thread::sleep(Duration::from_millis(600));
    flooder
}

/// Sends a request from several clients at once, and meanwhile checks the memory of the instance.
/// Returns the responses.
fn call_under_memory_limit(
    cluster: &TestCluster,
    request: impl Fn(usize) -> ClientRequest,
) -> Vec<ClientResponse> {
    let instance = &cluster.instances[0];
    let address = instance.client_address();
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS_AT_ONCE)
        .map(|number| {
            let request = request(number);
            thread::spawn(move || request.call(address).expect("the instance accepts"))
        })
        .collect();
    while clients.iter().any(|client| !client.is_finished()) {
        let usage = instance.usage().expect("the process lives");
        let limit_kb = instance.memory_bytes() / 1_024;
        assert!(usage.resident_kb < limit_kb, "{} KB", usage.resident_kb);
        assert!(
            started_at.elapsed() < MAX_REQUEST_TIME,
            "a request has no end"
        );
        thread::sleep(SAMPLE_INTERVAL);
    }
    let responses = clients.into_iter().map(thread::JoinHandle::join);
    responses
        .map(|response| response.expect("the client does not panic"))
        .collect()
}

/// Guards against an instance that keeps all bytes of a faulty target, runs out of memory and ends,
/// and with it the requests of all its clients.
#[test]
fn endless_responses_of_a_target_do_not_exhaust_the_memory() {
    for flood in Flood::VARIANTS {
        println!("{flood:?}");
        let cluster = start_cluster(1);
        let flooder = replace_by_flooder(&cluster, "d1", *flood);
        for (method, path) in [("GET", "/safe/1"), ("POST", "/unsafe/1")] {
            let responses = call_under_memory_limit(&cluster, |number| {
                ClientRequest::new(method, path, &format!("{number}"))
                    .with_header(names::DEADLINE.as_str(), "1500")
            });
            for response in &responses {
                let is_whole = *flood == Flood::BytesAfterResponse && response.body == "ok";
                assert!(
                    is_whole || response.status != 200 || !response.is_complete,
                    "{flood:?}"
                );
            }
        }
        assert!(flooder.written_bytes() > 0, "{flood:?}");
        let other =
            stream_request("/stream/1", "other").call(cluster.instances[0].client_address());
        let other = other.expect("the instance responds");
        assert_eq!(other.body, complete_stream_body(), "{flood:?}");
    }
}

/// Guards against the same by way of a stream, and of a call for a stage.
#[test]
fn endless_streams_and_stage_responses_do_not_exhaust_the_memory() {
    for flood in [Flood::Body, Flood::Chunks, Flood::Head] {
        let cluster = start_cluster(1);
        let engine = replace_by_flooder(&cluster, "e1", flood);
        let responses = call_under_memory_limit(&cluster, |number| {
            stream_request("/stream/1", &format!("{number}"))
        });
        assert!(
            responses
                .iter()
                .all(|response| !response.is_complete || response.status != 200)
        );
        assert!(engine.written_bytes() > 0, "{flood:?}");
        let stage = replace_by_flooder(&cluster, "f1", flood);
        call_under_memory_limit(&cluster, |number| {
            staged_stream_request(&format!("s{number}"), "1,1", "key")
        });
        assert!(stage.written_bytes() > 0, "{flood:?}");
        let other = ClientRequest::new("GET", "/safe/1", "other");
        let other = other.call(cluster.instances[0].client_address());
        assert_eq!(other.expect("the instance responds").status, 200);
    }
}
