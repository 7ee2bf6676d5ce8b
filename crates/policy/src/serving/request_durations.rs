//! How long requests take, as far as it is known from earlier ones.
//!
//! An instance that shuts down may only pass on what ends before its process does. The deadline of a
//! request is no help for long streams: it lies behind the end of the process, while most of them
//! end long before it.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// Part of the requests that take no longer than the forecast.
const QUANTILE: f64 = 0.9;
/// Part of the forecast by which a request changes it at most.
const STEP_RATIO: f64 = 0.1;
/// Routes that are remembered; a configuration has fewer. Beyond it, all are forgotten.
const MAX_ROUTES: usize = 10_000;

/// For each route, the duration that nine in ten of its recent requests do not exceed.
///
/// A slow request raises the forecast by nine times what a fast one lowers it. One number a route is
/// enough for that; the histograms of [`crate::latency::RecentLatency`] take kilobytes for each of
/// thousands of routes.
#[derive(Debug, Default)]
pub struct RequestDurations {
    forecasts_ms: BTreeMap<String, f64>,
}

impl RequestDurations {
    /// Records a request that was answered completely.
    pub fn record(&mut self, route: &str, took_ms: Millis) {
        let took_ms = took_ms.0 as f64;
        if let Some(forecast_ms) = self.forecasts_ms.get_mut(route) {
            let step_ms = *forecast_ms * STEP_RATIO;
            if took_ms > *forecast_ms {
                *forecast_ms = took_ms.min(*forecast_ms + step_ms * QUANTILE);
            } else {
                *forecast_ms = took_ms.max(*forecast_ms - step_ms * (1.0 - QUANTILE));
            }
            return;
        }
        if self.forecasts_ms.len() >= MAX_ROUTES {
            self.forecasts_ms.clear();
        }
        self.forecasts_ms.insert(route.to_owned(), took_ms.max(1.0));
    }

    /// Returns how long a request of a route is expected to take, or `None` if none was recorded.
    #[must_use]
    pub fn forecast(&self, route: &str) -> Option<Millis> {
        let forecast_ms = self.forecasts_ms.get(route)?;
        Some(Millis(forecast_ms.ceil() as u64))
    }
}
