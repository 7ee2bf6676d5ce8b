//! The platform's store, with the calls that PROTOCOL.md names.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
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

const PAGE_ITEMS: usize = 50;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Incremented when all waiting watches are cut off.
    cuts: u64,
}

/// A store; clones share their state.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start(host: std::net::Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((
                Mutex::new(State {
                    revision: 100,
                    ..State::default()
                }),
                Condvar::new(),
            )),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; a write without a change does nothing.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if known.as_ref().is_some_and(|object| object.spec == spec) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            created: known.map_or(revision, |object| object.created),
            spec: spec.to_owned(),
        };
        let text = format!(
            "{{\"deleted\":false,\"object\":{}}}",
            object_text(name, &object)
        );
        state.objects.insert(key, object);
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        object.revision = revision;
        let text = format!(
            "{{\"deleted\":true,\"object\":{}}}",
            object_text(name, &object)
        );
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        changed.notify_all();
    }

    /// Cuts off all watches that are waiting: their connections end without an answer.
    pub fn cut_watches(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().cuts += 1;
        changed.notify_all();
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let names = state.objects.keys().filter(|(other, _)| other == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut writer = writer;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request, false, |_| {}).is_err() {
                return;
            }
            let Some((status, body)) = self.respond(&request) else {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if a watch is cut off.
    fn respond(&self, request: &http::Message) -> Option<(&'static str, String)> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(percent_decode);
        let answer = match (request.method(), name) {
            ("GET", None) => return self.list_or_watch(&kind, query),
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object_text(&name, object)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            (method @ ("PUT" | "POST"), name) => {
                let text = request.text();
                let name = name.or_else(|| {
                    let metadata = member(&text, "metadata")?;
                    let name = member(metadata, "name")?;
                    Some(name.trim_matches('"').to_owned())
                });
                let (Some(name), Some(spec)) = (name, member(&text, "spec")) else {
                    return Some(("400 Bad Request", "{}".to_owned()));
                };
                let exists = {
                    let state = self.state.0.lock().unwrap();
                    state.objects.contains_key(&(kind.clone(), name.clone()))
                };
                match (method, exists) {
                    ("PUT", false) => return Some(("404 Not Found", "{}".to_owned())),
                    ("POST", true) => return Some(("409 Conflict", "{}".to_owned())),
                    _ => {}
                }
                self.put(&kind, &name, spec);
                let state = self.state.0.lock().unwrap();
                let object = state.objects.get(&(kind, name.clone()));
                (
                    "200 OK",
                    object.map_or("{}".to_owned(), |object| object_text(&name, object)),
                )
            }
            ("DELETE", Some(name)) => {
                self.delete(&kind, &name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        };
        Some(answer)
    }

    fn list_or_watch(&self, kind: &str, query: &str) -> Option<(&'static str, String)> {
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(other, _)| *other == name)
                .map(|(_, value)| percent_decode(value))
                .next()
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(since) = parameter("watch").and_then(|text| text.parse::<u64>().ok()) else {
            let after = parameter("after").unwrap_or_default();
            let mut items = state
                .objects
                .iter()
                .filter(|((other, name), _)| other == kind && *name > after)
                .map(|((_, name), object)| object_text(name, object));
            let page: Vec<String> = items.by_ref().take(PAGE_ITEMS).collect();
            let has_more = items.next().is_some();
            let text = format!(
                "{{\"items\":[{}],\"has_more\":{has_more},\"at\":{}}}",
                page.join(","),
                state.revision
            );
            return Some(("200 OK", text));
        };
        let cuts = state.cuts;
        let wait_ms = parameter("wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > since)
                .map(|event| event.text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some(("200 OK", text));
            }
            if state.cuts != cuts {
                return None;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        match (
            bytes[index],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the text of a member of a JSON object.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut index = text.find('{')? + 1;
    loop {
        index += bytes[index..].iter().position(|byte| *byte == b'"')?;
        let key_end = value_end(bytes, index)?;
        let key = &text[index + 1..key_end - 1];
        index = key_end + bytes[key_end..].iter().position(|byte| *byte == b':')? + 1;
        while bytes.get(index)?.is_ascii_whitespace() {
            index += 1;
        }
        let end = value_end(bytes, index)?;
        if key == name {
            return Some(&text[index..end]);
        }
        index = end;
        while bytes.get(index)?.is_ascii_whitespace() {
            index += 1;
        }
        if bytes.get(index)? != &b',' {
            return None;
        }
    }
}

/// Returns the index after the JSON value that begins at `start`.
fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut index = start;
    while index < bytes.len() {
        let byte = bytes[index];
        if in_string {
            match byte {
                b'\\' => index += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(index + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(index),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(index + 1);
                    }
                }
                b',' if depth == 0 => return Some(index),
                _ => {}
            }
        }
        index += 1;
    }
    Some(index)
}
