//! What targets ask for in the heads of their responses: a limit on requests, a pause, or no requests
//! at all because they shut down. Decides whether a request may be sent.

use http::HeaderMap;
use http::StatusCode;
use log::info;
use log::warn;

use crate::peer_messages::PeerCommand;
use crate::peer_messages::PeerReply;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_platform::response;
use arbutus_policy::serving::leaving_targets::LeavingReport;
use arbutus_policy::serving::model::TargetEntry;
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

/// Records what the head of a response of a target asks for. `sent_at` is when its request was sent,
/// and `executed` whether the target executed it: only such a response shows that a limit has ended.
pub fn record_response(
    shared: &Shared,
    entry: &TargetEntry,
    status: StatusCode,
    headers: &HeaderMap,
    sent_at: Millis,
    executed: bool,
) {
    if response::is_leaving(headers) {
        let report = LeavingReport {
            target: entry.id.clone(),
            incarnation: entry.incarnation,
        };
        if mark_leaving(shared, &report, "response") {
            shared.pending_reports.borrow_mut().leaving.push(report);
        }
    }
    match response::backoff_ms(status, headers) {
        Ok(None) => {}
        Ok(Some(requested_ms)) => {
            let mut backoffs = shared.target_backoffs.borrow_mut();
            let granted_ms = backoffs.record(shared.now(), &entry.id, requested_ms);
            info!(
                target_id = entry.id.as_str(), requested_ms = requested_ms.0, granted_ms = granted_ms.0;
                "target asked for a pause"
            );
        }
        Err(error) => {
            warn!(target_id = entry.id.as_str(), error:%; "ignoring the pause that a target asks for");
        }
    }
    record_limit(shared, &entry.id, headers, sent_at, executed);
}

/// Records that a target leaves; returns whether this was not known. `source` names who told, for the
/// log.
fn mark_leaving(shared: &Shared, report: &LeavingReport, source: &str) -> bool {
    let (target, incarnation) = (report.target.as_str(), report.incarnation);
    if shared.directory.borrow().is_leaving(target, incarnation) {
        return false;
    }
    info!(target_id = target, incarnation:?, source; "target says that it leaves");
    let change = {
        let mut directory = shared.directory.borrow_mut();
        directory.mark_leaving(shared.now(), target, incarnation)
    };
    if let Some(change) = change {
        shared.apply_target_changes(&[change]);
    }
    true
}

/// Handles a command of a peer about limits or shutdowns of targets; ignores other commands.
pub fn handle_command(shared: &Shared, command: PeerCommand, replies: &mut Vec<PeerReply>) {
    match command {
        PeerCommand::TargetLimits(reports) => merge_limits(shared, &reports),
        PeerCommand::KnownTargetLimits => {
            let reports = shared.target_limits.borrow().reports(shared.now());
            if !reports.is_empty() {
                replies.push(PeerReply::TargetLimits(reports));
            }
        }
        PeerCommand::LeavingTargets(reports) => merge_leaving(shared, &reports),
        PeerCommand::KnownLeavingTargets => {
            let reports = shared.directory.borrow().leaving_reports();
            if !reports.is_empty() {
                replies.push(PeerReply::LeavingTargets(reports));
            }
        }
        _ => {}
    }
}

/// Applies what a peer knows of targets that shut down.
pub fn merge_leaving(shared: &Shared, reports: &[LeavingReport]) {
    for report in reports {
        // The peer has told all others.
        let _is_new = mark_leaving(shared, report, "peer");
    }
}

fn record_limit(
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

/// Applies what a peer has observed of limits.
pub fn merge_limits(shared: &Shared, reports: &[LimitReport]) {
    let now = shared.now();
    let mut limits = shared.target_limits.borrow_mut();
    for report in reports {
        let known = limits.known(now, &report.target);
        if limits.merge(now, report) {
            log_change(&report.target, known, report.max_requests_per_s, "peer");
        }
    }
}

/// Returns whether a target may get calls that are not needed, such as calls that free results.
#[must_use]
pub fn accepts_optional_calls(shared: &Shared, entry: &TargetEntry) -> bool {
    let is_leaving = shared
        .directory
        .borrow()
        .is_leaving(&entry.id, entry.incarnation);
    !is_leaving && !is_limited(shared, &entry.id) && backoff_ms(shared, &entry.id) == Millis::ZERO
}

fn is_limited(shared: &Shared, target: &str) -> bool {
    let limits = shared.target_limits.borrow();
    limits.known(shared.now(), target).is_some()
}

/// Returns the time until the pause that a target has asked for allows a request.
#[must_use]
pub fn backoff_ms(shared: &Shared, target: &str) -> Millis {
    let backoffs = shared.target_backoffs.borrow();
    backoffs.wait_ms(shared.now(), target)
}

/// Returns whether a target has asked for a pause that lasts.
#[must_use]
pub fn is_paused(shared: &Shared, target: &str) -> bool {
    let backoffs = shared.target_backoffs.borrow();
    backoffs.is_paused(shared.now(), target)
}

/// Returns the time until a request may be sent to a target; `None` if this instance may send none
/// as long as the limit of the target applies.
#[must_use]
pub fn wait_ms(shared: &Shared, target: &str, sender: Sender) -> Option<Millis> {
    let backoff_ms = backoff_ms(shared, target);
    if !is_limited(shared, target) {
        return Some(backoff_ms);
    }
    let rank = rank(shared, target, sender);
    let limits = shared.target_limits.borrow();
    let limit_ms = limits.wait_ms(shared.now(), target, rank)?;
    Some(limit_ms.max(backoff_ms))
}

/// Counts a request that is about to be sent; returns false if the target does not want it now.
pub fn try_take(shared: &Shared, target: &str, sender: Sender) -> bool {
    if wait_ms(shared, target, sender) != Some(Millis::ZERO) {
        return false;
    }
    let now = shared.now();
    shared.target_backoffs.borrow_mut().record_send(now, target);
    if !is_limited(shared, target) {
        return true;
    }
    let rank = rank(shared, target, sender);
    let mut limits = shared.target_limits.borrow_mut();
    limits.try_take(now, target, rank)
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
