//! Crowds of clients that cost an instance memory or connections, with real processes.
//!
//! Each case checks that the process lives, that its peak memory and its open files stay within what
//! its settings name, and that an ordinary request is answered while the crowd is connected. A lock
//! lets one case run at a time; nothing else should run beside this binary.

mod crowd;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use crate::crowd::CROWD_CLIENTS;
use crate::crowd::Client;
use crate::crowd::CrowdedInstance;
use crate::crowd::MAX_BODY_BYTES;
use crate::crowd::PATHS;
use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_standins::simulated_platform::client::ClientRequest;

/// More connections than the settings name descriptors.
const MANY_CLIENTS: usize = 300;
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
const METRICS_PORT: u16 = 9_464;
const PEER_PORT: u16 = 7_740;

fn withstand_on_each_path(name: &str, clients: usize, play: fn(&mut Client)) {
    let violations = PATHS.map(|path| {
        let crowded = CrowdedInstance::start();
        let address = crowded.instance.client_address();
        crowded.withstand(name, address, clients, play, path)
    });
    assert_none(&violations.concat());
}

fn assert_none(violations: &[String]) {
    assert!(violations.is_empty(), "{violations:?}");
}

fn write_head_with_length(client: &mut Client, content_length: usize) -> bool {
    let head = client.head("POST", &format!("content-length: {content_length}\r\n\r\n"));
    client.write(head.as_bytes())
}

fn write_chunked_head(client: &mut Client) -> bool {
    let head = client.head("POST", "transfer-encoding: chunked\r\n\r\n");
    client.write(head.as_bytes())
}

/// Guards against a process that collects legal bodies of all clients, whatever their number.
#[test]
fn bodies_in_one_piece_that_stop_short_stay_within_the_memory() {
    withstand_on_each_path("one piece", CROWD_CLIENTS, |client| {
        write_head_with_length(client, MAX_BODY_BYTES);
        client.write_body(MAX_BODY_BYTES - 4, MAX_BODY_BYTES);
    });
}

/// Guards against the same by small pieces.
#[test]
fn bodies_in_small_pieces_that_stop_short_stay_within_the_memory() {
    withstand_on_each_path("small pieces", CROWD_CLIENTS, |client| {
        write_head_with_length(client, MAX_BODY_BYTES);
        client.write_body(MAX_BODY_BYTES - 4, 1_000);
    });
}

/// Guards against the same by chunks without a last one.
#[test]
fn chunked_bodies_that_stop_short_stay_within_the_memory() {
    withstand_on_each_path("chunks", CROWD_CLIENTS, |client| {
        write_chunked_head(client);
        client.write_chunks(MAX_BODY_BYTES);
    });
}

/// Guards against the same by bodies that are complete.
#[test]
fn complete_bodies_of_many_clients_stay_within_the_memory() {
    withstand_on_each_path("complete", CROWD_CLIENTS, |client| {
        write_head_with_length(client, MAX_BODY_BYTES);
        client.write_body(MAX_BODY_BYTES, MAX_BODY_BYTES);
    });
}

/// Guards against bodies that are collected up to the limit although they are known to exceed it.
#[test]
fn bodies_far_over_the_limit_stay_within_the_memory() {
    withstand_on_each_path("oversize", CROWD_CLIENTS, |client| {
        write_head_with_length(client, 400_000_000);
        client.write_body(8_000_000, 100_000);
    });
}

/// Guards against the same by chunks, whose sum is not known before.
#[test]
fn endless_chunked_bodies_stay_within_the_memory() {
    withstand_on_each_path("endless chunks", CROWD_CLIENTS, |client| {
        write_chunked_head(client);
        client.write_chunks(8_000_000);
    });
}

/// Guards against bodies that stop half-way and keep their memory until the deadline.
#[test]
fn bodies_that_stop_half_way_stay_within_the_memory() {
    withstand_on_each_path("half-way", CROWD_CLIENTS, |client| {
        write_head_with_length(client, MAX_BODY_BYTES);
        client.write_body(MAX_BODY_BYTES / 2, 100_000);
    });
}

/// Guards against bodies that grow by a byte at a time and so are never silent.
#[test]
fn slow_senders_stay_within_the_memory() {
    withstand_on_each_path("slow sender", CROWD_CLIENTS, |client| {
        write_head_with_length(client, MAX_BODY_BYTES);
        client.write_body(MAX_BODY_BYTES / 2, 100_000);
        while !client.is_over() && client.write(b"x") {
            thread::sleep(TRICKLE_INTERVAL);
        }
    });
}

/// Guards against heads of legal size whose fields take many times their bytes when decoded.
#[test]
fn heads_with_very_many_short_fields_stay_within_the_memory() {
    withstand_on_each_path("many fields", CROWD_CLIENTS, |client| {
        let fields: String = (0..3_000).map(|_| "a:\r\n").collect();
        let head = client.head("GET", &(fields + "\r\n"));
        while !client.is_over() && client.write(head.as_bytes()) {
            thread::sleep(TRICKLE_INTERVAL);
        }
    });
}

/// Guards against responses and requests that pile up for a client that sends without reading.
#[test]
fn pipelined_requests_of_clients_that_do_not_read_stay_within_the_memory() {
    withstand_on_each_path("pipelined", CROWD_CLIENTS, |client| {
        let requests = client.head("GET", "\r\n").repeat(100);
        while !client.is_over() && client.write(requests.as_bytes()) {}
    });
}

/// Guards against responses that wait for clients that read slowly or not at all.
#[test]
fn slow_readers_stay_within_the_memory() {
    let violations = PATHS.map(|path| {
        let crowded = CrowdedInstance::start();
        for id in ["d1", "d2"] {
            crowded.platform.target(id).set_min_body_bytes(8_000_000);
        }
        let address = crowded.instance.client_address();
        let play = |client: &mut Client| {
            let head = client.head("GET", "\r\n");
            client.write(head.as_bytes());
            // Half of the clients do not read at all.
            while client.number.is_multiple_of(2) && !client.is_over() {
                client.read(1_000);
                thread::sleep(TRICKLE_INTERVAL);
            }
        };
        crowded.withstand("slow reader", address, CROWD_CLIENTS, play, path)
    });
    assert_none(&violations.concat());
}

/// Guards against idle connections that take all descriptors.
#[test]
fn more_idle_connections_than_descriptors_leave_the_instance_serving() {
    let crowded = CrowdedInstance::start();
    let address = crowded.instance.client_address();
    let violations = crowded.withstand("idle", address, MANY_CLIENTS, |_client| {}, "/none/1");
    assert_none(&violations);
}

/// Guards against the same by heads that stop half-way.
#[test]
fn more_half_heads_than_descriptors_leave_the_instance_serving() {
    withstand_on_each_path("half heads", MANY_CLIENTS, |client| {
        let head = client.head("GET", "x: ");
        client.write(head.as_bytes());
    });
}

/// Guards against the readiness and metrics ports, whose connections had no limits: endless heads,
/// and more connections than descriptors.
#[test]
fn crowds_at_the_readiness_and_metrics_ports_stay_within_the_limits() {
    let violations = [false, true].map(|is_metrics| {
        let crowded = CrowdedInstance::start();
        let readiness = crowded.instance.readiness_address();
        let address = if is_metrics {
            SocketAddrV4::new(*readiness.ip(), METRICS_PORT)
        } else {
            readiness
        };
        let play = |client: &mut Client| {
            let head = client.head("GET", "x: ");
            client.write(head.as_bytes());
            client.write_body(380_000, 10_000);
        };
        crowded.withstand("other ports", address, MANY_CLIENTS, play, "/readyz")
    });
    assert_none(&violations.concat());
}

/// Guards against bodies that came to a halt and keep the memory from other clients until their
/// deadline, which is later than that of the other client.
#[test]
fn a_large_request_is_served_while_stalled_bodies_hold_the_memory() {
    let crowded = CrowdedInstance::start_with_route_timeout(Some(Millis(20_000)));
    let address = crowded.instance.client_address();
    let is_over = AtomicBool::new(false);
    let crowd: Vec<_> = (0..6)
        .filter_map(|number| {
            let mut client = Client::connect(address, number, "/unsafe/1", &is_over)?;
            write_head_with_length(&mut client, MAX_BODY_BYTES);
            client.write_body(MAX_BODY_BYTES - 4, 100_000);
            Some(client)
        })
        .collect();
    let body = "x".repeat(MAX_BODY_BYTES);
    let request = ClientRequest::new("POST", "/unsafe/1", "ordinary").with_body(&body);
    let response = request.call(address).expect("the instance reads the body");
    assert_eq!(response.status, 200);
    drop(crowd);
}

/// Guards against memory that is allocated for a message between instances when only its length has
/// arrived.
#[test]
fn announced_messages_at_the_peer_port_stay_within_the_memory() {
    let crowded = CrowdedInstance::start();
    let address = SocketAddrV4::new(*crowded.instance.client_address().ip(), PEER_PORT);
    // The version, and a length of 4 MB.
    let play = |client: &mut Client| {
        client.write(b"\x01\0\x40\0\0");
    };
    let violations = crowded.withstand("peer port", address, CROWD_CLIENTS, play, "-");
    assert_none(&violations);
}

/// Guards against connections that are closed for new ones although their request is at a target.
#[test]
fn requests_in_progress_are_served_while_connections_are_closed_for_others() {
    const RESPONSE_DELAY: Duration = Duration::from_millis(1_500);
    let crowded = CrowdedInstance::start();
    let address = crowded.instance.client_address();
    for target in ["d1", "d2"].map(|id| crowded.platform.target(id)) {
        target.set_response_delay(RESPONSE_DELAY);
    }
    let clients: Vec<_> = (0..10)
        .map(|number| {
            let request = ClientRequest::new("POST", "/unsafe/1", &format!("busy-{number}"));
            let request = request.with_body("a booking");
            thread::spawn(move || request.call(address).map(|response| response.status))
        })
        .collect();
    thread::sleep(RESPONSE_DELAY / 3);
    let crowd: Vec<_> = (0..MANY_CLIENTS)
        .map(|_| TcpStream::connect(address).expect("the backlog has space"))
        .collect();
    for client in clients {
        let status = client.join().expect("the client does not panic");
        assert_eq!(status.expect("the instance accepts"), 200);
    }
    drop(crowd);
}

/// Guards against a release of the HTTP library that bounds the number of header fields otherwise.
#[test]
fn heads_with_more_than_a_hundred_fields_are_refused() {
    let crowded = CrowdedInstance::start();
    for (further_fields, status) in [(90, 200), (100, 431)] {
        let mut request = ClientRequest::new("GET", "/safe/1", "fields");
        for number in 0..further_fields {
            request = request.with_header(&format!("x-{number}"), "1");
        }
        let response = request.call(crowded.instance.client_address());
        let response = response.expect("the instance responds");
        assert_eq!(response.status, status);
    }
}

/// Guards against limits that refuse the largest legal request of a slow client when there is no
/// crowd.
#[test]
fn the_largest_legal_request_of_a_slow_client_is_served() {
    const PIECES: usize = 40;
    let crowded = CrowdedInstance::start();
    let mut stream =
        TcpStream::connect(crowded.instance.client_address()).expect("the port is open");
    let mut head = format!(
        "POST /unsafe/1 HTTP/1.1\r\nconnection: close\r\ncontent-length: {MAX_BODY_BYTES}\r\n"
    );
    for (name, value) in ClientRequest::new("POST", "/unsafe/1", "slow").headers {
        head.extend([name.as_str(), ": ", value.as_str(), "\r\n"]);
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).expect("it is open");
    let body = vec![b'x'; MAX_BODY_BYTES];
    for piece in body.chunks(MAX_BODY_BYTES.div_ceil(PIECES)) {
        stream
            .write_all(piece)
            .expect("the instance reads the body");
        // The request takes 2.4 s of the 3 s of its route.
        thread::sleep(Duration::from_millis(60));
    }
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    read.expect("the response is text");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against responses to refused requests that the client cannot read because the instance
/// closed the connection before the body, and against refused requests that were executed.
#[test]
fn refused_requests_get_a_response_and_are_not_executed() {
    let crowded = CrowdedInstance::start();
    let address = crowded.instance.client_address();
    let body = "x".repeat(MAX_BODY_BYTES);
    for (path, key, status) in [("/none/1", "key", 404), ("/unsafe/1", "unknown", 401)] {
        let request = ClientRequest::new("POST", path, path).with_body(&body);
        let request = request.with_header(names::API_KEY.as_str(), key);
        let response = request.call(address).expect("the instance reads the body");
        assert_eq!(response.status, status);
    }
    let clients: Vec<_> = (0..CROWD_CLIENTS)
        .map(|number| {
            let id = format!("whole-{number}");
            let request = ClientRequest::new("POST", "/unsafe/1", &id).with_body(&body);
            thread::spawn(move || {
                (
                    id,
                    request.call(address).map_or(0, |response| response.status),
                )
            })
        })
        .collect();
    let responses: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("the client does not panic"))
        .collect();
    let executed = crowded.platform.executed_request_ids();
    for (id, status) in &responses {
        let is_refused = matches!(status, 408 | 429 | 503);
        assert!(!is_refused || !executed.contains(id), "{id}: {status}");
    }
    let served = responses
        .iter()
        .filter(|(_, status)| *status == 200)
        .count();
    println!("{served} of {CROWD_CLIENTS} whole bodies at once are served");
    assert!(served > 0);
}
