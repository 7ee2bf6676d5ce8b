//! The owner of one target, which divides its slots.

use std::collections::BTreeMap;
use std::error::Error;

use displaydoc::Display;

use super::Demand;
use super::GrantReply;
use super::GrantRequest;
use super::GrantSettings;
use super::OwnerInput;
use super::OwnerOutput;
use super::SlowStart;
use super::divide;
use crate::Millis;
use crate::entity::Instance;

/// How many renewals a holder may miss before its demand no longer counts in the division.
const MISSED_RENEWALS: u64 = 3;

/// A state that contradicts the owner's invariants.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OwnerError {
    /// {reserved} slots are reserved, but only {bound} may be
    BoundExceeded {
        /// The sum over all holders.
        reserved: u32,
        /// The allowed slots, or the earlier sum if it was higher before the allowed number fell.
        bound: u32,
    },
    /// holder {0:?} was granted more slots than are reserved for it
    GrantAboveReservation(Instance),
}

impl Error for OwnerError {}

#[derive(Clone, Debug)]
struct HolderState {
    boot_id: u64,
    previous_boot_id: Option<u64>,
    sequence: u64,
    seen_at: Millis,
    hinted_at: Option<Millis>,
    /// When the holder was told last that others wait.
    told_at: Option<Millis>,
    in_use: u32,
    needed: u32,
    wanted: u32,
    /// The upper bound of max(granted, in use), which falls only because of a report.
    reserved: u32,
    /// The slots of the last answer, and until when they are valid.
    granted: u32,
    granted_until: Millis,
    gone: bool,
    turn: u64,
    turn_until: Millis,
}

impl HolderState {
    /// Returns whether calls wait for slots.
    fn waits(&self) -> bool {
        !self.gone && self.needed > self.reserved
    }
}

/// The owner's side of the slots of one target.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    settings: GrantSettings,
    slow_start: SlowStart,
    blocked: bool,
    new_grants_from: Millis,
    /// Whether the owner settles because it was paused. Another owner may have taken over and give
    /// out what holders give back, so what they hold is not confirmed.
    was_paused: bool,
    handled_at: Millis,
    holders: BTreeMap<Instance, HolderState>,
    turns: u64,
    /// The calls that the target reports beyond those of known holders.
    unattributed_calls: u32,
    /// The highest sums since the last report and in the interval before it.
    recent_sums: [u32; 2],
    /// The bound that the sum of reserved slots must keep.
    bound: u32,
}

impl GrantOwner {
    /// Creates an owner that takes over now.
    ///
    /// `first` says that no other instance can have granted slots of the target before, because it
    /// is new; then the owner does not wait for earlier grants to expire.
    #[must_use]
    pub fn new(now: Millis, settings: GrantSettings, is_first: bool) -> Self {
        let new_grants_from = if is_first {
            now
        } else {
            now + settings.lifetime_ms + settings.takeover_margin_ms
        };
        Self {
            settings,
            slow_start: SlowStart::new(settings),
            blocked: false,
            new_grants_from,
            was_paused: false,
            handled_at: now,
            holders: BTreeMap::new(),
            turns: 0,
            unattributed_calls: 0,
            recent_sums: [0; 2],
            bound: settings.slots_before_first_report,
        }
    }

    /// Switches slow start on or off; grants follow at their next renewal.
    pub fn set_slow_start(&mut self, enabled: bool) {
        self.settings.slow_start = enabled;
        self.slow_start.set_enabled(enabled);
    }

    /// Takes an input and returns the messages to send.
    pub fn handle(&mut self, now: Millis, input: OwnerInput) -> Vec<OwnerOutput> {
        self.detect_pause(now);
        self.forget_silent(now);
        let mut outputs = Vec::new();
        match input {
            OwnerInput::Report(report) => {
                if self.slow_start.on_report(now, report) {
                    self.update_unattributed_calls();
                }
            }
            OwnerInput::SuspectCold => self.slow_start.suspect_cold(),
            OwnerInput::Request { holder, request } => {
                outputs.extend(self.on_request(now, holder, request));
            }
            OwnerInput::HolderDead(holder) => {
                if let Some(state) = self.holders.get_mut(&holder) {
                    state.gone = true;
                }
            }
            OwnerInput::Blocked(blocked) => self.blocked = blocked,
            OwnerInput::Tick => {}
        }
        let sum = self.reserved();
        self.recent_sums[0] = self.recent_sums[0].max(sum);
        // The bound falls with the sum, and never below the allowed slots.
        self.bound = self.allowed(now).max(sum.min(self.bound));
        self.hint(now, &mut outputs);
        outputs
    }

    /// Returns the number of calls that may run at the target.
    #[must_use]
    pub fn allowed(&self, now: Millis) -> u32 {
        if self.blocked {
            return 0;
        }
        self.slow_start.allowed(now)
    }

    /// Returns the sum over all holders of max(granted, in use), as far as the owner knows.
    #[must_use]
    pub fn reserved(&self) -> u32 {
        self.holders
            .values()
            .fold(0, |sum, state| sum.saturating_add(state.reserved))
    }

    /// Returns whether the owner waits for the grants of an earlier owner to expire.
    #[must_use]
    pub fn is_waiting_for_expiry(&self, now: Millis) -> bool {
        now < self.new_grants_from
    }

    /// Returns the number of holders that are remembered.
    #[must_use]
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Checks the owner's invariants after an input was handled.
    ///
    /// # Errors
    ///
    /// Returns the contradiction that was found.
    pub fn verify(&self) -> Result<(), OwnerError> {
        let reserved = self.reserved();
        if reserved > self.bound && !self.reported_beyond_bound() {
            let bound = self.bound;
            return Err(OwnerError::BoundExceeded { reserved, bound });
        }
        let uncounted = |(_, state): &(&Instance, &HolderState)| state.granted > state.reserved;
        match self.holders.iter().find(uncounted) {
            Some((&holder, _)) => Err(OwnerError::GrantAboveReservation(holder)),
            None => Ok(()),
        }
    }

    /// Returns whether holders reported slots that this owner did not grant, which an earlier
    /// owner, or another one that acts at the same time, granted.
    fn reported_beyond_bound(&self) -> bool {
        let granted = self.holders.values().map(|state| state.granted);
        granted.fold(0, u32::saturating_add) <= self.bound
    }

    fn on_request(
        &mut self,
        now: Millis,
        holder: Instance,
        request: GrantRequest,
    ) -> Option<OwnerOutput> {
        if !self.observe(now, holder, request) {
            return None;
        }
        let slots = self.slots_for(now, holder, request);
        let lifetime_ms = self.settings.lifetime_ms;
        let contended = self.has_waiting(holder);
        let state = self.holders.get_mut(&holder)?;
        state.granted = slots;
        state.granted_until = now + lifetime_ms;
        state.reserved = state.reserved.max(slots);
        state.told_at = contended.then_some(now);
        if slots > 0 && now >= state.turn_until {
            self.turns += 1;
            state.turn = self.turns;
            state.turn_until = now + self.settings.turn_duration_ms;
        }
        let reply = GrantReply {
            holder_boot_id: request.holder_boot_id,
            sequence: request.sequence,
            slots,
            reserved: state.reserved,
            lifetime_ms,
            contended,
            view: self.slow_start.view(now),
        };
        Some(OwnerOutput { holder, reply })
    }

    /// Updates what is known about a holder, and returns whether the request is news.
    fn observe(&mut self, now: Millis, holder: Instance, request: GrantRequest) -> bool {
        let fresh = HolderState {
            boot_id: request.holder_boot_id,
            previous_boot_id: None,
            sequence: 0,
            seen_at: now,
            hinted_at: None,
            told_at: None,
            in_use: 0,
            needed: 0,
            wanted: 0,
            reserved: 0,
            granted: 0,
            granted_until: Millis::ZERO,
            gone: false,
            turn: self.turns,
            turn_until: Millis::ZERO,
        };
        let state = self.holders.entry(holder).or_insert_with(|| fresh.clone());
        if state.boot_id != request.holder_boot_id {
            if state.previous_boot_id == Some(request.holder_boot_id) {
                return false;
            }
            let previous_boot_id = Some(state.boot_id);
            *state = HolderState {
                previous_boot_id,
                ..fresh
            };
        }
        if request.sequence <= state.sequence {
            return false;
        }
        state.sequence = request.sequence;
        state.seen_at = now;
        state.gone = false;
        state.in_use = request.in_use;
        state.needed = request.needed;
        state.wanted = request.wanted;
        // The request made all earlier answers void.
        state.granted = 0;
        state.reserved = request.in_use.max(request.held);
        true
    }

    fn slots_for(&self, now: Millis, holder: Instance, request: GrantRequest) -> u32 {
        let others = self
            .holders
            .iter()
            .filter(|&(&other, _)| other != holder)
            .fold(0_u32, |sum, (_, state)| sum.saturating_add(state.reserved));
        let available = self.allowed(now).saturating_sub(others);
        if self.is_waiting_for_expiry(now) {
            if self.was_paused {
                return 0;
            }
            // The calls that seem to be unattributed_calls may be those of holders that report next.
            return request.held.min(request.wanted).min(available);
        }
        let shares = self.shares(now);
        let mut share = shares.get(&holder).copied().unwrap_or(0);
        if !self.has_waiting(holder) {
            // The demands of the others may be out of date, but none of them waits.
            share = share.max(request.needed);
        }
        share.min(available.saturating_sub(self.unattributed_calls))
    }

    /// Divides the slots among the holders whose demand is recent.
    fn shares(&self, now: Millis) -> BTreeMap<Instance, u32> {
        let recent_ms = self.settings.renew_interval_ms.times(MISSED_RENEWALS);
        let demand = |state: &HolderState| {
            let recent = !state.gone && now - state.seen_at <= recent_ms;
            // A holder keeps the slots of its turn before others get theirs.
            let turn = if now < state.turn_until {
                0
            } else {
                state.turn
            };
            Demand {
                needed: if recent { state.needed } else { state.in_use },
                wanted: if recent { state.wanted } else { state.in_use },
                turn,
            }
        };
        let demands: Vec<Demand> = self.holders.values().map(demand).collect();
        let slots = self.allowed(now).saturating_sub(self.unattributed_calls);
        let shares = divide(slots, &demands);
        self.holders.keys().copied().zip(shares).collect()
    }

    /// Asks holders to report: all whose grant is above their share after the allowed number fell,
    /// those that may have slots to give back while others wait, and those that wait while slots
    /// are available.
    fn hint(&mut self, now: Millis, outputs: &mut Vec<OwnerOutput>) {
        let allowed = self.allowed(now).saturating_sub(self.unattributed_calls);
        let sum = self.reserved();
        let excess = sum > allowed;
        if !excess && !self.holders.values().any(HolderState::waits) {
            return;
        }
        let shares = self.shares(now);
        let mut available = allowed.saturating_sub(sum);
        let waiting_for_expiry = self.is_waiting_for_expiry(now);
        let answered: Vec<Instance> = outputs.iter().map(|output| output.holder).collect();
        for (&holder, state) in &mut self.holders {
            let share = shares.get(&holder).copied().unwrap_or(0);
            let granted = if now < state.granted_until {
                state.granted
            } else {
                0
            };
            let shrinks = excess && granted > share;
            let gets =
                !waiting_for_expiry && available > 0 && state.waits() && share > state.reserved;
            let told = state
                .told_at
                .is_some_and(|at| now < at + self.settings.renew_interval_ms);
            let gives_back = state.reserved > 0 && !state.waits() && !told;
            let hinted = state
                .hinted_at
                .is_some_and(|at| now < at + self.settings.min_message_interval_ms.times(2));
            if !(shrinks || gives_back || gets)
                || hinted
                || state.gone
                || answered.contains(&holder)
            {
                continue;
            }
            if gets {
                available = available.saturating_sub(share - state.reserved);
            }
            state.hinted_at = Some(now);
            state.told_at = (!shrinks).then_some(now);
            let reply = GrantReply {
                holder_boot_id: state.boot_id,
                sequence: 0,
                slots: 0,
                reserved: state.reserved,
                lifetime_ms: Millis::ZERO,
                contended: !shrinks,
                view: self.slow_start.view(now),
            };
            outputs.push(OwnerOutput { holder, reply });
        }
    }

    fn has_waiting(&self, except: Instance) -> bool {
        self.holders
            .iter()
            .any(|(&holder, state)| holder != except && state.waits())
    }

    /// Starts to settle again after a pause in which another owner may have acted.
    fn detect_pause(&mut self, now: Millis) {
        if now - self.handled_at > self.settings.lifetime_ms {
            self.new_grants_from =
                now + self.settings.lifetime_ms + self.settings.takeover_margin_ms;
            self.was_paused = true;
        } else if !self.is_waiting_for_expiry(now) {
            self.was_paused = false;
        }
        self.handled_at = now;
    }

    /// Forgets holders that are dead or have been silent for long, once their grants have expired.
    fn forget_silent(&mut self, now: Millis) {
        let settings = self.settings;
        let grants_end = settings.lifetime_ms + settings.takeover_margin_ms;
        self.holders.retain(|_, state| {
            let silent = now - state.seen_at;
            let forgotten =
                silent > settings.forget_after_ms || (state.gone && silent > grants_end);
            !forgotten
        });
    }

    /// Updates the calls of unknown holders from the target's report.
    ///
    /// The report lags behind, so it is compared with the highest recent sum.
    fn update_unattributed_calls(&mut self) {
        let sum = self.reserved();
        let highest = self.recent_sums[0].max(self.recent_sums[1]).max(sum);
        self.unattributed_calls = self.slow_start.load().saturating_sub(highest);
        self.recent_sums = [sum, self.recent_sums[0]];
    }
}
