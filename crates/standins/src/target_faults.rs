//! Faults of a target that tests switch on and off.

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// The faults in effect.
#[derive(Clone, Debug, Serialize)]
pub struct TargetFaults {
    /// The factor on all times.
    pub slow_factor: f64,
    /// The share of calls that fail with 500 before they are executed.
    pub fail_share: f64,
    /// The number of tokens after which a stream falls silent.
    pub stall_after_tokens: Option<u32>,
    /// The number of tokens after which a stream ends without `done`.
    pub truncate_after_tokens: Option<u32>,
    /// Whether calls are executed and then get no answer.
    pub drop_after_execution: bool,
    /// Whether answers carry other identifiers.
    pub wrong_echo: bool,
    /// Whether the target is listed as leaving.
    pub leaving: bool,
    /// The text in an input on which the target crashes at once.
    pub crash_on: Option<String>,
    /// The lag of the load report.
    pub load_lag_ms: Millis,
}

impl TargetFaults {
    /// Creates the state without faults.
    #[must_use]
    pub fn new(load_lag_ms: Millis) -> Self {
        Self {
            slow_factor: 1.0,
            fail_share: 0.0,
            stall_after_tokens: None,
            truncate_after_tokens: None,
            drop_after_execution: false,
            wrong_echo: false,
            leaving: false,
            crash_on: None,
            load_lag_ms,
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, update: TargetFaultsUpdate) {
        if update.reset {
            *self = Self::new(self.load_lag_ms);
        }
        self.slow_factor = update.slow_factor.unwrap_or(self.slow_factor);
        self.fail_share = update.fail_share.unwrap_or(self.fail_share);
        self.stall_after_tokens = update.stall_after_tokens.or(self.stall_after_tokens);
        self.truncate_after_tokens = update.truncate_after_tokens.or(self.truncate_after_tokens);
        self.drop_after_execution = update
            .drop_after_execution
            .unwrap_or(self.drop_after_execution);
        self.wrong_echo = update.wrong_echo.unwrap_or(self.wrong_echo);
        self.leaving = update.leaving.unwrap_or(self.leaving);
        self.load_lag_ms = update.load_lag_ms.unwrap_or(self.load_lag_ms);
        if let Some(marker) = update.crash_on {
            self.crash_on = (!marker.is_empty()).then_some(marker);
        }
    }
}

/// A change of the faults; absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaultsUpdate {
    /// Whether all faults but the lag are switched off before the other fields are applied.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// Whether the target becomes cold once, now.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub turn_cold: bool,
    /// See [`TargetFaults::slow_factor`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// See [`TargetFaults::fail_share`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail_share: Option<f64>,
    /// See [`TargetFaults::stall_after_tokens`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall_after_tokens: Option<u32>,
    /// See [`TargetFaults::truncate_after_tokens`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_after_tokens: Option<u32>,
    /// See [`TargetFaults::drop_after_execution`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_after_execution: Option<bool>,
    /// See [`TargetFaults::wrong_echo`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wrong_echo: Option<bool>,
    /// See [`TargetFaults::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// See [`TargetFaults::crash_on`]; an empty text switches it off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_on: Option<String>,
    /// See [`TargetFaults::load_lag_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_lag_ms: Option<Millis>,
}
