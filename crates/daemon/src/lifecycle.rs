//! The life cycle of an instance: starting, serving, leaving.
//!
//! The transitions are typed, so an instance cannot return from leaving to serving. Threads that
//! only read the current phase share a [`PhaseCell`].

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
    /// No configuration has been learnt yet.
    Starting = 0,
    /// Requests are accepted.
    Serving = 1,
    /// Requests in progress finish; the balancer is told to send no more.
    Leaving = 2,
}

/// The current phase, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct PhaseCell(Arc<AtomicU8>);

impl PhaseCell {
    /// Returns the current phase.
    ///
    /// # Panics
    ///
    /// Panics when the cell holds a value that no transition stored.
    #[must_use]
    pub fn get(&self) -> Phase {
        Phase::from_repr(self.0.load(Ordering::Acquire)).expect("only phases are stored")
    }

    fn set(&self, phase: Phase) {
        self.0.store(phase as u8, Ordering::Release);
    }
}

/// The state of a [`Lifecycle`] before the first configuration is in force.
#[derive(Debug)]
pub struct Starting;

/// The state of a [`Lifecycle`] that accepts requests.
#[derive(Debug)]
pub struct Serving;

/// The state of a [`Lifecycle`] that finishes its requests.
#[derive(Debug)]
pub struct Leaving;

/// The life cycle of an instance.
#[derive(Debug)]
pub struct Lifecycle<State> {
    cell: PhaseCell,
    state: PhantomData<State>,
}

impl Lifecycle<Starting> {
    /// Creates the life cycle of an instance that starts.
    #[must_use]
    pub fn new(cell: PhaseCell) -> Self {
        cell.set(Phase::Starting);
        Self {
            cell,
            state: PhantomData,
        }
    }

    /// Starts to accept requests.
    #[must_use]
    pub fn serve(self) -> Lifecycle<Serving> {
        self.cell.set(Phase::Serving);
        Lifecycle {
            cell: self.cell,
            state: PhantomData,
        }
    }

    /// Leaves before the first request was accepted.
    #[must_use]
    pub fn leave(self) -> Lifecycle<Leaving> {
        self.cell.set(Phase::Leaving);
        Lifecycle {
            cell: self.cell,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Serving> {
    /// Stops advertising readiness; requests in progress go on.
    #[must_use]
    pub fn leave(self) -> Lifecycle<Leaving> {
        self.cell.set(Phase::Leaving);
        Lifecycle {
            cell: self.cell,
            state: PhantomData,
        }
    }
}
