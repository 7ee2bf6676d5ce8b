//! The watcher that this instance follows, and whether peers may follow this instance.

use log::info;
use tokio::sync::watch;

use crate::peer_messages::PeerReply;
use crate::watch::StoreState;
use arbutus_policy::serving::store_role::StoreRole;
use arbutus_policy::serving::store_role::StoreRoleState;

impl StoreState {
    /// Sets the preferred watcher, if any, and returns the peers to send a follow request to.
    pub fn set_preferred_watcher(&self, preferred: Option<&str>) -> Vec<String> {
        let now = self.shared.now();
        self.update_role(|role_state| role_state.set_preferred_watcher(now, preferred))
    }

    /// Records that a peer watches the store and that the store responds to it.
    pub fn record_follow_confirmation(&self, peer: &str) {
        let now = self.shared.now();
        self.update_role(|role_state| role_state.record_confirmation(now, peer));
    }

    /// Records that a part of an update has arrived from a peer.
    pub fn record_follow_progress(&self, peer: &str) {
        let now = self.shared.now();
        self.role_state.borrow_mut().record_progress(now, peer);
    }

    /// Records that a peer cannot be followed. `is_store_unreachable` means that the store does not
    /// respond to the peer, or that the peer cannot be reached.
    pub fn record_follow_refusal(&self, peer: &str, is_store_unreachable: bool) {
        let now = self.shared.now();
        self.update_role(|role_state| role_state.record_refusal(now, peer, is_store_unreachable));
    }

    /// Returns whether this instance follows a peer or has asked to follow it.
    #[must_use]
    pub fn follows_or_asked(&self, peer: &str) -> bool {
        self.role_state.borrow().follows_or_asked(peer)
    }

    /// Returns whether the store recently did not respond to an instance.
    #[must_use]
    pub fn is_store_unreachable_from(&self, name: &str) -> bool {
        self.role_state
            .borrow()
            .is_store_unreachable_from(self.shared.now(), name)
    }

    /// Returns whether this instance watches the store and the store responds.
    #[must_use]
    pub fn is_active_watcher(&self) -> bool {
        self.is_watcher() && self.is_reachable() && self.responded_in_role.get()
    }

    /// Returns the reply to a peer that cannot follow this instance.
    #[must_use]
    pub fn follow_refusal_reply(&self) -> PeerReply {
        if self.is_watcher() && !self.is_reachable() {
            PeerReply::StoreUnreachable
        } else {
            PeerReply::NotWatching
        }
    }

    /// Returns a receiver that is notified of each change of the objects, the role or the
    /// reachability of the store.
    #[must_use]
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes_sender.subscribe()
    }

    /// Returns whether this instance has the role of a watcher.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        *self.role.borrow() == StoreRole::Watcher
    }

    /// Applies `change` to the role state, and notifies the followers of this instance if its role
    /// has changed.
    pub(super) fn update_role<T>(&self, change: impl FnOnce(&mut StoreRoleState) -> T) -> T {
        let mut role_state = self.role_state.borrow_mut();
        let result = change(&mut role_state);
        let role = role_state.role().clone();
        drop(role_state);
        let has_changed = self.role.send_if_modified(|current| {
            let has_changed = *current != role;
            *current = role.clone();
            has_changed
        });
        if has_changed {
            info!(role:? = role; "store role changed");
            // Earlier responses do not show that the store responds now.
            self.responded_in_role.set(false);
            self.changes_sender.send_modify(|count| *count += 1);
        }
        result
    }
}
