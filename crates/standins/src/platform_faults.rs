//! Faults that tests inject into the stand-in for the platform with `POST /faults`.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

const FAULT_SEED: u64 = 0x6661_756c;
/// A rate limit allows a burst of as many calls as its rate permits in this time, but at least one.
const BURST_SECONDS: f64 = 0.2;

/// Whether the platform responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It responds.
    #[default]
    None,
    /// It responds to each call with status 503.
    Unavailable,
    /// It closes connections without a response.
    Closed,
}

/// Faults in effect at the platform.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformFaults {
    /// Whether the platform responds to calls.
    pub outage: Outage,
    /// Delay before each call is handled.
    pub slow_ms: Millis,
    /// Fraction of the writes, 0 to 1, whose response is dropped after they took effect.
    pub lose_answers: f64,
    /// Fraction of the reads, 0 to 1, that return objects as they were before their last write.
    pub stale_reads: f64,
    /// Age of the instance list that is served.
    pub list_lag_ms: Millis,
    /// Limit on writes per second; `None` means no limit.
    pub writes_per_s: Option<u32>,
    /// Limit on reads per second; `None` means no limit.
    pub reads_per_s: Option<u32>,
    /// Failure domains whose connections are closed without a response.
    pub block_from: Vec<String>,
    #[serde(skip)]
    rng: ChaCha8Rng,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            outage: Outage::None,
            slow_ms: Millis::ZERO,
            lose_answers: 0.0,
            stale_reads: 0.0,
            list_lag_ms: Millis::ZERO,
            writes_per_s: None,
            reads_per_s: None,
            block_from: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(FAULT_SEED),
        }
    }
}

/// Body of `POST /faults`; absent fields keep their value.
///
/// A limit that was set can only be removed by `reset`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaultsUpdate {
    /// Whether to remove all faults before the other fields are applied.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// See [`PlatformFaults::outage`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<Outage>,
    /// See [`PlatformFaults::slow_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<Millis>,
    /// See [`PlatformFaults::lose_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<f64>,
    /// See [`PlatformFaults::stale_reads`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale_reads: Option<f64>,
    /// See [`PlatformFaults::list_lag_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_lag_ms: Option<Millis>,
    /// See [`PlatformFaults::writes_per_s`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub writes_per_s: Option<u32>,
    /// See [`PlatformFaults::reads_per_s`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reads_per_s: Option<u32>,
    /// See [`PlatformFaults::block_from`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub block_from: Option<Vec<String>>,
}

impl PlatformFaults {
    /// Applies an update.
    pub fn apply(&mut self, update: PlatformFaultsUpdate) {
        if update.reset {
            *self = Self::default();
        }
        self.outage = update.outage.unwrap_or(self.outage);
        self.slow_ms = update.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = update.lose_answers.unwrap_or(self.lose_answers);
        self.stale_reads = update.stale_reads.unwrap_or(self.stale_reads);
        self.list_lag_ms = update.list_lag_ms.unwrap_or(self.list_lag_ms);
        self.writes_per_s = update.writes_per_s.or(self.writes_per_s);
        self.reads_per_s = update.reads_per_s.or(self.reads_per_s);
        if let Some(domains) = update.block_from {
            self.block_from = domains;
        }
    }

    /// Decides at random whether to drop the response to the next write.
    pub fn should_drop_response(&mut self) -> bool {
        self.lose_answers > 0.0 && self.rng.random::<f64>() < self.lose_answers
    }

    /// Decides at random whether the next read returns older objects.
    pub fn should_serve_stale_read(&mut self) -> bool {
        self.stale_reads > 0.0 && self.rng.random::<f64>() < self.stale_reads
    }
}

/// A token bucket whose rate can change with every call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: Millis,
}

impl RateLimiter {
    /// Takes one token; returns `false` if the bucket is empty. `None` means no limit.
    pub fn try_acquire(&mut self, now: Millis, per_s: Option<u32>) -> bool {
        let Some(per_s) = per_s else {
            return true;
        };
        let per_s = f64::from(per_s);
        let elapsed_s = (now - self.refilled_at).0 as f64 / 1_000.0;
        let burst = (per_s * BURST_SECONDS).max(1.0);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * per_s).min(burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
