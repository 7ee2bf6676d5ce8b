//! Which instances watch the store.
//!
//! Calls to the store are limited and charged, and each change wakes every waiting call. In each
//! failure domain one instance for a dozen watches the store, and the others follow it: it sends
//! them each change. The first choice is computed by the same hashing as the ownership of stage
//! queues; [`arbutus_policy::serving::store_role`] decides whether it is followed.

use std::rc::Rc;

use crate::net::sleep;
use crate::peer::PeerCommand;
use crate::peer::PeerLinks;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::watch::StoreState;
use arbutus_coord::Millis;

/// How often the instance to follow is chosen. Refusals take effect at once.
const CHOOSE_MS: Millis = Millis(250);

/// Chooses the instance to follow and asks it.
///
/// # Errors
///
/// Never returns; the type is that of a supervised task.
pub async fn choose(
    shared: Rc<Shared>,
    store: Rc<StoreState>,
    stages: Rc<StageClient>,
    links: Rc<PeerLinks>,
) -> Result<(), String> {
    loop {
        sleep(CHOOSE_MS).await;
        // What is needed to serve at all is read without a detour.
        if shared.phase() == Phase::Starting {
            continue;
        }
        let candidate = stages.followed(|name| store.is_blind(name));
        for peer in store.choose_followed(candidate.as_deref()) {
            links.send(&peer, PeerCommand::Follow(store.revisions()));
        }
    }
}
