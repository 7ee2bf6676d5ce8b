//! The platform's store: objects by kind and name, lists, watches and writes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The content; `None` if the object was removed.
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// A store that listens on a loopback address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        http::listen(listener, move |stream| served.serve(&stream));
        Ok(store)
    }

    /// Writes an object, as the operator and the back ends do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec.to_owned()));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("no panic holds the lock");
        let keys = state.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().expect("no panic holds the lock");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => state.objects.insert(key, (revision, spec.clone())),
            None => state.objects.remove(&key),
        };
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
        });
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = http::reader(stream)?;
        loop {
            let request = http::read_message(&mut reader)?;
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            http::respond(stream, status, &headers, body.as_bytes())?;
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        match (request.method(), parts.next()) {
            ("GET", None) => match parameter(query, "watch") {
                Some(since) => (
                    "200 OK",
                    self.watch(kind, since, parameter(query, "wait_ms")),
                ),
                None => ("200 OK", self.list(kind)),
            },
            ("PUT", Some(name)) if !self.names(kind).iter().any(|other| other == name) => {
                ("404 Not Found", "{}".to_owned())
            }
            ("PUT", Some(name)) => self.write(kind, name, request),
            ("POST", None) => {
                let body = request.body_text();
                let name = body.split("\"name\":\"").nth(1).unwrap_or_default();
                let name = name.split('"').next().unwrap_or_default();
                self.write(kind, name, request)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn write(&self, kind: &str, name: &str, request: &Message) -> (&'static str, String) {
        let body = request.body_text();
        let spec = body
            .split_once("\"spec\":")
            .map_or("null}", |(_, rest)| rest);
        let spec = &spec[..spec.len() - 1];
        let revision = self.change(kind, name, Some(spec.to_owned()));
        ("200 OK", object(name, revision, spec))
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().expect("no panic holds the lock");
        let objects = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<String> = objects
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let items = items.join(",");
        format!(
            "{{\"items\":[{items}],\"has_more\":false,\"at\":{}}}",
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: Option<u64>) -> String {
        let (mutex, changed) = &*self.state;
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = mutex.lock().expect("no panic holds the lock");
        loop {
            let newer = state
                .changes
                .iter()
                .filter(|change| change.revision > since && change.kind == kind);
            let events: Vec<String> = newer.map(event).collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"at\":{}}}", state.revision);
            }
            let waited = changed.wait_timeout(state, remaining);
            state = waited.expect("no panic holds the lock").0;
        }
    }
}

fn event(change: &Change) -> String {
    let spec = change.spec.as_deref().unwrap_or("null");
    let object = object(&change.name, change.revision, spec);
    let deleted = change.spec.is_none();
    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
