//! Which instances watch the store.
//!
//! Calls to the store are limited and charged, and each change wakes every waiting call. In each
//! failure domain one instance for a dozen watches the store, and the others follow it: it sends
//! them each change. The role is computed by the same hashing as the ownership of stage queues. An
//! instance that cannot follow anybody watches the store itself, so a wrong view costs calls only.

use std::rc::Rc;

use log::info;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

use crate::net::sleep;
use crate::peer::PeerCommand;
use crate::peer::PeerLinks;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::watch::StoreState;

/// How often the role is computed.
const CHOOSE_MS: Millis = Millis(150);
/// How often a follower states what it knows, in case a change did not reach it.
const FOLLOW_MS: Millis = Millis(1_000);
/// The instances of a failure domain that share one watching instance. A configuration of 100 KB
/// reaches them within a second over the slowest links (10 Mbit/s).
const INSTANCES_OF_ONE_WATCHER: usize = 12;

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
        let role = role(&shared, &store, &stages);
        let is_new = store.set_role(role.clone());
        if is_new {
            info!(role:? = role; "the way to the state of the store changed");
        }
        if let StoreRole::Follower(peer) = role
            && (is_new || stated + FOLLOW_MS <= now)
        {
            stated = now;
            links.send(&peer, PeerCommand::Follow(store.revisions()));
        }
    }
}

fn role(shared: &Shared, store: &StoreState, stages: &StageClient) -> StoreRole {
    let domain = &shared.settings.failure_domain;
    let near = shared
        .peers()
        .iter()
        .filter(|peer| peer.failure_domain == *domain)
        .count();
    let groups = (near + 1).div_ceil(INSTANCES_OF_ONE_WATCHER) as u64;
    let group = rendezvous::stable_hash(shared.settings.name.as_bytes()) % groups;
    let key = format!("store-watch-{group}");
    match stages.first_of_domain(&key, |name| store.is_blind(name)) {
        Some(peer) => StoreRole::Follower(peer),
        None => StoreRole::Watcher,
    }
}
