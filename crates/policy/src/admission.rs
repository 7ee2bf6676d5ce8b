//! Admission control, and the queue of requests that wait for a slot.
//!
//! A request is refused at once if its predicted completion is after its deadline. The predicted
//! time to completion is the wait in the queue plus the measured time of its stages. A request in
//! the queue that can no longer meet its deadline is removed. In both cases the stage for which the
//! request needs the slot is not executed.
//!
//! Organisations share the slots by weighted fair queueing. Each organisation has a virtual time:
//! the slot time of its dequeued requests divided by its weight. The organisations with queued
//! requests are compared. An organisation is within its share if its virtual time exceeds the
//! lowest virtual time by at most `burst_ms`. The queues of the organisations within their shares
//! are served by the most urgent priority first, then by the lowest virtual time, then by the
//! earliest deadline. An organisation above its share can therefore not displace others by sending
//! urgent requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;

use displaydoc::Display;

use arbutus_coord::Millis;
use arbutus_coord::entity::Organisation;

/// The shortest time with a non-empty queue over which the throughput is measured.
const MIN_MEASURE_MS: u64 = 200;
/// The smallest number of dequeued requests over which the throughput is measured. Fewer make the
/// result too noisy: with 5 slots that are occupied for 2 s each, a request is dequeued every
/// 400 ms, so a measurement over 200 ms has a result of zero or of twice the true throughput.
const MIN_MEASURE_REQUESTS: u32 = 4;
/// The time with a non-empty queue after which a measurement of the throughput ends even if fewer
/// requests were dequeued.
const MAX_MEASURE_MS: u64 = 5_000;
/// The weight of the newest sample in the exponential moving average of the throughput.
const EWMA_WEIGHT: f64 = 0.3;

/// Settings of the admission queue.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Whether requests that cannot meet their deadline are refused or removed, and slots are
    /// shared fairly between organisations. If false, the queue is first in, first out.
    pub enabled: bool,
    /// The maximum number of requests in the queue.
    pub max_queue_length: usize,
    /// By how much the virtual time of an organisation within its share may exceed the lowest
    /// virtual time.
    pub burst_ms: Millis,
    /// A request is admitted only if its predicted completion is at least this long before its
    /// deadline.
    pub margin_ms: Millis,
    /// The shortest retry delay in a refusal.
    pub min_retry_ms: Millis,
    /// The longest retry delay in a refusal.
    pub max_retry_ms: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            max_queue_length: 10_000,
            burst_ms: Millis(500),
            margin_ms: Millis(20),
            min_retry_ms: Millis(100),
            max_retry_ms: Millis(10_000),
        }
    }
}

/// The properties of a request that determine its admission and its position in the queue.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The organisation on whose behalf the request is made.
    pub organisation: Organisation,
    /// The weight of the organisation, to which its share of the slots is proportional; 0 counts
    /// as 1.
    pub weight: u32,
    /// The priority of the class of the request; 0 is the most urgent.
    pub priority: u8,
    /// The deadline of the request, on the clock of this instance.
    pub deadline: Millis,
    /// The expected time for all remaining stages, a high quantile of the measured times.
    pub expected_ms: Millis,
    /// The mean time for which a request of this kind occupies a slot.
    pub slot_ms: Millis,
}

/// The identifier of a request in the queue; tickets increase in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Why a request is not admitted, with the delay after which a client retry is likely to be
/// admitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// the request would not complete before its deadline; retry after {0}
    DeadlineUnreachable(Millis),
    /// the admission queue is full; retry after {0}
    QueueFull(Millis),
}

impl AdmissionRefusal {
    /// Returns the delay after which a client retry is likely to be admitted.
    #[must_use]
    pub fn retry_after(self) -> Millis {
        match self {
            Self::DeadlineUnreachable(retry_after) | Self::QueueFull(retry_after) => retry_after,
        }
    }
}

impl Error for AdmissionRefusal {}

/// The position of a request in the queue of its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u8,
    deadline: Millis,
    ticket: Ticket,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    organisation: Organisation,
    key: QueueKey,
    /// The latest time at which the request can start and is still expected to meet its deadline.
    latest_start: Millis,
    slot_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    weight: u32,
    virtual_time_ms: f64,
    /// The expected slot time of each queued request, in milliseconds.
    slot_ms_by_key: BTreeMap<QueueKey, u64>,
}

/// The requests that wait at one instance for slots of one service.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    next_ticket: u64,
    requests: BTreeMap<Ticket, QueuedRequest>,
    by_latest_start: BTreeSet<(Millis, Ticket)>,
    organisations: BTreeMap<Organisation, OrganisationQueue>,
    /// The lowest virtual time of the organisations with queued requests at the last call of
    /// [`AdmissionQueue::dequeue`]; it never decreases. An organisation whose queue was empty
    /// continues at this virtual time.
    virtual_time_ms: f64,
    queued_slot_ms: u64,
    expired: Vec<Ticket>,
    throughput: Throughput,
}

/// Measures the throughput: the slot time of the dequeued requests, divided by the time in which
/// the queue was not empty.
#[derive(Debug, Default)]
struct Throughput {
    updated_at: Millis,
    nonempty_ms: u64,
    dequeued_slot_ms: u64,
    dequeued: u32,
    /// The moving average; `None` before the first measurement.
    rate: Option<f64>,
}

impl Throughput {
    /// Adds the time since the last update to the measurement if the queue was not empty in it, and
    /// completes the measurement if it is long enough.
    fn update(&mut self, now: Millis, was_nonempty: bool) {
        if was_nonempty {
            self.nonempty_ms += (now - self.updated_at).0;
        }
        self.updated_at = self.updated_at.max(now);
        let is_enough = self.dequeued >= MIN_MEASURE_REQUESTS || self.nonempty_ms >= MAX_MEASURE_MS;
        if self.nonempty_ms < MIN_MEASURE_MS || !is_enough {
            return;
        }
        let rate = self.dequeued_slot_ms as f64 / self.nonempty_ms as f64;
        let old = self.rate.unwrap_or(rate);
        self.rate = Some(old + EWMA_WEIGHT * (rate - old));
        self.nonempty_ms = 0;
        self.dequeued_slot_ms = 0;
        self.dequeued = 0;
    }

    /// Returns how long it takes to dequeue requests with this total slot time, in milliseconds.
    fn drain_time_ms(&self, slot_ms: f64) -> f64 {
        match self.rate {
            Some(rate) if rate > 0.0 => slot_ms / rate,
            // The measured throughput is 0: no request was dequeued although requests were waiting.
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
            requests: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            organisations: BTreeMap::new(),
            virtual_time_ms: 0.0,
            queued_slot_ms: 0,
            expired: Vec::new(),
            throughput: Throughput {
                updated_at: now,
                ..Throughput::default()
            },
        }
    }

    /// Sets [`AdmissionSettings::enabled`] for queued and later requests.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.settings.enabled = enabled;
    }

    /// Adds a request to the queue, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; no stage of it was executed.
    pub fn try_enqueue(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<Ticket, AdmissionRefusal> {
        self.check_predicted_completion(now, request)?;
        Ok(self.enqueue(request))
    }

    /// Adds a request for a later stage, unless the queue is full. The request must have been
    /// admitted at its first stage.
    ///
    /// The completion is not predicted: work was already done for the request, so it stays in the
    /// queue as long as it can meet its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`AdmissionRefusal::QueueFull`] if the queue is full.
    pub fn enqueue_admitted(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<Ticket, AdmissionRefusal> {
        self.update_and_expire(now);
        if self.requests.len() >= self.settings.max_queue_length {
            return Err(AdmissionRefusal::QueueFull(self.settings.max_retry_ms));
        }
        Ok(self.enqueue(request))
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, request);
        ticket
    }

    /// Checks whether a request would be admitted, without adding it. Expired requests are removed.
    ///
    /// When a request with several stages arrives, it is checked against the queue of each stage.
    /// This avoids executing early stages of a request that a later stage would refuse.
    ///
    /// # Errors
    ///
    /// Returns why the request would be refused.
    pub fn check(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        // If the queue is empty, a refusal would depend only on earlier measurements. These may
        // come from a target that was slow at the time. Only an admitted request updates them, so
        // the refusals could continue indefinitely.
        if self.requests.is_empty() {
            return Ok(());
        }
        self.check_predicted_completion(now, request)
    }

    fn check_predicted_completion(
        &mut self,
        now: Millis,
        request: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.update_and_expire(now);
        // The predicted wait can be infinite, so it is capped before the conversion to an integer.
        let wait_ms = self.predicted_wait_ms(request);
        let retry_after = Millis(wait_ms.min(1e12) as u64)
            .max(self.settings.min_retry_ms)
            .min(self.settings.max_retry_ms);
        if self.requests.len() >= self.settings.max_queue_length {
            return Err(AdmissionRefusal::QueueFull(retry_after));
        }
        let needed_ms = request.expected_ms + self.settings.margin_ms;
        let completes_at = now + Millis(wait_ms.min(1e12) as u64) + needed_ms;
        if self.settings.enabled && completes_at > request.deadline {
            return Err(AdmissionRefusal::DeadlineUnreachable(retry_after));
        }
        Ok(())
    }

    /// Removes and returns the request that gets the next free slot, or `None` if the queue is
    /// empty.
    pub fn dequeue(&mut self, now: Millis) -> Option<Ticket> {
        self.update_and_expire(now);
        let ticket = if self.settings.enabled {
            self.select_by_fair_share()?
        } else {
            *self.requests.first_key_value()?.0
        };
        let queued = self.remove(ticket)?;
        self.throughput.dequeued_slot_ms += queued.slot_ms;
        self.throughput.dequeued += 1;
        if let Some(queue) = self.organisations.get_mut(&queued.organisation) {
            let weight = f64::from(queue.weight.max(1));
            queue.virtual_time_ms += queued.slot_ms.max(1) as f64 / weight;
        }
        Some(ticket)
    }

    /// Adds a dequeued request to the queue again because it could not use the free slot. Its slot
    /// time no longer counts for the virtual time of its organisation and for the throughput.
    pub fn requeue(&mut self, ticket: Ticket, request: AdmissionRequest) {
        if let Some(queue) = self.organisations.get_mut(&request.organisation) {
            let weight = f64::from(queue.weight.max(1));
            queue.virtual_time_ms -= request.slot_ms.0.max(1) as f64 / weight;
        }
        self.throughput.dequeued_slot_ms = self
            .throughput
            .dequeued_slot_ms
            .saturating_sub(request.slot_ms.0);
        self.throughput.dequeued = self.throughput.dequeued.saturating_sub(1);
        self.insert(ticket, request);
    }

    /// Returns the requests that were removed since the last call because they can no longer meet
    /// their deadline.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Ticket> {
        self.update_and_expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes a request whose client has disconnected, and returns whether it was in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Returns the number of requests in the queue.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests of an organisation in the queue.
    #[must_use]
    pub fn queue_length_of(&self, organisation: Organisation) -> usize {
        let queue = self.organisations.get(&organisation);
        queue.map_or(0, |queue| queue.slot_ms_by_key.len())
    }

    /// Returns how long a request would wait.
    ///
    /// The result is the lower of two upper bounds. One is the time to dequeue all queued requests
    /// at the whole throughput. The other is the time to dequeue the requests of the same
    /// organisation that have at least the same priority, at the organisation's share of the
    /// throughput. If the virtual time of the organisation exceeds that of the queue, requests of
    /// other organisations are dequeued first; the second bound includes the difference as slot
    /// time.
    fn predicted_wait_ms(&self, request: AdmissionRequest) -> f64 {
        if !self.settings.enabled {
            return 0.0;
        }
        let whole_queue_ms = self.throughput.drain_time_ms(self.queued_slot_ms as f64);
        let own_queue = self.organisations.get(&request.organisation);
        let own_queued_ms: u64 = own_queue.map_or(0, |queue| {
            let requests = queue.slot_ms_by_key.iter();
            requests
                .filter(|(key, _)| key.priority <= request.priority)
                .map(|(_, slot_ms)| slot_ms)
                .sum()
        });
        let ahead_ms = own_queue.map_or(0.0, |queue| {
            (queue.virtual_time_ms - self.virtual_time_ms).max(0.0)
        });
        let other_weights: u32 = self
            .organisations
            .iter()
            .filter(|&(&organisation, queue)| {
                !queue.slot_ms_by_key.is_empty() && organisation != request.organisation
            })
            .map(|(_, queue)| queue.weight.max(1))
            .sum();
        let weight = f64::from(request.weight.max(1));
        let own_share = weight / (weight + f64::from(other_weights));
        let own_ms = own_queued_ms as f64 + ahead_ms * weight;
        whole_queue_ms.min(self.throughput.drain_time_ms(own_ms / own_share))
    }

    fn insert(&mut self, ticket: Ticket, request: AdmissionRequest) {
        let key = QueueKey {
            priority: request.priority,
            deadline: request.deadline,
            ticket,
        };
        let slot_ms = request.slot_ms.0;
        let latest_start = request.deadline - request.expected_ms;
        let queue = self.organisations.entry(request.organisation).or_default();
        if queue.slot_ms_by_key.is_empty() {
            // Without this, an organisation that had no queued requests for some time would get
            // more than its share, because its virtual time did not advance meanwhile.
            queue.virtual_time_ms = queue.virtual_time_ms.max(self.virtual_time_ms);
        }
        queue.weight = request.weight;
        queue.slot_ms_by_key.insert(key, slot_ms);
        self.queued_slot_ms += slot_ms;
        self.by_latest_start.insert((latest_start, ticket));
        let queued = QueuedRequest {
            organisation: request.organisation,
            key,
            latest_start,
            slot_ms,
        };
        self.requests.insert(ticket, queued);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&ticket)?;
        self.by_latest_start.remove(&(queued.latest_start, ticket));
        self.queued_slot_ms -= queued.slot_ms;
        if let Some(queue) = self.organisations.get_mut(&queued.organisation) {
            queue.slot_ms_by_key.remove(&queued.key);
        }
        Some(queued)
    }

    /// Updates the throughput and removes the requests that can no longer meet their deadline.
    fn update_and_expire(&mut self, now: Millis) {
        self.throughput.update(now, !self.requests.is_empty());
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

    /// Selects the next request in the order that the module documentation describes, without
    /// removing it, and updates the virtual time of the queue.
    fn select_by_fair_share(&mut self) -> Option<Ticket> {
        let heads = || {
            self.organisations.values().filter_map(|queue| {
                let (key, _) = queue.slot_ms_by_key.first_key_value()?;
                Some((queue, *key))
            })
        };
        let lowest = heads()
            .map(|(queue, _)| queue.virtual_time_ms)
            .min_by(f64::total_cmp)?;
        let burst_ms = self.settings.burst_ms.0 as f64;
        let (_, key) = heads()
            .filter(|(queue, _)| queue.virtual_time_ms <= lowest + burst_ms)
            .min_by(|(a, a_key), (b, b_key)| {
                let by_priority = a_key.priority.cmp(&b_key.priority);
                by_priority
                    .then(a.virtual_time_ms.total_cmp(&b.virtual_time_ms))
                    .then(a_key.cmp(b_key))
            })?;
        self.virtual_time_ms = self.virtual_time_ms.max(lowest);
        Some(key.ticket)
    }
}
