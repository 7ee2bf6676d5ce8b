//! The parameters and the result of one stage of a pipeline.

use serde_json::Value;

use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::Sent;

/// The receiver of the tokens has disconnected, so no more tokens can be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SinkClosed;

/// Receives the tokens of a stream. Each token is delivered once, in the order of the offsets.
pub trait TokenSink {
    /// Delivers a token; `offset` is its position in the whole output, starting at 0.
    ///
    /// # Errors
    ///
    /// Returns [`SinkClosed`] when the receiver has disconnected.
    fn deliver_token(&mut self, offset: u32, text: &str) -> Result<(), SinkClosed>;
}

/// Discards the tokens of a stage whose output is used only as a whole.
#[derive(Clone, Copy, Debug)]
pub struct DiscardTokens;

impl TokenSink for DiscardTokens {
    fn deliver_token(&mut self, _offset: u32, _text: &str) -> Result<(), SinkClosed> {
        Ok(())
    }
}

/// The parameters of one stage of a request.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// The pipeline's name, empty for a call that another instance forwarded.
    pub pipeline: String,
    /// The index of the stage within the pipeline, starting at 0.
    pub stage_index: usize,
    /// The service whose targets execute the stage.
    pub service: String,
    /// Whether the targets of the service return a stream of tokens.
    pub streams: bool,
    /// The organisation that made the request.
    pub organisation: String,
    /// The organisation's weight in fair queueing, relative to the weights of other organisations.
    pub weight: u32,
    /// The priority of the request's class; 0 is the highest.
    pub priority: u8,
    /// The deadline of the request.
    pub deadline: Millis,
    /// The expected duration of this stage and all later ones, zero when it has not been measured.
    pub expected_ms: Millis,
    /// The timeout of the first attempt of an idempotent call. A retry may use all of the remaining
    /// time.
    pub attempt_timeout_ms: Millis,
    /// The longest time without a token before a stream counts as stalled.
    pub stall_ms: Millis,
    /// The largest number of tokens that an engine may generate.
    pub max_tokens: u32,
    /// Whether a second attempt may be sent when the first one is unusually slow.
    pub hedge: bool,
    /// The idempotency key of a non-idempotent call; `None` marks a call as idempotent.
    pub idempotency_key: Option<String>,
    /// The hash of the client's request body, which is the same when the client retries.
    pub fingerprint: u64,
    /// The hash of the prompt prefix, which determines the preferred engine. `None` when there is
    /// no preference.
    pub prefix: Option<u64>,
    /// For the first stage, the JSON body of the client's request; for a later stage, the output of
    /// the previous one.
    pub input: Value,
    /// The offset of the first token to deliver; more than 0 when a forwarded stream is resumed.
    pub first_offset: u32,
    /// The longest time that the call may wait for a slot.
    pub max_slot_wait_ms: Millis,
    /// The end of the dispatch window of the claim: from then on the call must not be sent to a
    /// target. `None` for a call without a claim.
    pub dispatch_deadline: Option<Millis>,
    /// Whether an instance of another failure domain forwarded the call. Such a call is not
    /// forwarded again.
    pub forwarded: bool,
}

impl StageCall {
    /// Returns whether the dispatch window has passed; `false` for a call without a claim.
    #[must_use]
    pub fn dispatch_window_passed(&self, now: Millis) -> bool {
        self.dispatch_deadline
            .is_some_and(|window_end| now >= window_end)
    }

    /// Returns the latest time at which the call can still use a slot.
    #[must_use]
    pub fn slot_wait_deadline(&self) -> Millis {
        self.dispatch_deadline
            .map_or(self.deadline, |window_end| window_end.min(self.deadline))
    }

    /// Returns whether the call may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency_key.is_none()
    }
}

/// The result of a stage that has been executed.
#[derive(Debug)]
pub struct CompletedStage {
    /// The target's output, which is the input of the next stage.
    pub output: Value,
    /// The attempt whose response is used.
    pub attempt: Attempt<Sent>,
    /// The time from the start of the first attempt in the local failure domain to the response,
    /// without the wait for the first slot. Zero when all attempts were forwarded to other failure
    /// domains.
    pub duration_ms: Millis,
}
