//! Messages of one sender: which were received before, and how long each of them took.

use crate::serving::target_view::messages::MessageStamp;
use arbutus_coord::Millis;

/// Number of messages before the latest one that may still arrive.
const WINDOW: u32 = u64::BITS;
/// For how long the shortest delay is kept. A clock that stops while its machine is suspended makes
/// all later messages look delayed until then.
const DELAY_PERIOD_MS: Millis = Millis(10_000);

/// What is known of the messages of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SenderState {
    incarnation: u32,
    previous_incarnation: Option<u32>,
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
    /// Returns when a message was sent, on the local clock, or `None` if it was received before or
    /// is too old for that to be known.
    ///
    /// A message that waits in a connection, for instance while its sender is frozen, must not pass
    /// for a recent one. The delay is known in relation to the fastest message of the sender.
    pub(super) fn accept(&mut self, now: Millis, stamp: MessageStamp) -> Option<Millis> {
        if self.previous_incarnation == Some(stamp.sender_incarnation) {
            return None;
        }
        if self.latest_sequence == 0 {
            self.incarnation = stamp.sender_incarnation;
        } else if stamp.sender_incarnation != self.incarnation {
            *self = Self {
                incarnation: stamp.sender_incarnation,
                previous_incarnation: Some(self.incarnation),
                ..Self::default()
            };
        }
        if stamp.sequence > self.latest_sequence {
            let distance = stamp.sequence - self.latest_sequence;
            let earlier = if distance < WINDOW {
                self.received << distance
            } else {
                0
            };
            self.received = earlier | 1;
            self.latest_sequence = stamp.sequence;
        } else {
            let distance = self.latest_sequence - stamp.sequence;
            if distance >= WINDOW || self.received & (1 << distance) != 0 {
                return None;
            }
            self.received |= 1 << distance;
        }
        Some(now - self.delay.record(now, stamp.sender_uptime_ms))
    }
}

impl DelayEstimate {
    /// Records a message; returns by how much longer it took than the fastest recent one.
    fn record(&mut self, now: Millis, sender_uptime_ms: Millis) -> Millis {
        let difference_ms = i128::from(now.0) - i128::from(sender_uptime_ms.0);
        if self.period_began_at + DELAY_PERIOD_MS < now {
            self.previous_ms = self.current_ms.take();
            self.period_began_at = now;
        }
        let current_ms = self
            .current_ms
            .map_or(difference_ms, |least_ms| least_ms.min(difference_ms));
        self.current_ms = Some(current_ms);
        let least_ms = self
            .previous_ms
            .map_or(current_ms, |least_ms| least_ms.min(current_ms));
        Millis(u64::try_from(difference_ms - least_ms).unwrap_or_default())
    }
}
