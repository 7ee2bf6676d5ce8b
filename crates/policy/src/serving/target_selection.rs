//! The choice of a target from what its answers and failures show.
//!
//! Reports of load are old when they arrive and many instances read the same ones, so own sends
//! since the last report are added. Targets that fail are avoided for a time that doubles; they
//! are used again when no other target is left.

use std::collections::BTreeMap;

use crate::serving::model::TargetEntry;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// How long a report of load counts; own requests in progress count without one.
const REPORT_VALID_MS: Millis = Millis(1_000);
/// The first pause after a failure; doubles with each further one.
const FIRST_PAUSE_MS: u64 = 250;
/// The longest pause: a target that came back is found within it.
const MAX_PAUSE_MS: u64 = 4_000;
/// The pause after a target refused a request as full.
const FULL_PAUSE_MS: Millis = Millis(60);
/// What another failure domain adds to the load: its bytes are charged and its answers take longer.
const FOREIGN_DOMAIN_LOAD: f64 = 0.6;
/// How much load the target that holds a prompt's beginning may have above the least loaded one.
const AFFINITY_LOAD: f64 = 0.12;
/// The weight of the newest answer in the mean of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// The mean of failures above which a target counts as failing.
const FAILING_MEAN: f64 = 0.6;

/// What an instance knows of the load and the faults of a target.
#[derive(Clone, Debug, Default)]
struct TargetState {
    in_flight: u32,
    reported_busy: u32,
    reported_at: Option<Millis>,
    sent_since_report: u32,
    paused_until: Millis,
    failures_in_a_row: u32,
    failure_mean: f64,
}

/// The load and faults of all targets, as one instance sees them.
#[derive(Debug, Default)]
pub struct TargetStates {
    states: BTreeMap<String, TargetState>,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetOutcome {
    /// The target answered.
    #[strum(serialize = "answered")]
    Responded,
    /// The target answered that it failed.
    Failed,
    /// The target was full and did not run the request.
    Full,
    /// The connection failed or the answer was unusable.
    Broken,
    /// The request was given up for a reason that says nothing about the target.
    Abandoned,
}

/// What a request needs from a target.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// The failure domain of the instance.
    pub local_domain: &'a str,
    /// The part of the prompt that requests share, if any.
    pub shared_prefix: Option<&'a str>,
    /// A random number that decides between equally loaded targets.
    pub random: u64,
}

impl TargetStates {
    /// Records a send.
    pub fn record_send(&mut self, target: &str) {
        let state = self.states.entry(target.to_owned()).or_default();
        state.in_flight += 1;
        state.sent_since_report += 1;
    }

    /// Records the end of a request.
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
        let newest = if failed { 1.0 } else { 0.0 };
        state.failure_mean += (newest - state.failure_mean) * FAILURE_WEIGHT;
        if !failed {
            state.failures_in_a_row = 0;
            return;
        }
        state.failures_in_a_row += 1;
        if outcome == TargetOutcome::Broken || state.failure_mean > FAILING_MEAN {
            let doublings = state.failures_in_a_row.saturating_sub(1).min(8);
            let pause = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
            state.paused_until = state.paused_until.max(now + Millis(pause));
        }
    }

    /// Records a target's report of its load.
    pub fn record_load_report(&mut self, now: Millis, target: &str, running: u32, waiting: u32) {
        let state = self.states.entry(target.to_owned()).or_default();
        state.reported_busy = running.saturating_add(waiting);
        state.reported_at = Some(now);
        state.sent_since_report = 0;
    }

    /// Forgets a target that has gone or started anew.
    pub fn remove(&mut self, target: &str) {
        self.states.remove(target);
    }

    /// Returns the load of a target relative to its slots.
    #[must_use]
    pub fn load(&self, now: Millis, entry: &TargetEntry) -> f64 {
        let Some(state) = self.states.get(&entry.id) else {
            return 0.0;
        };
        let valid = state
            .reported_at
            .is_some_and(|at| at + REPORT_VALID_MS >= now);
        let reported = if valid {
            state.reported_busy + state.sent_since_report
        } else {
            0
        };
        f64::from(reported.max(state.in_flight)) / f64::from(entry.slots.max(1))
    }

    /// Returns whether a target is avoided because of its failures.
    #[must_use]
    pub fn is_paused(&self, now: Millis, target: &str) -> bool {
        self.states
            .get(target)
            .is_some_and(|state| state.paused_until > now)
    }

    /// Returns the position of the chosen target, or nothing where there is none.
    #[must_use]
    pub fn select(
        &self,
        now: Millis,
        candidates: &[&TargetEntry],
        wish: &SelectionCriteria<'_>,
    ) -> Option<usize> {
        let rated: Vec<(usize, bool, f64)> = candidates
            .iter()
            .enumerate()
            .map(|(index, entry)| {
                // Reading a prompt's beginning again costs more than the way to another domain.
                let near = entry.failure_domain == wish.local_domain;
                let foreign = if near || wish.shared_prefix.is_some() {
                    0.0
                } else {
                    FOREIGN_DOMAIN_LOAD
                };
                let load = self.load(now, entry) + foreign;
                (index, self.is_paused(now, &entry.id), load)
            })
            .collect();
        let all_paused = rated.iter().all(|&(_, paused, _)| paused);
        let usable: Vec<(usize, f64)> = rated
            .iter()
            .filter(|&&(_, paused, _)| all_paused || !paused)
            .map(|&(index, _, load)| (index, load))
            .collect();
        let least = usable
            .iter()
            .map(|&(_, load)| load)
            .min_by(f64::total_cmp)?;
        if let Some(prefix) = wish.shared_prefix {
            return usable
                .iter()
                .filter(|&&(_, load)| load <= least + AFFINITY_LOAD)
                .max_by_key(|&&(index, _)| {
                    rendezvous::weight(prefix.as_bytes(), &candidates[index].id)
                })
                .map(|&(index, _)| index);
        }
        let ties: Vec<usize> = usable
            .iter()
            .filter(|&&(_, load)| load <= least + f64::EPSILON)
            .map(|&(index, _)| index)
            .collect();
        ties.get(wish.random as usize % ties.len().max(1)).copied()
    }
}
