//! Whom an instance follows, and who may follow it.

use log::info;
use tokio::sync::watch;

use crate::peer::PeerReply;
use crate::role::StoreRole;
use crate::watch::StoreState;
use arbutus_coord::Millis;

/// How long an instance that does not know the state of the store is not followed.
const BLIND_MS: Millis = Millis(3_000);
/// A followed instance confirms within this time that it watches the store. Changes have to be in
/// force within 2 s.
const CONFIRMED_MS: Millis = Millis(900);
impl StoreState {
    /// Sets the role of the instance; returns whether it is another one.
    pub fn set_role(&self, role: StoreRole) -> bool {
        self.role.send_if_modified(|present| {
            let is_new = *present != role;
            *present = role;
            if is_new {
                self.confirmed_at.set(self.shared.now());
                self.is_confirmed.set(false);
            }
            is_new
        })
    }

    /// Returns whether the instance follows another one.
    #[must_use]
    pub fn follows(&self, peer: &str) -> bool {
        matches!(&*self.role.borrow(), StoreRole::Follower(name) if name == peer)
    }

    /// Returns whether the instance watches the store and the store answers.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        *self.role.borrow() == StoreRole::Watcher && self.is_reachable()
    }

    /// Returns why the instance cannot be followed.
    #[must_use]
    pub fn not_watching(&self) -> PeerReply {
        if *self.role.borrow() == StoreRole::Watcher {
            PeerReply::Blind
        } else {
            PeerReply::NotWatching
        }
    }

    /// Returns whether the followed instance has confirmed since it is followed.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed.get()
    }

    /// Records that the followed instance watches the store.
    pub fn confirmed(&self, peer: &str) {
        if self.follows(peer) {
            self.confirmed_at.set(self.shared.now());
            self.is_confirmed.set(true);
        }
    }

    /// Stops to follow an instance that does not confirm in time that it watches the store.
    pub fn check_followed(&self, now: Millis) {
        let role = self.role.borrow().clone();
        if let StoreRole::Follower(peer) = role
            && self.confirmed_at.get() + CONFIRMED_MS < now
        {
            info!(peer = peer.as_str(); "a followed instance does not confirm that it watches the store");
            self.set_blind(&peer);
        }
    }

    /// Records that an instance does not know the state of the store.
    pub fn set_blind(&self, name: &str) {
        let until = self.shared.now() + BLIND_MS;
        self.blind_until.borrow_mut().insert(name.to_owned(), until);
    }

    /// Returns whether an instance did not know the state of the store lately.
    #[must_use]
    pub fn is_blind(&self, name: &str) -> bool {
        let now = self.shared.now();
        let blind = self.blind_until.borrow();
        blind.get(name).is_some_and(|&until| until > now)
    }

    /// Returns a receiver that is told of each change of the known state.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
