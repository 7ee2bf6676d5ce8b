//! Batches of pieces for the targets of one stage service.
//!
//! A call takes most of its time whatever it holds, so pieces of all requests of all instances are
//! put into common calls: one instance owns the queue of a service. A target has one call at a
//! time, and the next one is formed when it ends, from what has gathered meanwhile. The most urgent
//! pieces go first; pieces that can no longer be on time go after those that can. A piece prefers
//! the targets of its own failure domain, because results are large, and takes another one when it
//! would wait too long.
//!
//! Results occupy space until all pieces of their stage are made and read. A stage of a request is
//! therefore begun only when there is space for all its results, and finished before others are
//! begun; otherwise half-made stages fill the space and none can be finished.

mod result_space;
mod types;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::serving::batch::result_space::BegunStages;
pub use crate::serving::batch::types::Call;
pub use crate::serving::batch::types::CallOutcome;
pub use crate::serving::batch::types::CallPiece;
pub use crate::serving::batch::types::PieceOutcome;
pub use crate::serving::batch::types::PieceSource;
pub use crate::serving::batch::types::QueueName;
pub use crate::serving::batch::types::Submission;
pub use crate::serving::batch::types::SubmissionId;
use crate::serving::model::StageServiceSpec;
use crate::serving::model::TargetEntry;
use crate::serving::stage_graph::PieceFailure;
use crate::serving::stage_graph::PieceProgress;
use arbutus_coord::Millis;

/// How long a piece waits for a target of its own failure domain before it takes another one.
const DOMAIN_WAIT_MS: Millis = Millis(120);
/// The weight of the newest call in the mean speed of a target.
const SPEED_WEIGHT: f64 = 0.3;
/// The weight of the newest call in the mean size of calls, which covers the last two seconds of
/// a service with five targets.
const FILLED_WEIGHT: f64 = 0.1;
/// A call is given up after this multiple of its expected time, plus the constant below.
const GIVE_UP_FACTOR: f64 = 4.0;
/// Covers delays of the network and of the two processes in the time after which a call is given up.
const GIVE_UP_MARGIN_MS: f64 = 500.0;
/// The pause after a target was full or had no space: another instance uses it too.
const FULL_PAUSE_MS: Millis = Millis(40);
/// The first pause after a failed call; doubles with each further one.
const FIRST_PAUSE_MS: u64 = 200;
/// The longest pause after failed calls.
const MAX_PAUSE_MS: u64 = 3_200;
/// How long the targets count as used by another owner after a sign of it, and after the beginning
/// of an ownership: the owner before finishes its calls.
const CONTENDED_MS: Millis = Millis(1_000);
/// A call that takes this much longer than expected may have waited behind another one.
const CONTENDED_EXTRA_MS: f64 = 150.0;
/// What is left of the used part of a target's space after it had no room.
const ROOM_SHRINK: f64 = 0.85;
/// What a call without such an answer adds to the used part. Results that this owner does not know
/// lapse within seconds, so the whole space is used again after two or three of them.
const ROOM_GROWTH: f64 = 0.06;
/// The most of a target's space that is used, since the sizes of results are approximate. Too much
/// costs a piece that is sent again, too little makes every call smaller.
const MOST_ROOM_SHARE: f64 = 0.97;
/// The least part of a target's space that is used.
const LEAST_ROOM_SHARE: f64 = 0.4;
/// How often the owner sends a piece again by itself before its request decides.
const MAX_SENDS: u32 = 3;

#[derive(Debug)]
struct QueuedPiece {
    submission: SubmissionId,
    request: String,
    stage: u32,
    piece: u32,
    source: PieceSource,
    failure_domain: String,
    queued_at: Millis,
    due: Millis,
    deadline: Millis,
    priority: u32,
    result_bytes: u64,
    sends: u32,
    in_call: bool,
    /// Whether a piece of the same stage of the request was sent.
    is_begun: bool,
    /// Whether the request was told that the inputs are read; it may have released them.
    inputs_read: bool,
}

#[derive(Debug)]
struct StageTarget {
    failure_domain: String,
    /// The pieces in progress and the expected end of their call.
    call: Option<RunningCall>,
    paused_until: Millis,
    failures: u32,
    /// The measured time of calls relative to the configured one.
    slowness: f64,
    /// Results that were not freed: their size and when the target drops them.
    results: BTreeMap<String, (u64, Millis)>,
    /// The part of the space that is used; sizes are approximate and other instances use it too.
    room_share: f64,
}

#[derive(Debug)]
struct RunningCall {
    keys: Vec<u64>,
    started: Millis,
    expected_ms: f64,
    nominal_ms: f64,
}

/// The queue of one stage service.
#[derive(Debug)]
pub struct BatchQueue {
    spec: StageServiceSpec,
    targets: BTreeMap<String, StageTarget>,
    pieces: BTreeMap<u64, QueuedPiece>,
    next_key: u64,
    leaving: bool,
    /// Until when another owner may use the same targets.
    contended_until: Millis,
    /// The mean part of a full batch in calls after which other pieces waited on.
    filled_share: f64,
}

impl BatchQueue {
    /// Creates the empty queue of a service.
    #[must_use]
    pub fn new(now: Millis, spec: StageServiceSpec) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            pieces: BTreeMap::new(),
            next_key: 0,
            leaving: false,
            contended_until: now + CONTENDED_MS,
            filled_share: 1.0,
        }
    }

    /// Takes over a changed description of the service.
    pub fn set_spec(&mut self, spec: StageServiceSpec) {
        self.spec = spec;
    }

    /// Replaces the targets that may get calls.
    pub fn set_targets<'a>(&mut self, entries: impl Iterator<Item = &'a TargetEntry>) {
        let mut known: BTreeMap<String, &TargetEntry> = BTreeMap::new();
        for entry in entries {
            known.insert(entry.id.clone(), entry);
        }
        // A target with a call in progress stays until the call has ended.
        self.targets
            .retain(|id, target| known.contains_key(id) || target.call.is_some());
        for (id, entry) in known {
            self.targets.entry(id).or_insert_with(|| StageTarget {
                failure_domain: entry.failure_domain.clone(),
                call: None,
                paused_until: Millis::ZERO,
                failures: 0,
                slowness: 1.0,
                results: BTreeMap::new(),
                room_share: MOST_ROOM_SHARE,
            });
        }
    }

    /// Adds pieces to the queue.
    pub fn submit(&mut self, now: Millis, submission: &Submission) {
        for &piece in &submission.pieces {
            let key = self.next_key;
            self.next_key += 1;
            self.pieces.insert(
                key,
                QueuedPiece {
                    submission: submission.id,
                    request: submission.request.clone(),
                    stage: submission.stage,
                    piece,
                    source: submission.source.clone(),
                    failure_domain: submission.failure_domain.clone(),
                    queued_at: now,
                    due: submission.due,
                    deadline: submission.deadline,
                    priority: submission.priority,
                    result_bytes: submission.result_bytes,
                    sends: 0,
                    in_call: false,
                    is_begun: false,
                    inputs_read: false,
                },
            );
        }
    }

    /// Removes the waiting pieces of a submission; results of running ones go to nobody.
    pub fn cancel(&mut self, submission: SubmissionId) {
        self.pieces
            .retain(|_, piece| piece.submission != submission);
    }

    /// Removes all pieces of a submitting instance that went away.
    pub fn cancel_submitter(&mut self, submitter: u64) {
        self.pieces
            .retain(|_, piece| piece.submission.submitter != submitter);
    }

    /// Returns all pieces that were not sent, because the owner leaves.
    ///
    /// Calls in progress end as usual. Pieces that are submitted later are sent.
    pub fn drain(&mut self) -> Vec<PieceOutcome> {
        self.leaving = true;
        self.return_unsent()
    }

    /// Returns all pieces that were not sent, because another instance owns the service now.
    pub fn return_unsent(&mut self) -> Vec<PieceOutcome> {
        let waiting: Vec<u64> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call)
            .map(|(&key, _)| key)
            .collect();
        let returned = waiting.iter().filter_map(|key| self.pieces.remove(key));
        returned
            .map(|piece| PieceOutcome {
                submission: piece.submission,
                piece: piece.piece,
                progress: PieceProgress::Returned,
            })
            .collect()
    }

    /// Records that results were freed at their target.
    pub fn record_freed_results(&mut self, target: &str, results: &[String]) {
        if let Some(target) = self.targets.get_mut(target) {
            for result in results {
                target.results.remove(result);
            }
        }
    }

    /// Records the end of a call and returns what became of its pieces.
    ///
    /// Results of pieces that nobody waits for any more are in the second list.
    pub fn record_call_end(
        &mut self,
        now: Millis,
        target_id: &str,
        outcome: CallOutcome,
    ) -> (Vec<PieceOutcome>, Vec<String>) {
        let Some(target) = self.targets.get_mut(target_id) else {
            return (Vec::new(), Vec::new());
        };
        let Some(call) = target.call.take() else {
            return (Vec::new(), Vec::new());
        };
        let mut delivered = Vec::new();
        let mut orphaned = Vec::new();
        match outcome {
            CallOutcome::Responded(results) => {
                target.failures = 0;
                let took_ms = (now - call.started).0 as f64;
                let newest = took_ms / call.nominal_ms.max(1.0);
                target.slowness += (newest - target.slowness) * SPEED_WEIGHT;
                let mut no_room = false;
                if results.contains(&Err(PieceFailure::InputLost))
                    || took_ms > call.expected_ms + CONTENDED_EXTRA_MS
                {
                    self.contended_until = now + CONTENDED_MS;
                }
                for (key, result) in call.keys.iter().zip(results) {
                    no_room |= result == Err(PieceFailure::NoSpace);
                    self.end_piece(now, target_id, *key, result, &mut delivered, &mut orphaned);
                }
                if let Some(target) = self.targets.get_mut(target_id) {
                    if no_room {
                        target.paused_until = now + FULL_PAUSE_MS;
                        target.room_share = (target.room_share * ROOM_SHRINK).max(LEAST_ROOM_SHARE);
                    } else {
                        target.room_share = (target.room_share + ROOM_GROWTH).min(MOST_ROOM_SHARE);
                    }
                }
            }
            CallOutcome::Full => {
                self.contended_until = now + CONTENDED_MS;
                target.paused_until = now + FULL_PAUSE_MS;
                for key in call.keys {
                    if let Some(piece) = self.pieces.get_mut(&key) {
                        piece.in_call = false;
                        piece.sends = piece.sends.saturating_sub(1);
                    }
                }
            }
            CallOutcome::Broken => {
                let doublings = target.failures.min(8);
                target.failures += 1;
                let pause = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
                target.paused_until = now + Millis(pause);
                for key in call.keys {
                    let failed = Err(PieceFailure::Failed);
                    self.end_piece(now, target_id, key, failed, &mut delivered, &mut orphaned);
                }
            }
        }
        (delivered, orphaned)
    }

    fn end_piece(
        &mut self,
        now: Millis,
        target_id: &str,
        key: u64,
        result: Result<String, PieceFailure>,
        delivered: &mut Vec<PieceOutcome>,
        orphaned: &mut Vec<String>,
    ) {
        let result_retention_ms = self.spec.result_retention_ms;
        if let Ok(handle) = &result
            && let Some(target) = self.targets.get_mut(target_id)
        {
            let bytes = self.pieces.get(&key).map_or(0, |piece| piece.result_bytes);
            target
                .results
                .insert(handle.clone(), (bytes, now + result_retention_ms));
        }
        let Some(piece) = self.pieces.get_mut(&key) else {
            orphaned.extend(result.ok());
            return;
        };
        if result == Err(PieceFailure::NoSpace) {
            piece.sends = piece.sends.saturating_sub(1);
        }
        let again = matches!(result, Err(PieceFailure::Failed | PieceFailure::NoSpace));
        if again
            && !self.leaving
            && !piece.inputs_read
            && piece.sends < MAX_SENDS
            && piece.deadline > now
        {
            piece.in_call = false;
            return;
        }
        delivered.push(PieceOutcome {
            submission: piece.submission,
            piece: piece.piece,
            progress: match result {
                Ok(handle) => PieceProgress::Computed(handle),
                Err(failure) => PieceProgress::Failed(failure),
            },
        });
        self.pieces.remove(&key);
    }

    /// Returns the pieces whose inputs a target has read, because their call is at its turn.
    pub fn mark_inputs_read(&mut self, now: Millis, target: &str) -> Vec<PieceOutcome> {
        if now < self.contended_until {
            // The call may wait behind one of another owner.
            return Vec::new();
        }
        let call = self
            .targets
            .get(target)
            .and_then(|target| target.call.as_ref());
        let mut read = Vec::new();
        for key in call.iter().flat_map(|call| &call.keys) {
            if let Some(piece) = self.pieces.get_mut(key)
                && matches!(piece.source, PieceSource::Inputs(_))
            {
                piece.inputs_read = true;
                read.push(PieceOutcome {
                    submission: piece.submission,
                    piece: piece.piece,
                    progress: PieceProgress::InputsRead,
                });
            }
        }
        read
    }

    /// Removes the pieces whose request is given up, and returns them as late.
    pub fn expire(&mut self, now: Millis) -> Vec<PieceOutcome> {
        let expired: Vec<u64> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call && piece.deadline <= now)
            .map(|(&key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.pieces.remove(&key))
            .map(|piece| PieceOutcome {
                submission: piece.submission,
                piece: piece.piece,
                progress: PieceProgress::Failed(PieceFailure::Late),
            })
            .collect()
    }

    /// Forms the calls that can start now.
    pub fn start_calls(&mut self, now: Millis) -> Vec<Call> {
        let mut idle: Vec<(String, f64)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.call.is_none() && target.paused_until <= now)
            .map(|(id, target)| (id.clone(), target.slowness))
            .collect();
        if idle.is_empty() || self.pieces.values().all(|piece| piece.in_call) {
            return Vec::new();
        }
        idle.sort_by(|one, other| one.1.total_cmp(&other.1).then_with(|| one.0.cmp(&other.0)));
        let mut stages = self.begun_stages(now);
        let mut calls = Vec::new();
        for own_domain in [true, false] {
            for (id, _) in &idle {
                if self.targets[id].call.is_none() {
                    calls.extend(self.form_call(now, id, own_domain, &mut stages));
                }
            }
        }
        calls
    }

    /// Returns when a call may become possible without any other event.
    #[must_use]
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        if !self.pieces.values().any(|piece| !piece.in_call) {
            return None;
        }
        let pauses = self
            .targets
            .values()
            .filter(|target| target.call.is_none())
            .map(|target| target.paused_until);
        let waits = self
            .pieces
            .values()
            .filter(|piece| !piece.in_call)
            .flat_map(|piece| [piece.queued_at + DOMAIN_WAIT_MS, piece.deadline]);
        pauses.chain(waits).filter(|&time| time > now).min()
    }

    /// Returns how long the targets need for the waiting pieces that can still be on time.
    #[must_use]
    pub fn backlog_ms(&self, now: Millis) -> Millis {
        let waiting = self
            .pieces
            .values()
            .filter(|piece| !piece.in_call && piece.due >= now)
            .count();
        let usable = self
            .targets
            .values()
            .filter(|target| target.paused_until <= now + FULL_PAUSE_MS);
        // Without space for more results, calls are smaller than full ones.
        let batch = self.spec.max_pieces_per_call as f64 * self.filled_share;
        let full_ms = self.spec.call_overhead_ms + self.spec.ms_per_piece * batch;
        let pieces_per_ms: f64 = usable
            .map(|target| batch / (full_ms * target.slowness))
            .sum();
        if waiting == 0 {
            return Millis::ZERO;
        }
        if pieces_per_ms <= 0.0 {
            return Millis(MAX_PAUSE_MS);
        }
        Millis((waiting as f64 / pieces_per_ms) as u64)
    }

    fn form_call(
        &mut self,
        now: Millis,
        id: &str,
        own_domain: bool,
        stages: &mut BegunStages,
    ) -> Option<Call> {
        let target = &self.targets[id];
        let mut candidates: Vec<(bool, bool, Millis, u32, u64)> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call && piece.deadline > now)
            .filter(|(_, piece)| {
                piece.failure_domain == target.failure_domain
                    || (!own_domain && self.may_leave_domain(now, piece))
            })
            .map(|(&key, piece)| {
                let is_late = piece.due < now;
                (!piece.is_begun, is_late, piece.due, piece.priority, key)
            })
            .collect();
        candidates.sort_unstable();
        let mut room = self.available_space(now, target);
        let mut keys = Vec::new();
        for (_, _, _, _, key) in candidates {
            if keys.len() >= self.spec.max_pieces_per_call {
                break;
            }
            let piece = &self.pieces[&key];
            let slots = self.spec.max_pieces_per_call - keys.len();
            if piece.result_bytes <= room && stages.begin(piece.submission, slots, room) {
                room -= piece.result_bytes;
                keys.push(key);
            }
        }
        if keys.is_empty() {
            return None;
        }
        Some(self.start(now, id, keys, room))
    }

    /// Returns whether a piece may go to another failure domain than its own.
    fn may_leave_domain(&self, now: Millis, piece: &QueuedPiece) -> bool {
        if piece.queued_at + DOMAIN_WAIT_MS <= now {
            return true;
        }
        !self.targets.values().any(|target| {
            target.failure_domain == piece.failure_domain && target.paused_until <= now
        })
    }

    fn start(&mut self, now: Millis, id: &str, keys: Vec<u64>, free_result_bytes: u64) -> Call {
        let nominal_ms = self.spec.call_overhead_ms + self.spec.ms_per_piece * keys.len() as f64;
        let mut pieces = Vec::with_capacity(keys.len());
        let mut waited_ms = Millis::ZERO;
        let mut begun = BTreeSet::new();
        for key in &keys {
            let Some(piece) = self.pieces.get_mut(key) else {
                continue;
            };
            piece.in_call = true;
            piece.sends += 1;
            begun.insert(piece.submission);
            waited_ms = waited_ms.max(now - piece.queued_at);
            pieces.push(CallPiece {
                key: *key,
                request: piece.request.clone(),
                stage: piece.stage,
                piece: piece.piece,
                source: piece.source.clone(),
                remaining_ms: piece.deadline - now,
            });
        }
        for piece in self.pieces.values_mut() {
            piece.is_begun |= begun.contains(&piece.submission);
        }
        let mut timeout_ms = GIVE_UP_MARGIN_MS + nominal_ms * GIVE_UP_FACTOR;
        if let Some(target) = self.targets.get_mut(id) {
            target.results.retain(|_, &mut (_, until)| until > now);
            let expected_ms = nominal_ms * target.slowness;
            timeout_ms = GIVE_UP_MARGIN_MS + expected_ms * GIVE_UP_FACTOR;
            target.call = Some(RunningCall {
                keys,
                started: now,
                expected_ms,
                nominal_ms,
            });
        }
        let still_waiting = self.pieces.values().filter(|piece| !piece.in_call).count();
        if still_waiting >= self.spec.max_pieces_per_call {
            let filled = pieces.len() as f64 / self.spec.max_pieces_per_call as f64;
            self.filled_share += (filled - self.filled_share) * FILLED_WEIGHT;
        }
        Call {
            target: id.to_owned(),
            pieces,
            timeout_ms: Millis(timeout_ms as u64),
            waited_ms,
            still_waiting,
            free_result_bytes,
        }
    }
}
