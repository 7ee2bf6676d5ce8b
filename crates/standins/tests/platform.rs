//! Tests conditional writes, watches and injected faults of the stand-in for the platform.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use arbutus_standins::client::Client;
use arbutus_standins::client::ClientError;
use arbutus_standins::platform::Platform;

const WRITERS: u64 = 6;
const INCREMENTS: u64 = 25;
const COUNTER: &str = "/v1/objects/tests/counter";

fn start_platform() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the platform starts")
}

fn status(error: &ClientError) -> Option<u16> {
    match error {
        ClientError::Status(status, _) => Some(*status),
        ClientError::Transport(_) => None,
    }
}

/// Adds one to the counter with conditional writes and returns the number of conflicts.
fn increment(client: &Client, address: SocketAddr) -> u64 {
    for conflicts in 0..10_000 {
        let object = client.get(address, COUNTER).expect("the counter exists");
        let version = object["version"].to_string();
        let next = object["value"].as_u64().expect("the value is a number") + 1;
        match client.put(address, COUNTER, &[("If-Match", &version)], &next) {
            Ok(_) => return conflicts,
            Err(error) => assert_eq!(status(&error), Some(412)),
        }
    }
    panic!("no update succeeded");
}

/// Guards against lost updates: of two writers that have read the same version, only one may
/// succeed.
#[test]
fn concurrent_conditional_writes_lose_no_update() {
    let platform = start_platform();
    let address = platform.address();
    let client = Client::new();
    client
        .put(address, COUNTER, &[("If-None-Match", "*")], &0)
        .expect("the object is new");
    let second = client.put(address, COUNTER, &[("If-None-Match", "*")], &0);
    assert_eq!(second.err().and_then(|error| status(&error)), Some(412));
    let writers: Vec<_> = (0..WRITERS)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || -> u64 {
                (0..INCREMENTS).map(|_| increment(&client, address)).sum()
            })
        })
        .collect();
    let conflicts: u64 = writers
        .into_iter()
        .map(|writer| writer.join().expect("the writer does not panic"))
        .sum();
    let object = client.get(address, COUNTER).expect("the counter exists");
    assert_eq!(object["value"], json!(WRITERS * INCREMENTS));
    assert!(conflicts > 0, "no two writers conflicted");
}

/// Guards against a fault `lose_answers` that drops the write together with the response. Tests of
/// clients that read an object back after a lost response need the write to have taken effect.
#[test]
fn a_write_whose_response_is_lost_takes_effect() {
    let platform = start_platform();
    let address = platform.address();
    let client = Client::new();
    let faults = json!({ "lose_answers": 1.0 });
    client
        .post(address, "/faults", &faults)
        .expect("the faults are set");
    let response = client.put(address, COUNTER, &[], &7);
    assert!(matches!(response, Err(ClientError::Transport(_))));
    let object = client.get(address, COUNTER).expect("the write took effect");
    assert_eq!(object["value"], json!(7));
    let stats = client.get(address, "/stats").expect("there are statistics");
    assert_eq!(stats["calls"]["lost_answers"], json!(1));
}

/// Guards against a watch that misses a change, after which an instance would keep using an old
/// configuration.
#[test]
fn a_watch_responds_as_soon_as_an_object_changes() {
    let platform = start_platform();
    let address = platform.address();
    let client = Client::new();
    let watch = thread::spawn(move || {
        let watcher = Client::new();
        watcher.get(address, "/v1/watch?prefix=tests/&after=0&timeout_ms=4000")
    });
    thread::sleep(Duration::from_millis(100));
    let started_at = Instant::now();
    client
        .put(address, COUNTER, &[], &1)
        .expect("the object is written");
    let list = watch.join().expect("the watcher does not panic");
    let list = list.expect("the watch gets a response");
    assert_eq!(list["objects"][0]["value"], json!(1));
    assert!(started_at.elapsed() < Duration::from_secs(2));
}

/// Guards against calls that succeed from a blocked failure domain or during an outage; a test of
/// instances could then pass although the fault was not injected.
#[test]
fn calls_fail_from_blocked_domains_and_during_outages() {
    let platform = start_platform();
    let address = platform.address();
    let client = Client::new();
    let set_faults = |faults: Value| client.post(address, "/faults", &faults).map(drop);
    let write = |domain: &str| client.put(address, COUNTER, &[("Failure-Domain", domain)], &1);
    set_faults(json!({ "block_from": ["gent-a"] })).expect("the faults are set");
    assert!(matches!(write("gent-a"), Err(ClientError::Transport(_))));
    write("gent-b").expect("another domain is not blocked");
    set_faults(json!({ "reset": true, "outage": "unavailable" })).expect("the faults are set");
    let rejection = write("gent-b").err().and_then(|error| status(&error));
    assert_eq!(rejection, Some(503));
    set_faults(json!({ "reset": true })).expect("the faults are set");
    write("gent-a").expect("the faults are reset");
}
