//! Tests of client connections on the users' platform, with real processes.

mod common;

use std::time::Duration;

use crate::common::start_cluster;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::slow_client;

/// Guards against an idle timeout that runs while a response is still being written, and cuts it
/// off.
#[test]
fn a_response_that_takes_longer_than_the_idle_timeout_is_written_completely() {
    /// The client reads the body in 4 seconds; the idle timeout is 2 seconds.
    const READ_INTERVAL: Duration = Duration::from_millis(40);
    let cluster = start_cluster(1);
    for target in &cluster.platform.targets {
        target.set_min_body_bytes(slow_client::BODY_BYTES);
    }
    let connection = ClientRequest::new("GET", "/safe/1", "slow-reader")
        .send(cluster.instances[0].client_address())
        .expect("the instance accepts connections");
    let body_bytes = slow_client::receive_body(connection, READ_INTERVAL);
    assert_eq!(body_bytes, slow_client::BODY_BYTES);
}
