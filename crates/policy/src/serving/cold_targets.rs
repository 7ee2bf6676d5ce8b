//! The rate at which an instance sends to a cold target.
//!
//! A cold target tolerates a number of requests in any second, summed over all instances. Only so
//! many instances send to it, those that rank first for the target by rendezvous hashing, and each
//! sends at most one request a second. Nothing is exchanged; the bound holds as long as the lists
//! of instances differ by less than the part of the tolerance that is left unused.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// The shortest interval between two sends of an instance to a cold target: the window in which
/// its tolerance is counted, and the uneven delays of sends on the way.
const INTERVAL_MS: Millis = Millis(1_150);
/// The part of the tolerance that is used; the rest covers instances that are not known yet.
const USED_SHARE: f64 = 0.8;

/// The cold targets that an instance sent to.
#[derive(Debug, Default)]
pub struct ColdTargetPacer {
    last_sent: BTreeMap<String, Millis>,
}

/// Returns whether an instance is among those that send to a cold target.
#[must_use]
pub fn is_designated_sender<'a>(
    target: &str,
    instance: &str,
    others: impl Iterator<Item = &'a str>,
    tolerated_per_s: f64,
) -> bool {
    let senders = (tolerated_per_s * USED_SHARE).floor().max(1.0) as usize;
    let own = rendezvous::weight(target.as_bytes(), instance);
    let before = others.filter(|other| rendezvous::weight(target.as_bytes(), other) > own);
    before.take(senders).count() < senders
}

impl ColdTargetPacer {
    /// Returns whether a request may be sent to a cold target now.
    #[must_use]
    pub fn may_send(&self, now: Millis, target: &str) -> bool {
        self.last_sent
            .get(target)
            .is_none_or(|&last| now >= last + INTERVAL_MS)
    }

    /// Records a send to any target that may be cold.
    pub fn record_send(&mut self, now: Millis, target: &str) {
        self.last_sent.insert(target.to_owned(), now);
    }

    /// Forgets a target that has gone.
    pub fn remove(&mut self, target: &str) {
        self.last_sent.remove(target);
    }
}
