//! Leases with fencing tokens, stored in one object by conditional update.
//!
//! No wall clock is involved. The holder counts the lease duration on its own monotonic clock from
//! before it sent the write that the platform confirmed. A successor waits longer than the duration
//! from when it first observed the current renewal, and any renewal restarts its wait.
//!
//! Invariants:
//!
//! - The fencing token rises with each holder, so targets that check it refuse a former holder.
//! - Holders do not overlap as long as the rates of two clocks differ by less than the margin of
//!   [`TAKEOVER_WAIT_PERCENT`]. A holder that checks the lease, pauses and then acts is stopped only by
//!   targets that check the token.
//! - A write whose answer was lost is settled by reading the object. The duration counts from the
//!   first time that this renewal was sent, because any of its copies may be the one that landed.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::record::Holder;
use crate::clock::Millis;

/// Wait of a successor as a percentage of the lease duration.
///
/// The margin covers clock rates between 0.9 and 1.1: 1.25 is more than 1.1 / 0.9.
pub const TAKEOVER_WAIT_PERCENT: u64 = 125;
const PERCENT: u64 = 100;
const RENEWALS_PER_DURATION: u64 = 4;

/// A number that rises with each holder of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Content of a lease object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that holds the lease.
    pub holder: Holder,
    /// The holder's token.
    pub fencing_token: FencingToken,
    /// The number of renewals by this holder.
    pub renewals: u64,
    /// Whether the holder gave the lease up, so that a successor need not wait.
    #[serde(rename = "vacated")]
    pub released: bool,
}

/// Object as the platform returned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseRead {
    /// The object does not exist.
    Absent,
    /// The object with its version.
    Found {
        /// The version.
        version: u64,
        /// The content.
        record: LeaseRecord,
    },
}

/// A conditional write of the lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The expected version, or `None` when the object must not exist.
    pub expected: Option<u64>,
    /// The content.
    pub record: LeaseRecord,
}

#[derive(Debug)]
struct Observation {
    read: LeaseRead,
    since: Millis,
}

#[derive(Debug)]
struct SentWrite {
    write: LeaseWrite,
    first_sent: Millis,
}

/// The lease is not held by this process.
#[derive(Debug, Default)]
pub struct NotHeld {
    observed: Option<Observation>,
    sent: Option<SentWrite>,
}

/// The lease is held by this process until it expires.
#[derive(Debug)]
pub struct Held {
    version: u64,
    record: LeaseRecord,
    expires_at: Millis,
    sent: Option<SentWrite>,
}

/// The lease was held by this process, which has stopped to use it.
#[derive(Debug)]
pub struct Expired {
    fencing_token: FencingToken,
}

/// A lease in one state of its life cycle.
#[derive(Debug)]
pub struct Lease<S> {
    holder: Holder,
    duration: Millis,
    state: S,
}

/// Lease after an observation or a write.
#[derive(Debug)]
pub enum AnyLease {
    /// See [`NotHeld`].
    NotHeld(Lease<NotHeld>),
    /// See [`Held`].
    Held(Lease<Held>),
    /// See [`Expired`].
    Expired(Lease<Expired>),
}

impl Lease<NotHeld> {
    /// Creates the view of a process that has not read the object yet.
    #[must_use]
    pub fn new(holder: Holder, duration: Millis) -> Self {
        Self {
            holder,
            duration,
            state: NotHeld::default(),
        }
    }

    /// Takes the object as it was read, `now` being the time after the answer arrived.
    #[must_use]
    pub fn observe(mut self, now: Millis, read: LeaseRead) -> AnyLease {
        if let Some(held) = self.held_after_lost_answer(&read) {
            return AnyLease::Held(held).expire_if_due(now);
        }
        if self.is_outdated(&read) {
            return AnyLease::NotHeld(self);
        }
        let unchanged = self
            .state
            .observed
            .as_ref()
            .is_some_and(|observation| observation.read == read);
        if !unchanged {
            self.state.observed = Some(Observation { read, since: now });
        }
        AnyLease::NotHeld(self)
    }

    /// Returns the write that takes the lease, when the lease may be taken.
    pub fn acquire(&mut self, now: Millis) -> Option<LeaseWrite> {
        let observation = self.state.observed.as_ref()?;
        let write = match &observation.read {
            LeaseRead::Absent => self.first_write(None, 1),
            LeaseRead::Found { version, record } => {
                let waited = now - observation.since > self.takeover_wait();
                let own = record.holder == self.holder;
                if !(waited || record.released || own) {
                    return None;
                }
                self.first_write(Some(*version), record.fencing_token.0 + 1)
            }
        };
        record_sent_write(&mut self.state.sent, now, &write);
        Some(write)
    }

    /// Takes the confirmation that the last acquiring write created a version.
    #[must_use]
    pub fn acquired(mut self, now: Millis, version: u64) -> AnyLease {
        let Some(sent) = self.state.sent.take() else {
            return AnyLease::NotHeld(self);
        };
        AnyLease::Held(self.into_held(version, sent)).expire_if_due(now)
    }

    /// Returns the time that a successor waits.
    #[must_use]
    pub fn takeover_wait(&self) -> Millis {
        Millis(self.duration.times(TAKEOVER_WAIT_PERCENT).0 / PERCENT)
    }

    fn first_write(&self, expected: Option<u64>, fencing_token: u64) -> LeaseWrite {
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

    fn held_after_lost_answer(&mut self, read: &LeaseRead) -> Option<Lease<Held>> {
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

    /// Returns whether a read comes from a lagging replica: the object is never deleted and its
    /// version never falls.
    fn is_outdated(&self, read: &LeaseRead) -> bool {
        let Some(Observation {
            read: LeaseRead::Found { version: known, .. },
            ..
        }) = &self.state.observed
        else {
            return false;
        };
        match read {
            LeaseRead::Absent => true,
            LeaseRead::Found { version, .. } => version < known,
        }
    }
}

impl Lease<Held> {
    /// Returns the token to act with, or nothing when the lease has expired.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        (now < self.state.expires_at).then_some(self.state.record.fencing_token)
    }

    /// Returns the time at which the lease expires on the holder's clock.
    #[must_use]
    pub fn expires_at(&self) -> Millis {
        self.state.expires_at
    }

    /// Returns the write that renews the lease. Repeated calls return the same write until it is
    /// settled.
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

    /// Takes the confirmation that the last renewal created a version.
    #[must_use]
    pub fn renewed(mut self, now: Millis, version: u64) -> AnyLease {
        if let Some(sent) = self.state.sent.take() {
            self.confirm(version, sent);
        }
        AnyLease::Held(self).expire_if_due(now)
    }

    /// Takes the object as it was read after a conflict or a lost answer.
    #[must_use]
    pub fn observe(mut self, now: Millis, read: &LeaseRead) -> AnyLease {
        let LeaseRead::Found { version, record } = read else {
            return AnyLease::Held(self).expire_if_due(now);
        };
        if *version < self.state.version {
            return AnyLease::Held(self).expire_if_due(now);
        }
        let landed = self.state.sent.take_if(|sent| sent.write.record == *record);
        if let Some(sent) = landed {
            self.confirm(*version, sent);
        } else if *record != self.state.record {
            return AnyLease::Expired(self.expire());
        }
        AnyLease::Held(self).expire_if_due(now)
    }

    /// Gives the lease up and returns the write that tells successors.
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
    /// Returns the token that must not be used any more.
    #[must_use]
    pub fn former_token(&self) -> FencingToken {
        self.state.fencing_token
    }

    /// Starts over as a process that does not hold the lease.
    #[must_use]
    pub fn into_not_held(self) -> Lease<NotHeld> {
        Lease::new(self.holder, self.duration)
    }
}

impl AnyLease {
    /// Turns a held lease into an expired one when its time is over.
    #[must_use]
    pub fn expire_if_due(self, now: Millis) -> Self {
        match self {
            Self::Held(held) if now >= held.state.expires_at => Self::Expired(held.expire()),
            other => other,
        }
    }

    /// Returns the token to act with, if the lease is held at `now`.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        match self {
            Self::Held(held) => held.token(now),
            Self::NotHeld(_) | Self::Expired(_) => None,
        }
    }
}

/// Remembers a write with the time at which it was first sent.
fn record_sent_write(sent: &mut Option<SentWrite>, now: Millis, write: &LeaseWrite) {
    let repeated = sent.as_ref().is_some_and(|sent| sent.write == *write);
    if !repeated {
        *sent = Some(SentWrite {
            write: write.clone(),
            first_sent: now,
        });
    }
}

/// Input of a lease client.
#[derive(Clone, Debug)]
pub enum Input {
    /// The passage of time.
    Tick,
    /// The object was read; `None` when the read failed.
    Read(Option<LeaseRead>),
    /// A write created a version.
    Written {
        /// The version.
        version: u64,
    },
    /// A write had no effect, or its answer was lost.
    NotConfirmed,
}

/// Output of a lease client.
#[derive(Clone, Debug)]
pub enum Output {
    /// The shell reads the object and reports [`Input::Read`].
    Read,
    /// The shell writes the object and reports the result.
    Write(LeaseWrite),
}

/// A client that keeps a lease. It has one read or write in progress at a time, and the shell
/// reports exactly one result for each.
#[derive(Debug)]
pub struct LeaseClient {
    lease: Option<AnyLease>,
    poll_every: Millis,
    next_at: Millis,
    in_progress: bool,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    #[must_use]
    pub fn new(holder: Holder, duration: Millis) -> Self {
        Self {
            lease: Some(AnyLease::NotHeld(Lease::new(holder, duration))),
            poll_every: Millis(duration.0 / RENEWALS_PER_DURATION),
            next_at: Millis::ZERO,
            in_progress: false,
        }
    }

    /// Returns the token to act with, if the lease is held at `now`.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.lease.as_ref().and_then(|lease| lease.token(now))
    }

    /// Returns the time at which the client needs the next [`Input::Tick`].
    #[must_use]
    pub fn wake_at(&self) -> Millis {
        self.next_at
    }

    /// Takes an input and returns what the shell has to do.
    pub fn handle(&mut self, now: Millis, input: Input) -> Option<Output> {
        let lease = self.lease.take()?.expire_if_due(now);
        let (lease, output) = match input {
            Input::Tick => self.tick(now, lease),
            Input::Read(read) => self.take_read(now, lease, read),
            Input::Written { version } => {
                self.in_progress = false;
                (take_written(now, lease, version), None)
            }
            // Reading shows whether the write has landed.
            Input::NotConfirmed => (lease, Some(Output::Read)),
        };
        self.lease = Some(lease);
        output
    }

    /// Gives the lease up. The shell performs the write without a report.
    pub fn release(&mut self) -> Option<LeaseWrite> {
        let AnyLease::Held(held) = self.lease.take()? else {
            return None;
        };
        let (expired, write) = held.release();
        self.lease = Some(AnyLease::Expired(expired));
        Some(write)
    }

    fn tick(&mut self, now: Millis, lease: AnyLease) -> (AnyLease, Option<Output>) {
        if self.in_progress || now < self.next_at {
            return (lease, None);
        }
        self.in_progress = true;
        self.next_at = now + self.poll_every;
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

    fn take_read(
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

fn take_written(now: Millis, lease: AnyLease, version: u64) -> AnyLease {
    match lease {
        AnyLease::NotHeld(not_held) => not_held.acquired(now, version),
        AnyLease::Held(held) => held.renewed(now, version),
        // The confirmation came after the expiry.
        AnyLease::Expired(expired) => AnyLease::Expired(expired),
    }
}
