//! Background tasks: reports to peers, requests for store objects during a store outage, and
//! housekeeping.

use std::rc::Rc;

use log::info;
use log::warn;
use rand::seq::IndexedRandom;

use crate::crashes;
use crate::logging::DroppedLineCount;
use crate::net::sleep;
use crate::peer::PeerConnections;
use crate::peer_messages::CRASH_REPORTS_PROTOCOL;
use crate::peer_messages::LEAVING_TARGETS_PROTOCOL;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::TARGET_LIMITS_PROTOCOL;
use crate::shared::Shared;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::serving::target_directory::TargetChange;
use arbutus_policy::serving::target_limits::LimitReport;

/// How often an instance that starts checks whether its peers are known.
const PEER_LIST_POLL_MS: Millis = Millis(50);
/// Number of peers that are asked for what they have been told; some of them may be starting, too.
const REPORT_SOURCES: usize = 4;
/// How often a peer is asked for store objects during a store outage.
const PEER_REQUEST_INTERVAL_MS: Millis = Millis(400);
/// How often queued reports are sent, expired connections and targets are removed, and
/// metrics are updated.
const HOUSEKEEPING_INTERVAL_MS: Millis = Millis(250);

/// Sends queued reports about crashes, and about limits and shutdowns of targets, to all peers.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn send_reports(
    shared: Rc<Shared>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    loop {
        sleep(HOUSEKEEPING_INTERVAL_MS).await;
        let mut reports = shared.pending_reports.take();
        let now = shared.now();
        let peer_count = shared.peers().len();
        let reminders = crashes::take_reminders(&shared, peer_count);
        reports.crashes.extend(reminders);
        let mut commands = Vec::new();
        if !reports.prompt_crashes.is_empty() {
            let crashes = reports.prompt_crashes.into_iter();
            let with_age = crashes.map(|(crashed_at, crash)| (now - crashed_at, crash));
            commands.push(PeerCommand::PromptCrashes(with_age.collect()));
        }
        if !reports.cleared_parts.is_empty() {
            commands.push(PeerCommand::ClearedParts(reports.cleared_parts));
        }
        let observed_limits = reports.limits.into_iter();
        let limits: Vec<LimitReport> = observed_limits
            .map(|(observed_at, report)| LimitReport {
                age_ms: now - observed_at,
                ..report
            })
            .collect();
        let leaving = reports.leaving;
        let responses = reports.responses.into_iter();
        let responses: Vec<(Fingerprint, Millis)> = responses
            .map(|(fingerprint, responded_at)| (fingerprint, now - responded_at))
            .collect();
        connections.report_responses(&responses);
        if commands.is_empty()
            && limits.is_empty()
            && leaving.is_empty()
            && reports.crashes.is_empty()
        {
            continue;
        }
        for peer in shared.peers() {
            if !reports.crashes.is_empty() {
                connections.report_crashes(&peer, &reports.crashes);
            }
            for command in &commands {
                connections.send(&peer.name, command.clone());
            }
            if !limits.is_empty() {
                let command = PeerCommand::TargetLimits(limits.clone());
                connections.send_if_understood(&peer, TARGET_LIMITS_PROTOCOL, command);
            }
            if !leaving.is_empty() {
                let command = PeerCommand::LeavingTargets(leaving.clone());
                connections.send_if_understood(&peer, LEAVING_TARGETS_PROTOCOL, command);
            }
        }
    }
}

/// Asks some peers for the quarantined requests and prompt parts, and the limits and shutdowns of
/// targets, once the instances are known. Without them, an instance that starts would have to observe
/// crashes of its own, and would send to limited or leaving targets until they respond.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn request_peer_reports(
    shared: Rc<Shared>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    while shared.peers().is_empty() {
        sleep(PEER_LIST_POLL_MS).await;
    }
    let peers = shared.peers();
    for peer in peers.sample(&mut rand::rng(), REPORT_SOURCES) {
        connections.send(&peer.name, PeerCommand::QuarantinedPrompts);
        let crashes = PeerCommand::KnownCrashes;
        connections.send_if_understood(peer, CRASH_REPORTS_PROTOCOL, crashes);
        let limits = PeerCommand::KnownTargetLimits;
        connections.send_if_understood(peer, TARGET_LIMITS_PROTOCOL, limits);
        let leaving = PeerCommand::KnownLeavingTargets;
        connections.send_if_understood(peer, LEAVING_TARGETS_PROTOCOL, leaving);
    }
    std::future::pending().await
}

/// Periodically asks a random peer for newer store objects while this instance is a watcher and the
/// store does not respond. Followers receive them from their watcher.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn request_peer_objects(
    shared: Rc<Shared>,
    store: Rc<StoreState>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    loop {
        sleep(PEER_REQUEST_INTERVAL_MS).await;
        if store.is_reachable() || !store.is_watcher() {
            continue;
        }
        let peers = shared.peers();
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            continue;
        };
        connections.request_updates(&peer.name, store.versions(), false);
    }
}

/// Periodically closes expired connections, removes expired targets and updates metrics.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run_housekeeping(
    shared: Rc<Shared>,
    dropped_lines: DroppedLineCount,
) -> Result<(), String> {
    let mut last_reported_total = 0;
    loop {
        sleep(HOUSEKEEPING_INTERVAL_MS).await;
        let now = shared.now();
        shared.pool.close_expired(now);
        let changes = shared.directory.borrow_mut().expire(now);
        if !changes.is_empty() {
            let is_removed = |change: &&TargetChange| matches!(change, TargetChange::Gone(_));
            let removed = changes.iter().filter(is_removed).count();
            let accepted = changes.len() - removed;
            info!(removed, accepted; "settled target entries after an outage or a return of the store");
            shared.apply_target_changes(&changes);
        }
        let limited = shared.target_limits.borrow().reports(now).len();
        let limited = i64::try_from(limited).unwrap_or(i64::MAX);
        shared.metrics.limited_targets.set(limited);
        let paused = shared.target_backoffs.borrow_mut().expire(now);
        let paused = i64::try_from(paused).unwrap_or(i64::MAX);
        shared.metrics.paused_targets.set(paused);
        let body_bytes = shared.client_memory.held_bytes();
        let body_bytes = i64::try_from(body_bytes).unwrap_or(i64::MAX);
        shared.metrics.request_body_bytes.set(body_bytes);
        let total = dropped_lines.total();
        shared
            .metrics
            .log_lines_dropped
            .set(i64::try_from(total).unwrap_or(i64::MAX));
        if total > last_reported_total {
            warn!(total; "log lines dropped because the output is too slow");
            last_reported_total = total;
        }
    }
}
