//! Retry budget and delay.
//!
//! Retries are paid from a bucket that successful calls fill with a percentage of a retry each,
//! so an outage cannot multiply the load. A small floor refills by time, so that an instance with
//! little traffic can retry at all. The delay doubles with each attempt, has jitter, and a retry
//! that could not finish before the deadline is refused.

use std::error::Error;

use displaydoc::Display;

use arbutus_coord::Millis;

/// The cost of one retry in the unit of the bucket.
const RETRY_COST: u64 = 100_000;
/// What each percent of the budget adds for a successful call.
const PERCENT: u64 = RETRY_COST / 100;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Settings of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// The retries that are allowed for each 100 successful calls.
    pub budget_percent: u32,
    /// The retries per second that are allowed without any success.
    pub min_retries_per_s: u32,
    /// The largest number of retries that can be saved up.
    pub bucket_capacity: u32,
    /// The largest number of attempts of one stage.
    pub max_attempts: u32,
    /// The delay before the first retry, without jitter.
    pub base_delay_ms: Millis,
    /// The largest delay.
    pub max_delay_ms: Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            min_retries_per_s: 1,
            bucket_capacity: 20,
            max_attempts: 3,
            base_delay_ms: Millis(10),
            max_delay_ms: Millis(1_000),
        }
    }
}

/// Why a call is not repeated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryRefusal {
    /// the largest number of attempts is reached
    AttemptsExhausted,
    /// the retry would not finish before the deadline
    DeadlineTooClose,
    /// the retry budget is used up
    BudgetExhausted,
}

impl Error for RetryRefusal {}

/// A retry that the caller wants to make.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// The attempts that were made, at least 1.
    pub attempts: u32,
    /// The deadline of the request.
    pub deadline: Millis,
    /// How long the call is expected to take.
    pub expected_ms: Millis,
    /// A uniformly distributed random number.
    pub random: u64,
}

/// The retry budget of one service at one instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    saved: u64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget that holds one second's floor.
    #[must_use]
    pub fn new(now: Millis, settings: RetrySettings) -> Self {
        Self {
            settings,
            saved: u64::from(settings.min_retries_per_s) * RETRY_COST,
            refilled_at: now,
        }
    }

    /// Counts a successful call.
    pub fn record_success(&mut self) {
        self.add(u64::from(self.settings.budget_percent) * PERCENT);
    }

    /// Returns the delay before a retry and takes the retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be repeated; the budget is then unchanged.
    pub fn try_retry(
        &mut self,
        now: Millis,
        request: RetryRequest,
    ) -> Result<Millis, RetryRefusal> {
        if request.attempts >= self.settings.max_attempts {
            return Err(RetryRefusal::AttemptsExhausted);
        }
        let delay = self.delay(request.attempts, request.random);
        if now + delay + request.expected_ms >= request.deadline {
            return Err(RetryRefusal::DeadlineTooClose);
        }
        self.refill(now);
        if self.saved < RETRY_COST {
            return Err(RetryRefusal::BudgetExhausted);
        }
        self.saved -= RETRY_COST;
        Ok(delay)
    }

    /// Returns a delay between half and the whole of the doubled base delay.
    fn delay(&self, attempts: u32, random: u64) -> Millis {
        let factor = 1_u64
            .checked_shl(attempts.saturating_sub(1))
            .unwrap_or(u64::MAX);
        let whole = self
            .settings
            .base_delay_ms
            .times(factor)
            .min(self.settings.max_delay_ms);
        let half = whole.0 / 2;
        Millis(whole.0 - random % (half + 1))
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = now;
        let floor = u64::from(self.settings.min_retries_per_s);
        let gained = elapsed
            .0
            .saturating_mul(floor * RETRY_COST / MILLIS_PER_SECOND);
        // Time refills only up to the floor; more than that has to come from successes.
        let room = (floor * RETRY_COST).saturating_sub(self.saved);
        self.add(gained.min(room));
    }

    fn add(&mut self, amount: u64) {
        let max = u64::from(self.settings.bucket_capacity) * RETRY_COST;
        self.saved = self.saved.saturating_add(amount).min(max);
    }
}
