//! Splitting of an event stream into complete events, also when another target continues the
//! stream.
//!
//! Only complete events are forwarded to the client; an event that a target did not finish is
//! dropped. When another target continues the stream, events that the client already has are
//! dropped too, and a first new event that does not directly follow the last one is an error.
//! Anything that is no event with a higher identifier than the last one ends the use of a source: it
//! may be an error text, or another response that the target wrote behind the stream.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, which is buffered until it is complete. Events hold a few tokens; with
/// this size, hundreds of streams of a faulty target fit into the memory of an instance.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why the current source of a stream cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum StreamError {
    /// an event is larger than 256 KiB
    TooLarge,
    /// events are missing between the last event and the first event of the new target
    Gap,
    /// the stream holds something that is no event with an identifier
    Unidentified,
    /// the identifier of an event is not higher than that of the last one
    NotIncreasing,
}

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes that were searched for the end of an event.
    searched: usize,
    last_id: Option<u64>,
    /// Set from a switch of the source until the first event that the client does not have.
    source_switched: bool,
    event_count: u64,
}

impl EventSplitter {
    /// Creates a splitter; `last_id` is the last event that the client already has, if any.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last event that the client has.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events that were forwarded.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the received bytes end with a complete event.
    #[must_use]
    pub fn is_at_event_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops an incomplete event; the next bytes come from another source.
    pub fn switch_source(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.source_switched = true;
    }

    /// Takes bytes and returns the events that they complete and that the client does not have.
    ///
    /// # Errors
    ///
    /// Returns an error when the source cannot be used any further. Events before the error are
    /// returned first; the next call returns the error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.pending.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.next_event_length() {
            self.searched = 0;
            let is_new = match self.accept(end) {
                Ok(is_new) => is_new,
                Err(error) if complete.is_empty() => return Err(error),
                Err(_returned_by_next_call) => break,
            };
            let event = self.pending.split_to(end);
            if is_new {
                if complete.is_empty() {
                    complete = event;
                } else {
                    complete.unsplit(event);
                }
            }
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok((!complete.is_empty()).then(|| complete.freeze()))
    }

    /// Returns the length of the first pending event, including its blank line, if it is complete.
    fn next_event_length(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let rest = &self.pending[start..];
        let lf_end = rest.windows(2).position(|pair| pair == b"\n\n");
        let crlf_end = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        self.searched = self.pending.len();
        match (lf_end.map(|at| at + 2), crlf_end.map(|at| at + 4)) {
            (Some(lf), Some(crlf)) => Some(start + lf.min(crlf)),
            (lf, crlf) => lf.or(crlf).map(|end| start + end),
        }
    }

    /// Records the event at the begin of the pending bytes, and returns false if the client already
    /// has it.
    fn accept(&mut self, length: usize) -> Result<bool, StreamError> {
        let event = &self.pending[..length];
        if is_comment(event) {
            return Ok(true);
        }
        let id = event_id(event).ok_or(StreamError::Unidentified)?;
        // A target may begin before the event with which the client wants to continue.
        let may_repeat = self.source_switched || self.event_count == 0;
        match self.last_id {
            Some(last) if id <= last && may_repeat => return Ok(false),
            Some(last) if id <= last => return Err(StreamError::NotIncreasing),
            Some(last) if self.source_switched && id > last + 1 => return Err(StreamError::Gap),
            _ => {}
        }
        self.source_switched = false;
        self.last_id = Some(id);
        self.event_count += 1;
        Ok(true)
    }
}

/// Returns whether all lines are comments or empty.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n');
    lines.all(|line| line.trim_ascii().is_empty() || line.starts_with(b":"))
}

/// Returns the identifier of an event, or `None` if it has no numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
