//! Names of the HTTP headers that callers, instances and targets exchange.

/// The organisation on whose behalf a request is made.
pub const ORGANISATION: &str = "Organisation";
/// The remaining time until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// The caller's key that identifies resends of the same non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The identifier of the caller's request.
pub const REQUEST_ID: &str = "Request-Id";
/// The name of the stage within the pipeline.
pub const STAGE_ID: &str = "Stage-Id";
/// The identifier of one attempt of one stage.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// The urgency for engines, 0 being the most urgent.
pub const PRIORITY: &str = "Priority";
