//! What an instance knows of a kind of objects in the store, and what it tells others of it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::StoredObject;

/// The changes that are kept for followers; one that lags further gets all objects.
const KEPT_CHANGES: usize = 64;

/// What leads from an older state of a kind to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The revision that it leads to.
    pub revision: u64,
    /// The changes, or all objects.
    pub content: UpdateContent,
    /// Whether missing entries may only have lapsed because the store was away.
    pub after_outage: bool,
}

/// The content of an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// All objects.
    Objects(BTreeMap<String, StoredObject>),
    /// Changes.
    Changes {
        /// The revision of the older state.
        from: u64,
        /// The changes since that revision, in order.
        changes: Vec<ObjectChange>,
    },
}

/// Changes that led from one revision to another.
#[derive(Debug)]
struct PastChanges {
    from: u64,
    to: u64,
    changes: Vec<ObjectChange>,
}

/// The objects of a kind at a revision, and the last changes.
#[derive(Debug, Default)]
pub struct KnownObjects {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
    history: VecDeque<PastChanges>,
}

impl KnownObjects {
    /// Returns the revision.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the objects by name.
    #[must_use]
    pub const fn objects(&self) -> &BTreeMap<String, StoredObject> {
        &self.objects
    }

    /// Replaces all objects; returns whether the given ones are not older.
    pub fn replace(&mut self, revision: u64, objects: BTreeMap<String, StoredObject>) -> bool {
        // A list that an earlier call left behind must not undo newer changes.
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.objects = objects;
        self.history.clear();
        true
    }

    /// Applies changes that lead to a revision.
    pub fn change(&mut self, revision: u64, changes: Vec<ObjectChange>) {
        let from = self.revision;
        self.revision = self.revision.max(revision);
        for change in &changes {
            match change {
                ObjectChange::Written(object) => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
                ObjectChange::Removed(name) => {
                    self.objects.remove(name);
                }
            }
        }
        let to = revision;
        self.history.push_back(PastChanges { from, to, changes });
        while self.history.len() > KEPT_CHANGES {
            self.history.pop_front();
        }
    }

    /// Returns what leads from a revision to the present state, if that is newer.
    #[must_use]
    pub fn newer_than(&self, revision: u64, after_outage: bool) -> Option<StateUpdate> {
        if self.revision <= revision {
            return None;
        }
        let mut newer = self
            .history
            .iter()
            .filter(|past| past.to > revision)
            .peekable();
        let is_kept = newer.peek().is_some_and(|first| first.from <= revision);
        let content = if is_kept {
            UpdateContent::Changes {
                from: revision,
                changes: newer.flat_map(|past| past.changes.clone()).collect(),
            }
        } else {
            UpdateContent::Objects(self.objects.clone())
        };
        Some(StateUpdate {
            revision: self.revision,
            content,
            after_outage,
        })
    }

    /// Returns whether an update leads from the present state, or an older one, to a newer one.
    ///
    /// An update before it may not have been taken over; then the changes between are missing, and
    /// all that is not known has to be asked for.
    #[must_use]
    pub const fn continues(&self, update: &StateUpdate) -> bool {
        let from = match update.content {
            UpdateContent::Objects(_) => 0,
            UpdateContent::Changes { from, .. } => from,
        };
        from <= self.revision && self.revision < update.revision
    }
}
