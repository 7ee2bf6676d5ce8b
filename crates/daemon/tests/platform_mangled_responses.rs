//! Tests of targets whose responses are cut off or malformed, with real processes.

mod common;

use std::thread;
use std::time::Duration;

use strum::VariantArray;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::stream_request;
use arbutus_standins::simulated_platform::mangler;
use arbutus_standins::simulated_platform::mangler::ConnectionEnd;

/// Time within which a change in the store takes effect.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 4 << 20;

/// Replaces all targets by one that writes these bytes, and returns what is wrong with the responses
/// to requests with a body of this size.
fn accepted_responses(
    cluster: &TestCluster,
    response: &str,
    end: ConnectionEnd,
    body_bytes: usize,
) -> Vec<String> {
    let address = mangler::start(response, end).expect("a port is free");
    for target in &cluster.platform.targets {
        target.set_proxy(address);
        let store = &cluster.platform.store;
        store
            .put_target(&target.entry())
            .expect("the entry can be encoded");
    }
    thread::sleep(Duration::from_millis(500));
    let body = "x".repeat(body_bytes);
    let requests = [
        ClientRequest::new("POST", "/unsafe/1", "unsafe"),
        ClientRequest::new("POST", "/safe/1", "safe"),
        stream_request("/stream/1", "stream"),
        stream_request("/resumable/1", "resumable"),
    ];
    let accepted = requests.into_iter().filter_map(|request| {
        let request = request.with_body(&body);
        let path = request.path.clone();
        let response = request
            .call(cluster.instances[0].client_address())
            .expect("the instance accepts connections");
        let is_success = (200..300).contains(&response.status) && response.is_complete;
        let is_known = [200, 502, 503, 504].contains(&response.status);
        (is_success || !is_known).then(|| format!("{path}: {}", response.status))
    });
    accepted.collect()
}

fn start_cluster_for_uploads() -> TestCluster {
    let cluster = start_cluster(1);
    let mut with_uploads = configuration(2);
    with_uploads.client_limits.max_body_bytes = MAX_BODY_BYTES;
    cluster
        .platform
        .store
        .put_configuration(&with_uploads)
        .expect("the object can be encoded");
    thread::sleep(CONFIGURATION_BOUND);
    cluster
}

/// Guards against a part of a response that looks complete: a target responds without a length before
/// it has read the request, ends its side within the body and resets the connection.
#[test]
fn an_early_response_whose_connection_is_reset_is_not_complete() {
    let cluster = start_cluster_for_uploads();
    let plain = mangler::head("HTTP/1.1 200 OK") + "\r\npart of a body";
    let events = mangler::head("HTTP/1.1 200 OK") + "\r\nid: 1\ndata: token 1\n\n";
    for response in [plain, events] {
        for end in ConnectionEnd::VARIANTS {
            for body_bytes in [300_000, 3_000_000] {
                let accepted = accepted_responses(&cluster, &response, *end, body_bytes);
                assert!(accepted.is_empty(), "{end:?}, {body_bytes}: {accepted:?}");
            }
        }
    }
}

/// Guards against a status that is no HTTP status and reaches a client.
#[test]
fn a_response_with_an_invalid_status_is_not_forwarded() {
    let cluster = start_cluster_for_uploads();
    for status in ["000", "099", "1000", "20", "2x0"] {
        for framing in ["content-length: 2\r\n\r\nok", "\r\nok"] {
            let response = mangler::head(&format!("HTTP/1.1 {status} Odd")) + framing;
            let accepted = accepted_responses(&cluster, &response, ConnectionEnd::Close, 0);
            assert!(accepted.is_empty(), "{response:?}: {accepted:?}");
        }
    }
}

/// Guards against a response head that stops at any point and reaches a client as a response without
/// a body.
#[test]
fn a_response_head_that_stops_is_no_response() {
    let cluster = start_cluster_for_uploads();
    let head = mangler::head("HTTP/1.1 200 OK") + "content-length: 20\r\n\r\n";
    let stops = [
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx-na",
    ];
    let name_end = head.find(": 20").expect("the head has a length");
    let cut = [name_end - 3, name_end + 3, head.len() - 2, head.len() - 1];
    let cut = cut.into_iter().map(|end| &head[..end]);
    for response in stops.into_iter().chain(cut) {
        for end in ConnectionEnd::VARIANTS {
            let accepted = accepted_responses(&cluster, response, *end, 0);
            assert!(accepted.is_empty(), "{response:?}, {end:?}: {accepted:?}");
        }
    }
}
