//! Messages of one sender: which were received before, and how long each of them took.

use crate::serving::target_view::messages::MessageStamp;
use arbutus_coord::Millis;

/// Number of messages before the latest one that may still arrive.
const WINDOW: u32 = u64::BITS;

/// What is known of the messages of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SenderState {
    incarnation: u32,
    latest_sequence: u32,
    /// Bit `n` is set if message `latest_sequence - n` was received.
    received: u64,
    /// Smallest difference between the local time of arrival and the uptime of the sender, that is
    /// the difference between their clocks and the shortest delay. Offset by `u32::MAX`, so that it
    /// is not negative.
    least_difference_ms: Option<u64>,
}

impl SenderState {
    /// Returns when a message was sent, on the local clock, or `None` if it was received before or
    /// is too old for that to be known.
    ///
    /// A message that waits in a connection, for instance while its sender is frozen, must not pass
    /// for a recent one. The delay is known in relation to the fastest message of the sender.
    pub(super) fn accept(&mut self, now: Millis, stamp: MessageStamp) -> Option<Millis> {
        if self.latest_sequence == 0 || stamp.sender_incarnation != self.incarnation {
            *self = Self {
                incarnation: stamp.sender_incarnation,
                ..Self::default()
            };
        }
        if stamp.sequence > self.latest_sequence {
            let distance = stamp.sequence - self.latest_sequence;
            self.received = if distance < WINDOW {
                self.received << distance | 1
            } else {
                1
            };
            self.latest_sequence = stamp.sequence;
        } else {
            let distance = self.latest_sequence - stamp.sequence;
            if distance >= WINDOW || self.received & (1 << distance) != 0 {
                return None;
            }
            self.received |= 1 << distance;
        }
        let difference_ms = (now.0 + u64::from(u32::MAX)).saturating_sub(stamp.sender_uptime_ms.0);
        let least_ms = self
            .least_difference_ms
            .map_or(difference_ms, |least_ms| least_ms.min(difference_ms));
        self.least_difference_ms = Some(least_ms);
        Some(now - Millis(difference_ms - least_ms))
    }
}
