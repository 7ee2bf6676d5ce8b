//! JSON payloads of the target interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use arbutus_coord::Millis;

/// The body of a call of one stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallBody {
    /// The caller's JSON, or the previous stage's output.
    pub input: Value,
}

/// The answer of a stage call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResponse {
    /// The stage's output.
    pub output: Value,
}

/// The body of a request for a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateBody {
    /// The previous stage's output.
    pub input: Value,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// The offset of the first token to send; earlier tokens are not repeated.
    #[serde(default)]
    pub resume_at: u32,
}

/// The data of a `token` event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The position of the token in the whole answer, starting at 0.
    pub offset: u32,
    /// The token's text.
    pub text: String,
}

/// The data of a `done` event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneEvent {
    /// The number of tokens in the whole answer.
    pub tokens: u32,
}

/// A target's report of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// A value that changes each time the target starts.
    pub boot_id: u64,
    /// Whether the target has finished its cold start.
    pub warm: bool,
    /// The number of calls that a warm target can run at once.
    pub capacity: u32,
    /// The number of calls that a cold target can run at once.
    pub cold_capacity: u32,
    /// The number of calls that run.
    pub in_flight: u32,
    /// The number of calls that wait.
    pub queued: u32,
    /// The age of the figures.
    pub age_ms: Millis,
    /// The models that are loaded.
    #[serde(default)]
    pub models: Vec<String>,
}

/// The body of an order to a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fencing token of the order giver's lease.
    pub fencing_token: u64,
    /// The wanted state.
    pub order: Order,
}

/// The wanted state of a target; repeating an order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// The model is loaded.
    LoadModel {
        /// The model's name.
        model: String,
        /// The model's version.
        version: u64,
    },
    /// The target has the role.
    SetRole {
        /// The role's name.
        role: String,
    },
}

/// The body of a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelBody {
    /// The identifier of the request.
    pub request_id: String,
    /// The identifier of the attempt.
    pub attempt_id: String,
}
