//! Quantiles and mean of recent latencies.
//!
//! The samples are in two histograms, one for the current and one for the previous time window.
//! Old samples are dropped with their whole window, so the memory use is constant. They are dropped
//! only when a new sample is recorded.

use hdrhistogram::Histogram;

use arbutus_coord::Millis;

const LOWEST_MS: u64 = 1;
/// Higher latencies are recorded as this one.
const HIGHEST_MS: u64 = 600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// The latencies of the current and the previous time window.
#[derive(Clone, Debug)]
pub struct RecentLatency {
    window_ms: Millis,
    window_start: Millis,
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RecentLatency {
    /// Creates empty histograms for windows of `window_ms`; a sample is dropped about one to two
    /// windows after it was recorded.
    ///
    /// # Panics
    ///
    /// Does not panic, because the histogram accepts the constant bounds.
    #[must_use]
    pub fn new(window_ms: Millis) -> Self {
        let empty = Histogram::new_with_bounds(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds should be valid");
        Self {
            window_ms,
            window_start: Millis::ZERO,
            current: empty.clone(),
            previous: empty,
        }
    }

    /// Records a latency at the time `now`.
    pub fn record(&mut self, now: Millis, latency_ms: Millis) {
        self.rotate(now);
        self.current.saturating_record(latency_ms.0.max(LOWEST_MS));
    }

    /// Returns the number of samples in both windows.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// Returns a quantile, from 0 to 1, of the recent latencies, or `None` without samples.
    ///
    /// It is computed over the window with more samples, because the current window has few at its
    /// start.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<Millis> {
        let histogram = if self.current.len() > self.previous.len() {
            &self.current
        } else {
            &self.previous
        };
        (!histogram.is_empty()).then(|| Millis(histogram.value_at_quantile(quantile)))
    }

    /// Returns the mean of the recent latencies, or `None` without samples.
    #[must_use]
    pub fn mean(&self) -> Option<Millis> {
        let count = self.count();
        if count == 0 {
            return None;
        }
        let sum = self.current.mean() * self.current.len() as f64
            + self.previous.mean() * self.previous.len() as f64;
        Some(Millis((sum / count as f64).round() as u64))
    }

    fn rotate(&mut self, now: Millis) {
        let age = now - self.window_start;
        if age < self.window_ms {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= self.window_ms.times(2) {
            self.previous.reset();
        }
        self.window_start = now;
    }
}
