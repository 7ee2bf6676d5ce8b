//! How many requests the new version may get before the shift.

use std::collections::BTreeMap;

use super::RolloutLimits;
use super::UsableTargets;
use super::canary_target_count;
use super::comparison::RouteHistory;
use super::ledger::Ledger;
use arbutus_coord::Millis;

/// Part of the exposure bounds that is used. The rest covers retries, requests that are not reported
/// yet, and deciders of other parts of a partitioned network.
const USED_SHARE_FRACTION: f64 = 0.9;
const USED_TOLERANCE_FRACTION: f64 = 0.4;
/// Time from a directive until the reports show the requests that it has led to: one interval until
/// an instance gets it and another one until it reports.
const CONTROL_DELAY_S: f64 = 0.5;
/// Time within which unused exposure is used up.
const CATCH_UP_S: f64 = 2.0;
/// Part of the remaining time, and its bound, whose requests count for the exposure in advance. With
/// a short time limit, the evidence is needed early, and the bound is one over the whole time.
const FORECAST_PERCENT: u64 = 50;
const MAX_FORECAST_MS: Millis = Millis(5_000);
/// Multiple of the exposure share that the share has at most, except in pulses.
const MAX_SHARE_FACTOR: f64 = 2.0;
/// Length of a pulse, for which the share is raised until the new targets have as many requests each
/// as the old ones.
const PULSE_S: f64 = 1.0;
/// The share is held constant if it is at least this part of the one with equal load per target.
const EQUAL_LOAD_FRACTION: f64 = 0.9;
/// Part of the requests of a route that the new version gets at most. With few requests, the
/// comparison is sharpest if both versions get as many.
const MAX_ROUTE_SHARE: f64 = 0.5;
/// Part of the requests to the new version that is divided evenly among the routes.
const EVEN_FRACTION: f64 = 0.75;
/// Number of responses without which the rates of routes are not known.
const MIN_RESPONSES: u64 = 20;
/// Number of routes with a share of their own; a directive stays below 1 KB.
const MAX_ROUTE_SHARES: usize = 16;

/// The share of the new version and how it is applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CanaryShare {
    pub(super) new_share: f64,
    pub(super) route_shares: Vec<(String, f64)>,
    pub(super) canary_targets: u32,
    /// Whether each of the used new targets gets as many requests as an old one.
    pub(super) has_equal_load: bool,
    /// Whether the share is raised for short times only.
    pub(super) has_pulses: bool,
}

/// Keeps the requests to the new version within the exposure bound.
#[derive(Debug, Default)]
pub(super) struct ExposureControl {
    is_in_pulse: bool,
    total_share: f64,
}

impl ExposureControl {
    /// Returns the share from now on.
    pub(super) fn share(
        &mut self,
        now: Millis,
        limits: &RolloutLimits,
        targets: UsableTargets,
        ledger: &Ledger,
        reporting_fraction: f64,
        remaining_ms: Millis,
    ) -> CanaryShare {
        let base_share = limits.exposure_share * USED_SHARE_FRACTION;
        let canary_targets = canary_target_count(targets, base_share);
        if canary_targets == 0 {
            *self = Self::default();
            return CanaryShare::default();
        }
        let rate_per_s = ledger.rate_per_s(now);
        let totals = ledger.totals();
        let tolerance =
            limits.exposure_tolerance as f64 * USED_TOLERANCE_FRACTION * reporting_fraction;
        let forecast_ms = remaining_ms.percent(FORECAST_PERCENT).min(MAX_FORECAST_MS);
        let forecast = rate_per_s * forecast_ms.0 as f64 / 1_000.0;
        let credit = base_share * (totals.sent_all as f64 + forecast) + tolerance
            - totals.sent_new as f64
            - ledger.unreported_new(now, self.total_share)
            - self.total_share * rate_per_s * CONTROL_DELAY_S;
        let used = f64::from(canary_targets);
        let equal_share = used / (used + f64::from(targets.old.max(1)));
        let constant_share = base_share + credit / (rate_per_s.max(1.0) * CATCH_UP_S);
        let is_constant = base_share >= equal_share * EQUAL_LOAD_FRACTION;
        self.total_share = if is_constant {
            constant_share.clamp(0.0, limits.exposure_share * MAX_SHARE_FACTOR)
        } else {
            let needed = if self.is_in_pulse {
                0.0
            } else {
                equal_share * rate_per_s * (PULSE_S + CONTROL_DELAY_S)
            };
            self.is_in_pulse = credit > needed;
            if self.is_in_pulse { equal_share } else { 0.0 }
        };
        let (new_share, route_shares) = divide(self.total_share, ledger.routes());
        CanaryShare {
            new_share,
            route_shares,
            canary_targets: canary_target_count(targets, self.total_share.max(base_share)),
            has_pulses: !is_constant,
            has_equal_load: self.total_share >= equal_share * EQUAL_LOAD_FRACTION,
        }
    }

    /// Notes that no requests go to the new version for a while.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Divides a share of all requests among the routes.
///
/// A part is divided by the number of requests, the other one evenly, so that a route with few
/// requests gets enough of them to the new version to judge it. Returns the share of most routes and
/// the others.
fn divide(total_share: f64, routes: &BTreeMap<String, RouteHistory>) -> (f64, Vec<(String, f64)>) {
    let counts: Vec<(&String, f64)> = routes
        .iter()
        .map(|(route, history)| {
            let responses = history.old().responses + history.new_responses();
            (route, responses as f64)
        })
        .collect();
    let total: f64 = counts.iter().map(|(_, count)| count).sum();
    if total_share <= 0.0 || total < MIN_RESPONSES as f64 {
        return (total_share.max(0.0), Vec::new());
    }
    let mut ascending = counts;
    ascending.sort_by(|a, b| a.1.total_cmp(&b.1));
    let proportional = total_share * (1.0 - EVEN_FRACTION);
    let mut unassigned = total_share * EVEN_FRACTION * total;
    let mut route_shares = Vec::new();
    let mut assigned = 0.0;
    let mut assigned_count = 0.0;
    let route_count = ascending.len();
    for (index, (route, count)) in ascending.into_iter().enumerate() {
        let even = unassigned / (route_count - index) as f64;
        let most = (MAX_ROUTE_SHARE - proportional).max(0.0) * count;
        let extra = even.min(most);
        unassigned -= extra;
        let share = (proportional + extra / count).min(1.0);
        if share > total_share && route_shares.len() < MAX_ROUTE_SHARES {
            route_shares.push((route.clone(), share));
            assigned += share * count;
            assigned_count += count;
        }
    }
    let rest = total - assigned_count;
    let new_share = if rest > 0.0 {
        ((total_share * total - assigned) / rest).clamp(0.0, 1.0)
    } else {
        total_share
    };
    (new_share, route_shares)
}
