//! Tests of how instances get changes of the store, with real processes.

mod common;

use std::fs;
use std::thread;
use std::time::Duration;

use crate::common::start_cluster;
use arbutus_policy::serving::model::RouteKind;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::route;
use arbutus_standins::simulated_platform::instance::InstanceProcess;

/// Time within which a change in the store has to take effect.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

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
