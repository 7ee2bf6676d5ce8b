//! Faults that tests inject into a stand-in target with `POST /faults`.

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

/// Faults in effect at a target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetFaults {
    /// Factor on all durations of the target.
    pub slow_factor: f64,
    /// Fraction of the calls, 0 to 1, that fail with status 500 without being executed.
    pub fail_share: f64,
    /// Number of tokens after which a stream stalls; `None` means never.
    pub stall_after_tokens: Option<u32>,
    /// Number of tokens after which a stream ends without the event `done`; `None` means never.
    pub truncate_after_tokens: Option<u32>,
    /// Whether the connection is closed without a response after a call has been executed.
    pub drop_after_execution: bool,
    /// Whether responses carry wrong request, stage and attempt identifiers.
    pub wrong_echo: bool,
    /// Whether the target registers itself as leaving.
    pub leaving: bool,
    /// The target crashes before it executes a call whose input contains this text; `None` means
    /// never.
    pub crash_on: Option<String>,
    /// Age of the load figures in load reports.
    pub load_lag_ms: Millis,
}

impl TargetFaults {
    /// Creates a state without faults.
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

    /// Applies an update.
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
        if let Some(text) = update.crash_on {
            self.crash_on = (!text.is_empty()).then_some(text);
        }
    }
}

/// Body of `POST /faults`; absent fields keep their value.
///
/// The faults `stall_after_tokens` and `truncate_after_tokens` can only be removed by `reset`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaultsUpdate {
    /// Whether to remove all faults except `load_lag_ms` before the other fields are applied.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// Whether the target becomes cold now.
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
    /// See [`TargetFaults::crash_on`]; an empty text removes the fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_on: Option<String>,
    /// See [`TargetFaults::load_lag_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_lag_ms: Option<Millis>,
}
