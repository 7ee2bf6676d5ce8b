//! Guards against connections that are accepted but never read.

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
const BURST: usize = 12;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

struct Echo;

impl Handler for Echo {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let path = exchange.path().to_owned();
        exchange.respond(200, &[], &json!({ "path": path }))
    }
}

/// Opens a connection and sends one request.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")?;
    Ok(stream)
}

fn is_answered(stream: &mut TcpStream) -> bool {
    let mut first = [0; 12];
    stream.read_exact(&mut first).is_ok() && &first == b"HTTP/1.1 200"
}

/// `tiny_http` puts a new connection into a queue when a thread seems to be idle. In a burst, that
/// thread has already been promised to another connection, and nobody serves the second one
/// until some connection is closed.
#[test]
fn each_connection_of_a_burst_is_served_while_the_others_stay_open() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    for round in 0..ROUNDS {
        let listener = bind(loopback).expect("a port is free");
        // The connections wait in the backlog, so they are accepted at once.
        let address = listener.local_addr().expect("the listener has an address");
        let streams: io::Result<Vec<TcpStream>> = (0..BURST).map(|_| connect(address)).collect();
        let mut streams = streams.expect("the backlog takes the connections");
        let server = HttpServer::start(listener, 64, Arc::new(Echo)).expect("the server starts");
        let answered = streams
            .iter_mut()
            .filter_map(|stream| is_answered(stream).then_some(()));
        assert_eq!(
            answered.count(),
            BURST,
            "answered requests in round {round}"
        );
        drop(server);
    }
}
