//! The slots of one target at one instance that uses it.

use std::collections::VecDeque;
use std::error::Error;

use displaydoc::Display;

use super::GrantReply;
use super::GrantRequest;
use super::GrantSettings;
use super::TargetView;
use crate::Millis;

/// How many requests without an answer are remembered.
const MAX_PENDING: usize = 8;

/// The permission to run one call; it is given back with [`GrantHolder::release`].
#[derive(Debug)]
#[must_use]
pub struct Slot {
    start_before: Millis,
}

impl Slot {
    /// Returns whether the call may still start; it is checked right before the call is written,
    /// because the instance may have been paused since the slot was taken.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        now < self.start_before
    }
}

/// A state that contradicts the holder's invariants.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HolderError {
    /// a grant of {0} slots is valid without an answer to a request
    Unfounded(u32),
}

impl Error for HolderError {}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Millis,
}

/// One instance's side of the slots of one target.
#[derive(Debug)]
pub struct GrantHolder {
    settings: GrantSettings,
    boot_id: u64,
    sequence: u64,
    applied: u64,
    held: u32,
    expires_at: Millis,
    in_use: u32,
    waiting: u32,
    /// The highest need since the last request, which damps the demand.
    peak: u32,
    /// Whether a call was started since the last request.
    started: bool,
    /// What the owner may count for this holder.
    counted: u32,
    last_needed: u32,
    sent_at: Option<Millis>,
    answered_at: Millis,
    hinted: bool,
    closed: bool,
    pending: VecDeque<Pending>,
    view: TargetView,
}

impl GrantHolder {
    /// Creates a holder without slots; `boot_id` differs each time the instance starts.
    #[must_use]
    pub fn new(settings: GrantSettings, boot_id: u64) -> Self {
        Self {
            settings,
            boot_id,
            sequence: 0,
            applied: 0,
            held: 0,
            expires_at: Millis::ZERO,
            in_use: 0,
            waiting: 0,
            peak: 0,
            started: false,
            counted: 0,
            last_needed: 0,
            sent_at: None,
            answered_at: Millis::ZERO,
            hinted: false,
            closed: false,
            pending: VecDeque::new(),
            view: TargetView::default(),
        }
    }

    /// Takes a slot for a call that starts now.
    pub fn try_acquire(&mut self, now: Millis) -> Option<Slot> {
        if self.free(now) == 0 {
            return None;
        }
        self.in_use += 1;
        self.peak = self.peak.max(self.needed());
        self.started = true;
        Some(Slot {
            start_before: self.expires_at,
        })
    }

    /// Gives back the slot of a call that has ended, or that was not started.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a slot can be given back only once"
    )]
    pub fn release(&mut self, slot: Slot) {
        debug_assert!(self.in_use > 0, "{slot:?} was not taken here");
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the slots that can be taken now.
    #[must_use]
    pub fn free(&self, now: Millis) -> u32 {
        self.held(now).saturating_sub(self.in_use)
    }

    /// Returns the slots that were granted and have not expired.
    #[must_use]
    pub fn held(&self, now: Millis) -> u32 {
        if self.closed || now >= self.expires_at {
            return 0;
        }
        self.held
    }

    /// Returns the calls that run.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns what the owner last said about the target.
    #[must_use]
    pub fn view(&self) -> TargetView {
        self.view
    }

    /// Sets the number of calls that wait for a slot of this target.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
        self.peak = self.peak.max(self.needed());
    }

    /// Sets whether the target is known to be leaving or drained, so that no call may start.
    pub fn set_closed(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Reports to another owner from now on; answers of the previous owner are ignored.
    ///
    /// The slots that are held stay valid until they expire, and the next request reports them.
    pub fn change_owner(&mut self) {
        self.applied = self.sequence;
        self.pending.clear();
        self.hinted = true;
    }

    /// Returns the request to send to the owner, if one is due.
    pub fn poll(&mut self, now: Millis) -> Option<GrantRequest> {
        if !self.is_due(now) {
            return None;
        }
        Some(self.request(now))
    }

    /// Takes an answer, and returns whether it was used.
    pub fn on_reply(&mut self, now: Millis, reply: &GrantReply) -> bool {
        if reply.holder_boot_id != self.boot_id {
            return false;
        }
        if reply.sequence == 0 {
            self.hinted = true;
            return true;
        }
        let answered = |pending: &&Pending| pending.sequence == reply.sequence;
        let Some(pending) = self.pending.iter().find(answered).copied() else {
            return false;
        };
        self.pending
            .retain(|pending| pending.sequence > reply.sequence);
        self.answered_at = now;
        self.view = reply.view;
        self.counted = reply.counted;
        // After a request that gave up everything, `applied` already covers the answer.
        if reply.sequence > self.applied {
            self.applied = reply.sequence;
            self.held = reply.slots;
            self.expires_at = pending.sent_at + reply.lifetime_ms;
            // The owner passes on slots that it took back only after this is confirmed.
            self.hinted |= reply.counted > reply.slots.max(self.in_use);
        }
        true
    }

    /// Checks the holder's invariants.
    ///
    /// # Errors
    ///
    /// Returns the contradiction that was found.
    pub fn verify(&self, now: Millis) -> Result<(), HolderError> {
        let held = self.held(now);
        if held > 0 && self.applied == 0 {
            return Err(HolderError::Unfounded(held));
        }
        Ok(())
    }

    fn needed(&self) -> u32 {
        self.in_use.saturating_add(self.waiting)
    }

    fn is_due(&self, now: Millis) -> bool {
        let Some(sent_at) = self.sent_at else {
            return self.needed() > 0;
        };
        let since = now - sent_at;
        if since < self.settings.min_interval_ms {
            return false;
        }
        let needed = self.needed();
        let held = self.held(now);
        let owner_counts = self.counted > 0 && now < self.answered_at + self.settings.forget_ms;
        if self.hinted && (needed > 0 || owner_counts) {
            return true;
        }
        if needed > held && self.waiting > 0 && needed > self.last_needed {
            return true;
        }
        if since >= self.settings.report_ms && self.in_use > 0 {
            return true;
        }
        let renews = self.started || self.waiting > 0;
        let gives_back = owner_counts && self.counted > held.max(self.in_use);
        since >= self.settings.renew_ms && (renews || gives_back)
    }

    fn request(&mut self, now: Millis) -> GrantRequest {
        self.sequence += 1;
        let needed = self.needed();
        let active = self.started || self.waiting > 0;
        let wanted = if active {
            self.peak.max(needed) + self.settings.spare_slots
        } else {
            needed
        };
        if wanted == 0 {
            self.applied = self.sequence;
            self.held = 0;
        }
        let in_use = self.in_use;
        let held = self.held(now);
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            sequence: self.sequence,
            sent_at: now,
        });
        self.sent_at = Some(now);
        self.hinted = false;
        self.started = false;
        self.peak = needed;
        self.last_needed = needed;
        // The answer may be lost, so the owner may count all that is asked for.
        self.counted = self.counted.max(wanted);
        GrantRequest {
            holder_boot_id: self.boot_id,
            sequence: self.sequence,
            applied: self.applied,
            held,
            in_use,
            needed,
            wanted,
        }
    }
}
