//! Failure detection, and dissemination of member updates, within and across failure domains.
//!
//! [`Membership`] implements the SWIM protocol. In each period, an instance probes one member of
//! its local failure domain, and in every fourth period also one of another failure domain. A
//! member that acknowledges neither a direct probe nor one relayed by other members becomes
//! suspect. It becomes dead unless it refutes the suspicion in time with a higher incarnation.
//! Updates about members are piggybacked on the probes, starting with those that were sent least
//! often.
//!
//! Invariants:
//!
//! - Updates about a member are ordered by boot identifier, incarnation and state, and an entry is
//!   only replaced by an update that ranks higher. A restarted process is therefore never confused
//!   with the earlier one, and delayed messages change nothing.
//! - Only the member itself raises its incarnation.
//! - The work and the traffic in each period do not grow with the number of members.

mod detector;
mod message;
mod probe_order;
mod receive;
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
/// Datagrams contain such names, so this limit is needed to bound their size.
pub const MAX_NAME_BYTES: usize = 64;

/// The timing and the limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSpec {
    /// The time between two probes of members of the local failure domain.
    pub probe_period_ms: Millis,
    /// The time after which an unacknowledged probe is repeated through other members.
    pub ack_timeout_ms: Millis,
    /// The time in which a suspect member can refute the suspicion. An instance whose own tick
    /// is overdue by more than this time has been paused and regards itself as suspect.
    pub suspicion_ms: Millis,
    /// The number of periods between two probes of other failure domains.
    pub periods_per_cross_domain_probe: u64,
    /// The number of periods between two attempts to reach a dead member and a seed.
    pub periods_per_reconnect: u64,
    /// The number of members that are asked to relay an unacknowledged probe.
    pub indirect_probe_count: usize,
    /// How long the entry of a dead member is kept. It exceeds the longest expected partition (one
    /// hour), so that both sides find each other again without the platform's list.
    pub dead_retention_ms: Millis,
    /// The largest encoded size of all member updates in a packet, in bytes.
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
    /// The time returned by [`Membership::wake_at`] has been reached.
    Tick,
    /// A packet arrived.
    Received {
        /// The address of the sender.
        from: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// Addresses of other instances from the settings and from the platform's list. They replace
    /// the seeds of an earlier input.
    Seeds(&'a [SocketAddr]),
    /// A peer replied to [`Output::FetchMembers`].
    Members(&'a [Member]),
    /// This instance is shutting down and takes no new work.
    Leave,
}

/// An output of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The caller has to send a packet.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The packet; the caller adds the digests of documents and drains.
        packet: Packet,
    },
    /// The caller has to request members from a peer. The request carries
    /// [`Membership::digest_buckets`], and the peer replies with
    /// [`Membership::members_in_differing_buckets`].
    FetchMembers {
        /// The address of the peer.
        from: SocketAddr,
    },
    /// The entry of another member changed.
    MemberChanged(Member),
    /// Whether this instance now regards itself as suspect. `true` after a pause, in which its
    /// peers may have declared it dead; `false` once a peer has acknowledged it or it has no peers.
    SelfSuspect(bool),
    /// A later process has the name of this instance, so this process has to exit.
    Superseded {
        /// The boot identifier of the later process.
        boot_id: u64,
    },
}

/// The failure domains from which random members are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The failure domain of this instance.
    LocalDomain,
    /// All failure domains.
    All,
}
