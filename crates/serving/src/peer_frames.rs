//! Frames on the TCP connections between instances.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use log::info;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::connection::AbortOnDrop;
use arbutus_coord::Millis;
use arbutus_wire::frame;
use arbutus_wire::frame::HEADER_BYTES;
use arbutus_wire::frame::MAX_FRAME_BYTES;

/// Transfers of at least this size are logged.
const MIN_LOGGED_BYTES: usize = 16 * 1024;
/// Space for the bytes that one read returns.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Encodes a message as one frame.
///
/// # Errors
///
/// Returns an error when the message cannot be encoded or is too large.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    frame::encode(message).map_err(io::Error::other)
}

/// Writes frames to a connection.
#[derive(Debug)]
pub struct FrameWriter {
    peer: String,
    writer: OwnedWriteHalf,
}

impl FrameWriter {
    /// Creates a writer; `peer` names the peer in log lines.
    #[must_use]
    pub fn new(peer: &str, writer: OwnedWriteHalf) -> Self {
        Self {
            peer: peer.to_owned(),
            writer,
        }
    }

    /// Writes encoded frames.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let started = Instant::now();
        let result = self.writer.write_all(bytes).await;
        if bytes.len() >= MIN_LOGGED_BYTES {
            info!(
                peer = self.peer.as_str(), bytes = bytes.len(),
                took_ms = Millis::from(started.elapsed()).0, complete = result.is_ok();
                "wrote to a peer"
            );
        }
        result
    }
}

/// The frame that a connection is receiving.
#[derive(Clone, Copy, Debug)]
struct PendingFrame {
    received_bytes: usize,
    expected_bytes: usize,
    started: Instant,
}

/// Reads frames from a connection in a task of its own, which ends when this value is dropped.
#[derive(Debug)]
pub struct FrameReader<T> {
    peer: String,
    messages: UnboundedReceiver<T>,
    progress: Rc<ReadProgress>,
    _task: AbortOnDrop,
}

/// What a connection has received so far.
#[derive(Debug)]
struct ReadProgress {
    last_received: Cell<Instant>,
    pending: Cell<Option<PendingFrame>>,
}

impl<T: DeserializeOwned + 'static> FrameReader<T> {
    /// Starts to read; `peer` names the peer in log lines.
    #[must_use]
    pub fn spawn(peer: &str, reader: OwnedReadHalf) -> Self {
        let (sender, messages) = mpsc::unbounded_channel();
        let progress = Rc::new(ReadProgress {
            last_received: Cell::new(Instant::now()),
            pending: Cell::new(None),
        });
        let task = spawn_local(read_frames(
            peer.to_owned(),
            reader,
            sender,
            Rc::clone(&progress),
        ));
        Self {
            peer: peer.to_owned(),
            messages,
            progress,
            _task: AbortOnDrop::new(task),
        }
    }

    /// Returns when bytes arrived last, or when the connection was opened.
    #[must_use]
    pub fn last_received(&self) -> Instant {
        self.progress.last_received.get()
    }

    /// Returns whether a part of the next message has arrived.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        self.progress.pending.get().is_some()
    }

    /// Returns the next message, or `None` when the connection has ended.
    pub async fn recv(&mut self) -> Option<T> {
        self.messages.recv().await
    }

    /// Returns a message that has arrived already.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none, or when the connection has ended.
    pub fn try_recv(&mut self) -> Result<T, TryRecvError> {
        self.messages.try_recv()
    }
}

impl<T> Drop for FrameReader<T> {
    fn drop(&mut self) {
        if let Some(pending) = self.progress.pending.get()
            && pending.expected_bytes >= MIN_LOGGED_BYTES
        {
            info!(
                peer = self.peer.as_str(), received_bytes = pending.received_bytes,
                expected_bytes = pending.expected_bytes,
                took_ms = Millis::from(pending.started.elapsed()).0;
                "dropped a message of a peer before it was complete"
            );
        }
    }
}

/// Reads frames into a channel until the connection ends.
async fn read_frames<T: DeserializeOwned>(
    peer: String,
    mut reader: OwnedReadHalf,
    sender: UnboundedSender<T>,
    progress: Rc<ReadProgress>,
) {
    loop {
        match read_frame(&peer, &mut reader, &progress).await {
            Ok(message) => {
                if sender.send(message).is_err() {
                    return;
                }
            }
            Err(error) => {
                if error.kind() != io::ErrorKind::UnexpectedEof {
                    info!(error:%; "cannot read from a peer connection");
                }
                return;
            }
        }
    }
}

async fn read_frame<T: DeserializeOwned>(
    peer: &str,
    reader: &mut OwnedReadHalf,
    progress: &ReadProgress,
) -> io::Result<T> {
    let mut bytes = vec![0; HEADER_BYTES];
    reader.read_exact(&mut bytes).await?;
    // The length of the payload follows the version byte.
    let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let expected_bytes = HEADER_BYTES + length;
    let started = Instant::now();
    progress.last_received.set(started);
    let mut received_bytes = HEADER_BYTES;
    while received_bytes < expected_bytes {
        progress.pending.set(Some(PendingFrame {
            received_bytes,
            expected_bytes,
            started,
        }));
        let end = expected_bytes.min(received_bytes + READ_BUFFER_BYTES);
        // Memory is taken as bytes arrive, and not for the length that the peer announces.
        bytes.resize(end, 0);
        let read_bytes = reader.read(&mut bytes[received_bytes..end]).await?;
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received_bytes += read_bytes;
        progress.last_received.set(Instant::now());
    }
    progress.pending.set(None);
    if expected_bytes >= MIN_LOGGED_BYTES {
        info!(
            peer, bytes = expected_bytes, took_ms = Millis::from(started.elapsed()).0;
            "read from a peer"
        );
    }
    let (message, _) =
        frame::read(&mut bytes.as_slice(), MAX_FRAME_BYTES).map_err(io::Error::other)?;
    Ok(message)
}
