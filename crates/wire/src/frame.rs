//! Frames on TCP connections between instances.
//!
//! A frame is a byte for the protocol version, the length of the payload (32 bits, big endian)
//! and the payload in `postcard` encoding. A reader refuses a length above its limit before it
//! allocates memory, and malformed input gives an error value.

use std::io;
use std::io::Read;
use std::io::Write;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PROTOCOL_VERSION;
use crate::decode_exact;

/// The largest payload of a frame.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The length of a frame without its payload.
pub const HEADER_BYTES: usize = 5;

/// A frame that could not be written or read.
#[derive(Debug, Display)]
pub enum FrameError {
    /// the connection was closed between two frames
    Closed,
    /// the connection failed: {0}
    Io(io::Error),
    /// the frame has the protocol version {0}
    Version(u8),
    /// the frame has {0} bytes, which is more than the limit
    TooLarge(usize),
    /// the frame is malformed: {0}
    Malformed(postcard::Error),
}

impl std::error::Error for FrameError {}

impl FrameError {
    /// Returns whether the error is an expired timeout of the socket.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Io(error) if matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ))
    }
}

/// Encodes a message as one frame.
///
/// # Errors
///
/// Returns an error when the payload exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let header = vec![0; HEADER_BYTES];
    let mut bytes = postcard::to_extend(message, header).map_err(FrameError::Malformed)?;
    let length = bytes.len() - HEADER_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    bytes[0] = PROTOCOL_VERSION;
    bytes[1..HEADER_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Writes a message as one frame and returns the number of bytes.
///
/// # Errors
///
/// Returns an error when the message is too large or the connection fails.
pub fn write<T: Serialize>(writer: &mut impl Write, message: &T) -> Result<usize, FrameError> {
    let bytes = encode(message)?;
    writer.write_all(&bytes).map_err(FrameError::Io)?;
    writer.flush().map_err(FrameError::Io)?;
    Ok(bytes.len())
}

/// Reads one frame with a payload of at most `max_bytes`, and returns the message and the number
/// of bytes.
///
/// # Errors
///
/// Returns [`FrameError::Closed`] when the connection ended before the frame, and another error
/// when the frame is malformed, too large or cut off.
pub fn read<T: DeserializeOwned>(
    reader: &mut impl Read,
    max_bytes: usize,
) -> Result<(T, usize), FrameError> {
    let mut header = [0; HEADER_BYTES];
    read_header(reader, &mut header)?;
    if header[0] != PROTOCOL_VERSION {
        return Err(FrameError::Version(header[0]));
    }
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if length > max_bytes.min(MAX_FRAME_BYTES) {
        return Err(FrameError::TooLarge(length));
    }
    let mut payload = vec![0; length];
    reader.read_exact(&mut payload).map_err(FrameError::Io)?;
    let message = decode_exact(&payload).map_err(FrameError::Malformed)?;
    Ok((message, HEADER_BYTES + length))
}

fn read_header(reader: &mut impl Read, header: &mut [u8; HEADER_BYTES]) -> Result<(), FrameError> {
    let first = loop {
        match reader.read(&mut header[..1]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => break other.map_err(FrameError::Io)?,
        }
    };
    if first == 0 {
        return Err(FrameError::Closed);
    }
    reader.read_exact(&mut header[1..]).map_err(FrameError::Io)
}
