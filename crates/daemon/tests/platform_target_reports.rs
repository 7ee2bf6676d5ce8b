//! Tests of the shared view of the load of targets, with real processes.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_standins::simulated_platform::client::ClientRequest;

/// Port of the metrics of an instance.
const METRICS_PORT: u16 = 9_464;
/// Time in which instances learn of each other and of a load.
const SHARED_WITHIN: Duration = Duration::from_secs(6);

/// Returns the values of the metrics without labels.
fn metrics(cluster: &TestCluster, instance: usize) -> BTreeMap<String, f64> {
    let mut address = cluster.instances[instance].client_address();
    address.set_port(METRICS_PORT);
    let response = ClientRequest::new("GET", "/metrics", "metrics")
        .call(address)
        .unwrap_or_else(|error| panic!("no metrics at {}: {error}", SocketAddr::V4(address)));
    let values = response.body.lines().filter_map(|line| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    values.collect()
}

fn send_safe(cluster: &TestCluster, instance: usize) {
    let address = cluster.instances[instance].client_address();
    ClientRequest::new("GET", "/safe/1", "s1")
        .call(address)
        .expect("the instance accepts connections");
}

fn set_loads(cluster: &TestCluster, load: &'static str) {
    for target in ["d1", "d2"] {
        cluster.platform.target(target).set_load(load);
    }
}

/// Guards against reports that do not reach the instances that send no requests: those of the same
/// domain and, by its aggregator, those of the other one.
#[test]
fn instances_without_requests_learn_the_load_from_peers() {
    let cluster = start_cluster(4);
    set_loads(&cluster, "2,1,4,120");
    let deadline = Instant::now() + SHARED_WITHIN;
    let is_known = |instance| metrics(&cluster, instance)["arbutus_viewed_targets"] >= 1.0;
    while !(0..4).all(is_known) {
        assert!(Instant::now() < deadline, "not all instances know a load");
        send_safe(&cluster, 0);
        thread::sleep(Duration::from_millis(50));
    }
    for instance in 0..4 {
        let changes = metrics(&cluster, instance)["arbutus_aggregator_changes_total"];
        assert!(changes >= 1.0, "instance {instance} has no aggregator");
    }
}

/// Guards against messages in deployments whose targets report no work figure.
#[test]
fn without_a_work_figure_nothing_is_shared() {
    let cluster = start_cluster(2);
    set_loads(&cluster, "2,1,4");
    for _ in 0..40 {
        send_safe(&cluster, 0);
        thread::sleep(Duration::from_millis(50));
    }
    for instance in 0..2 {
        let values = metrics(&cluster, instance);
        let viewed = values["arbutus_viewed_targets"];
        let changes = values["arbutus_aggregator_changes_total"];
        assert!(viewed < 0.5 && changes < 0.5, "instance {instance}");
    }
}
