//! Messages of the failure detector and the member entries that they carry.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::document;
use crate::drain::DrainEntry;
use crate::rendezvous::stable_hash;

/// The state of a member as another instance sees it, in ascending order of precedence.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member acknowledges probes and takes new work.
    Alive,
    /// The member acknowledges probes and is shutting down: it completes its work and takes no new
    /// work.
    Leaving,
    /// The member acknowledged neither a direct nor a relayed probe; it becomes dead unless it
    /// refutes the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// An entry of the member table, which is also sent to other instances as an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The unique name of the instance.
    pub name: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The address for other instances (UDP and TCP).
    pub peer_address: SocketAddr,
    /// The address for HTTP requests of clients and operators.
    pub http_address: SocketAddr,
    /// The boot identifier, which identifies the process; a later process with the same name has a
    /// higher one.
    pub boot_id: u64,
    /// A number that only the member itself raises, in order to override updates about it.
    pub incarnation: u64,
    /// The state as the sender of the entry sees it.
    pub state: MemberState,
}

impl Member {
    /// Returns the rank of this entry; an update overrides an entry with the same name and a lower
    /// rank.
    #[must_use]
    pub fn precedence(&self) -> (u64, u64, MemberState) {
        (self.boot_id, self.incarnation, self.state)
    }

    /// Returns the hash of name and boot identifier.
    #[must_use]
    pub fn process_hash(&self) -> [u8; 8] {
        let mut bytes = Vec::with_capacity(self.name.len() + 8);
        bytes.extend_from_slice(&self.boot_id.to_be_bytes());
        bytes.extend_from_slice(self.name.as_bytes());
        stable_hash(&bytes).to_be_bytes()
    }

    /// Returns the update in compact form, for receivers that have an entry of the process.
    #[must_use]
    pub fn compact_update(&self) -> CompactUpdate {
        CompactUpdate {
            process_hash: self.process_hash(),
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    /// Returns an upper bound on the encoded size, in bytes.
    #[must_use]
    pub fn max_encoded_bytes(&self) -> usize {
        // Two addresses of up to 20 bytes, two numbers of up to 10 bytes, the lengths of the two
        // names and the state.
        const FIXED_BYTES: usize = 65;
        FIXED_BYTES + self.name.len() + self.failure_domain.len()
    }
}

/// An update about a member without its names and addresses.
///
/// A receiver that has no entry of the process ignores it. It is encoded in a fifth of the bytes of
/// a [`Member`], so that the many updates at the start and the end of a partition spread within
/// the bandwidth for control messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactUpdate {
    /// The hash of name and boot identifier; see [`Member::process_hash`].
    pub process_hash: [u8; 8],
    /// The incarnation to which the update refers.
    pub incarnation: u64,
    /// The state as the sender sees it.
    pub state: MemberState,
}

impl CompactUpdate {
    /// Returns the encoded size, in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        const HASH_AND_STATE_BYTES: usize = 9;
        let bits = u64::BITS - self.incarnation.leading_zeros();
        HASH_AND_STATE_BYTES + bits.div_ceil(7).max(1) as usize
    }

    /// Returns a copy of the known entry of the same process with the update applied.
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
        /// The sequence number that the acknowledgement has to contain.
        sequence: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
        /// The boot identifier of the instance that received the ping.
        boot_id: u64,
        /// Whether the acknowledging instance has an entry of the process that sent the ping, in
        /// which that process is neither suspect nor dead.
        knows_sender: bool,
    },
    /// Asks the receiver to ping a member and to relay the acknowledgement.
    PingRequest {
        /// The sequence number that the relayed acknowledgement has to contain.
        sequence: u64,
        /// The address of the member to ping.
        address: SocketAddr,
    },
    /// Carries only the digests and the piggybacked updates, and needs no reply.
    Gossip,
}

/// Digests of the sender's state. A receiver whose own digests differ exchanges the differing
/// state with the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// The versions of the documents.
    pub documents: document::Versions,
    /// The digest of the drain table.
    pub drains: u64,
    /// The digest of the members that are not dead.
    pub members: u64,
}

/// A message with its sender, the digests and the piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The name of the sender.
    pub sender: String,
    /// The boot identifier of the sender.
    pub boot_id: u64,
    /// The digests of the sender's state.
    pub digests: Digests,
    /// The message.
    pub message: Message,
    /// Piggybacked entries of members that the receiver may not know.
    pub members: Vec<Member>,
    /// Piggybacked updates about members that most instances know.
    pub compact_updates: Vec<CompactUpdate>,
    /// Piggybacked drain entries.
    pub drains: Vec<DrainEntry>,
}
