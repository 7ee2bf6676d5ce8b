//! Calls between instances over TCP.
//!
//! [`PeerClient`] makes calls with timeouts, and [`serve`] answers them, one thread for each
//! connection. An error of the client says whether the peer may have received the call, so that a
//! caller can tell a call that was not run from one with an unknown outcome.

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

/// The time in which a connection has to be established.
const CONNECT_TIMEOUT_MS: Millis = Millis(500);

/// The time in which a peer has to take the bytes of a frame.
const WRITE_TIMEOUT_MS: Millis = Millis(2_000);

/// The time after which an idle connection is not used again.
const IDLE_REUSE_MS: Millis = Millis(4_000);

/// The time after which the server closes an idle connection; longer than the client's, so that
/// the client seldom meets a connection that is being closed.
const IDLE_CLOSE_MS: Millis = Millis(10_000);

/// The time between two looks at the stop flag while waiting for connections.
const ACCEPT_TIMEOUT_MS: Millis = Millis(100);

/// The number of idle connections that a client keeps.
const MAX_IDLE: usize = 64;

/// The number of connections that a server handles at once.
const MAX_CONNECTIONS: usize = 512;

/// Traffic between instances, for the cost of control.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// The datagrams that were sent.
    pub datagrams_sent: AtomicU64,
    /// The bytes in datagrams that were sent.
    pub datagram_bytes_sent: AtomicU64,
    /// The datagrams that were received.
    pub datagrams_received: AtomicU64,
    /// The bytes in datagrams that were received.
    pub datagram_bytes_received: AtomicU64,
    /// The datagrams that were malformed, had another version or came from another deployment.
    pub datagrams_rejected: AtomicU64,
    /// The datagrams that could not be sent.
    pub datagrams_failed: AtomicU64,
    /// The calls that were made.
    pub calls_sent: AtomicU64,
    /// The calls that were answered.
    pub calls_received: AtomicU64,
    /// The calls that failed or were refused.
    pub calls_failed: AtomicU64,
    /// The bytes in frames that were sent.
    pub frame_bytes_sent: AtomicU64,
    /// The bytes in frames that were received.
    pub frame_bytes_received: AtomicU64,
}

impl PeerCounters {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent for control: all datagrams and frames.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.datagram_bytes_sent.load(Ordering::Relaxed)
            + self.frame_bytes_sent.load(Ordering::Relaxed)
    }
}

/// The addresses of peers that a test has made unreachable.
#[derive(Debug, Default)]
pub struct BlockedPeers {
    addresses: Mutex<BTreeSet<SocketAddr>>,
    count: AtomicUsize,
}

impl BlockedPeers {
    /// Replaces the addresses.
    pub fn set(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut present = lock(&self.addresses);
        *present = addresses.into_iter().collect();
        self.count.store(present.len(), Ordering::Release);
    }

    /// Returns whether an address is blocked.
    #[must_use]
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.count.load(Ordering::Acquire) > 0 && lock(&self.addresses).contains(address)
    }
}

/// A call that failed.
#[derive(Debug, Display)]
pub enum PeerError {
    /// the peer cannot be reached: {0}
    Unreachable(io::Error),
    /// the peer did not take the call: {0}
    NotSent(FrameError),
    /// the peer took the call, but its answer is missing: {0}
    NoResponse(FrameError),
    /// the peer refused the call: {0}
    Refused(String),
    /// the answer does not belong to the call
    UnexpectedReply,
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Returns whether it is certain that the peer did not act on the call.
    ///
    /// A frame that was not written as a whole cannot be decoded by the peer.
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
    since: Millis,
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
    idle: Mutex<BTreeMap<SocketAddr, IdleConnection>>,
}

impl PeerClient {
    /// Creates a client that introduces itself with the names of its instance.
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
            idle: Mutex::default(),
        }
    }

    /// Makes a call that may be repeated, and waits for its only answer.
    ///
    /// An idle connection is used if there is one; when the peer has closed it, the call is
    /// repeated on a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer cannot be reached, refuses, or does not answer in time.
    pub fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let call = self.envelope(request);
        let result = match self.take_idle(to) {
            Some(stream) => match self.exchange(stream, to, &call, timeout) {
                Err(PeerError::NotSent(_) | PeerError::NoResponse(FrameError::Closed)) => {
                    self.call_on_new(to, &call, timeout)
                }
                result => result,
            },
            None => self.call_on_new(to, &call, timeout),
        };
        self.count_failure(result)
    }

    /// Makes a call at most once on a new connection, and waits for its only answer.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the peer may have acted on the call.
    pub fn call_once(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let call = self.envelope(request);
        self.count_failure(self.call_on_new(to, &call, timeout))
    }

    /// Makes a call at most once on a new connection, and returns its answers as a stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the call was certainly not run.
    pub fn open_stream(
        &self,
        to: SocketAddr,
        request: PeerRequest,
    ) -> Result<PeerStream, PeerError> {
        let call = self.envelope(request);
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

    fn envelope(&self, request: PeerRequest) -> PeerCall {
        PeerCall {
            cluster: self.cluster.clone(),
            sender: self.sender.clone(),
            boot_id: self.boot_id,
            request,
        }
    }

    fn call_on_new(
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
        let idle = lock(&self.idle).remove(&to)?;
        let fresh = self.clock.now() - idle.since < IDLE_REUSE_MS;
        (fresh && !self.blocked.contains(&to)).then_some(idle.stream)
    }

    fn keep_idle(&self, to: SocketAddr, stream: TcpStream) {
        let since = self.clock.now();
        let mut idle = lock(&self.idle);
        idle.retain(|_, idle| since - idle.since < IDLE_REUSE_MS);
        if idle.len() < MAX_IDLE {
            idle.insert(to, IdleConnection { stream, since });
        }
    }
}

/// The answers to a stage call.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    counters: Arc<PeerCounters>,
}

impl PeerStream {
    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Refused`] when the call was not begun, and [`PeerError::NoResponse`]
    /// when no whole frame arrives in time; the peer may then have acted on the call.
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
    // A timeout of zero would mean to wait without end.
    let timeout = timeout.max(Millis(1)).to_duration();
    let timed = stream.set_read_timeout(Some(timeout));
    timed.map_err(|error| PeerError::NoResponse(FrameError::Io(error)))?;
    let (reply, size) = frame::read(stream, MAX_FRAME_BYTES).map_err(PeerError::NoResponse)?;
    PeerCounters::add(&counters.frame_bytes_received, size);
    Ok(reply)
}

/// Writes the frames of an answer.
#[derive(Debug)]
pub struct ReplyWriter<'a> {
    stream: &'a mut TcpStream,
    counters: &'a PeerCounters,
}

impl ReplyWriter<'_> {
    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has gone.
    pub fn send(&mut self, reply: &PeerReply) -> Result<(), FrameError> {
        let size = frame::write(self.stream, reply)?;
        PeerCounters::add(&self.counters.frame_bytes_sent, size);
        Ok(())
    }
}

/// Answers the calls of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns whether calls of an instance are refused, for tests of partitions.
    fn is_blocked(&self, sender: &str) -> bool;

    /// Answers one call.
    ///
    /// # Errors
    ///
    /// Returns an error when an answer could not be sent.
    fn handle(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError>;
}

/// Answers calls until the stop flag is raised; connections that are open then go on until their
/// call has been answered.
///
/// # Errors
///
/// Returns an error when the listener fails.
pub fn serve<H: PeerHandler>(
    listener: &TcpListener,
    cluster: &str,
    handler: &Arc<H>,
    counters: &Arc<PeerCounters>,
    stop: &StopSignal,
) -> ChildResult {
    let timeout = Some(ACCEPT_TIMEOUT_MS.to_duration());
    let timed = SockRef::from(listener).set_read_timeout(timeout);
    timed.map_err(|error| error.to_string())?;
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
        let connection = Connection {
            stream,
            cluster: cluster.to_owned(),
            handler: Arc::clone(handler),
            counters: Arc::clone(counters),
            open: Arc::clone(&connections),
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

struct Connection<H> {
    stream: TcpStream,
    cluster: String,
    handler: Arc<H>,
    counters: Arc<PeerCounters>,
    open: Arc<AtomicUsize>,
    stop: StopSignal,
}

impl<H: PeerHandler> Connection<H> {
    fn run(mut self) {
        // The end of a connection is known to the caller, which counts it.
        drop(self.answer_calls());
    }

    fn answer_calls(&mut self) -> Result<(), FrameError> {
        let stream = &mut self.stream;
        stream.set_nodelay(true).map_err(FrameError::Io)?;
        let timeout = Some(IDLE_CLOSE_MS.to_duration());
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
                let reason = "the call comes from another deployment".to_owned();
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

impl<H> Drop for Connection<H> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex whose content stays consistent when a thread panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
