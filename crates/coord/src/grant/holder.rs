//! The slots of one target at one instance that uses it.

use std::error::Error;

use displaydoc::Display;

use super::GrantReply;
use super::GrantRequest;
use super::GrantSettings;
use super::TargetView;
use crate::Millis;

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
    GrantWithoutRequest(u32),
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
    held: u32,
    expires_at: Millis,
    in_use: u32,
    waiting: u32,
    /// The highest need since the last request, which damps the demand.
    peak: u32,
    /// The calls that were started since the last request.
    starts: u32,
    /// What the owner may count for this holder.
    reserved: u32,
    /// The waiting calls without a slot that the owner has been asked for.
    asked: u32,
    sent_at: Option<Millis>,
    answered_at: Millis,
    hinted: bool,
    blocked: bool,
    contended_until: Millis,
    pending: Option<Pending>,
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
            held: 0,
            expires_at: Millis::ZERO,
            in_use: 0,
            waiting: 0,
            peak: 0,
            starts: 0,
            reserved: 0,
            asked: 0,
            sent_at: None,
            answered_at: Millis::ZERO,
            hinted: false,
            blocked: false,
            contended_until: Millis::ZERO,
            pending: None,
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
        self.starts = self.starts.saturating_add(1);
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
        if self.blocked || now >= self.expires_at {
            return 0;
        }
        self.held
    }

    /// Returns the calls that run.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns whether no call runs or waits and the owner counts nothing for this holder.
    ///
    /// An instance that stops using a target keeps the holder and polls it until then; otherwise
    /// the owner counts its slots until it forgets the silent holder.
    #[must_use]
    pub fn is_idle(&self, now: Millis) -> bool {
        let forgotten = now >= self.answered_at + self.settings.forget_after_ms;
        self.needed() == 0 && (self.reserved == 0 || forgotten)
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
    pub fn set_blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
    }

    /// Reports to another owner from now on; answers of the previous owner are ignored.
    ///
    /// The slots that are held stay valid until they expire, and the next request reports them.
    pub fn change_owner(&mut self) {
        self.pending = None;
        self.hinted = true;
    }

    /// Returns the request to send to the owner, if one is due.
    pub fn poll(&mut self, now: Millis) -> Option<GrantRequest> {
        self.asked = self.asked.min(self.unmet(now));
        if !self.is_due(now) {
            return None;
        }
        Some(self.request(now))
    }

    /// Takes an answer or hint, and returns whether it was used.
    pub fn on_reply(&mut self, now: Millis, reply: &GrantReply) -> bool {
        if reply.holder_boot_id != self.boot_id {
            return false;
        }
        if reply.sequence == 0 {
            self.on_hint(now, reply.contended);
            return true;
        }
        let answered = |pending: &Pending| pending.sequence == reply.sequence;
        let Some(pending) = self.pending.take_if(|pending| answered(pending)) else {
            return false;
        };
        self.answered_at = now;
        self.view = reply.view;
        self.reserved = reply.reserved;
        self.held = reply.slots;
        self.expires_at = pending.sent_at + reply.lifetime_ms;
        self.contended_until = Millis::ZERO;
        if reply.contended {
            self.contended_until = now + self.settings.renew_interval_ms;
        }
        // The owner passes on slots that it took back only after this is confirmed.
        self.hinted |= reply.reserved > reply.slots.max(self.in_use);
        true
    }

    fn on_hint(&mut self, now: Millis, contended: bool) {
        if !contended {
            self.hinted = true;
            return;
        }
        self.contended_until = now + self.settings.renew_interval_ms;
        self.hinted |= self.waiting > 0;
    }

    /// Checks the holder's invariants.
    ///
    /// # Errors
    ///
    /// Returns the contradiction that was found.
    pub fn verify(&self, now: Millis) -> Result<(), HolderError> {
        let held = self.held(now);
        if held > 0 && self.sequence == 0 {
            return Err(HolderError::GrantWithoutRequest(held));
        }
        Ok(())
    }

    fn needed(&self) -> u32 {
        self.in_use.saturating_add(self.waiting)
    }

    /// Returns the waiting calls for which there is no slot.
    fn unmet(&self, now: Millis) -> u32 {
        let missing = self.needed().saturating_sub(self.held(now));
        missing.min(self.waiting)
    }

    /// Returns whether calls start so often that slots are worth keeping between them.
    ///
    /// The single call for which slots were asked for does not count; renewing after it would
    /// double the messages of an instance that calls many targets rarely.
    fn is_busy(&self) -> bool {
        self.starts >= 2
    }

    fn is_due(&self, now: Millis) -> bool {
        let Some(sent_at) = self.sent_at else {
            return self.needed() > 0;
        };
        let since = now - sent_at;
        let awaits = self.pending.is_some() && since < self.settings.reply_timeout_ms;
        if awaits || since < self.settings.min_message_interval_ms {
            return false;
        }
        let needed = self.needed();
        let owner_counts =
            self.reserved > 0 && now < self.answered_at + self.settings.forget_after_ms;
        if self.hinted && (needed > 0 || owner_counts) {
            return true;
        }
        if self.unmet(now) > self.asked {
            return true;
        }
        // What the owner counts, and this holder does not need or may not use.
        let usable = self.held(now).max(self.in_use);
        let unused = owner_counts && self.reserved > usable.min(needed);
        if unused && now < self.contended_until {
            return true;
        }
        if since >= self.settings.report_interval_ms && self.in_use > 0 {
            return true;
        }
        let renews = self.is_busy() || self.waiting > 0;
        let gives_back = owner_counts && self.reserved > usable;
        since >= self.settings.renew_interval_ms && (renews || gives_back)
    }

    fn request(&mut self, now: Millis) -> GrantRequest {
        // A holder that is created again in the same process continues above its old numbers, since
        // the numbers of the old one cannot be ahead of the time in milliseconds.
        self.sequence = (self.sequence + 1).max(now.0);
        let needed = self.needed();
        let wanted = if self.is_busy() && now >= self.contended_until {
            self.peak.max(needed) + self.settings.spare_slots
        } else {
            needed
        };
        self.held = self.held(now).min(wanted);
        self.pending = Some(Pending {
            sequence: self.sequence,
            sent_at: now,
        });
        self.sent_at = Some(now);
        self.hinted = false;
        self.starts = 0;
        self.peak = needed;
        self.asked = self.unmet(now);
        // The answer may be lost, so the owner may count all that is asked for.
        self.reserved = self.reserved.max(wanted);
        GrantRequest {
            holder_boot_id: self.boot_id,
            sequence: self.sequence,
            held: self.held,
            in_use: self.in_use,
            needed,
            wanted,
        }
    }
}
