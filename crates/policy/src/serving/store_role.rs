//! Whether an instance watches the store itself or follows another instance.
//!
//! A watcher gets updates from the store, and a follower gets them from a watcher. An instance
//! watches the store unless another instance has recently confirmed that it is a watcher and that
//! the store responds to it. The instance keeps its current source of updates until a new watcher
//! confirms. When instances disagree about whom to follow, they make more calls to the store than
//! necessary, but none of them stops getting updates.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// How long an instance that the store did not respond to is not followed. Outages last for
/// seconds; an instance that is asked too early only refuses again.
const STORE_UNREACHABLE_MS: Millis = Millis(3_000);
/// How long a confirmation is valid. Changes must take effect within 2 s, of which an instance that
/// becomes a watcher needs up to 300 ms to read the list from a slow store.
const CONFIRMATION_VALID_MS: Millis = Millis(900);
/// Interval at which a watcher is asked to confirm; it is short so that a lost reply costs little.
const ASK_INTERVAL_MS: Millis = Millis(500);

/// Where an instance gets updates of the store from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store itself.
    Watcher,
    /// It gets updates from the watcher of this name.
    Follower(String),
}

/// The store role of one instance, and what it knows of the instances that it may follow.
#[derive(Debug)]
pub struct StoreRoleState {
    name: String,
    role: StoreRole,
    /// When the watcher confirmed last.
    confirmed_at: Millis,
    /// The watcher to follow once it confirms, which may be followed already; `None` to watch the
    /// store.
    preferred_watcher: Option<String>,
    /// When each instance was last asked to confirm.
    asked_at: BTreeMap<String, Millis>,
    /// Instances that recently could not reach the store, which may include this one.
    store_unreachable_until: BTreeMap<String, Millis>,
}

impl StoreRoleState {
    /// Creates the state of the instance `name`, which watches the store at first.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            role: StoreRole::Watcher,
            confirmed_at: Millis::ZERO,
            preferred_watcher: None,
            asked_at: BTreeMap::new(),
            store_unreachable_until: BTreeMap::new(),
        }
    }

    /// Returns the current role.
    #[must_use]
    pub const fn role(&self) -> &StoreRole {
        &self.role
    }

    /// Returns whether this instance follows `peer` or has asked it whether it may.
    #[must_use]
    pub fn follows_or_asked(&self, peer: &str) -> bool {
        self.preferred_watcher.as_deref() == Some(peer) || self.watcher() == Some(peer)
    }

    /// Returns whether the store recently did not respond to an instance.
    #[must_use]
    pub fn is_store_unreachable_from(&self, now: Millis, name: &str) -> bool {
        let until = self.store_unreachable_until.get(name);
        until.is_some_and(|&until| until > now)
    }

    /// Sets the watcher to follow, or `None` to watch the store, and returns the instances to ask
    /// for a confirmation now.
    ///
    /// An expired confirmation of the current watcher counts as a refusal.
    pub fn set_preferred_watcher(&mut self, now: Millis, preferred: Option<&str>) -> Vec<String> {
        if let Some(peer) = self.watcher().map(str::to_owned)
            && self.confirmed_at + CONFIRMATION_VALID_MS < now
        {
            self.record_refusal(now, &peer, true);
        }
        self.preferred_watcher = preferred.map(str::to_owned);
        if preferred.is_none() {
            self.role = StoreRole::Watcher;
        }
        let asked = [
            self.preferred_watcher.clone(),
            self.watcher().map(str::to_owned),
        ];
        let mut due: Vec<String> = asked.into_iter().flatten().collect();
        due.dedup();
        self.asked_at.retain(|peer, _| due.contains(peer));
        due.retain(|peer| {
            self.asked_at
                .get(peer)
                .is_none_or(|&asked| asked + ASK_INTERVAL_MS <= now)
        });
        for peer in &due {
            self.asked_at.insert(peer.clone(), now);
        }
        due
    }

    /// Records that `peer` watches the store and that the store responds to it.
    pub fn record_confirmation(&mut self, now: Millis, peer: &str) {
        self.store_unreachable_until.remove(peer);
        if self.preferred_watcher.as_deref() == Some(peer) {
            self.role = StoreRole::Follower(peer.to_owned());
        }
        if self.watcher() == Some(peer) {
            self.confirmed_at = now;
        }
    }

    /// Records that a part of an update has arrived from `peer`, which is as good as a confirmation
    /// if this instance follows it: the next confirmation arrives after the update.
    pub fn record_progress(&mut self, now: Millis, peer: &str) {
        if self.watcher() == Some(peer) {
            self.confirmed_at = now;
        }
    }

    /// Records that `peer` cannot be followed.
    ///
    /// `store_unreachable` is true if the store does not respond to it or if it did not reply, and
    /// false if it does not watch the store.
    pub fn record_refusal(&mut self, now: Millis, peer: &str, store_unreachable: bool) {
        if store_unreachable {
            self.store_unreachable_until
                .insert(peer.to_owned(), now + STORE_UNREACHABLE_MS);
        }
        if self.watcher() == Some(peer) {
            self.role = StoreRole::Watcher;
        }
    }

    /// Records whether the store responds to this instance.
    pub fn record_store_status(&mut self, now: Millis, responds: bool) {
        if responds {
            self.store_unreachable_until.remove(&self.name);
        } else {
            let until = now + STORE_UNREACHABLE_MS;
            self.store_unreachable_until
                .insert(self.name.clone(), until);
        }
    }

    fn watcher(&self) -> Option<&str> {
        match &self.role {
            StoreRole::Watcher => None,
            StoreRole::Follower(peer) => Some(peer),
        }
    }
}
