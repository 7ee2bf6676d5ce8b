//! What instances tell each other of the state of the store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::StoredObject;

/// The objects of a kind at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the store.
    pub revision: u64,
    /// The objects by name.
    pub objects: BTreeMap<String, StoredObject>,
}

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
    /// The changes since the older state.
    Changes(Vec<ObjectChange>),
}

/// Changes that led from one revision to another.
#[derive(Debug)]
pub struct PastChanges {
    /// The older revision.
    pub from: u64,
    /// The newer revision.
    pub to: u64,
    /// The changes in order.
    pub changes: Vec<ObjectChange>,
}
