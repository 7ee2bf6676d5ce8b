//! Scenarios: what callers send, how often, and what happens during the run.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::loadgen::deployment::FleetLoad;
use crate::loadgen::event::TimedEvent;
use arbutus_config::Deployment;
use arbutus_config::committed::read_sources;
use arbutus_config::deployment::ClassSpec;
use arbutus_coord::Millis;

/// The largest number of requests of one run.
pub const MAX_REQUESTS: f64 = 500_000.0;

const KAMAGAMA: &str = include_str!("../../scenarios/kamagama.yaml");
const RUSTWELL: &str = include_str!("../../scenarios/rustwell.yaml");

/// Why a scenario cannot be used.
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

/// What callers send during a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name for reports.
    pub name: String,
    /// The time during which requests arrive, in seconds.
    pub duration_s: f64,
    /// The time at the start that the report leaves out, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// The mean number of arrivals for each second, without bursts.
    pub rate_per_s: f64,
    /// The classes by name.
    pub classes: BTreeMap<String, ClassLoad>,
    /// The organisations.
    pub organisations: Vec<OrganisationLoad>,
    /// The pipelines.
    pub pipelines: Vec<PipelineLoad>,
    /// Times of higher or lower load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// What happens during the run.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
    /// The processes of a deployment that is started for the run.
    #[serde(default)]
    pub fleet: FleetLoad,
}

/// What callers of a class expect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// The longest silence within a stream that is not counted as a stall.
    pub stall_ms: Millis,
}

/// The load of one organisation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// The name.
    pub name: String,
    /// The part of the arrivals, relative to other organisations.
    pub weight: f64,
}

/// How a pipeline is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A token stream.
    Stream,
    /// One JSON answer; the request may run more than once.
    Lookup,
    /// One JSON answer; the request has an idempotency key and may run once.
    Booking,
}

/// The load of one pipeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineLoad {
    /// The name.
    pub name: String,
    /// The class.
    pub class: String,
    /// The part of the arrivals, relative to other pipelines.
    pub weight: f64,
    /// How the pipeline is called.
    pub kind: CallKind,
    /// The deadline.
    pub deadline_ms: Millis,
    /// The `max_tokens` of the generating stage at any site, which tell the expected text.
    #[serde(default)]
    pub max_tokens: Vec<u32>,
    /// The number of different prompt prefixes for each organisation.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// The share of bookings that are sent again, with the same key, through another instance.
    #[serde(default)]
    pub resend_share: f64,
    /// How long after the first copy the second one is sent.
    #[serde(default = "default_resend_after_ms")]
    pub resend_after_ms: Millis,
}

/// A time of higher or lower load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The start, in seconds after the start of the run.
    pub from_s: f64,
    /// The end, in seconds after the start of the run.
    pub to_s: f64,
    /// The organisation; all of them if absent.
    #[serde(default)]
    pub organisation: Option<String>,
    /// The factor on the arrival rate.
    pub factor: f64,
}

fn default_prefixes() -> u32 {
    1
}

fn default_resend_after_ms() -> Millis {
    Millis(30)
}

impl PipelineLoad {
    /// Takes the values of one site, and returns the class.
    fn adopt<'a>(&mut self, deployment: &'a Deployment) -> Result<&'a ClassSpec, String> {
        let Some(spec) = deployment.pipelines.get(&self.name) else {
            return Err(format!("no pipeline {}", self.name));
        };
        let class = deployment.classes.get(&spec.class);
        let class = class.ok_or_else(|| format!("no class {}", spec.class))?;
        self.class.clone_from(&spec.class);
        self.deadline_ms = spec.deadline_ms;
        if let Some(last) = spec.stages.last()
            && !self.max_tokens.contains(&last.max_tokens)
        {
            self.max_tokens.push(last.max_tokens);
        }
        Ok(class)
    }
}

impl Scenario {
    /// Loads a built-in scenario by name, or else a file of YAML or JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and what is wrong with it.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        let text = match name {
            "kamagama" => KAMAGAMA.to_owned(),
            "rustwell" => RUSTWELL.to_owned(),
            path => fs::read_to_string(Path::new(path))
                .map_err(|error| ScenarioError::Read(name.to_owned(), error))?,
        };
        Self::parse(name, &text)
    }

    /// Parses a scenario; JSON is valid YAML.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and what is wrong with it.
    pub fn parse(name: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = serde_norway::from_str(text)
            .map_err(|error| ScenarioError::Parse(name.to_owned(), error))?;
        scenario
            .validate()
            .map_err(|detail| ScenarioError::Invalid(name.to_owned(), detail))?;
        Ok(scenario)
    }

    /// Replaces classes, deadlines and `max_tokens` by those of a configuration.
    ///
    /// The same pipeline may have other values at each site, and a request may be run at any of
    /// them, so the longest silence and all values of `max_tokens` are expected.
    ///
    /// # Errors
    ///
    /// Returns an error when a site's configuration is not valid or lacks a pipeline or an
    /// organisation of the scenario.
    pub fn adopt(&mut self, directory: &Path) -> Result<(), ScenarioError> {
        let name = directory.display().to_string();
        let invalid = |detail: String| ScenarioError::Invalid(name.clone(), detail);
        let texts = read_sources(directory).map_err(|error| invalid(error.to_string()))?;
        for pipeline in &mut self.pipelines {
            pipeline.max_tokens.clear();
        }
        self.classes.clear();
        // The last one adopted provides the deadlines, and the first site is the usual one.
        for site in self.fleet.failure_domains.iter().rev() {
            let deployment = texts
                .deployment(site)
                .map_err(|faults| invalid(faults.to_string()))?;
            for organisation in &self.organisations {
                if !deployment.organisations.contains_key(&organisation.name) {
                    return Err(invalid(format!("no organisation {}", organisation.name)));
                }
            }
            for pipeline in &mut self.pipelines {
                let class = pipeline.adopt(&deployment).map_err(&invalid)?;
                let longest = self.classes.entry(pipeline.class.clone()).or_default();
                longest.stall_ms = longest.stall_ms.max(class.stall_ms);
            }
        }
        Ok(())
    }

    /// Checks that the scenario is complete and bounded.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong.
    pub fn validate(&self) -> Result<(), String> {
        let times = [self.duration_s, self.rate_per_s];
        if !times.iter().all(|value| value.is_finite() && *value > 0.0) {
            return Err("duration_s and rate_per_s have to be positive".to_owned());
        }
        let factors = self.bursts.iter().map(|burst| burst.factor);
        if factors
            .clone()
            .any(|factor| !factor.is_finite() || factor < 0.0)
        {
            return Err("the factor of a burst is negative".to_owned());
        }
        let highest = factors.fold(1.0, f64::max);
        if self.duration_s * self.rate_per_s * highest > MAX_REQUESTS {
            return Err(format!("more than {MAX_REQUESTS} requests"));
        }
        let organisations = self.organisations.iter().map(|each| each.weight);
        let pipelines = self.pipelines.iter().map(|each| each.weight);
        for weight in organisations.chain(pipelines) {
            if !weight.is_finite() || weight <= 0.0 {
                return Err("a weight is not positive".to_owned());
            }
        }
        if self.organisations.is_empty() || self.pipelines.is_empty() {
            return Err("there are no organisations or no pipelines".to_owned());
        }
        let named = self
            .bursts
            .iter()
            .filter_map(|burst| burst.organisation.as_ref());
        for name in named {
            if !self.organisations.iter().any(|each| each.name == *name) {
                return Err(format!("bursts: there is no organisation {name}"));
            }
        }
        for pipeline in &self.pipelines {
            if !(0.0..=1.0).contains(&pipeline.resend_share) {
                let name = &pipeline.name;
                return Err(format!(
                    "pipeline {name}: resend_share is not between 0 and 1"
                ));
            }
            if !self.classes.contains_key(&pipeline.class) {
                let (name, class) = (&pipeline.name, &pipeline.class);
                return Err(format!("pipeline {name}: there is no class {class}"));
            }
        }
        Ok(())
    }
}
