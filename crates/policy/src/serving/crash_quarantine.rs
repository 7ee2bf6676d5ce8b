//! Requests that crash the targets which run them.
//!
//! A crash shows as a connection that breaks before the head of an answer. The request's
//! fingerprint is shared with the other instances through [`Quarantine`]; here are the rules which
//! failures count and how long a quarantine lasts. Failures at two targets quarantine a request
//! that was not answered lately.

use std::collections::BTreeMap;

use crate::quarantine::AttemptHash;
use crate::quarantine::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine::QuarantineEntry;
use crate::quarantine::QuarantineSettings;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;

/// How long a request that crashed two targets is refused. Targets restart within seconds, and
/// the request's client gives up sooner.
const QUARANTINE_MS: Millis = Millis(60_000);
const MAX_FINGERPRINTS: usize = 1_024;

/// A request that was answered within this time crashes no target: what broke was the target or
/// the way to it, for all its requests.
const ANSWERED_LATELY_MS: Millis = Millis(30_000);

/// The requests that crash targets, as one instance knows them.
#[derive(Debug)]
pub struct CrashQuarantine {
    quarantine: Quarantine,
    answered_at: BTreeMap<Fingerprint, Millis>,
}

impl CrashQuarantine {
    /// Creates the knowledge of an instance that knows of none.
    #[must_use]
    pub fn new() -> Self {
        Self {
            quarantine: Quarantine::new(QuarantineSettings {
                duration_ms: QUARANTINE_MS,
                max_entries: MAX_FINGERPRINTS,
            }),
            answered_at: BTreeMap::new(),
        }
    }

    /// Returns how long a request remains quarantined, if it is.
    #[must_use]
    pub fn remaining(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        if self.was_answered(now, fingerprint) {
            return None;
        }
        self.quarantine.remaining(now, fingerprint)
    }

    /// Records that a target broke off without an answer, and returns the entry to share.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        target: &str,
    ) -> Option<QuarantineEntry> {
        if self.was_answered(now, fingerprint) {
            return None;
        }
        // Requests in progress at one target end together when it does.
        let attempt = AttemptHash(stable_hash(target.as_bytes()));
        self.quarantine.record_failure(now, fingerprint, attempt)
    }

    /// Records that a request was answered.
    pub fn record_response(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.quarantine.record_success(fingerprint);
        self.answered_at.insert(fingerprint, now);
        if self.answered_at.len() > MAX_FINGERPRINTS {
            let oldest = self.answered_at.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.answered_at.remove(&oldest);
            }
        }
    }

    /// Takes over an entry of another instance, and returns whether it was news.
    pub fn merge(&mut self, now: Millis, entry: &QuarantineEntry) -> bool {
        self.quarantine.merge(now, entry)
    }

    fn was_answered(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let answered = self.answered_at.get(&fingerprint);
        answered.is_some_and(|&at| at + ANSWERED_LATELY_MS > now)
    }
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the fingerprint that all sends of a request share: its path, caller and body.
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
