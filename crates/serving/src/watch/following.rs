//! Whom an instance follows, and who may follow it.

use log::info;
use tokio::sync::watch;

use crate::peer::PeerReply;
use crate::watch::StoreState;
use arbutus_policy::serving::store_role::StoreRole;
use arbutus_policy::serving::store_role::StoreRoleState;

impl StoreState {
    /// Chooses the instance to follow, if any, and returns those to be asked whether they may be
    /// followed.
    pub fn choose_followed(&self, candidate: Option<&str>) -> Vec<String> {
        let now = self.shared.now();
        self.change_following(|following| following.update_candidate(now, candidate))
    }

    /// Records that an instance watches the store, which answers it.
    pub fn confirmed(&self, peer: &str) {
        let now = self.shared.now();
        self.change_following(|following| following.record_confirmation(now, peer));
    }

    /// Records that an instance cannot be followed.
    pub fn refused(&self, peer: &str, is_blind: bool) {
        let now = self.shared.now();
        self.change_following(|following| following.record_refusal(now, peer, is_blind));
    }

    /// Returns whether the instance follows another one or has asked whether it may.
    #[must_use]
    pub fn asks(&self, peer: &str) -> bool {
        self.following.borrow().follows_or_asked(peer)
    }

    /// Returns whether the store did not answer an instance lately.
    #[must_use]
    pub fn is_blind(&self, name: &str) -> bool {
        self.following
            .borrow()
            .is_store_unreachable_from(self.shared.now(), name)
    }

    /// Returns whether the instance watches the store and the store answers.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watches() && self.is_reachable() && self.has_answered.get()
    }

    /// Returns why the instance cannot be followed.
    #[must_use]
    pub fn not_watching(&self) -> PeerReply {
        if self.watches() && !self.is_reachable() {
            PeerReply::Blind
        } else {
            PeerReply::NotWatching
        }
    }

    /// Returns a receiver that is told of each change of the known state.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns whether the instance watches the store itself.
    #[must_use]
    pub fn watches(&self) -> bool {
        *self.role.borrow() == StoreRole::Watcher
    }

    /// Changes the way to the state of the store; those that follow this instance are told at once.
    pub(super) fn change_following<T>(&self, change: impl FnOnce(&mut StoreRoleState) -> T) -> T {
        let mut following = self.following.borrow_mut();
        let result = change(&mut following);
        let role = following.role().clone();
        drop(following);
        let is_new = self.role.send_if_modified(|present| {
            let is_new = *present != role;
            *present = role.clone();
            is_new
        });
        if is_new {
            info!(role:? = role; "the way to the state of the store changed");
            // What the store answered before does not show that it answers now.
            self.has_answered.set(false);
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }
}
