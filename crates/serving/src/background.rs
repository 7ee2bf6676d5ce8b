//! Background tasks: crash reports to peers, requests for store objects during a store outage, and
//! housekeeping.

use std::rc::Rc;

use log::info;
use log::warn;
use rand::seq::IndexedRandom;

use crate::logging::DroppedLineCount;
use crate::net::sleep;
use crate::peer::PeerCommand;
use crate::peer::PeerConnections;
use crate::shared::Shared;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_policy::quarantine::QuarantineEntry;

/// How often a peer is asked for store objects during a store outage.
const PEER_REQUEST_INTERVAL_MS: Millis = Millis(400);
/// How often queued crash reports are sent, expired connections and targets are removed, and
/// metrics are updated.
const HOUSEKEEPING_INTERVAL_MS: Millis = Millis(250);

/// Queues a report about a request that crashes targets, to be sent to all peers.
pub fn queue_crash_report(shared: &Rc<Shared>, entry: QuarantineEntry) {
    shared.pending_crash_reports.borrow_mut().push(entry);
}

/// Sends queued crash reports to all peers.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn send_crash_reports(
    shared: Rc<Shared>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    loop {
        sleep(HOUSEKEEPING_INTERVAL_MS).await;
        let entries = std::mem::take(&mut *shared.pending_crash_reports.borrow_mut());
        if entries.is_empty() {
            continue;
        }
        for peer in shared.peers() {
            connections.send(&peer.name, PeerCommand::Crashes(entries.clone()));
        }
    }
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
        connections.send(&peer.name, PeerCommand::Objects(store.revisions()));
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
        let expired = shared.directory.borrow_mut().expire(now);
        if !expired.is_empty() {
            info!(targets = expired.len(); "removing targets that did not re-register after the store outage");
            shared.apply_target_changes(&expired);
        }
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
