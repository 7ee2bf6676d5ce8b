//! When a pending watch of the store has to be checked.
//!
//! A store can lose the response of a watch and leave the connection open, which looks like a watch
//! that waits for a change. Therefore the revision of the store is read on another connection. A
//! watch that does not reach this revision has lost its response, or the changes up to it are not
//! of its kind; a call that returns at once tells which.

use std::collections::BTreeSet;

use arbutus_coord::Millis;

/// How long the response of a watch may take after the store was read at a later revision. A slow
/// store takes up to 300 ms.
const RESPONSE_GRACE_MS: Millis = Millis(300);

/// Number of revisions that are remembered; older ones cost a check each.
const MAX_REPORTED_CHANGES: usize = 1_024;

/// Revisions of the store whose change a watch of any kind has reported. Each change has a revision
/// of its own, so a watch of another kind does not miss it.
#[derive(Debug, Default)]
pub struct ReportedChanges {
    revisions: BTreeSet<u64>,
}

impl ReportedChanges {
    /// Records the revision of a change.
    pub fn record(&mut self, revision: u64) {
        self.revisions.insert(revision);
        if self.revisions.len() > MAX_REPORTED_CHANGES {
            self.revisions.pop_first();
        }
    }

    /// Returns the latest revision up to which each change after `revision` was reported.
    fn reported_until(&self, revision: u64) -> u64 {
        let mut until = revision;
        while until
            .checked_add(1)
            .is_some_and(|next| self.revisions.contains(&next))
        {
            until += 1;
        }
        until
    }
}

/// A watch that waits for changes after a revision.
#[derive(Clone, Copy, Debug)]
pub struct PendingWatch {
    revision: u64,
    /// The latest known revision of the store.
    store_revision: u64,
    /// When the store was first known to be at a later revision.
    behind_since: Option<Millis>,
}

impl PendingWatch {
    /// Creates a watch for changes after `revision`.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self {
            revision,
            store_revision: revision,
            behind_since: None,
        }
    }

    /// Returns the revision up to which all changes of the kind are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that the store was at `revision`, read up to date.
    pub fn record_store_revision(&mut self, now: Millis, revision: u64) {
        self.store_revision = self.store_revision.max(revision);
        if revision > self.revision {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns when the watch has to be checked; `None` if it has reached the known revision of the
    /// store.
    #[must_use]
    pub fn check_due_at(&self) -> Option<Millis> {
        self.behind_since.map(|since| since + RESPONSE_GRACE_MS)
    }

    /// Returns whether all changes up to the known revision of the store are of other kinds, which
    /// makes a check unnecessary, and records that.
    pub fn is_explained_by(&mut self, reported: &ReportedChanges) -> bool {
        self.revision = reported.reported_until(self.revision);
        let is_explained = self.revision >= self.store_revision;
        if is_explained {
            self.behind_since = None;
        }
        is_explained
    }

    /// Records a check that found no change of the kind up to `revision`.
    pub fn record_unchanged(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.behind_since = None;
    }
}
