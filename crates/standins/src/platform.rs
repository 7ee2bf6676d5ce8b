//! A stand-in for the platform: an object API with versions, conditional writes and watches, and
//! the instance list, which contains instances and targets and can be served in an older state.
//!
//! All data is kept in memory. Tests inject faults with `POST /faults`.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::http::BodyError;
use crate::http::Exchange;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::bind;
use crate::platform_faults::Outage;
use crate::platform_faults::PlatformFaults;
use crate::platform_faults::PlatformFaultsUpdate;
use crate::platform_faults::RateLimiter;
use crate::store::InstanceListHistory;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteError;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_wire::platform::ListEntry;

/// Limit on the JSON value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

const MAX_CONNECTIONS: usize = 512;
const MAX_WATCH_MS: u64 = 30_000;
const MAX_ADMIN_BODY_BYTES: usize = 64 * 1024;
/// Request header with the failure domain of the client.
pub const FAILURE_DOMAIN_HEADER: &str = "Failure-Domain";

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
}

impl Platform {
    /// Starts the platform without objects and with an empty instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let handler = Arc::new(PlatformHandler::default());
        let server = HttpServer::start(bind(listen)?, MAX_CONNECTIONS, handler)?;
        Ok(Self { server })
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the platform; see [`HttpServer::stop`].
    pub fn stop(&self) {
        self.server.stop();
    }
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    instance_list: InstanceListHistory,
    faults: PlatformFaults,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
    /// Counts of calls by kind, conflicts, rejected bodies and injected faults, served at
    /// `GET /stats`.
    counters: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Default)]
struct PlatformHandler {
    clock: Clock,
    state: Mutex<State>,
    /// Notified after writes and changes of the faults.
    changed: Condvar,
}

/// A call of the object API or of the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Instances,
    Register,
    Remove,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Instances => "instances",
            Self::Register => "register",
            Self::Remove => "remove",
        }
    }

    fn is_write(self) -> bool {
        matches!(
            self,
            Self::Put | Self::Delete | Self::Register | Self::Remove
        )
    }

    /// Returns the call that a request makes, with the object key or the entry name.
    fn from_request(exchange: &Exchange) -> Option<(Self, String)> {
        let path = exchange.path().strip_prefix("/v1/")?;
        let method = exchange.method();
        let call = match path {
            "objects" => (Self::List, ""),
            "watch" => (Self::Watch, ""),
            "instances" => (Self::Instances, ""),
            _ => {
                let (collection, name) = path.split_once('/')?;
                match (collection, method) {
                    ("objects", "GET") => (Self::Get, name),
                    ("objects", "PUT") => (Self::Put, name),
                    ("objects", "DELETE") => (Self::Delete, name),
                    ("instances", "PUT") => (Self::Register, name),
                    ("instances", "DELETE") => (Self::Remove, name),
                    _ => return None,
                }
            }
        };
        Some((call.0, call.1.to_owned()))
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        match (exchange.method(), exchange.path()) {
            ("GET", "/stats") => {
                let stats = self.stats();
                return exchange.respond(200, &[], &stats);
            }
            ("POST", "/faults") => {
                return match exchange.json(MAX_ADMIN_BODY_BYTES) {
                    Ok(update) => self.set_faults(update, exchange),
                    Err(error) => exchange.respond_error(error.status(), &error.to_string()),
                };
            }
            _ => {}
        }
        let Some((call, name)) = Call::from_request(&exchange) else {
            return exchange.respond_error(404, "unknown path or method");
        };
        match self.apply_faults(call, &exchange) {
            FaultEffect::HandleAfter { delay } => thread::sleep(delay.to_duration()),
            FaultEffect::Reject(status) => return exchange.respond_error(status, "injected fault"),
            FaultEffect::CloseConnection => {
                exchange.drop_connection();
                return Ok(());
            }
        }
        match call {
            Call::Get => self.get(&name, exchange),
            Call::Put => self.put(&name, exchange),
            Call::Delete => self.delete(&name, exchange),
            Call::List => self.list(exchange),
            Call::Watch => self.watch(exchange),
            Call::Instances => self.list_instances(exchange),
            Call::Register => self.register(&name, exchange),
            Call::Remove => self.remove(&name, exchange),
        }
    }
}

/// Effect of the injected faults on a call.
enum FaultEffect {
    /// The call is handled after this delay.
    HandleAfter {
        delay: Millis,
    },
    /// The response has this error status.
    Reject(u16),
    CloseConnection,
}

impl PlatformHandler {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn increment_counter(state: &mut State, counter: &'static str) {
        *state.counters.entry(counter).or_default() += 1;
    }

    fn stats(&self) -> Value {
        let state = self.lock();
        json!({
            "calls": state.counters,
            "version": state.store.version(),
            "objects": state.store.len(),
            "faults": state.faults,
        })
    }

    fn set_faults(&self, update: PlatformFaultsUpdate, exchange: Exchange) -> io::Result<()> {
        let faults = {
            let mut state = self.lock();
            state.faults.apply(update);
            state.faults.clone()
        };
        self.changed.notify_all();
        exchange.respond(200, &[], &faults)
    }

    /// Counts a call and returns the effect of the faults on it.
    fn apply_faults(&self, call: Call, exchange: &Exchange) -> FaultEffect {
        let now = self.clock.now();
        let mut state = self.lock();
        Self::increment_counter(&mut state, call.name());
        let failure_domain = exchange.header(FAILURE_DOMAIN_HEADER).unwrap_or("");
        if state
            .faults
            .block_from
            .iter()
            .any(|name| name == failure_domain)
        {
            Self::increment_counter(&mut state, "blocked");
            return FaultEffect::CloseConnection;
        }
        match state.faults.outage {
            Outage::None => {}
            Outage::Unavailable => {
                Self::increment_counter(&mut state, "unavailable");
                return FaultEffect::Reject(503);
            }
            Outage::Closed => {
                Self::increment_counter(&mut state, "unavailable");
                return FaultEffect::CloseConnection;
            }
        }
        let allowed = if call.is_write() {
            let limit = state.faults.writes_per_s;
            state.write_limiter.try_acquire(now, limit)
        } else {
            let limit = state.faults.reads_per_s;
            state.read_limiter.try_acquire(now, limit)
        };
        if !allowed {
            Self::increment_counter(&mut state, "rate_limited");
            return FaultEffect::Reject(429);
        }
        FaultEffect::HandleAfter {
            delay: state.faults.slow_ms,
        }
    }

    fn get(&self, key: &str, exchange: Exchange) -> io::Result<()> {
        let found = {
            let mut state = self.lock();
            if state.faults.should_serve_stale_read() {
                Self::increment_counter(&mut state, "stale_reads");
                state.store.get_previous(key)
            } else {
                state.store.get(key)
            }
        };
        match found {
            Some(object) => {
                let etag = ("ETag", format!("\"{}\"", object.version));
                exchange.respond(200, &[etag], &object)
            }
            None => exchange.respond_error(404, "no such object"),
        }
    }

    fn put(&self, key: &str, exchange: Exchange) -> io::Result<()> {
        let value = match exchange.json(MAX_VALUE_BYTES) {
            Ok(value) => value,
            Err(error) => return self.respond_body_error(&error, exchange),
        };
        let Some(condition) = write_condition(&exchange) else {
            return exchange.respond_error(400, "the If-Match header is not an object version");
        };
        self.write(exchange, |store| store.put(key, condition, value))
    }

    fn respond_body_error(&self, error: &BodyError, exchange: Exchange) -> io::Result<()> {
        Self::increment_counter(&mut self.lock(), "bad_requests");
        exchange.respond_error(error.status(), &error.to_string())
    }

    fn delete(&self, key: &str, exchange: Exchange) -> io::Result<()> {
        let Some(condition) = write_condition(&exchange) else {
            return exchange.respond_error(400, "the If-Match header is not an object version");
        };
        self.write(exchange, |store| store.delete(key, condition))
    }

    fn write(
        &self,
        exchange: Exchange,
        change: impl FnOnce(&mut Store) -> Result<u64, WriteError>,
    ) -> io::Result<()> {
        let (result, drops_response) = {
            let mut state = self.lock();
            let result = change(&mut state.store);
            if result.is_err() {
                Self::increment_counter(&mut state, "conflicts");
            }
            let drops_response = result.is_ok() && state.faults.should_drop_response();
            if drops_response {
                Self::increment_counter(&mut state, "lost_answers");
            }
            (result, drops_response)
        };
        self.changed.notify_all();
        if drops_response {
            exchange.drop_connection();
            return Ok(());
        }
        match result {
            Ok(version) => {
                let etag = ("ETag", format!("\"{version}\""));
                exchange.respond(200, &[etag], &json!({ "version": version }))
            }
            Err(WriteError::Mismatch) => {
                exchange.respond_error(412, "the write condition does not hold")
            }
            Err(WriteError::Absent) => exchange.respond_error(404, "no such object"),
        }
    }

    fn list(&self, exchange: Exchange) -> io::Result<()> {
        let prefix = exchange.query("prefix").unwrap_or("");
        let list = {
            let mut state = self.lock();
            if state.faults.should_serve_stale_read() {
                Self::increment_counter(&mut state, "stale_reads");
                state.store.list_previous(prefix)
            } else {
                state.store.list(prefix)
            }
        };
        exchange.respond(200, &[], &list)
    }

    fn watch(&self, exchange: Exchange) -> io::Result<()> {
        let prefix = exchange.query("prefix").unwrap_or("").to_owned();
        let after = exchange.query_number("after").unwrap_or(0);
        let timeout_ms = exchange.query_number("timeout_ms").unwrap_or(MAX_WATCH_MS);
        let deadline = self.clock.now() + Millis(timeout_ms.min(MAX_WATCH_MS));
        let mut state = self.lock();
        loop {
            if state.faults.outage != Outage::None {
                drop(state);
                return exchange.respond_error(503, "injected fault");
            }
            let changes = state.store.changed_after(&prefix, after);
            let remaining = deadline - self.clock.now();
            if !changes.objects.is_empty() || remaining == Millis::ZERO {
                drop(state);
                return exchange.respond(200, &[], &changes);
            }
            state = self
                .changed
                .wait_timeout(state, remaining.to_duration())
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn list_instances(&self, exchange: Exchange) -> io::Result<()> {
        let known_revision = exchange.query_number("after");
        let list = {
            let state = self.lock();
            state
                .instance_list
                .list_at(self.clock.now(), state.faults.list_lag_ms)
        };
        if known_revision.is_some_and(|known| known >= list.revision) {
            return exchange.respond_empty(304);
        }
        exchange.respond(200, &[], &list)
    }

    fn register(&self, name: &str, exchange: Exchange) -> io::Result<()> {
        let entry: ListEntry = match exchange.json(MAX_ADMIN_BODY_BYTES) {
            Ok(entry) => entry,
            Err(error) => return self.respond_body_error(&error, exchange),
        };
        if entry.name != name {
            return exchange.respond_error(
                400,
                "the name in the body differs from the name in the path",
            );
        }
        let revision = {
            let mut state = self.lock();
            state.instance_list.put(self.clock.now(), entry)
        };
        exchange.respond(200, &[], &json!({ "version": revision }))
    }

    fn remove(&self, name: &str, exchange: Exchange) -> io::Result<()> {
        let revision = {
            let mut state = self.lock();
            state.instance_list.remove(self.clock.now(), name)
        };
        exchange.respond(200, &[], &json!({ "version": revision }))
    }
}

/// Returns the condition in the headers of a write, or `None` if `If-Match` is malformed.
fn write_condition(exchange: &Exchange) -> Option<WriteCondition> {
    if exchange.header("If-None-Match").map(str::trim) == Some("*") {
        return Some(WriteCondition::Absent);
    }
    match exchange.header("If-Match") {
        None => Some(WriteCondition::Any),
        Some(tag) => {
            let version = tag.trim().trim_matches('"').parse().ok()?;
            Some(WriteCondition::Version(version))
        }
    }
}
