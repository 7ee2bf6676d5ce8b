//! What happens during a simulated roll-out, and what is recorded of it.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use arbutus_policy::serving::rollout::RolloutOrder;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_policy::serving::rollout::VersionSide;
use arbutus_policy::serving::rollout::canary_targets;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    Fails,
    IsSlow,
}

/// When the new version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    Always,
    /// Only on the route with the fewest requests.
    OnRareRoute,
    /// Only at targets with about as many requests as an old target usually has.
    UnderLoad,
    /// From this time after the order on.
    Later(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadVersion {
    pub harm: Harm,
    pub condition: Condition,
    /// Part of the responses that are bad while the condition holds.
    pub fraction: f64,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub members: usize,
    pub rate_per_s: f64,
    pub duration_ms: u64,
    pub old_targets: usize,
    pub new_targets: usize,
    pub bad: Option<BadVersion>,
    /// Name, weight and median duration of the routes; streams last evenly up to twice the median.
    pub routes: Vec<(&'static str, f64, f64)>,
    /// Windows in which the requests to both versions fail or are more.
    pub service_fault: Option<(u64, u64)>,
    pub burst: Option<(u64, u64)>,
    /// A target of this version takes six times as long as the others.
    pub slow_target: Option<VersionSide>,
    /// Times at which the decider is killed; it starts again after 4 s.
    pub decider_kills: Vec<u64>,
    /// A part of the instances is cut from the others in this window, and from the store too if the
    /// last value is true.
    pub cut: Option<(u64, u64, f64, bool)>,
    pub store_outage: Option<(u64, u64)>,
    /// Part of the writes without a response, of which one half takes effect.
    pub lost_writes: f64,
    /// Part of the messages that are lost, repeated or late by up to 700 ms.
    pub message_faults: f64,
}

impl Scenario {
    pub fn new(members: usize, rate_per_s: f64, duration_ms: u64) -> Self {
        Self {
            members,
            rate_per_s,
            duration_ms,
            old_targets: 30,
            new_targets: 30,
            bad: None,
            routes: vec![
                ("chat", 0.5, 1_500.0),
                ("search", 0.3, 200.0),
                ("lookup", 0.17, 60.0),
                ("rare", 0.03, 150.0),
            ],
            service_fault: None,
            burst: None,
            slow_target: None,
            decider_kills: Vec::new(),
            cut: None,
            store_outage: None,
            lost_writes: 0.0,
            message_faults: 0.01,
        }
    }

    /// Returns the index of a route; `random` is from 0 to 1.
    pub fn route(&self, random: f64) -> usize {
        let mut rest = random;
        let last = self.routes.len() - 1;
        let chosen = (0..last).find(|&route| {
            rest -= self.routes[route].1;
            rest < 0.0
        });
        chosen.unwrap_or(last)
    }

    /// Returns the new targets in the order in which they are used.
    pub fn ranked_new_targets(&self, order: &RolloutOrder) -> Vec<usize> {
        let count = self.new_targets;
        let names: Vec<String> = (0..count).map(|target| format!("n{target}")).collect();
        let usable = names.iter().map(String::as_str);
        let ranked = canary_targets(&order.service, order.revision, usable, count as u32);
        let numbers = ranked.iter().map(|name| name[1..].parse());
        numbers.map(|number| number.expect("a number")).collect()
    }
}

/// A request in progress at a target.
pub struct Request {
    pub instance: usize,
    pub incarnation: u64,
    pub route: usize,
    pub side: VersionSide,
    pub target: usize,
    pub sent_at: u64,
    pub failed: bool,
    pub is_bad: bool,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Final states with the times of their writes.
    pub decisions: Vec<(u64, RolloutState)>,
    /// Requests between the order and its time limit.
    pub sent_all: u64,
    pub sent_new: u64,
    pub bad_responses: u64,
    /// Time of the last bad response that does not count as late.
    pub counted_at: Option<u64>,
    pub last_sent_new_at: u64,
    /// Requests in progress at old targets when `completed` was written.
    pub old_in_flight_at_end: usize,
    pub sent_old_after_end: u64,
    /// Times and reasons of the changes of phase.
    pub reasons: Vec<(u64, String)>,
}

/// Returns the duration of a response in relation to the median of its route.
pub fn duration_spread(median_ms: f64, rng: &mut ChaCha8Rng) -> f64 {
    let is_stream = median_ms >= 1_000.0;
    if is_stream {
        return rng.random_range(0.1..2.0);
    }
    let normal: f64 = (0..6).map(|_| rng.random_range(-0.5..0.5)).sum();
    (normal * 0.8).exp()
}
