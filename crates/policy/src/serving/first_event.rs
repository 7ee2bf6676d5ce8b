//! Forecast of the time from the end of the stages of a request to the first event of its stream.
//!
//! Services differ in the time that they need for a prompt, and in how much of it they have cached.
//! The forecast is a line over the number of prompt tokens, fitted to recent requests by least
//! squares; it begins with the figures of a slow service.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// Time that a service without observations needs in addition to the prompt.
const INITIAL_BASE_MS: f64 = 200.0;
/// Time per prompt token of a service without observations.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 48.0;
/// Numbers of tokens for which a service without observations has its initial figures, and the
/// weight of each in observations.
const INITIAL_TOKENS: [f64; 2] = [0.0, 16_000.0];
const INITIAL_WEIGHT: f64 = 3.0;
/// Factor by which the weight of an observation decreases with each later one.
const DECAY: f64 = 0.98;
/// Longest time that counts, so that a single stalled target does not govern the forecast.
const MAX_OBSERVED_MS: f64 = 2_000.0;

/// Decaying sums over observations of tokens `x` and times `y`.
#[derive(Debug)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    fn new() -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for tokens in INITIAL_TOKENS {
            let time_ms = INITIAL_BASE_MS + tokens * INITIAL_MS_PER_TOKEN;
            line.add(tokens, time_ms, INITIAL_WEIGHT);
        }
        line
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
    }

    /// Returns the slope of the line, which is not negative.
    fn slope(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread > f64::EPSILON {
            ((self.weight * self.xy - self.x * self.y) / spread).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the value of the line.
    fn value_at(&self, x: f64) -> f64 {
        let mean_x = self.x / self.weight;
        let mean_y = self.y / self.weight;
        (mean_y + self.slope() * (x - mean_x)).max(0.0)
    }
}

/// The forecasts for all services, from the requests of one instance.
#[derive(Debug, Default)]
pub struct FirstEventForecast {
    lines: BTreeMap<String, Line>,
}

impl FirstEventForecast {
    /// Records how long a request took from the end of its stages to its first event.
    pub fn record(&mut self, service: &str, prompt_tokens: u64, elapsed_ms: Millis) {
        let line = self.lines.entry(service.to_owned());
        let line = line.or_insert_with(Line::new);
        line.decay();
        let time_ms = (elapsed_ms.0 as f64).min(MAX_OBSERVED_MS);
        line.add(prompt_tokens as f64, time_ms, 1.0);
    }

    /// Returns the expected time from the end of the stages to the first event.
    #[must_use]
    pub fn expected_ms(&self, service: &str, prompt_tokens: u64) -> Millis {
        let tokens = prompt_tokens as f64;
        let expected_ms = match self.lines.get(service) {
            Some(line) => line.value_at(tokens),
            None => Line::new().value_at(tokens),
        };
        Millis(expected_ms as u64)
    }

    /// Returns the time per prompt token, and the time that does not depend on the prompt.
    #[must_use]
    pub fn coefficients_ms(&self, service: &str) -> (f64, f64) {
        let coefficients = |line: &Line| (line.slope(), line.value_at(0.0));
        match self.lines.get(service) {
            Some(line) => coefficients(line),
            None => coefficients(&Line::new()),
        }
    }
}
