//! Tests of how instances get changes of the store, with real processes.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::thread;
use std::time::Duration;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::model::RouteKind;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::route;
use arbutus_standins::simulated_platform::instance;
use arbutus_standins::simulated_platform::instance::InstanceProcess;

/// Time within which a change in the store has to take effect.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

/// Time within which the store has lost its responses, which it does at once.
const LOSS: Duration = Duration::from_millis(300);
/// Rest of the 3 s after a disruption of the store, until changes have to take effect in time again.
const REST_OF_CONTACT: Duration = Duration::from_millis(2_700);
/// Time within which a target that drains has to get its last request.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Starts two instances, both of which watch the store because their failure domains differ.
fn start_watchers() -> TestCluster {
    let cluster = start_cluster(2);
    thread::sleep(Duration::from_millis(1_500));
    cluster
}

/// Waits until the store has lost a response to each instance.
fn wait_for_lost_responses(cluster: &TestCluster, kind: ObjectKind) {
    thread::sleep(LOSS);
    assert_eq!(cluster.platform.store.lose_watch_responses(kind, 0), 0);
}

/// Guards against routes and keys of an old configuration that are served on, because the store has
/// lost the response of a watch and its connection stays open.
#[test]
fn a_configuration_whose_watch_response_is_lost_is_in_force_in_time() {
    let cluster = start_watchers();
    let store = &cluster.platform.store;
    store.lose_watch_responses(ObjectKind::Configuration, 2);
    let mut newer = configuration(5);
    newer.routes.push(route("/new/", RouteKind::Safe, "desk"));
    store
        .put_configuration(&newer)
        .expect("the object can be encoded");
    wait_for_lost_responses(&cluster, ObjectKind::Configuration);
    thread::sleep(REST_OF_CONTACT);
    assert_eq!(instance::statuses(&cluster.instances, "/new/1"), [200, 200]);
    // The watch that follows the lost one has to report changes, too.
    let mut without_keys = configuration(6);
    without_keys.organisations_by_key = Some(BTreeMap::new());
    store
        .put_configuration(&without_keys)
        .expect("the object can be encoded");
    thread::sleep(CONFIGURATION_BOUND);
    assert_eq!(
        instance::statuses(&cluster.instances, "/safe/1"),
        [401, 401]
    );
}

/// Guards against requests to a target that drains, and that are lost when it exits, because the
/// store has lost the response of a watch that told of an earlier change.
#[test]
fn a_drain_after_a_lost_watch_response_is_observed_in_time() {
    let cluster = start_watchers();
    let store = &cluster.platform.store;
    let desks = ["d1", "d2"].map(|id| cluster.platform.target(id));
    store.lose_watch_responses(ObjectKind::Targets, 2);
    let mut slower = cluster.platform.target("s1").entry();
    slower.slots += 1;
    store.put_target(&slower).expect("the entry can be encoded");
    wait_for_lost_responses(&cluster, ObjectKind::Targets);
    thread::sleep(REST_OF_CONTACT);
    let mut draining = desks[0].entry();
    draining.accepts_work = false;
    store
        .put_target(&draining)
        .expect("the entry can be encoded");
    thread::sleep(DRAIN_BOUND);
    let served_before = desks[0].executed_requests().len();
    for _ in 0..10 {
        assert_eq!(
            instance::statuses(&cluster.instances, "/safe/1"),
            [200, 200]
        );
    }
    assert_eq!(desks[0].executed_requests().len(), served_before);
    assert!(desks[1].executed_requests().len() >= 20);
}

/// Guards against requests to the targets of an evacuated failure domain, because the store has lost
/// the response of the watch that told of the evacuation.
#[test]
fn an_evacuation_whose_watch_response_is_lost_is_in_force_in_time() {
    let cluster = start_watchers();
    let store = &cluster.platform.store;
    store.lose_watch_responses(ObjectKind::Evacuations, 2);
    store.put(ObjectKind::Evacuations, "x", "{}".to_owned());
    wait_for_lost_responses(&cluster, ObjectKind::Evacuations);
    thread::sleep(REST_OF_CONTACT);
    let target = cluster.platform.target("d1");
    let served_before = target.executed_requests().len();
    for _ in 0..10 {
        assert_eq!(
            instance::statuses(&cluster.instances, "/safe/1"),
            [200, 200]
        );
    }
    assert_eq!(target.executed_requests().len(), served_before);
}

/// Guards against an instance that begins to watch the store and continues from the revision that it
/// knows: the store may have dropped the history since then without telling watches.
#[test]
fn an_instance_that_begins_to_watch_gets_changes_that_no_watch_hears_of() {
    let mut cluster = start_cluster(4);
    thread::sleep(CONFIGURATION_BOUND + Duration::from_millis(500));
    let mut newer = configuration(5);
    newer.routes.push(route("/new/", RouteKind::Safe, "desk"));
    cluster
        .platform
        .store
        .put_configuration_without_history(&newer)
        .expect("the object can be encoded");
    // Without the instance that each failure domain follows, the other one has to watch.
    let is_follower = |instance: &mut InstanceProcess| {
        let log = fs::read_to_string(instance.keep_log()).expect("the instance writes a log");
        let last_role = log
            .lines()
            .rfind(|line| line.contains("store role changed"));
        last_role.is_some_and(|line| line.contains("Follower"))
    };
    let followers: Vec<bool> = cluster.instances.iter_mut().map(is_follower).collect();
    let mut followers = followers.into_iter();
    cluster.instances.retain(|_| followers.next() == Some(true));
    assert_eq!(cluster.instances.len(), 2);
    thread::sleep(CONFIGURATION_BOUND);
    for instance in &cluster.instances {
        let response = ClientRequest::new("GET", "/new/1", "new").call(instance.client_address());
        assert_eq!(
            response.expect("the instance accepts connections").status,
            200
        );
    }
}
