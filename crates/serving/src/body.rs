//! Bodies that are read completely before they are used, within bounds on their memory.
//!
//! A faulty target can send bytes without end, so the bodies of responses share a part of the memory
//! of the process. Small bodies need nothing of it and are not affected by a shortage.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The bodies of responses take at most this fraction of the memory of the process, because each
/// response is also held by the buffers of its connections.
const MAX_MEMORY_FRACTION: u64 = 4;
/// Size up to which the body of a response needs none of the shared memory.
const UNSHARED_BYTES: usize = 64 * 1024;
/// Bodies are held in blocks of this size, however small the pieces are in which they arrive.
const BLOCK_BYTES: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the connection failed within the body: {0}
    Interrupted(hyper::Error),
    /// the body is larger than allowed
    TooLarge,
    /// the bodies of responses take up too much memory
    OutOfMemory,
    /// the body came to a halt while others waited for memory
    Stalled,
}

impl std::error::Error for BodyError {}

/// Reads a body of up to `max_bytes`.
///
/// # Errors
///
/// Returns an error if the body is larger or cut off.
pub async fn read_up_to(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are dropped.
        if let Ok(data) = frame.map_err(BodyError::Interrupted)?.into_data() {
            if complete.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            complete.extend_from_slice(&data);
        }
    }
    Ok(complete.freeze())
}

/// Reads a body and drops it as it arrives, until its end, its failure or `max_bytes`.
pub async fn discard_up_to(body: &mut Incoming, max_bytes: usize) {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > max_bytes {
            return;
        }
    }
}

/// The memory that the bodies of responses share.
#[derive(Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    held_bytes: Cell<usize>,
}

impl BodyMemory {
    /// Creates the share of a process that may use `process_bytes`.
    #[must_use]
    pub fn new(process_bytes: u64) -> Rc<Self> {
        let max_bytes = process_bytes / MAX_MEMORY_FRACTION;
        Rc::new(Self {
            max_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
            held_bytes: Cell::new(0),
        })
    }

    /// Returns whether more than half of the memory is in use.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.held_bytes.get() > self.max_bytes / 2
    }

    /// Reads the body of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off, or if there is too little memory for it.
    pub async fn read(self: &Rc<Self>, mut body: Incoming) -> Result<CompleteBody, BodyError> {
        let mut complete = CompleteBody {
            share: Some(MemoryShare {
                memory: Rc::clone(self),
                bytes: 0,
            }),
            ..CompleteBody::default()
        };
        while let Some(frame) = body.frame().await {
            // Trailers are dropped.
            if let Ok(data) = frame.map_err(BodyError::Interrupted)?.into_data() {
                complete.push(&data)?;
            }
        }
        complete.end_block();
        Ok(complete)
    }
}

/// The part of the shared memory that one body takes, until it is dropped.
#[derive(Debug)]
struct MemoryShare {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryShare {
    fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        let memory = &self.memory;
        let held_bytes = memory.held_bytes.get() - self.bytes + bytes;
        if held_bytes > memory.max_bytes {
            return Err(BodyError::OutOfMemory);
        }
        memory.held_bytes.set(held_bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let held_bytes = &self.memory.held_bytes;
        held_bytes.set(held_bytes.get() - self.bytes);
    }
}

/// A body that was read completely.
#[derive(Debug, Default)]
pub struct CompleteBody {
    blocks: VecDeque<Bytes>,
    last_block: BytesMut,
    length: usize,
    /// `None` for a body of this instance's own.
    share: Option<MemoryShare>,
}

impl CompleteBody {
    /// Creates a body from its content.
    #[must_use]
    pub fn from_text(text: String) -> Self {
        Self {
            length: text.len(),
            blocks: VecDeque::from([Bytes::from(text)]),
            ..Self::default()
        }
    }

    /// Returns the number of bytes that were not taken yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Takes the next bytes, or returns `None` at the end.
    pub fn take_block(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.length -= block.len();
        Some(block)
    }

    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.length += data.len();
        if let Some(share) = &mut self.share
            && self.length > UNSHARED_BYTES
        {
            share.grow_to(self.length)?;
        }
        if self.last_block.len() + data.len() > BLOCK_BYTES {
            self.end_block();
            self.last_block.reserve(BLOCK_BYTES);
        }
        self.last_block.extend_from_slice(data);
        Ok(())
    }

    fn end_block(&mut self) {
        if !self.last_block.is_empty() {
            self.blocks.push_back(self.last_block.split().freeze());
        }
    }
}
