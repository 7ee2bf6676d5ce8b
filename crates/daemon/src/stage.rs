//! What a stage needs to run, and what comes of it.

use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::Sent;
use serde_json::Value;

/// The caller went away, so tokens cannot be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SinkClosed;

/// The receiver of the tokens of a stream, in order and each once.
pub trait TokenSink {
    /// Delivers a token.
    ///
    /// # Errors
    ///
    /// Returns [`SinkClosed`] when the caller went away.
    fn token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed>;
}

/// A sink for stages whose tokens nobody waits for one by one.
#[derive(Clone, Copy, Debug)]
pub struct NoSink;

impl TokenSink for NoSink {
    fn token(&mut self, _offset: u32, _text: &str) -> Result<(), SinkClosed> {
        Ok(())
    }
}

/// What a stage needs to run.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// The service that runs the stage.
    pub service: String,
    /// Whether the service streams tokens.
    pub streams: bool,
    /// The organisation on whose behalf the stage runs.
    pub organisation: String,
    /// The urgency, 0 being the most urgent.
    pub priority: u8,
    /// When the answer is due.
    pub deadline: Millis,
    /// The longest silence within a stream.
    pub stall_ms: Millis,
    /// The largest number of tokens.
    pub max_tokens: u32,
    /// Whether a call that takes unusually long is hedged.
    pub hedge: bool,
    /// The idempotency key of a non-idempotent call.
    pub idempotency_key: Option<String>,
    /// The hash of the caller's request, which a resend shares.
    pub fingerprint: u64,
    /// The key that determines the preferred engine of a prompt.
    pub prefix: Option<u64>,
    /// The caller's JSON, or the previous stage's output.
    pub input: Value,
    /// The offset of the first token to deliver.
    pub resume_at: u32,
    /// Whether the call came from another failure domain; it is not forwarded again.
    pub forwarded: bool,
}

impl StageCall {
    /// Returns whether the call may be repeated.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency_key.is_none()
    }
}

/// A stage that has run.
#[derive(Debug)]
pub struct StageDone {
    /// The output.
    pub output: Value,
    /// The attempt that ran the stage.
    pub attempt: Attempt<Sent>,
}
