//! Limits that targets set on the rate of their requests from all instances together.
//!
//! A target names its limit in each response for as long as it applies. Instances tell each other
//! when a limit begins, changes or ends. Without further communication, rendezvous hashing determines
//! for each target which instances divide its limit. There are slightly more of them than the limit
//! allows requests per second, so that one may be missing. Calls of stages are sent by the owner of
//! their queue alone.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Share of a limit that all instances together use; the rest is a margin for instances that are not
/// in the list of instances yet.
const USED_SHARE: f64 = 0.8;
/// Number of sending instances in addition to the requests per second that they may send, so that
/// the target still gets requests when some of them are lost.
const SPARE_SENDERS: usize = 2;
/// Time for which unused permits are kept, beyond the first one.
const BURST_S: f64 = 0.5;
/// Rate at which a target is asked at least, since only its responses show that its limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;
/// How long a limit applies that neither a response nor a peer has confirmed. At the minimum rate,
/// three responses arrive in this time.
const UNCONFIRMED_VALID_MS: Millis = Millis(30_000);
/// Interval at which a limit that still applies is reported to the peers.
const CONFIRMATION_INTERVAL_MS: Millis = Millis(5_000);

/// What an instance has observed about the limit of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Identifier of the target.
    pub target: String,
    /// The limit; `None` if the target named none.
    pub max_requests_per_s: Option<f64>,
    /// Time since the response that showed it.
    pub age_ms: Millis,
}

/// Who sends requests to a limited target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderRank {
    /// One of the instances that divide the limit, with its position and their number.
    OneOf {
        /// Number of instances that are ranked before this one.
        position: usize,
        /// Number of known instances, including this one.
        instances: usize,
    },
    /// The only instance that sends requests of this kind.
    Only,
}

#[derive(Debug)]
struct TargetLimit {
    /// The limit, or `None` if it has ended. Ended limits are kept so that older reports do not
    /// revive them.
    max_requests_per_s: Option<f64>,
    /// When the target sent the response that showed the limit or its end.
    observed_at: Millis,
    reported_at: Millis,
    /// Requests that this instance may send now.
    permits: f64,
    refilled_at: Millis,
}

/// The limits of all targets, as known to one instance.
#[derive(Debug, Default)]
pub struct TargetLimits {
    limits: BTreeMap<String, TargetLimit>,
}

impl SenderRank {
    /// Returns the rank of an instance among all that may send to a target.
    ///
    /// Instances of the failure domain of the target come first, since the others send to it only
    /// when the targets of their own domains are busy. `instance` and `peers` hold the name and the
    /// failure domain of this instance and of the others.
    #[must_use]
    pub fn of<'a>(
        target: &str,
        target_domain: &str,
        instance: (&str, &str),
        peers: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Self {
        let priority = |(name, domain): (&str, &str)| {
            let weight = rendezvous::weight(target.as_bytes(), name);
            (domain == target_domain, weight)
        };
        let local_priority = priority(instance);
        let (mut position, mut instances) = (0, 1);
        for peer in peers {
            instances += 1;
            position += usize::from(priority(peer) > local_priority);
        }
        Self::OneOf {
            position,
            instances,
        }
    }

    /// Returns the requests per second that an instance may send, or 0 if it may send none.
    fn rate_per_s(self, max_requests_per_s: f64) -> f64 {
        let used_per_s = (max_requests_per_s * USED_SHARE).max(MIN_RATE_PER_S);
        match self {
            Self::Only => used_per_s,
            Self::OneOf {
                position,
                instances,
            } => {
                let senders = instances.min(used_per_s as usize + SPARE_SENDERS);
                if position < senders {
                    used_per_s / senders as f64
                } else {
                    0.0
                }
            }
        }
    }
}

impl TargetLimits {
    /// Records what a response of a target says about its limit, and returns a report for all peers
    /// if they have to be told.
    ///
    /// `sent_at` is when the request was sent. A response without a limit ends it only if the
    /// request was sent after the limit was seen last, since responses may overtake each other.
    pub fn record_response(
        &mut self,
        now: Millis,
        target: &str,
        max_requests_per_s: Option<f64>,
        sent_at: Millis,
    ) -> Option<LimitReport> {
        let known = self.known(now, target);
        if max_requests_per_s.is_none() {
            known?;
            if self.limits[target].observed_at > sent_at {
                return None;
            }
        }
        let has_changed = known != max_requests_per_s;
        let limit = self.apply(now, target, max_requests_per_s, now);
        let is_due = has_changed || limit.reported_at + CONFIRMATION_INTERVAL_MS <= now;
        if !is_due {
            return None;
        }
        limit.reported_at = now;
        Some(LimitReport {
            target: target.to_owned(),
            max_requests_per_s,
            age_ms: Millis::ZERO,
        })
    }

    /// Applies a report of a peer unless this instance has a newer observation; returns whether the
    /// limit has changed.
    pub fn merge(&mut self, now: Millis, report: &LimitReport) -> bool {
        if report
            .max_requests_per_s
            .is_some_and(|limit| !is_valid(limit))
        {
            return false;
        }
        let observed_at = now - report.age_ms.min(now);
        let is_older = self
            .limits
            .get(&report.target)
            .is_some_and(|limit| limit.observed_at >= observed_at);
        if is_older {
            return false;
        }
        let known = self.known(now, &report.target);
        if known.is_none() && report.max_requests_per_s.is_none() {
            return false;
        }
        // The peer has told all others.
        let limit = self.apply(now, &report.target, report.max_requests_per_s, observed_at);
        limit.reported_at = now;
        known != report.max_requests_per_s
    }

    /// Returns the limits that apply, for an instance that has started.
    #[must_use]
    pub fn reports(&self, now: Millis) -> Vec<LimitReport> {
        let applying = self
            .limits
            .iter()
            .filter(|(target, _)| self.known(now, target).is_some());
        applying
            .map(|(target, limit)| LimitReport {
                target: target.clone(),
                max_requests_per_s: limit.max_requests_per_s,
                age_ms: now - limit.observed_at,
            })
            .collect()
    }

    /// Returns the limit of a target in requests per second, or `None` if it has none.
    #[must_use]
    pub fn known(&self, now: Millis, target: &str) -> Option<f64> {
        let limit = self.limits.get(target)?;
        limit
            .max_requests_per_s
            .filter(|_| now < limit.observed_at + UNCONFIRMED_VALID_MS)
    }

    /// Returns the time until this instance may send a request to a target; zero if it may now, and
    /// `None` if it may not as long as the limit applies.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, target: &str, rank: SenderRank) -> Option<Millis> {
        let Some(max_requests_per_s) = self.known(now, target) else {
            return Some(Millis::ZERO);
        };
        let rate_per_s = rank.rate_per_s(max_requests_per_s);
        if rate_per_s == 0.0 {
            return None;
        }
        let missing = 1.0 - self.limits[target].permits_at(now, rate_per_s);
        Some(Millis(
            (missing.max(0.0) / rate_per_s * 1_000.0).ceil() as u64
        ))
    }

    /// Takes the permit for one request to a target; returns false if there is none.
    pub fn try_take(&mut self, now: Millis, target: &str, rank: SenderRank) -> bool {
        let Some(max_requests_per_s) = self.known(now, target) else {
            return true;
        };
        if self.wait_ms(now, target, rank) != Some(Millis::ZERO) {
            return false;
        }
        if let Some(limit) = self.limits.get_mut(target) {
            limit.permits = limit.permits_at(now, rank.rate_per_s(max_requests_per_s)) - 1.0;
            limit.refilled_at = now;
        }
        true
    }

    /// Removes the limit of a target that is gone or was restarted.
    pub fn remove(&mut self, target: &str) {
        self.limits.remove(target);
    }

    fn apply(
        &mut self,
        now: Millis,
        target: &str,
        max_requests_per_s: Option<f64>,
        observed_at: Millis,
    ) -> &mut TargetLimit {
        let is_new = self.known(now, target).is_none();
        let limit = self
            .limits
            .entry(target.to_owned())
            .or_insert_with(|| TargetLimit {
                max_requests_per_s,
                observed_at,
                reported_at: Millis::ZERO,
                permits: 0.0,
                refilled_at: now,
            });
        if is_new {
            // The requests that led to this observation have used the first permits.
            limit.permits = 0.0;
            limit.refilled_at = now;
        }
        limit.max_requests_per_s = max_requests_per_s;
        limit.observed_at = observed_at;
        limit
    }
}

impl TargetLimit {
    fn permits_at(&self, now: Millis, rate_per_s: f64) -> f64 {
        let elapsed_s = (now - self.refilled_at).0 as f64 / 1_000.0;
        let most = (rate_per_s * BURST_S).max(1.0);
        (self.permits + elapsed_s * rate_per_s).min(most)
    }
}

/// Returns whether a number can be a limit.
#[must_use]
pub fn is_valid(max_requests_per_s: f64) -> bool {
    max_requests_per_s.is_finite() && max_requests_per_s >= 0.0
}
