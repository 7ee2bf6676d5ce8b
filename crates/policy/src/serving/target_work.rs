//! Choice of a target by the work that a request causes there.
//!
//! Targets of one service differ in speed, and a target that shares its machine slows down for a
//! moment. Requests differ in size by a factor of several hundred. The cost of a candidate is
//! therefore a time: how long the request takes there until its response begins, and how much it
//! delays the requests that run there, because a target reads a prompt between the tokens of its
//! other streams.
//!
//! Many instances choose at the same time from the same reports. Requests with a common prompt
//! prefix agree on a target by rendezvous hashing, which divides them in proportion to the usual
//! speed of the targets. Other requests choose at random among the candidates of nearly equal cost.

use crate::serving::model::TargetEntry;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// Work percentage of a target that works at the usual speed of its service.
pub const NOMINAL_WORK_PERCENT: u32 = 100;
/// Part of a delay of running requests that counts as cost. Most pauses between their events stay
/// within the objective although a prompt is read in between.
const DELAY_WEIGHT: f64 = 0.1;
/// Part by which each running request lengthens the work of another one.
const INTERFERENCE_PER_REQUEST: f64 = 0.02;
/// Additional cost that a request accepts for a target that has its prompt prefix cached, as a
/// percentage of the time that is left until its latency objective. A smaller one moves requests away
/// from each target that slows down for a moment, and their prefixes are read again elsewhere.
const AFFINITY_SLACK_PERCENT: u64 = 25;
/// Candidates whose cost exceeds the least by less than this fraction are chosen at random.
const CLOSE_COST_FRACTION: f64 = 0.1;
/// Cost of crossing failure domains, as a fraction of the time of the request.
const REMOTE_DOMAIN_FRACTION: f64 = 0.3;

/// A target that may get the request, and what is known of it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The entry of the target.
    pub entry: &'a TargetEntry,
    /// Number of requests at the target, including those that this instance sent since the report.
    pub running: u32,
    /// How long work takes at the target now, as a percentage of the usual time of the service.
    pub work_percent: u32,
    /// The same as it is most of the time.
    pub usual_work_percent: u32,
    /// How long work takes at the target as observed, in relation to the service.
    pub pace: f64,
    /// Whether the target is paused after failures or because it was full.
    pub is_paused: bool,
    /// Probability with which the target is a candidate at all; below 1 after a start or recovery.
    pub ramp_weight: f64,
}

/// What a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub struct RequestWork<'a> {
    /// Prompt prefix that other requests share, if any, and its tokens.
    pub shared_prefix: Option<(&'a str, u64)>,
    /// Number of tokens of the whole prompt; 0 for a request without a prompt.
    pub prompt_tokens: u64,
    /// Time that the service needs for a request without a prompt.
    pub base_ms: f64,
    /// Time that the service needs for a token of a prompt.
    pub ms_per_token: f64,
    /// Latency objective of the request.
    pub objective_ms: Millis,
    /// Time that is left until the request misses its latency objective.
    pub slack_ms: Millis,
    /// Failure domain of this instance.
    pub local_domain: &'a str,
}

impl RequestWork<'_> {
    fn read_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.ms_per_token
    }

    /// Returns the cost of the request at a candidate that has no part of the prompt cached.
    fn cost_ms(&self, candidate: &Candidate<'_>) -> f64 {
        let slots = f64::from(candidate.entry.slots.max(1));
        let running = f64::from(candidate.running);
        let slowness = f64::from(candidate.work_percent) / f64::from(NOMINAL_WORK_PERCENT);
        let slowness = slowness * candidate.pace;
        let own_ms = (self.base_ms + self.read_ms(self.prompt_tokens)) * slowness;
        let delay_ms = self.read_ms(self.prompt_tokens) * slowness * running * DELAY_WEIGHT;
        // Requests beyond the slots wait until one of those that run ends.
        let waiting = (running + 1.0 - slots).max(0.0) / slots;
        let queueing_ms = waiting * self.objective_ms.0 as f64 * slowness;
        // Requests with a shared prefix go to the domain that has it cached.
        let is_remote =
            candidate.entry.failure_domain != self.local_domain && self.shared_prefix.is_none();
        let remote_ms = if is_remote {
            own_ms * REMOTE_DOMAIN_FRACTION
        } else {
            0.0
        };
        own_ms * (1.0 + running * INTERFERENCE_PER_REQUEST) + delay_ms + queueing_ms + remote_ms
    }

    /// Returns the additional cost that is accepted for a cached prefix: the time for reading it
    /// again, or what leaves enough time until the objective.
    fn affinity_ms(&self) -> f64 {
        let prefix_tokens = self.shared_prefix.map_or(0, |(_, tokens)| tokens);
        let spare_ms = self.slack_ms.percent(AFFINITY_SLACK_PERCENT);
        self.read_ms(prefix_tokens).max(spare_ms.0 as f64)
    }
}

/// Returns the index of the selected candidate, or `None` if there is none.
///
/// `random` decides which ramping targets are candidates, and between candidates of equal cost.
#[must_use]
pub fn select(
    candidates: &[Candidate<'_>],
    request: &RequestWork<'_>,
    random: u64,
) -> Option<usize> {
    let all_paused = candidates.iter().all(|candidate| candidate.is_paused);
    let is_usable = |candidate: &Candidate<'_>| all_paused || !candidate.is_paused;
    let mut costs: Vec<(usize, f64)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_usable(candidate) && is_admitted(candidate, random))
        .map(|(index, candidate)| (index, request.cost_ms(candidate)))
        .collect();
    if costs.is_empty() {
        // Only ramping targets are left; the one that bears most gets the request.
        let usable = candidates.iter().enumerate();
        let usable = usable.filter(|(_, candidate)| is_usable(candidate));
        return usable
            .max_by(|(_, a), (_, b)| a.ramp_weight.total_cmp(&b.ramp_weight))
            .map(|(index, _)| index);
    }
    let least_ms = costs
        .iter()
        .map(|&(_, cost_ms)| cost_ms)
        .min_by(f64::total_cmp)?;
    if let Some((prefix, _)) = request.shared_prefix {
        let limit_ms = least_ms + request.affinity_ms();
        return costs
            .into_iter()
            .filter(|&(_, cost_ms)| cost_ms <= limit_ms)
            .map(|(index, _)| (index, affinity(prefix, &candidates[index])))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(index, _)| index);
    }
    costs.retain(|&(_, cost_ms)| cost_ms <= least_ms * (1.0 + CLOSE_COST_FRACTION));
    let position = random as usize % costs.len().max(1);
    costs.get(position).map(|&(index, _)| index)
}

/// Returns whether a target that ramps up takes part in this choice.
fn is_admitted(candidate: &Candidate<'_>, random: u64) -> bool {
    if candidate.ramp_weight >= 1.0 {
        return true;
    }
    // Each target needs a number of its own, or all that ramp would be admitted together.
    let draw = rendezvous::weight(&random.to_le_bytes(), &candidate.entry.id);
    unit_interval(draw) < candidate.ramp_weight
}

/// Returns the rank of a candidate for a prefix: weighted rendezvous hashing, in which a target wins
/// in proportion to its weight and a changed weight moves only the prefixes that it wins or loses.
fn affinity(prefix: &str, candidate: &Candidate<'_>) -> f64 {
    let hash = rendezvous::weight(prefix.as_bytes(), &candidate.entry.id);
    let slowness = f64::from(candidate.usual_work_percent.max(1)) / f64::from(NOMINAL_WORK_PERCENT);
    unit_interval(hash).ln() * slowness
}

/// Maps a hash to a number above 0 and below 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
