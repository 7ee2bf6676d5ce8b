//! Versioned store objects, and the updates that instances send each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use displaydoc::Display;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

use crate::store_version::StoreVersion;
use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::StoredObject;
use arbutus_wire::frame::MAX_FRAME_BYTES;

/// Maximum number of change sets kept for followers. A follower that is further behind receives all
/// objects.
const MAX_CHANGE_SETS: usize = 64;

/// Smaller updates are sent as they are, since compressing them costs more than it saves.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// An update from an older version of one kind of objects to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The version after the update.
    pub version: StoreVersion,
    /// The difference to the older version, or the complete state.
    pub content: UpdateContent,
    /// Whether objects may be missing only because they expired during a store outage.
    pub after_outage: bool,
}

/// The content of an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// All objects by name.
    Objects(BTreeMap<String, StoredObject>),
    /// The difference to an older version.
    Changes {
        /// The older version.
        from: StoreVersion,
        /// The changes since that version, in order.
        changes: Vec<ObjectChange>,
    },
}

/// Why a compressed update cannot be decoded.
#[derive(Debug, Display)]
pub enum UpdateError {
    /// cannot compress or decompress the update: {0}
    Compression(io::Error),
    /// the decompressed update is larger than a frame may be
    TooLarge,
    /// malformed update: {0}
    Encoding(postcard::Error),
}

impl std::error::Error for UpdateError {}

impl StateUpdate {
    /// Encodes and compresses the update.
    ///
    /// # Errors
    ///
    /// Returns an error when the update cannot be encoded.
    pub fn compress(&self) -> Result<Bytes, UpdateError> {
        let encoded = postcard::to_stdvec(self).map_err(UpdateError::Encoding)?;
        let mut compressor = DeflateEncoder::new(Vec::new(), Compression::fast());
        compressor
            .write_all(&encoded)
            .map_err(UpdateError::Compression)?;
        let compressed = compressor.finish().map_err(UpdateError::Compression)?;
        Ok(compressed.into())
    }

    /// Decodes an update that [`StateUpdate::compress`] has encoded.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are malformed, or when the update is larger than a frame may
    /// be.
    pub fn decompress(compressed: &[u8]) -> Result<Self, UpdateError> {
        let mut encoded = Vec::new();
        DeflateDecoder::new(compressed)
            .take(MAX_FRAME_BYTES as u64 + 1)
            .read_to_end(&mut encoded)
            .map_err(UpdateError::Compression)?;
        if encoded.len() > MAX_FRAME_BYTES {
            return Err(UpdateError::TooLarge);
        }
        postcard::from_bytes(&encoded).map_err(UpdateError::Encoding)
    }

    /// Returns the update as instances that know no eras expect it.
    #[must_use]
    pub fn without_era(mut self) -> Self {
        self.version = self.version.without_era();
        if let UpdateContent::Changes { from, .. } = &mut self.content {
            *from = from.without_era();
        }
        self
    }

    /// Returns whether the update is so large that it should be sent compressed.
    #[must_use]
    pub fn is_worth_compressing(&self) -> bool {
        let content_bytes: usize = match &self.content {
            UpdateContent::Objects(objects) => {
                objects.values().map(|object| object.content.len()).sum()
            }
            UpdateContent::Changes { changes, .. } => {
                let written = changes.iter().map(|change| match change {
                    ObjectChange::Written(object) => object.content.len(),
                    ObjectChange::Removed(_) => 0,
                });
                written.sum()
            }
        };
        content_bytes >= MIN_COMPRESSED_BYTES
    }
}

/// The changes from one version to another.
#[derive(Debug)]
struct ChangeSet {
    from: StoreVersion,
    to: StoreVersion,
    changes: Vec<ObjectChange>,
}

fn change_name(change: &ObjectChange) -> &str {
    match change {
        ObjectChange::Written(object) => &object.name,
        ObjectChange::Removed(name) => name,
    }
}

/// The objects of one kind at a version, with the history of recent changes.
#[derive(Debug, Default)]
pub struct ObjectCache {
    version: StoreVersion,
    objects: BTreeMap<String, StoredObject>,
    history: VecDeque<ChangeSet>,
}

impl ObjectCache {
    /// Returns the version; revision 0 if nothing is known yet.
    #[must_use]
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the objects by name.
    #[must_use]
    pub const fn objects(&self) -> &BTreeMap<String, StoredObject> {
        &self.objects
    }

    /// Replaces all objects unless the given ones are older; returns whether they were replaced.
    pub fn replace(
        &mut self,
        version: StoreVersion,
        objects: BTreeMap<String, StoredObject>,
    ) -> bool {
        // The response to an older list call may arrive late and must not undo newer changes.
        if version < self.version {
            return false;
        }
        self.version = version;
        self.objects = objects;
        self.history.clear();
        true
    }

    /// Applies changes and advances to their version. Changes of an earlier era change nothing;
    /// returns whether they were applied.
    pub fn apply_changes(&mut self, version: StoreVersion, changes: Vec<ObjectChange>) -> bool {
        if version.era() < self.version.era() {
            return false;
        }
        let from = self.version;
        self.version = self.version.max(version);
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
        // Followers need only the last change of an object.
        let superseded: BTreeSet<&str> = changes.iter().map(change_name).collect();
        for change_set in &mut self.history {
            change_set
                .changes
                .retain(|earlier| !superseded.contains(change_name(earlier)));
        }
        let to = version;
        self.history.push_back(ChangeSet { from, to, changes });
        while self.history.len() > MAX_CHANGE_SETS {
            self.history.pop_front();
        }
        true
    }

    /// Returns the update from a version to the current one, or `None` if the version is current.
    #[must_use]
    pub fn update_since(&self, version: StoreVersion, after_outage: bool) -> Option<StateUpdate> {
        if self.version <= version {
            return None;
        }
        let mut newer_sets = self
            .history
            .iter()
            .filter(|change_set| change_set.to > version)
            .peekable();
        let is_covered = newer_sets.peek().is_some_and(|first| first.from <= version);
        let content = if is_covered {
            UpdateContent::Changes {
                from: version,
                changes: newer_sets
                    .flat_map(|change_set| change_set.changes.clone())
                    .collect(),
            }
        } else {
            UpdateContent::Objects(self.objects.clone())
        };
        Some(StateUpdate {
            version: self.version,
            content,
            after_outage,
        })
    }

    /// Returns whether an update can be applied: it starts at the current version or an older one,
    /// and ends at a newer one.
    ///
    /// An update that starts at a newer version follows one that was missed. Applying it would
    /// leave objects missing. The next [`crate::peer_messages::PeerCommand::Follow`] names the current
    /// version, and the reply contains everything since then.
    #[must_use]
    pub fn can_apply(&self, update: &StateUpdate) -> bool {
        let from = match update.content {
            UpdateContent::Objects(_) => StoreVersion::default(),
            UpdateContent::Changes { from, .. } => from,
        };
        from <= self.version && self.version < update.version
    }
}
