//! Workaround for connections that `tiny_http` accepts but does not read.
//!
//! The thread pool of `tiny_http` 0.12 queues a connection when a thread counts as idle, even if
//! another connection is already assigned to that thread. The queued connection is then not read
//! until some other connection closes: in a burst of 12 connections, one had no response within
//! 3 s. Opening a connection and closing it at once makes a thread of the pool check the queue. The
//! waker does so frequently while new connections arrive and rarely otherwise.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_coord::Clock;
use arbutus_coord::Millis;

/// The interval at which connections are opened during a burst of new connections.
const BURST_PERIOD_MS: Millis = Millis(10);
/// The interval at which connections are opened otherwise.
const IDLE_PERIOD_MS: Millis = Millis(500);
/// How long a burst lasts after its last new connection.
const BURST_DURATION_MS: Millis = Millis(500);
const CONNECT_TIMEOUT_MS: Millis = Millis(100);
/// The largest number of remembered addresses. Above it all are forgotten, so that their next
/// requests count as new connections.
const MAX_OBSERVED_PEERS: usize = 4_096;

/// Detects new connections, and opens connections so that `tiny_http` reads queued ones.
#[derive(Debug)]
pub struct ConnectionWaker {
    clock: Clock,
    observed: Mutex<ObservedPeers>,
}

#[derive(Debug, Default)]
struct ObservedPeers {
    peers: BTreeSet<SocketAddr>,
    burst_end: Millis,
}

impl ConnectionWaker {
    /// Creates a waker that has observed no connection.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            observed: Mutex::default(),
        }
    }

    /// Records the remote address of a request. A new address counts as a new connection.
    pub fn observe(&self, peer: SocketAddr) {
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        if !observed.peers.insert(peer) {
            return;
        }
        observed.burst_end = self.clock.now() + BURST_DURATION_MS;
        if observed.peers.len() > MAX_OBSERVED_PEERS {
            observed.peers.clear();
        }
    }

    /// Opens and closes connections to the listener until the stop signal is raised.
    ///
    /// # Errors
    ///
    /// Never returns an error; a failed connection is ignored, since the next one follows.
    pub fn run(&self, listener: SocketAddr, stop: &StopSignal) -> ChildResult {
        let address = loopback_address(listener);
        loop {
            let burst_end = self
                .observed
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .burst_end;
            let in_burst = self.clock.now() < burst_end;
            if stop.wait(if in_burst {
                BURST_PERIOD_MS
            } else {
                IDLE_PERIOD_MS
            }) {
                return Ok(());
            }
            drop(TcpStream::connect_timeout(
                &address,
                CONNECT_TIMEOUT_MS.to_duration(),
            ));
        }
    }
}

/// Returns the address to connect to for a listener on the same machine.
fn loopback_address(listener: SocketAddr) -> SocketAddr {
    let ip = match listener.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, listener.port())
}
