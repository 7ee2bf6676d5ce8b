//! An HTTP/1.1 server with a bounded number of connections, each served by a small thread.
//!
//! `tiny_http` is not used here. In a burst of connections its pool hands two of them to the same
//! idle thread, and the second one is not read until some connection is closed. Stand-ins also
//! have to close connections without an answer, and to notice clients that went away.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECTION_STACK_BYTES: usize = 256 * 1024;
const LISTEN_BACKLOG: i32 = 1_024;
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// An idle connection is closed after this time.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 48;
/// The largest body that is kept; a larger one is refused and its connection closed.
const MAX_BODY_BYTES: usize = 1_100_000;
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// The pause after a failure to accept, for example when there are no file descriptors left.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
const BUSY: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a server does with each request.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client cannot be answered.
    fn handle(&self, exchange: Exchange) -> io::Result<()>;
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    connections: Arc<Connections>,
}

/// The open connections of a server.
#[derive(Debug)]
struct Connections {
    open: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
    max_open: usize,
    next_id: AtomicU64,
    stopped: AtomicBool,
}

impl HttpServer {
    /// Starts a server whose listener is already bound.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread that accepts connections cannot be started.
    pub fn start(
        listener: TcpListener,
        max_connections: usize,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let connections = Arc::new(Connections {
            open: Mutex::new(BTreeMap::new()),
            max_open: max_connections,
            next_id: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&connections);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept(&listener, &accepting, &handler))?;
        Ok(Self {
            address,
            connections,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once, as a crash does.
    pub fn stop(&self) {
        if self.connections.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.connections.lock().values() {
            close(stream);
        }
        // Wakes the thread that accepts; without a connection it ends with the next one.
        drop(TcpStream::connect_timeout(&self.address, ACCEPT_RETRY));
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection unless there are too many.
    fn add(&self, stream: &Arc<TcpStream>) -> Option<u64> {
        let mut open = self.lock();
        if open.len() >= self.max_open || self.stopped.load(Ordering::SeqCst) {
            return None;
        }
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        open.insert(id, Arc::clone(stream));
        Some(id)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, connections: &Arc<Connections>, handler: &Arc<dyn Handler>) {
    while !connections.is_stopped() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_RETRY);
            continue;
        };
        let stream = Arc::new(stream);
        let Some(id) = connections.add(&stream) else {
            // The client learns that there is no room, if it still listens.
            drop((&*stream).write_all(BUSY));
            continue;
        };
        let served = Arc::clone(connections);
        let handler = Arc::clone(handler);
        let spawned = thread::Builder::new()
            .name("connection".to_owned())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || {
                // An error means that the client went away, which handlers count themselves.
                drop(serve(&stream, &served, handler.as_ref()));
                close(&stream);
                served.lock().remove(&id);
            });
        if spawned.is_err() {
            connections.lock().remove(&id);
        }
    }
}

fn close(stream: &TcpStream) {
    // A connection that the client has closed cannot be shut down, which is no fault.
    drop(stream.shutdown(Shutdown::Both));
}

/// Serves the requests of one connection until it is closed.
fn serve(
    stream: &Arc<TcpStream>,
    connections: &Connections,
    handler: &dyn Handler,
) -> io::Result<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut received = Vec::new();
    while !connections.is_stopped() {
        let Some(head) = read_head(stream, &mut received)? else {
            return Ok(());
        };
        let body = read_body(stream, &mut received, &head)?;
        let is_whole = !matches!(body, Body::TooLarge);
        let keep_alive = Arc::new(AtomicBool::new(false));
        let closes = head
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let answer = Answer {
            stream: Arc::clone(stream),
            keep_alive: Arc::clone(&keep_alive),
        };
        handler.handle(Exchange { head, body, answer })?;
        if closes || !is_whole || !keep_alive.load(Ordering::SeqCst) {
            return Ok(());
        }
    }
    Ok(())
}

/// The head of a request.
#[derive(Debug)]
struct Head {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: Vec<(String, String)>,
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        Some(value)
    }

    /// Parses a head, and returns it with its length once it is complete.
    fn parse(received: &[u8]) -> io::Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(received).map_err(io::Error::other)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if received.len() > MAX_HEAD_BYTES => {
                return Err(io::Error::other("the head of the request is too large"));
            }
            httparse::Status::Partial => return Ok(None),
        };
        let url = request.path.unwrap_or("/");
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            path: percent_decoded(path),
            query: query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
                .collect(),
            headers: request
                .headers
                .iter()
                .map(|header| (header.name.to_owned(), text(header.value)))
                .collect(),
        };
        Ok(Some((head, length)))
    }
}

/// The body of a request.
#[derive(Debug)]
enum Body {
    Whole(Vec<u8>),
    TooLarge,
}

/// Reads more bytes, and returns `false` at the end of the connection.
fn read_more(mut stream: &TcpStream, received: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let count = stream.read(&mut chunk)?;
    received.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn read_head(stream: &TcpStream, received: &mut Vec<u8>) -> io::Result<Option<Head>> {
    loop {
        if let Some((head, length)) = Head::parse(received)? {
            received.drain(..length);
            return Ok(Some(head));
        }
        if !read_more(stream, received)? {
            return Ok(None);
        }
    }
}

fn read_body(mut stream: &TcpStream, received: &mut Vec<u8>, head: &Head) -> io::Result<Body> {
    if head.header("Transfer-Encoding").is_some() {
        return Err(io::Error::other("a chunked request is not supported"));
    }
    let length = head.header("Content-Length").unwrap_or("0");
    let length: usize = length.trim().parse().map_err(io::Error::other)?;
    if length > MAX_BODY_BYTES {
        discard(stream, length.saturating_sub(received.len()))?;
        return Ok(Body::TooLarge);
    }
    if head.header("Expect").is_some() {
        stream.write_all(CONTINUE)?;
    }
    while received.len() < length {
        if !read_more(stream, received)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let rest = received.split_off(length);
    Ok(Body::Whole(std::mem::replace(received, rest)))
}

/// Binds a listener whose connections send small packets at once.
///
/// # Errors
///
/// Returns the error of the socket, for example when the address is in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Reads a body that is too large, so that its client reads the answer and not a reset.
fn discard(stream: &TcpStream, length: usize) -> io::Result<()> {
    let length = length.min(MAX_DISCARDED_BYTES) as u64;
    io::copy(&mut stream.take(length), &mut io::sink())?;
    Ok(())
}

/// The means to answer a request.
#[derive(Debug)]
struct Answer {
    stream: Arc<TcpStream>,
    /// Set once a whole answer has been sent.
    keep_alive: Arc<AtomicBool>,
}

impl Answer {
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes)
    }

    /// Returns whether the client has closed the connection.
    fn is_client_gone(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.set_nonblocking(true);
        let peeked = peeked.and_then(|()| self.stream.peek(&mut byte));
        if self.stream.set_nonblocking(false).is_err() {
            return true;
        }
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends the end of an answer, after which the next request may follow.
    fn finish(&self, bytes: &[u8]) -> io::Result<()> {
        if self.is_client_gone() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.write(bytes)?;
        self.keep_alive.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// A request together with the means to answer it.
///
/// When it is dropped without an answer, the connection is closed.
#[derive(Debug)]
pub struct Exchange {
    head: Head,
    body: Body,
    answer: Answer,
}

impl Exchange {
    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.head.path
    }

    /// Returns a parameter of the query.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.head.query.get(name).map(String::as_str)
    }

    /// Returns a number from the query.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name).and_then(|value| value.parse().ok())
    }

    /// Returns a header of the request.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    pub fn json<T: DeserializeOwned>(&self, max_bytes: usize) -> Result<T, BodyError> {
        match &self.body {
            Body::Whole(body) if body.len() <= max_bytes => {
                serde_json::from_slice(body).map_err(|error| BodyError::Invalid(error.to_string()))
            }
            _ => Err(BodyError::TooLarge),
        }
    }

    /// Sends an answer with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn respond(
        self,
        status: u16,
        headers: &[(&str, String)],
        body: &impl Serialize,
    ) -> io::Result<()> {
        let body = serde_json::to_string(body)?;
        let head = head_of_answer(status, headers);
        let length = body.len();
        let kind = "Content-Type: application/json";
        let answer = format!(
            "{head}{kind}
Content-Length: {length}

{body}"
        );
        self.answer.finish(answer.as_bytes())
    }

    /// Sends an answer without a body.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn respond_empty(self, status: u16) -> io::Result<()> {
        let mut answer = head_of_answer(status, &[]);
        // A 304 has no length; a client would otherwise take it for the length of the resource.
        if status != 304 {
            answer.push_str("Content-Length: 0\r\n");
        }
        answer.push_str("\r\n");
        self.answer.finish(answer.as_bytes())
    }

    /// Sends a problem with a plain description.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn problem(self, status: u16, detail: &str) -> io::Result<()> {
        self.respond(status, &[], &serde_json::json!({ "detail": detail }))
    }

    /// Closes the connection without an answer.
    pub fn drop_connection(self) {
        close(&self.answer.stream);
    }

    /// Starts a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn into_event_stream(self, headers: &[(&str, String)]) -> io::Result<EventWriter> {
        let mut head = head_of_answer(200, headers);
        head.push_str("Content-Type: text/event-stream\r\n");
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        self.answer.write(head.as_bytes())?;
        Ok(EventWriter {
            answer: self.answer,
        })
    }
}

/// What is wrong with a request's body.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BodyError {
    /// the body is too large
    TooLarge,
    /// the body is not valid: {0}
    Invalid(String),
}

impl std::error::Error for BodyError {}

impl BodyError {
    /// Returns the status that tells the client about the error.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge => 413,
            Self::Invalid(_) => 400,
        }
    }
}

/// A stream of server-sent events in progress.
///
/// When it is dropped before its end, the connection is closed.
#[derive(Debug)]
pub struct EventWriter {
    answer: Answer,
}

impl EventWriter {
    /// Sends one event at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn send(&mut self, event: &str, data: &impl Serialize) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        let text = format!("event: {event}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.answer.write(chunk.as_bytes())
    }

    /// Returns whether the client has closed the connection.
    #[must_use]
    pub fn is_client_gone(&self) -> bool {
        self.answer.is_client_gone()
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the client went away.
    pub fn finish(self) -> io::Result<()> {
        self.answer.finish(b"0\r\n\r\n")
    }
}

fn head_of_answer(status: u16, headers: &[(&str, String)]) -> String {
    let status_line = format!(
        "HTTP/1.1 {status} {}
",
        reason(status)
    );
    let lines = headers.iter().map(|(name, value)| {
        format!(
            "{name}: {value}
"
        )
    });
    std::iter::once(status_line).chain(lines).collect()
}

fn reason(status: u16) -> &'static str {
    ureq::http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}

fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|pair| str::from_utf8(pair).ok());
        let byte = digits.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        if let (b'%', Some(byte)) = (first, byte) {
            decoded.push(byte);
            rest = &after[2..];
        } else {
            decoded.push(first);
            rest = after;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
