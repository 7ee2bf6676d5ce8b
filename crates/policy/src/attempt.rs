//! The states of one attempt to execute one stage at one target.
//!
//! Two requirements of `docs/design.md` depend on this module:
//!
//! - P5: a client is told that its request was not executed only if no target can have executed it.
//!   The proof is [`NotExecuted`], which has no public constructor. Only an [`Unsent`] attempt
//!   gives it, and only if no other attempt of the same request was sent. An attempt counts as sent
//!   before the first byte of the call can leave the process.
//! - P4: a response that does not echo the identifiers of its attempt is not used; see
//!   [`Attempt::check_echo`].

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use displaydoc::Display;

use arbutus_coord::Millis;

/// The identifiers that a call carries and that its response has to echo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptIds {
    /// The identifier of the client's request.
    pub request: String,
    /// The name of the stage.
    pub stage: String,
    /// The identifier of the attempt, unique among all attempts.
    pub attempt: String,
}

impl AttemptIds {
    /// Checks that a response echoes these identifiers.
    ///
    /// # Errors
    ///
    /// Returns the first identifier that is missing or differs; the response must not be used.
    pub fn check_echo(&self, echo: EchoedIds<'_>) -> Result<(), EchoMismatch> {
        if echo.request != Some(self.request.as_str()) {
            return Err(EchoMismatch::Request);
        }
        if echo.stage != Some(self.stage.as_str()) {
            return Err(EchoMismatch::Stage);
        }
        if echo.attempt != Some(self.attempt.as_str()) {
            return Err(EchoMismatch::Attempt);
        }
        Ok(())
    }
}

/// The state of an attempt of which no byte has left the process.
#[derive(Debug)]
pub struct Unsent {
    other_attempt_may_have_arrived: bool,
}

/// The state of an attempt that the target may have received.
#[derive(Debug)]
pub struct Sent {
    at: Millis,
    other_attempt_may_have_arrived: bool,
    has_next_attempt: AtomicBool,
}

/// One attempt to execute one stage at one target.
///
/// It is not `Clone`: after an unsent attempt was sent, a copy of it could still prove that the
/// request was not executed.
#[derive(Debug)]
pub struct Attempt<S> {
    ids: AttemptIds,
    state: S,
}

/// Proof that no target can have received an attempt of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct NotExecuted {
    request: String,
}

/// request {request} may have been executed: another attempt may have been sent
#[derive(Debug, Display, PartialEq, Eq)]
pub struct MayHaveExecuted {
    /// The identifier of the request.
    pub request: String,
}

impl Error for MayHaveExecuted {}

/// The identifiers that a response echoes.
#[derive(Clone, Copy, Debug, Default)]
pub struct EchoedIds<'a> {
    /// The request identifier, or `None` if the response has none.
    pub request: Option<&'a str>,
    /// The stage name, or `None` if the response has none.
    pub stage: Option<&'a str>,
    /// The attempt identifier, or `None` if the response has none.
    pub attempt: Option<&'a str>,
}

/// Why a response does not belong to an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EchoMismatch {
    /// the request identifier in the response is missing or does not match
    Request,
    /// the stage name in the response is missing or does not match
    Stage,
    /// the attempt identifier in the response is missing or does not match
    Attempt,
}

impl Error for EchoMismatch {}

impl NotExecuted {
    /// Returns the identifier of the request that was not executed.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }
}

impl<S> Attempt<S> {
    /// Returns the identifiers that the call carries.
    #[must_use]
    pub fn ids(&self) -> &AttemptIds {
        &self.ids
    }
}

impl Attempt<Unsent> {
    /// Creates the first attempt of a request.
    ///
    /// Call it once for each received request. Later attempts come from
    /// [`Attempt::with_attempt_id`] and [`Attempt::next_attempt`], which keep track of whether
    /// another attempt was sent.
    #[must_use]
    pub fn first(ids: AttemptIds) -> Self {
        Self {
            ids,
            state: Unsent {
                other_attempt_may_have_arrived: false,
            },
        }
    }

    /// Replaces the attempt identifier, so that the request can be tried at another target after
    /// the first target was unreachable.
    #[must_use]
    pub fn with_attempt_id(self, attempt: String) -> Self {
        Self {
            ids: AttemptIds {
                attempt,
                ..self.ids
            },
            state: self.state,
        }
    }

    /// Marks the attempt as sent. Call it before the first byte of the call is written.
    #[must_use]
    pub fn mark_sent(self, now: Millis) -> Attempt<Sent> {
        Attempt {
            ids: self.ids,
            state: Sent {
                at: now,
                other_attempt_may_have_arrived: self.state.other_attempt_may_have_arrived,
                has_next_attempt: AtomicBool::new(false),
            },
        }
    }

    /// Consumes the attempt and returns the proof that the request was not executed.
    ///
    /// # Errors
    ///
    /// Returns [`MayHaveExecuted`] if another attempt of the same request may have been sent.
    pub fn prove_not_executed(self) -> Result<NotExecuted, MayHaveExecuted> {
        let request = self.ids.request;
        if self.state.other_attempt_may_have_arrived {
            return Err(MayHaveExecuted { request });
        }
        Ok(NotExecuted { request })
    }
}

impl Attempt<Sent> {
    /// Returns the time at which the attempt was sent.
    #[must_use]
    pub fn sent_at(&self) -> Millis {
        self.state.at
    }

    /// Marks the attempt as unsent again. The caller must have proof that no target received it.
    ///
    /// There are two such proofs: the connection for the call could not be established, or the
    /// instance to which the call was forwarded reports that it sent nothing. A pooled connection
    /// that breaks proves nothing, because the target may have read the call from it.
    #[must_use]
    pub fn into_unsent(self) -> Attempt<Unsent> {
        Attempt {
            ids: self.ids,
            state: Unsent {
                other_attempt_may_have_arrived: self.state.other_attempt_may_have_arrived
                    || self.state.has_next_attempt.into_inner(),
            },
        }
    }

    /// Creates another attempt of the same request: a retry, a hedge or the next stage.
    ///
    /// The new attempt cannot prove that the request was not executed, because this attempt was
    /// sent. This attempt cannot prove it either from now on, even after
    /// [`Attempt::into_unsent`], because the new attempt may have been sent by then.
    #[must_use]
    pub fn next_attempt(&self, stage: String, attempt: String) -> Attempt<Unsent> {
        self.state.has_next_attempt.store(true, Ordering::Relaxed);
        Attempt {
            ids: AttemptIds {
                request: self.ids.request.clone(),
                stage,
                attempt,
            },
            state: Unsent {
                other_attempt_may_have_arrived: true,
            },
        }
    }

    /// Checks that a response belongs to this attempt.
    ///
    /// # Errors
    ///
    /// Returns the first identifier that is missing or differs; the response must not be used.
    pub fn check_echo(&self, echo: EchoedIds<'_>) -> Result<(), EchoMismatch> {
        self.ids.check_echo(echo)
    }
}
