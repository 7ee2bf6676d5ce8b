//! Stand-ins of the platform: HTTP messages, the store, engines, instances and clients.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub type Failure = Box<dyn std::error::Error + Send + Sync>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What was sent, answered and run, in the order of time.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        let started = Instant::now();
        Ok(Arc::new(Self { file, started }))
    }

    pub fn at(&self, time: Instant) -> f64 {
        time.duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.at(Instant::now());
        let _full_disk = writeln!(lock(&self.file), "{seconds:9.4} {text}");
    }
}

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Stands for a status where the store ends the connection without a response.
const CUT: &str = "cut";
/// Stands for a status where the response is lost.
const LOST: &str = "lost";

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, and the event of each change.
    events: Vec<(u64, String, String)>,
    /// Labels of the instances that the store turns away.
    refused: BTreeSet<String>,
    /// Whether the store turns all callers away.
    is_away: bool,
    /// How often the waiting watches of an instance were cut off.
    cuts: BTreeMap<String, u64>,
    /// The instances and kinds of which the response to the next list is lost, and until when.
    losses: BTreeMap<(String, String), Instant>,
    /// The instances to which a response was lost, and when.
    lost: Vec<(String, Instant)>,
    /// When the store answered each instance last, by its label.
    served_at: BTreeMap<String, Instant>,
}

impl Content {
    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut object) = self.objects.remove(&key) {
            self.revision += 1;
            object.revision = self.revision;
            let event = format!(r#"{{"deleted":true,"object":{}}}"#, object.json(name));
            let revision = self.revision;
            self.events.push((revision, kind.to_owned(), event));
        }
    }
}

/// The platform's store. Each instance has an address of its own, so that the store can turn some
/// of them away.
#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Serves one instance, and returns the address for it.
    pub fn listen(self: &Arc<Self>, label: &str) -> io::Result<SocketAddrV4> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let (store, label) = (Arc::clone(self), label.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, label) = (Arc::clone(&store), label.clone());
                thread::spawn(move || {
                    let _closed = store.serve(&label, stream);
                });
            }
        });
        Ok(address)
    }

    /// Turns an instance away with 503, or serves it again.
    pub fn refuse(&self, label: &str, refuse: bool) {
        let mut content = lock(&self.content);
        if refuse {
            content.refused.insert(label.to_owned());
        } else {
            content.refused.remove(label);
        }
        drop(content);
        self.changed.notify_all();
    }

    /// Removes an object, cuts off the watches of an instance that are waiting instead of answering
    /// them, and loses the response to the next list of that kind by each of some instances, if it
    /// comes within a second.
    pub fn remove_and_cut(&self, kind: &str, name: &str, watcher: &str, losers: &[String]) {
        let mut content = lock(&self.content);
        content.remove(kind, name);
        *content.cuts.entry(watcher.to_owned()).or_default() += 1;
        let until = Instant::now() + Duration::from_secs(1);
        for loser in losers {
            let loss = (loser.to_owned(), kind.to_owned());
            content.losses.insert(loss, until);
        }
        drop(content);
        self.changed.notify_all();
    }

    /// Returns the instances to which a response was lost, and when.
    pub fn lost(&self) -> Vec<(String, Instant)> {
        lock(&self.content).lost.clone()
    }

    /// Turns all callers away with 503, or serves them again.
    pub fn set_away(&self, is_away: bool) {
        lock(&self.content).is_away = is_away;
        self.changed.notify_all();
    }

    fn is_away(&self) -> bool {
        lock(&self.content).is_away
    }

    /// Returns when the store answered an instance last.
    pub fn served_at(&self, label: &str) -> Option<Instant> {
        lock(&self.content).served_at.get(label).copied()
    }

    /// Writes an object; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut content = lock(&self.content);
        let key = (kind.to_owned(), name.to_owned());
        if content
            .objects
            .get(&key)
            .is_some_and(|object| object.spec == spec)
        {
            return content.objects[&key].revision;
        }
        content.revision += 1;
        let revision = content.revision;
        let created = content
            .objects
            .get(&key)
            .map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
        };
        let event = format!(r#"{{"deleted":false,"object":{}}}"#, object.json(name));
        content.events.push((revision, kind.to_owned(), event));
        content.objects.insert(key, object);
        drop(content);
        self.changed.notify_all();
        revision
    }

    /// Removes an object; the return is the acknowledgement.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.content).remove(kind, name);
        self.changed.notify_all();
    }

    fn serve(&self, label: &str, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let (status, body) = self.respond(label, &request);
            if status == CUT {
                return Ok(());
            }
            if status == LOST {
                // The connection stays open and returns nothing further.
                thread::sleep(Duration::from_secs(60));
                return Ok(());
            }
            let headers = [("content-type", "application/json")];
            writer.write_all(&response(status, &headers, body.as_bytes()))?;
        }
    }

    fn respond(&self, label: &str, request: &Request) -> (&'static str, String) {
        const REFUSED: (&str, String) = ("503 Service Unavailable", String::new());
        let Some(path) = request.path.strip_prefix("/objects/") else {
            return ("404 Not Found", String::new());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let mut content = lock(&self.content);
        if content.is_away || content.refused.contains(label) {
            return REFUSED;
        }
        content.served_at.insert(label.to_owned(), Instant::now());
        match request.method.as_str() {
            "GET" if !name.is_empty() => {
                let key = (kind.to_owned(), name.to_owned());
                match content.objects.get(&key) {
                    Some(object) => ("200 OK", object.json(name)),
                    None => ("404 Not Found", String::new()),
                }
            }
            "GET" => {
                if let Some(since) = request
                    .parameter("watch")
                    .and_then(|text| text.parse().ok())
                {
                    let wait_ms = request
                        .parameter("wait_ms")
                        .and_then(|text| text.parse().ok());
                    drop(content);
                    return self.watch(label, kind, since, wait_ms.unwrap_or(0));
                }
                let loss = (label.to_owned(), kind.to_owned());
                if request.parameter("allow_stale").is_none() {
                    let now = Instant::now();
                    if content
                        .losses
                        .remove(&loss)
                        .is_some_and(|until| now < until)
                    {
                        content.lost.push((label.to_owned(), now));
                        return (LOST, String::new());
                    }
                }
                let objects = content
                    .objects
                    .iter()
                    .filter(|((other, _), _)| other == kind);
                let items: Vec<String> = objects
                    .map(|((_, name), object)| object.json(name))
                    .collect();
                let body = format!(
                    r#"{{"items":[{}],"has_more":false,"at":{}}}"#,
                    items.join(","),
                    content.revision
                );
                ("200 OK", body)
            }
            "PUT" | "POST" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = if name.is_empty() {
                    text_between(&text, "\"name\":\"", "\"").unwrap_or_default()
                } else {
                    name.to_owned()
                };
                let exists = content
                    .objects
                    .contains_key(&(kind.to_owned(), name.clone()));
                drop(content);
                if exists != (request.method == "PUT") {
                    let status = if exists {
                        "409 Conflict"
                    } else {
                        "404 Not Found"
                    };
                    return (status, String::new());
                }
                let spec = json_value(&text, "\"spec\":").unwrap_or_else(|| "null".to_owned());
                self.put(kind, &name, &spec);
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    /// Waits for changes of a kind after a revision, and returns them.
    fn watch(&self, label: &str, kind: &str, since: u64, wait_ms: u64) -> (&'static str, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = lock(&self.content);
        let cuts = content.cuts.get(label).copied();
        loop {
            if content.is_away || content.refused.contains(label) {
                return ("503 Service Unavailable", String::new());
            }
            if content.cuts.get(label).copied() != cuts {
                return (CUT, String::new());
            }
            let later = content.events.iter();
            let later = later.filter(|(revision, other, _)| *revision > since && other == kind);
            let events: Vec<&str> = later.map(|(_, _, event)| event.as_str()).collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            let waited = self.changed.wait_timeout(content, remaining);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn text_between(text: &str, begin: &str, end: &str) -> Option<String> {
    let rest = text.split_once(begin)?.1;
    Some(rest.split_once(end)?.0.to_owned())
}

/// Returns the JSON object that follows a key.
fn json_value(text: &str, key: &str) -> Option<String> {
    let rest = text.split_once(key)?.1.trim_start();
    let mut depth = 0;
    for (index, byte) in rest.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return rest.get(..=index).map(str::to_owned);
        }
    }
    None
}

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub started: Instant,
}

/// How an engine behaves.
#[derive(Clone, Default)]
pub struct Behaviour {
    pub work: Duration,
    pub answer_bytes: usize,
    /// Body of the requests that crash the engine when it begins to run them.
    pub deadly_body: Option<String>,
    /// Whether an engine that crashes falls silent, and its connections end only as it starts again.
    pub crashes_silently: bool,
    /// Number of requests in one second that crashes the engine while it is cold.
    pub cold_crash_per_s: Option<usize>,
}

struct EngineState {
    behaviour: Behaviour,
    is_up: bool,
    /// Number of the current lifetime.
    lifetime: u64,
    born: u64,
    cold_until: Instant,
    runs: Vec<Run>,
    crashes: Vec<(Instant, String)>,
    connections: Vec<TcpStream>,
    sequence: u64,
}

impl EngineState {
    fn close_connections(&mut self) {
        for connection in self.connections.drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

/// An engine. It keeps its address and identifier when it starts again.
pub struct Engine {
    pub id: String,
    service: String,
    zone: String,
    pub address: SocketAddrV4,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<EngineState>,
}

impl Engine {
    /// Starts an engine and writes its entry.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        behaviour: Behaviour,
    ) -> Result<Arc<Self>, Failure> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(EngineState {
                behaviour,
                is_up: true,
                lifetime: 1,
                born: unix_ms(),
                cold_until: Instant::now(),
                runs: Vec::new(),
                crashes: Vec::new(),
                connections: Vec::new(),
                sequence: 0,
            }),
        });
        engine.accept(listener, 1)?;
        engine.write_entry("ready", 0);
        Ok(engine)
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    pub fn crashes(&self) -> Vec<(Instant, String)> {
        lock(&self.state).crashes.clone()
    }

    /// Ends the lifetime: all connections end and new ones are refused.
    pub fn stop(&self, why: &str) {
        let mut state = lock(&self.state);
        if !state.is_up {
            return;
        }
        state.is_up = false;
        if !state.behaviour.crashes_silently {
            state.close_connections();
        }
        drop(state);
        self.record.line(&format!("engine {} ends: {why}", self.id));
    }

    /// Begins a new lifetime, cold for a time, and writes the entry unless the store is away.
    pub fn start_again(self: &Arc<Self>, cold: Duration) -> Result<(), Failure> {
        let listener = TcpListener::bind(self.address)?;
        let mut state = lock(&self.state);
        state.close_connections();
        state.is_up = true;
        state.lifetime += 1;
        state.born = unix_ms();
        state.cold_until = Instant::now() + cold;
        let lifetime = state.lifetime;
        drop(state);
        self.accept(listener, lifetime)?;
        let cold_ms = cold.as_millis();
        if self.store.is_away() {
            let id = &self.id;
            self.record.line(&format!(
                "engine {id} is back, cold for {cold_ms} ms; the store is away, so its entry is the old one"
            ));
            return Ok(());
        }
        self.write_entry("ready", cold_ms);
        self.record.line(&format!(
            "engine {} is back, cold for {cold_ms} ms; entry acked",
            self.id
        ));
        Ok(())
    }

    fn write_entry(&self, state_name: &str, cold_ms: u128) {
        let mut state = lock(&self.state);
        state.sequence += 1;
        let spec = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"{state_name}","cold_remaining_ms":{cold_ms},"sequence":{},"born":{}}}"#,
            self.service, self.address, self.zone, state.sequence, state.born
        );
        drop(state);
        self.store.put("servers", &self.id, &spec);
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, lifetime: u64) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let engine = Arc::clone(self);
        thread::spawn(move || {
            while engine.is_in(lifetime) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let engine = Arc::clone(&engine);
                        thread::spawn(move || {
                            let _closed = engine.serve(stream, lifetime);
                        });
                    }
                    Err(_nothing_yet) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn is_in(&self, lifetime: u64) -> bool {
        let state = lock(&self.state);
        state.is_up && state.lifetime == lifetime
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, lifetime: u64) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        if self.is_in(lifetime) {
            lock(&self.state).connections.push(stream.try_clone()?);
        } else {
            return Ok(());
        }
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            if !self.is_in(lifetime) {
                return Ok(());
            }
            if request.path == "/healthz" {
                writer.write_all(&self.health())?;
                continue;
            }
            let id = request.header("x-arbutushaven-request-id").to_owned();
            if request.header("x-arbutushaven-expect-instance") != self.id {
                let headers = [("x-arbutushaven-instance-id", self.id.as_str())];
                writer.write_all(&response("421 Misdirected Request", &headers, b""))?;
                continue;
            }
            let (behaviour, is_crash) = self.begin(&id, &request);
            if is_crash {
                return Ok(());
            }
            thread::sleep(behaviour.work);
            if !self.is_in(lifetime) {
                return Ok(());
            }
            let stamp = format!("stamp-{}-{id}", self.id);
            let headers = [
                ("x-arbutushaven-request-id", id.as_str()),
                ("x-arbutushaven-server-stamp", stamp.as_str()),
            ];
            let body = vec![b'x'; behaviour.answer_bytes.max(1)];
            writer.write_all(&response("200 OK", &headers, &body))?;
        }
    }

    fn health(&self) -> Vec<u8> {
        let cold_until = lock(&self.state).cold_until;
        let cold = cold_until.saturating_duration_since(Instant::now());
        let cold_ms = cold.as_millis().to_string();
        let headers = [
            ("x-arbutushaven-instance-id", self.id.as_str()),
            ("x-arbutushaven-cold-ms", cold_ms.as_str()),
        ];
        response("200 OK", &headers, b"")
    }

    /// Begins to run a request; returns whether the engine crashes.
    fn begin(self: &Arc<Self>, id: &str, request: &Request) -> (Behaviour, bool) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.runs.push(Run { started: now });
        let behaviour = state.behaviour.clone();
        let last_second = state.runs.iter().rev();
        let in_second = last_second.take_while(|run| now - run.started < Duration::from_secs(1));
        let in_second = in_second.count();
        let is_cold = state.cold_until > now;
        let is_deadly = behaviour
            .deadly_body
            .as_ref()
            .is_some_and(|body| body.as_bytes() == request.body);
        let is_overrun = is_cold
            && behaviour
                .cold_crash_per_s
                .is_some_and(|limit| in_second > limit);
        let is_crash = is_deadly || is_overrun;
        if is_crash {
            state.crashes.push((now, id.to_owned()));
        }
        drop(state);
        let what = if is_cold { ", cold" } else { "" };
        self.record
            .line(&format!("engine {} begins to run {id}{what}", self.id));
        if is_crash {
            let why = if is_deadly {
                "the request crashes it"
            } else {
                "too many requests while cold"
            };
            self.stop(why);
        }
        (behaviour, is_crash)
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// An instance of the product, run with the command of the deploy file. It ends with this value.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

const CLIENT_PORT: u16 = 8_625;
const READINESS_PORT: u16 = 8_621;

impl Instance {
    pub fn start(
        directory: &Path,
        number: u8,
        zone: &str,
        store: SocketAddrV4,
    ) -> Result<Self, Failure> {
        let ip = free_address(number)?;
        let name = format!("edge-{zone}-{number}");
        let settings = directory.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, zone, ip, store))?;
        let log = directory.join(format!("{name}.log"));
        let mut instance = Self {
            name,
            ip,
            settings,
            log,
            process: None,
        };
        instance.spawn()?;
        Ok(instance)
    }

    /// Starts the process again after it has ended.
    pub fn spawn(&mut self) -> Result<(), Failure> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/arbutusd");
        command.arg("--platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        command.env("ARBUTUSHAVEN_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        self.process = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until the readiness path responds with 200.
    pub fn wait_until_ready(&self) -> Result<(), Failure> {
        let address = SocketAddrV4::new(self.ip, READINESS_PORT);
        for _ in 0..500 {
            let request = b"GET /readyz HTTP/1.1\r\nhost: lb\r\nconnection: close\r\n\r\n";
            let mut answer = String::new();
            if let Ok(mut stream) = TcpStream::connect(address) {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(request)?;
                let _closed = stream.read_to_string(&mut answer);
            }
            if answer.starts_with("HTTP/1.1 200") {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not become ready", self.name).into())
    }

    pub fn client_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CLIENT_PORT)
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Suspends the process until [`Instance::resume`].
    pub fn suspend(&self) -> Result<(), Failure> {
        const SIGSTOP: i32 = 19;
        self.signal(SIGSTOP)
    }

    pub fn resume(&self) -> Result<(), Failure> {
        const SIGCONT: i32 = 18;
        self.signal(SIGCONT)
    }

    fn signal(&self, signal: i32) -> Result<(), Failure> {
        let Some(process) = &self.process else {
            return Err(format!("{} does not run", self.name).into());
        };
        // SAFETY: the process was started here and was not waited for.
        let result = unsafe { kill(process.id() as i32, signal) };
        if result == 0 {
            Ok(())
        } else {
            Err(format!("cannot send signal {signal} to {}", self.name).into())
        }
    }

    pub fn kill(&mut self) -> Result<(), Failure> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ended = self.kill();
    }
}

/// Returns a loopback address of which the ports of an instance are free.
fn free_address(number: u8) -> Result<Ipv4Addr, Failure> {
    const METRICS_PORT: u16 = 9_464;
    const PEER_PORT: u16 = 7_740;
    let ports = [CLIENT_PORT, READINESS_PORT, METRICS_PORT, PEER_PORT];
    for attempt in 0..100 {
        let network = std::process::id().wrapping_add(attempt * 7_919);
        let [second, third] = [network / 250 % 200 + 20, network % 250].map(|octet| octet as u8);
        let ip = Ipv4Addr::new(127, second, third, number);
        if ports
            .iter()
            .all(|&port| TcpListener::bind((ip, port)).is_ok())
        {
            return Ok(ip);
        }
    }
    Err("no loopback address has free ports".into())
}

fn settings_text(name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddrV4) -> String {
    format!(
        r#"node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "kyushu"
internal_ports = [7740,7755]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]

[zones]
arita = "kyushu"
hakata = "kyushu"
kumamoto = "kyushu"
kagoshima = "kyushu"

[listen]
frontend = "{ip}:{CLIENT_PORT}"
readiness = "{ip}:{READINESS_PORT}"

[limits]
cpu_share = 0.17
cores = 1
memory_mb = 182
file_descriptors = 2870
link_mbps = 700.0
disk_mb = 0

[fault_tolerance]
machines = 2
zones = 1
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 119
cold_multiplier = 1.5
cold_tolerance = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 10

[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

/// The operator's config: one tenant, and an unsafe and a safe route to the service `desk`, whose
/// engines are cold for 3 s after a start and tolerate 8.9 requests a second then.
pub fn configuration(timeout_ms: u64, goal_ms: u64, attempts: u32) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout_ms},"goal_ms":{goal_ms},"priority":0,"service":"desk","max_attempts":{attempts},"stages":[],"anonymous":false,"sticky":false,"resumable":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"route_list":[{},{}],"services":[{{"name":"desk","health_path":"/healthz","max_connections":595,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":8.9}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}}]}}"#,
        route("booking", "unsafe"),
        route("lookup", "safe"),
    )
}

/// A request of a client.
#[derive(Clone)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: String,
}

/// What a client has seen of an answer.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "some fields are only written to the record")]
pub struct Answer {
    /// 0 without a whole head.
    pub status: u16,
    pub is_complete: bool,
    pub received_bytes: usize,
    pub error: String,
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Self { stream })
    }

    pub fn send(&mut self, request: &ClientRequest) -> io::Result<()> {
        let text = format!(
            "{} {} HTTP/1.1\r\nhost: a.example\r\nx-arbutushaven-request-id: {}\r\nx-arbutushaven-deadline-ms: {}\r\nx-api-key: 9dnn2ctnfzs989anu6ws\r\ncontent-length: {}\r\n\r\n{}",
            request.method,
            request.path,
            request.id,
            request.deadline_ms,
            request.body.len(),
            request.body
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Reads one answer.
    pub fn receive(&mut self) -> Answer {
        let mut bytes = Vec::new();
        let mut buffer = [0; 65_536];
        loop {
            let (status, expected) = parse_head(&bytes);
            let is_complete = expected.is_some_and(|expected| bytes.len() >= expected);
            if is_complete {
                let received_bytes = bytes.len();
                let error = String::new();
                return Answer {
                    status,
                    is_complete,
                    received_bytes,
                    error,
                };
            }
            let error = match self.stream.read(&mut buffer) {
                Ok(0) => "the connection ended".to_owned(),
                Ok(length) => {
                    bytes.extend_from_slice(&buffer[..length]);
                    continue;
                }
                Err(error) => error.to_string(),
            };
            let received_bytes = bytes.len();
            return Answer {
                status,
                is_complete,
                received_bytes,
                error,
            };
        }
    }
}

/// Returns the status of an answer and the number of bytes of its head and body, once the head is
/// whole.
fn parse_head(bytes: &[u8]) -> (u16, Option<usize>) {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return (0, None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    let length = text_between(&(head.clone() + "\r\n"), "content-length:", "\r\n");
    let length: usize = length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0);
    (status.unwrap_or(0), Some(end + 4 + length))
}

/// Sends a request on a new connection, records it and its answer, and returns the answer.
pub fn call(record: &Record, address: SocketAddrV4, request: &ClientRequest) -> Answer {
    record.line(&format!("client sends {} to {address}", request.id));
    let result = Connection::open(address).and_then(|mut connection| {
        connection.send(request)?;
        Ok(connection.receive())
    });
    let answer = result.unwrap_or_else(|error| Answer {
        status: 0,
        is_complete: false,
        received_bytes: 0,
        error: error.to_string(),
    });
    record.line(&format!("client has of {}: {answer:?}", request.id));
    answer
}
