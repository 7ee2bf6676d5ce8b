//! Rate limit for requests to cold targets.
//!
//! A cold target, which was started recently, tolerates a limited number of requests per second
//! from all instances together. The number of instances that send to it is therefore no larger than
//! this limit, and each of them sends at most one request per second. Rendezvous hashing determines
//! these instances, without communication. The bound holds as long as the lists of instances differ
//! by less than the margin that `USED_SHARE` leaves.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Minimum interval between two requests of an instance to a cold target: the second in which the
/// target counts requests, plus a margin for jitter of the network.
const MIN_SEND_INTERVAL_MS: Millis = Millis(1_150);
/// Share of the tolerated rate that is used; the rest is a margin for instances that are not in the
/// list of instances yet.
const USED_SHARE: f64 = 0.8;

/// When this instance last sent a request to each target that may be cold.
#[derive(Debug, Default)]
pub struct ColdTargetPacer {
    last_sent: BTreeMap<String, Millis>,
}

/// Returns whether an instance is among those that may send requests to a cold target.
///
/// `peers` are the names of the other instances, and `tolerated_per_s` is the number of requests
/// per second that the target tolerates from all instances together.
#[must_use]
pub fn is_designated_sender<'a>(
    target: &str,
    instance: &str,
    peers: impl Iterator<Item = &'a str>,
    tolerated_per_s: f64,
) -> bool {
    let senders = (tolerated_per_s * USED_SHARE).floor().max(1.0) as usize;
    let local_weight = rendezvous::weight(target.as_bytes(), instance);
    let ranked_before =
        peers.filter(|peer| rendezvous::weight(target.as_bytes(), peer) > local_weight);
    ranked_before.take(senders).count() < senders
}

impl ColdTargetPacer {
    /// Returns whether the minimum interval since the last request to a target has passed.
    #[must_use]
    pub fn may_send(&self, now: Millis, target: &str) -> bool {
        self.last_sent
            .get(target)
            .is_none_or(|&last| now >= last + MIN_SEND_INTERVAL_MS)
    }

    /// Records a request to a target that may be cold.
    pub fn record_send(&mut self, now: Millis, target: &str) {
        self.last_sent.insert(target.to_owned(), now);
    }

    /// Removes the state of a target that is gone.
    pub fn remove(&mut self, target: &str) {
        self.last_sent.remove(target);
    }
}
