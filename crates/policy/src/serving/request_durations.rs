//! How long requests take, as far as it is known from earlier ones.
//!
//! An instance that shuts down may only pass on what ends before its process does. The deadline of a
//! request is no help for long streams: it lies behind the end of the process, while most of them
//! end long before it.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// Share of the longest duration that remains after each further request, so that one slow request
/// counts less after some tens of faster ones.
const DECAY: f64 = 0.98;
/// Routes that are remembered; a configuration has fewer. Beyond it, all are forgotten.
const MAX_ROUTES: usize = 10_000;

/// The longest recent duration of the requests of each route.
#[derive(Debug, Default)]
pub struct RequestDurations {
    longest_ms: BTreeMap<String, f64>,
}

impl RequestDurations {
    /// Records a request that was answered completely.
    pub fn record(&mut self, route: &str, took_ms: Millis) {
        let took_ms = took_ms.0 as f64;
        if let Some(longest_ms) = self.longest_ms.get_mut(route) {
            *longest_ms = took_ms.max(*longest_ms * DECAY);
            return;
        }
        if self.longest_ms.len() >= MAX_ROUTES {
            self.longest_ms.clear();
        }
        self.longest_ms.insert(route.to_owned(), took_ms);
    }

    /// Returns how long a request of a route is expected to take at most, or `None` if none was
    /// recorded.
    #[must_use]
    pub fn forecast(&self, route: &str) -> Option<Millis> {
        let longest_ms = self.longest_ms.get(route)?;
        Some(Millis(longest_ms.ceil() as u64))
    }
}
