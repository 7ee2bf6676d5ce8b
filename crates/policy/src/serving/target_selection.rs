//! Selection of a target by its load and its recent failures.
//!
//! Load reports are out of date when they arrive, and many instances act on the same report.
//! Requests that this instance sent since the last report are therefore added to it. Targets that
//! fail are paused, that is not selected unless all targets are paused. The pause doubles with each
//! consecutive failure.

use std::collections::BTreeMap;

use crate::serving::model::TargetEntry;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// How long a load report is used; without one, only requests of this instance count.
const LOAD_REPORT_VALID_MS: Millis = Millis(1_000);
/// Pause after the first failure; it doubles with each consecutive one.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause after failures, so that a recovered target gets requests again within this time.
const MAX_PAUSE_MS: u64 = 4_000;
/// Pause after a target refused a request because it was full.
const FULL_PAUSE_MS: Millis = Millis(60);
/// Load, as a fraction of the slots, that is added to a target of another failure domain, since
/// traffic between domains is charged and slower.
const REMOTE_DOMAIN_PENALTY: f64 = 0.6;
/// Requests with a shared prompt prefix are sent to the same target, which has the prefix cached,
/// as long as the load of this target exceeds the least load by no more than this fraction of its
/// slots.
const MAX_PREFIX_AFFINITY_LOAD: f64 = 0.12;
/// Weight of the newest attempt in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.25;
/// Failure rate above which a target is paused after an error response.
const MAX_FAILURE_RATE: f64 = 0.6;

/// Load and failures of one target, as observed by this instance.
#[derive(Clone, Debug, Default)]
struct TargetState {
    in_flight: u32,
    reported_calls: u32,
    last_report_at: Option<Millis>,
    sent_since_report: u32,
    paused_until: Millis,
    consecutive_failures: u32,
    failure_rate: f64,
}

/// Load and failures of all targets, as observed by one instance.
#[derive(Debug, Default)]
pub struct TargetStates {
    states: BTreeMap<String, TargetState>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetOutcome {
    /// The target sent a usable response.
    #[strum(serialize = "answered")]
    Responded,
    /// The target responded with an error.
    Failed,
    /// The target was full and did not execute the request.
    Full,
    /// The connection failed, or the response was unusable.
    Broken,
    /// The attempt was cancelled for a reason unrelated to the target.
    Abandoned,
}

/// What a request prefers in a target.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Failure domain of this instance.
    pub local_domain: &'a str,
    /// Prompt prefix that the request shares with others, if any; targets cache such prefixes.
    pub shared_prefix: Option<&'a str>,
    /// Random number that decides between equally loaded targets.
    pub random: u64,
}

impl TargetStates {
    /// Records that a request was sent to a target.
    pub fn record_send(&mut self, target: &str) {
        let state = self.states.entry(target.to_owned()).or_default();
        state.in_flight += 1;
        state.sent_since_report += 1;
    }

    /// Records the end of an attempt.
    pub fn record_outcome(&mut self, now: Millis, target: &str, outcome: TargetOutcome) {
        let state = self.states.entry(target.to_owned()).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        let failed = match outcome {
            TargetOutcome::Abandoned => return,
            TargetOutcome::Full => {
                state.paused_until = state.paused_until.max(now + FULL_PAUSE_MS);
                return;
            }
            TargetOutcome::Responded => false,
            TargetOutcome::Failed | TargetOutcome::Broken => true,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        state.failure_rate += (sample - state.failure_rate) * FAILURE_RATE_WEIGHT;
        if !failed {
            state.consecutive_failures = 0;
            return;
        }
        state.consecutive_failures += 1;
        if outcome == TargetOutcome::Broken || state.failure_rate > MAX_FAILURE_RATE {
            let doublings = state.consecutive_failures.saturating_sub(1).min(8);
            let pause = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
            state.paused_until = state.paused_until.max(now + Millis(pause));
        }
    }

    /// Records a load report: the numbers of running and waiting requests at a target.
    pub fn record_load_report(&mut self, now: Millis, target: &str, running: u32, waiting: u32) {
        let state = self.states.entry(target.to_owned()).or_default();
        state.reported_calls = running.saturating_add(waiting);
        state.last_report_at = Some(now);
        state.sent_since_report = 0;
    }

    /// Removes the state of a target that is gone or was restarted.
    pub fn remove(&mut self, target: &str) {
        self.states.remove(target);
    }

    /// Returns the number of requests at a target, as far as this instance knows, divided by its
    /// slots.
    #[must_use]
    pub fn load(&self, now: Millis, entry: &TargetEntry) -> f64 {
        let Some(state) = self.states.get(&entry.id) else {
            return 0.0;
        };
        let valid = state
            .last_report_at
            .is_some_and(|last_report_at| last_report_at + LOAD_REPORT_VALID_MS >= now);
        let reported = if valid {
            state.reported_calls + state.sent_since_report
        } else {
            0
        };
        f64::from(reported.max(state.in_flight)) / f64::from(entry.slots.max(1))
    }

    /// Returns the number of requests at a target, as far as this instance knows.
    #[must_use]
    pub fn running(&self, now: Millis, entry: &TargetEntry) -> u32 {
        let slots = f64::from(entry.slots.max(1));
        (self.load(now, entry) * slots).round() as u32
    }

    /// Returns whether a target is paused after failures or because it was full.
    #[must_use]
    pub fn is_paused(&self, now: Millis, target: &str) -> bool {
        self.states
            .get(target)
            .is_some_and(|state| state.paused_until > now)
    }

    /// Returns the index of the selected target, or `None` if there are no candidates.
    #[must_use]
    pub fn select(
        &self,
        now: Millis,
        candidates: &[&TargetEntry],
        criteria: &SelectionCriteria<'_>,
    ) -> Option<usize> {
        let rated_targets: Vec<(usize, bool, f64)> = candidates
            .iter()
            .enumerate()
            .map(|(index, entry)| {
                // With a shared prefix, all domains are equal: processing the prefix anew at a
                // local target costs more than crossing domains.
                let is_local = entry.failure_domain == criteria.local_domain;
                let domain_penalty = if is_local || criteria.shared_prefix.is_some() {
                    0.0
                } else {
                    REMOTE_DOMAIN_PENALTY
                };
                let load = self.load(now, entry) + domain_penalty;
                (index, self.is_paused(now, &entry.id), load)
            })
            .collect();
        let all_paused = rated_targets.iter().all(|&(_, paused, _)| paused);
        let usable: Vec<(usize, f64)> = rated_targets
            .iter()
            .filter(|&&(_, paused, _)| all_paused || !paused)
            .map(|&(index, _, load)| (index, load))
            .collect();
        let least_load = usable
            .iter()
            .map(|&(_, load)| load)
            .min_by(f64::total_cmp)?;
        if let Some(prefix) = criteria.shared_prefix {
            return usable
                .iter()
                .filter(|&&(_, load)| load <= least_load + MAX_PREFIX_AFFINITY_LOAD)
                .max_by_key(|&&(index, _)| {
                    rendezvous::weight(prefix.as_bytes(), &candidates[index].id)
                })
                .map(|&(index, _)| index);
        }
        let ties: Vec<usize> = usable
            .iter()
            .filter(|&&(_, load)| load <= least_load + f64::EPSILON)
            .map(|&(index, _)| index)
            .collect();
        ties.get(criteria.random as usize % ties.len().max(1))
            .copied()
    }
}
