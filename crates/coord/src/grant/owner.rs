//! The owner of one target, which grants its slots to holders.

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

/// Largest number of renewals that a holder may miss. If it misses more, only its running calls
/// count as its demand.
const MAX_MISSED_RENEWALS: u64 = 3;

/// A violated invariant of an owner.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OwnerError {
    /// {reserved} slots are reserved, but the bound is {bound}
    BoundExceeded {
        /// The sum of the reserved slots of all holders.
        reserved: u32,
        /// The allowed slots, or the remaining sum of earlier reservations if the allowed number
        /// has decreased below it.
        bound: u32,
    },
    /// holder {0:?} has a grant of more slots than are reserved for it
    GrantAboveReservation(Instance),
}

impl Error for OwnerError {}

#[derive(Clone, Debug)]
struct HolderState {
    boot_id: u64,
    previous_boot_id: Option<u64>,
    sequence: u64,
    last_request_at: Millis,
    prompted_at: Option<Millis>,
    /// When the holder was last told that other holders wait.
    contention_notified_at: Option<Millis>,
    in_use: u32,
    needed: u32,
    wanted: u32,
    /// The upper bound of max(granted, in use), which decreases only through a request.
    reserved: u32,
    /// The slots of the last reply, valid until `granted_until`.
    granted: u32,
    granted_until: Millis,
    is_dead: bool,
    /// The number of the holder's last turn. Holders with lower numbers are served first.
    turn: u64,
    /// When the current turn ends.
    turn_until: Millis,
}

impl HolderState {
    /// Returns whether the holder needs more slots than are reserved for it.
    fn is_waiting(&self) -> bool {
        !self.is_dead && self.needed > self.reserved
    }
}

/// The owner's side of the grants of one target.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    settings: GrantSettings,
    slow_start: SlowStart,
    blocked: bool,
    /// When the owner starts to grant new slots.
    new_grants_from: Millis,
    /// Whether the owner waits for earlier grants to expire because it was paused. Another owner may
    /// have taken over and granted slots that holders returned, so requests to keep held slots are
    /// refused.
    was_paused: bool,
    last_handled_at: Millis,
    holders: BTreeMap<Instance, HolderState>,
    turn_count: u64,
    /// The number of calls that the target reports beyond those of known holders.
    unattributed_calls: u32,
    /// The highest sums of reserved slots since the last report, and between the last two reports.
    highest_sums: [u32; 2],
    /// The upper bound of the sum of reserved slots.
    bound: u32,
}

impl GrantOwner {
    /// Creates an owner that takes over now.
    ///
    /// `is_first` says that no other instance can have granted slots of the target, because the
    /// target is new. Then the owner does not wait for earlier grants to expire.
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
            last_handled_at: now,
            holders: BTreeMap::new(),
            turn_count: 0,
            unattributed_calls: 0,
            highest_sums: [0; 2],
            bound: settings.slots_before_first_report,
        }
    }

    /// Switches slow start on or off. Existing grants change at their next renewal.
    pub fn set_slow_start(&mut self, enabled: bool) {
        self.settings.slow_start = enabled;
        self.slow_start.set_enabled(enabled);
    }

    /// Handles an input and returns the messages to send.
    pub fn handle(&mut self, now: Millis, input: OwnerInput) -> Vec<OwnerOutput> {
        self.detect_pause(now);
        self.drop_silent_holders(now);
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
                    state.is_dead = true;
                }
            }
            OwnerInput::Blocked(blocked) => self.blocked = blocked,
            OwnerInput::Tick => {}
        }
        let sum = self.reserved();
        self.highest_sums[0] = self.highest_sums[0].max(sum);
        // The bound decreases with the sum, but not below the allowed slots.
        self.bound = self.allowed(now).max(sum.min(self.bound));
        self.prompt_holders(now, &mut outputs);
        outputs
    }

    /// Returns the number of calls that may run at the target, 0 while new calls are blocked.
    #[must_use]
    pub fn allowed(&self, now: Millis) -> u32 {
        if self.blocked {
            return 0;
        }
        self.slow_start.allowed(now)
    }

    /// Returns the sum of the reserved slots of all holders.
    #[must_use]
    pub fn reserved(&self) -> u32 {
        self.holders
            .values()
            .fold(0, |sum, state| sum.saturating_add(state.reserved))
    }

    /// Returns whether the owner waits for the grants of an earlier owner to expire, and grants no
    /// new slots.
    #[must_use]
    pub fn is_waiting_for_expiry(&self, now: Millis) -> bool {
        now < self.new_grants_from
    }

    /// Returns the number of holders that the owner knows.
    #[must_use]
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Checks the invariants of the owner. They hold after each handled input.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn verify(&self) -> Result<(), OwnerError> {
        let reserved = self.reserved();
        if reserved > self.bound && !self.reported_beyond_bound() {
            let bound = self.bound;
            return Err(OwnerError::BoundExceeded { reserved, bound });
        }
        let above_reservation =
            |(_, state): &(&Instance, &HolderState)| state.granted > state.reserved;
        match self.holders.iter().find(above_reservation) {
            Some((&holder, _)) => Err(OwnerError::GrantAboveReservation(holder)),
            None => Ok(()),
        }
    }

    /// Returns whether the bound is exceeded only by slots that holders reported and this owner did
    /// not grant. An earlier owner granted them, or another owner that is active at the same time.
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
        if !self.record_request(now, holder, request) {
            return None;
        }
        let slots = self.slots_for(now, holder, request);
        let lifetime_ms = self.settings.lifetime_ms;
        let contended = self.others_wait(holder);
        let state = self.holders.get_mut(&holder)?;
        state.granted = slots;
        state.granted_until = now + lifetime_ms;
        state.reserved = state.reserved.max(slots);
        state.contention_notified_at = contended.then_some(now);
        if slots > 0 && now >= state.turn_until {
            self.turn_count += 1;
            state.turn = self.turn_count;
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

    /// Updates the state of a holder from its request, and returns `false` if the request is
    /// outdated.
    fn record_request(&mut self, now: Millis, holder: Instance, request: GrantRequest) -> bool {
        let initial = HolderState {
            boot_id: request.holder_boot_id,
            previous_boot_id: None,
            sequence: 0,
            last_request_at: now,
            prompted_at: None,
            contention_notified_at: None,
            in_use: 0,
            needed: 0,
            wanted: 0,
            reserved: 0,
            granted: 0,
            granted_until: Millis::ZERO,
            is_dead: false,
            turn: self.turn_count,
            turn_until: Millis::ZERO,
        };
        let state = self
            .holders
            .entry(holder)
            .or_insert_with(|| initial.clone());
        if state.boot_id != request.holder_boot_id {
            if state.previous_boot_id == Some(request.holder_boot_id) {
                return false;
            }
            let previous_boot_id = Some(state.boot_id);
            *state = HolderState {
                previous_boot_id,
                ..initial
            };
        }
        if request.sequence <= state.sequence {
            return false;
        }
        state.sequence = request.sequence;
        state.last_request_at = now;
        state.is_dead = false;
        state.in_use = request.in_use;
        state.needed = request.needed;
        state.wanted = request.wanted;
        // The request invalidates all earlier replies.
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
            // Calls that are not attributed to a holder yet may belong to holders that report next,
            // so they are not subtracted.
            return request.held.min(request.wanted).min(available);
        }
        let shares = self.shares(now);
        let mut share = shares.get(&holder).copied().unwrap_or(0);
        if !self.others_wait(holder) {
            // The shares may be based on old demands of other holders. None of them waits, so this
            // holder gets all that it needs if enough slots are available.
            share = share.max(request.needed);
        }
        share.min(available.saturating_sub(self.unattributed_calls))
    }

    /// Divides the slots among the holders. For a holder whose last request is old, only its
    /// running calls count as demand.
    fn shares(&self, now: Millis) -> BTreeMap<Instance, u32> {
        let recent_ms = self.settings.renew_interval_ms.times(MAX_MISSED_RENEWALS);
        let demand = |state: &HolderState| {
            let is_recent = !state.is_dead && now - state.last_request_at <= recent_ms;
            // A holder whose turn has not ended is served before all others, so it keeps its slots.
            let turn = if now < state.turn_until {
                0
            } else {
                state.turn
            };
            Demand {
                needed: if is_recent {
                    state.needed
                } else {
                    state.in_use
                },
                wanted: if is_recent {
                    state.wanted
                } else {
                    state.in_use
                },
                turn,
            }
        };
        let demands: Vec<Demand> = self.holders.values().map(demand).collect();
        let slots = self.allowed(now).saturating_sub(self.unattributed_calls);
        let shares = divide(slots, &demands);
        self.holders.keys().copied().zip(shares).collect()
    }

    /// Prompts holders to send a request: those whose grant exceeds their share after the allowed
    /// number decreased, those that may return slots while others wait, and those that wait while
    /// slots are available.
    fn prompt_holders(&mut self, now: Millis, outputs: &mut Vec<OwnerOutput>) {
        let allowed = self.allowed(now).saturating_sub(self.unattributed_calls);
        let sum = self.reserved();
        let is_exceeded = sum > allowed;
        if !is_exceeded && !self.holders.values().any(HolderState::is_waiting) {
            return;
        }
        let shares = self.shares(now);
        let mut available = allowed.saturating_sub(sum);
        let waiting_for_expiry = self.is_waiting_for_expiry(now);
        let already_notified: Vec<Instance> = outputs.iter().map(|output| output.holder).collect();
        for (&holder, state) in &mut self.holders {
            let share = shares.get(&holder).copied().unwrap_or(0);
            let granted = if now < state.granted_until {
                state.granted
            } else {
                0
            };
            let exceeds_share = is_exceeded && granted > share;
            let can_receive = !waiting_for_expiry
                && available > 0
                && state.is_waiting()
                && share > state.reserved;
            let recently_notified = state
                .contention_notified_at
                .is_some_and(|at| now < at + self.settings.renew_interval_ms);
            let may_return = state.reserved > 0 && !state.is_waiting() && !recently_notified;
            let recently_prompted = state
                .prompted_at
                .is_some_and(|at| now < at + self.settings.min_message_interval_ms.times(2));
            if !(exceeds_share || may_return || can_receive)
                || recently_prompted
                || state.is_dead
                || already_notified.contains(&holder)
            {
                continue;
            }
            if can_receive {
                available = available.saturating_sub(share - state.reserved);
            }
            state.prompted_at = Some(now);
            state.contention_notified_at = (!exceeds_share).then_some(now);
            let reply = GrantReply {
                holder_boot_id: state.boot_id,
                sequence: 0,
                slots: 0,
                reserved: state.reserved,
                lifetime_ms: Millis::ZERO,
                contended: !exceeds_share,
                view: self.slow_start.view(now),
            };
            outputs.push(OwnerOutput { holder, reply });
        }
    }

    fn others_wait(&self, except: Instance) -> bool {
        self.holders
            .iter()
            .any(|(&holder, state)| holder != except && state.is_waiting())
    }

    /// Detects that the owner was paused for longer than a grant is valid. Another owner may have
    /// granted slots in that time, so this owner waits again until such grants have expired.
    fn detect_pause(&mut self, now: Millis) {
        if now - self.last_handled_at > self.settings.lifetime_ms {
            self.new_grants_from =
                now + self.settings.lifetime_ms + self.settings.takeover_margin_ms;
            self.was_paused = true;
        } else if !self.is_waiting_for_expiry(now) {
            self.was_paused = false;
        }
        self.last_handled_at = now;
    }

    /// Drops holders that are dead or have been silent for long, once their grants have expired.
    fn drop_silent_holders(&mut self, now: Millis) {
        let settings = self.settings;
        let grant_expiry_ms = settings.lifetime_ms + settings.takeover_margin_ms;
        self.holders.retain(|_, state| {
            let silence = now - state.last_request_at;
            let is_dropped = silence > settings.holder_timeout_ms
                || (state.is_dead && silence > grant_expiry_ms);
            !is_dropped
        });
    }

    /// Computes from the target's last report how many calls are not from known holders.
    ///
    /// The report is older than the state of the holders, so it is compared with the highest recent
    /// sum.
    fn update_unattributed_calls(&mut self) {
        let sum = self.reserved();
        let highest = self.highest_sums[0].max(self.highest_sums[1]).max(sum);
        self.unattributed_calls = self.slow_start.load().saturating_sub(highest);
        self.highest_sums = [sum, self.highest_sums[0]];
    }
}
