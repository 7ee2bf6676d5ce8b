//! Messages between instances, and the payloads of targets and of the platform.

pub mod admin;
pub mod datagram;
pub mod frame;
pub mod header;
pub mod peer;
pub mod platform;
pub mod target;

use serde::de::DeserializeOwned;

/// The version of the protocol between instances, the first byte of datagrams and frames.
pub const PROTOCOL_VERSION: u8 = 1;

/// Decodes a message that has to take up all of the bytes.
fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}
