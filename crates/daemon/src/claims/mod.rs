//! Claims of non-idempotent requests.
//!
//! The decisions are made by the state machines of [`arbutus_coord::claim`]. This module drives
//! them:
//!
//! - [`shards`]: one thread for each shard object, with its group commit.
//! - [`holder`]: the claim of one request, from its proposal to its recorded outcome.
//! - [`background`]: commands that are repeated until they are decided.
//! - [`operators`]: the list of unsettled requests, and their settlement.

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

/// Time limit of a command at the writer of its shard.
const PEER_TIMEOUT_MS: Millis = Millis(500);
/// Time after which a command counts as undecided.
pub const COMMAND_TIMEOUT_MS: Millis = Millis(1_200);
/// Key prefix of the shard objects.
const OBJECT_PREFIX: &str = "claims/";

/// Where the reply to a command goes.
#[derive(Debug)]
pub enum ReplyTo {
    /// A thread that waits for it.
    Waiter(SyncSender<ClaimReply>),
    /// The backlog.
    Backlog(AttemptId),
    /// Nowhere; the command is given again if it had no effect.
    Nobody,
}

/// A message for the thread of a shard.
#[derive(Debug)]
pub enum ShardMessage {
    /// A command to be committed.
    Command {
        /// The command.
        command: Box<ClaimCommand>,
        /// Where the reply goes.
        reply_to: ReplyTo,
    },
    /// A request for the present content.
    Content(SyncSender<Option<Shard>>),
}

/// A reply with what is known about other copies of the command.
#[derive(Debug)]
pub struct Submitted {
    /// The reply.
    pub reply: ClaimReply,
    /// Whether another copy of the command may still land.
    pub stray_copy: bool,
}

/// The claims of an instance.
#[derive(Debug, Default)]
pub struct Claims {
    shards: RwLock<Vec<Sender<ShardMessage>>>,
    backlog: Mutex<RetryQueue>,
}

impl Claims {
    /// Creates the claims of an instance whose shard threads have not been started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of commands that are repeated in the background.
    #[must_use]
    pub fn undecided(&self) -> usize {
        self.with_backlog(|backlog| backlog.len())
    }

    /// Adds a closing command to those that are repeated until they are decided.
    pub fn close_later(&self, now: Millis, claim: Claim<Finalizing>) {
        self.with_backlog(|backlog| backlog.push(now, claim));
    }

    /// Sends a command to the writer of its shard, and commits it directly when the writer does
    /// not answer.
    #[must_use]
    pub fn submit(&self, node: &Node, command: &ClaimCommand, timeout: Millis) -> Submitted {
        let until = node.now() + timeout.min(COMMAND_TIMEOUT_MS);
        let by_writer = self.submit_to_writer(node, command, timeout.min(PEER_TIMEOUT_MS));
        let stray_copy = match by_writer {
            Some(Ok(reply @ ClaimReply::Decided(_))) => {
                return Submitted {
                    reply,
                    stray_copy: false,
                };
            }
            Some(Ok(ClaimReply::Unavailable { may_have_landed })) => may_have_landed,
            Some(Err(error)) => !error.is_not_executed(),
            None => false,
        };
        let mut reply = self.commit_directly(command, until - node.now());
        if let ClaimReply::Unavailable { may_have_landed } = &mut reply {
            *may_have_landed |= stray_copy;
        }
        Submitted { reply, stray_copy }
    }

    /// Commits a command of another instance, in the encoding of [`encode`].
    #[must_use]
    pub fn handle_peer_command(&self, command: &[u8]) -> PeerReply {
        match serde_json::from_slice::<ClaimCommand>(command) {
            Ok(command) => {
                PeerReply::Claim(encode(&self.commit_directly(&command, PEER_TIMEOUT_MS)))
            }
            Err(error) => PeerReply::Refused {
                reason: format!("the claim command is malformed: {error}"),
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
        let writer = writer_of(node, shard)?;
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
        if !self.hand_to_shard(command, ReplyTo::Waiter(sender)) {
            return ClaimReply::Unavailable {
                may_have_landed: false,
            };
        }
        let reply = receiver.recv_timeout(timeout.to_duration());
        reply.unwrap_or(ClaimReply::Unavailable {
            may_have_landed: true,
        })
    }

    /// Hands a command to the thread of its shard, and returns whether there is one.
    fn hand_to_shard(&self, command: &ClaimCommand, reply_to: ReplyTo) -> bool {
        let Some(count) = self.shard_count() else {
            return false;
        };
        let message = ShardMessage::Command {
            command: Box::new(command.clone()),
            reply_to,
        };
        self.send(command.key().shard_index(count), message)
    }

    fn send(&self, shard: u32, message: ShardMessage) -> bool {
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

    fn resolve(&self, node: &Node, attempt: &AttemptId, reply: &ClaimReply) {
        let result = self.with_backlog(|backlog| backlog.resolve(attempt, reply));
        count_result(node, result.as_ref());
    }

    fn with_backlog<R>(&self, use_backlog: impl FnOnce(&mut RetryQueue) -> R) -> R {
        let mut backlog = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        use_backlog(&mut backlog)
    }
}

/// Returns the name of the instance that commits for a shard, unless it is this instance.
fn writer_of(node: &Node, shard: u32) -> Option<String> {
    let key = object_key(shard);
    let members = node.members();
    let live = members
        .iter()
        .filter(|member| member.state == arbutus_coord::membership::MemberState::Alive)
        .map(|member| member.name.as_str());
    let own = node.settings.name.as_str();
    rendezvous::owner(key.as_bytes(), live)
        .filter(|writer| *writer != own)
        .map(str::to_owned)
}

fn object_key(shard: u32) -> String {
    format!("{OBJECT_PREFIX}{shard}")
}

/// Encodes a command or a reply for another instance.
///
/// # Panics
///
/// Panics when the value cannot be serialized, which its types rule out.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("commands and replies are serializable")
}

fn count_result(node: &Node, result: Option<&FinalizeResult>) {
    match result {
        Some(FinalizeResult::Overridden { .. }) => node.metrics.count("claim_settled_by_operator"),
        Some(FinalizeResult::NotHolder(_)) => node.metrics.count("claim_record_missing"),
        Some(FinalizeResult::Done | FinalizeResult::Retry(_)) | None => {}
    }
}

/// Returns whether a reply proves that the proposal's attempt has no claim now.
fn is_decided_without_claim(reply: &ClaimReply) -> bool {
    !matches!(
        reply,
        ClaimReply::Decided(ClaimResult::Claimed) | ClaimReply::Unavailable { .. }
    )
}
