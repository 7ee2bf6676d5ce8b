//! Selection of the instances that watch the store.
//!
//! Calls to the store are rate-limited and billed, and each change completes every pending watch
//! call. Therefore about one instance in twelve of each failure domain watches the store. The
//! others follow one of these watchers, which sends them each change. The preferred watcher is
//! found by the same hashing as the owner of a stage queue; [`arbutus_policy::serving::store_role`]
//! decides whether this instance follows it.

use std::rc::Rc;

use crate::net::sleep;
use crate::peer::PeerConnections;
use crate::rollouts;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::watch::StoreState;
use arbutus_coord::Millis;

/// How often the preferred watcher is determined. A refusal takes effect immediately.
const SELECTION_INTERVAL_MS: Millis = Millis(250);

/// Periodically selects a watcher and asks it for updates.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run(
    shared: Rc<Shared>,
    store: Rc<StoreState>,
    stage_client: Rc<StageClient>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    loop {
        sleep(SELECTION_INTERVAL_MS).await;
        // An instance cannot serve without store objects, so it reads them from the store itself at
        // first.
        if shared.phase() == Phase::Starting {
            continue;
        }
        let preferred = stage_client.preferred_watcher(|name| {
            store.is_store_unreachable_from(name)
                || rollouts::lacks_orders(&shared, name)
                || connections.lacks_eras(name)
        });
        for peer in store.set_preferred_watcher(preferred.as_deref()) {
            connections.request_updates(&peer, store.versions(), true);
        }
    }
}
