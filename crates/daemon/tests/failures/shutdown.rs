//! Guards against a graceful shutdown that interrupts streams, lookups, bookings or work that was
//! forwarded in either direction (P7).

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployment::Answer;
use crate::deployment::BOOKINGS;
use crate::deployment::BOUND;
use crate::deployment::DEPOSIT;
use crate::deployment::Deployment;
use crate::deployment::ENGINES;
use crate::deployment::LOOKUP;
use crate::deployment::LOOKUPS;
use crate::deployment::PATIENCE;
use crate::deployment::eventually;
use crate::deployment::targets;

const CALLERS: usize = 4;
/// Longer than the grace time of a shutdown without work.
const SERVICE: &str = "--service-ms 2000 --cold-ms 0";
const ENGINE: &str = "--service-ms 50 --token-ms 50 --cold-ms 0";

/// Asks for streams and lookups at an instance, and checks that the answers are whole.
fn read(deployment: &Deployment, instance: SocketAddr, name: &str) {
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let body = json!({ "marker": format!("{name}-{number}") });
            let for_lookup = body.clone();
            scope.spawn(move || deployment.stream(instance, &body).assert_whole(&body));
            scope.spawn(move || {
                let answer = deployment.request(instance, LOOKUP, None, &for_lookup);
                assert_answer(answer, &for_lookup);
            });
        }
    });
}

/// Asks for bookings at an instance, and checks that the answers are whole.
fn book(deployment: &Deployment, instance: SocketAddr) -> Vec<Answer> {
    thread::scope(|scope| {
        let caller = |number: usize| {
            scope.spawn(move || {
                let body = json!({ "marker": key(number) });
                let answer = deployment.request(instance, DEPOSIT, Some(&key(number)), &body);
                assert_answer(answer, &body)
            })
        };
        let callers: Vec<_> = (0..CALLERS).map(caller).collect();
        let join = |caller: thread::ScopedJoinHandle<'_, _>| caller.join().expect("it ends");
        callers.into_iter().map(join).collect()
    })
}

fn key(number: usize) -> String {
    format!("booking-{number}")
}

fn assert_answer(answer: Option<Answer>, body: &Value) -> Answer {
    let answer = answer.expect("the whole answer arrives");
    assert_eq!(
        (answer.status, &answer.body["origin"]),
        (200, body),
        "{answer:?}"
    );
    answer
}

/// Work of its own callers, and of both directions of forwarding, is in progress at the signal.
#[test]
fn shutdown_finishes_all_work_in_progress() {
    let services = vec![
        targets(ENGINES, 1, ENGINE),
        targets(LOOKUPS, 1, SERVICE),
        targets(BOOKINGS, 1, SERVICE),
    ];
    let mut deployment = Deployment::start("shutdown", &["arita", "hakata"], 1, services);
    // Streams of `arita` run in `hakata`, and lookups of `hakata` run in `arita`.
    for (service, failure_domain) in [(ENGINES, "arita"), (LOOKUPS, "hakata")] {
        let name = format!("{service}-{failure_domain}-0");
        let order = json!({"kind": "target", "name": name, "drained": true});
        deployment.post(deployment.address(0), "/admin/drain", &order);
    }
    thread::sleep(BOUND);
    let mut leaver = deployment.fleet.instances.remove(0);
    let (leaving, other) = (leaver.settings.http_address, deployment.address(0));
    let booked = thread::scope(|scope| {
        let shared = &deployment;
        let own = scope.spawn(move || read(shared, leaving, "own"));
        let forwarded = scope.spawn(move || read(shared, other, "forwarded"));
        let bookings = scope.spawn(move || book(shared, leaving));
        // One stream and one lookup of each caller at each instance, and the bookings.
        eventually(PATIENCE, "all work is in progress", || {
            let running = (0..6).map(|index| shared.stats(index).calls).sum::<u64>();
            running >= 5 * CALLERS as u64
        });
        leaver.process.terminate().expect("the signal is sent");
        let signalled = Instant::now();
        eventually(BOUND, "readiness ends", || {
            shared.readiness(leaving) == Some(503)
        });
        println!("not ready {:?} after the signal", signalled.elapsed());
        assert!(!bookings.is_finished() && !own.is_finished() && !forwarded.is_finished());
        own.join()
            .expect("the streams and lookups of the instance are whole");
        forwarded
            .join()
            .expect("the streams and lookups of the other instance are whole");
        bookings.join().expect("the bookings are whole")
    });
    let status = leaver.process.wait(PATIENCE).expect("it can be waited for");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    for (number, first) in booked.iter().enumerate() {
        let body = json!({ "marker": key(number) });
        let again = deployment.request(other, DEPOSIT, Some(&key(number)), &body);
        let again = again.expect("the instance answers");
        assert!(again.replayed, "the claim was not settled: {again:?}");
        assert_eq!((again.status, &again.body), (200, &first.body));
        assert_eq!(deployment.executions(&key(number)), 1);
    }
    deployment.stop();
}
