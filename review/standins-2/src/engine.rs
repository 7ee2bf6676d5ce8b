//! Engines: they register in the store, check the expected instance, and do what a case decides.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The store removes the entry of a silent engine after three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// What an engine does with a request.
pub type Handler = Arc<dyn Fn(&Engine, &Message, &mut TcpStream) -> Outcome + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was written; the connection is kept.
    Answered,
    /// The connection ends.
    Close,
    /// The engine crashes: all its connections end, and it is back under a new identifier.
    Crash,
}

#[derive(Debug)]
struct Life {
    id: String,
    born_ms: u64,
    started: Instant,
    number: u32,
    is_up: bool,
    /// Whether it writes its entry.
    is_registered: bool,
    state: &'static str,
    connections: Vec<TcpStream>,
}

/// An engine; clones share their state.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// How long it is cold after a start.
    pub cold: Duration,
    /// How long it is down after a crash.
    pub downtime: Duration,
    store: Store,
    life: Arc<Mutex<Life>>,
}

pub struct EngineSettings<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub cold: Duration,
    pub downtime: Duration,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Engine {
    pub fn start(
        host: Ipv4Addr,
        store: &Store,
        settings: &EngineSettings<'_>,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let engine = Self {
            name: settings.name.to_owned(),
            service: settings.service.to_owned(),
            zone: settings.zone.to_owned(),
            address: listener.local_addr()?,
            slots: settings.slots,
            cold: settings.cold,
            downtime: settings.downtime,
            store: store.clone(),
            life: Arc::new(Mutex::new(Life {
                id: format!("{}-1", settings.name),
                born_ms: unix_ms(),
                started: Instant::now(),
                number: 1,
                is_up: true,
                is_registered: true,
                state: "ready",
                connections: Vec::new(),
            })),
        };
        engine.register();
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(listener, &handler));
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_up() {
                    beating.register();
                }
            }
        });
        Ok(engine)
    }

    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_up
    }

    pub fn cold_remaining(&self) -> Duration {
        let life = self.life.lock().unwrap();
        if life.number == 1 {
            // Started before the traffic.
            return Duration::ZERO;
        }
        self.cold.saturating_sub(life.started.elapsed())
    }

    /// Leaves without a report: the entry is removed, and the engine serves on.
    pub fn leave_silently(&self) {
        let mut life = self.life.lock().unwrap();
        life.is_registered = false;
        self.store.delete("servers", &life.id);
    }

    pub fn set_state(&self, state: &'static str) {
        self.life.lock().unwrap().state = state;
        self.register();
    }

    fn register(&self) {
        let cold_ms = self.cold_remaining().as_millis();
        let life = self.life.lock().unwrap();
        if !life.is_registered {
            return;
        }
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":{cold_ms},\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            life.state,
            life.started.elapsed().as_millis() / 1_200 + 1,
            life.born_ms,
        );
        self.store.put("servers", &life.id, &text);
    }

    /// Ends this life of the engine; the next one begins after the downtime.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return;
        }
        life.is_up = false;
        for connection in life.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let (id, store) = (life.id.clone(), self.store.clone());
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            store.delete("servers", &id);
        });
    }

    fn accept(&self, listener: TcpListener, handler: &Handler) {
        let mut listener = Some(listener);
        loop {
            if !self.is_up() {
                // Connections are refused while the engine is down.
                drop(listener.take());
                thread::sleep(self.downtime);
                let Ok(bound) = TcpListener::bind(self.address) else {
                    continue;
                };
                listener = Some(bound);
                let mut life = self.life.lock().unwrap();
                life.number += 1;
                life.id = format!("{}-{}", self.name, life.number);
                life.born_ms = unix_ms();
                life.started = Instant::now();
                life.state = "ready";
                life.is_up = true;
                drop(life);
                self.register();
            }
            let Some(bound) = &listener else { return };
            if bound.set_nonblocking(true).is_err() {
                return;
            }
            let Ok((stream, _)) = bound.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let engine = self.clone();
            let handler = Arc::clone(handler);
            thread::spawn(move || engine.serve(stream, &handler));
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        {
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                return;
            }
            life.connections.push(kept);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request, false, |_| {}).is_err() {
                return;
            }
            let expected = request.header("X-Arbutushaven-Expect-Instance");
            let id = self.id();
            if expected.is_some_and(|expected| expected != id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Arbutushaven-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match handler(self, &request, &mut writer) {
                Outcome::Answered => {}
                Outcome::Close => {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
                Outcome::Crash => {
                    self.crash();
                    return;
                }
            }
        }
    }
}

/// Returns the first lines of an answer to a request.
pub fn head(request: &Message, status: &str) -> String {
    let id = request.header("X-Arbutushaven-Request-Id").unwrap_or("");
    format!(
        "HTTP/1.1 {status}\r\nX-Arbutushaven-Request-Id: {id}\r\nX-Arbutushaven-Server-Stamp: stamp.{id}\r\n"
    )
}

/// Writes a whole answer.
pub fn answer(writer: &mut TcpStream, request: &Message, status: &str, body: &[u8]) -> Outcome {
    let mut bytes = format!(
        "{}Content-Length: {}\r\n\r\n",
        head(request, status),
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    if writer.write_all(&bytes).is_ok() {
        Outcome::Answered
    } else {
        Outcome::Close
    }
}

/// Writes the head of a stream of events.
pub fn begin_stream(writer: &mut TcpStream, request: &Message) -> io::Result<()> {
    let head = head(request, "200 OK");
    let text =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    writer.write_all(text.as_bytes())
}

/// Writes one event as one chunk.
pub fn write_event(writer: &mut TcpStream, id: u64, data: &str) -> io::Result<()> {
    let event = format!("id: {id}\ndata: {data}\n\n");
    writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

pub fn end_stream(writer: &mut TcpStream) -> io::Result<()> {
    writer.write_all(b"0\r\n\r\n")
}
