//! Quarantine of requests that crash the targets which execute them.
//!
//! A connection that breaks before the response head counts as a crash. A request that crashed two
//! targets is quarantined, that is refused for a time, unless it got a response recently. This
//! module decides which failures count and how long a quarantine lasts. [`Quarantine`] counts the
//! failures of each request fingerprint and merges the entries that other instances send.

use std::collections::BTreeMap;

use crate::quarantine::AttemptHash;
use crate::quarantine::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine::QuarantineEntry;
use crate::quarantine::QuarantineSettings;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;

/// How long a request that crashed two targets is refused. This exceeds both the seconds that a
/// target takes to restart and the time that the client waits for a response.
const QUARANTINE_MS: Millis = Millis(60_000);
/// Maximum number of requests with recorded crashes, and of those with a recorded response.
const MAX_FINGERPRINTS: usize = 1_024;

/// How long after a response to a request its failures do not count as crashes. Since the request
/// did not crash a target recently, the cause is the target or the network, and all requests at
/// that target are affected.
const RECENT_RESPONSE_MS: Millis = Millis(30_000);

/// Requests that crash targets, as known to one instance.
#[derive(Debug)]
pub struct CrashQuarantine {
    quarantine: Quarantine,
    last_response_at: BTreeMap<Fingerprint, Millis>,
}

impl CrashQuarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new() -> Self {
        Self {
            quarantine: Quarantine::new(QuarantineSettings {
                duration_ms: QUARANTINE_MS,
                max_entries: MAX_FINGERPRINTS,
            }),
            last_response_at: BTreeMap::new(),
        }
    }

    /// Returns how long a request stays quarantined, or `None` if it is not quarantined.
    #[must_use]
    pub fn remaining(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        if self.has_recent_response(now, fingerprint) {
            return None;
        }
        self.quarantine.remaining(now, fingerprint)
    }

    /// Records that a connection to a target broke before the response head.
    ///
    /// Returns the entry to send to other instances, or `None` if the request got a response
    /// recently. The first crash has an entry too, because the second one may occur at another
    /// instance.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        target: &str,
    ) -> Option<QuarantineEntry> {
        if self.has_recent_response(now, fingerprint) {
            return None;
        }
        // All requests that run at a target fail together when it crashes, so failures at one
        // target count once.
        let attempt = AttemptHash(stable_hash(target.as_bytes()));
        self.quarantine.record_failure(now, fingerprint, attempt)
    }

    /// Records that a request got a response.
    pub fn record_response(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.quarantine.record_success(fingerprint);
        self.insert_response(fingerprint, now);
    }

    /// Merges an entry from another instance, and returns whether it added a crash.
    pub fn merge(&mut self, now: Millis, entry: &QuarantineEntry) -> bool {
        self.quarantine.merge(now, entry)
    }

    /// Returns the time since the last response to a request if that was recent.
    #[must_use]
    pub fn recent_response_age(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let responded_at = *self.last_response_at.get(&fingerprint)?;
        (responded_at + RECENT_RESPONSE_MS > now).then(|| now - responded_at)
    }

    /// Records a recent response that another instance got, and returns whether this instance knew of
    /// none.
    ///
    /// `age_ms` is the time since the response. The crashes that are recorded here are removed, since
    /// the other instance got its response shortly before them.
    pub fn record_peer_response(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        age_ms: Millis,
    ) -> bool {
        if age_ms >= RECENT_RESPONSE_MS || age_ms > now {
            return false;
        }
        let is_first = !self.has_recent_response(now, fingerprint);
        self.quarantine.remove(fingerprint);
        let known = self.last_response_at.get(&fingerprint).copied();
        let responded_at = known.unwrap_or_default().max(now - age_ms);
        self.insert_response(fingerprint, responded_at);
        is_first
    }

    fn insert_response(&mut self, fingerprint: Fingerprint, responded_at: Millis) {
        self.last_response_at.insert(fingerprint, responded_at);
        if self.last_response_at.len() > MAX_FINGERPRINTS {
            let oldest = self.last_response_at.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.last_response_at.remove(&oldest);
            }
        }
    }

    fn has_recent_response(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        self.recent_response_age(now, fingerprint).is_some()
    }
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the fingerprint of a request: a hash of its path, organisation and body, which is the
/// same for all its attempts.
#[must_use]
pub fn fingerprint(path: &str, organisation: &str, body: &[u8]) -> Fingerprint {
    let parts = [
        stable_hash(path.as_bytes()),
        stable_hash(organisation.as_bytes()),
        stable_hash(body),
    ];
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_be_bytes()).collect();
    Fingerprint(stable_hash(&bytes))
}
