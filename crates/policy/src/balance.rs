//! Selection of a target among a bounded subset of the targets of a service.
//!
//! An engine is a target that runs a language model. It caches the prefixes of recent prompts.
//!
//! A target without a free slot, or whose circuit breaker refuses calls, is never selected.
//! [`BalancingStrategy::RoundRobin`] is the baseline for measurements.
//! [`BalancingStrategy::LeastLoaded`] compares the load relative to the capacity and avoids slow
//! targets. For a prompt with a prefix key, it prefers the engine that is likely to have the prefix
//! in its cache, as long as the relative load of that engine is at most a fixed multiple of the
//! mean.

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_coord::rendezvous;

/// The length of the prompt prefix, in bytes, that determines the preferred engine.
const PREFIX_BYTES: usize = 256;

/// The strategy for the selection of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalancingStrategy {
    /// Selects the target with the lowest load relative to its capacity.
    #[default]
    LeastLoaded,
    /// Selects the targets in turn.
    RoundRobin,
}

/// Settings of the load balancer of one service.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancerSettings {
    /// The strategy for the selection of a target.
    pub strategy: BalancingStrategy,
    /// Whether requests whose prompts have the same prefix prefer the same engine.
    pub prefix_affinity: bool,
    /// The preferred engine is selected only if its load relative to its capacity is at most this
    /// multiple of the mean of the usable targets.
    pub affinity_load_factor: f64,
    /// A target counts as slow if its latency is at least this multiple of the lowest latency of
    /// the usable targets.
    pub slow_factor: f64,
}

impl Default for LoadBalancerSettings {
    fn default() -> Self {
        Self {
            strategy: BalancingStrategy::LeastLoaded,
            prefix_affinity: true,
            affinity_load_factor: 1.25,
            slow_factor: 2.0,
        }
    }
}

/// A target that can be selected, and its state.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: Target,
    /// The name of the target. All instances know a target by the same name, so for a prefix key
    /// they rank the targets in the same order.
    pub name: &'a str,
    /// Whether the circuit breaker allows calls.
    pub breaker_allows_calls: bool,
    /// The number of slots that this instance holds and does not use.
    pub free_slots: u32,
    /// The number of calls that the target can execute concurrently in its present state.
    pub capacity: u32,
    /// The number of calls that the target executes or that wait there, as far as this instance
    /// knows. It includes at least this instance's own calls.
    pub load: u32,
    /// The mean latency of calls to the target, or `None` before the first measurement.
    pub latency_ms: Option<Millis>,
}

impl Candidate<'_> {
    fn is_usable(&self) -> bool {
        self.breaker_allows_calls && self.free_slots > 0 && self.capacity > 0
    }

    /// Returns the load relative to the capacity, including one more call.
    fn relative_load(&self) -> f64 {
        f64::from(self.load.saturating_add(1)) / f64::from(self.capacity.max(1))
    }
}

/// Returns the hash of the prefix of a prompt, which determines its preferred engine.
#[must_use]
pub fn prefix_key(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rendezvous::stable_hash(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Returns the subset of the targets of a service that an instance uses, at most `size` targets.
///
/// Rendezvous hashing ranks the targets differently for each instance, so the subsets spread over
/// all targets, and adding or removing a target changes at most one member of each subset.
pub fn target_subset<'a>(
    instance: &str,
    targets: impl Iterator<Item = &'a str>,
    size: usize,
) -> Vec<&'a str> {
    let mut ranked = rendezvous::ranked(instance.as_bytes(), targets);
    ranked.truncate(size);
    ranked
}

/// Selects the targets for the calls to one service.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    settings: LoadBalancerSettings,
    next_index: usize,
}

impl LoadBalancer {
    /// Creates a load balancer.
    #[must_use]
    pub fn new(settings: LoadBalancerSettings) -> Self {
        Self {
            settings,
            next_index: 0,
        }
    }

    /// Returns the index of the selected candidate, or `None` if none is usable.
    ///
    /// `prefix` is the result of [`prefix_key`], or `None` for a call without a prompt. `random`
    /// decides between equally good candidates, so that not all instances with the same information
    /// select the same one.
    pub fn select(
        &mut self,
        candidates: &[Candidate<'_>],
        prefix: Option<u64>,
        random: u64,
    ) -> Option<usize> {
        let usable: Vec<usize> = (0..candidates.len())
            .filter(|&index| candidates[index].is_usable())
            .collect();
        if usable.is_empty() {
            return None;
        }
        if self.settings.strategy == BalancingStrategy::RoundRobin {
            return Some(self.select_round_robin(&usable));
        }
        let preferred = prefix
            .filter(|_| self.settings.prefix_affinity)
            .and_then(|prefix| self.select_by_prefix(candidates, &usable, prefix));
        preferred.or_else(|| Some(self.select_least_loaded(candidates, &usable, random)))
    }

    fn select_round_robin(&mut self, usable: &[usize]) -> usize {
        let next = usable
            .iter()
            .find(|&&index| index >= self.next_index)
            .or(usable.first());
        let chosen = next.copied().unwrap_or(0);
        self.next_index = chosen + 1;
        chosen
    }

    fn select_by_prefix(
        &self,
        candidates: &[Candidate<'_>],
        usable: &[usize],
        prefix: u64,
    ) -> Option<usize> {
        let load: f64 = usable.iter().map(|&i| f64::from(candidates[i].load)).sum();
        let capacity: f64 = usable
            .iter()
            .map(|&i| f64::from(candidates[i].capacity))
            .sum();
        let max_relative_load = self.settings.affinity_load_factor * (load + 1.0) / capacity;
        let lowest_latency = lowest_latency(candidates, usable);
        let key = prefix.to_be_bytes();
        // An idle target is always below the limit. Otherwise a target with a capacity of one call
        // would exceed the limit whenever the mean load is low, since the new call fills it.
        let is_below_affinity_limit = |candidate: &Candidate<'_>| {
            candidate.load == 0 || candidate.relative_load() <= max_relative_load
        };
        usable
            .iter()
            .copied()
            .filter(|&index| is_below_affinity_limit(&candidates[index]))
            .filter(|&index| {
                relative_latency(&candidates[index], lowest_latency) < self.settings.slow_factor
            })
            .max_by_key(|&index| rendezvous::weight(&key, candidates[index].name))
    }

    fn select_least_loaded(
        &self,
        candidates: &[Candidate<'_>],
        usable: &[usize],
        random: u64,
    ) -> usize {
        let lowest_latency = lowest_latency(candidates, usable);
        let score = |index: usize| {
            let relative_latency = relative_latency(&candidates[index], lowest_latency);
            // Small differences in latency are noise and must not outweigh the load.
            let penalty = if relative_latency < self.settings.slow_factor {
                1.0
            } else {
                relative_latency
            };
            candidates[index].relative_load() * penalty
        };
        let start = (random % usable.len() as u64) as usize;
        let rotated = usable[start..].iter().chain(&usable[..start]).copied();
        rotated
            .min_by(|&a, &b| score(a).total_cmp(&score(b)))
            .unwrap_or(usable[start])
    }
}

/// Returns the lowest known latency of the usable candidates.
fn lowest_latency(candidates: &[Candidate<'_>], usable: &[usize]) -> Option<Millis> {
    usable
        .iter()
        .filter_map(|&index| candidates[index].latency_ms)
        .min()
}

/// Returns the latency of a candidate as a multiple of the lowest latency, or 1 if either is
/// unknown.
fn relative_latency(candidate: &Candidate<'_>, lowest_latency: Option<Millis>) -> f64 {
    match (candidate.latency_ms, lowest_latency) {
        (Some(latency), Some(lowest_latency)) => latency.0 as f64 / lowest_latency.0.max(1) as f64,
        _ => 1.0,
    }
}
