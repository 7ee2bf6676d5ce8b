//! Limits that targets name in their responses: what responses and peers say of them, and whether a
//! request may be sent.

use http::HeaderMap;
use log::info;
use log::warn;

use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_platform::response;
use arbutus_policy::serving::target_limits::LimitReport;
use arbutus_policy::serving::target_limits::SenderRank;

/// Which requests are sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Requests of clients, which any instance may send.
    AnyInstance,
    /// Calls of a stage, which the owner of its queue sends.
    QueueOwner,
}

/// Records the limit that a response names. `sent_at` is when its request was sent, and `executed`
/// whether the target executed it: only such a response shows that a limit has ended.
pub fn record_response(
    shared: &Shared,
    target: &str,
    headers: &HeaderMap,
    sent_at: Millis,
    executed: bool,
) {
    let named = match response::request_limit(headers) {
        Ok(named) => named,
        Err(error) => {
            warn!(target_id = target, error:%; "ignoring the limit that a target names");
            return;
        }
    };
    if named.is_none() && !executed {
        return;
    }
    let now = shared.now();
    let mut limits = shared.target_limits.borrow_mut();
    let known = limits.known(now, target);
    let report = limits.record_response(now, target, named, sent_at);
    let current = limits.known(now, target);
    drop(limits);
    if known != current {
        log_change(target, known, current, "response");
    }
    if let Some(report) = report {
        let mut reports = shared.pending_reports.borrow_mut();
        reports.limits.push((now, report));
    }
}

/// Applies what a peer has observed.
pub fn merge_reports(shared: &Shared, reports: &[LimitReport]) {
    let now = shared.now();
    let mut limits = shared.target_limits.borrow_mut();
    for report in reports {
        let known = limits.known(now, &report.target);
        if limits.merge(now, report) {
            log_change(&report.target, known, report.max_requests_per_s, "peer");
        }
    }
}

/// Returns whether a target has a limit.
#[must_use]
pub fn is_limited(shared: &Shared, target: &str) -> bool {
    let limits = shared.target_limits.borrow();
    limits.known(shared.now(), target).is_some()
}

/// Returns the time until a request may be sent to a target; `None` if this instance may send none
/// as long as the limit applies.
#[must_use]
pub fn wait_ms(shared: &Shared, target: &str, sender: Sender) -> Option<Millis> {
    if !is_limited(shared, target) {
        return Some(Millis::ZERO);
    }
    let rank = rank(shared, target, sender);
    let limits = shared.target_limits.borrow();
    limits.wait_ms(shared.now(), target, rank)
}

/// Counts a request that is about to be sent; returns false if the limit does not allow it now.
pub fn try_take(shared: &Shared, target: &str, sender: Sender) -> bool {
    if !is_limited(shared, target) {
        return true;
    }
    let rank = rank(shared, target, sender);
    let mut limits = shared.target_limits.borrow_mut();
    limits.try_take(shared.now(), target, rank)
}

fn rank(shared: &Shared, target: &str, sender: Sender) -> SenderRank {
    match sender {
        Sender::AnyInstance => shared.sender_rank(target),
        Sender::QueueOwner => SenderRank::Only,
    }
}

fn log_change(target: &str, previous: Option<f64>, current: Option<f64>, source: &str) {
    info!(
        target_id = target, previous_per_s:? = previous, limit_per_s:? = current, source;
        "request limit of a target changed"
    );
}
