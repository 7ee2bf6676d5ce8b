//! Socket helpers.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use log::warn;
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

/// How long sent data may stay unacknowledged. A connection can stop delivering data without a
/// reset; links with packet loss recover within a few hundred milliseconds.
const USER_TIMEOUT_MS: Millis = Millis(1_500);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE_MS: Millis = Millis(1_000);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL_MS: Millis = Millis(1_000);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Pause after a connection could not be accepted. Clients expect a request to be read within 1 s.
const ACCEPT_RETRY_DELAY_MS: Millis = Millis(50);
/// Length of the accept queue.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Opens a TCP connection.
///
/// # Errors
///
/// Returns an error when the connection is not established within `timeout_ms`.
pub async fn connect(address: SocketAddrV4, timeout_ms: Millis) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let stream = timeout(timeout_ms.to_duration(), connecting)
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and enables detection of unresponsive peers.
///
/// # Errors
///
/// Returns an error when a socket option cannot be set.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT_MS.to_duration()))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_MS.to_duration())
        .with_interval(KEEPALIVE_INTERVAL_MS.to_duration())
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Limits the bytes that the kernel holds until the peer has received them. The sender then knows
/// whether the peer has received most of what was written.
///
/// # Errors
///
/// Returns an error when the socket option cannot be set.
pub fn limit_unsent_bytes(stream: &TcpStream, max_bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(max_bytes)
}

/// Listens on an address.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection, with the socket options set.
///
/// A connection that fails is skipped. If the process has no descriptor left, the connections wait
/// in the accept queue until there is one.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let error = match listener.accept().await {
            Ok((stream, _)) => match set_socket_options(&stream) {
                Ok(()) => return stream,
                Err(error) => error,
            },
            Err(error) => error,
        };
        warn!(error:%; "cannot accept a connection");
        sleep(ACCEPT_RETRY_DELAY_MS).await;
    }
}

/// Sleeps for a duration.
pub async fn sleep(duration_ms: Millis) {
    tokio::time::sleep(Duration::from_millis(duration_ms.0)).await;
}
