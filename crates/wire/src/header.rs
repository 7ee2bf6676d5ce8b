//! Names of the HTTP headers that clients, instances and targets exchange.

/// The organisation on whose behalf the request is made.
pub const ORGANISATION: &str = "Organisation";
/// The remaining time until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// The client's key by which retries of the same non-idempotent request are recognised.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The identifier of the client's request.
pub const REQUEST_ID: &str = "Request-Id";
/// The name of the stage within the pipeline.
pub const STAGE_ID: &str = "Stage-Id";
/// The identifier of one attempt to execute a stage.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// The priority by which engines (targets that generate tokens) order calls; 0 is the most
/// urgent.
pub const PRIORITY: &str = "Priority";
