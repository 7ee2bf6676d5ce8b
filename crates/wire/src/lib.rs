//! Messages between instances, and the HTTP headers and JSON payloads that instances exchange with
//! clients, operators, targets and the platform.

pub mod admin;
pub mod datagram;
pub mod frame;
pub mod header;
pub mod peer;
pub mod platform;
pub mod target;

use serde::de::DeserializeOwned;

/// The version of the protocol between instances, which is the first byte of each datagram and
/// frame.
pub const PROTOCOL_VERSION: u8 = 1;

/// Decodes a message, and fails if bytes are left over.
fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}
