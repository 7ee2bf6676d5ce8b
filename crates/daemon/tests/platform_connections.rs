//! Tests of client connections on the users' platform, with real processes.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::start_cluster;
use arbutus_platform::names;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::slow_client;

/// Ports of the instances of a test cluster.
const READINESS_PORT: u16 = 8_621;
const PEER_PORT: u16 = 7_740;
const METRICS_PORT: u16 = 9_464;

/// Requests a body of [`slow_client::BODY_BYTES`] from a new instance, and receives it after a pause.
/// Returns its length as far as it arrived.
fn receive_large_response(pause: Duration, read_interval: Duration) -> usize {
    let cluster = start_cluster(1);
    for target in &cluster.platform.targets {
        target.set_min_body_bytes(slow_client::BODY_BYTES);
    }
    let connection = ClientRequest::new("GET", "/safe/1", "slow-reader")
        .send(cluster.instances[0].client_address())
        .expect("the instance accepts connections");
    thread::sleep(pause);
    slow_client::receive_body(connection, read_interval)
}

/// Guards against an idle timeout that runs while a response is still being written, and cuts it
/// off.
#[test]
fn a_response_that_takes_longer_than_the_idle_timeout_is_written_completely() {
    /// The client reads the body in 4 seconds; the idle timeout is 2 seconds.
    const READ_INTERVAL: Duration = Duration::from_millis(40);
    let body_bytes = receive_large_response(Duration::ZERO, READ_INTERVAL);
    assert_eq!(body_bytes, slow_client::BODY_BYTES);
}

/// Guards against a response that breaks off because its client does not read for a while, for
/// instance because its process is paused.
#[test]
fn a_response_to_a_client_that_pauses_is_written_completely() {
    /// Shorter than the idle timeout, which is 2 seconds and a margin.
    const PAUSE: Duration = Duration::from_secs(2);
    const READ_INTERVAL: Duration = Duration::from_millis(5);
    let body_bytes = receive_large_response(PAUSE, READ_INTERVAL);
    assert_eq!(body_bytes, slow_client::BODY_BYTES);
}

/// Guards against a process that ends, or a port that stops to respond, because of one malformed
/// message.
#[test]
fn malformed_messages_on_any_port_leave_the_process_serving() {
    let messages: [&[u8]; 8] = [
        b"",
        b"\0\0\0\0\0\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST /safe/1 HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"GET /safe/1 HTTP/9.9\r\nhost: \xff\xfe\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        // A frame between instances of 4 GB, and one that holds no message.
        b"\x01\xff\xff\xff\xff",
        b"\x01\0\0\0\x04\xff\xff\xff\xff",
    ];
    let mut cluster = start_cluster(1);
    let address = cluster.instances[0].client_address();
    let ip = *address.ip();
    let ports = [address.port(), READINESS_PORT, PEER_PORT, METRICS_PORT];
    for port in ports {
        for message in messages {
            let mut connection = TcpStream::connect((ip, port)).expect("the port is open");
            let written = connection.write_all(message);
            written.expect("the message is written");
            // The instance may respond or close the connection.
            let _unread = connection.shutdown(Shutdown::Write);
        }
    }
    let socket = UdpSocket::bind((ip, 0)).expect("a port is free");
    for message in messages {
        let sent = socket.send_to(message, (ip, PEER_PORT));
        sent.expect("the datagram is sent");
    }
    thread::sleep(Duration::from_millis(300));
    let response = ClientRequest::new("GET", "/safe/1", "after").call(address);
    assert_eq!(response.expect("the instance responds").status, 200);
    let exit = cluster.instances[0].exit_success();
    assert_eq!(exit.expect("the state can be read"), None);
    assert!(cluster.instances[0].is_ready());
}

/// Guards against clients that are not accepted for seconds after an instance had no descriptor left
/// for them, because each failure doubled the pause before the next try.
#[test]
fn clients_are_accepted_soon_after_a_shortage_of_descriptors() {
    const OPEN_FILES: u64 = 60;
    const SHORTAGE: Duration = Duration::from_secs(4);
    /// Time within which a client of the platform wants its request to be read.
    const MAX_READ_TIME: Duration = Duration::from_secs(1);
    let cluster = start_cluster(1);
    let address = cluster.instances[0].client_address();
    let limited = cluster.instances[0].limit_open_files(OPEN_FILES);
    limited.expect("the limit is set");
    for round in 0..3 {
        let idle: Vec<TcpStream> = (0..2 * OPEN_FILES)
            .map(|_| TcpStream::connect(address).expect("the backlog has space"))
            .collect();
        thread::sleep(SHORTAGE / 4);
        drop(idle);
        let sent_at = Instant::now();
        let id = format!("after-{round}");
        let response = ClientRequest::new("GET", "/safe/1", &id).call(address);
        assert_eq!(response.expect("the instance responds").status, 200);
        let took = sent_at.elapsed();
        assert!(took < MAX_READ_TIME, "{took:?} in round {round}");
    }
}

/// Guards against clients that lose the response to a request that is rejected by its head: the body
/// arrived at a closed connection, and the kernel reset it.
#[test]
fn a_request_that_is_rejected_by_its_head_gets_its_response_after_its_body() {
    const BODY_DELAY: Duration = Duration::from_millis(50);
    let cluster = start_cluster(1);
    let address = cluster.instances[0].client_address();
    let repeated_key = format!("key\r\n{}: other", names::API_KEY);
    for (path, key, status) in [
        ("/unknown/1", "key", 404),
        ("/safe/1", "unknown", 401),
        ("/safe/1", repeated_key.as_str(), 400),
    ] {
        let mut connection = TcpStream::connect(address).expect("the port is open");
        let timeout = Some(Duration::from_secs(2));
        connection.set_read_timeout(timeout).expect("a timeout");
        // The second request shows that the connection was kept.
        for id in ["one", "two"] {
            let request = ClientRequest::new("POST", path, id);
            let request = request.with_header(names::API_KEY.as_str(), key);
            let mut head = format!("POST {path} HTTP/1.1\r\ncontent-length: 5000\r\n");
            for (name, value) in &request.headers {
                head.extend([name.as_str(), ": ", value.as_str(), "\r\n"]);
            }
            head += "\r\n";
            let written = connection.write_all(head.as_bytes());
            written.expect("the connection is open");
            thread::sleep(BODY_DELAY);
            let written = connection.write_all(&[b'x'; 5_000]);
            written.expect("the connection is open");
            let mut response = [0; 4_096];
            let length = connection.read(&mut response).expect("a response");
            let text = String::from_utf8_lossy(&response[..length]).into_owned();
            let expected = format!("HTTP/1.1 {status}");
            assert!(text.starts_with(&expected), "{path} {key} {id}: {text}");
        }
    }
}
