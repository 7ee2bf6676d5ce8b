//! Simulation of three instances, one shard object and one target under a script of random choices.
//!
//! The script decides which messages are delayed, lost or duplicated, when an instance is paused or
//! crashes and restarts, and when the platform is unreachable. No new faults occur after the end of
//! the script, so all calls have to end.

mod event;
mod instance;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;

use arbutus_coord::Millis;
use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimRecord;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::ClaimState;
use arbutus_coord::claim::Fingerprint;
use arbutus_coord::claim::Holder;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Output;
use arbutus_coord::claim::Segment;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::StoredResponse;
use arbutus_coord::claim::command::Proposal;
use arbutus_coord::claim::holder::DISPATCH_WINDOW_MS;
use arbutus_coord::claim::holder::NotSent;
use arbutus_coord::claim::holder::ProposalResult;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::record::UnknownReason;
use arbutus_coord::claim::writer::CommandId;
use arbutus_coord::claim::writer::ReadResult;
use arbutus_coord::claim::writer::WriteResult;
use event::Event;
use event::Message;
pub use event::Outcome;
use instance::Call;
use instance::SimulatedInstance;

const INSTANCES: usize = 3;
const KEYS: usize = 3;
const PROPOSAL_TIMEOUT_MS: u64 = 700;
/// The shortest remaining pause for which the other instances consider an instance dead. Also the
/// step by which the time advances after the end of the script.
const DETECTION_MS: u64 = 3_000;
/// Time limit after the script within which all calls have to end.
const RECOVERY_MS: u64 = 90_000;

pub struct Simulation {
    script: Vec<u16>,
    position: usize,
    now: u64,
    sequence: u64,
    events: Vec<(u64, Event)>,
    instances: Vec<SimulatedInstance>,
    object: Option<(u64, Shard)>,
    /// The object before its last write, returned by stale reads.
    previous: Option<(u64, Shard)>,
    segments: BTreeMap<String, Segment>,
    platform_down_until: u64,
    /// The key and the boot identifier of the instance for each accepted call.
    pub accepted: BTreeMap<AttemptId, (ClaimKey, u64)>,
    /// The outcomes that the clients received.
    pub outcomes: BTreeMap<AttemptId, Outcome>,
    /// The attempts that reached the target.
    pub executions: BTreeMap<ClaimKey, Vec<AttemptId>>,
    /// The attempts that were marked as unknown because their holder was considered dead.
    marked_unknown: BTreeSet<AttemptId>,
    pub failures: Vec<String>,
}

impl Simulation {
    pub fn new(script: Vec<u16>) -> Self {
        Self {
            script,
            position: 0,
            now: 0,
            sequence: 0,
            events: Vec::new(),
            instances: (0..INSTANCES)
                .map(|index| SimulatedInstance::new(index as u64))
                .collect(),
            object: None,
            previous: None,
            segments: BTreeMap::new(),
            platform_down_until: 0,
            accepted: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            executions: BTreeMap::new(),
            marked_unknown: BTreeSet::new(),
            failures: Vec::new(),
        }
    }

    /// Runs the script, then lets every instance finish, and returns the content of the shard.
    pub fn run(&mut self) -> Shard {
        while self.position < self.script.len() {
            self.take_scripted_action();
            let step = [0, 1, 5, 20, 100, 700][self.choose(6)];
            self.advance(self.now + step);
        }
        self.platform_down_until = 0;
        let end = self.now + RECOVERY_MS;
        while self.now < end && !self.is_quiescent() {
            self.advance(self.now + DETECTION_MS);
        }
        self.object
            .as_ref()
            .map_or_else(|| Shard::new(0, 1), |(_, shard)| shard.clone())
    }

    /// Returns the next number of the script modulo `limit`, or 0 when the script has ended.
    fn choose(&mut self, limit: usize) -> usize {
        let value = self.script.get(self.position).copied().unwrap_or(0);
        self.position += 1;
        usize::from(value) % limit
    }

    fn is_quiescent(&self) -> bool {
        let has_claimed = |shard: &Shard| {
            let mut states = shard.claims().map(|(_, record)| &record.state);
            states.any(|state| *state == ClaimState::Claimed)
        };
        let claimed = self
            .object
            .as_ref()
            .is_some_and(|(_, shard)| has_claimed(shard));
        let calling = self
            .instances
            .iter()
            .any(|instance| !instance.calls.is_empty());
        !claimed && !calling && self.undecided_commands() == 0
    }

    fn take_scripted_action(&mut self) {
        let index = self.choose(INSTANCES);
        match self.choose(16) {
            0 => self.crash_and_restart(index),
            1 | 2 => {
                let pause = [300, 1_500, 2_500, 9_000][self.choose(4)];
                self.instances[index].paused_until = self.now + pause;
            }
            3 => {
                let outage = [50, 400, 3_000][self.choose(3)];
                self.platform_down_until = self.now + outage;
            }
            4 => {
                // The other instances consider this one dead although it runs.
                let partition = [1_000, 6_000][self.choose(2)];
                self.instances[index].partitioned_until = self.now + partition;
            }
            5..=12 => self.start_call(index),
            _ => {}
        }
    }

    fn crash_and_restart(&mut self, index: usize) {
        self.sequence += 1;
        self.instances[index] = SimulatedInstance::new(1_000 + self.sequence);
    }

    fn start_call(&mut self, index: usize) {
        self.sequence += 1;
        let holder = self.holder(index);
        let key = ClaimKey::new("kiln", "order-desk", &self.choose(KEYS).to_string());
        let body = u64::from(self.choose(16) == 1);
        let attempt = AttemptId::new(&holder, self.sequence);
        let proposal = Proposal {
            key: key.clone(),
            fingerprint: Fingerprint(body),
            attempt: attempt.clone(),
            holder,
            wall_ms: Millis(self.now),
        };
        let claim = Claim::<Proposed>::new(Millis(self.now), proposal, DISPATCH_WINDOW_MS);
        self.accepted
            .insert(attempt.clone(), (key, self.instances[index].boot_id));
        self.submit(index, &claim.command());
        self.instances[index]
            .calls
            .insert(attempt.clone(), Call::Proposed(claim));
        let due = self.now + PROPOSAL_TIMEOUT_MS;
        self.schedule(due, index, Message::ProposalTimeout(attempt));
    }

    fn holder(&self, index: usize) -> Holder {
        Holder {
            instance: format!("i{index}"),
            boot_id: self.instances[index].boot_id,
        }
    }

    /// Sends a command to one writer, or to two, as a holder does after a timeout.
    fn submit(&mut self, index: usize, command: &ClaimCommand) {
        let boot_id = self.instances[index].boot_id;
        for _ in 0..=usize::from(self.choose(4) == 1) {
            let writer = self.choose(INSTANCES);
            let writer_boot = self.instances[writer].boot_id;
            let message = Message::Command(index, boot_id, command.clone());
            self.send(&Event::Message(writer, writer_boot, message));
        }
    }

    /// Sends over a network that delays, loses and duplicates messages.
    fn send(&mut self, event: &Event) {
        let copies = match self.choose(16) {
            1 => 0,
            2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = [1, 1, 1, 2, 2, 10, 60, 300, 650, 2_400][self.choose(10)];
            self.events.push((self.now + delay, event.clone()));
        }
    }

    fn schedule(&mut self, due: u64, index: usize, message: Message) {
        let boot_id = self.instances[index].boot_id;
        self.events
            .push((due, Event::Message(index, boot_id, message)));
    }

    fn advance(&mut self, until: u64) {
        loop {
            let wake = (0..INSTANCES).filter_map(|index| self.wake_at(index)).min();
            let event = self.events.iter().map(|(due, _)| *due).min();
            let next_check = (self.now / 500 + 1) * 500;
            let next = wake.into_iter().chain(event).chain([next_check]).min();
            let next = next.unwrap_or(until).max(self.now);
            if next > until {
                break;
            }
            self.now = next;
            self.deliver_due();
            for index in 0..INSTANCES {
                self.tick(index, next == next_check);
            }
        }
        self.now = until;
    }

    fn wake_at(&self, index: usize) -> Option<u64> {
        let instance = &self.instances[index];
        let wake = instance
            .writer
            .wake_at()
            .into_iter()
            .chain(instance.retry_queue.wake_at())
            .min()?;
        Some(wake.0.max(instance.paused_until))
    }

    fn deliver_due(&mut self) {
        while let Some(position) = self.events.iter().position(|(due, _)| *due <= self.now) {
            let (_, event) = self.events.remove(position);
            self.deliver(event);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Message(index, boot_id, message) => {
                let instance = &self.instances[index];
                if instance.boot_id != boot_id {
                    return;
                }
                if self.now < instance.paused_until {
                    let due = instance.paused_until;
                    self.schedule(due, index, message);
                    return;
                }
                self.receive(index, message);
            }
            Event::ReadArrives(index, boot_id, operation) => {
                if self.now < self.platform_down_until {
                    return;
                }
                // A lagging replica returns the state before the last write.
                let is_stale = self.choose(20) == 1;
                let object = if is_stale {
                    &self.previous
                } else {
                    &self.object
                };
                let result = match object {
                    None => ReadResult::Absent,
                    Some((version, shard)) => ReadResult::Found {
                        version: *version,
                        shard: shard.clone(),
                    },
                };
                let input = Input::Read { operation, result };
                self.send(&Event::Message(index, boot_id, Message::Writer(input)));
            }
            Event::WriteArrives(index, boot_id, operation, expected, shard) => {
                if self.now < self.platform_down_until {
                    return;
                }
                let result = self.store(expected, shard);
                let input = Input::Write { operation, result };
                self.send(&Event::Message(index, boot_id, Message::Writer(input)));
            }
            Event::SegmentReadArrives(index, boot_id, operation, name) => {
                let segment = self.segments.get(&name).cloned();
                let input = Input::Segment { operation, segment };
                self.send(&Event::Message(index, boot_id, Message::Writer(input)));
            }
            Event::SegmentWriteArrives(index, boot_id, operation, name, segment) => {
                let result = match self.segments.entry(name) {
                    Entry::Occupied(_) => WriteResult::Conflict,
                    Entry::Vacant(entry) => {
                        entry.insert(segment);
                        WriteResult::Written { version: 1 }
                    }
                };
                let input = Input::Write { operation, result };
                self.send(&Event::Message(index, boot_id, Message::Writer(input)));
            }
            Event::SegmentDeletionArrives(name) => {
                self.segments.remove(&name);
            }
            Event::CallArrives(index, boot_id, key, attempt) => {
                self.executions
                    .entry(key)
                    .or_default()
                    .push(attempt.clone());
                let is_interrupted = self.choose(6) == 1;
                let response = (!is_interrupted).then(|| format!("executed as {attempt}"));
                let delay = [5, 100, 900, 6_000][self.choose(4)];
                let message = Message::TargetResponse(attempt, response);
                self.events
                    .push((self.now + delay, Event::Message(index, boot_id, message)));
            }
        }
    }

    fn store(&mut self, expected: Option<u64>, shard: Shard) -> WriteResult {
        let current = self.object.as_ref().map(|(version, _)| *version);
        if current != expected {
            return WriteResult::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        for (_, record) in shard.claims() {
            let reason = UnknownReason::HolderDead;
            if record.state == (ClaimState::Unknown { reason }) {
                self.marked_unknown.insert(record.attempt.clone());
            }
        }
        self.previous = self.object.replace((version, shard));
        WriteResult::Written { version }
    }

    fn tick(&mut self, index: usize, is_check_time: bool) {
        if self.now < self.instances[index].paused_until {
            return;
        }
        let now = Millis(self.now);
        self.handle_writer_input(index, Input::Tick);
        for command in self.instances[index].retry_queue.poll_due(now) {
            self.submit(index, &command);
        }
        if is_check_time && self.now.is_multiple_of(2_000) {
            self.handle_writer_input(index, Input::Refresh);
        }
        if is_check_time {
            self.mark_dead_holders(index);
        }
    }

    fn mark_dead_holders(&mut self, index: usize) {
        let now = self.now;
        // An instance with a long remaining pause is considered dead although it continues later.
        let live: Vec<Holder> = (0..INSTANCES)
            .filter(|&other| self.instances[other].paused_until < now + DETECTION_MS)
            .filter(|&other| self.instances[other].partitioned_until <= now)
            .map(|other| self.holder(other))
            .collect();
        let instance = &mut self.instances[index];
        let Some(shard) = instance.writer.content().cloned() else {
            return;
        };
        let is_live = |holder: &Holder| live.contains(holder);
        let commands = instance
            .dead_holders
            .observe(Millis(now), Millis(now), &shard, is_live);
        for command in commands {
            self.submit(index, &command);
        }
    }

    fn handle_writer_input(&mut self, index: usize, input: Input) {
        let boot_id = self.instances[index].boot_id;
        let now = Millis(self.now);
        for output in self.instances[index].writer.handle(now, input) {
            match output {
                Output::Read { operation } => {
                    self.send(&Event::ReadArrives(index, boot_id, operation));
                }
                Output::Write {
                    operation,
                    expected,
                    shard,
                } => {
                    self.send(&Event::WriteArrives(
                        index, boot_id, operation, expected, shard,
                    ));
                }
                Output::ReadSegment { operation, name } => {
                    self.send(&Event::SegmentReadArrives(index, boot_id, operation, name));
                }
                Output::WriteSegment {
                    operation,
                    name,
                    segment,
                } => {
                    let event =
                        Event::SegmentWriteArrives(index, boot_id, operation, name, segment);
                    self.send(&event);
                }
                Output::DeleteSegment { name } => self.send(&Event::SegmentDeletionArrives(name)),
                Output::Reply { command_id, reply } => {
                    let origin = self.instances[index].origins.remove(&command_id);
                    if let Some((from, from_boot, command)) = origin {
                        let message = Message::Reply(command, reply);
                        self.send(&Event::Message(from, from_boot, message));
                    }
                }
            }
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        match message {
            Message::Writer(input) => self.handle_writer_input(index, input),
            Message::Command(from, boot_id, command) => {
                self.sequence += 1;
                let command_id = CommandId(self.sequence);
                let origin = (from, boot_id, command.clone());
                self.instances[index].origins.insert(command_id, origin);
                let wall_ms = Millis(self.now);
                self.handle_writer_input(
                    index,
                    Input::Command {
                        command_id,
                        command,
                        wall_ms,
                    },
                );
            }
            Message::Reply(command, reply) => self.receive_reply(index, &command, reply),
            Message::ProposalTimeout(attempt) => {
                if let Some(Call::Proposed(_)) = self.instances[index].calls.get(&attempt)
                    && let Some(Call::Proposed(claim)) =
                        self.instances[index].calls.remove(&attempt)
                {
                    self.instances[index]
                        .retry_queue
                        .push(Millis(self.now), claim.abandon());
                    self.record_outcome(attempt, Outcome::NotExecuted);
                }
            }
            Message::Dispatch(attempt) => self.dispatch(index, attempt),
            Message::TargetResponse(attempt, response) => self.end_call(index, attempt, response),
        }
    }

    fn receive_reply(&mut self, index: usize, command: &ClaimCommand, reply: ClaimReply) {
        let Some(attempt) = command.attempt().cloned() else {
            return;
        };
        if !matches!(command, ClaimCommand::Propose(_)) {
            self.instances[index].retry_queue.resolve(&attempt, &reply);
            return;
        }
        let Some(Call::Proposed(_)) = self.instances[index].calls.get(&attempt) else {
            return;
        };
        let Some(Call::Proposed(claim)) = self.instances[index].calls.remove(&attempt) else {
            return;
        };
        // The network duplicates commands, so another copy may take effect later.
        let reply = match reply {
            ClaimReply::Unavailable { .. } => ClaimReply::Unavailable {
                may_have_landed: true,
            },
            decided @ ClaimReply::Decided(_) => decided,
        };
        let now = Millis(self.now);
        let mut finalizing_claim = None;
        let outcome = match claim.resolve(now, reply) {
            ProposalResult::Confirmed(claim) => {
                self.instances[index]
                    .calls
                    .insert(attempt.clone(), Call::Confirmed(claim));
                let delay = [0, 10, 800][self.choose(3)];
                self.schedule(self.now + delay, index, Message::Dispatch(attempt));
                return;
            }
            ProposalResult::NotExecuted(_, finalizing) => {
                finalizing_claim = finalizing;
                Outcome::NotExecuted
            }
            ProposalResult::Running(claim) => {
                finalizing_claim = Some(claim.abandon());
                Outcome::Unknown
            }
            ProposalResult::Conflict(claim) => {
                finalizing_claim = Some(claim.abandon());
                Outcome::Conflict
            }
            ProposalResult::Settled { response, .. } => Outcome::Response(response.body),
            ProposalResult::Unknown => Outcome::Unknown,
        };
        if let Some(claim) = finalizing_claim {
            self.instances[index].retry_queue.push(now, claim);
        }
        self.record_outcome(attempt, outcome);
    }

    fn dispatch(&mut self, index: usize, attempt: AttemptId) {
        let Some(Call::Confirmed(claim)) = self.instances[index].calls.remove(&attempt) else {
            return;
        };
        let now = Millis(self.now);
        let claim = match claim.dispatch(now) {
            Ok(claim) if self.choose(8) == 1 => claim
                .revert_dispatch(NotSent::connection_not_established())
                .release(),
            Ok(claim) => {
                if self.marked_unknown.contains(&attempt) {
                    self.failures.push(format!(
                        "{attempt} was dispatched after it was marked as unknown"
                    ));
                }
                let key = claim.proposal().key.clone();
                let boot_id = self.instances[index].boot_id;
                let arrival = Event::CallArrives(index, boot_id, key, attempt.clone());
                self.events.push((self.now + 1, arrival));
                self.instances[index]
                    .calls
                    .insert(attempt, Call::Dispatched(claim));
                return;
            }
            Err(claim) => claim,
        };
        self.instances[index].retry_queue.push(now, claim);
        self.record_outcome(attempt, Outcome::NotExecuted);
    }

    fn end_call(&mut self, index: usize, attempt: AttemptId, response: Option<String>) {
        let Some(Call::Dispatched(claim)) = self.instances[index].calls.remove(&attempt) else {
            return;
        };
        let now = Millis(self.now);
        let (claim, outcome) = match response {
            Some(body) => {
                let stored = StoredResponse {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: Some(body.clone()),
                };
                (claim.settle(stored, now), Outcome::Response(Some(body)))
            }
            None => (claim.mark_unknown(now), Outcome::Unknown),
        };
        self.instances[index].retry_queue.push(now, claim);
        self.record_outcome(attempt, outcome);
    }

    fn record_outcome(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.outcomes.insert(attempt, outcome);
    }

    /// Returns the record of a key, from the shard object or a segment to which it refers.
    pub fn record(&self, shard: &Shard, key: &ClaimKey) -> Option<ClaimRecord> {
        let mut names = shard.segments_that_may_contain(key);
        let archived = names.find_map(|name| self.segments.get(name)?.get(key));
        shard.get(key).or(archived).cloned()
    }

    /// Returns whether the instance with this boot identifier still runs.
    pub fn is_running(&self, boot_id: u64) -> bool {
        self.instances
            .iter()
            .any(|instance| instance.boot_id == boot_id)
    }

    /// Returns the number of final commands that are undecided.
    pub fn undecided_commands(&self) -> usize {
        self.instances
            .iter()
            .map(|instance| instance.retry_queue.len())
            .sum()
    }
}
