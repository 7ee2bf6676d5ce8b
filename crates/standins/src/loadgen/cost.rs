//! Time that targets spent on calls, by service, and how much of it was wasted on calls without a
//! complete response.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use crate::client::Client;
use crate::loadgen::event::EventError;
use crate::loadgen::event::list_targets;
use crate::target::TargetStats;

/// Calls to the targets of one service during a run, and the time spent on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCost {
    /// Calls that targets received.
    pub calls: u64,
    /// Calls with a complete response.
    pub completed: u64,
    /// Calls that failed because they exceeded the capacity of a cold (recently started) target.
    pub cold_failures: u64,
    /// Calls that targets rejected because their queue was full or the deadline passed in the queue.
    pub refused: u64,
    /// Time spent on calls, in milliseconds.
    pub spent_ms: u64,
    /// Time spent on calls whose complete response no client received, in milliseconds.
    pub wasted_ms: u64,
    /// Number of targets whose counters could not be read at the end of the run.
    #[serde(rename = "unreachable")]
    pub unreachable_targets: u64,
}

/// Counters of all targets at one time.
#[derive(Clone, Debug, Default)]
pub struct CounterSnapshot {
    /// Service and counters of each target, by its name and address. The counters are `None` if the
    /// target did not respond.
    targets: BTreeMap<String, (String, Option<TargetStats>)>,
}

impl CounterSnapshot {
    /// Reads the counters of all targets that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read.
    pub fn read(platform: SocketAddr) -> Result<Self, EventError> {
        let client = Client::new();
        let mut snapshot = Self::default();
        for entry in list_targets(platform)? {
            let stats = entry
                .address
                .parse()
                .ok()
                .and_then(|address| client.get(address, "/stats").ok())
                .and_then(|value| serde_json::from_value(value).ok());
            let target = (entry.service, stats);
            // A restarted target has the same name, another address and new counters.
            let key = format!("{} {}", entry.name, entry.address);
            snapshot.targets.insert(key, target);
        }
        Ok(snapshot)
    }

    /// Returns the cost by service since an earlier snapshot.
    ///
    /// The counters of targets that are missing from the earlier snapshot count from zero.
    #[must_use]
    pub fn costs_since(&self, earlier: &Self) -> BTreeMap<String, ServiceCost> {
        let mut costs = BTreeMap::<String, ServiceCost>::new();
        for (key, (service, stats)) in &self.targets {
            let cost = costs.entry(service.clone()).or_default();
            let Some(stats) = stats else {
                cost.unreachable_targets += 1;
                continue;
            };
            let before = earlier.targets.get(key);
            let before = before.and_then(|(_, stats)| stats.clone());
            cost.add(stats, &before.unwrap_or_default());
        }
        costs
    }
}

impl ServiceCost {
    fn add(&mut self, now: &TargetStats, before: &TargetStats) {
        let refused = |stats: &TargetStats| stats.queue_full + stats.expired;
        self.calls += now.calls.saturating_sub(before.calls);
        self.completed += now.completed.saturating_sub(before.completed);
        self.cold_failures += now.cold_failures.saturating_sub(before.cold_failures);
        self.refused += refused(now).saturating_sub(refused(before));
        self.spent_ms += now.spent_ms.saturating_sub(before.spent_ms);
        self.wasted_ms += now.wasted_ms.saturating_sub(before.wasted_ms);
    }
}
