//! What a stage needs to run, and what comes of it.

use serde_json::Value;

use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::Sent;

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
pub struct DiscardTokens;

impl TokenSink for DiscardTokens {
    fn token(&mut self, _offset: u32, _text: &str) -> Result<(), SinkClosed> {
        Ok(())
    }
}

/// What a stage needs to run.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// The pipeline, empty for a call of another instance.
    pub pipeline: String,
    /// The place of the stage in the pipeline.
    pub stage_index: usize,
    /// The service that runs the stage.
    pub service: String,
    /// Whether the service streams tokens.
    pub streams: bool,
    /// The organisation on whose behalf the stage runs.
    pub organisation: String,
    /// The share of the organisation relative to others.
    pub weight: u32,
    /// The urgency, 0 being the most urgent.
    pub priority: u8,
    /// When the answer is due.
    pub deadline: Millis,
    /// How long this stage and the later ones are expected to take.
    pub expected_ms: Millis,
    /// How long an idempotent call may take before it is tried elsewhere.
    pub patience_ms: Millis,
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
    /// How long the call may wait for a slot.
    pub wait_ms: Millis,
    /// The time after which a claimed call must not be sent to a target.
    pub dispatch_by: Option<Millis>,
    /// Whether the call came from another failure domain; it is not forwarded again.
    pub forwarded: bool,
}

impl StageCall {
    /// Returns whether the dispatch window of a claimed call has passed.
    #[must_use]
    pub fn is_too_late(&self, now: Millis) -> bool {
        self.dispatch_by.is_some_and(|by| now >= by)
    }

    /// Returns the time until which the call may wait for a slot.
    #[must_use]
    pub fn wait_until(&self) -> Millis {
        self.dispatch_by
            .map_or(self.deadline, |by| by.min(self.deadline))
    }

    /// Returns whether the call may be repeated.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency_key.is_none()
    }
}

/// A stage that has run.
#[derive(Debug)]
pub struct CompletedStage {
    /// The output.
    pub output: Value,
    /// The attempt that ran the stage.
    pub attempt: Attempt<Sent>,
    /// The time from the first attempt to the answer, without the wait for a slot.
    pub took_ms: Millis,
}
