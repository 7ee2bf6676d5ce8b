//! UDP messages between instances.
//!
//! A datagram starts with a byte for the protocol version and stays under
//! [`MAX_DATAGRAM_BYTES`], so it is not fragmented on an ordinary network. Malformed input and
//! other versions give an error value.

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::PROTOCOL_VERSION;
use crate::decode_exact;
use arbutus_coord::Millis;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::grant;
use arbutus_coord::membership::CompactUpdate;
use arbutus_coord::membership::Digests;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::Message;
use arbutus_coord::membership::Packet;
use arbutus_policy::limits::LimitDemand;
use arbutus_policy::limits::LimitPath;

pub use arbutus_policy::quarantine::QuarantineEntry;

/// The size that every datagram stays under.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One UDP message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The name of the deployment; a receiver drops messages of others.
    pub cluster: String,
    /// The name of the sender.
    pub sender: String,
    /// The boot identifier of the sender.
    pub boot_id: u64,
    /// What the sender knows.
    pub digests: Digests,
    /// The message itself.
    pub body: DatagramBody,
    /// Piggybacked statements about members.
    pub members: Vec<Member>,
    /// Piggybacked statements about members that most instances know.
    pub compact_updates: Vec<CompactUpdate>,
    /// Piggybacked drains.
    pub drains: Vec<DrainEntry>,
}

/// The message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Failure detection: ping, acknowledgement, request for an indirect ping, notice.
    Membership(Message),
    /// Requests for slots of targets that the receiver owns.
    GrantRequest(Vec<TargetGrantRequest>),
    /// Slots that the sender grants to the receiver.
    GrantReply(Vec<TargetGrantReply>),
    /// Requests that crashed targets.
    Quarantine(Vec<QuarantineEntry>),
    /// What the sender needs of limits that the receiver divides.
    LimitDemand(Vec<LimitDemandEntry>),
    /// The receiver's shares of limits that the sender divides.
    LimitShare(Vec<LimitShareEntry>),
}

/// What an instance needs of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDemandEntry {
    /// The demand.
    pub demand: LimitDemand,
    /// The sender's time of the report, which the answer repeats.
    pub reported_at: Millis,
}

/// An instance's share of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitShareEntry {
    /// The level.
    pub path: LimitPath,
    /// The requests that the instance may have in progress.
    pub share: u32,
    /// The time of the report that is answered.
    pub reported_at: Millis,
    /// How long the share is valid after the report.
    pub valid_ms: Millis,
}

/// A request for slots of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrantRequest {
    /// The name of the target.
    pub target: String,
    /// The request.
    pub request: grant::GrantRequest,
}

/// An answer to a [`TargetGrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrantReply {
    /// The name of the target.
    pub target: String,
    /// The answer.
    pub reply: grant::GrantReply,
}

/// A datagram that could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DatagramError {
    /// the datagram is empty
    Empty,
    /// the datagram has the protocol version {0}
    Version(u8),
    /// the datagram has {0} bytes, which is more than the limit
    TooLarge(usize),
    /// the datagram is malformed: {0}
    Malformed(postcard::Error),
}

impl std::error::Error for DatagramError {}

impl Datagram {
    /// Creates a datagram from a packet of the membership state machine.
    #[must_use]
    pub fn from_packet(cluster: &str, packet: Packet) -> Self {
        Self {
            cluster: cluster.to_owned(),
            sender: packet.sender,
            boot_id: packet.boot_id,
            digests: packet.digests,
            body: DatagramBody::Membership(packet.message),
            members: packet.members,
            compact_updates: packet.compact_updates,
            drains: packet.drains,
        }
    }

    /// Splits the datagram into a packet for the membership state machine and the other body.
    ///
    /// A body that is not for membership turns into a notice, so the digests are always used.
    #[must_use]
    pub fn into_packet(self) -> (Packet, Option<DatagramBody>) {
        let (message, body) = match self.body {
            DatagramBody::Membership(message) => (message, None),
            other => (Message::Gossip, Some(other)),
        };
        let packet = Packet {
            sender: self.sender,
            boot_id: self.boot_id,
            digests: self.digests,
            message,
            members: self.members,
            compact_updates: self.compact_updates,
            drains: self.drains,
        };
        (packet, body)
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram would reach [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let bytes = vec![PROTOCOL_VERSION];
        let bytes = postcard::to_extend(self, bytes).map_err(DatagramError::Malformed)?;
        if bytes.len() >= MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error for another protocol version and for malformed input.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (&version, rest) = bytes.split_first().ok_or(DatagramError::Empty)?;
        if bytes.len() >= MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge(bytes.len()));
        }
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::Version(version));
        }
        decode_exact(rest).map_err(DatagramError::Malformed)
    }
}
