//! Whole events of a stream, and the point at which another target continues it.
//!
//! Only whole events are passed on; the beginning of an event that a target did not finish is
//! dropped. After a change of the target, events that the client already has are dropped too, and
//! an event that does not follow the last one ends the stream as broken.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event; a longer one is no event of a target.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream cannot go on with this source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum StreamError {
    /// an event is larger than 1 MiB
    TooLarge,
    /// an event after the change of the target does not follow the last one
    Gap,
}

/// Splits the bytes of a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// How much of the pending bytes was searched for the end of an event.
    searched: usize,
    last_id: Option<u64>,
    /// Set from a change of the source to the first event of the new one.
    resumed: bool,
    events: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that begins after an event that the client already has.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events that were passed on.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the bytes end with a whole event.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the beginning of an unfinished event; the next bytes are another source's.
    pub fn switch_source(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.resumed = true;
    }

    /// Takes bytes and returns the whole events among them.
    ///
    /// # Errors
    ///
    /// Returns why the source cannot be used any further.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.pending.split_to(end);
            self.searched = 0;
            if self.accept(&event)? {
                self.events += 1;
                if whole.is_empty() {
                    whole = event;
                } else {
                    whole.unsplit(event);
                }
            }
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok((!whole.is_empty()).then(|| whole.freeze()))
    }

    /// Returns the length of the first whole event.
    fn next_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let rest = &self.pending[start..];
        let newlines = rest.windows(2).position(|pair| pair == b"\n\n");
        let returns = rest.windows(4).position(|four| four == b"\r\n\r\n");
        self.searched = self.pending.len();
        match (newlines.map(|at| at + 2), returns.map(|at| at + 4)) {
            (Some(one), Some(other)) => Some(start + one.min(other)),
            (one, other) => one.or(other).map(|end| start + end),
        }
    }

    /// Records an event and returns whether the client lacks it.
    fn accept(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        if self.resumed {
            match self.last_id {
                Some(last) if id <= last => return Ok(false),
                Some(last) if id > last + 1 => return Err(StreamError::Gap),
                _ => self.resumed = false,
            }
        }
        self.last_id = Some(id);
        Ok(true)
    }
}

/// Returns the identifier of an event, if it states a number.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
