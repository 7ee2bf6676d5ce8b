//! The capacity of a target: warm and cold states, running calls and a queue by priority.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutus_coord::Clock;
use arbutus_coord::Millis;

/// A warm target queues up to this multiple of its capacity.
const QUEUE_PER_CAPACITY: u32 = 4;

/// The sizes of a gate.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// The calls that run at once when the target is warm.
    pub capacity: u32,
    /// The calls that run at once when the target is cold.
    pub cold_capacity: u32,
    /// How long the target stays cold.
    pub cold_ms: Millis,
}

/// Why a call does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRejection {
    /// A cold target received more than it can handle.
    ColdOverload,
    /// The queue is full.
    QueueFull,
    /// The deadline passed in the queue.
    Expired,
}

/// The load at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Whether the target is warm.
    pub warm: bool,
    /// The calls that run.
    pub in_flight: u32,
    /// The calls that wait.
    pub queued: u32,
}

/// The capacity of one target.
#[derive(Debug)]
pub struct CallLimiter {
    limits: CallLimits,
    clock: Clock,
    state: Mutex<LimiterState>,
    freed: Condvar,
}

#[derive(Debug)]
struct LimiterState {
    running: u32,
    waiting: BTreeSet<(u8, u64)>,
    next_ticket: u64,
    warm_at: Millis,
}

/// The right to run one call, until it is dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<CallLimiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.lock().running -= 1;
        self.gate.freed.notify_all();
    }
}

impl CallLimiter {
    /// Creates a gate of a cold target.
    #[must_use]
    pub fn new(limits: CallLimits, clock: Clock) -> Self {
        let state = LimiterState {
            running: 0,
            waiting: BTreeSet::new(),
            next_ticket: 0,
            warm_at: clock.now() + limits.cold_ms,
        };
        Self {
            limits,
            clock,
            state: Mutex::new(state),
            freed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the cold state again.
    pub fn turn_cold(&self) {
        self.lock().warm_at = self.clock.now() + self.limits.cold_ms;
    }

    /// Returns the load.
    #[must_use]
    pub fn load(&self) -> Load {
        let state = self.lock();
        Load {
            warm: state.warm_at <= self.clock.now(),
            in_flight: state.running,
            queued: state.waiting.len() as u32,
        }
    }

    /// Waits for the right to run a call; a lower priority number goes first.
    ///
    /// # Errors
    ///
    /// Returns why the call does not run.
    pub fn acquire(
        self: &Arc<Self>,
        priority: u8,
        deadline: Millis,
    ) -> Result<Permit, CallRejection> {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.warm_at > now && state.running >= self.limits.cold_capacity {
            state.warm_at = now + self.limits.cold_ms;
            return Err(CallRejection::ColdOverload);
        }
        if state.waiting.len() as u32 >= self.limits.capacity * QUEUE_PER_CAPACITY {
            return Err(CallRejection::QueueFull);
        }
        let ticket = (priority, state.next_ticket);
        state.next_ticket += 1;
        state.waiting.insert(ticket);
        loop {
            let now = self.clock.now();
            let is_first = state.waiting.first() == Some(&ticket);
            if is_first && state.running < self.limit(&state, now) {
                state.waiting.remove(&ticket);
                state.running += 1;
                // The next in the queue may have a free place as well.
                self.freed.notify_all();
                return Ok(Permit {
                    gate: Arc::clone(self),
                });
            }
            if now >= deadline {
                state.waiting.remove(&ticket);
                self.freed.notify_all();
                return Err(CallRejection::Expired);
            }
            state = self
                .freed
                .wait_timeout(state, (deadline - now).to_duration())
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn limit(&self, state: &LimiterState, now: Millis) -> u32 {
        if state.warm_at <= now {
            self.limits.capacity
        } else {
            self.limits.cold_capacity
        }
    }
}
