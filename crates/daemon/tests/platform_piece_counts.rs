//! Tests of requests with absurd numbers of pieces, with real processes.

mod common;

use crate::common::start_cluster;
use arbutus_platform::names;
use arbutus_standins::simulated_platform::client::ClientConnection;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::staged_stream_request;

/// Guards against a process that ends, and with it the requests of all its clients, because a request
/// names a number of pieces that cannot be allocated or exceeds its memory.
#[test]
fn a_number_of_pieces_that_cannot_be_served_is_rejected_at_once() {
    let cluster = start_cluster(1);
    let instance = &cluster.instances[0];
    let address = instance.client_address();
    let mut kept = ClientConnection::open(address).expect("the instance accepts");
    let counts = [
        "18446744073709551615",
        "99999999999999999999999",
        "18446744073709551615,18446744073709551615",
        "9223372036854775807,9223372036854775807,2",
        "1000000",
        "1025",
        "600,600",
        "-1",
        "1e9",
    ];
    for (number, count) in counts.into_iter().enumerate() {
        let request = staged_stream_request(&format!("p{number}"), count, "key");
        let response = request.call(address).expect("the instance responds");
        assert_eq!(response.status, 400, "{count}");
        let names_header = response.body.contains(names::PIECE_COUNTS.as_str());
        assert!(names_header, "{}", response.body);
        let id = format!("b{number}");
        let booking = ClientRequest::new("POST", "/unsafe/1", &id);
        let response = kept.call(&booking, true).expect("a whole response");
        let response = response.expect("the connection is kept");
        assert_eq!(response.status, 200, "{count}");
        assert_eq!(cluster.platform.execution_count(&id), 1);
    }
    let usage = instance.usage().expect("the process lives");
    assert!(usage.resident_kb * 1_024 < instance.memory_bytes() / 4);
    assert!(instance.is_ready());
}
