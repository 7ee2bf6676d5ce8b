//! Which instances watch the store.
//!
//! Calls to the store are limited and charged, and each change wakes every waiting call. In each
//! failure domain one instance for a dozen watches the store, and the others follow it: it sends
//! them each change. The role is computed by the same hashing as the ownership of stage queues. An
//! instance that cannot follow anybody watches the store itself, so a wrong view costs calls only.

use std::rc::Rc;

use log::info;

use crate::net::sleep;
use crate::peer::PeerCommand;
use crate::peer::PeerLinks;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::watch::StoreState;
use arbutus_coord::Millis;

/// How often the role is computed.
const CHOOSE_MS: Millis = Millis(100);
/// How often a follower states what it knows, in case a change did not reach it, and is told that
/// it is followed.
const FOLLOW_MS: Millis = Millis(500);
/// What an instance does to know the state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store.
    Watcher,
    /// It follows another instance.
    Follower(String),
}

/// Computes the role of the instance.
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
    let mut stated = Millis::ZERO;
    loop {
        sleep(CHOOSE_MS).await;
        // What is needed to serve at all is read without a detour.
        if shared.phase() == Phase::Starting {
            continue;
        }
        let now = shared.now();
        store.check_followed(now);
        let followed = stages.followed(|name| store.is_blind(name));
        let role = followed.map_or(StoreRole::Watcher, StoreRole::Follower);
        let is_new = store.set_role(role.clone());
        if is_new {
            info!(role:? = role; "the way to the state of the store changed");
        }
        if let StoreRole::Follower(peer) = role
            && (is_new || !store.is_confirmed() || stated + FOLLOW_MS <= now)
        {
            stated = now;
            links.send(&peer, PeerCommand::Follow(store.revisions()));
        }
    }
}
