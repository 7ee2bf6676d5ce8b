//! What a connected peer gets of the store objects.

use arbutus_platform::store::ObjectKind;

/// Whether a connected peer follows this instance, and the store revisions that the peer knows.
#[derive(Debug, Default)]
pub struct FollowState {
    /// Whether the peer gets each change.
    pub is_following: bool,
    /// The revisions that the peer has or has been sent.
    pub known_revisions: Vec<(ObjectKind, u64)>,
    /// Whether the peer understands compressed updates, and acknowledges updates.
    pub accepts_compression: bool,
    /// Number of updates that were sent to a peer that acknowledges them, and that it has not
    /// acknowledged yet.
    pub unacknowledged: u32,
}

impl FollowState {
    /// Creates the state of a peer that does not follow.
    #[must_use]
    pub fn new(known_revisions: Vec<(ObjectKind, u64)>, accepts_compression: bool) -> Self {
        Self {
            is_following: false,
            known_revisions,
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
