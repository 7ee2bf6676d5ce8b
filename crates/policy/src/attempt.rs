//! The life cycle of one attempt to run one stage at one target.
//!
//! Invariant P5: a refusal that says `not run` is true. [`NotRun`] has no public constructor and
//! comes only from an attempt that is still [`Unsent`] and belongs to a request of which no other
//! attempt was sent. An attempt counts as sent before the first byte of the call may leave the
//! process.
//!
//! Invariant P4: an answer that does not echo the identifiers of its attempt is not used;
//! see [`Attempt::check_echo`].

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use displaydoc::Display;

use arbutus_coord::Millis;

/// The identifiers that a call carries and that its answer echoes.
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
    /// Checks that an answer echoes these identifiers.
    ///
    /// # Errors
    ///
    /// Returns the first identifier that is missing or differs; the answer has to be dropped.
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

/// The state of an attempt of which nothing has left the process.
#[derive(Debug)]
pub struct Unsent {
    earlier_sent: bool,
}

/// The state of an attempt that the target may have received.
#[derive(Debug)]
pub struct Sent {
    at: Millis,
    preceded: bool,
    followed: AtomicBool,
}

/// One attempt to run one stage at one target.
///
/// It is deliberately not `Clone`: a copy of an unsent attempt would prove `not run` after the
/// original was sent.
#[derive(Debug)]
pub struct Attempt<S> {
    ids: AttemptIds,
    state: S,
}

/// The proof that nothing of a request was sent to a target.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    request: String,
}

/// an earlier attempt of request {request} was sent, so it may have run
#[derive(Debug, Display, PartialEq, Eq)]
pub struct MayHaveRun {
    /// The identifier of the request.
    pub request: String,
}

impl Error for MayHaveRun {}

/// The identifiers that came with an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct EchoedIds<'a> {
    /// The request identifier, if the answer has one.
    pub request: Option<&'a str>,
    /// The stage name, if the answer has one.
    pub stage: Option<&'a str>,
    /// The attempt identifier, if the answer has one.
    pub attempt: Option<&'a str>,
}

/// Why an answer does not belong to an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EchoMismatch {
    /// the answer echoes no or another request identifier
    Request,
    /// the answer echoes no or another stage name
    Stage,
    /// the answer echoes no or another attempt identifier
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
    /// Returns the identifiers.
    #[must_use]
    pub fn ids(&self) -> &AttemptIds {
        &self.ids
    }
}

impl Attempt<Unsent> {
    /// Creates the first attempt of a request.
    ///
    /// It is called once for each request that is received. Later attempts come from
    /// [`Attempt::with_attempt_id`] and [`Attempt::next_attempt`], which remember whether anything was sent.
    #[must_use]
    pub fn first(ids: AttemptIds) -> Self {
        Self {
            ids,
            state: Unsent {
                earlier_sent: false,
            },
        }
    }

    /// Replaces the attempt by one with another identifier, because its target was unreachable.
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

    /// Marks the attempt as sent; it is called before the first byte of the call is written.
    #[must_use]
    pub fn send(self, now: Millis) -> Attempt<Sent> {
        Attempt {
            ids: self.ids,
            state: Sent {
                at: now,
                preceded: self.state.earlier_sent,
                followed: AtomicBool::new(false),
            },
        }
    }

    /// Gives up the attempt and proves that the request was not run.
    ///
    /// # Errors
    ///
    /// Returns [`MayHaveRun`] when an earlier attempt of the same request was sent.
    pub fn not_run(self) -> Result<NotRun, MayHaveRun> {
        let request = self.ids.request;
        if self.state.earlier_sent {
            return Err(MayHaveRun { request });
        }
        Ok(NotRun { request })
    }
}

impl Attempt<Sent> {
    /// Returns when the attempt was sent.
    #[must_use]
    pub fn sent_at(&self) -> Millis {
        self.state.at
    }

    /// Takes the attempt back because it provably reached no target.
    ///
    /// There are two proofs: the connection for it was not established, or the instance to which
    /// it was forwarded says so. A pooled connection that breaks proves nothing, because the
    /// target may have read the call from it.
    #[must_use]
    pub fn into_unsent(self) -> Attempt<Unsent> {
        Attempt {
            ids: self.ids,
            state: Unsent {
                earlier_sent: self.state.preceded || self.state.followed.into_inner(),
            },
        }
    }

    /// Creates a further attempt of the same request: a retry, a hedge or the next stage.
    ///
    /// The new attempt cannot prove `not run`, because this one was sent. This one cannot do so any
    /// more either, even if it is taken back, because the new one may be sent meanwhile.
    #[must_use]
    pub fn next_attempt(&self, stage: String, attempt: String) -> Attempt<Unsent> {
        self.state.followed.store(true, Ordering::Relaxed);
        Attempt {
            ids: AttemptIds {
                request: self.ids.request.clone(),
                stage,
                attempt,
            },
            state: Unsent { earlier_sent: true },
        }
    }

    /// Checks that an answer belongs to this attempt.
    ///
    /// # Errors
    ///
    /// Returns the first identifier that is missing or differs; the answer has to be dropped.
    pub fn check_echo(&self, echo: EchoedIds<'_>) -> Result<(), EchoMismatch> {
        self.ids.check_echo(echo)
    }
}
