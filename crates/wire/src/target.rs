//! JSON payloads of the HTTP interface of targets.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use arbutus_coord::Millis;

/// The request body of a stage call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallBody {
    /// The client's JSON for the first stage, the previous stage's output for the others.
    pub input: Value,
}

/// The response body of a stage call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResponse {
    /// The stage's output.
    pub output: Value,
}

/// The request body of a stage call whose output is a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateBody {
    /// The previous stage's output.
    pub input: Value,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// The offset of the first token to send; earlier tokens are omitted.
    #[serde(default)]
    pub resume_at: u32,
}

/// The data of a `token` event in a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The position of the token in the whole output, starting at 0.
    pub offset: u32,
    /// The token's text.
    pub text: String,
}

/// The data of the `done` event that ends a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneEvent {
    /// The number of tokens in the whole output.
    pub tokens: u32,
}

/// A target's report of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The boot identifier of the target, which differs each time it starts.
    pub boot_id: u64,
    /// Whether the target has finished its cold start.
    pub warm: bool,
    /// The number of calls that the target can execute at the same time when it is warm.
    pub capacity: u32,
    /// The number of calls that the target can execute at the same time during its cold start.
    pub cold_capacity: u32,
    /// The number of calls that the target is executing.
    pub in_flight: u32,
    /// The number of calls that wait at the target.
    pub queued: u32,
    /// The time since the target measured these values.
    pub age_ms: Millis,
    /// The names of the loaded models.
    #[serde(default)]
    pub models: Vec<String>,
}

/// The request body that carries an [`Order`] to a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fencing token of the sender's lease, by which the target rejects orders of earlier lease
    /// holders.
    pub fencing_token: u64,
    /// The desired state.
    pub order: Order,
}

/// A command that tells a target which state to establish. Repeating it has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Load a model unless it is loaded already.
    LoadModel {
        /// The model's name.
        model: String,
        /// The model's version.
        version: u64,
    },
    /// Serve in a role.
    SetRole {
        /// The role's name.
        role: String,
    },
}

/// The request body that cancels a stage call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelBody {
    /// The identifier of the client's request.
    pub request_id: String,
    /// The identifier of the attempt to cancel.
    pub attempt_id: String,
}
