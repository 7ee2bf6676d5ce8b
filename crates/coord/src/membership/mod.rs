//! Failure detection and dissemination inside and across failure domains.
//!
//! [`Membership`] follows SWIM: an instance probes one member of its own failure domain each
//! period and one of another failure domain each fourth period. A member that answers neither
//! directly nor through others becomes suspect, and dead unless it refutes the suspicion with a
//! higher incarnation. Statements about members are piggybacked on the probes, those that were
//! sent least often first.
//!
//! Invariants:
//!
//! - Statements about a name are ordered by boot identifier, incarnation and state. An entry is
//!   only replaced by a statement of higher order, so a restarted process is never confused with
//!   the old one and late messages change nothing.
//! - Only the member itself raises its incarnation.
//! - The work and the traffic per period do not depend on the number of members.

mod detector;
mod message;
mod receive;
mod ring;
mod table;

pub use detector::Membership;
pub use message::CompactUpdate;
pub use message::Digests;
pub use message::Member;
pub use message::MemberState;
pub use message::Message;
pub use message::Packet;

use std::net::SocketAddr;

use crate::Millis;

/// The longest accepted name of an instance, a failure domain or a deployment, in bytes.
///
/// With the piggybacked entries it bounds the size of a datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// The timing of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSpec {
    /// The time between two probes.
    pub probe_period_ms: Millis,
    /// The time after which an unanswered probe is repeated through other members.
    pub ack_timeout_ms: Millis,
    /// The time in which a suspect member can refute the suspicion. An instance that itself ran
    /// later than this regards itself as suspect.
    pub suspicion_ms: Millis,
    /// The number of periods for each probe of another failure domain.
    pub periods_per_cross_domain_probe: u64,
    /// The number of periods for each probe of a dead member or a seed.
    pub periods_per_reconnect: u64,
    /// The number of members that repeat an unanswered probe.
    pub indirect_probe_count: usize,
    /// How long a dead member is remembered. It exceeds the longest partition that is expected
    /// (one hour), so that both sides find each other again without the platform's list.
    pub dead_retention_ms: Millis,
    /// The largest sum of the sizes of piggybacked members, in bytes.
    pub max_piggyback_bytes: usize,
}

impl Default for MembershipSpec {
    fn default() -> Self {
        Self {
            probe_period_ms: Millis(500),
            ack_timeout_ms: Millis(150),
            suspicion_ms: Millis(2_000),
            periods_per_cross_domain_probe: 4,
            periods_per_reconnect: 8,
            indirect_probe_count: 3,
            dead_retention_ms: Millis(2 * 60 * 60 * 1_000),
            max_piggyback_bytes: 600,
        }
    }
}

/// An input of [`Membership`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The time that [`Membership::wake_at`] named has come.
    Tick,
    /// A packet arrived.
    Received {
        /// The address of the sender.
        from: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// Addresses of other instances from the settings and the platform's list; they replace
    /// those of an earlier call.
    Seeds(&'a [SocketAddr]),
    /// A peer answered a request for members.
    Members(&'a [Member]),
    /// This instance takes no new work any more.
    Leave,
}

/// An output of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A packet has to be sent.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The packet, without the digests of documents and drains.
        packet: Packet,
    },
    /// Members have to be requested from a peer; [`Membership::buckets`] goes with the request,
    /// and [`Membership::members_in_differing_buckets`] answers it.
    FetchMembers {
        /// The address of the peer.
        from: SocketAddr,
    },
    /// The entry of another member changed.
    MemberChanged(Member),
    /// This instance began or ceased to regard itself as suspect.
    SelfSuspect(bool),
    /// A later process with the name of this instance exists; this one has to end.
    Superseded {
        /// The boot identifier of the other process.
        boot_id: u64,
    },
}

/// From which members a random choice is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Members of the own failure domain.
    OwnDomain,
    /// Members of all failure domains.
    All,
}
