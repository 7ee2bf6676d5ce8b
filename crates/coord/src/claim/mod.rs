//! Claims for non-idempotent requests.
//!
//! A claim decides which instance may run a request, and keeps its answer for resends. Claims are
//! stored in shards, each of which is one object that is changed by conditional update.
//!
//! - [`record`]: the identity and the record of a claim.
//! - [`command`]: commands on a shard and their answers.
//! - [`shard`]: the content of a shard object and the pure functions on it.
//! - [`segment`]: settled claims that were moved out of the shard object.
//! - [`messages`] and [`writer`]: group commit of commands to one shard.
//! - [`holder`]: the life cycle of a claim at the instance that runs the request.
//! - [`retry_queue`]: commands that are repeated in the background until they are decided.
//! - [`dead_holders`]: detection of claims whose holder has gone.
//!
//! Invariants:
//!
//! - An attempt is dispatched only after a platform version that contains its claim was returned,
//!   and only within the dispatch window by the holder's own monotonic clock.
//! - A key can be claimed again only after the attempt that held it was released, and an attempt
//!   is released only when it was not and never will be dispatched.
//! - A claim that is running or unknown is never deleted.

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
