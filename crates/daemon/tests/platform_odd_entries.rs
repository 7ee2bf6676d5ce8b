//! Tests of store objects that another writer has damaged, with real processes.

mod common;

use std::thread;
use std::time::Duration;

use crate::common::TestCluster;
use crate::common::start_cluster;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::serving::model::RouteKind;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::example::route;
use arbutus_standins::simulated_platform::instance;

/// Time within which a change in the store has to take effect.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Time until a change is read without faults.
const READ_TIME: Duration = Duration::from_millis(400);

/// Returns the content of an entry of the service `desk` with one of its fields replaced, or added.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", "\"desk\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"x\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("cold_remaining_ms", "0"),
        ("born", "1"),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let fields: Vec<String> = fields
        .into_iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Returns contents that name no target to use.
fn unusable_contents() -> Vec<Vec<u8>> {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let deep_object = "{\"a\":".repeat(100_000) + "1" + &"}".repeat(100_000);
    let mut contents = vec![
        b"\"\xff\xfe\x80\"".to_vec(),
        b"{\"service\":\"de\xc3\"}".to_vec(),
        b"\"\\ud800\"".to_vec(),
        deep.into_bytes(),
        deep_object.into_bytes(),
        b"1e999".to_vec(),
        b"null".to_vec(),
        b"{}".to_vec(),
    ];
    for (field, value) in [
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "80"),
        ("slots", "99999999999999999999999"),
        ("slots", "-1"),
        ("slots", "1e999"),
        ("cold_remaining_ms", "1e999"),
        ("cold_remaining_ms", "\"1\""),
        ("born", "-1"),
        ("born", "1e30"),
        ("state", "\"gone\""),
        ("zone", "[]"),
    ] {
        contents.push(entry_with(field, value));
    }
    contents
}

impl TestCluster {
    /// Fails if an instance has not observed that a target drains.
    fn assert_drain_is_observed(&self, id: &str, cause: &str) {
        let target = self.platform.target(id);
        let mut entry = target.entry();
        entry.accepts_work = false;
        let store = &self.platform.store;
        store.put_target(&entry).expect("the entry can be encoded");
        thread::sleep(CHANGE_BOUND);
        let served_before = target.executed_requests().len();
        for _ in 0..6 {
            assert_eq!(
                instance::statuses(&self.instances, "/safe/1"),
                [200, 200],
                "{cause}"
            );
        }
        let served = target.executed_requests().len();
        assert_eq!(served, served_before, "{cause}");
        let entry = target.entry();
        store.put_target(&entry).expect("the entry can be encoded");
        thread::sleep(READ_TIME);
    }
}

/// Guards against instances that end, or hear of no change of any target any more, because of one
/// entry that another writer has damaged.
#[test]
fn an_entry_that_cannot_be_read_hides_no_other_target() {
    let mut cluster = start_cluster(2);
    let kind = ObjectKind::Targets;
    for (number, content) in unusable_contents().iter().enumerate() {
        let name = format!("odd-{number}");
        cluster.platform.store.put_raw(kind, &name, content);
    }
    thread::sleep(READ_TIME);
    cluster.assert_drain_is_observed("d1", "after changes of entries");
    // An instance that starts reads all of them in one list.
    for instance in &mut cluster.instances {
        instance.kill().expect("the process lives");
        instance.restart().expect("the instance starts");
    }
    for instance in &cluster.instances {
        instance.wait_until_ready().expect("the instance is ready");
    }
    cluster.assert_drain_is_observed("d2", "after a list");
}

/// Guards against requests to a target whose entry was damaged after it had been valid: it names no
/// target to use.
#[test]
fn a_target_whose_entry_becomes_unreadable_is_not_used() {
    let cluster = start_cluster(2);
    let store = &cluster.platform.store;
    for content in unusable_contents() {
        store.put_raw(ObjectKind::Targets, "d1", &content);
        thread::sleep(READ_TIME);
        let served_before = cluster.platform.target("d1").executed_requests().len();
        for _ in 0..4 {
            assert_eq!(
                instance::statuses(&cluster.instances, "/safe/1"),
                [200, 200]
            );
        }
        let served = cluster.platform.target("d1").executed_requests().len();
        let text = String::from_utf8_lossy(&content[..content.len().min(120)]).into_owned();
        assert_eq!(served, served_before, "{text}");
    }
}

/// Guards against instances that end, or follow no later version, because of a configuration or an
/// entry of an instance that cannot be read.
#[test]
fn an_unreadable_configuration_leaves_the_last_one_in_force() {
    let cluster = start_cluster(2);
    let store = &cluster.platform.store;
    for (number, content) in unusable_contents().iter().enumerate() {
        let name = format!("odd-{number}");
        store.put_raw(ObjectKind::Instances, &name, content);
        store.put_raw(ObjectKind::Configuration, "main", content);
        store.put_raw(ObjectKind::Configuration, &name, content);
    }
    thread::sleep(CHANGE_BOUND);
    assert_eq!(
        instance::statuses(&cluster.instances, "/safe/1"),
        [200, 200]
    );
    let mut newer = configuration(5);
    newer.routes.push(route("/new/", RouteKind::Safe, "desk"));
    store
        .put_configuration(&newer)
        .expect("the object can be encoded");
    thread::sleep(CHANGE_BOUND);
    assert_eq!(instance::statuses(&cluster.instances, "/new/1"), [200, 200]);
}
