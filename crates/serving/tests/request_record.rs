//! Guards against requests that the exit of an instance cuts off and that are recorded as left by
//! their clients, so that the fault is searched at the client.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::settings::InstanceSettings;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_serving::metrics::RequestLabels;
use arbutus_serving::request::RequestRecord;
use arbutus_serving::shared::Shared;

fn shared() -> Rc<Shared> {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let settings = InstanceSettings {
        name: "instance".to_owned(),
        ip: Ipv4Addr::LOCALHOST,
        failure_domain: "x".to_owned(),
        client_address: address,
        readiness_address: address,
        peer_ports: (1, 1),
        store_address: address,
        memory_bytes: 1,
        file_descriptors: None,
        link_mbps: 0,
        shutdown_grace_ms: Millis(5_000),
        retry_limits: RetryLimits {
            ratio: 0.2,
            extra_retries: 1.0,
            window_ms: Millis(10_000),
        },
        cold_rate_factor: 1.0,
        extra_cold_rate_per_s: 0.0,
        shares_target_load: false,
        rollout_limits: None,
    };
    Shared::new(settings, Clock::new())
}

fn record(shared: &Rc<Shared>) -> RequestRecord {
    let labels = RequestLabels {
        organisation: "-".to_owned(),
        class: "safe-0".to_owned(),
    };
    RequestRecord::new(
        Rc::clone(shared),
        labels,
        "id".to_owned(),
        "route".to_owned(),
        1,
        shared.now(),
    )
}

/// Returns the outcomes of the ended requests with their counts, in alphabetical order.
fn outcomes(shared: &Shared) -> Vec<String> {
    let text = shared.metrics.render();
    let samples = text
        .lines()
        .filter(|line| line.starts_with("arbutus_requests_total{"));
    let mut outcomes: Vec<String> = samples
        .map(|line| {
            let (_, outcome) = line.split_once("outcome=\"").expect("there is an outcome");
            outcome.replace("\"}", "")
        })
        .collect();
    outcomes.sort();
    outcomes
}

#[test]
fn a_request_dropped_before_the_exit_was_left_by_its_client() {
    let shared = shared();
    drop(record(&shared));
    shared.begin_shutdown();
    drop(record(&shared));
    assert_eq!(outcomes(&shared), ["client_left 2"]);
}

#[test]
fn a_request_dropped_at_the_exit_was_cut_off() {
    let shared = shared();
    let in_progress = record(&shared);
    let mut answered = record(&shared);
    answered.outcome = "answered";
    shared.begin_shutdown();
    shared.begin_exit();
    drop((in_progress, answered));
    assert_eq!(outcomes(&shared), ["answered 1", "shutdown 1"]);
}
