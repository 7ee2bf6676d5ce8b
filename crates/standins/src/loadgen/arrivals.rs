//! Generates the requests of a run: an independent Poisson process for each organisation.
//!
//! The scenario, the seed and the run identifier determine all requests, so that the same requests
//! can be sent to two deployments.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::generated_text::MARKER;
use crate::generated_text::PROMPT;
use crate::loadgen::scenario::CallKind;
use crate::loadgen::scenario::PipelineLoad;
use crate::loadgen::scenario::Scenario;
use arbutus_coord::Millis;

/// Length to which the prefix of a prompt is padded, in characters: the number of characters that
/// stand-in engines cache.
///
/// Prompts with the same organisation, pipeline and prefix number start with the same prefix, so
/// that targets can reuse its cached computation.
const PROMPT_PREFIX_CHARS: usize = 48;

/// A request and its scheduled start.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Scheduled start, in microseconds after the start of the run.
    pub scheduled_us: u64,
    /// Index into [`Scenario::organisations`].
    pub organisation: usize,
    /// Index into [`Scenario::pipelines`].
    pub pipeline: usize,
    /// Identifies the request; a client retry repeats the marker of the original request.
    pub marker: String,
    /// Request body.
    pub input: Value,
    /// Whether this request repeats an earlier one with the same marker.
    pub is_client_retry: bool,
}

/// Generates all requests of a run, sorted by scheduled start.
///
/// The run identifier is part of each marker, so that targets that serve several runs count their
/// executions separately.
#[must_use]
pub fn generate_arrivals(scenario: &Scenario, seed: u64, run_id: &str) -> Vec<Arrival> {
    let total_weight: f64 = scenario.organisations.iter().map(|each| each.weight).sum();
    let mut arrivals = Vec::new();
    for (index, organisation) in scenario.organisations.iter().enumerate() {
        let generator = OrganisationArrivals {
            scenario,
            organisation: index,
            rate_per_s: scenario.rate_per_s * organisation.weight / total_weight,
            run_id,
        };
        // Each organisation has its own stream of random numbers, so that a burst of one
        // organisation does not change the requests of the others.
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(index as u64);
        generator.generate(&mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.scheduled_us, arrival.organisation));
    arrivals
}

/// Generates the requests of one organisation.
struct OrganisationArrivals<'a> {
    scenario: &'a Scenario,
    organisation: usize,
    rate_per_s: f64,
    run_id: &'a str,
}

impl OrganisationArrivals<'_> {
    fn generate(&self, rng: &mut ChaCha8Rng, arrivals: &mut Vec<Arrival>) {
        let peak_factor = self
            .scenario
            .bursts
            .iter()
            .map(|burst| burst.factor)
            .fold(1.0, f64::max);
        let mut at_s = 0.0;
        let mut request_number = 0;
        loop {
            // Thinning of a Poisson process: candidates are drawn at the peak rate, and each is
            // kept with the probability of the current rate divided by the peak rate.
            at_s -= (1.0 - rng.random::<f64>()).ln() / (self.rate_per_s * peak_factor);
            if at_s >= self.scenario.duration_s {
                return;
            }
            if rng.random::<f64>() * peak_factor >= self.rate_factor(at_s) {
                continue;
            }
            request_number += 1;
            let arrival = self.random_arrival(rng, at_s, request_number);
            let pipeline = &self.scenario.pipelines[arrival.pipeline];
            let client_retry = (pipeline.kind == CallKind::Booking
                && rng.random::<f64>() < pipeline.resend_share)
                .then(|| build_client_retry(&arrival, pipeline.resend_after_ms));
            arrivals.push(arrival);
            arrivals.extend(client_retry);
        }
    }

    /// Returns the factor by which the request rate of this organisation is multiplied at a time.
    ///
    /// If several bursts cover the time, the last one in the scenario's list applies.
    fn rate_factor(&self, at_s: f64) -> f64 {
        let name = &self.scenario.organisations[self.organisation].name;
        let affects = |organisation: &Option<String>| {
            organisation
                .as_ref()
                .is_none_or(|affected| affected == name)
        };
        self.scenario
            .bursts
            .iter()
            .filter(|burst| burst.from_s <= at_s && at_s < burst.to_s)
            .filter(|burst| affects(&burst.organisation))
            .map(|burst| burst.factor)
            .next_back()
            .unwrap_or(1.0)
    }

    fn random_arrival(&self, rng: &mut ChaCha8Rng, at_s: f64, request_number: u64) -> Arrival {
        let pipeline = random_pipeline(&self.scenario.pipelines, rng);
        let pipeline_load = &self.scenario.pipelines[pipeline];
        let organisation = &self.scenario.organisations[self.organisation].name;
        let prefix_number = rng.random_range(0..pipeline_load.prefixes.max(1));
        let prompt_prefix = format!("{prefix_number} {organisation} {}", pipeline_load.name);
        let marker = format!("{}-{}-{request_number}", self.run_id, self.organisation);
        let input = json!({
            PROMPT: format!("{prompt_prefix:.<PROMPT_PREFIX_CHARS$} {request_number}"),
            MARKER: marker,
        });
        Arrival {
            scheduled_us: (at_s * 1e6) as u64,
            organisation: self.organisation,
            pipeline,
            marker,
            input,
            is_client_retry: false,
        }
    }
}

fn build_client_retry(arrival: &Arrival, delay: Millis) -> Arrival {
    Arrival {
        scheduled_us: arrival.scheduled_us + delay.0 * 1_000,
        is_client_retry: true,
        ..arrival.clone()
    }
}

fn random_pipeline(pipelines: &[PipelineLoad], rng: &mut ChaCha8Rng) -> usize {
    let total_weight: f64 = pipelines.iter().map(|pipeline| pipeline.weight).sum();
    let mut remaining_weight = rng.random::<f64>() * total_weight;
    for (index, pipeline) in pipelines.iter().enumerate() {
        remaining_weight -= pipeline.weight;
        if remaining_weight < 0.0 {
            return index;
        }
    }
    pipelines.len() - 1
}
