//! State of one simulated instance.

use std::collections::BTreeMap;

use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::DeadHolderTracker;
use arbutus_coord::claim::RetryQueue;
use arbutus_coord::claim::ShardWriter;
use arbutus_coord::claim::holder::Confirmed;
use arbutus_coord::claim::holder::Dispatched;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::writer::CommandId;
use arbutus_coord::claim::writer::WriterSettings;

/// Less than the size of two claims, so that nearly every settled claim is moved to a segment.
const ARCHIVE_ABOVE_BYTES: usize = 900;

pub enum Call {
    Proposed(Claim<Proposed>),
    Confirmed(Claim<Confirmed>),
    Dispatched(Claim<Dispatched>),
}

pub struct SimulatedInstance {
    pub boot_id: u64,
    pub paused_until: u64,
    /// The time until which the other instances consider this one dead although it runs.
    pub partitioned_until: u64,
    pub writer: ShardWriter,
    /// The sender, its boot identifier and the command, for each command in the shard writer.
    pub origins: BTreeMap<CommandId, (usize, u64, ClaimCommand)>,
    pub calls: BTreeMap<AttemptId, Call>,
    pub retry_queue: RetryQueue,
    pub dead_holders: DeadHolderTracker,
}

impl SimulatedInstance {
    pub fn new(boot_id: u64) -> Self {
        let settings = WriterSettings {
            archive_above_bytes: ARCHIVE_ABOVE_BYTES,
            ..WriterSettings::default()
        };
        Self {
            boot_id,
            paused_until: 0,
            partitioned_until: 0,
            writer: ShardWriter::new(0, 1, settings).with_segments(&boot_id.to_string()),
            origins: BTreeMap::new(),
            calls: BTreeMap::new(),
            retry_queue: RetryQueue::new(),
            dead_holders: DeadHolderTracker::new(),
        }
    }
}
