//! Failure detection and dissemination inside and across failure domains.

mod message;

pub use message::Digests;
pub use message::Member;
pub use message::MemberState;
pub use message::Message;
pub use message::Packet;
