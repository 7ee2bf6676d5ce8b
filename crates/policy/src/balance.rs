//! The choice of a target among a bounded subset of a service's targets.
//!
//! A target without a free slot, or whose breaker refuses calls, is never chosen.
//! [`BalancingStrategy::RoundRobin`] is the baseline for measurements. [`BalancingStrategy::LeastLoaded`] weighs load
//! against capacity and measured latency. With a prefix, the engine that is likely to have the
//! prompt's prefix in its cache is preferred while its load stays within a factor of the mean.

use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_coord::rendezvous;

/// The bytes of a prompt that determine its preferred engine.
const PREFIX_BYTES: usize = 256;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalancingStrategy {
    /// The target with the least load for its capacity.
    #[default]
    LeastLoaded,
    /// Each target in turn.
    RoundRobin,
}

/// Settings of the choice of targets.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancerSettings {
    /// How a target is chosen.
    pub strategy: BalancingStrategy,
    /// Whether requests with a common prefix prefer the same engine.
    pub prefix_affinity: bool,
    /// The load relative to the mean up to which the preferred engine is used.
    pub affinity_load_factor: f64,
    /// The latency relative to the fastest candidate above which a target counts as slow.
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

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: Target,
    /// The target's name, by which all instances rank it equally for a prefix.
    pub name: &'a str,
    /// Whether the circuit breaker lets calls pass.
    pub healthy: bool,
    /// The slots that this instance holds and does not use.
    pub free_slots: u32,
    /// The calls that the target can run at once in its present state.
    pub capacity: u32,
    /// The calls that run or wait at the target, or this instance's own calls if more.
    pub load: u32,
    /// The measured latency.
    pub latency_ms: Option<Millis>,
}

impl Candidate<'_> {
    fn is_usable(&self) -> bool {
        self.healthy && self.free_slots > 0 && self.capacity > 0
    }

    /// Returns the load relative to the capacity after one more call.
    fn next_load(&self) -> f64 {
        f64::from(self.load.saturating_add(1)) / f64::from(self.capacity.max(1))
    }
}

/// Returns the key that determines the preferred engine of a prompt.
#[must_use]
pub fn prefix_key(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rendezvous::stable_hash(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Returns the targets of a service that an instance uses.
///
/// Each instance ranks the targets by itself, so the subsets spread over all targets and a change
/// of one target changes at most one member of each subset.
pub fn target_subset<'a>(
    instance: &str,
    targets: impl Iterator<Item = &'a str>,
    size: usize,
) -> Vec<&'a str> {
    let mut ranked = rendezvous::ranked(instance.as_bytes(), targets);
    ranked.truncate(size);
    ranked
}

/// The choice of targets of one service.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    settings: LoadBalancerSettings,
    turn: usize,
}

impl LoadBalancer {
    /// Creates a policy.
    #[must_use]
    pub fn new(settings: LoadBalancerSettings) -> Self {
        Self { settings, turn: 0 }
    }

    /// Returns the index of the chosen candidate, or nothing when none is usable.
    ///
    /// `random` decides between equally good candidates, so that instances with the same view do
    /// not all choose the same one.
    pub fn choose(
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
            return Some(self.next_in_turn(&usable));
        }
        let preferred = prefix
            .filter(|_| self.settings.prefix_affinity)
            .and_then(|prefix| self.by_prefix(candidates, &usable, prefix));
        preferred.or_else(|| Some(self.least_loaded(candidates, &usable, random)))
    }

    fn next_in_turn(&mut self, usable: &[usize]) -> usize {
        let next = usable
            .iter()
            .find(|&&index| index >= self.turn)
            .or(usable.first());
        let chosen = next.copied().unwrap_or(0);
        self.turn = chosen + 1;
        chosen
    }

    fn by_prefix(
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
        let bound = self.settings.affinity_load_factor * (load + 1.0) / capacity;
        let fastest = fastest(candidates, usable);
        let key = prefix.to_be_bytes();
        // A target that has just room for one call of its own always fits, or none would at low load.
        let fits =
            |candidate: &Candidate<'_>| candidate.load == 0 || candidate.next_load() <= bound;
        usable
            .iter()
            .copied()
            .filter(|&index| fits(&candidates[index]))
            .filter(|&index| slowness(&candidates[index], fastest) < self.settings.slow_factor)
            .max_by_key(|&index| rendezvous::weight(&key, candidates[index].name))
    }

    fn least_loaded(&self, candidates: &[Candidate<'_>], usable: &[usize], random: u64) -> usize {
        let fastest = fastest(candidates, usable);
        let score = |index: usize| {
            let slowness = slowness(&candidates[index], fastest);
            // Small differences of latency are noise and must not outweigh load.
            let penalty = if slowness < self.settings.slow_factor {
                1.0
            } else {
                slowness
            };
            candidates[index].next_load() * penalty
        };
        let start = (random % usable.len() as u64) as usize;
        let rotated = usable[start..].iter().chain(&usable[..start]).copied();
        rotated
            .min_by(|&a, &b| score(a).total_cmp(&score(b)))
            .unwrap_or(usable[start])
    }
}

fn fastest(candidates: &[Candidate<'_>], usable: &[usize]) -> Option<Millis> {
    usable
        .iter()
        .filter_map(|&index| candidates[index].latency_ms)
        .min()
}

fn slowness(candidate: &Candidate<'_>, fastest: Option<Millis>) -> f64 {
    match (candidate.latency_ms, fastest) {
        (Some(latency), Some(fastest)) => latency.0 as f64 / fastest.0.max(1) as f64,
        _ => 1.0,
    }
}
