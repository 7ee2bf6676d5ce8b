//! Measures the durations of the stages of each pipeline.
//!
//! Admission compares the expected duration of the remaining stages, a quantile of the measured
//! durations, with the deadline of a request. The budget of a stage is its part of the remaining
//! time; it limits the first attempt of the stage.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutus_config::Deployment;
use arbutus_coord::Millis;
use arbutus_policy::stage_budget::StageBudgetSettings;
use arbutus_policy::stage_budget::StageBudgets;

/// The quantile of the measured durations that admission uses as the expected duration.
const EXPECTED_QUANTILE: f64 = 0.9;

/// The number of measurements that a stage needs before it has an expected duration. It is small
/// because an instance handles only a small part of the traffic.
const MIN_SAMPLES: u64 = 5;

/// The measured durations of the stages of each pipeline.
#[derive(Debug, Default)]
pub struct StageTimes {
    pipelines: Mutex<BTreeMap<String, PipelineTimes>>,
}

#[derive(Debug)]
struct PipelineTimes {
    /// The service of each stage.
    services: Vec<String>,
    budgets: StageBudgets,
}

impl StageTimes {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the pipelines of a new configuration. A pipeline whose stages use the same services as
    /// before keeps its measurements.
    pub fn set_pipelines(&self, deployment: &Deployment) {
        let mut pipelines = self.lock();
        pipelines.retain(|name, _| deployment.pipelines.contains_key(name));
        for (name, spec) in &deployment.pipelines {
            let services: Vec<String> = spec
                .stages
                .iter()
                .map(|stage| stage.service.clone())
                .collect();
            if pipelines
                .get(name)
                .is_some_and(|times| times.services == services)
            {
                continue;
            }
            let settings = StageBudgetSettings {
                min_samples: MIN_SAMPLES,
                ..StageBudgetSettings::default()
            };
            let budgets = StageBudgets::new(settings, services.len());
            pipelines.insert(name.clone(), PipelineTimes { services, budgets });
        }
    }

    /// Records the measured duration of a stage.
    pub fn record(&self, now: Millis, pipeline: &str, stage: usize, duration_ms: Millis) {
        if let Some(times) = self.lock().get_mut(pipeline) {
            times.budgets.record(now, stage, duration_ms);
        }
    }

    /// Records an estimate as a measurement of a stage, unless the stage and all later ones have
    /// been measured often enough.
    pub fn record_estimate(&self, now: Millis, pipeline: &str, stage: usize, estimated_ms: Millis) {
        if let Some(times) = self.lock().get_mut(pipeline)
            && times
                .budgets
                .expected_latency(stage, EXPECTED_QUANTILE)
                .is_none()
        {
            times.budgets.record(now, stage, estimated_ms);
        }
    }

    /// Returns the expected duration of a stage and all later ones, zero when it is not known.
    #[must_use]
    pub fn expected_remaining(&self, pipeline: &str, first_stage: usize) -> Millis {
        let pipelines = self.lock();
        let times = pipelines.get(pipeline);
        times
            .and_then(|times| {
                times
                    .budgets
                    .expected_latency(first_stage, EXPECTED_QUANTILE)
            })
            .unwrap_or(Millis::ZERO)
    }

    /// Returns how much of the remaining time until the deadline a stage may use: all of it for an
    /// unknown pipeline.
    #[must_use]
    pub fn budget(&self, pipeline: &str, stage: usize, remaining_ms: Millis) -> Millis {
        let pipelines = self.lock();
        let times = pipelines.get(pipeline);
        times.map_or(remaining_ms, |times| {
            times.budgets.budget(stage, remaining_ms)
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, PipelineTimes>> {
        self.pipelines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
