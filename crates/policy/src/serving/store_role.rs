//! Whether an instance watches the store itself or follows another instance.
//!
//! An instance watches the store unless another one has confirmed lately that it does and that the
//! store answers it. A new instance to follow is asked first, and the present way to the state of
//! the store is kept until it confirms. Disagreement about whom to follow therefore costs calls to
//! the store, but never a view of it.

use std::collections::BTreeMap;

use arbutus_coord::Millis;

/// How long an instance that the store did not answer is not asked. Outages last for seconds; an
/// instance that is asked too early only refuses again.
const BLIND_MS: Millis = Millis(3_000);
/// A confirmation is good for this time. Changes have to be in force within 2 s, of which the list
/// that is read afterwards takes up to 300 ms from a slow store.
const CONFIRMED_MS: Millis = Millis(900);
/// How often a followed instance is asked to confirm, so that one lost answer costs nothing.
const ASK_MS: Millis = Millis(500);

/// How an instance knows the state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store.
    Watcher,
    /// It follows another instance.
    Follower(String),
}

/// The way of one instance to the state of the store.
#[derive(Debug)]
pub struct StoreRoleState {
    name: String,
    role: StoreRole,
    /// When the followed instance confirmed last.
    confirmed_at: Millis,
    /// The instance to follow next, perhaps the one that is followed.
    candidate: Option<String>,
    /// When each instance was asked last.
    asked_at: BTreeMap<String, Millis>,
    /// Instances that the store did not answer lately, perhaps this one.
    blind_until: BTreeMap<String, Millis>,
}

impl StoreRoleState {
    /// Creates the state of an instance, which watches the store at first.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            role: StoreRole::Watcher,
            confirmed_at: Millis::ZERO,
            candidate: None,
            asked_at: BTreeMap::new(),
            blind_until: BTreeMap::new(),
        }
    }

    /// Returns the role.
    #[must_use]
    pub const fn role(&self) -> &StoreRole {
        &self.role
    }

    /// Returns whether the instance follows another one or has asked whether it may.
    #[must_use]
    pub fn follows_or_asked(&self, peer: &str) -> bool {
        self.candidate.as_deref() == Some(peer) || self.followed() == Some(peer)
    }

    /// Returns whether the store did not answer an instance lately.
    #[must_use]
    pub fn is_store_unreachable_from(&self, now: Millis, name: &str) -> bool {
        let until = self.blind_until.get(name);
        until.is_some_and(|&until| until > now)
    }

    /// Chooses the instance to follow, if any, and returns those to be asked now.
    pub fn update_candidate(&mut self, now: Millis, candidate: Option<&str>) -> Vec<String> {
        if let Some(peer) = self.followed().map(str::to_owned)
            && self.confirmed_at + CONFIRMED_MS < now
        {
            self.record_refusal(now, &peer, true);
        }
        self.candidate = candidate.map(str::to_owned);
        if candidate.is_none() {
            self.role = StoreRole::Watcher;
        }
        let asked = [self.candidate.clone(), self.followed().map(str::to_owned)];
        let mut due: Vec<String> = asked.into_iter().flatten().collect();
        due.dedup();
        self.asked_at.retain(|peer, _| due.contains(peer));
        due.retain(|peer| {
            self.asked_at
                .get(peer)
                .is_none_or(|&asked| asked + ASK_MS <= now)
        });
        for peer in &due {
            self.asked_at.insert(peer.clone(), now);
        }
        due
    }

    /// Records that an instance watches the store, which answers it.
    pub fn record_confirmation(&mut self, now: Millis, peer: &str) {
        self.blind_until.remove(peer);
        if self.candidate.as_deref() == Some(peer) {
            self.role = StoreRole::Follower(peer.to_owned());
        }
        if self.followed() == Some(peer) {
            self.confirmed_at = now;
        }
    }

    /// Records that an instance does not watch the store, or that the store does not answer it.
    pub fn record_refusal(&mut self, now: Millis, peer: &str, store_unreachable: bool) {
        if store_unreachable {
            self.blind_until.insert(peer.to_owned(), now + BLIND_MS);
        }
        if self.followed() == Some(peer) {
            self.role = StoreRole::Watcher;
        }
    }

    /// Records whether the store answers this instance.
    pub fn record_store_status(&mut self, now: Millis, answers: bool) {
        if answers {
            self.blind_until.remove(&self.name);
        } else {
            let until = now + BLIND_MS;
            self.blind_until.insert(self.name.clone(), until);
        }
    }

    fn followed(&self) -> Option<&str> {
        match &self.role {
            StoreRole::Watcher => None,
            StoreRole::Follower(peer) => Some(peer),
        }
    }
}
