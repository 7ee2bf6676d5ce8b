//! Admission of requests and the queue of those that wait for a slot.
//!
//! A request is refused at once when its predicted completion, that is the wait in the queue plus
//! the measured time of its stages, is after its deadline. A request that can no longer meet its
//! deadline leaves the queue, and neither has run.
//!
//! Organisations share the slots in proportion to their weights. Each has a virtual time that
//! advances with the slot time that it was given, divided by its weight. An organisation whose
//! virtual time is at most a burst ahead of the lowest is within its share. Among those within
//! their share, the class priority decides, then the virtual time, then the deadline. An
//! organisation that exceeds its share can therefore not displace others by urgent classes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;

use displaydoc::Display;

use arbutus_coord::Millis;
use arbutus_coord::entity::Organisation;

/// The shortest busy time after which the throughput is measured anew.
const MEASURE_MS: u64 = 200;
/// A measurement of fewer slots varies too much: an instance with 5 slots of 2 s gives out one
/// slot in 400 ms, so spans of 200 ms showed a throughput of zero or of twice the true one.
const MEASURE_SLOTS: u32 = 4;
/// The busy time after which the throughput is measured anew although few slots were given out.
const MAX_MEASURE_MS: u64 = 5_000;
/// The weight of the newest measurement of the throughput.
const NEW_WEIGHT: f64 = 0.3;

/// Settings of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Whether requests that cannot meet their deadline are refused, and organisations are kept
    /// to their shares; without it the queue is first in, first out.
    pub enabled: bool,
    /// The largest number of waiting requests.
    pub max_waiting: usize,
    /// How far, in slot time, an organisation may be ahead of its share.
    pub burst_ms: Millis,
    /// The time that has to remain between the predicted completion and the deadline.
    pub margin_ms: Millis,
    /// The shortest delay that is proposed for a retry.
    pub min_retry_ms: Millis,
    /// The longest delay that is proposed for a retry.
    pub max_retry_ms: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            max_waiting: 10_000,
            burst_ms: Millis(500),
            margin_ms: Millis(20),
            min_retry_ms: Millis(100),
            max_retry_ms: Millis(10_000),
        }
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The organisation.
    pub organisation: Organisation,
    /// The share of the organisation relative to others.
    pub weight: u32,
    /// The urgency of the class, 0 being the most urgent.
    pub priority: u8,
    /// The deadline.
    pub deadline: Millis,
    /// How long all stages take, by a high quantile of the measurements.
    pub expected_ms: Millis,
    /// How long the request occupies a slot, on average.
    pub slot_ms: Millis,
}

/// The number of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Why a request is not admitted, with the delay after which a retry is likely to be admitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// the request would not complete before its deadline; retry after {0}
    DeadlineUnreachable(Millis),
    /// too many requests wait; retry after {0}
    QueueFull(Millis),
}

impl AdmissionRefusal {
    /// Returns the delay after which a retry is likely to be admitted.
    #[must_use]
    pub fn retry_after(self) -> Millis {
        match self {
            Self::DeadlineUnreachable(retry_ms) | Self::QueueFull(retry_ms) => retry_ms,
        }
    }
}

impl Error for AdmissionRefusal {}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    deadline: Millis,
    ticket: Ticket,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    organisation: Organisation,
    place: Place,
    latest_start: Millis,
    slot_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Share {
    weight: u32,
    virtual_ms: f64,
    waiting: BTreeMap<Place, u64>,
}

/// The queue of one kind of slots at one instance.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    next_ticket: u64,
    waiting: BTreeMap<Ticket, Waiting>,
    by_latest_start: BTreeSet<(Millis, Ticket)>,
    shares: BTreeMap<Organisation, Share>,
    virtual_ms: f64,
    queued_ms: u64,
    expired: Vec<Ticket>,
    throughput: Throughput,
}

/// The slot time that is given out per unit of time while requests wait.
#[derive(Debug, Default)]
struct Throughput {
    last_event: Millis,
    busy_ms: u64,
    taken_ms: u64,
    taken: u32,
    rate: Option<f64>,
}

impl Throughput {
    fn advance(&mut self, now: Millis, busy: bool) {
        if busy {
            self.busy_ms += (now - self.last_event).0;
        }
        self.last_event = self.last_event.max(now);
        let is_enough = self.taken >= MEASURE_SLOTS || self.busy_ms >= MAX_MEASURE_MS;
        if self.busy_ms < MEASURE_MS || !is_enough {
            return;
        }
        let rate = self.taken_ms as f64 / self.busy_ms as f64;
        let old = self.rate.unwrap_or(rate);
        self.rate = Some(old + NEW_WEIGHT * (rate - old));
        self.busy_ms = 0;
        self.taken_ms = 0;
        self.taken = 0;
    }

    /// Returns how long it takes until an amount of slot time has been given out.
    fn time_for(&self, slot_ms: f64) -> f64 {
        match self.rate {
            Some(rate) if rate > 0.0 => slot_ms / rate,
            // Nothing was given out lately although requests waited.
            Some(_) if slot_ms > 0.0 => f64::INFINITY,
            _ => 0.0,
        }
    }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Millis, settings: AdmissionSettings) -> Self {
        Self {
            settings,
            next_ticket: 0,
            waiting: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            shares: BTreeMap::new(),
            virtual_ms: 0.0,
            queued_ms: 0,
            expired: Vec::new(),
            throughput: Throughput {
                last_event: now,
                ..Throughput::default()
            },
        }
    }

    /// Switches admission on or off for waiting and later requests.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.settings.enabled = enabled;
    }

    /// Puts a request into the queue, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry; the request has not run.
    pub fn try_enqueue(
        &mut self,
        now: Millis,
        arrival: AdmissionRequest,
    ) -> Result<Ticket, AdmissionRefusal> {
        self.predict(now, arrival)?;
        Ok(self.enqueue(arrival))
    }

    /// Puts a request into the queue that was admitted before, unless the queue is full.
    ///
    /// Its earlier stages have run, so it waits as long as it can meet its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry.
    pub fn enqueue_admitted(
        &mut self,
        now: Millis,
        arrival: AdmissionRequest,
    ) -> Result<Ticket, AdmissionRefusal> {
        self.advance(now);
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(AdmissionRefusal::QueueFull(self.settings.max_retry_ms));
        }
        Ok(self.enqueue(arrival))
    }

    fn enqueue(&mut self, arrival: AdmissionRequest) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, arrival);
        ticket
    }

    /// Checks whether a request would be put into the queue.
    ///
    /// A request of several stages is checked at the queue of each stage when it arrives, so that
    /// no earlier stage runs in vain.
    ///
    /// # Errors
    ///
    /// Returns the refusal with a delay for a retry.
    pub fn check(
        &mut self,
        now: Millis,
        arrival: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        // Without a queue the refusal would rest on earlier measurements alone. They may be those
        // of a target that was slow then, and only an admitted request brings a newer one.
        if self.waiting.is_empty() {
            return Ok(());
        }
        self.predict(now, arrival)
    }

    fn predict(&mut self, now: Millis, arrival: AdmissionRequest) -> Result<(), AdmissionRefusal> {
        self.advance(now);
        let wait_ms = self.predicted_wait(arrival);
        let retry_ms = Millis(wait_ms.min(1e12) as u64)
            .max(self.settings.min_retry_ms)
            .min(self.settings.max_retry_ms);
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(AdmissionRefusal::QueueFull(retry_ms));
        }
        let needed = arrival.expected_ms + self.settings.margin_ms;
        let completes = now + Millis(wait_ms.min(1e12) as u64) + needed;
        if self.settings.enabled && completes > arrival.deadline {
            return Err(AdmissionRefusal::DeadlineUnreachable(retry_ms));
        }
        Ok(())
    }

    /// Returns the request that gets a slot that has become free.
    pub fn dequeue(&mut self, now: Millis) -> Option<Ticket> {
        self.advance(now);
        let ticket = if self.settings.enabled {
            self.next_by_share()?
        } else {
            *self.waiting.first_key_value()?.0
        };
        let waiting = self.remove(ticket)?;
        self.throughput.taken_ms += waiting.slot_ms;
        self.throughput.taken += 1;
        if let Some(share) = self.shares.get_mut(&waiting.organisation) {
            let weight = f64::from(share.weight.max(1));
            share.virtual_ms += waiting.slot_ms.max(1) as f64 / weight;
        }
        Some(ticket)
    }

    /// Returns a request to the queue that could not use the slot that it was given.
    pub fn requeue(&mut self, ticket: Ticket, arrival: AdmissionRequest) {
        if let Some(share) = self.shares.get_mut(&arrival.organisation) {
            let weight = f64::from(share.weight.max(1));
            share.virtual_ms -= arrival.slot_ms.0.max(1) as f64 / weight;
        }
        self.throughput.taken_ms = self.throughput.taken_ms.saturating_sub(arrival.slot_ms.0);
        self.throughput.taken = self.throughput.taken.saturating_sub(1);
        self.insert(ticket, arrival);
    }

    /// Returns the requests that left the queue because they cannot meet their deadline any more.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Ticket> {
        self.advance(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes a request whose caller has gone, and returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn queue_length_of(&self, organisation: Organisation) -> usize {
        let share = self.shares.get(&organisation);
        share.map_or(0, |share| share.waiting.len())
    }

    /// Returns how long a request would wait, the lower of two bounds: the whole queue at the
    /// whole throughput, and the organisation's own queue at its share of the throughput.
    fn predicted_wait(&self, arrival: AdmissionRequest) -> f64 {
        if !self.settings.enabled {
            return 0.0;
        }
        let whole = self.throughput.time_for(self.queued_ms as f64);
        let own = self.shares.get(&arrival.organisation);
        let own_queued: u64 = own.map_or(0, |share| {
            let ahead = share.waiting.iter();
            ahead
                .filter(|(place, _)| place.priority <= arrival.priority)
                .map(|(_, slot_ms)| slot_ms)
                .sum()
        });
        let ahead_ms = own.map_or(0.0, |share| (share.virtual_ms - self.virtual_ms).max(0.0));
        let active: u32 = self
            .shares
            .iter()
            .filter(|&(&organisation, share)| {
                !share.waiting.is_empty() && organisation != arrival.organisation
            })
            .map(|(_, share)| share.weight.max(1))
            .sum();
        let weight = f64::from(arrival.weight.max(1));
        let part = weight / (weight + f64::from(active));
        let own_ms = own_queued as f64 + ahead_ms * weight;
        whole.min(self.throughput.time_for(own_ms / part))
    }

    fn insert(&mut self, ticket: Ticket, arrival: AdmissionRequest) {
        let place = Place {
            priority: arrival.priority,
            deadline: arrival.deadline,
            ticket,
        };
        let slot_ms = arrival.slot_ms.0;
        let latest_start = arrival.deadline - arrival.expected_ms;
        let share = self.shares.entry(arrival.organisation).or_default();
        if share.waiting.is_empty() {
            // Time without demand earns no credit.
            share.virtual_ms = share.virtual_ms.max(self.virtual_ms);
        }
        share.weight = arrival.weight;
        share.waiting.insert(place, slot_ms);
        self.queued_ms += slot_ms;
        self.by_latest_start.insert((latest_start, ticket));
        let waiting = Waiting {
            organisation: arrival.organisation,
            place,
            latest_start,
            slot_ms,
        };
        self.waiting.insert(ticket, waiting);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_latest_start.remove(&(waiting.latest_start, ticket));
        self.queued_ms -= waiting.slot_ms;
        if let Some(share) = self.shares.get_mut(&waiting.organisation) {
            share.waiting.remove(&waiting.place);
        }
        Some(waiting)
    }

    fn advance(&mut self, now: Millis) {
        self.throughput.advance(now, !self.waiting.is_empty());
        if !self.settings.enabled {
            return;
        }
        while let Some(&(latest_start, ticket)) = self.by_latest_start.first()
            && latest_start < now
        {
            self.remove(ticket);
            self.expired.push(ticket);
        }
    }

    fn next_by_share(&mut self) -> Option<Ticket> {
        let heads = || {
            self.shares.values().filter_map(|share| {
                let (place, _) = share.waiting.first_key_value()?;
                Some((share, *place))
            })
        };
        let lowest = heads()
            .map(|(share, _)| share.virtual_ms)
            .min_by(f64::total_cmp)?;
        let burst = self.settings.burst_ms.0 as f64;
        let (_, place) = heads()
            .filter(|(share, _)| share.virtual_ms <= lowest + burst)
            .min_by(|(a, a_place), (b, b_place)| {
                let by_priority = a_place.priority.cmp(&b_place.priority);
                by_priority
                    .then(a.virtual_ms.total_cmp(&b.virtual_ms))
                    .then(a_place.cmp(b_place))
            })?;
        self.virtual_ms = self.virtual_ms.max(lowest);
        Some(place.ticket)
    }
}
