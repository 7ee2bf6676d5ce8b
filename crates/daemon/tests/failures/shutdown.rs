//! Guards against a graceful shutdown that interrupts streams, lookups, deposits or work that was
//! forwarded in either direction (promise P7 in `docs/design.md`).

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployment::DEPOSIT_PIPELINE;
use crate::deployment::DEPOSIT_SERVICE;
use crate::deployment::Deployment;
use crate::deployment::ENGINE_SERVICE;
use crate::deployment::LOOKUP_PIPELINE;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::Response;
use crate::deployment::TIMEOUT;
use crate::deployment::service_targets;
use crate::deployment::wait_until;

const CLIENTS: usize = 4;
/// Target options with an execution time of 2 s, which is longer than an instance without requests
/// takes to shut down.
const SLOW_SERVICE: &str = "--service-ms 2000 --cold-ms 0";
const ENGINE_OPTIONS: &str = "--service-ms 50 --token-ms 50 --cold-ms 0";

/// Sends streams and lookups to an instance, and checks that the responses are complete.
fn read_responses(deployment: &Deployment, instance: SocketAddr, name: &str) {
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let body = json!({ "marker": format!("{name}-{number}") });
            let lookup_body = body.clone();
            scope.spawn(move || {
                deployment
                    .read_stream(instance, &body)
                    .assert_complete(&body);
            });
            scope.spawn(move || {
                let response = deployment.request(instance, LOOKUP_PIPELINE, None, &lookup_body);
                assert_complete_response(response, &lookup_body);
            });
        }
    });
}

/// Sends deposits to an instance, and checks that the responses are complete.
fn post_deposits(deployment: &Deployment, instance: SocketAddr) -> Vec<Response> {
    thread::scope(|scope| {
        let client = |number: usize| {
            scope.spawn(move || {
                let body = json!({ "marker": key(number) });
                let response =
                    deployment.request(instance, DEPOSIT_PIPELINE, Some(&key(number)), &body);
                assert_complete_response(response, &body)
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        let join = |client: thread::ScopedJoinHandle<'_, _>| {
            client.join().expect("the client thread ends")
        };
        clients.into_iter().map(join).collect()
    })
}

fn key(number: usize) -> String {
    format!("booking-{number}")
}

fn assert_complete_response(response: Option<Response>, body: &Value) -> Response {
    let response = response.expect("the complete response arrives");
    assert_eq!(
        (response.status, &response.body["origin"]),
        (200, body),
        "{response:?}"
    );
    response
}

/// Guards against the interruption of requests that are in progress when an instance receives the
/// signal: requests of its own clients, and those that it forwarded or that were forwarded to it.
#[test]
fn shutdown_finishes_all_work_in_progress() {
    let services = vec![
        service_targets(ENGINE_SERVICE, 1, ENGINE_OPTIONS),
        service_targets(LOOKUP_SERVICE, 1, SLOW_SERVICE),
        service_targets(DEPOSIT_SERVICE, 1, SLOW_SERVICE),
    ];
    let mut deployment = Deployment::start("shutdown", &["arita", "hakata"], 1, services);
    // Streams of `arita` are forwarded to `hakata`, and lookups of `hakata` to `arita`.
    for (service, failure_domain) in [(ENGINE_SERVICE, "arita"), (LOOKUP_SERVICE, "hakata")] {
        let name = format!("{service}-{failure_domain}-0");
        let drain_request = json!({"kind": "target", "name": name, "drained": true});
        deployment.post(deployment.address(0), "/admin/drain", &drain_request);
    }
    thread::sleep(PROPAGATION_BOUND);
    let mut stopping_instance = deployment.fleet.instances.remove(0);
    let (stopping_address, other_address) = (
        stopping_instance.settings.http_address,
        deployment.address(0),
    );
    let deposit_responses = thread::scope(|scope| {
        let shared = &deployment;
        let own_work = scope.spawn(move || read_responses(shared, stopping_address, "own"));
        let forwarded_work =
            scope.spawn(move || read_responses(shared, other_address, "forwarded"));
        let deposit_thread = scope.spawn(move || post_deposits(shared, stopping_address));
        // One stream and one lookup of each client at each instance, and the deposits.
        wait_until(TIMEOUT, "all work is in progress", || {
            let running = (0..6).map(|index| shared.stats(index).calls).sum::<u64>();
            running >= 5 * CLIENTS as u64
        });
        stopping_instance
            .process
            .terminate()
            .expect("the signal is sent");
        let signalled = Instant::now();
        wait_until(PROPAGATION_BOUND, "readiness ends", || {
            shared.readiness(stopping_address) == Some(503)
        });
        println!("not ready {:?} after the signal", signalled.elapsed());
        assert!(
            !deposit_thread.is_finished()
                && !own_work.is_finished()
                && !forwarded_work.is_finished()
        );
        own_work
            .join()
            .expect("the streams and lookups of the instance are complete");
        forwarded_work
            .join()
            .expect("the streams and lookups of the other instance are complete");
        deposit_thread.join().expect("the deposits are complete")
    });
    let status = stopping_instance
        .process
        .wait(TIMEOUT)
        .expect("the exit status is available");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    for (number, first) in deposit_responses.iter().enumerate() {
        let body = json!({ "marker": key(number) });
        let retried =
            deployment.request(other_address, DEPOSIT_PIPELINE, Some(&key(number)), &body);
        let retried = retried.expect("the instance responds");
        assert!(retried.replayed, "the claim was not settled: {retried:?}");
        assert_eq!((retried.status, &retried.body), (200, &first.body));
        assert_eq!(deployment.execution_count(&key(number)), 1);
    }
    deployment.stop();
}
