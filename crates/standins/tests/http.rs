//! Tests that the HTTP server serves every connection that it accepts.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use arbutus_standins::http::Exchange;
use arbutus_standins::http::Handler;
use arbutus_standins::http::HttpServer;
use arbutus_standins::http::bind;

const ROUNDS: usize = 40;
const BURST_SIZE: usize = 12;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

struct EchoPath;

impl Handler for EchoPath {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let path = exchange.path().to_owned();
        exchange.respond(200, &[], &json!({ "path": path }))
    }
}

/// Opens a connection and sends one request.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")?;
    Ok(stream)
}

fn has_success_response(stream: &mut TcpStream) -> bool {
    let mut start = [0; 12];
    stream.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200"
}

/// Guards against the failure of `tiny_http`, which queues a new connection if a thread appears to
/// be idle. In a burst, that thread is already assigned to another connection, and the queued one
/// is not served until some connection is closed.
#[test]
fn each_connection_of_a_burst_is_served_while_the_others_stay_open() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    for round in 0..ROUNDS {
        let listener = bind(loopback).expect("a port is free");
        // The connections wait in the backlog, so the server accepts them in one burst.
        let address = listener.local_addr().expect("the listener has an address");
        let streams: io::Result<Vec<TcpStream>> =
            (0..BURST_SIZE).map(|_| connect(address)).collect();
        let mut streams = streams.expect("the backlog takes the connections");
        let server =
            HttpServer::start(listener, 64, Arc::new(EchoPath)).expect("the server starts");
        let responses = streams
            .iter_mut()
            .filter_map(|stream| has_success_response(stream).then_some(()));
        assert_eq!(
            responses.count(),
            BURST_SIZE,
            "successful responses in round {round}"
        );
        drop(server);
    }
}
