//! An HTTP server on `tiny_http` with a bounded pool of workers.
//!
//! Workers have small stacks and are started on demand, so that a target can hold a few hundred
//! streams at once without holding the threads while it is idle.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Request;
use tiny_http::Server;

const WORKER_STACK_BYTES: usize = 256 * 1024;
const MIN_WORKERS: usize = 2;
const WORKER_IDLE: Duration = Duration::from_secs(2);
const LISTEN_BACKLOG: i32 = 1_024;
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a stopped server keeps answering kept-alive connections with a closed one.
const REJECT_AFTER_STOP: Duration = Duration::from_secs(5);

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
    pool: Arc<Pool>,
}

struct Pool {
    server: Server,
    handler: Arc<dyn Handler>,
    max_workers: usize,
    workers: AtomicUsize,
    idle: AtomicUsize,
    stopped: AtomicBool,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("max_workers", &self.max_workers)
            .field("workers", &self.workers)
            .field("idle", &self.idle)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Starts a server whose listener is already bound.
    ///
    /// # Errors
    ///
    /// Returns an error when the server or its first worker cannot be started.
    pub fn start(
        listener: TcpListener,
        max_workers: usize,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let pool = Arc::new(Pool {
            server,
            handler,
            max_workers: max_workers.max(MIN_WORKERS),
            workers: AtomicUsize::new(0),
            idle: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        for _ in 0..MIN_WORKERS {
            Pool::spawn(&pool)?;
        }
        Ok(Self { address, pool })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops handling requests; later requests on open connections are dropped.
    ///
    /// A stopped server drops requests for a few seconds, then closes its listener.
    pub fn stop(&self) {
        self.pool.stopped.store(true, Ordering::SeqCst);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Pool {
    fn spawn(pool: &Arc<Self>) -> io::Result<()> {
        pool.workers.fetch_add(1, Ordering::SeqCst);
        let worker = Arc::clone(pool);
        let spawned = thread::Builder::new()
            .name("http".to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || Self::work(&worker));
        if let Err(error) = spawned {
            pool.workers.fetch_sub(1, Ordering::SeqCst);
            return Err(error);
        }
        Ok(())
    }

    fn work(pool: &Arc<Self>) {
        while !pool.stopped.load(Ordering::SeqCst) {
            pool.idle.fetch_add(1, Ordering::SeqCst);
            let received = pool.server.recv_timeout(WORKER_IDLE);
            let was_last_idle = pool.idle.fetch_sub(1, Ordering::SeqCst) == 1;
            match received {
                Ok(Some(request)) => pool.serve(pool, was_last_idle, request),
                Ok(None) if pool.retire() => return,
                Ok(None) => {}
                Err(_) => break,
            }
        }
        pool.reject();
    }

    fn serve(&self, pool: &Arc<Self>, was_last_idle: bool, request: Request) {
        let exchange = Exchange::new(request);
        if self.stopped.load(Ordering::SeqCst) {
            exchange.drop_connection();
            return;
        }
        // A failure to start another worker leaves the request to the present ones.
        let full = self.workers.load(Ordering::SeqCst) >= self.max_workers;
        if was_last_idle && !full && Self::spawn(pool).is_err() {
            eprintln!("cannot start another worker thread");
        }
        // An error here means that the client went away, which handlers count themselves.
        drop(self.handler.handle(exchange));
    }

    fn retire(&self) -> bool {
        self.workers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |workers| {
                (workers > MIN_WORKERS).then(|| workers - 1)
            })
            .is_ok()
    }

    fn reject(&self) {
        let slices = 20;
        for _ in 0..slices {
            let wait = REJECT_AFTER_STOP / slices;
            while let Ok(Some(request)) = self.server.recv_timeout(wait) {
                Exchange::new(request).drop_connection();
            }
        }
    }
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

/// A request together with the means to answer it.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    method: String,
    path: String,
    query: BTreeMap<String, String>,
}

impl Exchange {
    fn new(request: Request) -> Self {
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        Self {
            method: request.method().to_string(),
            path: percent_decoded(path),
            query,
            request,
        }
    }

    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns a parameter of the query.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns a number from the query.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name).and_then(|value| value.parse().ok())
    }

    /// Returns a header of the request.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request
            .headers()
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the body.
    pub fn json<T: DeserializeOwned>(&mut self, max_bytes: usize) -> Result<T, BodyError> {
        let mut body = Vec::new();
        let limit = max_bytes as u64 + 1;
        self.request
            .as_reader()
            .take(limit)
            .read_to_end(&mut body)
            .map_err(|error| BodyError::Invalid(error.to_string()))?;
        if body.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        serde_json::from_slice(&body).map_err(|error| BodyError::Invalid(error.to_string()))
    }

    /// Sends an answer with a JSON body.
    ///
    /// The head is sent before the body, so that a client that went away is noticed.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn respond(
        self,
        status: u16,
        headers: &[(&str, String)],
        body: &impl Serialize,
    ) -> io::Result<()> {
        let body = serde_json::to_vec(body)?;
        let mut writer = self.request.into_writer();
        write_head(&mut writer, status, headers)?;
        write!(writer, "Content-Type: application/json\r\n")?;
        write!(writer, "Content-Length: {}\r\n\r\n", body.len())?;
        writer.flush()?;
        writer.write_all(&body)?;
        writer.flush()
    }

    /// Sends an answer without a body.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn respond_empty(self, status: u16) -> io::Result<()> {
        let mut writer = self.request.into_writer();
        write_head(&mut writer, status, &[])?;
        // A 304 has no length; a client would otherwise take it for the length of the resource.
        if status != 304 {
            write!(writer, "Content-Length: 0\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()
    }

    /// Sends a problem with a plain description.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn problem(self, status: u16, detail: &str) -> io::Result<()> {
        self.respond(status, &[], &serde_json::json!({ "detail": detail }))
    }

    /// Ends the exchange without an answer.
    ///
    /// `tiny_http` closes a connection only if the client asked for that. For other clients
    /// this writes a line that is not HTTP, which makes them give up the connection.
    pub fn drop_connection(self) {
        let closes = self
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let mut writer = self.request.into_writer();
        if !closes && writer.write_all(b"connection lost\r\n\r\n").is_ok() {
            drop(writer.flush());
        }
    }

    /// Starts a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn into_events(self, headers: &[(&str, String)]) -> io::Result<EventWriter> {
        let mut writer = self.request.into_writer();
        write_head(&mut writer, 200, headers)?;
        write!(writer, "Content-Type: text/event-stream\r\n")?;
        write!(writer, "Transfer-Encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        Ok(EventWriter { writer })
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
pub struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl fmt::Debug for EventWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventWriter").finish_non_exhaustive()
    }
}

impl EventWriter {
    /// Sends one event at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn send(&mut self, event: &str, data: &impl Serialize) -> io::Result<()> {
        let data = serde_json::to_string(data)?;
        self.chunk(&format!("event: {event}\ndata: {data}\n\n"))
    }

    /// Sends a comment, which clients ignore; it fails when the client went away.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn probe(&mut self) -> io::Result<()> {
        self.chunk(":\n\n")
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket when the client went away.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }
}

fn write_head(writer: &mut impl Write, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
    let reason = tiny_http::StatusCode(status).default_reason_phrase();
    write!(writer, "HTTP/1.1 {status} {reason}\r\n")?;
    for (name, value) in headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    Ok(())
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
