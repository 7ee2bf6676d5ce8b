//! The routing state of each service: retry budget, breakers, choice and hedging.

use std::collections::BTreeMap;

use arbutus_config::deployment::Choice as ConfiguredChoice;
use arbutus_config::deployment::PolicySpec;
use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_policy::balance::BalancingStrategy;
use arbutus_policy::balance::Candidate;
use arbutus_policy::balance::LoadBalancer;
use arbutus_policy::balance::LoadBalancerSettings;
use arbutus_policy::health::CallOutcome;
use arbutus_policy::health::CircuitBreakerSettings;
use arbutus_policy::health::CircuitBreakers;
use arbutus_policy::health::Permit;
use arbutus_policy::hedge::HedgePolicy;
use arbutus_policy::hedge::HedgeSettings;
use arbutus_policy::retry::RetryBudget;
use arbutus_policy::retry::RetryRefusal;
use arbutus_policy::retry::RetryRequest;
use arbutus_policy::retry::RetrySettings;

/// The weight of the newest measurement in the moving average of a service's latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// The routing state of one service.
#[derive(Debug)]
pub struct ServiceRouting {
    retry_budget: RetryBudget,
    circuit_breakers: CircuitBreakers,
    load_balancer: LoadBalancer,
    hedge_policy: HedgePolicy,
    mean_latency_ms: f64,
    mean_slot_ms: f64,
}

/// The routing state of all services.
#[derive(Debug, Default)]
pub struct RoutingTable {
    policy: PolicySpec,
    states: BTreeMap<String, ServiceRouting>,
}

impl RoutingTable {
    /// Takes over a policy; measurements are kept unless the policy changes.
    pub fn set_policy(&mut self, policy: &PolicySpec) {
        if self.policy != *policy {
            self.policy = policy.clone();
            self.states.clear();
        }
    }

    /// Returns the state of a service.
    pub fn state(&mut self, now: Millis, service: &str) -> &mut ServiceRouting {
        let policy = &self.policy;
        self.states
            .entry(service.to_owned())
            .or_insert_with(|| ServiceRouting::new(now, policy))
    }
}

impl ServiceRouting {
    fn new(now: Millis, policy: &PolicySpec) -> Self {
        let retry = RetrySettings {
            budget_percent: policy.retry_budget_percent,
            max_attempts: policy.max_attempts,
            ..RetrySettings::default()
        };
        let strategy = match policy.choice {
            ConfiguredChoice::LeastLoaded => BalancingStrategy::LeastLoaded,
            ConfiguredChoice::RoundRobin => BalancingStrategy::RoundRobin,
        };
        let balance = LoadBalancerSettings {
            strategy,
            prefix_affinity: policy.prefix_affinity,
            ..LoadBalancerSettings::default()
        };
        Self {
            retry_budget: RetryBudget::new(now, retry),
            circuit_breakers: CircuitBreakers::new(CircuitBreakerSettings::default()),
            load_balancer: LoadBalancer::new(balance),
            hedge_policy: HedgePolicy::new(HedgeSettings::default()),
            mean_latency_ms: 0.0,
            mean_slot_ms: 0.0,
        }
    }

    /// Returns whether the breaker of a target lets calls pass.
    #[must_use]
    pub fn breaker_allows_calls(&self, now: Millis, target: Target) -> bool {
        self.circuit_breakers.permit(now, target) != Permit::Refused
    }

    /// Returns the measured latency of a target.
    #[must_use]
    pub fn mean_latency(&self, target: Target) -> Option<Millis> {
        self.circuit_breakers.mean_latency(target)
    }

    /// Returns the index of the chosen candidate.
    pub fn select_target(
        &mut self,
        candidates: &[Candidate<'_>],
        prefix: Option<u64>,
        random: u64,
    ) -> Option<usize> {
        self.load_balancer.choose(candidates, prefix, random)
    }

    /// Notes that a call to a target starts.
    pub fn start_call(&mut self, now: Millis, target: Target) {
        let _permit = self.circuit_breakers.start_call(now, target);
    }

    /// Records how a call to a target ended, and returns whether its breaker changed.
    pub fn record_outcome(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        if let CallOutcome::Success { latency_ms } = outcome {
            self.retry_budget.record_success();
            self.hedge_policy.record_latency(now, latency_ms);
            self.mean_latency_ms += (latency_ms.0 as f64 - self.mean_latency_ms) * LATENCY_WEIGHT;
        }
        self.circuit_breakers.record_outcome(now, target, outcome)
    }

    /// Records how long a call occupied its slot.
    pub fn record_slot_time(&mut self, occupied_ms: Millis) {
        self.mean_slot_ms += (occupied_ms.0 as f64 - self.mean_slot_ms) * LATENCY_WEIGHT;
    }

    /// Takes over an estimate while nothing has been measured.
    pub fn estimate_slot_time(&mut self, occupied_ms: Millis) {
        if self.mean_slot_ms == 0.0 {
            self.mean_slot_ms = occupied_ms.0 as f64;
        }
    }

    /// Returns how long a call occupies a slot, on average.
    #[must_use]
    pub fn mean_slot_time(&self) -> Millis {
        Millis(self.mean_slot_ms.round() as u64)
    }

    /// Returns the delay before a retry and takes the retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be repeated.
    pub fn try_retry(
        &mut self,
        now: Millis,
        attempts: u32,
        deadline: Millis,
        random: u64,
    ) -> Result<Millis, RetryRefusal> {
        let expected_ms = Millis(self.mean_latency_ms.round() as u64);
        self.retry_budget.try_retry(
            now,
            RetryRequest {
                attempts,
                deadline,
                expected_ms,
                random,
            },
        )
    }

    /// Counts a call and returns after which delay it may be hedged.
    pub fn hedge_delay(&mut self) -> Option<Millis> {
        self.hedge_policy.start_call()
    }

    /// Returns whether a call whose delay has passed is hedged.
    pub fn try_hedge(&mut self) -> bool {
        self.hedge_policy.try_hedge()
    }
}
