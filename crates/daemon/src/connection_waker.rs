//! Workaround for connections that the HTTP library accepts but does not read.
//!
//! The thread pool of `tiny_http` 0.12 queues a connection when a thread counts as idle, even if
//! that thread has been promised to another connection. The queued connection then waits until a
//! connection is closed: in a burst of 12 connections, one had no answer within 3 s. A connection
//! that is opened and closed at once makes a pool thread look at the queue. That is done often
//! while new connections appear, and seldom otherwise.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::stop::Stop;
use crate::supervisor::ChildResult;
use arbutus_coord::Clock;
use arbutus_coord::Millis;

const BUSY_PERIOD_MS: Millis = Millis(10);
const IDLE_PERIOD_MS: Millis = Millis(500);
/// How long after a new connection others of the same burst may still wait.
const BUSY_SPAN_MS: Millis = Millis(500);
const CONNECT_TIMEOUT_MS: Millis = Millis(100);
const MAX_REMEMBERED_PEERS: usize = 4_096;

/// The connections that were seen, and when the last new one appeared.
#[derive(Debug)]
pub struct ConnectionWaker {
    clock: Clock,
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    peers: BTreeSet<SocketAddr>,
    busy_until: Millis,
}

impl ConnectionWaker {
    /// Creates a record without connections.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            seen: Mutex::default(),
        }
    }

    /// Notes the connection of a request.
    pub fn observe(&self, peer: SocketAddr) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if !seen.peers.insert(peer) {
            return;
        }
        seen.busy_until = self.clock.now() + BUSY_SPAN_MS;
        if seen.peers.len() > MAX_REMEMBERED_PEERS {
            seen.peers.clear();
        }
    }

    /// Opens and closes connections to the listener until the stop flag is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error: a connection that fails is followed by the next one.
    pub fn run(&self, listener: SocketAddr, stop: &Stop) -> ChildResult {
        let address = reachable(listener);
        loop {
            let busy_until = self
                .seen
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .busy_until;
            let busy = self.clock.now() < busy_until;
            if stop.wait(if busy { BUSY_PERIOD_MS } else { IDLE_PERIOD_MS }) {
                return Ok(());
            }
            drop(TcpStream::connect_timeout(
                &address,
                CONNECT_TIMEOUT_MS.to_duration(),
            ));
        }
    }
}

/// Returns an address under which a listener can be reached from its own machine.
fn reachable(listener: SocketAddr) -> SocketAddr {
    let ip = match listener.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, listener.port())
}
