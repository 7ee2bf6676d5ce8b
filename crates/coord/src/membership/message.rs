//! What instances tell each other about members.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::document;
use crate::drain::DrainEntry;
use crate::rendezvous::stable_hash;

/// What an instance regards a member as, in ascending order of precedence.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member answers and takes new work.
    Alive,
    /// The member answers, finishes its work and takes no new work.
    Leaving,
    /// The member did not answer; it is dead unless it refutes the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// What an instance knows about one member, and tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The unique name.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The address for other instances.
    pub peer_address: SocketAddr,
    /// The address for callers and operators.
    pub http_address: SocketAddr,
    /// The identifier of the process; a later process of the same name has a higher one.
    pub boot_id: u64,
    /// The number by which the member itself overrides what others say about it.
    pub incarnation: u64,
    /// The state.
    pub state: MemberState,
}

impl Member {
    /// Returns the order in which statements about the same name override each other.
    #[must_use]
    pub fn precedence(&self) -> (u64, u64, MemberState) {
        (self.boot_id, self.incarnation, self.state)
    }

    /// Returns the digest of name and boot identifier.
    #[must_use]
    pub fn process_hash(&self) -> [u8; 8] {
        let mut bytes = Vec::with_capacity(self.name.len() + 8);
        bytes.extend_from_slice(&self.boot_id.to_be_bytes());
        bytes.extend_from_slice(self.name.as_bytes());
        stable_hash(&bytes).to_be_bytes()
    }

    /// Returns the statement for a receiver that knows the member.
    #[must_use]
    pub fn compact_update(&self) -> CompactUpdate {
        CompactUpdate {
            process_hash: self.process_hash(),
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    /// Returns an upper bound of the encoded size, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        // Two addresses of up to 20 bytes, two numbers of up to 10, two lengths and the state.
        const FIXED_BYTES: usize = 65;
        FIXED_BYTES + self.name.len() + self.failure_domain.len()
    }
}

/// A statement about a member that the receiver knows; unknown ones are ignored.
///
/// It takes a fifth of the bytes of a [`Member`], so that the many statements of a partition or
/// of its heal spread within the bandwidth for control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactUpdate {
    /// The digest of name and boot identifier.
    pub process_hash: [u8; 8],
    /// The incarnation.
    pub incarnation: u64,
    /// The state.
    pub state: MemberState,
}

impl CompactUpdate {
    /// Returns the encoded size, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        const KEY_AND_STATE_BYTES: usize = 9;
        let bits = u64::BITS - self.incarnation.leading_zeros();
        KEY_AND_STATE_BYTES + bits.div_ceil(7).max(1) as usize
    }

    /// Returns the statement about a member whose key is that of this statement.
    #[must_use]
    pub fn to_member(&self, known: &Member) -> Member {
        Member {
            incarnation: self.incarnation,
            state: self.state,
            ..known.clone()
        }
    }
}

/// A message of the failure detector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for an acknowledgement.
    Ping {
        /// The number that the acknowledgement repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        sequence: u64,
        /// The boot identifier of the instance that answered the ping.
        boot_id: u64,
        /// Whether the answering instance has an entry for this process of the sender.
        knows_sender: bool,
    },
    /// Asks the receiver to ping a member and to pass on its acknowledgement.
    PingRequest {
        /// The number that the acknowledgement repeats.
        sequence: u64,
        /// The address of the member to ping.
        address: SocketAddr,
    },
    /// Carries only the digests and the piggybacked entries, and asks for no answer.
    Gossip,
}

/// Digests of what the sender knows; a receiver that is behind pulls the difference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// The versions of the documents.
    pub documents: document::Versions,
    /// The digest of the drain table.
    pub drains: u64,
    /// The digest of the members that are not dead.
    pub members: u64,
}

/// A message with its sender, the digests and the piggybacked entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The name of the sender.
    pub sender: String,
    /// The boot identifier of the sender.
    pub boot_id: u64,
    /// What the sender knows.
    pub digests: Digests,
    /// The message.
    pub message: Message,
    /// Piggybacked statements about members.
    pub members: Vec<Member>,
    /// Piggybacked statements about members that most instances know.
    pub compact_updates: Vec<CompactUpdate>,
    /// Piggybacked drains.
    pub drains: Vec<DrainEntry>,
}
