//! Division of the time until the deadline among the remaining stages of a pipeline.
//!
//! Each stage gets a budget in proportion to a high quantile of its measured latency, so a stage
//! whose latency varies much gets more time. Until all remaining stages have enough samples, they
//! get equal budgets.

use crate::latency::RecentLatency;
use arbutus_coord::Millis;

/// Settings of stage budgets.
#[derive(Clone, Copy, Debug)]
pub struct StageBudgetSettings {
    /// The quantile of the latency, from 0 to 1, to which the budgets are proportional.
    pub quantile: f64,
    /// The number of recent latencies of each stage below which the budgets are equal.
    pub min_samples: u64,
    /// The smallest budget; if less time remains until the deadline, the budget is that time.
    pub min_budget_ms: Millis,
    /// The time window of [`RecentLatency`]; a latency is dropped about one to two windows
    /// after it was recorded.
    pub window_ms: Millis,
}

impl Default for StageBudgetSettings {
    fn default() -> Self {
        Self {
            quantile: 0.9,
            min_samples: 20,
            min_budget_ms: Millis(5),
            window_ms: Millis(30_000),
        }
    }
}

/// The recent latencies and the budgets of the stages of one pipeline.
#[derive(Clone, Debug)]
pub struct StageBudgets {
    settings: StageBudgetSettings,
    stage_latencies: Vec<RecentLatency>,
}

impl StageBudgets {
    /// Creates budgets for a pipeline of `stages` stages, without latencies.
    #[must_use]
    pub fn new(settings: StageBudgetSettings, stages: usize) -> Self {
        Self {
            settings,
            stage_latencies: vec![RecentLatency::new(settings.window_ms); stages],
        }
    }

    /// Records how long a stage took; `stage` is its index in the pipeline.
    pub fn record(&mut self, now: Millis, stage: usize, latency_ms: Millis) {
        if let Some(latency) = self.stage_latencies.get_mut(stage) {
            latency.record(now, latency_ms);
        }
    }

    /// Returns the budget of a stage, given the time until the deadline of the request.
    ///
    /// The last stage gets all the remaining time.
    #[must_use]
    pub fn budget(&self, stage: usize, remaining: Millis) -> Millis {
        let remaining_stages = self.stage_latencies.len().saturating_sub(stage);
        if remaining_stages <= 1 {
            return remaining;
        }
        let quantiles: Option<Vec<u64>> = (stage..self.stage_latencies.len())
            .map(|index| self.latency_quantile(index, self.settings.quantile))
            .collect();
        let budget = match quantiles {
            Some(quantiles) => {
                let sum: u64 = quantiles.iter().sum();
                remaining.0 as f64 * quantiles[0] as f64 / sum.max(1) as f64
            }
            None => remaining.0 as f64 / remaining_stages as f64,
        };
        Millis(budget as u64)
            .max(self.settings.min_budget_ms)
            .min(remaining)
    }

    /// Returns the expected latency of the stage `from_stage` and all later stages together: the
    /// sum of the `quantile` of each, from 0 to 1. Returns `None` while one of these stages has
    /// fewer than `min_samples` recent latencies.
    #[must_use]
    pub fn expected_latency(&self, from_stage: usize, quantile: f64) -> Option<Millis> {
        let stages = from_stage..self.stage_latencies.len();
        let sum: Option<u64> = stages
            .map(|index| self.latency_quantile(index, quantile))
            .sum();
        sum.map(Millis)
    }

    fn latency_quantile(&self, stage: usize, quantile: f64) -> Option<u64> {
        let latency = self.stage_latencies.get(stage)?;
        if latency.count() < self.settings.min_samples {
            return None;
        }
        latency.quantile(quantile).map(|value| value.0.max(1))
    }
}
