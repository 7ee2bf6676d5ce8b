//! JSON payloads of the platform's object API.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: String,
    /// The version, which rises with each write to any object.
    pub version: u64,
    /// The content.
    pub value: Value,
}

/// The answer to a list or a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The version of the store that the list reflects.
    pub version: u64,
    /// The objects in the order of their keys.
    pub objects: Vec<Object>,
}

/// The answer to a successful write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The version of the object after the write.
    pub version: u64,
}

/// What an entry of the platform's instance list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EntryKind {
    /// An instance of this system.
    Instance,
    /// A target.
    Target,
}

/// Whether an entry of the platform's instance list stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EntryState {
    /// The entry is live.
    Live,
    /// The entry will go away and takes no new work.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The unique name.
    pub name: String,
    /// What the entry is.
    pub kind: EntryKind,
    /// The service of a target; empty for an instance.
    #[serde(default)]
    pub service: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The address: HTTP for a target, gossip for an instance.
    pub address: String,
    /// Whether the entry stays.
    pub state: EntryState,
}

/// The platform's instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision, which rises with each change.
    pub revision: u64,
    /// The age of the list.
    #[serde(default)]
    pub age_ms: Millis,
    /// The entries in the order of their names.
    pub entries: Vec<ListEntry>,
}
