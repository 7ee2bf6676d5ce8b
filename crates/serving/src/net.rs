//! Sockets.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use arbutus_coord::Millis;

/// How long sent bytes may stay unacknowledged. Connections can go silent without a reset; links
/// that lose packets recover within a few hundred milliseconds.
const UNACKNOWLEDGED_MS: Millis = Millis(1_500);
/// How long a connection may be idle before the peer is probed.
const PROBE_AFTER_MS: Millis = Millis(1_000);
/// The pause between probes.
const PROBE_INTERVAL_MS: Millis = Millis(1_000);
/// The unanswered probes after which a connection is closed.
const PROBES: u32 = 2;
/// New connections that wait until the process accepts them.
const BACKLOG: i32 = 1_024;

/// Connects to an address.
///
/// # Errors
///
/// Returns an error when there is no connection within the time.
pub async fn connect(address: SocketAddrV4, within_ms: Millis) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let stream = timeout(within_ms.to_duration(), connecting)
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection: no delay of small writes, and detection of silent peers.
///
/// # Errors
///
/// Returns an error when the system refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MS.to_duration()))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER_MS.to_duration())
        .with_interval(PROBE_INTERVAL_MS.to_duration())
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Listens on an address.
///
/// # Errors
///
/// Returns an error when the address cannot be used.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Waits for a span.
pub async fn sleep(span_ms: Millis) {
    tokio::time::sleep(Duration::from_millis(span_ms.0)).await;
}
