//! Arrival times: an independent Poisson process for each organisation.
//!
//! The arrivals are a function of the scenario and the seed, so two deployments receive the same
//! requests.

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

/// Prompts start with this many characters that depend on the prefix only.
const PREFIX_CHARS: usize = 48;

/// One request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time after the start of the run, in microseconds.
    pub at_us: u64,
    /// The position of the organisation in the scenario.
    pub organisation: usize,
    /// The position of the pipeline in the scenario.
    pub pipeline: usize,
    /// The identifier of the request; a resend has the same one.
    pub marker: String,
    /// The body.
    pub input: Value,
    /// Whether an earlier arrival has the same marker.
    pub is_resend: bool,
}

/// Computes all arrivals of a run, in the order of their times.
///
/// The run's identifier becomes part of the markers, so that runs do not mix.
#[must_use]
pub fn arrivals(scenario: &Scenario, seed: u64, run_id: &str) -> Vec<Arrival> {
    let weights: f64 = scenario.organisations.iter().map(|each| each.weight).sum();
    let mut arrivals = Vec::new();
    for (position, organisation) in scenario.organisations.iter().enumerate() {
        let source = Source {
            scenario,
            organisation: position,
            rate_per_s: scenario.rate_per_s * organisation.weight / weights,
            run_id,
        };
        // Each organisation has its own stream of numbers, so a burst of one leaves the others
        // as they are.
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(position as u64);
        source.generate(&mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.at_us, arrival.organisation));
    arrivals
}

struct Source<'a> {
    scenario: &'a Scenario,
    organisation: usize,
    rate_per_s: f64,
    run_id: &'a str,
}

impl Source<'_> {
    fn generate(&self, rng: &mut ChaCha8Rng, arrivals: &mut Vec<Arrival>) {
        let highest = self
            .scenario
            .bursts
            .iter()
            .map(|burst| burst.factor)
            .fold(1.0, f64::max);
        let mut at_s = 0.0;
        let mut number = 0;
        loop {
            // Thinning: candidates arrive at the highest rate, and each is kept with the
            // probability that corresponds to the rate at its time.
            at_s -= (1.0 - rng.random::<f64>()).ln() / (self.rate_per_s * highest);
            if at_s >= self.scenario.duration_s {
                return;
            }
            if rng.random::<f64>() * highest >= self.factor(at_s) {
                continue;
            }
            number += 1;
            let arrival = self.arrival(rng, at_s, number);
            let pipeline = &self.scenario.pipelines[arrival.pipeline];
            let resend = (pipeline.kind == CallKind::Booking
                && rng.random::<f64>() < pipeline.resend_share)
                .then(|| resend(&arrival, pipeline.resend_after_ms));
            arrivals.push(arrival);
            arrivals.extend(resend);
        }
    }

    /// Returns the factor of the last listed burst that covers a time.
    fn factor(&self, at_s: f64) -> f64 {
        let name = &self.scenario.organisations[self.organisation].name;
        let applies = |organisation: &Option<String>| {
            organisation.as_ref().is_none_or(|wanted| wanted == name)
        };
        self.scenario
            .bursts
            .iter()
            .filter(|burst| burst.from_s <= at_s && at_s < burst.to_s)
            .filter(|burst| applies(&burst.organisation))
            .map(|burst| burst.factor)
            .next_back()
            .unwrap_or(1.0)
    }

    fn arrival(&self, rng: &mut ChaCha8Rng, at_s: f64, number: u64) -> Arrival {
        let pipeline = choose(&self.scenario.pipelines, rng);
        let load = &self.scenario.pipelines[pipeline];
        let organisation = &self.scenario.organisations[self.organisation].name;
        let prefix = rng.random_range(0..load.prefixes.max(1));
        let start = format!("{prefix} {organisation} {}", load.name);
        let marker = format!("{}-{}-{number}", self.run_id, self.organisation);
        let input = json!({
            PROMPT: format!("{start:.<PREFIX_CHARS$} {number}"),
            MARKER: marker,
        });
        Arrival {
            at_us: (at_s * 1e6) as u64,
            organisation: self.organisation,
            pipeline,
            marker,
            input,
            is_resend: false,
        }
    }
}

fn resend(arrival: &Arrival, after: Millis) -> Arrival {
    Arrival {
        at_us: arrival.at_us + after.0 * 1_000,
        is_resend: true,
        ..arrival.clone()
    }
}

fn choose(pipelines: &[PipelineLoad], rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = pipelines.iter().map(|pipeline| pipeline.weight).sum();
    let mut left = rng.random::<f64>() * total;
    for (position, pipeline) in pipelines.iter().enumerate() {
        left -= pipeline.weight;
        if left < 0.0 {
            return position;
        }
    }
    pipelines.len() - 1
}
