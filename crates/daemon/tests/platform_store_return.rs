//! Tests of a store that comes back from an older copy, with real processes.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::TestCluster;
use crate::common::start_cluster;
use crate::common::start_cluster_with_targets;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::model::RouteKind;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::TARGETS;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::route;
use arbutus_standins::simulated_platform::target::Target;

const INSTANCES: usize = 4;
/// Writes that are lost, so that the revisions of the copy are far behind.
const LOST_WRITES: usize = 600;
/// Time in which instances learn of each other and choose watchers.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
/// The users' bound for changes of targets and of the configuration.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

struct Drill {
    cluster: TestCluster,
    call_count: usize,
}

impl Drill {
    /// Starts a cluster with two more targets of `desk`; the entry of the last one is not written yet.
    fn start_with_more_targets() -> Self {
        let mut targets = TARGETS.to_vec();
        targets.extend([("d3", "desk", "x"), ("d4", "desk", "y")]);
        let cluster = start_cluster_with_targets(INSTANCES, &targets);
        cluster.platform.store.remove(ObjectKind::Targets, "d4");
        Self::with_cluster(cluster)
    }

    fn with_cluster(cluster: TestCluster) -> Self {
        thread::sleep(DISCOVERY_TIME);
        Self {
            cluster,
            call_count: 0,
        }
    }

    fn target(&self, id: &str) -> Arc<Target> {
        self.cluster.platform.target(id)
    }

    fn write(&self, target: &Target) {
        let written = self.cluster.platform.store.put_target(&target.entry());
        written.expect("the entry can be encoded");
    }

    /// Writes the entries of targets again, as running targets do all the time.
    fn write_running(&self, ids: &[&str]) {
        for id in ids {
            self.write(&self.target(id));
        }
    }

    /// Makes writes that the copy lacks.
    fn write_much(&self) {
        for _ in 0..LOST_WRITES {
            self.write(&self.target("e1"));
        }
        thread::sleep(Duration::from_millis(500));
    }

    /// Sends requests at all instances in turn for a time, and returns the statuses.
    fn call_for(&mut self, path: &str, duration: Duration) -> Vec<u16> {
        let started_at = Instant::now();
        let mut statuses = Vec::new();
        while started_at.elapsed() < duration {
            self.call_count += 1;
            let id = format!("call-{}", self.call_count);
            let instance = &self.cluster.instances[self.call_count % INSTANCES];
            let response = ClientRequest::new("GET", path, &id).call(instance.client_address());
            statuses.push(response.expect("the instance accepts connections").status);
            thread::sleep(CALL_INTERVAL);
        }
        statuses
    }
}

fn arrivals_after(target: &Target, at: Instant) -> usize {
    let arrivals = target.arrivals();
    arrivals.iter().filter(|arrival| **arrival > at).count()
}

/// Guards against instances that ignore all changes after the return, because the revisions of the
/// store are lower than before: a removed target stays in use, and a new one gets nothing.
#[test]
fn changes_after_a_return_to_an_older_copy_take_effect() {
    let mut drill = Drill::start_with_more_targets();
    drill.cluster.platform.store.take_copy();
    drill.write_much();
    drill.cluster.platform.store.return_to_copy();
    drill.write_running(&["d1", "d2", "d3", "e1", "e2", "f1", "s1"]);
    drill.call_for("/safe/1", CHANGE_BOUND);
    drill
        .cluster
        .platform
        .store
        .remove(ObjectKind::Targets, "d3");
    drill.write(&drill.target("d4"));
    let changed_at = Instant::now();
    let statuses = drill.call_for("/safe/1", CHANGE_BOUND * 2);
    let used = arrivals_after(&drill.target("d3"), changed_at + CHANGE_BOUND);
    assert_eq!(used, 0, "requests at the removed target");
    let per_instance = arrivals_after(&drill.target("d4"), changed_at + CHANGE_BOUND);
    assert!(
        per_instance > 4,
        "{per_instance} requests at the new target"
    );
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against a target that was removed, or drained, or a failure domain that was evacuated
/// shortly before the return, and gets requests since the copy shows it as before.
#[test]
fn what_left_before_a_return_gets_no_requests_because_of_the_copy() {
    let mut drill = Drill::start_with_more_targets();
    drill.cluster.platform.store.take_copy();
    drill
        .cluster
        .platform
        .store
        .remove(ObjectKind::Targets, "d3");
    drill.write_much();
    drill.cluster.platform.store.return_to_copy();
    let returned_at = Instant::now();
    drill.write_running(&["d1", "d2", "e1", "e2", "f1", "s1"]);
    let statuses = drill.call_for("/safe/1", CHANGE_BOUND * 2);
    let used = arrivals_after(&drill.target("d3"), returned_at);
    assert_eq!(used, 0, "requests at the removed target");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    // The target starts again and is in use.
    drill.write(&drill.target("d3"));
    drill.call_for("/safe/1", CHANGE_BOUND);
    assert!(arrivals_after(&drill.target("d3"), returned_at) > 0);
}

/// Guards against a configuration that goes back to that of the copy, also at instances that restart,
/// and against instances that do not hear of the next one.
#[test]
fn the_configuration_does_not_go_back_with_the_store() {
    let mut drill = Drill::with_cluster(start_cluster(INSTANCES));
    drill.cluster.platform.store.take_copy();
    let mut newer = configuration(2);
    newer.routes.push(route("/added/", RouteKind::Safe, "desk"));
    let put = |drill: &Drill, configuration| {
        let written = drill
            .cluster
            .platform
            .store
            .put_configuration(configuration);
        written.expect("the object can be encoded");
    };
    put(&drill, &newer);
    drill.write_much();
    thread::sleep(CHANGE_BOUND);
    drill.cluster.platform.store.return_to_copy();
    drill.write_running(&["d1", "d2", "e1", "e2", "f1", "s1"]);
    let statuses = drill.call_for("/added/1", CHANGE_BOUND * 2);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let mut newest = newer.clone();
    newest.version = 3;
    newest
        .routes
        .push(route("/latest/", RouteKind::Safe, "desk"));
    put(&drill, &newest);
    thread::sleep(CHANGE_BOUND);
    let statuses = drill.call_for("/latest/1", CHANGE_BOUND);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
