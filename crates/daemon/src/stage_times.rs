//! The measured time of the stages of each pipeline.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutus_config::Deployment;
use arbutus_coord::Millis;
use arbutus_policy::stage_budget::StageBudgetSettings;
use arbutus_policy::stage_budget::StageBudgets;

/// The quantile of the measured time that admission expects a request to take.
const EXPECTED_QUANTILE: f64 = 0.9;

/// An instance sees a small part of the traffic, so it has to do with few measurements.
const MIN_SAMPLES: u64 = 5;

/// The measured time of the stages of each pipeline.
#[derive(Debug, Default)]
pub struct StageTimes {
    pipelines: Mutex<BTreeMap<String, Measured>>,
}

#[derive(Debug)]
struct Measured {
    stages: Vec<String>,
    budget: StageBudgets,
}

impl StageTimes {
    /// Creates a table without pipelines.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the pipelines of a configuration; pipelines that stay alike keep their times.
    pub fn set_pipelines(&self, deployment: &Deployment) {
        let mut pipelines = self.lock();
        pipelines.retain(|name, _| deployment.pipelines.contains_key(name));
        for (name, spec) in &deployment.pipelines {
            let stages: Vec<String> = spec
                .stages
                .iter()
                .map(|stage| stage.service.clone())
                .collect();
            if pipelines
                .get(name)
                .is_some_and(|measured| measured.stages == stages)
            {
                continue;
            }
            let settings = StageBudgetSettings {
                min_samples: MIN_SAMPLES,
                ..StageBudgetSettings::default()
            };
            let budget = StageBudgets::new(settings, stages.len());
            pipelines.insert(name.clone(), Measured { stages, budget });
        }
    }

    /// Records how long a stage took.
    pub fn record(&self, now: Millis, pipeline: &str, stage: usize, took_ms: Millis) {
        if let Some(measured) = self.lock().get_mut(pipeline) {
            measured.budget.record(now, stage, took_ms);
        }
    }

    /// Takes over an estimate of a stage that has not been measured often enough.
    pub fn estimate(&self, now: Millis, pipeline: &str, stage: usize, whole_ms: Millis) {
        if let Some(measured) = self.lock().get_mut(pipeline)
            && measured
                .budget
                .expected_latency(stage, EXPECTED_QUANTILE)
                .is_none()
        {
            measured.budget.record(now, stage, whole_ms);
        }
    }

    /// Returns how long a stage and the later ones are expected to take.
    #[must_use]
    pub fn expected(&self, pipeline: &str, from_stage: usize) -> Millis {
        let pipelines = self.lock();
        let measured = pipelines.get(pipeline);
        measured
            .and_then(|measured| {
                measured
                    .budget
                    .expected_latency(from_stage, EXPECTED_QUANTILE)
            })
            .unwrap_or(Millis::ZERO)
    }

    /// Returns the time for a stage, given the time until the deadline of the request.
    #[must_use]
    pub fn budget(&self, pipeline: &str, stage: usize, remaining_ms: Millis) -> Millis {
        let pipelines = self.lock();
        let measured = pipelines.get(pipeline);
        measured.map_or(remaining_ms, |measured| {
            measured.budget.budget(stage, remaining_ms)
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Measured>> {
        self.pipelines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
