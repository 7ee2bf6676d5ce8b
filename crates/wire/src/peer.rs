//! TCP messages between instances.
//!
//! A connection carries one [`PeerCall`] after another, each answered by [`PeerReply`] frames. A
//! stage call is answered by any number of tokens and one end; every other call by one frame.

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::document::DocumentReply;
use arbutus_coord::document::Version;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::membership::Digests;
use arbutus_coord::membership::Member;

/// One call to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCall {
    /// The name of the deployment; calls of others are refused.
    pub cluster: String,
    /// The name of the calling instance.
    pub sender: String,
    /// The boot identifier of the calling instance.
    pub boot_id: u64,
    /// What is asked for.
    pub request: PeerRequest,
}

/// What an instance asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a document that is newer than the version the caller holds.
    FetchDocument {
        /// The kind of the document.
        kind: DocumentKind,
        /// The version that the caller holds.
        known_version: Version,
    },
    /// Asks for the members that the caller may lack; used when joining and when digests keep
    /// differing.
    FetchMembers {
        /// The parts of the caller's digest.
        buckets: Vec<u64>,
    },
    /// Offers the caller's drains and asks for the receiver's.
    ExchangeDrains {
        /// The entries of the caller.
        entries: Vec<DrainEntry>,
    },
    /// Runs one stage at a target of the receiver's failure domain.
    StageCall(Box<StageCall>),
    /// One claim command for a shard whose writer is the receiver.
    Claim {
        /// The number of the shard.
        shard: u32,
        /// The command in the claim module's encoding.
        command: Vec<u8>,
    },
    /// Asks what the instance knows.
    Status,
}

/// One frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers `FetchDocument`.
    Document(DocumentReply),
    /// Answers `FetchMembers`.
    Members(Vec<Member>),
    /// Answers `ExchangeDrains`.
    Drains(Vec<DrainEntry>),
    /// One token of a stage call.
    Token(TokenFrame),
    /// The end of a stage call.
    StageEnd(StageEnd),
    /// Answers `Claim`, in the claim module's encoding.
    Claim(Vec<u8>),
    /// Answers `Status`.
    Status(InstanceStatus),
    /// The call was not begun.
    Refused {
        /// The reason, for logs and operators.
        reason: String,
    },
}

/// One stage of a request for a target of another failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageCall {
    /// The identifier of the caller's request.
    pub request_id: String,
    /// The name of the stage within the pipeline.
    pub stage_id: String,
    /// The identifier of this attempt.
    pub attempt_id: String,
    /// The service that runs the stage.
    pub service: String,
    /// The time until the deadline, counted from the sending of the call.
    pub remaining_ms: Millis,
    /// The organisation on whose behalf the request is made.
    pub organisation: String,
    /// The urgency of the class, 0 being the most urgent.
    pub priority: u8,
    /// The idempotency key of a non-idempotent request.
    pub idempotency_key: Option<String>,
    /// The time within which a claimed call may be sent to a target, counted from the sending of
    /// this call.
    pub dispatch_within_ms: Option<Millis>,
    /// The hash of the caller's request, which a resend shares.
    pub fingerprint: u64,
    /// The key that determines the preferred engine of a prompt.
    pub prefix: Option<u64>,
    /// The body for the target.
    pub body: Vec<u8>,
    /// The largest number of tokens that an engine generates.
    pub max_tokens: u32,
    /// The longest silence within a stream.
    pub stall_ms: Millis,
    /// The offset of the first token to send.
    pub resume_at: u32,
    /// How long the call may wait for a slot at the receiver.
    pub wait_ms: Millis,
    /// How often the call was forwarded; a receiver of a forwarded call does not forward it.
    pub hops: u8,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenFrame {
    /// The position of the token in the whole answer, starting at 0.
    pub offset: u32,
    /// The token's text.
    pub text: String,
}

/// The end of a stage call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageEnd {
    /// The identifier of the caller's request.
    pub request_id: String,
    /// The name of the stage.
    pub stage_id: String,
    /// The identifier of the attempt.
    pub attempt_id: String,
    /// The outcome.
    pub outcome: StageOutcome,
}

/// How a stage call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageOutcome {
    /// The target answered.
    Answered {
        /// The HTTP status of the target.
        status: u16,
        /// The body of the target's answer.
        body: Vec<u8>,
    },
    /// The stream ended with its final frame.
    Streamed {
        /// The number of tokens in the whole answer.
        tokens: u32,
    },
    /// No target received the call; the answering instance has proof of that.
    NotRun {
        /// Why the call was not sent.
        reason: NotRunReason,
        /// When a retry is useful.
        retry_after_ms: Option<Millis>,
    },
    /// A target may have run the call.
    Unknown {
        /// What happened, for logs and operators.
        detail: String,
    },
}

/// Why a stage call was not sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// No target of the service has a free slot.
    NoSlot,
    /// The failure domain or all targets of the service are drained.
    Drained,
    /// The service has no targets in the failure domain.
    NoTarget,
    /// The remaining time does not suffice.
    Deadline,
    /// A limit of the receiving instance or of the organisation was reached.
    Limit,
    /// The request is quarantined.
    Quarantined,
    /// The connection to the target could not be established.
    ConnectFailed,
    /// The receiving instance shuts down or regards itself as suspect.
    Unavailable,
    /// The call was forwarded before, and the receiver cannot run it.
    #[strum(serialize = "hops")]
    AlreadyForwarded,
}

/// What an instance knows, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance itself.
    pub member: Member,
    /// The digests of what it knows.
    pub digests: Digests,
    /// Whether it regards itself as suspect.
    pub self_suspect: bool,
    /// The number of members that it regards as alive, itself included.
    pub alive_members: u32,
    /// The number of requests in progress.
    pub in_flight: u32,
    /// The generation of the configuration in force.
    pub generation: u64,
}
