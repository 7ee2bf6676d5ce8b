//! Quarantine of requests that make targets fail.
//!
//! A request is identified by its fingerprint, a hash of its content. It is quarantined for a
//! bounded time after targets failed during a number of distinct attempts with the same fingerprint,
//! two unless set otherwise. Instances exchange entries by gossip, because a client retry usually
//! reaches another instance.
//!
//! Merging an entry takes the union of the failed attempts up to that number. The order
//! and the repetition of entries therefore do not change whether a request is quarantined. An entry
//! carries its remaining duration instead of an expiry time, since instances have no common clock.
//! Each hop shortens this duration, so an entry expires even if instances keep sending it to each
//! other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// The number of failed attempts that quarantines a request, unless set otherwise.
const DEFAULT_FAILURE_THRESHOLD: usize = 2;
/// By how much each hop shortens the remaining duration of an entry; longer than the usual delay of
/// a datagram.
const HOP_DECAY_MS: Millis = Millis(1_000);

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a failure counts, and how long a quarantine lasts after its second failure.
    pub duration_ms: Millis,
    /// The maximum number of fingerprints with a recorded failure.
    pub max_entries: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            duration_ms: Millis(60_000),
            max_entries: 1_024,
        }
    }
}

/// A stable hash of the content of a request; a client retry has the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// A stable hash of the identifier of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptHash(pub u64);

/// The gossip message about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The attempts during which a target failed, at most as many as quarantine the request.
    pub failures: BTreeSet<AttemptHash>,
    /// How long the entry is valid at the receiver.
    pub remaining_ms: Millis,
}

#[derive(Clone, Debug)]
struct Record {
    failures: BTreeSet<AttemptHash>,
    expires_at: Millis,
}

/// The recent target failures of requests, by fingerprint.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    failure_threshold: usize,
    records: BTreeMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            failure_threshold: DEFAULT_FAILURE_THRESHOLD,
            records: BTreeMap::new(),
        }
    }

    /// Sets the number of failed attempts that quarantines a request.
    #[must_use]
    pub const fn with_failure_threshold(mut self, failure_threshold: usize) -> Self {
        self.failure_threshold = failure_threshold;
        self
    }

    /// Returns how long a request remains quarantined, or `None` if it is not.
    #[must_use]
    pub fn remaining(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let record = self.records.get(&fingerprint)?;
        let quarantined =
            record.failures.len() >= self.failure_threshold && record.expires_at > now;
        quarantined.then(|| record.expires_at - now)
    }

    /// Records that a target failed during an attempt, and returns the entry to send to other
    /// instances, or `None` if it would have expired when it arrives there.
    pub fn record_failure(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        attempt: AttemptHash,
    ) -> Option<QuarantineEntry> {
        let expires_at = now + self.settings.duration_ms;
        self.add_failures(now, fingerprint, &BTreeSet::from([attempt]), expires_at);
        self.entry(now, fingerprint)
    }

    /// Records that a request succeeded, which removes a single recorded failure. It does not end a
    /// quarantine.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        if record.is_some_and(|record| record.failures.len() < self.failure_threshold) {
            self.records.remove(&fingerprint);
        }
    }

    /// Removes all recorded failures of a request, which ends its quarantine.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Merges an entry from another instance, and returns whether it added a failure.
    pub fn merge(&mut self, now: Millis, entry: &QuarantineEntry) -> bool {
        if entry.remaining_ms == Millis::ZERO || entry.failures.is_empty() {
            return false;
        }
        let expires_at = now + entry.remaining_ms.min(self.settings.duration_ms);
        self.add_failures(now, entry.fingerprint, &entry.failures, expires_at)
    }

    /// Returns the entry of a request to send to other instances, or `None` if no failure is recorded
    /// or the entry would have expired when it arrives there.
    #[must_use]
    pub fn entry(&self, now: Millis, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let record = self.records.get(&fingerprint)?;
        let remaining_ms = record.expires_at - now - HOP_DECAY_MS;
        (remaining_ms > Millis::ZERO).then(|| QuarantineEntry {
            fingerprint,
            failures: record.failures.clone(),
            remaining_ms,
        })
    }

    /// Returns at most `limit` entries to send to other instances, those that expire last first.
    #[must_use]
    pub fn entries(&self, now: Millis, limit: usize) -> Vec<QuarantineEntry> {
        let mut entries: Vec<QuarantineEntry> = self
            .records
            .keys()
            .filter_map(|&fingerprint| self.entry(now, fingerprint))
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse((entry.remaining_ms, entry.fingerprint)));
        entries.truncate(limit);
        entries
    }

    /// Returns the number of fingerprints with a recorded failure.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no failure is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add_failures(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        failures: &BTreeSet<AttemptHash>,
        expires_at: Millis,
    ) -> bool {
        self.records.retain(|_, record| record.expires_at > now);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            failures: BTreeSet::new(),
            expires_at,
        });
        let new_failures: Vec<AttemptHash> =
            failures.difference(&record.failures).copied().collect();
        // Only a new failure extends the duration; a repeated entry must not.
        if new_failures.is_empty() || record.failures.len() >= self.failure_threshold {
            return false;
        }
        record.failures.extend(new_failures);
        while record.failures.len() > self.failure_threshold {
            record.failures.pop_last();
        }
        record.expires_at = record.expires_at.max(expires_at);
        self.evict_excess();
        true
    }

    /// Evicts records above `max_entries`: first those with a single failure, then quarantined
    /// requests, each in the order of their expiry.
    fn evict_excess(&mut self) {
        while self.records.len() > self.settings.max_entries {
            let evicted = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.failures.len(), record.expires_at))
                .map(|(&fingerprint, _)| fingerprint);
            let Some(evicted) = evicted else { return };
            self.records.remove(&evicted);
        }
    }
}
