//! The states of one attempt to run one stage at one target.
//!
//! Two requirements of `docs/design.md` depend on this module:
//!
//! - P5: a refusal that says `not run` is true. [`NotRun`] has no public constructor. It comes only
//!   from an attempt that is still [`Unsent`], and only if no other attempt of the same request
//!   was sent. An attempt counts as sent before the first byte of the call can leave the process.
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
    /// The identifier of the caller's request.
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
    /// Returns the first identifier that is missing or differs; the response has to be dropped.
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
    other_attempt_may_run: bool,
}

/// The state of an attempt that the target may have received.
#[derive(Debug)]
pub struct Sent {
    at: Millis,
    other_attempt_may_run: bool,
    has_next_attempt: AtomicBool,
}

/// One attempt to run one stage at one target.
///
/// It is not `Clone`: a copy of an unsent attempt could prove `not run` after the original was
/// sent.
#[derive(Debug)]
pub struct Attempt<S> {
    ids: AttemptIds,
    state: S,
}

/// Proof that no attempt of a request was sent to a target.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    request: String,
}

/// request {request} may have run: another attempt was sent
#[derive(Debug, Display, PartialEq, Eq)]
pub struct MayHaveRun {
    /// The identifier of the request.
    pub request: String,
}

impl Error for MayHaveRun {}

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

impl NotRun {
    /// Returns the identifier of the request that was not run.
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
                other_attempt_may_run: false,
            },
        }
    }

    /// Gives the attempt a new identifier, for use at another target after one was unreachable.
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
    pub fn send(self, now: Millis) -> Attempt<Sent> {
        Attempt {
            ids: self.ids,
            state: Sent {
                at: now,
                other_attempt_may_run: self.state.other_attempt_may_run,
                has_next_attempt: AtomicBool::new(false),
            },
        }
    }

    /// Consumes the attempt and returns the proof that the request was not run.
    ///
    /// # Errors
    ///
    /// Returns [`MayHaveRun`] if another attempt of the same request may have been sent.
    pub fn not_run(self) -> Result<NotRun, MayHaveRun> {
        let request = self.ids.request;
        if self.state.other_attempt_may_run {
            return Err(MayHaveRun { request });
        }
        Ok(NotRun { request })
    }
}

impl Attempt<Sent> {
    /// Returns the time at which the attempt was sent.
    #[must_use]
    pub fn sent_at(&self) -> Millis {
        self.state.at
    }

    /// Marks the attempt as unsent after all, because it provably reached no target.
    ///
    /// Two things prove this: the connection for the call could not be established, or the
    /// instance to which it was forwarded reports it. A pooled connection that breaks proves
    /// nothing, because the target may have read the call from it.
    #[must_use]
    pub fn into_unsent(self) -> Attempt<Unsent> {
        Attempt {
            ids: self.ids,
            state: Unsent {
                other_attempt_may_run: self.state.other_attempt_may_run
                    || self.state.has_next_attempt.into_inner(),
            },
        }
    }

    /// Creates another attempt of the same request: a retry, a hedge or the next stage.
    ///
    /// The new attempt cannot prove `not run`, because this one was sent. From now on this one
    /// cannot do so either, even after [`Attempt::into_unsent`], because the new attempt may be
    /// sent in the meantime.
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
                other_attempt_may_run: true,
            },
        }
    }

    /// Checks that a response belongs to this attempt.
    ///
    /// # Errors
    ///
    /// Returns the first identifier that is missing or differs; the response has to be dropped.
    pub fn check_echo(&self, echo: EchoedIds<'_>) -> Result<(), EchoMismatch> {
        self.ids.check_echo(echo)
    }
}
