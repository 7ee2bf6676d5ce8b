//! Messages between instances.
//!
//! The messages are `arbutus_wire` frames in `postcard` encoding, so variants and fields keep their
//! order, and new variants come last.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::store_version::StoreVersion;
use crate::update::StateUpdate;
use arbutus_coord::Millis;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::crash_quarantine::CrashReport;
use arbutus_policy::serving::leaving_targets::LeavingReport;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::rollout::Directive;
use arbutus_policy::serving::rollout::EvidenceReport;
use arbutus_policy::serving::stage_graph::PieceProgress;
use arbutus_policy::serving::target_limits::LimitReport;
use arbutus_policy::serving::target_view::exchange::ObservationMessage;
use arbutus_policy::serving::target_view::exchange::SummaryMessage;

/// Version of the messages in this module. An instance writes it to its entry in the store. It sends
/// a peer only commands of versions that the entry of the peer names, and uses later replies only for
/// such commands.
pub const PEER_PROTOCOL: u32 = 7;
/// First version that has [`PeerCommand::Updates`].
pub const COMPRESSED_UPDATES_PROTOCOL: u32 = 2;
/// First version that has [`PeerCommand::TargetLimits`].
pub const TARGET_LIMITS_PROTOCOL: u32 = 3;
/// First version that has [`PeerCommand::CrashesToConfirm`].
pub const CONFIRMED_CRASHES_PROTOCOL: u32 = 4;
/// First version that has [`PeerCommand::LeavingTargets`].
pub const LEAVING_TARGETS_PROTOCOL: u32 = 5;
/// First version that has [`PeerCommand::TargetObservations`].
pub const TARGET_VIEW_PROTOCOL: u32 = 6;
/// First version that has [`PeerCommand::RolloutEvidence`] and knows [`ObjectKind::Rollouts`].
pub const ROLLOUTS_PROTOCOL: u32 = 6;
/// First version that has [`PeerCommand::UpdatesInEras`].
pub const STORE_ERAS_PROTOCOL: u32 = 7;
/// First version that has [`PeerCommand::CrashReports`] and [`PeerCommand::KnownCrashes`].
pub const CRASH_REPORTS_PROTOCOL: u32 = 7;

/// Pieces of one stage of a request, sent to the owner of their queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitMessage {
    /// Number of the submission, assigned by the submitting instance.
    pub number: u64,
    /// The queue for the pieces.
    pub queue: QueueName,
    /// Identifier of the request, for logs.
    pub request: String,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Indices of the pieces in the stage.
    pub pieces: Vec<u32>,
    /// The input of the pieces: a key in a first stage, the results of earlier stages otherwise.
    pub source: PieceSource,
    /// The failure domain in which the results are needed.
    pub failure_domain: String,
    /// Time until the results are needed for the request to meet its latency objective.
    pub due_ms: Millis,
    /// Time until the request is abandoned.
    pub deadline_ms: Millis,
    /// Priority of the request; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Approximate size of one result.
    pub result_bytes: u64,
}

/// A message from the instance that opened a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCommand {
    /// Adds pieces to a queue.
    Submit(SubmitMessage),
    /// Cancels the pieces of a submission.
    Cancel {
        /// The queue of the submission.
        queue: QueueName,
        /// Number of the submission.
        number: u64,
    },
    /// Frees results.
    Free {
        /// The queue whose targets computed the results.
        queue: QueueName,
        /// Handles of the results.
        handles: Vec<String>,
    },
    /// Requests a [`PeerReply::Pong`].
    Ping,
    /// Requests all store objects newer than these versions.
    Objects(Vec<(ObjectKind, StoreVersion)>),
    /// Requests all store objects newer than these versions, and each change from now on.
    Follow(Vec<(ObjectKind, StoreVersion)>),
    /// Reports requests that crash targets.
    Crashes(Vec<QuarantineEntry>),
    /// Reports crashes of which prompt parts are suspected, and how long ago they occurred.
    PromptCrashes(Vec<(Millis, PromptCrash)>),
    /// Reports suspected prompt parts of requests that got a response.
    ClearedParts(BTreeSet<PartHash>),
    /// Requests the crashes of all quarantined prompt parts.
    QuarantinedPrompts,
    /// The same as [`PeerCommand::Objects`], or [`PeerCommand::Follow`] if `follow` is set, of a
    /// peer that understands [`PeerReply::CompressedObjects`].
    Updates {
        /// The known versions, without eras.
        known_versions: Vec<(ObjectKind, StoreVersion)>,
        /// Whether each change from now on is requested, too. A peer that follows already asks for
        /// a confirmation; its known versions count only if it has received all updates that were
        /// sent to it.
        follow: bool,
    },
    /// Acknowledges an update that was requested by [`PeerCommand::Updates`].
    UpdateReceived,
    /// Reports limits that targets name.
    TargetLimits(Vec<LimitReport>),
    /// Requests the limits of all targets.
    KnownTargetLimits,
    /// The same as [`PeerCommand::Crashes`], of a peer that understands
    /// [`PeerReply::RecentResponses`].
    CrashesToConfirm(Vec<QuarantineEntry>),
    /// Reports that requests which were reported to crash targets got a response, and how long ago.
    RecentResponses(Vec<(Fingerprint, Millis)>),
    /// Reports targets that have said that they shut down.
    LeavingTargets(Vec<LeavingReport>),
    /// Requests all targets that have said that they shut down.
    KnownLeavingTargets,
    /// What a member of the failure domain observed of targets.
    TargetObservations(ObservationMessage),
    /// What an aggregator knows of targets.
    TargetSummaries(SummaryMessage),
    /// Requests all that the peer knows of targets.
    KnownTargets,
    /// Reports the evidence of a roll-out to its decider, which replies with
    /// [`PeerReply::RolloutDirective`].
    RolloutEvidence(EvidenceReport),
    /// The same as [`PeerCommand::CrashesToConfirm`], with crashes at any time.
    CrashReports(Vec<CrashReport>),
    /// Requests the crashes of all requests that crashed targets lately.
    KnownCrashes,
    /// The same as [`PeerCommand::Updates`], of a peer that knows eras of the store.
    UpdatesInEras {
        /// The known versions.
        known_versions: Vec<(ObjectKind, StoreVersion)>,
        /// Whether each change from now on is requested, too.
        follow: bool,
    },
}

/// A message to the instance that opened a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reports the progress of a piece.
    Piece {
        /// Number of the submission.
        number: u64,
        /// Index of the piece.
        piece: u32,
        /// What happened to the piece.
        progress: PieceProgress,
    },
    /// The reply to [`PeerCommand::Ping`].
    Pong,
    /// The sender is shutting down: it completes its calls in progress and returns all other
    /// pieces.
    Leaving,
    /// Newer store objects of one kind.
    Objects(ObjectKind, StateUpdate),
    /// Accepts a [`PeerCommand::Follow`]: the sender watches the store, the store responds, and
    /// each change will be sent.
    Followed,
    /// Rejects a [`PeerCommand::Follow`], or ends the updates that followed one: the store does not
    /// respond to the sender.
    #[serde(rename = "Blind")]
    StoreUnreachable,
    /// Rejects a [`PeerCommand::Follow`], or ends the updates that followed one: the sender is not
    /// watching the store, or has not reached it yet.
    NotWatching,
    /// Reports the time that the targets of a queue need for its waiting pieces.
    Backlog {
        /// The queue of the report.
        queue: QueueName,
        /// The time that the targets need.
        backlog_ms: Millis,
    },
    /// Earlier crashes of quarantined prompt parts, all of them or those that the peer has reported
    /// as suspects.
    PromptCrashes(Vec<PromptCrash>),
    /// Newer store objects of one kind: a compressed [`StateUpdate`].
    CompressedObjects(ObjectKind, Bytes),
    /// The limits of all targets that have one.
    TargetLimits(Vec<LimitReport>),
    /// The reported requests that the sender got a response to, and how long ago.
    RecentResponses(Vec<(Fingerprint, Millis)>),
    /// All targets that have said that they shut down.
    LeavingTargets(Vec<LeavingReport>),
    /// All that the sender knows of targets.
    TargetSummaries(SummaryMessage),
    /// What the decider of a roll-out instructs the sender of a report to do.
    RolloutDirective(Directive),
    /// The requests that crashed targets lately and got no response since.
    KnownCrashes(Vec<CrashReport>),
}
