//! Assembly of a streamed response from tokens with offsets.
//!
//! One engine streams the response. If it fails, another engine continues the response. The stream
//! of each engine is a source. [`StreamAssembler::resume`] starts a new source. Frames of earlier
//! sources are dropped, because the new engine may generate different tokens.
//!
//! Requirement P4 of `docs/design.md` depends on this module: each token is emitted once and in
//! the order of the offsets, and the `Done` event is emitted only after all tokens up to the total
//! that the source announced.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// The maximum number of tokens that are buffered while a token with a lower offset is missing.
const MAX_BUFFERED_TOKENS: usize = 256;

/// The number of a source within a response; it increases with each resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceId(u32);

/// A message of a source, or the end of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// One token.
    Token {
        /// The position of the token in the whole response, starting at 0.
        offset: u32,
        /// The text of the token.
        text: String,
    },
    /// The end marker of a complete response.
    Done {
        /// The number of tokens in the whole response.
        tokens: u32,
    },
    /// The connection ended or failed.
    End,
}

/// A part of the response for the client, or the failure of a source, which has to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next token.
    Token {
        /// The position of the token in the whole response, starting at 0.
        offset: u32,
        /// The text of the token.
        text: String,
    },
    /// All tokens have been emitted.
    Done {
        /// The number of tokens in the whole response.
        tokens: u32,
    },
    /// The source failed; no further frame of it is accepted.
    SourceFailed {
        /// Why the source failed.
        fault: StreamFault,
        /// The offset of the first token that another engine has to send.
        resume_at: u32,
    },
}

/// Why a source of a stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StreamFault {
    /// The source ended without the end marker, or before all announced tokens arrived.
    Truncated,
    /// The announced total contradicts the received tokens or an earlier total.
    WrongTotal,
    /// A token is missing, and too many tokens with higher offsets arrived.
    Gap,
    /// The next token in the order of the offsets did not arrive in time.
    Stalled,
}

/// Counts duplicate, stale and reordered frames, and resumptions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounters {
    /// Tokens whose offset had been received before.
    pub duplicates: u64,
    /// Tokens and end markers that were dropped because their source was replaced or failed, or
    /// because the response was complete.
    pub stale: u64,
    /// Tokens that arrived while a token with a lower offset was missing.
    pub out_of_order: u64,
    /// Resumptions with a new source.
    pub resumptions: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Failed,
    Complete,
}

/// Assembles one response from the tokens of one or more sources.
#[derive(Debug)]
pub struct StreamAssembler {
    stall_ms: Millis,
    source: SourceId,
    state: State,
    next_offset: u32,
    total: Option<u32>,
    buffered: BTreeMap<u32, String>,
    last_token_at: Millis,
    counters: StreamCounters,
}

impl StreamAssembler {
    /// Creates an assembler for a response that starts at offset 0.
    ///
    /// The source counts as stalled when the next token in the order of the offsets does not arrive
    /// within `stall_ms`.
    #[must_use]
    pub fn new(now: Millis, stall_ms: Millis) -> Self {
        Self {
            stall_ms,
            source: SourceId(0),
            state: State::Open,
            next_offset: 0,
            total: None,
            buffered: BTreeMap::new(),
            last_token_at: now,
            counters: StreamCounters::default(),
        }
    }

    /// Creates an assembler for a response whose tokens before `offset` were emitted by another
    /// instance.
    #[must_use]
    pub fn starting_at(now: Millis, stall_ms: Millis, offset: u32) -> Self {
        Self {
            next_offset: offset,
            ..Self::new(now, stall_ms)
        }
    }

    /// Returns the number of the source whose frames are accepted.
    #[must_use]
    pub fn source(&self) -> SourceId {
        self.source
    }

    /// Returns the offset of the next token to emit, at which another engine would resume.
    #[must_use]
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Returns whether [`StreamEvent::Done`] has been emitted.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Returns the time at which the source counts as stalled unless the next token arrives before,
    /// or `None` when the source has failed or the response is complete.
    #[must_use]
    pub fn stall_deadline(&self) -> Option<Millis> {
        (self.state == State::Open).then(|| self.last_token_at + self.stall_ms)
    }

    /// Processes a frame of a source and returns the resulting events.
    pub fn push(&mut self, now: Millis, source: SourceId, frame: Frame) -> Vec<StreamEvent> {
        if source != self.source || self.state != State::Open {
            self.counters.stale += u64::from(frame != Frame::End);
            return Vec::new();
        }
        match frame {
            Frame::Token { offset, text } => self.push_token(now, offset, text),
            Frame::Done { tokens } => self.push_done(tokens),
            Frame::End => vec![self.fail(StreamFault::Truncated)],
        }
    }

    /// Returns [`StreamEvent::SourceFailed`] if the stall deadline has passed.
    pub fn check_stall(&mut self, now: Millis) -> Option<StreamEvent> {
        let stalled = self.stall_deadline().is_some_and(|at| now >= at);
        stalled.then(|| self.fail(StreamFault::Stalled))
    }

    /// Starts a new source that continues at [`StreamAssembler::next_offset`].
    ///
    /// Buffered tokens are dropped, because the new engine sends its own tokens at their offsets.
    /// After [`StreamEvent::Done`] this function has no effect.
    pub fn resume(&mut self, now: Millis) -> SourceId {
        if self.state == State::Complete {
            return self.source;
        }
        self.source = SourceId(self.source.0 + 1);
        self.state = State::Open;
        self.total = None;
        self.buffered.clear();
        self.last_token_at = now;
        self.counters.resumptions += 1;
        self.source
    }

    fn push_token(&mut self, now: Millis, offset: u32, text: String) -> Vec<StreamEvent> {
        if offset < self.next_offset || self.buffered.contains_key(&offset) {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if self.total.is_some_and(|total| offset >= total) {
            return vec![self.fail(StreamFault::WrongTotal)];
        }
        if offset > self.next_offset {
            self.counters.out_of_order += 1;
            if self.buffered.len() >= MAX_BUFFERED_TOKENS {
                return vec![self.fail(StreamFault::Gap)];
            }
            self.buffered.insert(offset, text);
            return Vec::new();
        }
        self.last_token_at = now;
        let mut events = vec![self.emit(text)];
        while let Some(text) = self.buffered.remove(&self.next_offset) {
            events.push(self.emit(text));
        }
        events.extend(self.finish());
        events
    }

    fn push_done(&mut self, tokens: u32) -> Vec<StreamEvent> {
        let min_total = self
            .buffered
            .last_key_value()
            .map_or(0, |(&offset, _)| offset.saturating_add(1));
        let contradicts = tokens < self.next_offset.max(min_total);
        if contradicts || self.total.is_some_and(|total| total != tokens) {
            return vec![self.fail(StreamFault::WrongTotal)];
        }
        self.total = Some(tokens);
        self.finish().into_iter().collect()
    }

    fn emit(&mut self, text: String) -> StreamEvent {
        let offset = self.next_offset;
        self.next_offset += 1;
        StreamEvent::Token { offset, text }
    }

    /// Completes the response once all announced tokens have been emitted.
    fn finish(&mut self) -> Option<StreamEvent> {
        let tokens = self.total.filter(|&total| total == self.next_offset)?;
        self.state = State::Complete;
        Some(StreamEvent::Done { tokens })
    }

    fn fail(&mut self, fault: StreamFault) -> StreamEvent {
        self.state = State::Failed;
        StreamEvent::SourceFailed {
            fault,
            resume_at: self.next_offset,
        }
    }
}
