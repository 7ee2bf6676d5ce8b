//! The share of the remaining deadline for each remaining stage.
//!
//! The shares are proportional to a high quantile of the measured latency of each stage, so a
//! stage whose latency varies much gets more room. Until every stage has been measured, the
//! remaining time is divided evenly.

use crate::latency::RecentLatency;
use arbutus_coord::Millis;

/// Settings of stage budgets.
#[derive(Clone, Copy, Debug)]
pub struct StageBudgetSettings {
    /// The quantile of the latency by which the time is divided.
    pub quantile: f64,
    /// The measurements of a stage without which the time is divided evenly.
    pub min_samples: u64,
    /// The smallest budget, as long as that much time remains.
    pub min_budget_ms: Millis,
    /// The span after which measurements begin to be forgotten.
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

/// The measured stages of one pipeline.
#[derive(Clone, Debug)]
pub struct StageBudgets {
    settings: StageBudgetSettings,
    stages: Vec<RecentLatency>,
}

impl StageBudgets {
    /// Creates budgets for a number of stages.
    #[must_use]
    pub fn new(settings: StageBudgetSettings, stages: usize) -> Self {
        Self {
            settings,
            stages: vec![RecentLatency::new(settings.window_ms); stages],
        }
    }

    /// Records how long a stage took.
    pub fn record(&mut self, now: Millis, stage: usize, latency_ms: Millis) {
        if let Some(latency) = self.stages.get_mut(stage) {
            latency.record(now, latency_ms);
        }
    }

    /// Returns the time for a stage, given the time until the deadline of the request.
    ///
    /// The last stage gets all that remains.
    #[must_use]
    pub fn budget(&self, stage: usize, remaining: Millis) -> Millis {
        let later = self.stages.len().saturating_sub(stage);
        if later <= 1 {
            return remaining;
        }
        let quantiles: Option<Vec<u64>> = (stage..self.stages.len())
            .map(|index| self.quantile(index, self.settings.quantile))
            .collect();
        let share = match quantiles {
            Some(quantiles) => {
                let sum: u64 = quantiles.iter().sum();
                remaining.0 as f64 * quantiles[0] as f64 / sum.max(1) as f64
            }
            None => remaining.0 as f64 / later as f64,
        };
        Millis(share as u64)
            .max(self.settings.min_budget_ms)
            .min(remaining)
    }

    /// Returns how long the stages from one on take together, by a quantile of each, or nothing
    /// while there are too few measurements.
    #[must_use]
    pub fn expected_latency(&self, from_stage: usize, quantile: f64) -> Option<Millis> {
        let stages = from_stage..self.stages.len();
        let sum: Option<u64> = stages.map(|index| self.quantile(index, quantile)).sum();
        sum.map(Millis)
    }

    fn quantile(&self, stage: usize, quantile: f64) -> Option<u64> {
        let latency = self.stages.get(stage)?;
        if latency.count() < self.settings.min_samples {
            return None;
        }
        latency.quantile(quantile).map(|value| value.0.max(1))
    }
}
