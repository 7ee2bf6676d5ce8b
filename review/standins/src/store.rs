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
    spec: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Vec<u8>)>,
    changes: Vec<Change>,
}

/// A store that listens on a loopback address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// The kind of objects of which the next answer to a watch is lost.
    lost_watch: Arc<Mutex<Option<String>>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let state = State {
            revision: 100,
            ..State::default()
        };
        Self::listen(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Returns the same store at an address of its own, so that answers can be lost there only.
    pub fn at_another_address(&self) -> io::Result<Self> {
        Self::listen(Arc::clone(&self.state))
    }

    fn listen(state: Arc<(Mutex<State>, Condvar)>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state,
            lost_watch: Arc::default(),
        };
        let served = store.clone();
        http::listen(listener, move |stream| served.serve(&stream));
        Ok(store)
    }

    /// Writes an object, as the operator and the back ends do.
    pub fn put(&self, kind: &str, name: &str, spec: impl AsRef<[u8]>) {
        self.change(kind, name, Some(spec.as_ref().to_vec()));
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

    /// Loses the next answer to a watch of a kind; its connection returns nothing any more.
    pub fn lose_next_watch_answer(&self, kind: &str) {
        *self.lost_watch.lock().expect("no panic holds the lock") = Some(kind.to_owned());
    }

    /// Returns whether the answer to a request is lost.
    fn is_lost(&self, request: &Message) -> bool {
        let mut lost_watch = self.lost_watch.lock().expect("no panic holds the lock");
        let is_lost = lost_watch.as_ref().is_some_and(|kind| {
            let begin = format!("/objects/{kind}?watch=");
            request.target().starts_with(&begin)
        });
        if is_lost {
            *lost_watch = None;
        }
        is_lost
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Vec<u8>>) -> u64 {
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
            if self.is_lost(&request) {
                loop {
                    http::read_message(&mut reader)?;
                }
            }
            let headers = [("Content-Type", "application/json")];
            http::respond(stream, status, &headers, &body)?;
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
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
                ("404 Not Found", b"{}".to_vec())
            }
            ("PUT", Some(name)) => self.write(kind, name, request),
            ("POST", None) => {
                let body = request.body_text();
                let name = body.split("\"name\":\"").nth(1).unwrap_or_default();
                let name = name.split('"').next().unwrap_or_default();
                self.write(kind, name, request)
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn write(&self, kind: &str, name: &str, request: &Message) -> (&'static str, Vec<u8>) {
        let body = request.body_text();
        let spec = body
            .split_once("\"spec\":")
            .map_or("null}", |(_, rest)| rest);
        let spec = &spec[..spec.len() - 1];
        let revision = self.change(kind, name, Some(spec.as_bytes().to_vec()));
        ("200 OK", object(name, revision, spec.as_bytes()))
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.state.0.lock().expect("no panic holds the lock");
        let objects = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<Vec<u8>> = objects
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let end = format!("],\"has_more\":false,\"at\":{}}}", state.revision);
        [
            b"{\"items\":[",
            items.join(&b',').as_slice(),
            end.as_bytes(),
        ]
        .concat()
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: Option<u64>) -> Vec<u8> {
        let (mutex, changed) = &*self.state;
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = mutex.lock().expect("no panic holds the lock");
        loop {
            let newer = state
                .changes
                .iter()
                .filter(|change| change.revision > since && change.kind == kind);
            let events: Vec<Vec<u8>> = newer.map(event).collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let end = format!("],\"at\":{}}}", state.revision);
                return [
                    b"{\"events\":[",
                    events.join(&b',').as_slice(),
                    end.as_bytes(),
                ]
                .concat();
            }
            let waited = changed.wait_timeout(state, remaining);
            state = waited.expect("no panic holds the lock").0;
        }
    }
}

fn event(change: &Change) -> Vec<u8> {
    let spec = change.spec.as_deref().unwrap_or(b"null");
    let object = object(&change.name, change.revision, spec);
    let begin = format!("{{\"deleted\":{},\"object\":", change.spec.is_none());
    [begin.as_bytes(), &object, b"}"].concat()
}

fn object(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let begin = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":"
    );
    [begin.as_bytes(), spec, b",\"status\":null}"].concat()
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
