//! Calls between instances over TCP.
//!
//! [`PeerClient`] makes calls with timeouts, and [`serve`] handles them, with one thread for each
//! connection. An error of the client says whether the peer may have received the call, so that the
//! caller can tell a call that was not executed from one with an unknown outcome.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use displaydoc::Display;
use socket2::SockRef;

use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_wire::frame;
use arbutus_wire::frame::FrameError;
use arbutus_wire::frame::MAX_FRAME_BYTES;
use arbutus_wire::peer::PeerCall;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT_MS: Millis = Millis(500);

/// Time limit for each write to a connection.
const WRITE_TIMEOUT_MS: Millis = Millis(2_000);

/// Maximum idle time after which the client still reuses a connection.
const MAX_IDLE_REUSE_MS: Millis = Millis(4_000);

/// Idle time after which the server closes a connection; longer than [`MAX_IDLE_REUSE_MS`], so that
/// the client rarely reuses a connection that the server is closing.
const IDLE_CLOSE_TIMEOUT_MS: Millis = Millis(10_000);

/// Interval between checks of the stop signal while waiting for connections.
const ACCEPT_TIMEOUT_MS: Millis = Millis(100);

/// Maximum number of idle connections that a client keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Maximum number of connections that a server handles at once.
const MAX_CONNECTIONS: usize = 512;

/// Counters of the traffic between instances, which show the cost of the control plane.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Number of datagrams sent.
    pub datagrams_sent: AtomicU64,
    /// Number of bytes in datagrams sent.
    pub datagram_bytes_sent: AtomicU64,
    /// Number of datagrams received.
    pub datagrams_received: AtomicU64,
    /// Number of bytes in datagrams received.
    pub datagram_bytes_received: AtomicU64,
    /// Number of datagrams received that were malformed, had another protocol version or came from
    /// another deployment.
    pub datagrams_rejected: AtomicU64,
    /// Number of datagrams that could not be sent.
    pub datagrams_failed: AtomicU64,
    /// Number of calls sent to peers.
    pub calls_sent: AtomicU64,
    /// Number of calls received from peers.
    pub calls_received: AtomicU64,
    /// Number of calls, fetches and connections that failed or were refused.
    pub calls_failed: AtomicU64,
    /// Number of bytes in TCP frames sent.
    pub frame_bytes_sent: AtomicU64,
    /// Number of bytes in TCP frames received.
    pub frame_bytes_received: AtomicU64,
}

impl PeerCounters {
    /// Adds an amount to a counter.
    pub fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes sent in datagrams and frames.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.datagram_bytes_sent.load(Ordering::Relaxed)
            + self.frame_bytes_sent.load(Ordering::Relaxed)
    }
}

/// The addresses of peers that are unreachable in a test.
#[derive(Debug, Default)]
pub struct BlockedPeers {
    addresses: Mutex<BTreeSet<SocketAddr>>,
    count: AtomicUsize,
}

impl BlockedPeers {
    /// Replaces the blocked addresses.
    pub fn set(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut blocked = lock(&self.addresses);
        *blocked = addresses.into_iter().collect();
        self.count.store(blocked.len(), Ordering::Release);
    }

    /// Returns whether an address is blocked.
    #[must_use]
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.count.load(Ordering::Acquire) > 0 && lock(&self.addresses).contains(address)
    }
}

/// Why a call failed.
#[derive(Debug, Display)]
pub enum PeerError {
    /// the peer cannot be reached: {0}
    Unreachable(io::Error),
    /// the call could not be sent to the peer: {0}
    NotSent(FrameError),
    /// no valid reply to the call arrived from the peer: {0}
    NoResponse(FrameError),
    /// the peer refused the call: {0}
    Refused(String),
    /// the reply of the peer does not match the call
    UnexpectedReply,
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Returns whether it is certain that the peer did not execute the call.
    ///
    /// A peer cannot decode a frame that was not written completely.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_) | Self::NotSent(_) | Self::Refused(_)
        )
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    idle_since: Millis,
}

/// Makes calls to other instances.
#[derive(Debug)]
pub struct PeerClient {
    cluster: String,
    sender: String,
    boot_id: u64,
    clock: Clock,
    blocked: Arc<BlockedPeers>,
    counters: Arc<PeerCounters>,
    idle_connections: Mutex<BTreeMap<SocketAddr, IdleConnection>>,
}

impl PeerClient {
    /// Creates a client that sends the cluster, name and boot identifier of its instance with each
    /// call.
    #[must_use]
    pub fn new(
        cluster: &str,
        sender: &str,
        boot_id: u64,
        blocked: Arc<BlockedPeers>,
        counters: Arc<PeerCounters>,
    ) -> Self {
        Self {
            cluster: cluster.to_owned(),
            sender: sender.to_owned(),
            boot_id,
            clock: Clock::new(),
            blocked,
            counters,
            idle_connections: Mutex::default(),
        }
    }

    /// Makes an idempotent call and waits for its single reply.
    ///
    /// Uses an idle connection if there is one. If the peer has closed it, the call is sent again
    /// on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, refuses the call, or does not reply in time.
    pub fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let call = self.new_call(request);
        let result = match self.take_idle(to) {
            Some(stream) => match self.exchange(stream, to, &call, timeout) {
                Err(PeerError::NotSent(_) | PeerError::NoResponse(FrameError::Closed)) => {
                    self.call_on_new_connection(to, &call, timeout)
                }
                result => result,
            },
            None => self.call_on_new_connection(to, &call, timeout),
        };
        self.count_failure(result)
    }

    /// Makes a call at most once, on a new connection, and waits for its single reply.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the peer may have executed the call.
    pub fn call_once(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let call = self.new_call(request);
        self.count_failure(self.call_on_new_connection(to, &call, timeout))
    }

    /// Makes a call at most once, on a new connection, and returns its replies as a stream.
    ///
    /// # Errors
    ///
    /// Returns an error only if the peer has certainly not executed the call.
    pub fn open_stream(
        &self,
        to: SocketAddr,
        request: PeerRequest,
    ) -> Result<PeerStream, PeerError> {
        let call = self.new_call(request);
        let result = self.connect(to).and_then(|mut stream| {
            self.send(&mut stream, &call)?;
            Ok(PeerStream {
                stream,
                counters: Arc::clone(&self.counters),
            })
        });
        self.count_failure(result)
    }

    fn count_failure<T>(&self, result: Result<T, PeerError>) -> Result<T, PeerError> {
        if result.is_err() {
            PeerCounters::add(&self.counters.calls_failed, 1);
        }
        result
    }

    fn new_call(&self, request: PeerRequest) -> PeerCall {
        PeerCall {
            cluster: self.cluster.clone(),
            sender: self.sender.clone(),
            boot_id: self.boot_id,
            request,
        }
    }

    fn call_on_new_connection(
        &self,
        to: SocketAddr,
        call: &PeerCall,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let stream = self.connect(to)?;
        self.exchange(stream, to, call, timeout)
    }

    fn connect(&self, to: SocketAddr) -> Result<TcpStream, PeerError> {
        if self.blocked.contains(&to) {
            let error = io::Error::from(io::ErrorKind::ConnectionRefused);
            return Err(PeerError::Unreachable(error));
        }
        let connect = || {
            let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT_MS.to_duration())?;
            stream.set_nodelay(true)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT_MS.to_duration()))?;
            Ok(stream)
        };
        connect().map_err(PeerError::Unreachable)
    }

    fn send(&self, stream: &mut TcpStream, call: &PeerCall) -> Result<(), PeerError> {
        let size = frame::write(stream, call).map_err(PeerError::NotSent)?;
        PeerCounters::add(&self.counters.calls_sent, 1);
        PeerCounters::add(&self.counters.frame_bytes_sent, size);
        Ok(())
    }

    fn exchange(
        &self,
        mut stream: TcpStream,
        to: SocketAddr,
        call: &PeerCall,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        self.send(&mut stream, call)?;
        let reply = receive(&mut stream, timeout, &self.counters)?;
        self.keep_idle(to, stream);
        match reply {
            PeerReply::Refused { reason } => Err(PeerError::Refused(reason)),
            reply => Ok(reply),
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let idle = lock(&self.idle_connections).remove(&to)?;
        let fresh = self.clock.now() - idle.idle_since < MAX_IDLE_REUSE_MS;
        (fresh && !self.blocked.contains(&to)).then_some(idle.stream)
    }

    fn keep_idle(&self, to: SocketAddr, stream: TcpStream) {
        let idle_since = self.clock.now();
        let mut idle = lock(&self.idle_connections);
        idle.retain(|_, idle| idle_since - idle.idle_since < MAX_IDLE_REUSE_MS);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.insert(to, IdleConnection { stream, idle_since });
        }
    }
}

/// The replies to a call with more than one reply.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    counters: Arc<PeerCounters>,
}

impl PeerStream {
    /// Waits for the next reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Refused`] if the peer refused the call, and [`PeerError::NoResponse`]
    /// if no complete frame arrives in time; the peer may then have executed the call.
    pub fn next_reply(&mut self, timeout: Millis) -> Result<PeerReply, PeerError> {
        match receive(&mut self.stream, timeout, &self.counters)? {
            PeerReply::Refused { reason } => Err(PeerError::Refused(reason)),
            reply => Ok(reply),
        }
    }
}

fn receive(
    stream: &mut TcpStream,
    timeout: Millis,
    counters: &PeerCounters,
) -> Result<PeerReply, PeerError> {
    // A read timeout of zero is an error, so the minimum is 1 ms.
    let timeout = timeout.max(Millis(1)).to_duration();
    let timeout_set = stream.set_read_timeout(Some(timeout));
    timeout_set.map_err(|error| PeerError::NoResponse(FrameError::Io(error)))?;
    let (reply, size) = frame::read(stream, MAX_FRAME_BYTES).map_err(PeerError::NoResponse)?;
    PeerCounters::add(&counters.frame_bytes_received, size);
    Ok(reply)
}

/// Writes the replies to a call.
#[derive(Debug)]
pub struct ReplyWriter<'a> {
    stream: &'a mut TcpStream,
    counters: &'a PeerCounters,
}

impl ReplyWriter<'_> {
    /// Sends one reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the reply cannot be written, for example because the peer has closed the
    /// connection.
    pub fn send(&mut self, reply: &PeerReply) -> Result<(), FrameError> {
        let size = frame::write(self.stream, reply)?;
        PeerCounters::add(&self.counters.frame_bytes_sent, size);
        Ok(())
    }
}

/// Handles the calls of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns whether calls of an instance are dropped, because a test simulates a partition.
    fn is_blocked(&self, sender: &str) -> bool;

    /// Handles one call, and writes its replies.
    ///
    /// # Errors
    ///
    /// Returns an error if a reply could not be sent.
    fn handle(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError>;
}

/// Serves calls until the stop signal is raised. A connection that is open then ends after the call
/// that it serves or receives next, or after its idle timeout.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub fn serve<H: PeerHandler>(
    listener: &TcpListener,
    cluster: &str,
    handler: &Arc<H>,
    counters: &Arc<PeerCounters>,
    stop: &StopSignal,
) -> ChildResult {
    let timeout = Some(ACCEPT_TIMEOUT_MS.to_duration());
    let timeout_set = SockRef::from(listener).set_read_timeout(timeout);
    timeout_set.map_err(|error| error.to_string())?;
    let connections = Arc::new(AtomicUsize::new(0));
    while !stop.is_raised() {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if is_transient(&error) => continue,
            Err(error) => return Err(error.to_string()),
        };
        if connections.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
            connections.fetch_sub(1, Ordering::AcqRel);
            PeerCounters::add(&counters.calls_failed, 1);
            continue;
        }
        let connection = ServerConnection {
            stream,
            cluster: cluster.to_owned(),
            handler: Arc::clone(handler),
            counters: Arc::clone(counters),
            open_connections: Arc::clone(&connections),
            stop: stop.clone(),
        };
        let thread = thread::Builder::new().name("peer-call".to_owned());
        if thread.spawn(move || connection.run()).is_err() {
            PeerCounters::add(&counters.calls_failed, 1);
        }
    }
    Ok(())
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionAborted
    )
}

struct ServerConnection<H> {
    stream: TcpStream,
    cluster: String,
    handler: Arc<H>,
    counters: Arc<PeerCounters>,
    open_connections: Arc<AtomicUsize>,
    stop: StopSignal,
}

impl<H: PeerHandler> ServerConnection<H> {
    fn run(mut self) {
        // The client detects and counts a broken connection, so the error is dropped here.
        drop(self.handle_calls());
    }

    fn handle_calls(&mut self) -> Result<(), FrameError> {
        let stream = &mut self.stream;
        stream.set_nodelay(true).map_err(FrameError::Io)?;
        let timeout = Some(IDLE_CLOSE_TIMEOUT_MS.to_duration());
        stream.set_read_timeout(timeout).map_err(FrameError::Io)?;
        let timeout = Some(WRITE_TIMEOUT_MS.to_duration());
        stream.set_write_timeout(timeout).map_err(FrameError::Io)?;
        while !self.stop.is_raised() {
            let (call, size) = frame::read::<PeerCall>(&mut self.stream, MAX_FRAME_BYTES)?;
            PeerCounters::add(&self.counters.calls_received, 1);
            PeerCounters::add(&self.counters.frame_bytes_received, size);
            let mut replies = ReplyWriter {
                stream: &mut self.stream,
                counters: &self.counters,
            };
            if call.cluster != self.cluster {
                let reason = "the call comes from a different cluster".to_owned();
                return replies.send(&PeerReply::Refused { reason });
            }
            if self.handler.is_blocked(&call.sender) {
                return Ok(());
            }
            self.handler.handle(call, &mut replies)?;
        }
        Ok(())
    }
}

impl<H> Drop for ServerConnection<H> {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex, and ignores poisoning: the protected data stay consistent if a thread panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
