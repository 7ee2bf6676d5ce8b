//! The threads that commit commands to the shard objects.
//!
//! Every instance has a thread for each shard. One instance is the writer of a shard and commits
//! the commands of all instances; the others commit only commands that the writer did not decide. A
//! single writer saves calls to the platform. Correctness does not depend on it, because all writes
//! are conditional on the version that was read.
//!
//! Settled claims are moved from the shard object to segments, which are objects that never change.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;

use log::error;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::claims::ReplyTo;
use crate::claims::ShardMessage;
use crate::claims::object_key;
use crate::claims::remote_writer;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::platform_client::WriteCondition;
use crate::platform_client::WriteError;
use crate::stop_signal::StopSignal;
use arbutus_config::deployment::ClaimsSpec;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::DeadHolderTracker;
use arbutus_coord::claim::Holder;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Output;
use arbutus_coord::claim::Segment;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::ShardWriter;
use arbutus_coord::claim::writer::CommandId;
use arbutus_coord::claim::writer::ReadResult;
use arbutus_coord::claim::writer::WriteResult;
use arbutus_coord::claim::writer::WriterCounters;
use arbutus_coord::claim::writer::WriterSettings;
use arbutus_coord::membership::MemberState;

/// Maximum wait for a message while no operation is due.
const IDLE_WAIT_MS: Millis = Millis(1_000);
/// Time limit for each call to the platform.
const OPERATION_TIMEOUT_MS: Millis = Millis(400);
/// Interval between scans of a shard for claims of dead holders.
const DEAD_HOLDER_SCAN_PERIOD_MS: Millis = Millis(3_000);

/// The state of the thread of one shard.
pub(super) struct ShardThread<'a> {
    node: &'a Node,
    index: u32,
    platform: PlatformClient,
    writer: ShardWriter,
    reply_destinations: BTreeMap<CommandId, ReplyTo>,
    next_command_id: u64,
    dead_holders: DeadHolderTracker,
    next_scan: Millis,
    reported_counters: WriterCounters,
}

impl<'a> ShardThread<'a> {
    pub(super) fn new(node: &'a Node, index: u32, claims: &ClaimsSpec) -> Self {
        let settings = WriterSettings {
            group_commit_ms: claims.group_commit_ms,
            retention_ms: claims.retention_ms,
            // Longer than a call to the platform, so that the call ends first.
            operation_timeout_ms: OPERATION_TIMEOUT_MS.times(2),
            ..WriterSettings::default()
        };
        let segment_prefix = format!("{}-{:x}", node.settings.name, node.boot_id);
        Self {
            node,
            index,
            platform: node
                .platform
                .clone()
                .with_call_timeout(OPERATION_TIMEOUT_MS),
            writer: ShardWriter::new(index, claims.shards, settings).with_segments(&segment_prefix),
            reply_destinations: BTreeMap::new(),
            next_command_id: 0,
            dead_holders: DeadHolderTracker::new(),
            next_scan: DEAD_HOLDER_SCAN_PERIOD_MS,
            reported_counters: WriterCounters::default(),
        }
    }

    /// Commits commands until the stop signal is raised.
    pub(super) fn run(mut self, messages: &Receiver<ShardMessage>, stop: &StopSignal) {
        while !stop.is_raised() {
            let now = self.node.now();
            let wake_at = self.writer.wake_at().unwrap_or(Millis::MAX);
            let wait = (wake_at - now).min(IDLE_WAIT_MS).to_duration();
            match messages.recv_timeout(wait) {
                Ok(ShardMessage::Command { command, reply_to }) => {
                    let command_id = CommandId(self.next_command_id);
                    self.next_command_id += 1;
                    self.reply_destinations.insert(command_id, reply_to);
                    self.drive(Input::Command {
                        command_id,
                        command: *command,
                        wall_ms: Clock::unix_time(),
                    });
                }
                Ok(ShardMessage::Content(reply_to)) => {
                    self.drive(Input::Refresh);
                    // Sending fails if the receiver has timed out.
                    drop(reply_to.send(self.writer.content().cloned()));
                }
                Err(RecvTimeoutError::Timeout) => self.drive(Input::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.mark_claims_of_dead_holders();
            self.report_counters();
        }
    }

    /// Passes an input to the state machine, and performs the outputs until there are none left.
    fn drive(&mut self, input: Input) {
        let mut outputs: VecDeque<Output> = self.writer.handle(self.node.now(), input).into();
        while let Some(output) = outputs.pop_front() {
            let input = match output {
                Output::Read { operation } => Input::Read {
                    operation,
                    result: self.read(),
                },
                Output::Write {
                    operation,
                    expected,
                    shard,
                } => Input::Write {
                    operation,
                    result: self.write(&object_key(self.index), expected, &json!(shard)),
                },
                Output::ReadSegment { operation, name } => Input::Segment {
                    operation,
                    segment: self.read_segment(&name),
                },
                Output::WriteSegment {
                    operation,
                    name,
                    segment,
                } => Input::Write {
                    operation,
                    result: self.write(&self.segment_key(&name), None, &json!(segment)),
                },
                Output::DeleteSegment { name } => {
                    // If the deletion fails, the object remains, but nothing reads it.
                    drop(self.platform.delete(&self.segment_key(&name)));
                    continue;
                }
                Output::Reply { command_id, reply } => {
                    self.reply(command_id, reply);
                    continue;
                }
            };
            outputs.extend(self.writer.handle(self.node.now(), input));
        }
    }

    fn reply(&mut self, command_id: CommandId, reply: ClaimReply) {
        match self.reply_destinations.remove(&command_id) {
            // Sending fails if the waiter has timed out; it treats the outcome as unknown.
            Some(ReplyTo::Waiter(waiter)) => drop(waiter.try_send(reply)),
            Some(ReplyTo::RetryQueue(attempt)) => {
                self.node.claims.resolve_retry(self.node, &attempt, &reply);
            }
            Some(ReplyTo::Discard) | None => {}
        }
    }

    fn read(&self) -> ReadResult {
        match self.platform.get(&object_key(self.index)) {
            Ok(Some(object)) => match Shard::deserialize(object.value) {
                Ok(shard) => ReadResult::Found {
                    version: object.version,
                    shard,
                },
                Err(error) => {
                    self.node.metrics.count("claim_shard_malformed");
                    error!(shard = self.index, error:% = error; "claim shard object is malformed");
                    ReadResult::Failed
                }
            },
            Ok(None) => ReadResult::Absent,
            Err(_error) => ReadResult::Failed,
        }
    }

    fn read_segment(&self, name: &str) -> Option<Segment> {
        let object = self.platform.get(&self.segment_key(name)).ok().flatten()?;
        Segment::deserialize(object.value).ok()
    }

    fn segment_key(&self, name: &str) -> String {
        format!("{}/{name}", object_key(self.index))
    }

    fn write(&self, key: &str, expected: Option<u64>, content: &Value) -> WriteResult {
        let condition = expected.map_or(WriteCondition::Absent, WriteCondition::Version);
        match self.platform.put(key, condition, content) {
            Ok(version) => WriteResult::Written { version },
            Err(WriteError::Conflict) => WriteResult::Conflict,
            Err(WriteError::NotWritten(_)) => WriteResult::NotWritten,
            Err(WriteError::Unknown(_)) => WriteResult::Lost,
        }
    }

    /// Marks the claims of dead holders as unknown if a scan is due and this instance is the writer
    /// of the shard.
    fn mark_claims_of_dead_holders(&mut self) {
        let now = self.node.now();
        if now < self.next_scan {
            return;
        }
        self.next_scan = now + DEAD_HOLDER_SCAN_PERIOD_MS;
        let is_writer = remote_writer(self.node, self.index).is_none();
        if !is_writer || self.node.is_self_suspect() {
            self.dead_holders = DeadHolderTracker::new();
            return;
        }
        self.drive(Input::Refresh);
        let live = live_holders(self.node);
        let Some(shard) = self.writer.content() else {
            return;
        };
        let is_live = |holder: &Holder| live.contains(holder);
        let commands = self
            .dead_holders
            .observe(now, Clock::unix_time(), shard, is_live);
        for command in commands {
            self.node.metrics.count("claim_marked_unknown");
            self.node
                .claims
                .send_to_shard_thread(&command, ReplyTo::Discard);
        }
    }

    fn report_counters(&mut self) {
        let counters = self.writer.counters();
        let metrics = &self.node.metrics;
        metrics.count_by(
            "claim_shard_reads",
            counters.reads - self.reported_counters.reads,
        );
        metrics.count_by(
            "claim_shard_writes",
            counters.writes - self.reported_counters.writes,
        );
        metrics.count_by(
            "claim_segments",
            counters.segments - self.reported_counters.segments,
        );
        metrics.count_by(
            "claim_write_conflicts",
            counters.conflicts - self.reported_counters.conflicts,
        );
        metrics.count_by(
            "claim_writes_lost",
            counters.lost_writes - self.reported_counters.lost_writes,
        );
        self.reported_counters = counters;
    }
}

/// Returns the processes that are not known to be dead, including this one.
fn live_holders(node: &Node) -> Vec<Holder> {
    let local_holder = Holder {
        instance: node.settings.name.clone(),
        boot_id: node.boot_id,
    };
    let members = node.members().into_iter();
    members
        .filter(|member| member.state != MemberState::Dead)
        .map(|member| Holder {
            instance: member.name,
            boot_id: member.boot_id,
        })
        .chain([local_holder])
        .collect()
}
