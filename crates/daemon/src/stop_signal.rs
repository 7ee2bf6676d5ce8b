//! A signal that tells threads to stop.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

use arbutus_coord::Millis;

/// A flag that is set once and that threads can wait for; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    raised: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    /// Creates a signal that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal and wakes all waiting threads.
    pub fn raise(&self) {
        *self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = true;
        self.inner.changed.notify_all();
    }

    /// Returns whether the signal is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        *self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the signal is raised or the timeout expires, and returns whether it is raised.
    #[must_use]
    pub fn wait(&self, timeout: Millis) -> bool {
        let raised = self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (raised, _) = self
            .inner
            .changed
            .wait_timeout_while(raised, timeout.to_duration(), |raised| !*raised)
            .unwrap_or_else(PoisonError::into_inner);
        *raised
    }
}
