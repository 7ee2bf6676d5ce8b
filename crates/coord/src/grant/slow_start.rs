//! Slow start: the number of calls that may run at a target, derived from its reports.
//!
//! A cold target may run as many calls as its cold capacity. Once it reports that it is warm, the
//! window doubles with each report without queued calls until it reaches the full capacity. The
//! window falls back to the cold capacity on a new boot identifier, on a report that the target is
//! cold, when the last report is stale, and when the target is suspected to be cold.

use super::GrantSettings;
use super::TargetReport;
use super::TargetView;
use crate::Millis;

const GROWTH_FACTOR: u32 = 2;

/// The slow-start window of one target.
#[derive(Clone, Debug)]
pub struct SlowStart {
    settings: GrantSettings,
    report: Option<TargetReport>,
    sampled_at: Millis,
    window: u32,
}

impl SlowStart {
    /// Creates the window of a target that has not reported.
    #[must_use]
    pub fn new(settings: GrantSettings) -> Self {
        Self {
            settings,
            report: None,
            sampled_at: Millis::ZERO,
            window: settings.slots_before_first_report,
        }
    }

    /// Switches slow start on or off.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.settings.slow_start = enabled;
    }

    /// Handles a report, and returns `false` if it is older than the last one and ignored.
    pub fn on_report(&mut self, now: Millis, report: TargetReport) -> bool {
        let sampled_at = now - report.age_ms;
        if self.report.is_some() && sampled_at < self.sampled_at {
            return false;
        }
        self.window = self.next_window(now, report);
        self.report = Some(report);
        self.sampled_at = sampled_at;
        true
    }

    /// Reduces the window to the cold capacity. Later reports increase it again.
    pub fn suspect_cold(&mut self) {
        if let Some(report) = self.report {
            self.window = report.cold_capacity;
        }
    }

    /// Returns the number of calls that may run at the target.
    #[must_use]
    pub fn allowed(&self, now: Millis) -> u32 {
        let Some(report) = self.report else {
            return self.settings.slots_before_first_report;
        };
        if !self.settings.slow_start {
            return report.capacity;
        }
        if self.is_stale(now) {
            return report.cold_capacity.min(report.capacity);
        }
        self.window
    }

    /// Returns the number of calls that ran or waited at the target by its last report.
    #[must_use]
    pub fn load(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(0, |report| report.in_flight.saturating_add(report.queued))
    }

    /// Returns the state of the target as replies report it to holders.
    #[must_use]
    pub fn view(&self, now: Millis) -> TargetView {
        TargetView {
            boot_id: self.report.map_or(0, |report| report.boot_id),
            warm: !self.is_stale(now) && self.report.is_some_and(|report| report.warm),
            allowed: self.allowed(now),
            load: self.load(),
        }
    }

    fn is_stale(&self, now: Millis) -> bool {
        self.report.is_none() || now - self.sampled_at > self.settings.stale_after_ms
    }

    fn next_window(&self, now: Millis, report: TargetReport) -> u32 {
        let cold = report.cold_capacity.min(report.capacity);
        if !report.warm || report.age_ms > self.settings.stale_after_ms {
            return cold;
        }
        let load = report.in_flight.saturating_add(report.queued);
        let observed_load = load.clamp(cold, report.capacity);
        let Some(last) = self.report else {
            // The owner is new, but the target may already be busy. It can handle at least the calls
            // that it reports.
            return observed_load;
        };
        if last.boot_id != report.boot_id {
            return cold;
        }
        if self.is_stale(now) {
            return observed_load;
        }
        let window = self.window.min(report.capacity);
        if report.queued > 0 {
            return window.max(cold);
        }
        let grown = window.saturating_mul(GROWTH_FACTOR).max(1);
        grown.clamp(cold, report.capacity)
    }
}
