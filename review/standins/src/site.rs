//! A small deployment: its config, and back ends as the pages describe them.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

pub const KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const HOST: &str = "pule25.example";
/// Time of a stage call, and of each of its pieces.
const CALL_MS: u64 = 240;
const PIECE_MS: u64 = 26;
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(50);

/// Writes the first config.
pub fn write_config(store: &Store) {
    let llm = r#""engine":{"slots":64,"kv_capacity":403888,"kv_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":8,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}"#;
    let pieces = r#""pieces":{"slots":1,"queue":2,"batch":8,"call_ms":240.0,"item_ms":26.0,"headroom_mb":9.6,"handle_s":4.0,"link_mbps":10000}"#;
    let service = |name: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":595,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0{rest}}}"#
        )
    };
    let config = format!(
        r#"{{"version":7,"route_list":[
{{"name":"r-consult","host":"{HOST}","path_prefix":"/consult/","kind":"stream","timeout_ms":12000,"goal_ms":1900,"priority":0,"service":"hearth-llm","max_attempts":2,"stages":[{{"service":"glaze-log","after":[],"size_bytes":8000}}],"anonymous":false,"sticky":true,"resumable":true,"gap_target_ms":500}},
{{"name":"r-booking","host":"{HOST}","path_prefix":"/booking/","kind":"unsafe","timeout_ms":1500,"goal_ms":100,"priority":2,"service":"order-desk","max_attempts":1,"stages":[],"anonymous":false,"sticky":false,"resumable":false}},
{{"name":"r-stock","host":"{HOST}","path_prefix":"/stock/","kind":"safe","timeout_ms":1500,"goal_ms":100,"priority":2,"service":"order-desk","max_attempts":2,"stages":[],"anonymous":false,"sticky":false,"resumable":false}}],
"services":[{},{},{}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1}}]}}"#,
        service("hearth-llm", &format!(",{llm}")),
        service("order-desk", ""),
        service("glaze-log", &format!(",{pieces}")),
    );
    store.put("config", "main", &config);
}

/// The identity of a back end.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: String,
    entry: String,
    /// Whether the back end has exited.
    exited: Arc<AtomicBool>,
}

impl Target {
    /// Listens for a back end and writes its entry.
    fn register(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
    ) -> io::Result<(Self, TcpListener)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1764900000000}}"#
        );
        store.put("servers", id, &entry);
        let target = Self {
            id: id.to_owned(),
            address,
            entry,
            exited: Arc::default(),
        };
        Ok((target, listener))
    }

    /// Answers requests that are for another back end, or for its status; returns whether it did.
    fn answer_others(&self, stream: &TcpStream, request: &Message) -> io::Result<bool> {
        let expected = request.header("x-arbutushaven-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Arbutushaven-Instance-Id", self.id.as_str())];
            http::respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if request.target() == "/healthz" {
            let headers = [("X-Arbutushaven-Instance-Id", self.id.as_str())];
            http::respond(stream, "200 OK", &headers, b"")?;
            return Ok(true);
        }
        Ok(false)
    }

    /// Reports that the back end drains.
    pub fn report_draining(&self, store: &Store) {
        let entry = self.entry.replace("\"ready\"", "\"draining\"");
        store.put("servers", &self.id, entry);
    }

    /// Ends a back end of plain requests; its connections close.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
    }

    fn check_running(&self) -> io::Result<()> {
        if self.exited.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

fn request_id(request: &Message) -> &str {
    request
        .header("x-arbutushaven-request-id")
        .unwrap_or_default()
}

/// A request that a back end has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub request: String,
    pub at: Instant,
}

/// The requests that all back ends of plain requests have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a back end of plain requests, which takes `work` for each.
pub fn start_plain(
    store: &Store,
    record: &Record,
    id: &str,
    zone: &str,
    work: Duration,
    runs: &Runs,
) -> io::Result<Target> {
    let (target, listener) = Target::register(store, id, "order-desk", zone, 6)?;
    let (served, record, runs) = (target.clone(), record.clone(), Arc::clone(runs));
    http::listen(listener, move |stream| {
        let mut reader = http::reader(&stream)?;
        loop {
            let request = http::read_message(&mut reader)?;
            served.check_running()?;
            if served.answer_others(&stream, &request)? {
                continue;
            }
            let request_id = request_id(&request);
            record.line(&format!(
                "{} runs {} {request_id}",
                served.id, request.start
            ));
            runs.lock().expect("no panic holds the lock").push(Run {
                target: served.id.clone(),
                request: request_id.to_owned(),
                at: Instant::now(),
            });
            thread::sleep(work);
            served.check_running()?;
            let stamp = format!("stamp.{request_id}");
            let headers = [
                ("X-Arbutushaven-Request-Id", request_id),
                ("X-Arbutushaven-Server-Stamp", stamp.as_str()),
                ("X-Arbutushaven-Server-Load", "1,0,6"),
                ("Keep-Alive", "timeout=10"),
            ];
            let body = format!("done {request_id}");
            http::respond(&stream, "200 OK", &headers, body.as_bytes())?;
        }
    });
    Ok(target)
}

/// What a request was given: the request that each of its inputs was made for.
#[derive(Clone, Debug)]
pub struct Given {
    pub request: String,
    pub inputs: Vec<String>,
}

/// The results that all stage back ends have made: the piece that each handle belongs to.
pub type Results = Arc<Mutex<BTreeMap<String, String>>>;

/// Starts a model engine, which records the inputs that each request is given.
pub fn start_engine(
    store: &Store,
    record: &Record,
    id: &str,
    zone: &str,
    streams: Streams,
    results: &Results,
    given: &Arc<Mutex<Vec<Given>>>,
) -> io::Result<Target> {
    let (target, listener) = Target::register(store, id, "hearth-llm", zone, 64)?;
    let (served, record) = (target.clone(), record.clone());
    let (results, given) = (Arc::clone(results), Arc::clone(given));
    http::listen(listener, move |stream| {
        let mut reader = http::reader(&stream)?;
        loop {
            let request = http::read_message(&mut reader)?;
            if served.answer_others(&stream, &request)? {
                continue;
            }
            let Some(handles) = request.header("x-arbutushaven-inputs") else {
                let headers = [("X-Arbutushaven-Not-Executed", "1")];
                http::respond(&stream, "400 Bad Request", &headers, b"")?;
                continue;
            };
            let request_id = request_id(&request);
            let inputs: Vec<String> = {
                let results = results.lock().expect("no panic holds the lock");
                let handles = handles.split(',').map(str::trim);
                handles
                    .map(|handle| results.get(handle).cloned().unwrap_or_default())
                    .collect()
            };
            record.line(&format!(
                "{} runs {request_id} with the inputs made for {inputs:?}",
                served.id
            ));
            given.lock().expect("no panic holds the lock").push(Given {
                request: request_id.to_owned(),
                inputs,
            });
            let last = request.header("last-event-id");
            if let Some(last) = last {
                record.line(&format!("{} goes on after event {last}", served.id));
            }
            let next = last.and_then(|last| last.parse::<u32>().ok());
            let next = next.map_or(streams.first_id, |last| last + 1);
            write_stream(&stream, request_id, next, &streams)?;
        }
    });
    Ok(target)
}

/// The streams of a model engine.
#[derive(Clone, Default)]
pub struct Streams {
    /// Identifier of the first event.
    pub first_id: u32,
    /// Number of events.
    pub events: u32,
    /// The engine crashes when it has sent the head of the next stream.
    pub crash_next: Arc<AtomicBool>,
}

impl Streams {
    /// Streams with a number of events, the first of which has the identifier 1.
    pub fn of(events: u32) -> Self {
        Self {
            first_id: 1,
            events,
            ..Self::default()
        }
    }
}

fn write_stream(
    mut stream: &TcpStream,
    request_id: &str,
    next: u32,
    streams: &Streams,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Arbutushaven-Request-Id: {request_id}\r\n\
         X-Arbutushaven-Server-Stamp: stamp.{request_id}\r\nKeep-Alive: timeout=10\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in next..streams.first_id + streams.events {
        thread::sleep(EVENT_GAP);
        if streams.crash_next.swap(false, Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let event = format!("id: {number}\ndata: {request_id} {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// When a stage back end misbehaves.
#[derive(Clone, Default)]
pub struct StageFault {
    /// The next call is answered with `error` for each of its pieces.
    pub fail_next: Arc<AtomicBool>,
    /// That answer is written once more, where the next one on its connection is expected.
    pub repeats_failure: bool,
    /// Number of answers that were written once more.
    pub repeated: Arc<AtomicU64>,
}

/// Starts a back end of a stage, which works on one call at a time.
pub fn start_stage(
    store: &Store,
    record: &Record,
    id: &str,
    zone: &str,
    results: &Results,
    fault: StageFault,
) -> io::Result<Target> {
    let (target, listener) = Target::register(store, id, "glaze-log", zone, 1)?;
    let (served, record, results) = (target.clone(), record.clone(), Arc::clone(results));
    let (slot, made) = (Mutex::new(()), AtomicU64::new(0));
    http::listen(listener, move |stream| {
        let mut reader = http::reader(&stream)?;
        let mut extra: Option<String> = None;
        loop {
            let request = http::read_message(&mut reader)?;
            if served.answer_others(&stream, &request)? {
                continue;
            }
            if request.target() == "/stage-free" {
                http::respond(&stream, "200 OK", &[], b"")?;
                continue;
            }
            let pieces = pieces_of(&request.body_text());
            record.line(&format!("{} is called for {pieces:?}", served.id));
            if let Some(extra) = extra.take() {
                fault.repeated.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("{} writes once more {extra}", served.id));
                respond_to_call(&stream, &extra)?;
            }
            let _slot = slot.lock().expect("no panic holds the lock");
            if fault.fail_next.swap(false, Ordering::SeqCst) {
                let items = vec!["{\"reason\":\"error\"}"; pieces.len()];
                let answer = format!("{{\"items\":[{}]}}", items.join(","));
                record.line(&format!("{} answers {answer}", served.id));
                respond_to_call(&stream, &answer)?;
                extra = fault.repeats_failure.then_some(answer);
                continue;
            }
            let work_ms = CALL_MS + PIECE_MS * pieces.len() as u64;
            thread::sleep(Duration::from_millis(work_ms));
            let mut results = results.lock().expect("no panic holds the lock");
            let items: Vec<String> = pieces
                .into_iter()
                .map(|piece| {
                    let number = made.fetch_add(1, Ordering::SeqCst);
                    let handle = format!("{}/{number:011x}", served.address);
                    results.insert(handle.clone(), piece);
                    format!("{{\"handle\":\"{handle}\"}}")
                })
                .collect();
            drop(results);
            let answer = format!("{{\"items\":[{}]}}", items.join(","));
            record.line(&format!("{} answers {answer}", served.id));
            respond_to_call(&stream, &answer)?;
        }
    });
    Ok(target)
}

fn respond_to_call(stream: &TcpStream, answer: &str) -> io::Result<()> {
    let headers = [
        ("Content-Type", "application/json"),
        ("X-Arbutushaven-Server-Load", "1,0,1"),
        ("Keep-Alive", "timeout=10"),
    ];
    http::respond(stream, "200 OK", &headers, answer.as_bytes())
}

/// Returns the pieces of a call as `REQUEST/STAGE/PIECE`.
fn pieces_of(body: &str) -> Vec<String> {
    let field = |item: &str, name: &str| {
        let rest = item.split(&format!("\"{name}\":")).nth(1);
        let value = rest.unwrap_or_default().split([',', '}']).next();
        value.unwrap_or_default().trim_matches('"').to_owned()
    };
    body.split('{')
        .filter(|item| item.contains("\"piece\":"))
        .map(|item| {
            format!(
                "{}/{}/{}",
                field(item, "id"),
                field(item, "stage"),
                field(item, "piece")
            )
        })
        .collect()
}
