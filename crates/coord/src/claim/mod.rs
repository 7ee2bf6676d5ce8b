//! Claims for non-idempotent requests.
//!
//! A claim gives one attempt to execute a request the right to dispatch it, and keeps the response
//! for client retries with the same idempotency key. The instance that makes the attempt is the
//! holder of the claim. A claim is settled when the response of its request is recorded, and
//! unknown when the request may have been executed without a recorded response.
//!
//! Claims are distributed over shards by the hash of their key. Each shard is one object in the
//! object store of the platform on which the instances run. It is changed by conditional writes,
//! which take effect only if the object still has the expected version.
//!
//! - [`record`]: the key and the record of a claim.
//! - [`command`]: commands on the claims of a shard, and their results.
//! - [`shard`]: the content of a shard object and the pure functions on it.
//! - [`segment`]: immutable objects to which settled claims are moved from the shard object.
//! - [`messages`] and [`writer`]: group commit of commands to one shard.
//! - [`holder`]: the life cycle of a claim at the instance that dispatches the request.
//! - [`retry_queue`]: commands that are retried in the background until they are decided.
//! - [`dead_holders`]: detection of claims whose holder is dead.
//!
//! Invariants:
//!
//! - A request is dispatched only after the platform returned a version of the shard that contains
//!   the claim of the attempt, and only within the dispatch window by the holder's own monotonic
//!   clock.
//! - A key can be claimed again only after the attempt that held it was released, and an attempt
//!   is released only when its request was not and never will be dispatched.
//! - A claim in state claimed or unknown is never deleted.

pub mod command;
pub mod dead_holders;
pub mod holder;
pub mod messages;
pub mod record;
pub mod retry_queue;
pub mod segment;
pub mod shard;
pub mod writer;

pub use command::ClaimCommand;
pub use command::ClaimReply;
pub use command::ClaimResult;
pub use dead_holders::DeadHolderTracker;
pub use holder::Claim;
pub use record::AttemptId;
pub use record::ClaimKey;
pub use record::ClaimRecord;
pub use record::ClaimState;
pub use record::Fingerprint;
pub use record::Holder;
pub use record::StoredResponse;
pub use retry_queue::RetryQueue;
pub use segment::Segment;
pub use shard::Shard;
pub use shard::ShardError;
pub use writer::Input;
pub use writer::Output;
pub use writer::ShardWriter;
