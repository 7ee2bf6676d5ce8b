//! Tests of the limits on clients without connections.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use arbutus_coord::Millis;
use arbutus_platform::settings::InstanceSettings;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_serving::client_limits::max_connections;
use arbutus_serving::client_memory::BodyProgress;
use arbutus_serving::client_memory::PROGRESS_BYTES;

fn settings(memory_mb: u64, file_descriptors: Option<u64>) -> InstanceSettings {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    InstanceSettings {
        name: "instance-1".to_owned(),
        ip: Ipv4Addr::LOCALHOST,
        failure_domain: "x".to_owned(),
        client_address: address,
        readiness_address: address,
        peer_ports: (1, 2),
        store_address: address,
        memory_bytes: memory_mb * 1_048_576,
        shares_target_load: false,
        rollout_limits: None,
        file_descriptors,
        link_mbps: 10,
        shutdown_grace_ms: Millis(5_000),
        retry_limits: RetryLimits {
            ratio: 0.2,
            extra_retries: 1.0,
            window_ms: Millis(10_000),
        },
        cold_rate_factor: 1.0,
        extra_cold_rate_per_s: 0.0,
    }
}

/// Guards against connections of clients that take the descriptors of targets, peers and the store,
/// or more memory than their part.
#[test]
fn connections_are_bounded_by_the_scarcer_of_descriptors_and_memory() {
    assert_eq!(max_connections(&settings(512, Some(2_870))), 1_435);
    assert_eq!(max_connections(&settings(112, Some(2_870))), 896);
    assert_eq!(max_connections(&settings(112, None)), 896);
    assert_eq!(max_connections(&settings(0, Some(0))), 8);
}

/// Guards against a client that keeps a body alive by single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let mut progress = BodyProgress::new(Millis(0));
    for now in 1..1_000 {
        progress = progress.with_bytes(Millis(now), 1);
    }
    assert_eq!(progress.stalled_ms(Millis(1_000)), Millis(1_000));
    let progress = progress.with_bytes(Millis(1_000), PROGRESS_BYTES);
    assert_eq!(progress.stalled_ms(Millis(1_010)), Millis(10));
}
