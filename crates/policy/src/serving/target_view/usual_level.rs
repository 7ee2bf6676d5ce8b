//! The work percentage that a target reports most of the time.

use std::collections::VecDeque;

use arbutus_coord::Millis;

/// Reports within this time count as one, so that a burst of responses during a short rise does not
/// outweigh the time before it.
const SLOT_MS: u64 = 200;
/// Number of reports of which the median is taken. A rise lasts about 600 ms, which is 3 of them.
const MAX_SAMPLES: usize = 31;
/// From this number of reports on, rises do not decide the median. With 7 reports, which an instance
/// often has after some seconds, they did.
const MIN_SAMPLES: usize = 21;
/// [`MIN_SAMPLES`] reports within this time make the level of an aggregator unnecessary.
const RECENT_MS: Millis = Millis(10_000);

/// The median of the recent work percentages of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualLevel {
    /// When each percentage was reported, and the percentage.
    samples: VecDeque<(Millis, u32)>,
    /// The level that an aggregator named, and when.
    adopted: Option<(Millis, u32)>,
}

impl UsualLevel {
    /// Records a report of a response; an earlier one of the same 200 ms is replaced.
    pub(super) fn record(&mut self, reported_at: Millis, percent: u32) {
        let slot = |at: Millis| at.0 / SLOT_MS;
        let latest = self.samples.back();
        if latest.is_some_and(|&(at, _)| slot(at) == slot(reported_at)) {
            self.samples.pop_back();
        }
        self.samples.push_back((reported_at, percent));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Takes over the level that an aggregator names, unless a later one is known.
    pub(super) fn adopt(&mut self, named_at: Millis, percent: Option<u32>) {
        let is_later = self.adopted.is_none_or(|(at, _)| at < named_at);
        if let Some(percent) = percent.filter(|_| is_later) {
            self.adopted = Some((named_at, percent));
        }
    }

    /// Returns the level, or `None` if the target has reported none.
    pub(super) fn percent(&self) -> Option<u32> {
        let Some((named_at, adopted)) = self.adopted else {
            return self.median();
        };
        let since = named_at - RECENT_MS;
        let recent = self.samples.iter().filter(|&&(at, _)| at >= since);
        if recent.count() >= MIN_SAMPLES {
            self.median()
        } else {
            Some(adopted)
        }
    }

    /// Returns the level by the reports of responses alone, or `None` if there are too few.
    pub(super) fn observed_percent(&self) -> Option<u32> {
        self.median().filter(|_| self.samples.len() >= MIN_SAMPLES)
    }

    fn median(&self) -> Option<u32> {
        let mut sorted: Vec<u32> = self.samples.iter().map(|&(_, percent)| percent).collect();
        sorted.sort_unstable();
        // Deviations are rises, so the smaller of two middle values is the better one.
        sorted.get(sorted.len().saturating_sub(1) / 2).copied()
    }
}
