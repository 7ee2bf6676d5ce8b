//! Limits the concurrent calls of a target and queues further calls by priority.
//!
//! A target starts cold, with a smaller limit. A call that exceeds the cold limit fails and
//! restarts the warm-up, so a client that does not ramp up its load slowly keeps the target cold.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutus_coord::Clock;
use arbutus_coord::Millis;

/// Maximum length of the queue, as a multiple of the capacity of the warm target.
const MAX_QUEUE_LENGTH_FACTOR: u32 = 4;

/// Limits on the calls that a target executes concurrently.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Limit while the target is warm.
    pub capacity: u32,
    /// Limit while the target is cold.
    pub cold_capacity: u32,
    /// How long the target stays cold after its start, after a call that exceeded the cold limit,
    /// and after [`CallLimiter::turn_cold`].
    pub cold_ms: Millis,
}

/// Why a call is rejected without being executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRejection {
    /// The target is cold and at its limit; the call has restarted the warm-up.
    ColdOverload,
    /// The queue is full.
    QueueFull,
    /// The deadline passed while the call was queued.
    Expired,
}

/// Load of a target at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Whether the target is warm.
    pub warm: bool,
    /// Number of calls in execution.
    pub in_flight: u32,
    /// Number of queued calls.
    pub queued: u32,
}

/// Limits the concurrent calls of one target.
#[derive(Debug)]
pub struct CallLimiter {
    limits: CallLimits,
    clock: Clock,
    state: Mutex<LimiterState>,
    /// Notified when a permit is released or the queue becomes shorter.
    changed: Condvar,
}

#[derive(Debug)]
struct LimiterState {
    in_flight: u32,
    /// Priority and arrival number of the queued calls.
    queue: BTreeSet<(u8, u64)>,
    next_arrival: u64,
    /// Time from which on the target is warm.
    warm_at: Millis,
}

/// Counts one call against the limit until it is dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<CallLimiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.lock().in_flight -= 1;
        self.limiter.changed.notify_all();
    }
}

impl CallLimiter {
    /// Creates the limiter of a target that has just started and is cold.
    #[must_use]
    pub fn new(limits: CallLimits, clock: Clock) -> Self {
        let state = LimiterState {
            in_flight: 0,
            queue: BTreeSet::new(),
            next_arrival: 0,
            warm_at: clock.now() + limits.cold_ms,
        };
        Self {
            limits,
            clock,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the target cold again for [`CallLimits::cold_ms`].
    pub fn turn_cold(&self) {
        self.lock().warm_at = self.clock.now() + self.limits.cold_ms;
    }

    /// Returns the present load.
    #[must_use]
    pub fn load(&self) -> Load {
        let state = self.lock();
        Load {
            warm: state.warm_at <= self.clock.now(),
            in_flight: state.in_flight,
            queued: state.queue.len() as u32,
        }
    }

    /// Waits for a permit to execute a call.
    ///
    /// Calls with a lower `priority` value are served first, and calls of equal priority in order
    /// of arrival. `deadline` is a time of the limiter's clock.
    ///
    /// # Errors
    ///
    /// Returns why the call is rejected.
    pub fn acquire(
        self: &Arc<Self>,
        priority: u8,
        deadline: Millis,
    ) -> Result<Permit, CallRejection> {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.warm_at > now && state.in_flight >= self.limits.cold_capacity {
            state.warm_at = now + self.limits.cold_ms;
            return Err(CallRejection::ColdOverload);
        }
        if state.queue.len() as u32 >= self.limits.capacity * MAX_QUEUE_LENGTH_FACTOR {
            return Err(CallRejection::QueueFull);
        }
        let queue_key = (priority, state.next_arrival);
        state.next_arrival += 1;
        state.queue.insert(queue_key);
        loop {
            let now = self.clock.now();
            let is_first = state.queue.first() == Some(&queue_key);
            if is_first && state.in_flight < self.current_limit(&state, now) {
                state.queue.remove(&queue_key);
                state.in_flight += 1;
                // There may be a free permit for the next call in the queue as well.
                self.changed.notify_all();
                return Ok(Permit {
                    limiter: Arc::clone(self),
                });
            }
            if now >= deadline {
                state.queue.remove(&queue_key);
                self.changed.notify_all();
                return Err(CallRejection::Expired);
            }
            state = self
                .changed
                .wait_timeout(state, (deadline - now).to_duration())
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn current_limit(&self, state: &LimiterState, now: Millis) -> u32 {
        if state.warm_at <= now {
            self.limits.capacity
        } else {
            self.limits.cold_capacity
        }
    }
}
