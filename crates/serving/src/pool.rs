//! Idle connections to targets.
//!
//! New connections are charged and may take a slot of the target, so connections are kept and the
//! most recently used one is taken first. A connection belongs to one lifetime of a target.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::connection::CallError;
use crate::connection::Connection;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::TargetEntry;

/// How long an idle connection is kept when the target does not say.
const DEFAULT_IDLE_MS: Millis = Millis(3_000);
/// The part of the target's own time after which a connection is no longer used, in percent; the
/// target may close it at the end.
const IDLE_PERCENT: u64 = 60;
/// How long a new connection may take. Within and between failure domains it takes milliseconds;
/// a first packet that is lost is repeated after one second, and another target is tried before.
const CONNECT_MS: Millis = Millis(300);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Millis,
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<Idle>,
    open: usize,
}

/// The connections to all targets.
#[derive(Debug, Default)]
pub struct Pool {
    targets: RefCell<BTreeMap<String, TargetConnections>>,
}

/// A connection in use.
#[derive(Debug)]
pub struct Lease {
    pool: Rc<Pool>,
    target: String,
    connection: Option<Connection>,
    returned: bool,
}

impl Pool {
    /// Returns the number of connections to a target, idle ones included.
    #[must_use]
    pub fn open(&self, target: &str) -> usize {
        self.targets
            .borrow()
            .get(target)
            .map_or(0, |state| state.open)
    }

    /// Returns whether a connection to a target is idle.
    #[must_use]
    pub fn has_idle(&self, target: &str) -> bool {
        self.targets
            .borrow()
            .get(target)
            .is_some_and(|state| !state.idle.is_empty())
    }

    /// Closes the idle connections to a target.
    pub fn forget(&self, target: &str) {
        let mut targets = self.targets.borrow_mut();
        if let Some(state) = targets.get_mut(target) {
            state.open -= state.idle.len();
            state.idle.clear();
            if state.open == 0 {
                targets.remove(target);
            }
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Millis) {
        for state in self.targets.borrow_mut().values_mut() {
            let before = state.idle.len();
            state
                .idle
                .retain(|idle| idle.until > now && idle.connection.is_reusable());
            state.open -= before - state.idle.len();
        }
    }

    /// Takes an idle connection to a target or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be opened.
    pub async fn lease(
        self: &Rc<Self>,
        now: Millis,
        entry: &TargetEntry,
    ) -> Result<Lease, CallError> {
        if let Some(connection) = self.take_idle(now, &entry.id) {
            return Ok(self.leased(&entry.id, Some(connection)));
        }
        self.targets
            .borrow_mut()
            .entry(entry.id.clone())
            .or_default()
            .open += 1;
        // The lease counts as open from here, and gives its place back if opening fails.
        let mut lease = self.leased(&entry.id, None);
        lease.connection = Some(Connection::open(entry.address, CONNECT_MS).await?);
        Ok(lease)
    }

    fn take_idle(&self, now: Millis, target: &str) -> Option<Connection> {
        let mut targets = self.targets.borrow_mut();
        let state = targets.get_mut(target)?;
        while let Some(idle) = state.idle.pop() {
            if idle.until > now && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
            state.open -= 1;
        }
        None
    }

    fn leased(self: &Rc<Self>, target: &str, connection: Option<Connection>) -> Lease {
        Lease {
            pool: Rc::clone(self),
            target: target.to_owned(),
            connection,
            returned: false,
        }
    }
}

impl Lease {
    /// Returns the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection was closed.
    pub fn connection(&mut self) -> Result<&mut Connection, CallError> {
        self.connection.as_mut().ok_or(CallError::Unsent)
    }

    /// Keeps the connection for later requests; the answer must have been read to its end.
    pub fn keep(mut self, now: Millis, idle_ms: Option<Millis>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if connection.is_closed() {
            return;
        }
        let idle_ms = idle_ms.map_or(DEFAULT_IDLE_MS, |idle| Millis(idle.0 * IDLE_PERCENT / 100));
        let mut targets = self.pool.targets.borrow_mut();
        if let Some(state) = targets.get_mut(&self.target) {
            state.idle.push(Idle {
                connection,
                until: now + idle_ms,
            });
            self.returned = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut targets = self.pool.targets.borrow_mut();
        if let Some(state) = targets.get_mut(&self.target)
            && !self.returned
        {
            state.open = state.open.saturating_sub(1);
        }
    }
}
