//! Requests that crash the targets which run them.
//!
//! A crash shows as a connection that breaks before the head of an answer. The request's
//! fingerprint is shared with the other instances through [`Quarantine`]; here are the rules which
//! failures count and how long a quarantine lasts.

use crate::quarantine::AttemptHash;
use crate::quarantine::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine::QuarantineSettings;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;

/// How long a request that crashed two targets is refused. Targets restart within seconds, and
/// the request's client gives up sooner.
const QUARANTINE_MS: Millis = Millis(60_000);
const MAX_FINGERPRINTS: usize = 1_024;

/// Creates the quarantine of an instance.
#[must_use]
pub fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineSettings {
        duration_ms: QUARANTINE_MS,
        max_entries: MAX_FINGERPRINTS,
    })
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

/// Returns the hash of one attempt of a request at a target.
#[must_use]
pub fn attempt(request: &str, target: &str) -> AttemptHash {
    let bytes = format!("{request}\0{target}");
    AttemptHash(stable_hash(bytes.as_bytes()))
}
