//! Faults of the platform that tests switch on and off.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

const FAULT_SEED: u64 = 0x6661_756c;
/// The part of a second's allowance that may be used at once.
const BURST_SECONDS: f64 = 0.2;

/// Whether the platform answers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It answers each call with 503.
    Unavailable,
    /// It closes connections without an answer.
    Closed,
}

/// The faults in effect.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformFaults {
    /// Whether the platform answers at all.
    pub outage: Outage,
    /// The delay before each call.
    pub slow_ms: Millis,
    /// The share of writes whose answer is dropped after they took effect.
    pub lose_answers: f64,
    /// The share of reads that are answered with the state before the last write.
    pub stale_reads: f64,
    /// The lag of the instance list.
    pub list_lag_ms: Millis,
    /// The writes that are allowed for each second.
    pub writes_per_s: Option<u32>,
    /// The reads that are allowed for each second.
    pub reads_per_s: Option<u32>,
    /// The failure domains whose calls are refused.
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

/// A change of the faults; absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaultsUpdate {
    /// Whether all faults are switched off before the other fields are applied.
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
    /// Applies a change.
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

    /// Decides whether the answer of the next write is dropped.
    pub fn should_drop_response(&mut self) -> bool {
        self.lose_answers > 0.0 && self.rng.random::<f64>() < self.lose_answers
    }

    /// Decides whether the next read is answered with older data.
    pub fn should_serve_stale_read(&mut self) -> bool {
        self.stale_reads > 0.0 && self.rng.random::<f64>() < self.stale_reads
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: Millis,
}

impl RateLimiter {
    /// Returns whether one more call is allowed now; `None` sets no limit.
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
