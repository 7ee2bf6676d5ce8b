//! What instances tell each other without being asked, and housekeeping.

use std::rc::Rc;

use log::info;
use log::warn;
use rand::seq::IndexedRandom;

use crate::logging::DroppedLines;
use crate::net::sleep;
use crate::peer::PeerCommand;
use crate::peer::PeerLinks;
use crate::shared::Shared;
use crate::watch::StoreState;
use arbutus_coord::Millis;
use arbutus_policy::quarantine::QuarantineEntry;

/// How often another instance is asked for objects of the store while it is away.
const ASK_PEERS_MS: Millis = Millis(400);
/// How often expired connections are closed, lapsed entries removed and counters copied.
const HOUSEKEEPING_MS: Millis = Millis(250);

/// Tells all instances of a request that crashes targets.
pub fn share_crash(shared: &Rc<Shared>, entry: QuarantineEntry) {
    shared.crash_reports.borrow_mut().push(entry);
}

/// Sends reports of crashes as they gather.
///
/// # Errors
///
/// Never returns; the type is that of a supervised task.
pub async fn share_crashes(shared: Rc<Shared>, links: Rc<PeerLinks>) -> Result<(), String> {
    loop {
        sleep(HOUSEKEEPING_MS).await;
        let entries = std::mem::take(&mut *shared.crash_reports.borrow_mut());
        if entries.is_empty() {
            continue;
        }
        for peer in shared.peers() {
            links.send(&peer.name, PeerCommand::Crashes(entries.clone()));
        }
    }
}

/// Asks other instances for the state of the store while it is away.
///
/// # Errors
///
/// Never returns; the type is that of a supervised task.
pub async fn ask_peers(
    shared: Rc<Shared>,
    store: Rc<StoreState>,
    links: Rc<PeerLinks>,
) -> Result<(), String> {
    loop {
        sleep(ASK_PEERS_MS).await;
        if store.is_reachable() || !store.watches() {
            continue;
        }
        let peers = shared.peers();
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            continue;
        };
        links.send(&peer.name, PeerCommand::Objects(store.revisions()));
    }
}

/// Closes expired connections, removes lapsed entries and copies counters.
///
/// # Errors
///
/// Never returns; the type is that of a supervised task.
pub async fn keep_house(shared: Rc<Shared>, dropped: DroppedLines) -> Result<(), String> {
    let mut reported = 0;
    loop {
        sleep(HOUSEKEEPING_MS).await;
        let now = shared.now();
        shared.pool.close_expired(now);
        let expired = shared.directory.borrow_mut().expire(now);
        if !expired.is_empty() {
            info!(targets = expired.len(); "lapsed entries did not come back");
            shared.targets_changed(&expired);
        }
        let total = dropped.total();
        shared
            .metrics
            .log_lines_dropped
            .set(i64::try_from(total).unwrap_or(i64::MAX));
        if total > reported {
            warn!(total; "log lines were dropped");
            reported = total;
        }
    }
}
