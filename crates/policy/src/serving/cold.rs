//! The rate at which an instance sends to a cold target.
//!
//! A cold target tolerates a number of requests in any second, summed over all instances. Every
//! instance takes an equal part, as a shortest interval between its own sends. The sum holds
//! whatever the instances believe about each other, as long as their number is not underestimated.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// The window in which a target's tolerance is counted.
const WINDOW_MS: u64 = 1_000;
/// Kept between sends beyond the computed interval, since sends are delayed unevenly on the way.
const JITTER_MS: u64 = 150;

/// The cold targets that an instance sent to.
#[derive(Debug, Default)]
pub struct ColdSends {
    last_sent: BTreeMap<String, Millis>,
}

/// Returns the shortest interval between the sends of one instance to a cold target.
#[must_use]
pub fn interval_ms(tolerated_per_s: f64, instances: usize) -> Millis {
    let tolerated = tolerated_per_s.floor().max(1.0);
    let windows = (instances.max(1) as f64 / tolerated).max(1.0);
    Millis((windows * WINDOW_MS as f64).ceil() as u64 + JITTER_MS)
}

impl ColdSends {
    /// Returns whether a request may be sent to a cold target now.
    #[must_use]
    pub fn may_send(&self, now: Millis, target: &str, interval_ms: Millis) -> bool {
        self.last_sent
            .get(target)
            .is_none_or(|&last| now >= last + interval_ms)
    }

    /// Records a send to any target that may be cold.
    pub fn record(&mut self, now: Millis, target: &str) {
        self.last_sent.insert(target.to_owned(), now);
    }

    /// Forgets a target that has gone.
    pub fn forget(&mut self, target: &str) {
        self.last_sent.remove(target);
    }
}
