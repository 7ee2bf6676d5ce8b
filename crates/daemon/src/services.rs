//! The routing state of each service: retry budget, breakers, choice and hedging.

use std::collections::BTreeMap;

use arbutus_config::deployment::BalancingStrategy as ConfiguredChoice;
use arbutus_config::deployment::PolicySpec;
use arbutus_coord::Millis;
use arbutus_coord::entity::Target;
use arbutus_policy::balance::BalancingStrategy;
use arbutus_policy::balance::Candidate;
use arbutus_policy::balance::LoadBalancer;
use arbutus_policy::balance::LoadBalancerSettings;
use arbutus_policy::circuit_breaker::CallOutcome;
use arbutus_policy::circuit_breaker::CircuitBreakerSettings;
use arbutus_policy::circuit_breaker::CircuitBreakers;
use arbutus_policy::circuit_breaker::Permit;
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
pub struct ServiceState {
    retry: RetryBudget,
    health: CircuitBreakers,
    balance: LoadBalancer,
    hedge: HedgePolicy,
    latency_ms: f64,
    slot_ms: f64,
}

/// The routing state of all services.
#[derive(Debug, Default)]
pub struct Services {
    policy: PolicySpec,
    states: BTreeMap<String, ServiceState>,
}

impl Services {
    /// Takes over a policy; measurements are kept unless the policy changes.
    pub fn set_policy(&mut self, policy: &PolicySpec) {
        if self.policy != *policy {
            self.policy = policy.clone();
            self.states.clear();
        }
    }

    /// Returns the state of a service.
    pub fn state(&mut self, now: Millis, service: &str) -> &mut ServiceState {
        let policy = &self.policy;
        self.states
            .entry(service.to_owned())
            .or_insert_with(|| ServiceState::new(now, policy))
    }
}

impl ServiceState {
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
            retry: RetryBudget::new(now, retry),
            health: CircuitBreakers::new(CircuitBreakerSettings::default()),
            balance: LoadBalancer::new(balance),
            hedge: HedgePolicy::new(HedgeSettings::default()),
            latency_ms: 0.0,
            slot_ms: 0.0,
        }
    }

    /// Returns whether the breaker of a target lets calls pass.
    #[must_use]
    pub fn is_healthy(&self, now: Millis, target: Target) -> bool {
        self.health.call_permit(now, target) != Permit::Refused
    }

    /// Returns the measured latency of a target.
    #[must_use]
    pub fn latency(&self, target: Target) -> Option<Millis> {
        self.health.mean_latency(target)
    }

    /// Returns the index of the chosen candidate.
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        prefix: Option<u64>,
        random: u64,
    ) -> Option<usize> {
        self.balance.select(candidates, prefix, random)
    }

    /// Notes that a call to a target starts.
    pub fn start(&mut self, now: Millis, target: Target) {
        let _permit = self.health.start_call(now, target);
    }

    /// Records how a call to a target ended, and returns whether its breaker changed.
    pub fn record(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        if let CallOutcome::Success { latency_ms } = outcome {
            self.retry.record_success();
            self.hedge.record_latency(now, latency_ms);
            self.latency_ms += (latency_ms.0 as f64 - self.latency_ms) * LATENCY_WEIGHT;
        }
        self.health.record_outcome(now, target, outcome)
    }

    /// Records how long a call occupied its slot.
    pub fn record_slot(&mut self, occupied_ms: Millis) {
        self.slot_ms += (occupied_ms.0 as f64 - self.slot_ms) * LATENCY_WEIGHT;
    }

    /// Takes over an estimate while nothing has been measured.
    pub fn estimate_slot(&mut self, occupied_ms: Millis) {
        if self.slot_ms == 0.0 {
            self.slot_ms = occupied_ms.0 as f64;
        }
    }

    /// Returns how long a call occupies a slot, on average.
    #[must_use]
    pub fn slot_ms(&self) -> Millis {
        Millis(self.slot_ms.round() as u64)
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
        let expected_ms = Millis(self.latency_ms.round() as u64);
        self.retry.try_retry(
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
        self.hedge.start_call()
    }

    /// Returns whether a call whose delay has passed is hedged.
    pub fn try_hedge(&mut self) -> bool {
        self.hedge.try_hedge()
    }
}
