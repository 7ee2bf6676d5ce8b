//! How the requests of both versions ended, as instances report it to the decider.

use serde::Deserialize;
use serde::Serialize;

use super::RolloutPhase;
use super::VersionSide;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Number of buckets of a histogram; the upper bound of each is larger than that of the one before
/// by a factor of the square root of 2, so the last one holds durations of more than 46 s.
pub const BUCKETS: usize = 32;
/// Number of groups that the new targets are divided into. The evidence of one slow target is found
/// in one group, and the size of reports does not depend on the number of targets.
const TARGET_GROUPS: u64 = 8;

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The response was complete.
    Success,
    /// The target failed: an error response, no response, or an interrupted one.
    Failure,
    /// The end says nothing about the version: the target refused the request because of its load,
    /// or the client cancelled it.
    Ignored,
}

/// Number of responses by their duration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationHistogram {
    /// Index of the bucket of the first count.
    first: u8,
    /// Counts of consecutive buckets.
    counts: Vec<u32>,
}

/// The requests of one route to one group of targets of a version, since the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Name of the route.
    pub route: String,
    /// Version of the targets.
    pub side: VersionSide,
    /// Group of the targets, see [`target_group`]; 0 for the old version.
    pub target_group: u8,
    /// Number of requests that ended, with or without a failure.
    pub responses: u32,
    /// Number of failures among them.
    pub failures: u32,
    /// Durations of the responses that did not fail.
    pub durations: DurationHistogram,
}

/// What an instance reports to the decider: totals since the order, so that reports may be lost,
/// repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Name of the service.
    pub service: String,
    /// Revision of the order.
    pub revision: u64,
    /// Name of the instance.
    pub instance: String,
    /// Incarnation of the instance; totals start from zero with each.
    pub incarnation: u64,
    /// Increases with each report of the same incarnation.
    pub sequence: u64,
    /// Time since the order, as far as the instance knows.
    pub order_age_ms: Millis,
    /// Phase of the directive that the instance follows.
    pub phase: RolloutPhase,
    /// Number of requests that were sent to new targets.
    pub sent_new: u64,
    /// Number of requests that were sent to targets of either version.
    pub sent_all: u64,
    /// Number of requests in progress at old targets.
    pub old_in_flight: u64,
    /// Number of requests in progress at new targets.
    pub new_in_flight: u64,
    /// Evidence that has changed, and in turn some that has not.
    pub routes: Vec<RouteEvidence>,
}

/// Returns the group of a target, which is the same at all instances.
#[must_use]
pub fn target_group(target: &str) -> u8 {
    (rendezvous::stable_hash(target.as_bytes()) % TARGET_GROUPS) as u8
}

impl DurationHistogram {
    /// Adds one response.
    pub fn record(&mut self, duration_ms: Millis) {
        let bucket = bucket_of(duration_ms);
        if self.counts.is_empty() {
            self.first = bucket;
        }
        let first = usize::from(self.first);
        let index = usize::from(bucket);
        if index < first {
            let missing = first - index;
            self.counts.splice(0..0, std::iter::repeat_n(0, missing));
            self.first = bucket;
        }
        let position = index - usize::from(self.first);
        if position >= self.counts.len() {
            self.counts.resize(position + 1, 0);
        }
        self.counts[position] = self.counts[position].saturating_add(1);
    }

    /// Returns the counts of all buckets; those beyond the last one are ignored.
    #[must_use]
    pub fn buckets(&self) -> [u64; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for (count, bucket) in self
            .counts
            .iter()
            .zip(buckets.iter_mut().skip(usize::from(self.first)))
        {
            *bucket = u64::from(*count);
        }
        buckets
    }
}

fn bucket_of(duration_ms: Millis) -> u8 {
    let bucket = ((duration_ms.0.max(1) as f64).log2() * 2.0).floor();
    (bucket as usize).min(BUCKETS - 1) as u8
}
