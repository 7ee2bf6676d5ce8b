//! Assembles a token stream by offset.
//!
//! Invariant P4: each token is emitted once and in the order of its offset, and `done` is emitted
//! only after every token up to the announced total. Frames carry the number of the source that
//! sent them. [`StreamAssembler::resume`] starts a new source; frames of earlier sources are dropped,
//! because another engine may have continued with other tokens.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// How many frames beyond a gap are kept.
const MAX_HELD_FRAMES: usize = 256;

/// The number of an engine's stream within the whole answer, rising with each resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceId(u32);

/// What a source sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// One token.
    Token {
        /// The position of the token in the whole answer, starting at 0.
        offset: u32,
        /// The token's text.
        text: String,
    },
    /// The final marker.
    Done {
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
    /// The connection ended or failed.
    End,
}

/// What the caller receives, or why the source has to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next token.
    Token {
        /// The position of the token.
        offset: u32,
        /// The token's text.
        text: String,
    },
    /// Every token has been emitted.
    Done {
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
    /// The source is of no further use.
    Broken {
        /// What is wrong.
        fault: StreamFault,
        /// The offset at which another engine has to continue.
        resume_at: u32,
    },
}

/// Why a source is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StreamFault {
    /// The source ended without the final marker, or before the announced total.
    Truncated,
    /// The announced total contradicts the tokens.
    WrongTotal,
    /// Too many tokens arrived after one that is missing.
    Gap,
    /// No token that continues the answer arrived in time.
    Stalled,
}

/// What was dropped or seen so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounters {
    /// Tokens that had already been received.
    pub duplicates: u64,
    /// Frames of a replaced or broken source, or after the end.
    pub late: u64,
    /// Tokens that arrived before one with a lower offset.
    pub out_of_order: u64,
    /// Resumptions on another engine.
    pub resumed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Broken,
    Complete,
}

/// The assembler of one answer.
#[derive(Debug)]
pub struct StreamAssembler {
    stall_ms: Millis,
    source: SourceId,
    state: State,
    next_offset: u32,
    total: Option<u32>,
    held: BTreeMap<u32, String>,
    last_progress: Millis,
    counters: StreamCounters,
}

impl StreamAssembler {
    /// Creates an assembler; `stall_ms` is the longest time without a token that continues the
    /// answer.
    #[must_use]
    pub fn new(now: Millis, stall_ms: Millis) -> Self {
        Self {
            stall_ms,
            source: SourceId(0),
            state: State::Open,
            next_offset: 0,
            total: None,
            held: BTreeMap::new(),
            last_progress: now,
            counters: StreamCounters::default(),
        }
    }

    /// Creates an assembler for an answer whose first tokens were delivered elsewhere.
    #[must_use]
    pub fn resuming(now: Millis, stall_ms: Millis, offset: u32) -> Self {
        Self {
            next_offset: offset,
            ..Self::new(now, stall_ms)
        }
    }

    /// Returns the source whose frames are accepted.
    #[must_use]
    pub fn source(&self) -> SourceId {
        self.source
    }

    /// Returns the offset of the next token to emit, at which another engine has to continue.
    #[must_use]
    pub fn resume_at(&self) -> u32 {
        self.next_offset
    }

    /// Returns whether `done` has been emitted.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Returns when the source counts as stalled unless a token arrives, or nothing when no
    /// source is expected to send.
    #[must_use]
    pub fn stall_deadline(&self) -> Option<Millis> {
        (self.state == State::Open).then(|| self.last_progress + self.stall_ms)
    }

    /// Takes a frame and returns what the caller receives because of it.
    pub fn push(&mut self, now: Millis, source: SourceId, frame: Frame) -> Vec<StreamEvent> {
        if source != self.source || self.state != State::Open {
            self.counters.late += u64::from(frame != Frame::End);
            return Vec::new();
        }
        match frame {
            Frame::Token { offset, text } => self.push_token(now, offset, text),
            Frame::Done { tokens } => self.push_done(tokens),
            Frame::End => vec![self.fail(StreamFault::Truncated)],
        }
    }

    /// Reports a stall when no token has continued the answer for too long.
    pub fn check_stall(&mut self, now: Millis) -> Option<StreamEvent> {
        let stalled = self.stall_deadline().is_some_and(|at| now >= at);
        stalled.then(|| self.fail(StreamFault::Stalled))
    }

    /// Starts a new source that continues at [`StreamAssembler::resume_at`].
    ///
    /// Tokens that are held beyond a gap are dropped, because the new engine sends its own.
    /// After `done` it changes nothing.
    pub fn resume(&mut self, now: Millis) -> SourceId {
        if self.state == State::Complete {
            return self.source;
        }
        self.source = SourceId(self.source.0 + 1);
        self.state = State::Open;
        self.total = None;
        self.held.clear();
        self.last_progress = now;
        self.counters.resumed += 1;
        self.source
    }

    fn push_token(&mut self, now: Millis, offset: u32, text: String) -> Vec<StreamEvent> {
        if offset < self.next_offset || self.held.contains_key(&offset) {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if self.total.is_some_and(|total| offset >= total) {
            return vec![self.fail(StreamFault::WrongTotal)];
        }
        if offset > self.next_offset {
            self.counters.out_of_order += 1;
            if self.held.len() >= MAX_HELD_FRAMES {
                return vec![self.fail(StreamFault::Gap)];
            }
            self.held.insert(offset, text);
            return Vec::new();
        }
        self.last_progress = now;
        let mut events = vec![self.emit(text)];
        while let Some(text) = self.held.remove(&self.next_offset) {
            events.push(self.emit(text));
        }
        events.extend(self.finish());
        events
    }

    fn push_done(&mut self, tokens: u32) -> Vec<StreamEvent> {
        let highest = self
            .held
            .last_key_value()
            .map_or(0, |(&offset, _)| offset.saturating_add(1));
        let contradicts = tokens < self.next_offset.max(highest);
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

    fn finish(&mut self) -> Option<StreamEvent> {
        let tokens = self.total.filter(|&total| total == self.next_offset)?;
        self.state = State::Complete;
        Some(StreamEvent::Done { tokens })
    }

    fn fail(&mut self, fault: StreamFault) -> StreamEvent {
        self.state = State::Broken;
        StreamEvent::Broken {
            fault,
            resume_at: self.next_offset,
        }
    }
}
