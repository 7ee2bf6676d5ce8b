//! Batching of pieces into calls to the targets of one stage service.
//!
//! Most of the duration of a call does not depend on the number of its pieces. One instance
//! therefore owns the queue of a service and batches the pieces of all requests of all instances. A
//! target has one call at a time; the next one is formed when it ends, from the pieces that were
//! queued in the meantime. The most urgent pieces go first, and pieces that can no longer meet
//! their due time go last. A piece prefers targets in its own failure domain, because results are
//! large, and goes to another domain when it would wait too long. Pieces with small results, and
//! those that would be late otherwise, fill the calls of other domains.
//!
//! Results occupy space at the targets until all pieces of their stage are computed and read. The
//! first piece of a stage is therefore sent only when there is space for all results of the stage.
//! From then on, the stage counts as started, and its pieces go before those of other stages.
//! Otherwise the results of incomplete stages would fill the space, and no stage would complete.

mod backlog;
pub mod call_size;
mod domains;
mod result_space;
mod state;
mod types;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::serving::batch::domains::LOCAL_DOMAIN_WAIT_MS;
use crate::serving::batch::result_space::StartedStages;
use crate::serving::batch::state::QueuedPiece;
use crate::serving::batch::state::RunningCall;
use crate::serving::batch::state::StageTarget;
pub use crate::serving::batch::types::Call;
pub use crate::serving::batch::types::CallOutcome;
pub use crate::serving::batch::types::CallPiece;
pub use crate::serving::batch::types::PieceReport;
pub use crate::serving::batch::types::PieceSource;
pub use crate::serving::batch::types::QueueName;
pub use crate::serving::batch::types::Submission;
pub use crate::serving::batch::types::SubmissionId;
use crate::serving::model::StageServiceSpec;
use crate::serving::model::TargetEntry;
use crate::serving::stage_graph::PieceFailure;
use crate::serving::stage_graph::PieceProgress;
use arbutus_coord::Millis;

/// Weight of the newest call in the moving average of the slowness of a target.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Weight of the newest call in the moving average of the fill ratio of calls. With five targets,
/// the average covers about the last two seconds.
const FILL_WEIGHT: f64 = 0.1;
/// Ratio of the timeout of a call to its expected duration, before the margin is added.
const CALL_TIMEOUT_FACTOR: f64 = 4.0;
/// Margin added to the timeout, for delays in the network and in the processes at both ends.
const CALL_TIMEOUT_MARGIN_MS: f64 = 500.0;
/// How long a target gets no calls after it was full or out of result space. Both can happen if
/// another instance sends calls to it too.
const FULL_PAUSE_MS: Millis = Millis(40);
/// How long a target gets no calls after a broken call; it doubles with each consecutive one.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause of a target after broken calls.
const MAX_PAUSE_MS: u64 = 3_200;
/// How long another owner is assumed to send calls to the same targets. The time starts when the
/// queue is created, since the previous owner completes its calls, and again with each indication
/// of calls from another owner.
const CONTENTION_MS: Millis = Millis(1_000);
/// A call that exceeds its expected duration by this much may have waited for a call from another
/// owner.
const CONTENTION_DELAY_MS: f64 = 150.0;
/// Factor by which the used share of a target's result space decreases when a call lacks space.
const SPACE_SHARE_SHRINK_FACTOR: f64 = 0.85;
/// Increase of the used share after a call that had enough space. Two or three such calls undo a
/// decrease, since results that other owners left at the target expire within seconds.
const SPACE_SHARE_GROWTH: f64 = 0.06;
/// Maximum share of a target's result space that is used, since the sizes of results are
/// approximate. If too much is used, pieces have to be sent again; if too little, all calls are
/// smaller than necessary.
const MAX_SPACE_SHARE: f64 = 0.97;
/// Smallest share of a target's result space that is used.
const MIN_SPACE_SHARE: f64 = 0.4;
/// Number of attempts after which the owner reports a failed piece to its submitter.
const MAX_ATTEMPTS: u32 = 3;

/// The queue of a stage service, or of its targets in one failure domain.
#[derive(Debug)]
pub struct BatchQueue {
    spec: StageServiceSpec,
    targets: BTreeMap<String, StageTarget>,
    pieces: BTreeMap<u64, QueuedPiece>,
    next_key: u64,
    is_draining: bool,
    /// Until when another owner is assumed to use the same targets.
    contention_until: Millis,
    /// Moving average of the fill ratio of calls: the number of pieces of a call divided by the
    /// number that it should have had. Only calls that left enough pieces for another full call
    /// count.
    mean_fill: f64,
    /// When the last call to a target of each failure domain started.
    last_start_at: BTreeMap<String, Millis>,
}

impl BatchQueue {
    /// Creates an empty queue for a service.
    #[must_use]
    pub fn new(now: Millis, spec: StageServiceSpec) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            pieces: BTreeMap::new(),
            next_key: 0,
            is_draining: false,
            contention_until: now + CONTENTION_MS,
            mean_fill: 1.0,
            last_start_at: BTreeMap::new(),
        }
    }

    /// Replaces the configured properties of the service.
    pub fn set_spec(&mut self, spec: StageServiceSpec) {
        self.spec = spec;
    }

    /// Replaces the list of targets that may get calls.
    pub fn set_targets<'a>(&mut self, entries: impl Iterator<Item = &'a TargetEntry>) {
        let mut entries_by_id: BTreeMap<String, &TargetEntry> = BTreeMap::new();
        for entry in entries {
            entries_by_id.insert(entry.id.clone(), entry);
        }
        // A target with a running call is kept until the call has ended.
        self.targets
            .retain(|id, target| entries_by_id.contains_key(id) || target.call.is_some());
        for (id, entry) in entries_by_id {
            self.targets.entry(id).or_insert_with(|| StageTarget {
                failure_domain: entry.failure_domain.clone(),
                call: None,
                paused_until: Millis::ZERO,
                backoff_until: Millis::ZERO,
                consecutive_failures: 0,
                slowness: 1.0,
                results: BTreeMap::new(),
                space_share: MAX_SPACE_SHARE,
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
                    attempts: 0,
                    in_call: false,
                    is_started: false,
                    inputs_read: false,
                },
            );
        }
    }

    /// Removes the pieces of a submission. If they are in running calls, their results are returned
    /// as orphaned by [`Self::record_call_end`].
    pub fn cancel(&mut self, submission: SubmissionId) {
        self.pieces
            .retain(|_, piece| piece.submission != submission);
    }

    /// Removes all pieces of a submitting instance that disconnected.
    pub fn cancel_submitter(&mut self, submitter: u64) {
        self.pieces
            .retain(|_, piece| piece.submission.submitter != submitter);
    }

    /// Removes all waiting pieces because this instance shuts down, and returns their reports.
    ///
    /// Running calls end as usual, but pieces that fail from now on are not sent again. Pieces that
    /// are submitted later are still sent.
    pub fn drain(&mut self) -> Vec<PieceReport> {
        self.is_draining = true;
        self.take_waiting()
    }

    /// Removes all waiting pieces because another instance is the owner, and returns their reports.
    pub fn take_waiting(&mut self) -> Vec<PieceReport> {
        let waiting: Vec<u64> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call)
            .map(|(&key, _)| key)
            .collect();
        let returned = waiting.iter().filter_map(|key| self.pieces.remove(key));
        returned
            .map(|piece| PieceReport {
                submission: piece.submission,
                piece: piece.piece,
                progress: PieceProgress::Returned,
            })
            .collect()
    }

    /// Records that a target freed results, given by their handles.
    pub fn record_freed_results(&mut self, target: &str, results: &[String]) {
        if let Some(target) = self.targets.get_mut(target) {
            for result in results {
                target.results.remove(result);
            }
        }
    }

    /// Records the end of a call, and returns the reports of its pieces and the orphaned results.
    ///
    /// Orphaned results are the handles of results whose pieces were cancelled; the caller should
    /// free them.
    pub fn record_call_end(
        &mut self,
        now: Millis,
        target_id: &str,
        outcome: CallOutcome,
    ) -> (Vec<PieceReport>, Vec<String>) {
        let Some(target) = self.targets.get_mut(target_id) else {
            return (Vec::new(), Vec::new());
        };
        let Some(call) = target.call.take() else {
            return (Vec::new(), Vec::new());
        };
        let mut reports = Vec::new();
        let mut orphaned = Vec::new();
        match outcome {
            CallOutcome::Responded(results) => {
                target.consecutive_failures = 0;
                let elapsed_ms = (now - call.started_at).0 as f64;
                let relative_duration = elapsed_ms / call.nominal_ms.max(1.0);
                target.slowness += (relative_duration - target.slowness) * SLOWNESS_WEIGHT;
                let mut out_of_space = false;
                if results.contains(&Err(PieceFailure::InputLost))
                    || elapsed_ms > call.expected_ms + CONTENTION_DELAY_MS
                {
                    self.contention_until = now + CONTENTION_MS;
                }
                for (key, result) in call.piece_keys.iter().zip(results) {
                    out_of_space |= result == Err(PieceFailure::NoSpace);
                    self.end_piece(now, target_id, *key, result, &mut reports, &mut orphaned);
                }
                if let Some(target) = self.targets.get_mut(target_id) {
                    if out_of_space {
                        target.paused_until = now + FULL_PAUSE_MS;
                        target.space_share =
                            (target.space_share * SPACE_SHARE_SHRINK_FACTOR).max(MIN_SPACE_SHARE);
                    } else {
                        target.space_share =
                            (target.space_share + SPACE_SHARE_GROWTH).min(MAX_SPACE_SHARE);
                    }
                }
            }
            CallOutcome::Full { backoff_ms } => {
                if let Some(backoff_ms) = backoff_ms {
                    target.backoff_until = now + backoff_ms;
                    target.paused_until = target.backoff_until;
                } else {
                    self.contention_until = now + CONTENTION_MS;
                    target.paused_until = now + FULL_PAUSE_MS;
                }
                for key in call.piece_keys {
                    if let Some(piece) = self.pieces.get_mut(&key) {
                        piece.in_call = false;
                        piece.attempts = piece.attempts.saturating_sub(1);
                    }
                }
            }
            CallOutcome::Broken => {
                let doublings = target.consecutive_failures.min(8);
                target.consecutive_failures += 1;
                let pause = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
                target.paused_until = now + Millis(pause);
                for key in call.piece_keys {
                    let failed = Err(PieceFailure::Failed);
                    self.end_piece(now, target_id, key, failed, &mut reports, &mut orphaned);
                }
            }
        }
        (reports, orphaned)
    }

    fn end_piece(
        &mut self,
        now: Millis,
        target_id: &str,
        key: u64,
        result: Result<String, PieceFailure>,
        reports: &mut Vec<PieceReport>,
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
            piece.attempts = piece.attempts.saturating_sub(1);
        }
        let may_send_again = matches!(result, Err(PieceFailure::Failed | PieceFailure::NoSpace));
        if may_send_again
            && !self.is_draining
            && !piece.inputs_read
            && piece.attempts < MAX_ATTEMPTS
            && piece.deadline > now
        {
            piece.in_call = false;
            return;
        }
        reports.push(PieceReport {
            submission: piece.submission,
            piece: piece.piece,
            progress: match result {
                Ok(handle) => PieceProgress::Computed(handle),
                Err(failure) => PieceProgress::Failed(failure),
            },
        });
        self.pieces.remove(&key);
    }

    /// Marks the inputs of the call that runs at a target as read, and returns the reports of its
    /// pieces.
    ///
    /// The caller invokes this once the target has had enough time to read the inputs.
    pub fn mark_inputs_read(&mut self, now: Millis, target: &str) -> Vec<PieceReport> {
        if now < self.contention_until {
            // The target may still be busy with a call of another owner.
            return Vec::new();
        }
        let call = self
            .targets
            .get(target)
            .and_then(|target| target.call.as_ref());
        let mut read = Vec::new();
        for key in call.iter().flat_map(|call| &call.piece_keys) {
            if let Some(piece) = self.pieces.get_mut(key)
                && matches!(piece.source, PieceSource::Inputs(_))
            {
                piece.inputs_read = true;
                read.push(PieceReport {
                    submission: piece.submission,
                    piece: piece.piece,
                    progress: PieceProgress::InputsRead,
                });
            }
        }
        read
    }

    /// Removes the waiting pieces whose deadline has passed, or will pass before a target takes
    /// calls again, and returns their reports as late.
    pub fn expire(&mut self, now: Millis) -> Vec<PieceReport> {
        let earliest_call_at = self.backoff_end().unwrap_or(now).max(now);
        let expired: Vec<u64> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call && piece.deadline <= earliest_call_at)
            .map(|(&key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.pieces.remove(&key))
            .map(|piece| PieceReport {
                submission: piece.submission,
                piece: piece.piece,
                progress: PieceProgress::Failed(PieceFailure::Late),
            })
            .collect()
    }

    /// Forms a call for each idle target that can get one now, and marks their pieces as sent.
    pub fn start_calls(&mut self, now: Millis) -> Vec<Call> {
        let mut idle_targets: Vec<(String, f64)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.is_idle(now))
            .map(|(id, target)| (id.clone(), target.slowness))
            .collect();
        if idle_targets.is_empty() || self.pieces.values().all(|piece| piece.in_call) {
            return Vec::new();
        }
        idle_targets.sort_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(&b.0)));
        let mut stages = self.started_stages(now);
        let mut calls = Vec::new();
        // A piece is left to the idle targets of its own domain first.
        for prefers_local in [true, false] {
            for (id, _) in &idle_targets {
                if self.targets[id].call.is_none() {
                    calls.extend(self.try_start_call(now, id, prefers_local, &mut stages));
                }
            }
        }
        calls
    }

    /// Returns the next time at which the queue has to be checked even if no event occurs: the end
    /// of a pause or of the wait for a target in the same failure domain, or a deadline.
    #[must_use]
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        if !self.pieces.values().any(|piece| !piece.in_call) {
            return None;
        }
        let pauses = self
            .targets
            .values()
            .filter(|target| target.call.is_none())
            .flat_map(|target| {
                let start_at = self.earliest_start(&target.failure_domain);
                [target.paused_until, start_at]
            });
        let waits = self
            .pieces
            .values()
            .filter(|piece| !piece.in_call)
            .flat_map(|piece| [piece.queued_at + LOCAL_DOMAIN_WAIT_MS, piece.deadline]);
        pauses.chain(waits).filter(|&time| time > now).min()
    }

    fn try_start_call(
        &mut self,
        now: Millis,
        id: &str,
        prefers_local: bool,
        stages: &mut StartedStages,
    ) -> Option<Call> {
        let target = &self.targets[id];
        let idle_domains: BTreeSet<&str> = self
            .targets
            .values()
            .filter(|target| prefers_local && target.is_idle(now))
            .map(|target| target.failure_domain.as_str())
            .collect();
        // Sort order: pieces of started stages, then pieces that are not late, due time, priority.
        let mut candidates: Vec<(bool, bool, Millis, u32, u64)> = self
            .pieces
            .iter()
            .filter(|(_, piece)| !piece.in_call && piece.deadline > now)
            .filter(|(_, piece)| {
                piece.failure_domain == target.failure_domain
                    || (!idle_domains.contains(piece.failure_domain.as_str())
                        && self.may_use_other_domain(now, piece, prefers_local))
            })
            .map(|(&key, piece)| {
                let is_late = piece.due < now;
                (!piece.is_started, is_late, piece.due, piece.priority, key)
            })
            .collect();
        candidates.sort_unstable();
        let call_size = call_size::pieces_for_call(
            candidates.len(),
            self.spec.ms_per_piece,
            &self.other_starts_ms(now, id),
        );
        if candidates.len() < self.spec.max_pieces_per_call
            && self.earliest_start(&target.failure_domain) > now
        {
            return None;
        }
        let mut available_bytes = self.available_space(now, target);
        let mut keys = Vec::new();
        let mut submissions = BTreeSet::new();
        for (_, _, _, _, key) in candidates {
            if keys.len() >= self.spec.max_pieces_per_call {
                break;
            }
            let piece = &self.pieces[&key];
            // A stage is complete with its last piece, so its pieces stay together.
            if keys.len() >= call_size && !submissions.contains(&piece.submission) {
                continue;
            }
            let remaining_pieces = self.spec.max_pieces_per_call - keys.len();
            if piece.result_bytes <= available_bytes
                && stages.try_start(piece.submission, remaining_pieces, available_bytes)
            {
                available_bytes -= piece.result_bytes;
                submissions.insert(piece.submission);
                keys.push(key);
            }
        }
        if keys.is_empty() {
            return None;
        }
        let wanted = call_size.min(self.spec.max_pieces_per_call);
        let fill = (keys.len() as f64 / wanted as f64).min(1.0);
        Some(self.start_call(now, id, keys, available_bytes, fill))
    }

    fn start_call(
        &mut self,
        now: Millis,
        id: &str,
        keys: Vec<u64>,
        free_bytes: u64,
        fill: f64,
    ) -> Call {
        let nominal_ms = self.spec.call_overhead_ms + self.spec.ms_per_piece * keys.len() as f64;
        let mut pieces = Vec::with_capacity(keys.len());
        let mut waited_ms = Millis::ZERO;
        let mut started = BTreeSet::new();
        for key in &keys {
            let Some(piece) = self.pieces.get_mut(key) else {
                continue;
            };
            piece.in_call = true;
            piece.attempts += 1;
            started.insert(piece.submission);
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
            piece.is_started |= started.contains(&piece.submission);
        }
        let mut timeout_ms = CALL_TIMEOUT_MARGIN_MS + nominal_ms * CALL_TIMEOUT_FACTOR;
        if let Some(target) = self.targets.get_mut(id) {
            target.results.retain(|_, &mut (_, until)| until > now);
            let domain = target.failure_domain.clone();
            self.last_start_at.insert(domain, now);
            let expected_ms = nominal_ms * target.slowness;
            timeout_ms = CALL_TIMEOUT_MARGIN_MS + expected_ms * CALL_TIMEOUT_FACTOR;
            target.call = Some(RunningCall {
                piece_keys: keys,
                started_at: now,
                expected_ms,
                nominal_ms,
            });
        }
        let still_waiting = self.pieces.values().filter(|piece| !piece.in_call).count();
        if still_waiting >= self.spec.max_pieces_per_call {
            self.mean_fill += (fill - self.mean_fill) * FILL_WEIGHT;
        }
        Call {
            target: id.to_owned(),
            pieces,
            timeout_ms: Millis(timeout_ms as u64),
            waited_ms,
            still_waiting,
            free_result_bytes: free_bytes,
        }
    }
}
