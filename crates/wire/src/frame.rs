//! Frames on TCP connections between instances.
//!
//! A frame consists of a byte for the protocol version, the length of the payload (32 bits, big
//! endian) and the payload in `postcard` encoding. A reader checks the length against its limit
//! before it allocates memory, and returns an error for malformed input.

use std::io;
use std::io::Read;
use std::io::Write;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PROTOCOL_VERSION;
use crate::decode_exact;

/// The largest payload of a frame. The limit of a reader applies if it is lower.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The size of the version and the length in front of the payload.
pub const HEADER_BYTES: usize = 5;

/// An error while writing or reading a frame.
#[derive(Debug, Display)]
pub enum FrameError {
    /// the peer closed the connection before the next frame
    Closed,
    /// connection error: {0}
    Io(io::Error),
    /// protocol version {0} of the frame is not supported
    UnsupportedVersion(u8),
    /// a frame payload of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// malformed frame: {0}
    Malformed(postcard::Error),
}

impl std::error::Error for FrameError {}

impl FrameError {
    /// Returns whether a read or write timeout of the socket expired.
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
/// Returns an error when the message cannot be encoded or its payload exceeds [`MAX_FRAME_BYTES`].
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

/// Writes a message as one frame and returns the size of the frame in bytes.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded or is too large, or when the connection
/// fails.
pub fn write<T: Serialize>(writer: &mut impl Write, message: &T) -> Result<usize, FrameError> {
    let bytes = encode(message)?;
    writer.write_all(&bytes).map_err(FrameError::Io)?;
    writer.flush().map_err(FrameError::Io)?;
    Ok(bytes.len())
}

/// Reads one frame with a payload of at most `max_bytes`, and returns the message and the size of
/// the frame in bytes.
///
/// # Errors
///
/// Returns [`FrameError::Closed`] when the connection was closed before the frame, and another
/// error when the frame is malformed, too large or incomplete.
pub fn read<T: DeserializeOwned>(
    reader: &mut impl Read,
    max_bytes: usize,
) -> Result<(T, usize), FrameError> {
    let mut header = [0; HEADER_BYTES];
    read_header(reader, &mut header)?;
    if header[0] != PROTOCOL_VERSION {
        return Err(FrameError::UnsupportedVersion(header[0]));
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
    let bytes_read = loop {
        match reader.read(&mut header[..1]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => break other.map_err(FrameError::Io)?,
        }
    };
    if bytes_read == 0 {
        return Err(FrameError::Closed);
    }
    reader.read_exact(&mut header[1..]).map_err(FrameError::Io)
}
