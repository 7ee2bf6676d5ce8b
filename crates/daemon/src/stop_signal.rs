//! The signal that tells threads to end.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

use arbutus_coord::Millis;

/// A flag that is raised once and can be waited for.
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
    /// Creates a flag that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the flag and wakes everything that waits for it.
    pub fn raise(&self) {
        *self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = true;
        self.inner.changed.notify_all();
    }

    /// Returns whether the flag is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        *self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the flag or the end of the span, and returns whether the flag is raised.
    #[must_use]
    pub fn wait(&self, span: Millis) -> bool {
        let raised = self
            .inner
            .raised
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (raised, _) = self
            .inner
            .changed
            .wait_timeout_while(raised, span.to_duration(), |raised| !*raised)
            .unwrap_or_else(PoisonError::into_inner);
        *raised
    }
}
