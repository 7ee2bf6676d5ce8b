//! Tests of targets that are slow or silent for a while, with real processes. The routes have a
//! timeout of 3 s and a latency objective of 0.5 s.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::store::ObjectKind;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::client::ClientResponse;
use arbutus_standins::simulated_platform::example::complete_stream_body;
use arbutus_standins::simulated_platform::example::stream_request;

const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

fn call(cluster: &TestCluster, request: &ClientRequest) -> ClientResponse {
    request
        .call(cluster.instances[0].client_address())
        .expect("the instance responds")
}

/// Guards against slow streams that are cut although they are sound.
#[test]
fn a_slow_stream_is_complete_and_not_executed_again() {
    let cluster = start_cluster(1);
    for target in &cluster.platform.targets {
        target.set_event_delay(Duration::from_millis(430));
    }
    for path in ["/stream/1", "/resumable/1"] {
        let response = call(&cluster, &stream_request(path, path));
        assert_eq!(response.body, complete_stream_body());
        assert!(response.is_complete);
        assert_eq!(cluster.platform.execution_count(path), 1);
    }
}

/// Guards against streams that never end because a byte arrives now and then.
#[test]
fn a_stream_that_only_drips_ends_with_the_timeout_of_its_route() {
    let cluster = start_cluster(1);
    for target in &cluster.platform.targets {
        target.set_event_delay(Duration::from_millis(100));
        target.set_dripping();
    }
    for path in ["/stream/1", "/resumable/1"] {
        let started_at = Instant::now();
        let response = call(&cluster, &stream_request(path, path));
        let elapsed = started_at.elapsed();
        assert!(!response.is_complete, "{path}");
        assert_eq!(response.body, "");
        assert!(
            elapsed < ROUTE_TIMEOUT + Duration::from_millis(500),
            "{elapsed:?}"
        );
    }
}

/// Guards against work that is given up or begun again elsewhere because its target is missing from
/// the list of targets for a while, or says nothing until its response.
#[test]
fn a_request_at_a_target_whose_entry_is_gone_is_completed_there() {
    let cluster = start_cluster(1);
    for target in &cluster.platform.targets[..2] {
        target.set_response_delay(Duration::from_millis(900));
    }
    let address = cluster.instances[0].client_address();
    let client = thread::spawn(move || {
        let request = ClientRequest::new("POST", "/unsafe/1", "unlisted");
        request.call(address).expect("the instance responds")
    });
    thread::sleep(Duration::from_millis(200));
    for id in ["d1", "d2"] {
        cluster.platform.store.remove(ObjectKind::Targets, id);
    }
    let response = client.join().expect("the client ends");
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(cluster.platform.execution_count("unlisted"), 1);
}
