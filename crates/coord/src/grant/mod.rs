//! Slots: the capacity of one target divided among the instances that use it.
//!
//! The owner of a target ([`GrantOwner`]) decides how many calls may run at it ([`SlowStart`]) and
//! grants slots to the instances that ask ([`GrantHolder`]). Messages may be lost, repeated and
//! reordered, and instances may pause at any time.
//!
//! Invariants:
//!
//! - While one owner acts, the sum over all holders of max(granted, in use) does not rise above
//!   the number of allowed slots. When the allowed number falls, the sum falls within the lifetime
//!   of a grant, apart from calls that already run.
//! - A holder starts no call after its grant has expired by its own clock. It counts the lifetime
//!   from the moment when it sent the request, and the owner from the moment when it answered, so
//!   the holder's grant always expires first.
//! - The owner's count of a holder falls only because of the holder's own report, never because
//!   time has passed, until the owner forgets a holder that is dead or has been silent for longer
//!   than any call. Calls that the target reports beyond those of known holders are reserved, too.

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

/// Settings of owners and holders; all instances of a failure domain use the same.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// How long a grant is valid.
    pub lifetime_ms: Millis,
    /// How much longer than the lifetime a new owner waits before it grants new slots.
    pub takeover_margin_ms: Millis,
    /// How often a holder renews a grant that it uses.
    pub renew_interval_ms: Millis,
    /// How often a holder reports calls that run while it starts no new ones.
    pub report_interval_ms: Millis,
    /// The shortest time between two requests of a holder, or two hints to a holder.
    pub min_message_interval_ms: Millis,
    /// How long a holder waits for an answer before it asks again.
    pub reply_timeout_ms: Millis,
    /// How long a holder keeps its turn when there are more holders than slots.
    pub turn_duration_ms: Millis,
    /// After which silence the owner forgets a holder that membership has not declared dead; longer
    /// than the longest call, so that no call of a forgotten holder still runs.
    pub forget_after_ms: Millis,
    /// The age above which a target's report is stale.
    pub stale_after_ms: Millis,
    /// The slots of a target that has not reported yet.
    pub slots_before_first_report: u32,
    /// The slots that a holder asks for beyond its need, if nobody else needs them.
    pub spare_slots: u32,
    /// Whether a cold target is limited to its slow-start window.
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
            forget_after_ms: Millis(60_000),
            stale_after_ms: Millis(1_000),
            slots_before_first_report: 1,
            spare_slots: 1,
            slow_start: true,
        }
    }
}

/// A target's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// A value that changes each time the target starts.
    pub boot_id: u64,
    /// Whether the target has finished its cold start.
    pub warm: bool,
    /// The number of calls that a warm target can run at once.
    pub capacity: u32,
    /// The number of calls that a cold target can run at once.
    pub cold_capacity: u32,
    /// The number of calls that run.
    pub in_flight: u32,
    /// The number of calls that wait.
    pub queued: u32,
    /// The age of the figures.
    pub age_ms: Millis,
}

/// A holder's report and request for slots.
///
/// It makes the answers to all earlier requests void, whether they have arrived or not, so the
/// holder may use only `held` slots until this request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The boot identifier of the holder.
    pub holder_boot_id: u64,
    /// The number of the request, rising with each request of the holder for any owner.
    pub sequence: u64,
    /// The slots that the holder keeps of earlier answers until they expire.
    pub held: u32,
    /// The calls that run.
    pub in_use: u32,
    /// The calls that run or wait.
    pub needed: u32,
    /// The slots that the holder would like, at least `needed`; 0 gives up everything.
    pub wanted: u32,
}

/// The owner's answer, or a hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The boot identifier of the holder to which the answer is addressed.
    pub holder_boot_id: u64,
    /// The number of the request, or 0 for a hint.
    pub sequence: u64,
    /// The slots that the holder may use.
    pub slots: u32,
    /// What the owner counts for the holder; if it is more than the holder has, the holder reports
    /// again, so that the owner can pass on the difference.
    #[serde(rename = "counted")]
    pub reserved: u32,
    /// How long the slots are valid after the request was sent.
    pub lifetime_ms: Millis,
    /// Whether other holders wait for slots; then slots are given back as soon as calls end.
    ///
    /// A hint without this mark asks for a report in any case.
    pub contended: bool,
    /// What the owner knows about the target, for the choice among targets.
    pub view: TargetView,
}

/// What holders learn about a target from its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// The boot identifier of the target, or 0 if it has not reported.
    pub boot_id: u64,
    /// Whether the target has reported recently that it is warm.
    pub warm: bool,
    /// The calls that may run at the target at present.
    pub allowed: u32,
    /// The calls that run or wait at the target by its last report.
    pub load: u32,
}

/// What happens to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerInput {
    /// The target reported its load.
    Report(TargetReport),
    /// Calls to the target became slow or failed as if it were cold.
    SuspectCold,
    /// A holder asks for slots.
    Request {
        /// The holder.
        holder: Instance,
        /// Its request.
        request: GrantRequest,
    },
    /// Membership declared a holder dead.
    HolderDead(Instance),
    /// Whether the target, or its failure domain, is leaving or drained.
    Blocked(bool),
    /// Time has passed.
    Tick,
}

/// What an owner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerOutput {
    /// The receiver.
    pub holder: Instance,
    /// The answer or hint.
    pub reply: GrantReply,
}
