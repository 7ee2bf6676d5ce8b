//! Limits on the connections of clients, and the record of what the limits refuse.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use log::info;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::frontend::ConnectionActivity;
use crate::metrics::LimitLabels;
use crate::metrics::Metrics;
use arbutus_coord::Millis;
use arbutus_platform::settings::InstanceSettings;

/// Client connections have at most this fraction of the descriptors. Each request in progress needs
/// another one for its target; the listeners, peers, the store and idle connections to targets need
/// the rest.
const MAX_DESCRIPTOR_FRACTION: u64 = 2;
/// The buffers of client connections have at most this fraction of the memory.
const MAX_MEMORY_FRACTION: u64 = 4;
/// Memory of a connection: a read buffer of the largest head, the decoded head twice (as received
/// and as forwarded), and its task.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Connections that are allowed whatever the settings say.
const MIN_CONNECTIONS: u64 = 8;
/// How often a connection that waits for a place looks for one to be closed.
const RETRY_INTERVAL_MS: Millis = Millis(50);
const LOG_INTERVAL_MS: Millis = Millis(1_000);

/// Why a client was refused or its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LimitReason {
    /// There are too many connections, and this one was idle.
    IdleConnection,
    /// There are too many connections, and the head of a request was incomplete.
    IncompleteHead,
    /// There are too many connections, and a body had come to a halt.
    StalledConnection,
    /// There is too little memory, and a body had come to a halt.
    StalledBody,
    /// There is too little memory, and the client did not read its response.
    UnreadResponse,
    /// A body is larger than allowed.
    LargeBody,
    /// There are too many connections at the port of a probe.
    ProbeConnection,
}

/// Counts what the limits refuse, and logs it at most once a second.
#[derive(Debug, Default)]
pub struct LimitRecord {
    logged_at: Cell<Option<Millis>>,
    unlogged_count: Cell<u64>,
}

impl LimitRecord {
    /// Records that a limit took effect.
    pub fn record(&self, now: Millis, metrics: &Metrics, reason: LimitReason) {
        let reason = <&str>::from(reason);
        let labels = LimitLabels { reason };
        metrics.limited_clients.get_or_create(&labels).inc();
        let count = self.unlogged_count.get() + 1;
        self.unlogged_count.set(count);
        let is_due = |logged_at| now - logged_at >= LOG_INTERVAL_MS;
        if self.logged_at.get().is_none_or(is_due) {
            info!(reason, count; "limit on clients reached");
            self.logged_at.set(Some(now));
            self.unlogged_count.set(0);
        }
    }
}

/// Returns how many client connections may be open at once.
#[must_use]
pub fn max_connections(settings: &InstanceSettings) -> usize {
    let by_memory = settings.memory_bytes / MAX_MEMORY_FRACTION / CONNECTION_BYTES;
    let by_descriptors = settings.file_descriptors.map_or(u64::MAX, |descriptors| {
        descriptors / MAX_DESCRIPTOR_FRACTION
    });
    let max = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
    usize::try_from(max).unwrap_or(usize::MAX)
}

/// The open client connections.
#[derive(Debug)]
pub struct ClientConnections {
    max_count: usize,
    open: RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>,
    next_id: Cell<u64>,
    closed: Notify,
}

impl ClientConnections {
    /// Creates an empty set with a limit.
    #[must_use]
    pub fn new(max_count: usize) -> Rc<Self> {
        Rc::new(Self {
            max_count,
            open: RefCell::new(BTreeMap::new()),
            next_id: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Waits until there is a place for another connection, and closes one that can give way.
    pub async fn wait_for_place(&self) {
        while self.open.borrow().len() >= self.max_count {
            let closed = self.closed.notified();
            self.close_one();
            let _retried = timeout(RETRY_INTERVAL_MS.to_duration(), closed).await;
        }
    }

    /// Adds a connection until the guard is dropped.
    #[must_use]
    pub fn add(self: &Rc<Self>, activity: &Rc<ConnectionActivity>) -> ConnectionPlace {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.open.borrow_mut().insert(id, Rc::clone(activity));
        ConnectionPlace {
            connections: Rc::clone(self),
            id,
        }
    }

    /// Requests that the connection that gives way first is closed.
    fn close_one(&self) {
        let open = self.open.borrow();
        let ranked = open
            .values()
            .filter_map(|activity| activity.rank_for_closing().map(|rank| (rank, activity)));
        if let Some((_, activity)) = ranked.min_by_key(|(rank, _)| *rank) {
            activity.request_close();
        }
    }
}

/// The place of an open connection.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: Rc<ClientConnections>,
    id: u64,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        self.connections.closed.notify_waiters();
    }
}
