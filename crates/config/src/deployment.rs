//! The deployment configuration of a site, after its overlay has been merged into the base.
//!
//! The structs define the default of each optional field. [`crate::schema`] defines the ranges.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;

/// The deployment configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The sites that may have an overlay. If empty, any site may have one.
    #[serde(default)]
    pub sites: Vec<String>,
    /// The services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// The pipelines by name.
    pub pipelines: BTreeMap<String, PipelineSpec>,
    /// The classes of pipelines by name.
    pub classes: BTreeMap<String, ClassSpec>,
    /// The organisations by name.
    pub organisations: BTreeMap<String, OrganisationSpec>,
    /// The limits on requests in progress.
    #[serde(default)]
    pub limits: LimitsSpec,
    /// The policies for load balancing, retries and admission.
    #[serde(default)]
    pub policy: PolicySpec,
    /// The handling of non-idempotent requests.
    #[serde(default)]
    pub claims: ClaimsSpec,
}

/// What the targets (back ends) of a service do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which generate a stream of tokens.
    Engine,
    /// Encoders, which have no side effects.
    Encoder,
    /// Retrievers, which have no side effects.
    Retriever,
    /// Rerankers, which have no side effects.
    Reranker,
    /// Services without a model. Only these may have side effects.
    Plain,
}

/// A service, which is a set of interchangeable targets (back ends).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kind of the service.
    pub kind: ServiceKind,
    /// Whether the targets execute requests with the same idempotency key only once.
    #[serde(default)]
    pub deduplicates: bool,
    /// Whether the targets reject an order, which tells them to load a model, if its fencing token
    /// is outdated. Instances send the token with every order, whatever the value of this field.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The model that the targets have to load; `None` if none is configured.
    #[serde(default)]
    pub model: Option<ModelSpec>,
}

/// The model of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: String,
    /// The version of the model.
    pub version: u64,
}

/// A sequence of stages that together process a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// The name of the class of the pipeline.
    pub class: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// The deadline of a request that does not set one.
    pub deadline_ms: Millis,
    /// The stages in the order of their execution.
    pub stages: Vec<StageSpec>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageSpec {
    /// The name of the stage, unique within the pipeline.
    pub name: String,
    /// The name of the service that executes the stage.
    pub service: String,
    /// The maximum number of tokens that an engine generates. Other kinds of service ignore it.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

/// A class, which is a group of pipelines with the same priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The time without data after which a stream counts as stalled and is resumed on another
    /// engine.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: Millis,
    /// Whether idempotent calls of plain services are hedged, that is, sent to a second target
    /// when the first one is slow.
    #[serde(default)]
    pub hedge: bool,
}

/// An organisation, which is a customer on whose behalf clients send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// The share of the capacity under contention, relative to the weights of other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Limits on requests in progress for the whole deployment, organisations, classes and pipelines.
///
/// A limit applies to the sum over all instances. Each instance enforces its share of the limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSpec {
    /// The limit for the whole deployment; `None` means no limit.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
    /// Limits for organisations. The first entry that matches an organisation applies to it.
    #[serde(default)]
    pub organisations: Vec<LimitEntry>,
}

/// A limit for each of the named organisations, classes or pipelines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitEntry {
    /// The names, or `*` alone for all names without an earlier entry.
    pub names: Vec<String>,
    /// The limit, which applies to each name separately.
    pub max_in_flight: u32,
    /// In the limit of an organisation: limits for classes. In the limit of a class: limits for
    /// pipelines.
    #[serde(default)]
    pub within: Vec<LimitEntry>,
}

/// How the load balancer selects a target.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum BalancingStrategy {
    /// Selects the target with the lowest load relative to its capacity.
    #[default]
    LeastLoaded,
    /// Selects the targets in turn. Serves as the baseline when other strategies are measured.
    RoundRobin,
}

/// Policies for load balancing, retries and admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each policy has its own switch"
)]
pub struct PolicySpec {
    /// How the load balancer selects a target.
    pub choice: BalancingStrategy,
    /// Whether a request that cannot meet its deadline is rejected immediately.
    pub admission: bool,
    /// Whether the load on a cold target, which has started recently, is limited to its slow-start
    /// window.
    pub slow_start: bool,
    /// Whether each stage gets a share of the remaining deadline as its budget.
    pub stage_budgets: bool,
    /// Whether requests with a common prompt prefix are preferably sent to the same engine.
    pub prefix_affinity: bool,
    /// The number of retries that are allowed per 100 successful calls.
    pub retry_budget_percent: u32,
    /// The maximum number of attempts of a stage.
    pub max_attempts: u32,
    /// The maximum number of targets of a service that an instance uses.
    pub subset_size: u32,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self {
            choice: BalancingStrategy::LeastLoaded,
            admission: true,
            slow_start: true,
            stage_budgets: true,
            prefix_affinity: true,
            retry_budget_percent: DEFAULT_RETRY_BUDGET_PERCENT,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            subset_size: DEFAULT_SUBSET_SIZE,
        }
    }
}

/// The handling of non-idempotent requests.
///
/// A claim is the record of such a request. It is stored before the request is dispatched to a
/// target, and settled when the outcome is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimsSpec {
    /// The number of shards over which claims are distributed. Each shard is one platform object.
    pub shards: u32,
    /// How long the writer of a shard collects changes of claims before it writes them together.
    pub group_commit_ms: Millis,
    /// How long a request may still be dispatched after its claim was proposed.
    pub dispatch_window_ms: Millis,
    /// How long a claim is kept after it is settled.
    pub retention_ms: Millis,
}

impl Default for ClaimsSpec {
    fn default() -> Self {
        Self {
            shards: DEFAULT_CLAIM_SHARDS,
            group_commit_ms: DEFAULT_GROUP_COMMIT_MS,
            dispatch_window_ms: DEFAULT_DISPATCH_WINDOW_MS,
            retention_ms: DEFAULT_RETENTION_MS,
        }
    }
}

const DEFAULT_RETRY_BUDGET_PERCENT: u32 = 10;
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
const DEFAULT_SUBSET_SIZE: u32 = 8;
const DEFAULT_CLAIM_SHARDS: u32 = 16;
const DEFAULT_GROUP_COMMIT_MS: Millis = Millis(5);
const DEFAULT_DISPATCH_WINDOW_MS: Millis = Millis(2_000);
const DEFAULT_RETENTION_MS: Millis = Millis(24 * 60 * 60 * 1_000);

fn default_max_tokens() -> u32 {
    64
}

fn default_stall_ms() -> Millis {
    Millis(2_000)
}

fn default_weight() -> u32 {
    1
}
