//! The life cycle of an instance: starting, serving, shutting down.
//!
//! The phases are type states, so an instance that is shutting down cannot serve again. Threads
//! that only read the current phase share a [`PhaseCell`].

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::FromRepr;

/// The phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr)]
#[repr(u8)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Not ready: the instance has no configuration or targets, or cannot grant slots yet.
    Starting = 0,
    /// Ready for requests.
    Serving = 1,
    /// Shutting down: not ready, while requests in progress finish.
    Leaving = 2,
}

/// The current phase of an instance, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct PhaseCell(Arc<AtomicU8>);

impl PhaseCell {
    /// Returns the current phase.
    ///
    /// # Panics
    ///
    /// Panics if the stored value is not a phase, which cannot happen.
    #[must_use]
    pub fn get(&self) -> Phase {
        Phase::from_repr(self.0.load(Ordering::Acquire)).expect("only phases are stored")
    }

    fn set(&self, phase: Phase) {
        self.0.store(phase as u8, Ordering::Release);
    }
}

/// Type state of a [`Lifecycle`] that is not ready yet.
#[derive(Debug)]
pub struct Starting;

/// Type state of a [`Lifecycle`] that is ready for requests.
#[derive(Debug)]
pub struct Serving;

/// Type state of a [`Lifecycle`] that finishes its requests before the process ends.
#[derive(Debug)]
pub struct ShuttingDown;

/// The life cycle of an instance, with its current phase as the type parameter.
#[derive(Debug)]
pub struct Lifecycle<State> {
    phase: PhaseCell,
    state: PhantomData<State>,
}

impl Lifecycle<Starting> {
    /// Creates the life cycle of an instance that starts, and stores each phase in `phase`.
    #[must_use]
    pub fn new(phase: PhaseCell) -> Self {
        phase.set(Phase::Starting);
        Self {
            phase,
            state: PhantomData,
        }
    }

    /// Makes the instance ready for requests.
    #[must_use]
    pub fn start_serving(self) -> Lifecycle<Serving> {
        self.phase.set(Phase::Serving);
        Lifecycle {
            phase: self.phase,
            state: PhantomData,
        }
    }

    /// Shuts down without having become ready.
    #[must_use]
    pub fn shut_down(self) -> Lifecycle<ShuttingDown> {
        self.phase.set(Phase::Leaving);
        Lifecycle {
            phase: self.phase,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Serving> {
    /// Ends readiness; requests in progress continue.
    #[must_use]
    pub fn shut_down(self) -> Lifecycle<ShuttingDown> {
        self.phase.set(Phase::Leaving);
        Lifecycle {
            phase: self.phase,
            state: PhantomData,
        }
    }
}
