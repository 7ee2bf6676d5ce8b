//! Pauses that targets ask an instance for when they refuse a request.
//!
//! The pause counts for this instance only, and no response ends it early. Requests that wait for
//! its end are let through one after the other, so that the target is not flooded again.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// Longest pause that is granted. A target that asks for more gets a request after this time and
/// can ask again.
pub const MAX_BACKOFF_MS: Millis = Millis(3_600_000);
/// Time after a pause in which requests are let through one after the other.
const RAMP_MS: Millis = Millis(1_000);
/// Interval of the requests in that time.
const RAMP_INTERVAL_MS: Millis = Millis(100);

#[derive(Debug)]
struct Backoff {
    until: Millis,
    /// Number of requests since the end of the pause.
    sent_after_end: u64,
}

impl Backoff {
    fn is_over(&self, now: Millis) -> bool {
        now >= self.until + RAMP_MS
    }
}

/// The pauses of all targets, as known to one instance.
#[derive(Debug, Default)]
pub struct TargetBackoffs {
    backoffs: BTreeMap<String, Backoff>,
}

impl TargetBackoffs {
    /// Records that a target asked for a pause now; returns the pause that it gets.
    ///
    /// Of several pauses, the one that ends last counts.
    pub fn record(&mut self, now: Millis, target: &str, requested_ms: Millis) -> Millis {
        let until = now + requested_ms.min(MAX_BACKOFF_MS);
        let backoff = self.backoffs.entry(target.to_owned());
        let backoff = backoff.or_insert(Backoff {
            until,
            sent_after_end: 0,
        });
        if backoff.until <= now {
            backoff.sent_after_end = 0;
        }
        backoff.until = backoff.until.max(until);
        backoff.until - now
    }

    /// Returns the time until a request may be sent to a target; zero if it may now.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, target: &str) -> Millis {
        let Some(backoff) = self
            .backoffs
            .get(target)
            .filter(|known| !known.is_over(now))
        else {
            return Millis::ZERO;
        };
        let next_at = backoff.until + RAMP_INTERVAL_MS.times(backoff.sent_after_end);
        next_at.min(backoff.until + RAMP_MS) - now
    }

    /// Returns whether the pause of a target lasts. A request that [`Self::wait_ms`] let through must
    /// not be sent if a pause has begun since.
    #[must_use]
    pub fn is_paused(&self, now: Millis, target: &str) -> bool {
        let backoff = self.backoffs.get(target);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Records that a request is about to be sent to a target.
    pub fn record_send(&mut self, now: Millis, target: &str) {
        if let Some(backoff) = self.backoffs.get_mut(target)
            && backoff.until <= now
        {
            backoff.sent_after_end += 1;
        }
    }

    /// Forgets the pauses that have ended, and returns the number of those that last.
    pub fn expire(&mut self, now: Millis) -> usize {
        self.backoffs.retain(|_, backoff| !backoff.is_over(now));
        let lasting = self.backoffs.values().filter(|known| known.until > now);
        lasting.count()
    }
}
