//! Time that targets spent, by service, and the part of it that nobody got an answer for.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use crate::client::Client;
use crate::loadgen::event::EventError;
use crate::loadgen::event::targets;
use crate::target::TargetStats;

/// The cost of one service during a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCost {
    /// The calls that arrived.
    pub calls: u64,
    /// The calls that were answered whole.
    pub completed: u64,
    /// The calls that failed because a target was cold.
    pub cold_failures: u64,
    /// The calls that a full queue refused or whose deadline passed in the queue.
    pub refused: u64,
    /// The time spent.
    pub spent_ms: u64,
    /// The time spent on calls whose whole answer nobody got.
    pub wasted_ms: u64,
    /// The targets whose counters could not be read at the end.
    pub unreachable: u64,
}

/// The counters of all targets at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    targets: BTreeMap<String, (String, Option<TargetStats>)>,
}

impl Snapshot {
    /// Reads the counters of all targets that the platform lists.
    ///
    /// # Errors
    ///
    /// Returns an error when the list cannot be read.
    pub fn take(platform: SocketAddr) -> Result<Self, EventError> {
        let client = Client::new();
        let mut snapshot = Self::default();
        for entry in targets(platform)? {
            let stats = entry
                .address
                .parse()
                .ok()
                .and_then(|address| client.get(address, "/stats").ok())
                .and_then(|value| serde_json::from_value(value).ok());
            let target = (entry.service, stats);
            // The address distinguishes a target from its successor with the same name.
            let key = format!("{} {}", entry.name, entry.address);
            snapshot.targets.insert(key, target);
        }
        Ok(snapshot)
    }

    /// Returns the cost by service since an earlier snapshot.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> BTreeMap<String, ServiceCost> {
        let mut costs = BTreeMap::<String, ServiceCost>::new();
        for (key, (service, stats)) in &self.targets {
            let cost = costs.entry(service.clone()).or_default();
            let Some(stats) = stats else {
                cost.unreachable += 1;
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
