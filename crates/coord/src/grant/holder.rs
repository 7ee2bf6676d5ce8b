//! The holder, which requests slots of one target for the calls of one instance.

use std::error::Error;

use displaydoc::Display;

use super::GrantReply;
use super::GrantRequest;
use super::GrantSettings;
use super::TargetView;
use crate::Millis;

/// Permission to run one call, returned with [`GrantHolder::release`].
#[derive(Debug)]
#[must_use]
pub struct Slot {
    start_before: Millis,
}

impl Slot {
    /// Returns whether the call may still start. The caller checks it immediately before it writes
    /// the call, because the instance may have been paused since the slot was acquired.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        now < self.start_before
    }
}

/// A violated invariant of a holder.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HolderError {
    /// holder has a valid grant of {0} slots without having sent a request
    GrantWithoutRequest(u32),
}

impl Error for HolderError {}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Millis,
}

/// The holder's side of the grants of one target.
#[derive(Debug)]
pub struct GrantHolder {
    settings: GrantSettings,
    boot_id: u64,
    sequence: u64,
    held: u32,
    expires_at: Millis,
    in_use: u32,
    waiting: u32,
    /// The highest number of needed slots since the last request. It is requested instead of the
    /// current need, so that short dips do not change the demand.
    peak_needed: u32,
    /// The number of calls that were started since the last request.
    calls_started: u32,
    /// Upper bound of the slots that the owner reserves for this holder.
    reserved: u32,
    /// The number of waiting calls without a slot at the last request, lowered when some of them have
    /// got a slot or ended since.
    requested_unmet: u32,
    last_request_at: Option<Millis>,
    last_reply_at: Millis,
    /// Whether a request is due because the owner asked for it, the owner changed, or the owner
    /// reserves more slots than this holder has.
    needs_request: bool,
    blocked: bool,
    /// Until when other holders are assumed to wait for slots.
    contended_until: Millis,
    pending: Option<Pending>,
    view: TargetView,
}

impl GrantHolder {
    /// Creates a holder without slots. `boot_id` differs each time the instance starts.
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
            peak_needed: 0,
            calls_started: 0,
            reserved: 0,
            requested_unmet: 0,
            last_request_at: None,
            last_reply_at: Millis::ZERO,
            needs_request: false,
            blocked: false,
            contended_until: Millis::ZERO,
            pending: None,
            view: TargetView::default(),
        }
    }

    /// Acquires a slot for a call that starts now, if one is free.
    pub fn try_acquire(&mut self, now: Millis) -> Option<Slot> {
        if self.free(now) == 0 {
            return None;
        }
        self.in_use += 1;
        self.peak_needed = self.peak_needed.max(self.needed());
        self.calls_started = self.calls_started.saturating_add(1);
        Some(Slot {
            start_before: self.expires_at,
        })
    }

    /// Returns the slot of a call that has ended or was not started.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a slot can be released only once"
    )]
    pub fn release(&mut self, slot: Slot) {
        debug_assert!(
            self.in_use > 0,
            "{slot:?} was not acquired from this holder"
        );
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the number of slots that can be acquired now.
    #[must_use]
    pub fn free(&self, now: Millis) -> u32 {
        self.held(now).saturating_sub(self.in_use)
    }

    /// Returns the number of slots that were granted and have not expired.
    #[must_use]
    pub fn held(&self, now: Millis) -> u32 {
        if self.blocked || now >= self.expires_at {
            return 0;
        }
        self.held
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns whether no call runs or waits and the owner reserves nothing for this holder.
    ///
    /// An instance that stops using a target keeps the holder and polls it until it is idle.
    /// Otherwise the owner reserves the slots until it drops the silent holder.
    #[must_use]
    pub fn is_idle(&self, now: Millis) -> bool {
        let is_dropped = now >= self.last_reply_at + self.settings.holder_timeout_ms;
        self.needed() == 0 && (self.reserved == 0 || is_dropped)
    }

    /// Returns the state of the target by the owner's last reply.
    #[must_use]
    pub fn view(&self) -> TargetView {
        self.view
    }

    /// Sets the number of calls that wait for a slot of this target.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
        self.peak_needed = self.peak_needed.max(self.needed());
    }

    /// Sets whether the target is known to be shutting down or drained, so that no call may start.
    pub fn set_blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
    }

    /// Prepares the holder for a new owner, to which the caller sends all further requests. Replies
    /// of the previous owner are ignored.
    ///
    /// Held slots stay valid until they expire, and the next request reports them.
    pub fn change_owner(&mut self) {
        self.pending = None;
        self.needs_request = true;
    }

    /// Returns the request to send to the owner, or `None` while none is due.
    pub fn poll(&mut self, now: Millis) -> Option<GrantRequest> {
        self.requested_unmet = self.requested_unmet.min(self.unmet(now));
        if !self.is_due(now) {
            return None;
        }
        Some(self.create_request(now))
    }

    /// Handles a reply or prompt. Returns `false` if it is ignored, because it is for an earlier boot
    /// of the instance or does not belong to the last request.
    pub fn on_reply(&mut self, now: Millis, reply: &GrantReply) -> bool {
        if reply.holder_boot_id != self.boot_id {
            return false;
        }
        if reply.sequence == 0 {
            self.on_prompt(now, reply.contended);
            return true;
        }
        let is_reply_to = |pending: &Pending| pending.sequence == reply.sequence;
        let Some(pending) = self.pending.take_if(|pending| is_reply_to(pending)) else {
            return false;
        };
        self.last_reply_at = now;
        self.view = reply.view;
        self.reserved = reply.reserved;
        self.held = reply.slots;
        self.expires_at = pending.sent_at + reply.lifetime_ms;
        self.contended_until = Millis::ZERO;
        if reply.contended {
            self.contended_until = now + self.settings.renew_interval_ms;
        }
        // The owner grants the difference to others only after this holder has reported in a request
        // that it does not use it.
        self.needs_request |= reply.reserved > reply.slots.max(self.in_use);
        true
    }

    fn on_prompt(&mut self, now: Millis, contended: bool) {
        if !contended {
            self.needs_request = true;
            return;
        }
        self.contended_until = now + self.settings.renew_interval_ms;
        self.needs_request |= self.waiting > 0;
    }

    /// Checks the invariants of the holder.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
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

    /// Returns the number of waiting calls for which there is no slot.
    fn unmet(&self, now: Millis) -> u32 {
        let missing = self.needed().saturating_sub(self.held(now));
        missing.min(self.waiting)
    }

    /// Returns whether calls start so often that slots should be kept between them.
    ///
    /// A single call since the last request is not enough, because it is the one for which the slot
    /// was requested. Renewing after it would double the messages of an instance that calls many
    /// targets rarely.
    fn is_busy(&self) -> bool {
        self.calls_started >= 2
    }

    fn is_due(&self, now: Millis) -> bool {
        let Some(last_request_at) = self.last_request_at else {
            return self.needed() > 0;
        };
        let elapsed = now - last_request_at;
        let awaits_reply = self.pending.is_some() && elapsed < self.settings.reply_timeout_ms;
        if awaits_reply || elapsed < self.settings.min_message_interval_ms {
            return false;
        }
        let needed = self.needed();
        let owner_reserves =
            self.reserved > 0 && now < self.last_reply_at + self.settings.holder_timeout_ms;
        if self.needs_request && (needed > 0 || owner_reserves) {
            return true;
        }
        if self.unmet(now) > self.requested_unmet {
            return true;
        }
        // Slots that the owner reserves, but this holder does not need or may not use.
        let usable = self.held(now).max(self.in_use);
        let has_unused = owner_reserves && self.reserved > usable.min(needed);
        if has_unused && now < self.contended_until {
            return true;
        }
        if elapsed >= self.settings.report_interval_ms && self.in_use > 0 {
            return true;
        }
        let renews = self.is_busy() || self.waiting > 0;
        let returns_slots = owner_reserves && self.reserved > usable;
        elapsed >= self.settings.renew_interval_ms && (renews || returns_slots)
    }

    fn create_request(&mut self, now: Millis) -> GrantRequest {
        // A holder that is created again in the same process has to continue above the sequence
        // numbers of its predecessor. Those do not exceed the time in milliseconds, because requests
        // are at least 1 ms apart.
        self.sequence = (self.sequence + 1).max(now.0);
        let needed = self.needed();
        let wanted = if self.is_busy() && now >= self.contended_until {
            self.peak_needed.max(needed) + self.settings.spare_slots
        } else {
            needed
        };
        self.held = self.held(now).min(wanted);
        self.pending = Some(Pending {
            sequence: self.sequence,
            sent_at: now,
        });
        self.last_request_at = Some(now);
        self.needs_request = false;
        self.calls_started = 0;
        self.peak_needed = needed;
        self.requested_unmet = self.unmet(now);
        // The reply may be lost, so the owner may reserve all that is requested.
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
