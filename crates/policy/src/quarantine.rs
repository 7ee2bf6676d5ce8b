//! Quarantine of requests that make targets fail.
//!
//! Two target failures on distinct attempts with the same fingerprint quarantine the request for
//! a bounded time. Entries are shared by gossip, because a caller's resend usually reaches another
//! instance. Merging is a union of attempts and therefore commutative and idempotent. Times are
//! sent as remaining spans, since instances have no common clock. Each hop shortens the span, so
//! an entry that instances send back and forth cannot outlive its time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// The failures that quarantine a request.
const FAILURES: usize = 2;
/// How much each hop shortens the span of an entry; longer than a datagram usually travels.
const HOP_DECAY_MS: Millis = Millis(1_000);

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a failure counts and a quarantine lasts.
    pub duration_ms: Millis,
    /// The largest number of fingerprints that are remembered.
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

/// The stable hash of what a request asks for, which a resend shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// The stable hash of an attempt identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptHash(pub u64);

/// What instances tell each other about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The attempts that ended with a target failure, at most two.
    pub failures: BTreeSet<AttemptHash>,
    /// How long the entry remains valid at the receiver.
    pub remaining_ms: Millis,
}

#[derive(Clone, Debug)]
struct Record {
    failures: BTreeSet<AttemptHash>,
    until: Millis,
}

/// The fingerprints with recent target failures.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: BTreeMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
        }
    }

    /// Returns how long a request remains quarantined, if it is.
    #[must_use]
    pub fn remaining(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let record = self.records.get(&fingerprint)?;
        let quarantined = record.failures.len() >= FAILURES && record.until > now;
        quarantined.then(|| record.until - now)
    }

    /// Records that a target failed during an attempt, and returns the entry to share.
    pub fn record_failure(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        attempt: AttemptHash,
    ) -> Option<QuarantineEntry> {
        let until = now + self.settings.duration_ms;
        self.insert(now, fingerprint, &BTreeSet::from([attempt]), until);
        self.entry(now, fingerprint)
    }

    /// Records that a request was answered, so that an earlier single failure no longer counts.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        let single = |record: &Record| record.failures.len() < FAILURES;
        if self.records.get(&fingerprint).is_some_and(single) {
            self.records.remove(&fingerprint);
        }
    }

    /// Takes over an entry of another instance, and returns whether it was news.
    pub fn merge(&mut self, now: Millis, entry: &QuarantineEntry) -> bool {
        if entry.remaining_ms == Millis::ZERO || entry.failures.is_empty() {
            return false;
        }
        let until = now + entry.remaining_ms.min(self.settings.duration_ms);
        self.insert(now, entry.fingerprint, &entry.failures, until)
    }

    /// Returns the entries to share, the longest remaining first.
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

    /// Returns the number of fingerprints that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn entry(&self, now: Millis, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let record = self.records.get(&fingerprint)?;
        let remaining_ms = record.until - now - HOP_DECAY_MS;
        (remaining_ms > Millis::ZERO).then(|| QuarantineEntry {
            fingerprint,
            failures: record.failures.clone(),
            remaining_ms,
        })
    }

    fn insert(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        failures: &BTreeSet<AttemptHash>,
        until: Millis,
    ) -> bool {
        self.records.retain(|_, record| record.until > now);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            failures: BTreeSet::new(),
            until,
        });
        let news: Vec<AttemptHash> = failures.difference(&record.failures).copied().collect();
        // Only a failure that was not known extends the time; a repeated entry never does.
        if news.is_empty() || record.failures.len() >= FAILURES {
            return false;
        }
        record.failures.extend(news);
        while record.failures.len() > FAILURES {
            record.failures.pop_last();
        }
        record.until = record.until.max(until);
        self.evict();
        true
    }

    /// Forgets single failures before quarantined requests, and the oldest first.
    fn evict(&mut self) {
        while self.records.len() > self.settings.max_entries {
            let victim = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.failures.len(), record.until))
                .map(|(&fingerprint, _)| fingerprint);
            let Some(victim) = victim else { return };
            self.records.remove(&victim);
        }
    }
}
