//! Retry budget and backoff.
//!
//! A retry takes its cost from a token bucket. Each successful call adds a fraction of the cost, so
//! retries cannot multiply the load during an outage. A low minimum rate also refills the bucket
//! over time, so that an instance with little traffic can retry at all. The delay before a retry
//! doubles with each attempt and has jitter. A retry that could not finish before the deadline is
//! refused.

use std::error::Error;

use displaydoc::Display;

use arbutus_coord::Millis;

/// The cost of one retry, in units of the token bucket. One percent of it and the minimum rate per
/// millisecond are whole numbers of units.
const RETRY_COST: u64 = 100_000;
/// One percent of the cost of a retry, in units of the token bucket.
const ONE_PERCENT: u64 = RETRY_COST / 100;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Settings of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// The number of retries that are allowed for each 100 successful calls.
    pub budget_percent: u32,
    /// The number of retries per second that are allowed without any successful call.
    pub min_retries_per_s: u32,
    /// The capacity of the token bucket, in retries.
    pub bucket_capacity: u32,
    /// The maximum number of attempts of one stage, including the first one.
    pub max_attempts: u32,
    /// The delay before the first retry, without jitter.
    pub base_delay_ms: Millis,
    /// The maximum delay before a retry.
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

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryRefusal {
    /// the maximum number of attempts has been made
    AttemptsExhausted,
    /// the retry would not finish before the deadline
    DeadlineTooClose,
    /// the retry budget is exhausted
    BudgetExhausted,
}

impl Error for RetryRefusal {}

/// The parameters of an intended retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// The number of attempts made so far, at least 1.
    pub attempts: u32,
    /// The deadline of the request, on the clock of this instance.
    pub deadline: Millis,
    /// How long the call is expected to take.
    pub expected_ms: Millis,
    /// A uniformly distributed random number, from which the jitter is computed.
    pub random: u64,
}

/// The retry budget for calls from this instance to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    bucket_level: u64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget with the retries that the minimum rate allows in one second.
    #[must_use]
    pub fn new(now: Millis, settings: RetrySettings) -> Self {
        Self {
            settings,
            bucket_level: u64::from(settings.min_retries_per_s) * RETRY_COST,
            refilled_at: now,
        }
    }

    /// Adds `budget_percent` of the cost of a retry to the budget, for a successful call.
    pub fn record_success(&mut self) {
        self.add(u64::from(self.settings.budget_percent) * ONE_PERCENT);
    }

    /// Returns the delay before a retry and takes the cost of the retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be retried; the budget is then unchanged.
    pub fn try_retry(
        &mut self,
        now: Millis,
        request: RetryRequest,
    ) -> Result<Millis, RetryRefusal> {
        if request.attempts >= self.settings.max_attempts {
            return Err(RetryRefusal::AttemptsExhausted);
        }
        let delay = self.jittered_delay(request.attempts, request.random);
        if now + delay + request.expected_ms >= request.deadline {
            return Err(RetryRefusal::DeadlineTooClose);
        }
        self.refill(now);
        if self.bucket_level < RETRY_COST {
            return Err(RetryRefusal::BudgetExhausted);
        }
        self.bucket_level -= RETRY_COST;
        Ok(delay)
    }

    /// Returns a random delay between half of the exponential backoff and the whole backoff.
    fn jittered_delay(&self, attempts: u32, random: u64) -> Millis {
        let factor = 1_u64
            .checked_shl(attempts.saturating_sub(1))
            .unwrap_or(u64::MAX);
        let backoff = self
            .settings
            .base_delay_ms
            .times(factor)
            .min(self.settings.max_delay_ms);
        let half = backoff.0 / 2;
        Millis(backoff.0 - random % (half + 1))
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = now;
        let min_rate = u64::from(self.settings.min_retries_per_s);
        let gained = elapsed
            .0
            .saturating_mul(min_rate * RETRY_COST / MILLIS_PER_SECOND);
        // Elapsed time fills the bucket at most to the number of retries that the minimum rate
        // allows in one second; only successful calls fill it further.
        let max_gained = (min_rate * RETRY_COST).saturating_sub(self.bucket_level);
        self.add(gained.min(max_gained));
    }

    fn add(&mut self, amount: u64) {
        let capacity = u64::from(self.settings.bucket_capacity) * RETRY_COST;
        self.bucket_level = self.bucket_level.saturating_add(amount).min(capacity);
    }
}
