//! Grants: the capacity of one target, in slots for concurrent calls, divided among the instances
//! that use it.
//!
//! One instance is the owner of the target ([`GrantOwner`]). It decides how many calls may run
//! there ([`SlowStart`]) and grants slots for a limited time to the instances that request them,
//! the holders ([`GrantHolder`]). Messages may be lost, duplicated and reordered, and instances may
//! pause at any time.
//!
//! Invariants:
//!
//! - While there is a single owner, the sum over all holders of max(granted, in use) does not
//!   increase above the number of allowed slots. When that number decreases, the sum follows within
//!   the lifetime of a grant, apart from calls that already run.
//! - A holder starts no call after its grant has expired by its own clock. It measures the lifetime
//!   from the time when it sent the request, and the owner from the time when it replied, so the
//!   grant always expires at the holder first.
//! - The owner keeps an upper bound of max(granted, in use) for each holder, the reserved slots.
//!   The bound decreases only when the holder sends a request, never because time has passed. The
//!   owner drops the whole bound of a holder that is dead or has been silent for longer than any
//!   call. Calls that the target reports beyond those of known holders also reduce the available
//!   slots.

mod holder;
mod owner;
mod share;
mod slow_start;

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;
use crate::entity::Instance;

pub use holder::GrantHolder;
pub use holder::HolderError;
pub use holder::Slot;
pub use owner::GrantOwner;
pub use owner::OwnerError;
pub use share::Demand;
pub use share::divide;
pub use slow_start::SlowStart;

/// Settings of owners and holders. All instances of a failure domain use the same values.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// How long a grant is valid after the holder sent its request.
    pub lifetime_ms: Millis,
    /// How much longer than `lifetime_ms` a new owner waits before it grants new slots.
    pub takeover_margin_ms: Millis,
    /// The interval at which a holder renews a grant that it uses.
    pub renew_interval_ms: Millis,
    /// The interval at which a holder that starts no new calls reports those that still run.
    pub report_interval_ms: Millis,
    /// The shortest interval between two requests of a holder. Prompts to a holder are at least
    /// twice as far apart.
    pub min_message_interval_ms: Millis,
    /// How long a holder waits for a reply before it sends another request.
    pub reply_timeout_ms: Millis,
    /// How long a holder keeps its slots before others get a turn, when holders outnumber slots.
    pub turn_duration_ms: Millis,
    /// The time without a request after which the owner drops a holder that membership has not
    /// declared dead. Longer than the longest call, so that no call of a dropped holder still runs.
    pub holder_timeout_ms: Millis,
    /// The age above which a target's report is stale and the target counts as cold.
    pub stale_after_ms: Millis,
    /// The allowed slots of a target that has not reported yet.
    pub slots_before_first_report: u32,
    /// The slots that a busy holder requests beyond its highest recent need, unless holders compete
    /// for slots.
    pub spare_slots: u32,
    /// Whether a target is limited to its slow-start window. If not, its full capacity is allowed.
    pub slow_start: bool,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            lifetime_ms: Millis(1_500),
            takeover_margin_ms: Millis(500),
            renew_interval_ms: Millis(500),
            report_interval_ms: Millis(3_000),
            min_message_interval_ms: Millis(10),
            reply_timeout_ms: Millis(100),
            turn_duration_ms: Millis(500),
            holder_timeout_ms: Millis(60_000),
            stale_after_ms: Millis(1_000),
            slots_before_first_report: 1,
            spare_slots: 1,
            slow_start: true,
        }
    }
}

/// A target's report of its load and capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The boot identifier of the target, which differs each time it starts.
    pub boot_id: u64,
    /// Whether the target has finished its cold start.
    pub warm: bool,
    /// The number of calls that the target can execute at the same time when it is warm.
    pub capacity: u32,
    /// The number of calls that the target can execute at the same time during its cold start.
    pub cold_capacity: u32,
    /// The number of calls that the target is executing.
    pub in_flight: u32,
    /// The number of calls that wait at the target.
    pub queued: u32,
    /// The time since the target measured these values.
    pub age_ms: Millis,
}

/// A holder's request for slots, which also reports its state.
///
/// It invalidates the replies to all earlier requests, whether they have arrived or not: until this
/// request is answered, the holder may use only `held` slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The boot identifier of the holder's instance, which differs each time it starts.
    pub holder_boot_id: u64,
    /// The sequence number, which increases with each request of the holder to any owner.
    pub sequence: u64,
    /// The slots from earlier replies that the holder keeps until they expire.
    pub held: u32,
    /// The number of running calls.
    pub in_use: u32,
    /// The number of calls that run or wait.
    pub needed: u32,
    /// The number of slots that the holder requests, at least `needed`; 0 returns all slots.
    pub wanted: u32,
}

/// The owner's reply to a request, or a prompt: an unsolicited message that asks the holder for a
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The boot identifier of the holder to which the message is addressed.
    pub holder_boot_id: u64,
    /// The sequence number of the request, or 0 for a prompt.
    pub sequence: u64,
    /// The number of slots that the holder may use.
    pub slots: u32,
    /// The slots that the owner reserves for the holder. If they exceed both `slots` and the calls
    /// that the holder runs, the holder sends another request, so that the owner can grant the
    /// difference to others.
    #[serde(rename = "counted")]
    pub reserved: u32,
    /// How long the slots are valid, from when the holder sent the request.
    pub lifetime_ms: Millis,
    /// Whether other holders wait for slots. Then the holder returns slots as soon as calls end.
    ///
    /// A prompt with this flag asks for a request only if the holder has waiting calls or unused
    /// slots. A prompt without it always asks for a request.
    pub contended: bool,
    /// What the owner knows about the target, used for load balancing.
    pub view: TargetView,
}

/// State of a target as its owner reports it to holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// The boot identifier of the target, or 0 if it has not reported.
    pub boot_id: u64,
    /// Whether the target has reported recently that it is warm.
    pub warm: bool,
    /// The number of calls that may run at the target now.
    pub allowed: u32,
    /// The number of calls that ran or waited at the target by its last report.
    pub load: u32,
}

/// Input of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerInput {
    /// The target reported its load.
    Report(TargetReport),
    /// Calls to the target became slow or failed, as they do when it is cold.
    SuspectCold,
    /// A holder requests slots.
    Request {
        /// The instance that sent the request.
        holder: Instance,
        /// The request.
        request: GrantRequest,
    },
    /// Membership declared this holder dead.
    HolderDead(Instance),
    /// Whether new calls are blocked, because the target or its failure domain is shutting down or
    /// drained.
    Blocked(bool),
    /// Time has passed.
    Tick,
}

/// A message that an owner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerOutput {
    /// The holder to which the message is sent.
    pub holder: Instance,
    /// The reply or prompt.
    pub reply: GrantReply,
}
