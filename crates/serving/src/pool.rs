//! Pool of connections to targets.
//!
//! Opening a connection is billed and may use one of the target's connection slots, so idle
//! connections are kept and the most recently used one is reused first. When a target restarts, its
//! idle connections are closed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use crate::connection::CallError;
use crate::connection::Connection;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_policy::serving::model::TargetEntry;

/// How long an idle connection is kept if the target announces no keep-alive time.
const DEFAULT_KEEP_ALIVE_MS: Millis = Millis(3_000);
/// Percentage of the target's keep-alive time for which an idle connection is reused; the target
/// may close it when the time ends.
const KEEP_ALIVE_PERCENT: u64 = 60;
/// Number of results of each stage target that are remembered. A response that is written once more
/// is one of the last few of its connection.
const MAX_SEEN_RESULTS: usize = 1_024;
/// Connect timeout. Connecting takes milliseconds, also across failure domains. A lost SYN is only
/// retransmitted after 1 s; trying another target is faster.
const CONNECT_TIMEOUT_MS: Millis = Millis(300);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    open_count: usize,
    seen_results: SeenResults,
}

/// The handles of the last results of a stage target, and its responses without handles.
#[derive(Debug, Default)]
struct SeenResults {
    hashes: BTreeSet<u64>,
    oldest_first: VecDeque<u64>,
}

impl SeenResults {
    /// Records a handle or a response; returns false if it was recorded before.
    fn record(&mut self, result: &[u8]) -> bool {
        let hash = rendezvous::stable_hash(result);
        if !self.hashes.insert(hash) {
            return false;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > MAX_SEEN_RESULTS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.hashes.remove(&oldest);
        }
        true
    }
}

/// The connections to all targets.
#[derive(Debug, Default)]
pub struct Pool {
    targets: RefCell<BTreeMap<String, TargetConnections>>,
}

/// A connection in use; dropping it closes the connection unless it was released.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<Pool>,
    target: String,
    connection: Option<Connection>,
    is_reused: bool,
    is_released: bool,
}

impl Pool {
    /// Returns the number of open connections to a target, including idle ones.
    #[must_use]
    pub fn open_count(&self, target: &str) -> usize {
        self.targets
            .borrow()
            .get(target)
            .map_or(0, |state| state.open_count)
    }

    /// Returns whether there is an idle connection to a target.
    #[must_use]
    pub fn has_idle(&self, target: &str) -> bool {
        self.targets
            .borrow()
            .get(target)
            .is_some_and(|state| !state.idle.is_empty())
    }

    /// Closes the idle connections to a target that is gone or has restarted.
    pub fn close_idle(&self, target: &str) {
        let mut targets = self.targets.borrow_mut();
        if let Some(state) = targets.get_mut(target) {
            state.open_count -= state.idle.len();
            state.idle.clear();
            // A new incarnation may number its results anew.
            state.seen_results = SeenResults::default();
            if state.open_count == 0 {
                targets.remove(target);
            }
        }
    }

    /// Closes idle connections that have expired or that the target has closed.
    pub fn close_expired(&self, now: Millis) {
        for state in self.targets.borrow_mut().values_mut() {
            let idle_before = state.idle.len();
            state
                .idle
                .retain(|idle| idle.expires_at > now && idle.connection.is_reusable());
            state.open_count -= idle_before - state.idle.len();
        }
    }

    /// Takes an idle connection to a target, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection cannot be opened.
    pub async fn acquire(
        self: &Rc<Self>,
        now: Millis,
        entry: &TargetEntry,
    ) -> Result<PooledConnection, CallError> {
        if let Some(idle) = self.take_idle(now, &entry.id) {
            let mut connection = self.check_out(&entry.id, Some(idle.connection));
            connection.is_reused = true;
            return Ok(connection);
        }
        self.targets
            .borrow_mut()
            .entry(entry.id.clone())
            .or_default()
            .open_count += 1;
        // The connection counts as open from here on; dropping it after a failed connect undoes
        // this.
        let mut connection = self.check_out(&entry.id, None);
        connection.connection = Some(Connection::open(entry.address, CONNECT_TIMEOUT_MS).await?);
        Ok(connection)
    }

    fn take_idle(&self, now: Millis, target: &str) -> Option<IdleConnection> {
        let mut targets = self.targets.borrow_mut();
        let state = targets.get_mut(target)?;
        while let Some(idle) = state.idle.pop() {
            if idle.expires_at > now && idle.connection.is_reusable() {
                return Some(idle);
            }
            state.open_count -= 1;
        }
        None
    }

    fn check_out(
        self: &Rc<Self>,
        target: &str,
        connection: Option<Connection>,
    ) -> PooledConnection {
        PooledConnection {
            pool: Rc::clone(self),
            target: target.to_owned(),
            connection,
            is_reused: false,
            is_released: false,
        }
    }
}

impl PooledConnection {
    /// Returns the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is closed.
    pub fn get(&mut self) -> Result<&mut Connection, CallError> {
        self.connection.as_mut().ok_or(CallError::Unsent)
    }

    /// Returns whether another request was sent on the connection before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records what identifies the response to a stage call: its handles or, if it has none, its
    /// body. Returns false if the target has sent one of them before, on any connection; the response
    /// may then be an earlier one that was written once more.
    pub fn record_results<'a>(&self, mut results: impl Iterator<Item = &'a [u8]>) -> bool {
        let mut targets = self.pool.targets.borrow_mut();
        let state = targets.entry(self.target.clone()).or_default();
        results.all(|result| state.seen_results.record(result))
    }

    /// Returns the connection to the pool. The response must have been read completely.
    /// `keep_alive_ms` is the target's keep-alive time, or `None` if it announced none.
    pub fn release(mut self, now: Millis, keep_alive_ms: Option<Millis>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if connection.is_closed() {
            return;
        }
        let keep_alive_ms = keep_alive_ms.map_or(DEFAULT_KEEP_ALIVE_MS, |announced_ms| {
            announced_ms.percent(KEEP_ALIVE_PERCENT)
        });
        let mut targets = self.pool.targets.borrow_mut();
        if let Some(state) = targets.get_mut(&self.target) {
            state.idle.push(IdleConnection {
                connection,
                expires_at: now + keep_alive_ms,
            });
            self.is_released = true;
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut targets = self.pool.targets.borrow_mut();
        if let Some(state) = targets.get_mut(&self.target)
            && !self.is_released
        {
            state.open_count = state.open_count.saturating_sub(1);
        }
    }
}
