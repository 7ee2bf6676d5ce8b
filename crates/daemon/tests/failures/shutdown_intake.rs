//! Guards against requests that are lost, and a shutdown that does not end, because an instance
//! still accepts requests when it decides to exit (promise P7 in `docs/design.md`).

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::LOOKUP_SERVICE;
use crate::deployment::PROPAGATION_BOUND;
use crate::deployment::TIMEOUT;
use crate::deployment::service_targets;
use arbutus_standins::fleet::InstanceProcess;

/// The execution time of a lookup. The first lookup of a client ends after the grace period.
const SERVICE_MS: u64 = 1_000;
const FIRST_LOOKUP_DELAY: Duration = Duration::from_secs(1);
/// Time from a response to the next lookup: more than 20 ms, the interval of the checks for requests
/// in progress, and less than 100 ms, the interval at which the server checks for the stop.
const LOOKUP_PAUSES_MS: [u64; 4] = [22, 26, 32, 40];
/// Grace period of 1.5 s, and 60 ms for each request of the load, with reserve for a busy machine.
const EXIT_BOUND: Duration = Duration::from_secs(6);
const LOAD_CLIENTS: usize = 12;
const LOAD_PAUSE: Duration = Duration::from_millis(5);

/// Sends a lookup on a new connection, and returns what arrives until the connection ends, or
/// `None` if the connection is refused.
fn look_up(address: SocketAddr, marker: &str) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    let body = format!("{{\"marker\":\"{marker}\"}}");
    let head = "POST /v1/pipelines/lookup HTTP/1.1\r\nHost: a\r\nOrganisation: kamagama\r\n\
        Content-Type: application/json\r\nConnection: close\r\n";
    let length = body.len();
    let request = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    let mut response = Vec::new();
    let sent = stream.write_all(request.as_bytes());
    let read: io::Result<usize> = sent.and_then(|()| stream.read_to_end(&mut response));
    if let Err(error) = read {
        println!("{marker}: {error} after {} bytes", response.len());
    }
    Some(response)
}

/// Returns whether a response has its head and all bytes of its body.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}

/// Guards against a request that arrives between the last check for requests in progress and the
/// exit: a target executes it, and the process exits before the response.
#[test]
fn requests_around_the_exit_get_whole_responses_or_are_not_executed() {
    let options = format!("--service-ms {SERVICE_MS} --cold-ms 0");
    let services = vec![service_targets(LOOKUP_SERVICE, 6, &options)];
    let mut deployment = Deployment::start("exit-window", &["arita"], 8, services);
    thread::sleep(PROPAGATION_BOUND);
    // Half of the instances stay, so that targets keep their owners.
    let mut stopping: Vec<_> = deployment.fleet.instances.drain(..4).collect();
    let responses: Vec<_> = thread::scope(|scope| {
        let client = |(instance, pause_ms)| {
            scope.spawn(move || look_up_until_exit(instance, Duration::from_millis(pause_ms)))
        };
        let clients: Vec<_> = stopping
            .iter_mut()
            .zip(LOOKUP_PAUSES_MS)
            .map(client)
            .collect();
        let join = |client: thread::ScopedJoinHandle<'_, Vec<_>>| {
            client.join().expect("the client thread ends")
        };
        clients.into_iter().flat_map(join).collect()
    });
    // A call whose instance has exited may still be queued at its target.
    thread::sleep(Duration::from_millis(2 * SERVICE_MS));
    assert_none_lost(&deployment, &responses);
    deployment.stop();
}

/// Signals an instance to shut down, and sends it lookups on new connections until it has exited.
fn look_up_until_exit(
    instance: &mut InstanceProcess,
    pause: Duration,
) -> Vec<(String, Option<Vec<u8>>)> {
    let address = instance.settings.http_address;
    instance.process.terminate().expect("the signal is sent");
    let signalled = Instant::now();
    thread::sleep(FIRST_LOOKUP_DELAY);
    let mut responses = Vec::new();
    while signalled.elapsed() < TIMEOUT {
        let marker = format!("pause-{}-{}", pause.as_millis(), responses.len());
        let response = look_up(address, &marker);
        println!("{marker}: ended {:?} after the signal", signalled.elapsed());
        let refused = response.is_none();
        responses.push((marker, response));
        if refused {
            break;
        }
        thread::sleep(pause);
    }
    let status = instance.process.wait(TIMEOUT).expect("the status is known");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let served = responses[0].1.as_deref().is_some_and(is_whole);
    assert!(served, "the lookup before the end of the grace period");
    responses
}

/// Checks that targets have received no more calls than there are complete responses of them.
/// Targets reject no calls in these tests, so there are no retries.
fn assert_none_lost(deployment: &Deployment, responses: &[(String, Option<Vec<u8>>)]) {
    let targets = 0..deployment.fleet.targets.len();
    let calls: u64 = targets.map(|target| deployment.stats(target).calls).sum();
    let complete = |response: &&(String, Option<Vec<u8>>)| {
        let response = response.1.as_deref().unwrap_or_default();
        is_whole(response) && response.starts_with(b"HTTP/1.1 200 ")
    };
    let complete_count = responses.iter().filter(complete).count() as u64;
    let incomplete = responses.iter().filter(|(_, response)| {
        let response = response.as_deref();
        response.is_some_and(|response| !is_whole(response))
    });
    let incomplete: Vec<_> = incomplete.map(|(marker, _)| marker).collect();
    assert!(
        calls <= complete_count,
        "{calls} calls at targets, {complete_count} complete responses; incomplete: {incomplete:?}"
    );
}

/// Guards against an instance that never exits, because new requests arrive before the earlier ones
/// have finished and it waits for a moment without requests.
#[test]
fn instance_under_constant_load_exits_within_its_bound() {
    let services = vec![service_targets(
        LOOKUP_SERVICE,
        2,
        "--service-ms 60 --cold-ms 0",
    )];
    let mut deployment = Deployment::start("exit-load", &["arita", "hakata"], 2, services);
    thread::sleep(PROPAGATION_BOUND);
    let mut instance = deployment.fleet.instances.remove(0);
    let address = instance.settings.http_address;
    let stop_clients = AtomicBool::new(false);
    let (exit, responses) = thread::scope(|scope| {
        let stop_clients = &stop_clients;
        let client = |client: usize| {
            scope.spawn(move || {
                let mut responses = Vec::new();
                while !stop_clients.load(Ordering::SeqCst) {
                    let marker = format!("{client}-{}", responses.len());
                    let response = look_up(address, &marker);
                    let refused = response.is_none();
                    responses.push((marker, response));
                    if refused {
                        break;
                    }
                    thread::sleep(LOAD_PAUSE);
                }
                responses
            })
        };
        let clients: Vec<_> = (0..LOAD_CLIENTS).map(client).collect();
        thread::sleep(Duration::from_millis(300));
        instance.process.terminate().expect("the signal is sent");
        let signalled = Instant::now();
        let status = instance.process.wait(EXIT_BOUND);
        println!("{status:?} {:?} after the signal", signalled.elapsed());
        stop_clients.store(true, Ordering::SeqCst);
        let status = status.expect("the status is known");
        if status.is_none() {
            instance.process.kill().expect("the instance is killed");
        }
        let join = |client: thread::ScopedJoinHandle<'_, Vec<_>>| {
            client.join().expect("the client thread ends")
        };
        let responses: Vec<_> = clients.into_iter().flat_map(join).collect();
        (status, responses)
    });
    assert!(
        exit.is_some_and(|status| status.success()),
        "{exit:?} within {EXIT_BOUND:?} of the signal, {} requests",
        responses.len()
    );
    assert_none_lost(&deployment, &responses);
    deployment.stop();
}
