//! UDP messages between instances.
//!
//! A datagram starts with a byte for the protocol version and is smaller than
//! [`MAX_DATAGRAM_BYTES`], so that networks with the usual MTU do not fragment it. Decoding returns
//! an error for malformed input and for other protocol versions.

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

/// The exclusive upper bound of the size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One UDP message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The name of the deployment; a receiver of another deployment drops the datagram.
    pub cluster: String,
    /// The name of the sending instance.
    pub sender: String,
    /// The boot identifier of the sending instance.
    pub boot_id: u64,
    /// The digests of the sender's state.
    pub digests: Digests,
    /// The message.
    pub body: DatagramBody,
    /// Piggybacked entries of members that the receiver may not know.
    pub members: Vec<Member>,
    /// Piggybacked updates about members that most instances know.
    pub compact_updates: Vec<CompactUpdate>,
    /// Piggybacked drain entries.
    pub drains: Vec<DrainEntry>,
}

/// The message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// A message of the failure detector.
    Membership(Message),
    /// Requests for slots of targets that the receiver owns.
    GrantRequest(Vec<TargetGrantRequest>),
    /// Slots that the sender grants to the receiver, for targets that the sender owns.
    GrantReply(Vec<TargetGrantReply>),
    /// Entries for requests that crashed targets.
    Quarantine(Vec<QuarantineEntry>),
    /// The demand of the sender for limits whose shares the receiver allocates.
    LimitDemand(Vec<LimitDemandEntry>),
    /// The receiver's shares of limits whose shares the sender allocates.
    LimitShare(Vec<LimitShareEntry>),
}

/// The demand of an instance for one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDemandEntry {
    /// The limit and the demand for it.
    pub demand: LimitDemand,
    /// The time of this report by the sender's monotonic clock; the reply repeats it.
    pub reported_at: Millis,
}

/// An instance's share of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitShareEntry {
    /// The limit.
    pub path: LimitPath,
    /// The number of requests that the instance may have in progress at the same time.
    pub share: u32,
    /// The time of the [`LimitDemandEntry`] to which this is the reply.
    pub reported_at: Millis,
    /// How long the share is valid, counted from `reported_at`.
    pub valid_ms: Millis,
}

/// A request for slots of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrantRequest {
    /// The name of the target.
    pub target: String,
    /// The request of the grant protocol.
    pub request: grant::GrantRequest,
}

/// The reply to a [`TargetGrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrantReply {
    /// The name of the target.
    pub target: String,
    /// The reply of the grant protocol.
    pub reply: grant::GrantReply,
}

/// An error while encoding or decoding a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DatagramError {
    /// the datagram is empty
    Empty,
    /// protocol version {0} of the datagram is not supported
    UnsupportedVersion(u8),
    /// a datagram of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// malformed datagram: {0}
    Malformed(postcard::Error),
}

impl std::error::Error for DatagramError {}

impl Datagram {
    /// Creates a datagram from a packet of the gossip state machine.
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

    /// Splits the datagram into a packet for the gossip state machine and a body of another
    /// protocol.
    ///
    /// For another protocol, the packet contains [`Message::Gossip`], so that the gossip state
    /// machine still processes its digests and updates.
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

    /// Encodes the datagram with its protocol version.
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

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is empty, too large or malformed, or has another protocol
    /// version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (&version, rest) = bytes.split_first().ok_or(DatagramError::Empty)?;
        if bytes.len() >= MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge(bytes.len()));
        }
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::UnsupportedVersion(version));
        }
        decode_exact(rest).map_err(DatagramError::Malformed)
    }
}
