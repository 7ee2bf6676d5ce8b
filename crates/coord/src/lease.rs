//! Leases with fencing tokens. Each lease is one object in the platform's object store, changed by
//! conditional writes, which take effect only if the object still has the expected version.
//!
//! Only monotonic clocks are used. The holder measures the lease duration by its own clock, from
//! before it sent the write that the platform confirmed. A successor waits for longer than the
//! duration after it first observed the latest renewal, and each renewal restarts its wait.
//!
//! Invariants:
//!
//! - The fencing token increases with each acquisition, so targets that check it refuse requests of
//!   a former holder.
//! - No two processes hold the lease at the same time as long as the rates of their clocks differ
//!   by less than the margin in [`TAKEOVER_WAIT_PERCENT`]. A holder that checks the lease, pauses
//!   and then acts is stopped only by targets that check the token.
//! - After a write whose response was lost, the object is read to find out whether the write took
//!   effect. The duration is measured from the first time that this renewal was sent, because any
//!   of its copies may be the one that took effect.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::record::Holder;
use crate::clock::Millis;

/// Time for which a successor waits, as a percentage of the lease duration.
///
/// It covers clock rates between 0.9 and 1.1 of true time: 1.25 is more than 1.1 / 0.9.
pub const TAKEOVER_WAIT_PERCENT: u64 = 125;
const PERCENT: u64 = 100;
const RENEWALS_PER_DURATION: u64 = 4;

/// A number that increases with each acquisition of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Content of a lease object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that acquired the lease last.
    pub holder: Holder,
    /// The token of this acquisition.
    pub fencing_token: FencingToken,
    /// The number of renewals since this acquisition.
    pub renewals: u64,
    /// Whether the holder released the lease, so that a successor need not wait.
    #[serde(rename = "vacated")]
    pub released: bool,
}

/// Result of a read of the lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseRead {
    /// The object does not exist.
    Absent,
    /// The object exists.
    Found {
        /// The version of the object.
        version: u64,
        /// The content of the object.
        record: LeaseRecord,
    },
}

/// A conditional write of the lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The expected version, or `None` when the object must not exist.
    pub expected: Option<u64>,
    /// The content to write.
    pub record: LeaseRecord,
}

#[derive(Debug)]
struct Observation {
    read: LeaseRead,
    first_observed: Millis,
}

#[derive(Debug)]
struct SentWrite {
    write: LeaseWrite,
    first_sent: Millis,
}

/// State of a lease that this process does not hold.
#[derive(Debug, Default)]
pub struct NotHeld {
    observed: Option<Observation>,
    sent: Option<SentWrite>,
}

/// State of a lease that this process holds until it expires.
#[derive(Debug)]
pub struct Held {
    version: u64,
    record: LeaseRecord,
    expires_at: Millis,
    sent: Option<SentWrite>,
}

/// State of a lease that this process held and no longer uses.
#[derive(Debug)]
pub struct Expired {
    fencing_token: FencingToken,
}

/// A lease as one process sees it, in one state of its life cycle.
#[derive(Debug)]
pub struct Lease<S> {
    holder: Holder,
    duration: Millis,
    state: S,
}

/// A lease in any state, after a read or a write.
#[derive(Debug)]
pub enum AnyLease {
    /// The process does not hold the lease.
    NotHeld(Lease<NotHeld>),
    /// The process holds the lease.
    Held(Lease<Held>),
    /// The process held the lease and no longer uses it.
    Expired(Lease<Expired>),
}

impl Lease<NotHeld> {
    /// Creates the lease of a process that has not read the object yet.
    #[must_use]
    pub fn new(holder: Holder, duration: Millis) -> Self {
        Self {
            holder,
            duration,
            state: NotHeld::default(),
        }
    }

    /// Handles a read of the object. `now` must not be before the arrival of the response.
    ///
    /// The lease is held afterwards if the read shows that a write without a response acquired it.
    #[must_use]
    pub fn observe(mut self, now: Millis, read: LeaseRead) -> AnyLease {
        if let Some(held) = self.held_after_lost_response(&read) {
            return AnyLease::Held(held).expire_if_due(now);
        }
        if self.is_stale(&read) {
            return AnyLease::NotHeld(self);
        }
        let is_unchanged = self
            .state
            .observed
            .as_ref()
            .is_some_and(|observation| observation.read == read);
        if !is_unchanged {
            self.state.observed = Some(Observation {
                read,
                first_observed: now,
            });
        }
        AnyLease::NotHeld(self)
    }

    /// Returns the write that acquires the lease and records that it was sent. Returns `None` before
    /// the first read and while another process may hold the lease.
    pub fn acquire(&mut self, now: Millis) -> Option<LeaseWrite> {
        let observation = self.state.observed.as_ref()?;
        let write = match &observation.read {
            LeaseRead::Absent => self.acquiring_write(None, 1),
            LeaseRead::Found { version, record } => {
                let has_waited = now - observation.first_observed > self.takeover_wait();
                let is_own = record.holder == self.holder;
                if !(has_waited || record.released || is_own) {
                    return None;
                }
                self.acquiring_write(Some(*version), record.fencing_token.0 + 1)
            }
        };
        record_sent_write(&mut self.state.sent, now, &write);
        Some(write)
    }

    /// Handles the confirmation that the last acquiring write created this version.
    #[must_use]
    pub fn acquired(mut self, now: Millis, version: u64) -> AnyLease {
        let Some(sent) = self.state.sent.take() else {
            return AnyLease::NotHeld(self);
        };
        AnyLease::Held(self.into_held(version, sent)).expire_if_due(now)
    }

    /// Returns the time for which a successor waits after the last renewal that it observed.
    #[must_use]
    pub fn takeover_wait(&self) -> Millis {
        Millis(self.duration.times(TAKEOVER_WAIT_PERCENT).0 / PERCENT)
    }

    fn acquiring_write(&self, expected: Option<u64>, fencing_token: u64) -> LeaseWrite {
        LeaseWrite {
            expected,
            record: LeaseRecord {
                holder: self.holder.clone(),
                fencing_token: FencingToken(fencing_token),
                renewals: 0,
                released: false,
            },
        }
    }

    fn held_after_lost_response(&mut self, read: &LeaseRead) -> Option<Lease<Held>> {
        let LeaseRead::Found { version, record } = read else {
            return None;
        };
        let sent = self
            .state
            .sent
            .take_if(|sent| sent.write.record == *record)?;
        let not_held = Self::new(self.holder.clone(), self.duration);
        Some(not_held.into_held(*version, sent))
    }

    fn into_held(self, version: u64, sent: SentWrite) -> Lease<Held> {
        Lease {
            state: Held {
                version,
                expires_at: sent.first_sent + self.duration,
                record: sent.write.record,
                sent: None,
            },
            holder: self.holder,
            duration: self.duration,
        }
    }

    /// Returns whether a read is stale, from a lagging replica: the object is never deleted and its
    /// version never decreases.
    fn is_stale(&self, read: &LeaseRead) -> bool {
        let Some(Observation {
            read:
                LeaseRead::Found {
                    version: known_version,
                    ..
                },
            ..
        }) = &self.state.observed
        else {
            return false;
        };
        match read {
            LeaseRead::Absent => true,
            LeaseRead::Found { version, .. } => version < known_version,
        }
    }
}

impl Lease<Held> {
    /// Returns the token for requests to targets, or `None` when the lease has expired.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        (now < self.state.expires_at).then_some(self.state.record.fencing_token)
    }

    /// Returns the time at which the lease expires by the holder's monotonic clock.
    #[must_use]
    pub fn expires_at(&self) -> Millis {
        self.state.expires_at
    }

    /// Returns the write that renews the lease. Further calls return the same write until it is
    /// confirmed or a read shows its result.
    pub fn renew(&mut self, now: Millis) -> LeaseWrite {
        let mut record = self.state.record.clone();
        record.renewals += 1;
        let write = LeaseWrite {
            expected: Some(self.state.version),
            record,
        };
        record_sent_write(&mut self.state.sent, now, &write);
        write
    }

    /// Handles the confirmation that the last renewal created this version.
    #[must_use]
    pub fn renewed(mut self, now: Millis, version: u64) -> AnyLease {
        if let Some(sent) = self.state.sent.take() {
            self.confirm(version, sent);
        }
        AnyLease::Held(self).expire_if_due(now)
    }

    /// Handles a read of the object after a conflict or a lost response. The lease is expired
    /// afterwards if another process has changed the object.
    #[must_use]
    pub fn observe(mut self, now: Millis, read: &LeaseRead) -> AnyLease {
        let LeaseRead::Found { version, record } = read else {
            return AnyLease::Held(self).expire_if_due(now);
        };
        if *version < self.state.version {
            return AnyLease::Held(self).expire_if_due(now);
        }
        let confirmed = self.state.sent.take_if(|sent| sent.write.record == *record);
        if let Some(sent) = confirmed {
            self.confirm(*version, sent);
        } else if *record != self.state.record {
            return AnyLease::Expired(self.expire());
        }
        AnyLease::Held(self).expire_if_due(now)
    }

    /// Releases the lease and returns the write that lets a successor acquire it without waiting.
    #[must_use]
    pub fn release(self) -> (Lease<Expired>, LeaseWrite) {
        let mut record = self.state.record.clone();
        record.released = true;
        let write = LeaseWrite {
            expected: Some(self.state.version),
            record,
        };
        (self.expire(), write)
    }

    fn confirm(&mut self, version: u64, sent: SentWrite) {
        self.state.version = version;
        self.state.expires_at = sent.first_sent + self.duration;
        self.state.record = sent.write.record;
    }

    fn expire(self) -> Lease<Expired> {
        Lease {
            state: Expired {
                fencing_token: self.state.record.fencing_token,
            },
            holder: self.holder,
            duration: self.duration,
        }
    }
}

impl Lease<Expired> {
    /// Returns the token of the expired lease, which must not be used any more.
    #[must_use]
    pub fn former_token(&self) -> FencingToken {
        self.state.fencing_token
    }

    /// Returns the lease of the same process as not held, ready to be acquired again.
    #[must_use]
    pub fn into_not_held(self) -> Lease<NotHeld> {
        Lease::new(self.holder, self.duration)
    }
}

impl AnyLease {
    /// Changes a held lease to an expired one if its duration has passed at `now`.
    #[must_use]
    pub fn expire_if_due(self, now: Millis) -> Self {
        match self {
            Self::Held(held) if now >= held.state.expires_at => Self::Expired(held.expire()),
            other => other,
        }
    }

    /// Returns the token for requests to targets, or `None` unless the lease is held at `now`.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        match self {
            Self::Held(held) => held.token(now),
            Self::NotHeld(_) | Self::Expired(_) => None,
        }
    }
}

/// Records a write with the time at which it was first sent.
fn record_sent_write(sent: &mut Option<SentWrite>, now: Millis, write: &LeaseWrite) {
    let is_repetition = sent.as_ref().is_some_and(|sent| sent.write == *write);
    if !is_repetition {
        *sent = Some(SentWrite {
            write: write.clone(),
            first_sent: now,
        });
    }
}

/// Input of a lease client.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A read of the object ended; `None` when it failed.
    Read(Option<LeaseRead>),
    /// A write took effect.
    Written {
        /// The version that the write created.
        version: u64,
    },
    /// A write had no effect, or its response was lost.
    NotConfirmed,
}

/// Output of a lease client.
#[derive(Clone, Debug)]
pub enum Output {
    /// The caller reads the object and passes the result back as [`Input::Read`].
    Read,
    /// The caller writes the object and passes the result back as [`Input::Written`] or
    /// [`Input::NotConfirmed`].
    Write(LeaseWrite),
}

/// A client that acquires a lease and renews it. It has one read or write in progress at a time,
/// and the caller passes back exactly one result for each.
#[derive(Debug)]
pub struct LeaseClient {
    lease: Option<AnyLease>,
    poll_interval: Millis,
    next_poll_at: Millis,
    in_progress: bool,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    #[must_use]
    pub fn new(holder: Holder, duration: Millis) -> Self {
        Self {
            lease: Some(AnyLease::NotHeld(Lease::new(holder, duration))),
            poll_interval: Millis(duration.0 / RENEWALS_PER_DURATION),
            next_poll_at: Millis::ZERO,
            in_progress: false,
        }
    }

    /// Returns the token for requests to targets, or `None` unless the lease is held at `now`.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.lease.as_ref().and_then(|lease| lease.token(now))
    }

    /// Returns the time by which the client needs the next [`Input::Tick`].
    #[must_use]
    pub fn wake_at(&self) -> Millis {
        self.next_poll_at
    }

    /// Handles an input and returns what the caller has to do.
    pub fn handle(&mut self, now: Millis, input: Input) -> Option<Output> {
        let lease = self.lease.take()?.expire_if_due(now);
        let (lease, output) = match input {
            Input::Tick => self.tick(now, lease),
            Input::Read(read) => self.handle_read(now, lease, read),
            Input::Written { version } => {
                self.in_progress = false;
                (handle_written(now, lease, version), None)
            }
            // The read shows whether the write took effect.
            Input::NotConfirmed => (lease, Some(Output::Read)),
        };
        self.lease = Some(lease);
        output
    }

    /// Releases the lease and returns the write that lets a successor acquire it without waiting.
    /// The caller performs the write and does not pass its result back. If the caller sends further
    /// inputs, the client tries to acquire the lease again.
    ///
    /// Returns `None` if the lease is not held. The client then returns no further outputs.
    pub fn release(&mut self) -> Option<LeaseWrite> {
        let AnyLease::Held(held) = self.lease.take()? else {
            return None;
        };
        let (expired, write) = held.release();
        self.lease = Some(AnyLease::Expired(expired));
        Some(write)
    }

    fn tick(&mut self, now: Millis, lease: AnyLease) -> (AnyLease, Option<Output>) {
        if self.in_progress || now < self.next_poll_at {
            return (lease, None);
        }
        self.in_progress = true;
        self.next_poll_at = now + self.poll_interval;
        match lease {
            AnyLease::Held(mut held) => {
                let write = held.renew(now);
                (AnyLease::Held(held), Some(Output::Write(write)))
            }
            AnyLease::Expired(expired) => {
                let not_held = AnyLease::NotHeld(expired.into_not_held());
                (not_held, Some(Output::Read))
            }
            AnyLease::NotHeld(not_held) => (AnyLease::NotHeld(not_held), Some(Output::Read)),
        }
    }

    fn handle_read(
        &mut self,
        now: Millis,
        lease: AnyLease,
        read: Option<LeaseRead>,
    ) -> (AnyLease, Option<Output>) {
        self.in_progress = false;
        let Some(read) = read else {
            return (lease, None);
        };
        match lease {
            AnyLease::Held(held) => (held.observe(now, &read), None),
            AnyLease::Expired(expired) => (AnyLease::Expired(expired), None),
            AnyLease::NotHeld(not_held) => self.handle_read_while_not_held(now, not_held, read),
        }
    }

    fn handle_read_while_not_held(
        &mut self,
        now: Millis,
        not_held: Lease<NotHeld>,
        read: LeaseRead,
    ) -> (AnyLease, Option<Output>) {
        match not_held.observe(now, read) {
            AnyLease::NotHeld(mut not_held) => {
                let write = not_held.acquire(now);
                self.in_progress = write.is_some();
                (AnyLease::NotHeld(not_held), write.map(Output::Write))
            }
            other => (other, None),
        }
    }
}

fn handle_written(now: Millis, lease: AnyLease, version: u64) -> AnyLease {
    match lease {
        AnyLease::NotHeld(not_held) => not_held.acquired(now, version),
        AnyLease::Held(held) => held.renewed(now, version),
        // The lease expired before the confirmation arrived.
        AnyLease::Expired(expired) => AnyLease::Expired(expired),
    }
}
