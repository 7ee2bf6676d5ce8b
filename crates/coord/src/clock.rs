//! Time in milliseconds.
//!
//! [`Millis`] is both a point in time and a duration. State machines receive the current time as a
//! parameter and never read a clock. Arithmetic saturates, so it cannot overflow.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

/// A point in time or a duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero duration, and the time that a [`Clock`] returns when it is created.
    pub const ZERO: Self = Self(0);

    /// The largest value, later than any time that a clock returns.
    pub const MAX: Self = Self(u64::MAX);

    /// Multiplies the duration by a factor.
    #[must_use]
    pub fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Returns a percentage of the duration.
    #[must_use]
    pub fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// Converts the duration to a [`Duration`].
    #[must_use]
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A monotonic clock that counts milliseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose current time is 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the monotonic time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.origin.elapsed().into()
    }

    /// Returns the wall-clock time since the Unix epoch.
    ///
    /// It may jump in either direction, so no timeout or lease may depend on it. Use it for
    /// identifiers, for stored timestamps and for the retention of records.
    #[must_use]
    pub fn unix_time() -> Millis {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(Millis::ZERO, Millis::from)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
