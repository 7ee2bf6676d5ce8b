//! An HTTP/1.1 server with a bounded number of connections and one thread for each connection.
//!
//! `tiny_http` is not suitable. In a burst of connections, its thread pool assigns two of them to
//! the same idle thread, and the second one is not read until some connection is closed. Stand-ins
//! also have to close connections without a response and to detect disconnected clients.

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
/// How long a read may wait for bytes before the connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 48;
/// Limit on a request body; after the response to a larger one, the connection is closed.
const MAX_BODY_BYTES: usize = 1_100_000;
/// Limit on the bytes of a rejected body that are read before the response is sent.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Delay after a failure to accept a connection, for example when no file descriptors are left.
/// Also limits the time for which [`HttpServer::stop`] tries to connect to its own listener.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Responds to the requests that a server receives.
pub trait Handler: Send + Sync + 'static {
    /// Responds to one request, on the thread of its connection.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the response cannot be sent; the connection is then closed.
    fn handle(&self, exchange: Exchange) -> io::Result<()>;
}

/// A running HTTP server; it stops when it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    connections: Arc<Connections>,
}

#[derive(Debug)]
struct Connections {
    open: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
    max_open: usize,
    next_id: AtomicU64,
    stopped: AtomicBool,
}

impl HttpServer {
    /// Starts a server on a bound listener.
    ///
    /// Connections beyond `max_connections` receive a 503 response and are closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread that accepts connections cannot be started.
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
        let registry = Arc::clone(&connections);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept(&listener, &registry, &handler))?;
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

    /// Closes the listener and all connections immediately, as a crash of the process would.
    pub fn stop(&self) {
        if self.connections.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.connections.lock().values() {
            close(stream);
        }
        // Unblocks the accepting thread, which otherwise stops only after the next connection.
        drop(TcpStream::connect_timeout(&self.address, RETRY_DELAY));
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

    /// Returns `None` if the limit is reached or the server has stopped.
    fn try_add(&self, stream: &Arc<TcpStream>) -> Option<u64> {
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
            thread::sleep(RETRY_DELAY);
            continue;
        };
        let stream = Arc::new(stream);
        let Some(id) = connections.try_add(&stream) else {
            // The client may have disconnected already.
            drop((&*stream).write_all(BUSY_RESPONSE));
            continue;
        };
        let registry = Arc::clone(connections);
        let handler = Arc::clone(handler);
        let spawned = thread::Builder::new()
            .name("connection".to_owned())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || {
                // Fails if the client has disconnected, was idle for too long or sent a malformed
                // request. Handlers count disconnections themselves.
                drop(serve(&stream, &registry, handler.as_ref()));
                close(&stream);
                registry.lock().remove(&id);
            });
        if spawned.is_err() {
            connections.lock().remove(&id);
        }
    }
}

fn close(stream: &TcpStream) {
    // Shutting down fails if the client has already closed the connection, which is harmless.
    drop(stream.shutdown(Shutdown::Both));
}

/// Handles the requests of one connection in order until the connection is closed.
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
        let is_body_complete = !matches!(body, Body::TooLarge);
        let keep_alive = Arc::new(AtomicBool::new(false));
        let client_requests_close = head
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let writer = ResponseWriter {
            stream: Arc::clone(stream),
            keep_alive: Arc::clone(&keep_alive),
        };
        handler.handle(Exchange { head, body, writer })?;
        if client_requests_close || !is_body_complete || !keep_alive.load(Ordering::SeqCst) {
            return Ok(());
        }
    }
    Ok(())
}

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

    /// Returns the request head and its length in bytes, or `None` if it is incomplete.
    fn parse(received: &[u8]) -> io::Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(received).map_err(io::Error::other)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if received.len() > MAX_HEAD_BYTES => {
                return Err(io::Error::other("the request head is too large"));
            }
            httparse::Status::Partial => return Ok(None),
        };
        let url = request.path.unwrap_or("/");
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            path: percent_decode(path),
            query: query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
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

#[derive(Debug)]
enum Body {
    Complete(Vec<u8>),
    /// Larger than [`MAX_BODY_BYTES`]; the body was discarded.
    TooLarge,
}

/// Waits for bytes and appends them; returns `false` if the client has closed the connection.
fn read_more(mut stream: &TcpStream, received: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let count = stream.read(&mut chunk)?;
    received.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Returns `None` if the client closes the connection before the head is complete.
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
        return Err(io::Error::other(
            "transfer encodings of requests are not supported",
        ));
    }
    let length = head.header("Content-Length").unwrap_or("0");
    let length: usize = length.trim().parse().map_err(io::Error::other)?;
    if length > MAX_BODY_BYTES {
        discard_body(stream, length.saturating_sub(received.len()))?;
        return Ok(Body::TooLarge);
    }
    if head.header("Expect").is_some() {
        stream.write_all(CONTINUE_RESPONSE)?;
    }
    while received.len() < length {
        if !read_more(stream, received)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let next_request = received.split_off(length);
    Ok(Body::Complete(std::mem::replace(received, next_request)))
}

/// Binds a listener. Accepted connections inherit its write timeout and its option `TCP_NODELAY`,
/// which sends small packets without delay.
///
/// # Errors
///
/// Returns the socket error, for example if the address is in use.
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

/// Discards a large body; closing with unread data could reset the connection before the client
/// has read the response.
fn discard_body(stream: &TcpStream, length: usize) -> io::Result<()> {
    let length = length.min(MAX_DISCARDED_BYTES) as u64;
    io::copy(&mut stream.take(length), &mut io::sink())?;
    Ok(())
}

/// Writes the response to one request.
#[derive(Debug)]
struct ResponseWriter {
    stream: Arc<TcpStream>,
    /// Set once a complete response has been sent, so that the connection can be used again.
    keep_alive: Arc<AtomicBool>,
}

impl ResponseWriter {
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

    /// Sends the last bytes of a response and allows another request on the connection.
    fn finish(&self, bytes: &[u8]) -> io::Result<()> {
        if self.is_client_gone() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.write(bytes)?;
        self.keep_alive.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// A received request that awaits its response.
///
/// Dropping it without a response closes the connection.
#[derive(Debug)]
pub struct Exchange {
    head: Head,
    body: Body,
    writer: ResponseWriter,
}

impl Exchange {
    /// Returns the HTTP method as the client sent it.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.head.method
    }

    /// Returns the percent-decoded path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.head.path
    }

    /// Returns the percent-decoded value of a query parameter.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.head.query.get(name).map(String::as_str)
    }

    /// Returns the value of a query parameter, or `None` if it is absent or not a number.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name).and_then(|value| value.parse().ok())
    }

    /// Returns the value of a request header; the case of the name does not matter.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// Parses a JSON body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or cannot be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self, max_bytes: usize) -> Result<T, BodyError> {
        match &self.body {
            Body::Complete(body) if body.len() <= max_bytes => {
                serde_json::from_slice(body).map_err(|error| BodyError::Invalid(error.to_string()))
            }
            _ => Err(BodyError::TooLarge),
        }
    }

    /// Sends a response with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn respond(
        self,
        status: u16,
        headers: &[(&str, String)],
        body: &impl Serialize,
    ) -> io::Result<()> {
        let body = serde_json::to_string(body)?;
        let head = response_head(status, headers);
        let length = body.len();
        let kind = "Content-Type: application/json";
        let response = format!(
            "{head}{kind}
Content-Length: {length}

{body}"
        );
        self.writer.finish(response.as_bytes())
    }

    /// Sends a response without a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn respond_empty(self, status: u16) -> io::Result<()> {
        let mut response = response_head(status, &[]);
        // In a 304 response, Content-Length would state the length of the unmodified resource.
        if status != 304 {
            response.push_str("Content-Length: 0\r\n");
        }
        response.push_str("\r\n");
        self.writer.finish(response.as_bytes())
    }

    /// Sends an error response whose JSON body has the field `detail`.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn respond_error(self, status: u16, detail: &str) -> io::Result<()> {
        self.respond(status, &[], &serde_json::json!({ "detail": detail }))
    }

    /// Closes the connection without a response.
    pub fn drop_connection(self) {
        close(&self.writer.stream);
    }

    /// Sends the head of a 200 response whose body is a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn into_event_stream(self, headers: &[(&str, String)]) -> io::Result<EventWriter> {
        let mut head = response_head(200, headers);
        head.push_str("Content-Type: text/event-stream\r\n");
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        self.writer.write(head.as_bytes())?;
        Ok(EventWriter {
            writer: self.writer,
        })
    }
}

/// Why a request body is rejected.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BodyError {
    /// the request body is too large
    TooLarge,
    /// the request body is invalid: {0}
    Invalid(String),
}

impl std::error::Error for BodyError {}

impl BodyError {
    /// Returns the HTTP status of the error response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::TooLarge => 413,
            Self::Invalid(_) => 400,
        }
    }
}

/// A response body in progress that consists of server-sent events.
///
/// Dropping it before [`EventWriter::finish`] closes the connection.
#[derive(Debug)]
pub struct EventWriter {
    writer: ResponseWriter,
}

impl EventWriter {
    /// Sends one event as a chunk of its own, without buffering.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn send(&mut self, event: &str, data: &impl Serialize) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        let text = format!("event: {event}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write(chunk.as_bytes())
    }

    /// Returns whether the client has closed the connection.
    #[must_use]
    pub fn is_client_gone(&self) -> bool {
        self.writer.is_client_gone()
    }

    /// Sends the last chunk, which marks the body as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub fn finish(self) -> io::Result<()> {
        self.writer.finish(b"0\r\n\r\n")
    }
}

fn response_head(status: u16, headers: &[(&str, String)]) -> String {
    let status_line = format!(
        "HTTP/1.1 {status} {}
",
        reason_phrase(status)
    );
    let lines = headers.iter().map(|(name, value)| {
        format!(
            "{name}: {value}
"
        )
    });
    std::iter::once(status_line).chain(lines).collect()
}

fn reason_phrase(status: u16) -> &'static str {
    ureq::http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}

fn percent_decode(text: &str) -> String {
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
