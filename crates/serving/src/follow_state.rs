//! What a peer that follows this instance has been sent.

use crate::store_version::StoreVersion;
use arbutus_platform::store::ObjectKind;

/// Whether a connected peer follows this instance, and the versions that the peer knows.
#[derive(Debug, Default)]
pub struct FollowState {
    /// Whether the peer follows.
    pub is_following: bool,
    /// The versions of the store objects that the peer knows.
    pub known_versions: Vec<(ObjectKind, StoreVersion)>,
    /// Whether the peer knows eras of the store. The versions of others have none.
    pub knows_eras: bool,
    /// Whether the peer understands compressed updates.
    pub accepts_compression: bool,
    /// Number of updates that were sent to a peer that acknowledges them, and that it has not
    /// acknowledged yet.
    pub unacknowledged: u32,
}

impl FollowState {
    /// Creates the state of a peer that does not follow yet and knows these versions.
    #[must_use]
    pub fn new(known_versions: Vec<(ObjectKind, StoreVersion)>, accepts_compression: bool) -> Self {
        Self {
            is_following: false,
            known_versions,
            knows_eras: false,
            accepts_compression,
            unacknowledged: 0,
        }
    }

    /// Returns whether an update is on its way to a follower. The revisions that it names are then
    /// older than what it has been sent.
    #[must_use]
    pub fn awaits_acknowledgement(&self) -> bool {
        self.is_following && self.unacknowledged > 0
    }
}
