//! Messages of one run of a sender: which were received before, and how long each of them took.

use std::ops::Range;

use crate::serving::target_view::messages::MessageStamp;
use arbutus_coord::Millis;

/// Number of messages before the latest one that may still arrive.
const WINDOW: u32 = u64::BITS;
/// For how long the shortest delay is kept. A clock that stops while its machine is suspended makes
/// all later messages look delayed until then.
const DELAY_PERIOD_MS: Millis = Millis(10_000);

/// What is known of the messages of one run of a sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct SenderState {
    pub(super) last_received_at: Millis,
    latest_sequence: u32,
    /// Bit `n` is set if message `latest_sequence - n` was received.
    received: u64,
    delay: DelayEstimate,
}

/// The smallest differences between the local time of arrival and the uptime of the sender, in this
/// period and the previous one. Each is the difference between the clocks and the shortest delay.
#[derive(Clone, Copy, Debug, Default)]
struct DelayEstimate {
    period_began_at: Millis,
    current_ms: Option<i128>,
    previous_ms: Option<i128>,
}

impl SenderState {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last_received_at: now,
            latest_sequence: 0,
            received: 0,
            delay: DelayEstimate::default(),
        }
    }

    /// Returns when a message was sent, on the local clock, or `None` if it was received before, is
    /// too old for that to be known, or has a delay that is not known.
    ///
    /// A message that waits in a connection, for instance while its sender is frozen, must not pass
    /// for a recent one. The delay is known in relation to the fastest message of the sender.
    /// `distrusted` is a period in which messages may have waited for this instance.
    pub(super) fn accept(
        &mut self,
        now: Millis,
        stamp: MessageStamp,
        distrusted: Option<&Range<Millis>>,
    ) -> Option<Millis> {
        self.last_received_at = now;
        if !self.mark_received(stamp.sequence) {
            return None;
        }
        if distrusted.is_some_and(|period| period.contains(&now)) {
            // Messages that waited for this instance do not show the shortest delay.
            let excess_ms = self.delay.excess_ms(now, stamp.sender_uptime_ms)?;
            return Some(now - excess_ms);
        }
        self.delay.record(now, stamp.sender_uptime_ms);
        let excess_ms = self.delay.excess_ms(now, stamp.sender_uptime_ms)?;
        Some(now - excess_ms)
    }

    /// Returns false if a message was received before or is too old for that to be known.
    fn mark_received(&mut self, sequence: u32) -> bool {
        if sequence > self.latest_sequence {
            let distance = sequence - self.latest_sequence;
            let earlier = if distance < WINDOW {
                self.received << distance
            } else {
                0
            };
            self.received = earlier | 1;
            self.latest_sequence = sequence;
        } else {
            let distance = self.latest_sequence - sequence;
            if distance >= WINDOW || self.received & (1 << distance) != 0 {
                return false;
            }
            self.received |= 1 << distance;
        }
        true
    }
}

impl DelayEstimate {
    fn record(&mut self, now: Millis, sender_uptime_ms: Millis) {
        if self.period_began_at + DELAY_PERIOD_MS < now {
            self.previous_ms = self.current_ms.take();
            self.period_began_at = now;
        }
        let difference_ms = difference_ms(now, sender_uptime_ms);
        let least_ms = self
            .current_ms
            .map_or(difference_ms, |least_ms| least_ms.min(difference_ms));
        self.current_ms = Some(least_ms);
    }

    /// Returns by how much longer a message took than the fastest recent one, or `None` if there was
    /// no other one.
    fn excess_ms(&self, now: Millis, sender_uptime_ms: Millis) -> Option<Millis> {
        let least_ms = [self.previous_ms, self.current_ms]
            .into_iter()
            .flatten()
            .min()?;
        let excess_ms = difference_ms(now, sender_uptime_ms) - least_ms;
        Some(Millis(u64::try_from(excess_ms).unwrap_or_default()))
    }
}

fn difference_ms(now: Millis, sender_uptime_ms: Millis) -> i128 {
    i128::from(now.0) - i128::from(sender_uptime_ms.0)
}
