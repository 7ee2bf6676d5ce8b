//! One instance.

use std::collections::BTreeMap;

use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Backlog;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::DeadHolders;
use arbutus_coord::claim::ShardWriter;
use arbutus_coord::claim::holder::Confirmed;
use arbutus_coord::claim::holder::Dispatched;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::writer::Ticket;
use arbutus_coord::claim::writer::WriterSettings;

/// Less than two claims, so that nearly every settled claim is moved to a segment.
const SEAL_ABOVE_BYTES: usize = 900;

pub enum Call {
    Proposed(Claim<Proposed>),
    Confirmed(Claim<Confirmed>),
    Dispatched(Claim<Dispatched>),
}

pub struct Node {
    pub boot_id: u64,
    pub paused_until: u64,
    pub unseen_until: u64,
    pub writer: ShardWriter,
    pub tickets: BTreeMap<Ticket, (usize, u64, ClaimCommand)>,
    pub calls: BTreeMap<AttemptId, Call>,
    pub backlog: Backlog,
    pub dead_holders: DeadHolders,
}

impl Node {
    pub fn new(boot_id: u64) -> Self {
        let settings = WriterSettings {
            seal_above_bytes: SEAL_ABOVE_BYTES,
            ..WriterSettings::default()
        };
        Self {
            boot_id,
            paused_until: 0,
            unseen_until: 0,
            writer: ShardWriter::new(0, 1, settings).with_segments(&boot_id.to_string()),
            tickets: BTreeMap::new(),
            calls: BTreeMap::new(),
            backlog: Backlog::new(),
            dead_holders: DeadHolders::new(),
        }
    }
}
