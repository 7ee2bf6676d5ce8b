//! The work percentage that a target reports most of the time.

use std::collections::VecDeque;

use arbutus_coord::Millis;

/// Reports within this time count as one, so that a burst of responses during a short rise does not
/// outweigh the time before it.
const SLOT_MS: u64 = 200;
/// Number of reports of which the median is taken. A rise lasts about 600 ms, which is 3 of them.
const SAMPLES: usize = 31;
/// From this number of own reports on, the level of the aggregator is not used.
const MIN_SAMPLES: usize = 7;

/// The median of the recent work percentages of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualLevel {
    samples: VecDeque<u32>,
    latest_slot: u64,
    /// The level that an aggregator named, and when.
    adopted: Option<(Millis, u32)>,
}

impl UsualLevel {
    /// Records a report; earlier ones of the same 200 ms are replaced.
    pub(super) fn record(&mut self, reported_at: Millis, percent: u32) {
        let slot = reported_at.0 / SLOT_MS;
        if slot == self.latest_slot && !self.samples.is_empty() {
            self.samples.pop_back();
        }
        self.latest_slot = slot;
        self.samples.push_back(percent);
        if self.samples.len() > SAMPLES {
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
        let adopted = self.adopted.map(|(_, percent)| percent);
        if self.samples.len() < MIN_SAMPLES && adopted.is_some() {
            return adopted;
        }
        let mut sorted: Vec<u32> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        // Deviations are rises, so the smaller of two middle values is the better one.
        sorted.get(sorted.len().saturating_sub(1) / 2).copied()
    }
}
