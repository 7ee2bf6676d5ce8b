//! TCP messages between instances.
//!
//! A connection carries one [`PeerCall`] at a time. The reply to a stage call consists of any
//! number of [`PeerReply::Token`] frames and one [`PeerReply::StageEnd`]; the reply to every other
//! call is a single [`PeerReply`] frame. The reply to any call may also be [`PeerReply::Refused`].

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
    /// The name of the deployment; an instance of another deployment refuses the call.
    pub cluster: String,
    /// The name of the calling instance.
    pub sender: String,
    /// The boot identifier of the calling instance.
    pub boot_id: u64,
    /// The request.
    pub request: PeerRequest,
}

/// A request to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests a document if the receiver has a newer version than the caller.
    FetchDocument {
        /// The kind of the document.
        kind: DocumentKind,
        /// The version that the caller has; the default requests the whole document.
        known_version: Version,
    },
    /// Requests the members that the caller may lack; sent when joining and when member digests
    /// have differed for some time.
    FetchMembers {
        /// The digest of the members in each hash bucket of the caller.
        buckets: Vec<u64>,
    },
    /// Sends the drain entries of the caller and requests those of the receiver.
    ExchangeDrains {
        /// All drain entries of the caller.
        entries: Vec<DrainEntry>,
    },
    /// Has a target in the receiver's failure domain execute one stage.
    StageCall(Box<StageCall>),
    /// Executes one claim command on a shard whose writer is the receiver.
    Claim {
        /// The index of the shard.
        shard: u32,
        /// The command as encoded by `arbutus_coord::claim`.
        command: Vec<u8>,
    },
    /// Requests the status of the instance.
    Status,
}

/// One frame of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to [`PeerRequest::FetchDocument`].
    Document(DocumentReply),
    /// The reply to [`PeerRequest::FetchMembers`].
    Members(Vec<Member>),
    /// The reply to [`PeerRequest::ExchangeDrains`], with all drain entries of the receiver.
    Drains(Vec<DrainEntry>),
    /// One token of the output of a stage call.
    Token(TokenFrame),
    /// The last frame of the reply to [`PeerRequest::StageCall`].
    StageEnd(StageEnd),
    /// The reply to [`PeerRequest::Claim`], as encoded by `arbutus_coord::claim`.
    Claim(Vec<u8>),
    /// The reply to [`PeerRequest::Status`].
    Status(InstanceStatus),
    /// The receiver refused the call and did nothing.
    Refused {
        /// The reason, for logs and operators.
        reason: String,
    },
}

/// A call that has a target of another failure domain execute one stage of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageCall {
    /// The identifier of the client's request.
    pub request_id: String,
    /// The name of the stage within the pipeline.
    pub stage_id: String,
    /// The identifier of this attempt to execute the stage.
    pub attempt_id: String,
    /// The service that executes the stage.
    pub service: String,
    /// The time from sending the call until the deadline of the request.
    pub remaining_ms: Millis,
    /// The organisation on whose behalf the request is made.
    pub organisation: String,
    /// The priority of the request's class; 0 is the most urgent.
    pub priority: u8,
    /// The idempotency key of a non-idempotent request, `None` for an idempotent one.
    pub idempotency_key: Option<String>,
    /// For a request with a claim, the time from sending this call within which the receiver may
    /// send the request to a target; `None` without a claim.
    pub dispatch_within_ms: Option<Millis>,
    /// The hash of the client's request, which is the same for its retries.
    pub fingerprint: u64,
    /// The hash of the prompt prefix, which determines the preferred engine. `None` when there is
    /// no preference.
    pub prefix: Option<u64>,
    /// The request body for the target.
    pub body: Vec<u8>,
    /// The largest number of tokens that an engine may generate.
    pub max_tokens: u32,
    /// The longest time without a token before a stream counts as stalled.
    pub stall_ms: Millis,
    /// The offset of the first token to return.
    pub resume_at: u32,
    /// The longest time for which the call may wait for a slot at the receiver.
    #[serde(rename = "wait_ms")]
    pub max_slot_wait_ms: Millis,
    /// How often the call was forwarded. An instance does not forward a call that was forwarded
    /// before.
    pub hops: u8,
}

/// One token of a generated stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenFrame {
    /// The position of the token in the whole output, starting at 0.
    pub offset: u32,
    /// The token's text.
    pub text: String,
}

/// The result of a stage call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageEnd {
    /// The identifier of the client's request.
    pub request_id: String,
    /// The name of the stage within the pipeline.
    pub stage_id: String,
    /// The identifier of the attempt, as in the call.
    pub attempt_id: String,
    /// How the call ended.
    pub outcome: StageOutcome,
}

/// How a stage call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageOutcome {
    /// The target responded.
    #[serde(rename = "Answered")]
    Responded {
        /// The HTTP status of the target's response.
        status: u16,
        /// The body of the target's response.
        body: Vec<u8>,
    },
    /// The target's stream is complete; the tokens were sent as [`PeerReply::Token`] frames.
    Streamed {
        /// The number of tokens in the whole output.
        tokens: u32,
    },
    /// The replying instance knows for certain that no target executed the call.
    #[serde(rename = "NotRun")]
    NotExecuted {
        /// Why the call was not executed.
        reason: NotExecutedReason,
        /// The time after which a retry may succeed; `None` when it is not known.
        retry_after_ms: Option<Millis>,
    },
    /// A target may have executed the call.
    Unknown {
        /// The error, for logs and operators.
        detail: String,
    },
}

/// Why a stage call was not executed by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotExecutedReason {
    /// No target of the service has a free slot.
    NoSlot,
    /// The failure domain or all targets of the service are drained.
    Drained,
    /// The service has no targets in the failure domain.
    NoTarget,
    /// The time until the deadline is too short.
    Deadline,
    /// A limit of the receiving instance or of the organisation is reached.
    Limit,
    /// The request is quarantined because it crashed targets.
    Quarantined,
    /// The connection to the target could not be established.
    ConnectFailed,
    /// The receiving instance is shutting down or regards itself as suspect.
    Unavailable,
    /// The receiver cannot execute the call, and does not forward it because it was forwarded
    /// before.
    #[strum(serialize = "hops")]
    AlreadyForwarded,
}

/// The status of an instance, as it reports it to other instances. The status for operators is
/// [`admin::Status`](crate::admin::Status).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance's entry in its own member table.
    pub member: Member,
    /// The digests of its documents and drains; the digest of its members is always 0.
    pub digests: Digests,
    /// Whether it regards itself as suspect because it was paused.
    pub self_suspect: bool,
    /// The number of members that it regards as alive, including itself.
    pub alive_members: u32,
    /// The number of requests in progress at the instance.
    pub in_flight: u32,
    /// The configuration generation that the instance has applied, or 0 before the first one.
    pub generation: u64,
}
