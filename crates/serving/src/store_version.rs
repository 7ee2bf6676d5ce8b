//! Versions of the store's content.

use serde::Deserialize;
use serde::Serialize;

/// Number of bits of a version that hold the revision.
const REVISION_BITS: u32 = 48;
/// Largest revision of a version; the store counts its changes, so it stays far below.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
/// Largest era of a version.
pub const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A revision of the store in one of its eras.
///
/// The store counts its changes by revisions. An era ends when the store comes back from an older
/// copy: the revisions after the copy are then given out again. A version of a later era is therefore
/// later than all versions of earlier ones. Between instances, a version is a single number; without
/// eras, that is the revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// Creates the version of a revision in an era. Larger values than a version can hold are limited
    /// to the largest one.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        let era = if era > MAX_ERA { MAX_ERA } else { era };
        let revision = if revision > MAX_REVISION {
            MAX_REVISION
        } else {
            revision
        };
        Self(era << REVISION_BITS | revision)
    }

    /// Returns the era; 0 if the store names none.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision in its era; 0 if nothing is known yet.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }

    /// Returns the version as instances that know no eras send and expect it.
    #[must_use]
    pub const fn without_era(self) -> Self {
        Self(self.revision())
    }
}
