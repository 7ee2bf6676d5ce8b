//! The routing state of each service: retry budget, circuit breakers, load balancer and hedging.

use std::collections::BTreeMap;

use arbutus_config::deployment::BalancingStrategy as ConfiguredStrategy;
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

/// The weight of the newest measurement in the moving averages of the latency and the slot time.
const MOVING_AVERAGE_WEIGHT: f64 = 0.1;

/// The routing state of one service.
#[derive(Debug)]
pub struct ServiceRouting {
    retry_budget: RetryBudget,
    circuit_breakers: CircuitBreakers,
    load_balancer: LoadBalancer,
    hedge_policy: HedgePolicy,
    /// The moving average of the latency of all targets of the service, 0 before the first call.
    mean_latency_ms: f64,
    /// The moving average of the time for which a call occupies a slot, 0 when it is not known.
    mean_slot_ms: f64,
}

/// The routing state of all services.
#[derive(Debug, Default)]
pub struct RoutingTable {
    policy: PolicySpec,
    services: BTreeMap<String, ServiceRouting>,
}

impl RoutingTable {
    /// Sets the policy. A change of the policy discards all measurements.
    pub fn set_policy(&mut self, policy: &PolicySpec) {
        if self.policy != *policy {
            self.policy = policy.clone();
            self.services.clear();
        }
    }

    /// Returns the routing state of a service, which is created at the first use.
    pub fn state(&mut self, now: Millis, service: &str) -> &mut ServiceRouting {
        let policy = &self.policy;
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceRouting::new(now, policy))
    }
}

impl ServiceRouting {
    fn new(now: Millis, policy: &PolicySpec) -> Self {
        let retry_settings = RetrySettings {
            budget_percent: policy.retry_budget_percent,
            max_attempts: policy.max_attempts,
            ..RetrySettings::default()
        };
        let strategy = match policy.choice {
            ConfiguredStrategy::LeastLoaded => BalancingStrategy::LeastLoaded,
            ConfiguredStrategy::RoundRobin => BalancingStrategy::RoundRobin,
        };
        let balancer_settings = LoadBalancerSettings {
            strategy,
            prefix_affinity: policy.prefix_affinity,
            ..LoadBalancerSettings::default()
        };
        Self {
            retry_budget: RetryBudget::new(now, retry_settings),
            circuit_breakers: CircuitBreakers::new(CircuitBreakerSettings::default()),
            load_balancer: LoadBalancer::new(balancer_settings),
            hedge_policy: HedgePolicy::new(HedgeSettings::default()),
            mean_latency_ms: 0.0,
            mean_slot_ms: 0.0,
        }
    }

    /// Returns whether the circuit breaker of a target allows calls.
    #[must_use]
    pub fn breaker_allows_calls(&self, now: Millis, target: Target) -> bool {
        self.circuit_breakers.call_permit(now, target) != Permit::Refused
    }

    /// Returns the mean latency of a target, `None` when it has not been measured.
    #[must_use]
    pub fn mean_latency(&self, target: Target) -> Option<Millis> {
        self.circuit_breakers.mean_latency(target)
    }

    /// Returns the index of the selected candidate, `None` when none can be used.
    pub fn select_target(
        &mut self,
        candidates: &[Candidate<'_>],
        prefix: Option<u64>,
        random: u64,
    ) -> Option<usize> {
        self.load_balancer.select(candidates, prefix, random)
    }

    /// Informs the circuit breaker that a call to a target starts.
    pub fn start_call(&mut self, now: Millis, target: Target) {
        let _permit = self.circuit_breakers.start_call(now, target);
    }

    /// Records the outcome of a call to a target. Returns whether its circuit breaker opened or
    /// closed; `false` if a failed probe opened it again.
    pub fn record_outcome(&mut self, now: Millis, target: Target, outcome: CallOutcome) -> bool {
        if let CallOutcome::Success { latency_ms } = outcome {
            self.retry_budget.record_success();
            self.hedge_policy.record_latency(now, latency_ms);
            self.mean_latency_ms +=
                (latency_ms.0 as f64 - self.mean_latency_ms) * MOVING_AVERAGE_WEIGHT;
        }
        self.circuit_breakers.record_outcome(now, target, outcome)
    }

    /// Records for how long a call occupied its slot.
    pub fn record_slot_time(&mut self, occupied_ms: Millis) {
        self.mean_slot_ms += (occupied_ms.0 as f64 - self.mean_slot_ms) * MOVING_AVERAGE_WEIGHT;
    }

    /// Sets the mean time for which a call occupies a slot to an estimate, if it is not known.
    pub fn estimate_slot_time(&mut self, occupied_ms: Millis) {
        if self.mean_slot_ms == 0.0 {
            self.mean_slot_ms = occupied_ms.0 as f64;
        }
    }

    /// Returns the mean time for which a call occupies a slot, zero when it is not known.
    #[must_use]
    pub fn mean_slot_time(&self) -> Millis {
        Millis(self.mean_slot_ms.round() as u64)
    }

    /// Counts a retry against the budget and returns the delay before it. `attempts` is the number
    /// of consecutive attempts without progress, at least 1.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be retried.
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

    /// Counts a call that may be hedged, and returns the delay after which to hedge it; `None` when
    /// it is not hedged.
    pub fn start_hedgeable_call(&mut self) -> Option<Millis> {
        self.hedge_policy.start_call()
    }

    /// Returns whether a call may be hedged after its delay, and counts the hedge if so.
    pub fn try_hedge(&mut self) -> bool {
        self.hedge_policy.try_hedge()
    }
}
