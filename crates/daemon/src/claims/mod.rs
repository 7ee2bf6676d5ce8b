//! Claims of non-idempotent requests.
//!
//! A claim records at the platform which attempt may execute a request, and later its response, so
//! that a request is not executed twice. The claims are distributed by the hash of their key over a
//! fixed number of shards, each of which is one object at the platform. The state machines of
//! [`arbutus_coord::claim`] make the decisions; these modules perform the I/O:
//!
//! - [`shards`]: a thread for each shard object; it commits several commands with one write.
//! - [`holder`]: the claim of one request, from the proposal to the recorded outcome, at the
//!   instance that executes the request.
//! - [`background`]: retries of commands until their results are known.
//! - [`operators`]: the list of unsettled claims, and their settlement by operators.

pub mod background;
pub mod holder;
pub mod operators;
pub mod shards;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::mpsc::Sender;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use crate::node::Node;
use crate::peer::PeerError;
use arbutus_coord::Millis;
use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::ClaimResult;
use arbutus_coord::claim::RetryQueue;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::holder::FinalizeResult;
use arbutus_coord::claim::holder::Finalizing;
use arbutus_coord::rendezvous;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;

/// Time limit for a command at the instance that writes its shard.
const WRITER_TIMEOUT_MS: Millis = Millis(500);
/// Time limit for a command, after which the caller no longer waits for its reply.
pub const COMMAND_TIMEOUT_MS: Millis = Millis(1_200);
/// Key prefix of the shard objects at the platform.
const OBJECT_PREFIX: &str = "claims/";

/// Where the reply to a command is sent.
#[derive(Debug)]
pub enum ReplyTo {
    /// To a thread that waits for it.
    Waiter(SyncSender<ClaimReply>),
    /// To the retry queue, as the result of this attempt's command.
    RetryQueue(AttemptId),
    /// Nowhere. A later scan sends the command again if it had no effect.
    Discard,
}

/// A message to a shard thread.
#[derive(Debug)]
pub enum ShardMessage {
    /// Commits a command.
    Command {
        /// The command to commit.
        command: Box<ClaimCommand>,
        /// Where the reply is sent.
        reply_to: ReplyTo,
    },
    /// Asks for the current content of the shard; the reply is `None` if it cannot be read.
    Content(SyncSender<Option<Shard>>),
}

/// The result of [`Claims::submit`].
#[derive(Debug)]
pub struct SubmitResult {
    /// Reply to the command; [`ClaimReply::Unavailable`] if no instance decided it in time.
    pub reply: ClaimReply,
    /// Whether a second copy of the command may take effect later, because it was sent to the
    /// writer of the shard and its outcome there is unknown.
    pub duplicate_may_take_effect: bool,
}

/// The shard threads and the retry queue of an instance.
#[derive(Debug, Default)]
pub struct Claims {
    shards: RwLock<Vec<Sender<ShardMessage>>>,
    retry_queue: Mutex<RetryQueue>,
}

impl Claims {
    /// Creates the claims of an instance without shard threads; [`background::run`] starts them.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of commands in the retry queue, that is, without a known result.
    #[must_use]
    pub fn undecided_command_count(&self) -> usize {
        self.with_retry_queue(|retry_queue| retry_queue.len())
    }

    /// Adds the final command of a claim to the retry queue, which retries it until its result is
    /// known. A final command records the outcome of the request or withdraws the claim.
    pub fn finalize_later(&self, now: Millis, claim: Claim<Finalizing>) {
        self.with_retry_queue(|retry_queue| retry_queue.push(now, claim));
    }

    /// Sends a command to the writer of its shard, and commits it in this instance if the writer
    /// does not decide it.
    #[must_use]
    pub fn submit(&self, node: &Node, command: &ClaimCommand, timeout: Millis) -> SubmitResult {
        let until = node.now() + timeout.min(COMMAND_TIMEOUT_MS);
        let writer_result = self.submit_to_writer(node, command, timeout.min(WRITER_TIMEOUT_MS));
        let duplicate_may_take_effect = match writer_result {
            Some(Ok(reply @ ClaimReply::Decided(_))) => {
                return SubmitResult {
                    reply,
                    duplicate_may_take_effect: false,
                };
            }
            Some(Ok(ClaimReply::Unavailable { may_have_landed })) => may_have_landed,
            Some(Err(error)) => !error.is_not_executed(),
            None => false,
        };
        let mut reply = self.commit_directly(command, until - node.now());
        if let ClaimReply::Unavailable { may_have_landed } = &mut reply {
            *may_have_landed |= duplicate_may_take_effect;
        }
        SubmitResult {
            reply,
            duplicate_may_take_effect,
        }
    }

    /// Commits a JSON-encoded command of another instance.
    #[must_use]
    pub fn handle_peer_command(&self, command: &[u8]) -> PeerReply {
        match serde_json::from_slice::<ClaimCommand>(command) {
            Ok(command) => {
                PeerReply::Claim(encode(&self.commit_directly(&command, WRITER_TIMEOUT_MS)))
            }
            Err(error) => PeerReply::Refused {
                reason: format!("malformed claim command: {error}"),
            },
        }
    }

    fn submit_to_writer(
        &self,
        node: &Node,
        command: &ClaimCommand,
        timeout: Millis,
    ) -> Option<Result<ClaimReply, PeerError>> {
        let shard = command.key().shard_index(self.shard_count()?);
        let writer = remote_writer(node, shard)?;
        let address = node
            .members()
            .into_iter()
            .find(|member| member.name == writer)?
            .peer_address;
        let request = PeerRequest::Claim {
            shard,
            command: encode(command),
        };
        let reply = node.gossip().client().call(address, request, timeout);
        Some(reply.and_then(|reply| match reply {
            PeerReply::Claim(reply) => {
                serde_json::from_slice(&reply).map_err(|_error| PeerError::UnexpectedReply)
            }
            _ => Err(PeerError::UnexpectedReply),
        }))
    }

    fn commit_directly(&self, command: &ClaimCommand, timeout: Millis) -> ClaimReply {
        let (sender, receiver) = sync_channel(1);
        if !self.send_to_shard_thread(command, ReplyTo::Waiter(sender)) {
            return ClaimReply::Unavailable {
                may_have_landed: false,
            };
        }
        let reply = receiver.recv_timeout(timeout.to_duration());
        reply.unwrap_or(ClaimReply::Unavailable {
            may_have_landed: true,
        })
    }

    /// Sends a command to the thread of its shard, and returns whether the thread exists.
    fn send_to_shard_thread(&self, command: &ClaimCommand, reply_to: ReplyTo) -> bool {
        let Some(count) = self.shard_count() else {
            return false;
        };
        let message = ShardMessage::Command {
            command: Box::new(command.clone()),
            reply_to,
        };
        self.send_to_shard(command.key().shard_index(count), message)
    }

    fn send_to_shard(&self, shard: u32, message: ShardMessage) -> bool {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        let Some(sender) = shards.get(shard as usize) else {
            return false;
        };
        sender.send(message).is_ok()
    }

    fn set_shards(&self, senders: Vec<Sender<ShardMessage>>) {
        *self.shards.write().unwrap_or_else(PoisonError::into_inner) = senders;
    }

    fn shard_count(&self) -> Option<u32> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        let count = u32::try_from(shards.len()).ok()?;
        (count > 0).then_some(count)
    }

    /// Passes the reply to a retried command to the retry queue, and counts the result.
    fn resolve_retry(&self, node: &Node, attempt: &AttemptId, reply: &ClaimReply) {
        let result = self.with_retry_queue(|retry_queue| retry_queue.resolve(attempt, reply));
        count_result(node, result.as_ref());
    }

    fn with_retry_queue<R>(&self, use_queue: impl FnOnce(&mut RetryQueue) -> R) -> R {
        let mut retry_queue = self
            .retry_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        use_queue(&mut retry_queue)
    }
}

/// Returns the name of the instance that writes a shard, or `None` if this instance writes it.
fn remote_writer(node: &Node, shard: u32) -> Option<String> {
    let key = object_key(shard);
    let members = node.members();
    let live = members
        .iter()
        .filter(|member| member.state == arbutus_coord::membership::MemberState::Alive)
        .map(|member| member.name.as_str());
    let local_name = node.settings.name.as_str();
    rendezvous::owner(key.as_bytes(), live)
        .filter(|writer| *writer != local_name)
        .map(str::to_owned)
}

fn object_key(shard: u32) -> String {
    format!("{OBJECT_PREFIX}{shard}")
}

/// Encodes a command or a reply as JSON for another instance.
///
/// # Panics
///
/// Panics if the value cannot be serialized, which cannot happen for these types.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("commands and replies can be serialized")
}

fn count_result(node: &Node, result: Option<&FinalizeResult>) {
    match result {
        Some(FinalizeResult::Overridden { .. }) => node.metrics.count("claim_settled_by_operator"),
        Some(FinalizeResult::NotHolder(_)) => node.metrics.count("claim_record_missing"),
        Some(FinalizeResult::Done | FinalizeResult::Retry(_)) | None => {}
    }
}

/// Returns whether a reply to a proposal proves that its attempt has no claim.
fn is_decided_without_claim(reply: &ClaimReply) -> bool {
    !matches!(
        reply,
        ClaimReply::Decided(ClaimResult::Claimed) | ClaimReply::Unavailable { .. }
    )
}
