//! Scenarios: which requests clients send, at which rate, and which events happen during a run.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::loadgen::deployment::FleetLayout;
use crate::loadgen::event::TimedEvent;
use arbutus_config::Deployment;
use arbutus_config::committed::read_sources;
use arbutus_config::deployment::ClassSpec;
use arbutus_coord::Millis;

/// Largest number of requests of a run, without client retries.
pub const MAX_REQUESTS: f64 = 500_000.0;

const KAMAGAMA: &str = include_str!("../../scenarios/kamagama.yaml");
const RUSTWELL: &str = include_str!("../../scenarios/rustwell.yaml");

/// Why a scenario cannot be loaded.
#[derive(Debug, displaydoc::Display)]
pub enum ScenarioError {
    /// {0}: cannot read the file: {1}
    Read(String, io::Error),
    /// {0}: {1}
    Parse(String, serde_norway::Error),
    /// {0}: {1}
    Invalid(String, String),
}

impl Error for ScenarioError {}

/// Load and events of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Time during which requests are sent, in seconds.
    pub duration_s: f64,
    /// Time at the start of the run whose requests the report omits, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Mean number of requests per second outside bursts, over all organisations.
    pub rate_per_s: f64,
    /// What the clients of each class expect, by the name of the class.
    pub classes: BTreeMap<String, ClassExpectation>,
    /// Organisations that send requests.
    pub organisations: Vec<OrganisationLoad>,
    /// Pipelines that are called.
    pub pipelines: Vec<PipelineLoad>,
    /// Periods of higher or lower load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Faults and other actions during the run.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
    /// Processes of a deployment that is started for the run.
    #[serde(default)]
    pub fleet: FleetLayout,
}

/// What the clients of a class expect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassExpectation {
    /// A longer time between two tokens of a stream counts as a stall.
    pub stall_ms: Millis,
}

/// Load of one organisation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// Name of the organisation.
    pub name: String,
    /// Share of the requests, relative to the weights of the other organisations.
    pub weight: f64,
}

/// How a pipeline is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The response is a stream of tokens.
    Stream,
    /// The response is JSON; the request is idempotent.
    Lookup,
    /// The response is JSON; the request is not idempotent and has an idempotency key.
    Booking,
}

/// Load of one pipeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineLoad {
    /// Name of the pipeline.
    pub name: String,
    /// Name of its class.
    pub class: String,
    /// Share of the requests, relative to the weights of the other pipelines.
    pub weight: f64,
    /// How the pipeline is called.
    pub kind: CallKind,
    /// Deadline of each request.
    pub deadline_ms: Millis,
    /// Values of `max_tokens` of the last stage, which can differ between failure domains.
    ///
    /// The load generator computes an expected text for each value, and accepts a response with any
    /// of these texts.
    #[serde(default)]
    pub max_tokens: Vec<u32>,
    /// Number of different prompt prefixes for each organisation.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// Share of the bookings that the client sends a second time with the same idempotency key,
    /// from 0 to 1. The load balancer usually selects another instance for the second request.
    #[serde(default)]
    pub resend_share: f64,
    /// Time between the first and the second request.
    #[serde(default = "default_resend_after_ms")]
    pub resend_after_ms: Millis,
}

/// A period of higher or lower load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds after the start of the run.
    pub from_s: f64,
    /// End, in seconds after the start of the run.
    pub to_s: f64,
    /// Organisation that the burst affects; `None` means all.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Factor by which the request rate is multiplied; at least 0.
    pub factor: f64,
}

fn default_prefixes() -> u32 {
    1
}

fn default_resend_after_ms() -> Millis {
    Millis(30)
}

impl PipelineLoad {
    /// Copies the class, the deadline and `max_tokens` from the configuration of a failure domain.
    ///
    /// Returns the class.
    fn apply_configuration<'a>(
        &mut self,
        deployment: &'a Deployment,
    ) -> Result<&'a ClassSpec, String> {
        let Some(spec) = deployment.pipelines.get(&self.name) else {
            return Err(format!("the configuration has no pipeline {}", self.name));
        };
        let class = deployment.classes.get(&spec.class);
        let class =
            class.ok_or_else(|| format!("the configuration has no class {}", spec.class))?;
        self.class.clone_from(&spec.class);
        self.deadline_ms = spec.deadline_ms;
        if let Some(last_stage) = spec.stages.last()
            && !self.max_tokens.contains(&last_stage.max_tokens)
        {
            self.max_tokens.push(last_stage.max_tokens);
        }
        Ok(class)
    }
}

impl Scenario {
    /// Loads the built-in scenario with this name; any other name is the path of a YAML or JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the scenario is invalid.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        let text = match name {
            "kamagama" => KAMAGAMA.to_owned(),
            "rustwell" => RUSTWELL.to_owned(),
            path => fs::read_to_string(Path::new(path))
                .map_err(|error| ScenarioError::Read(name.to_owned(), error))?,
        };
        Self::parse(name, &text)
    }

    /// Parses a scenario in YAML or JSON, which is a subset of YAML.
    ///
    /// Error messages start with `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid scenario.
    pub fn parse(name: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = serde_norway::from_str(text)
            .map_err(|error| ScenarioError::Parse(name.to_owned(), error))?;
        scenario
            .validate()
            .map_err(|detail| ScenarioError::Invalid(name.to_owned(), detail))?;
        Ok(scenario)
    }

    /// Replaces classes, deadlines and `max_tokens` by those of a deployment configuration.
    ///
    /// The values of a pipeline can differ between failure domains, and any failure domain can
    /// execute a request. So the scenario takes the longest stall time of each class and all values
    /// of `max_tokens`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration of a failure domain is invalid or lacks a pipeline or
    /// an organisation of the scenario.
    pub fn apply_configuration(&mut self, directory: &Path) -> Result<(), ScenarioError> {
        let name = directory.display().to_string();
        let invalid = |detail: String| ScenarioError::Invalid(name.clone(), detail);
        let sources = read_sources(directory).map_err(|error| invalid(error.to_string()))?;
        for pipeline in &mut self.pipelines {
            pipeline.max_tokens.clear();
        }
        self.classes.clear();
        // The last iteration determines the deadlines. The order is reversed, so they are those of
        // the first failure domain.
        for failure_domain in self.fleet.failure_domains.iter().rev() {
            let deployment = sources
                .deployment(failure_domain)
                .map_err(|errors| invalid(errors.to_string()))?;
            for organisation in &self.organisations {
                if !deployment.organisations.contains_key(&organisation.name) {
                    return Err(invalid(format!(
                        "the configuration has no organisation {}",
                        organisation.name
                    )));
                }
            }
            for pipeline in &mut self.pipelines {
                let class = pipeline
                    .apply_configuration(&deployment)
                    .map_err(&invalid)?;
                let expectation = self.classes.entry(pipeline.class.clone()).or_default();
                expectation.stall_ms = expectation.stall_ms.max(class.stall_ms);
            }
        }
        Ok(())
    }

    /// Checks the values and references of the scenario and its number of requests.
    ///
    /// # Errors
    ///
    /// Returns a description of the first error.
    pub fn validate(&self) -> Result<(), String> {
        let positive_values = [self.duration_s, self.rate_per_s];
        if !positive_values
            .iter()
            .all(|value| value.is_finite() && *value > 0.0)
        {
            return Err("duration_s and rate_per_s must be positive".to_owned());
        }
        let burst_factors = self.bursts.iter().map(|burst| burst.factor);
        if burst_factors
            .clone()
            .any(|factor| !factor.is_finite() || factor < 0.0)
        {
            return Err("the factor of a burst must be a non-negative number".to_owned());
        }
        let peak_factor = burst_factors.fold(1.0, f64::max);
        if self.duration_s * self.rate_per_s * peak_factor > MAX_REQUESTS {
            return Err(format!(
                "the scenario may exceed the limit of {MAX_REQUESTS} requests"
            ));
        }
        let organisations = self.organisations.iter().map(|each| each.weight);
        let pipelines = self.pipelines.iter().map(|each| each.weight);
        for weight in organisations.chain(pipelines) {
            if !weight.is_finite() || weight <= 0.0 {
                return Err("the weight of an organisation or pipeline must be positive".to_owned());
            }
        }
        if self.organisations.is_empty() || self.pipelines.is_empty() {
            return Err("the scenario needs at least one organisation and one pipeline".to_owned());
        }
        let burst_organisations = self
            .bursts
            .iter()
            .filter_map(|burst| burst.organisation.as_ref());
        for name in burst_organisations {
            if !self.organisations.iter().any(|each| each.name == *name) {
                return Err(format!("bursts: unknown organisation {name}"));
            }
        }
        for pipeline in &self.pipelines {
            if !(0.0..=1.0).contains(&pipeline.resend_share) {
                let name = &pipeline.name;
                return Err(format!(
                    "pipeline {name}: resend_share must be between 0 and 1"
                ));
            }
            if !self.classes.contains_key(&pipeline.class) {
                let (name, class) = (&pipeline.name, &pipeline.class);
                return Err(format!("pipeline {name}: unknown class {class}"));
            }
        }
        Ok(())
    }
}
