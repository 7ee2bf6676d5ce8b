//! JSON payloads of the platform's object store and of its instance list.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use strum::Display;
use strum::EnumString;

use arbutus_coord::Millis;

/// An object of the platform's store with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: String,
    /// The version of the object, which is the version of the store after the last write to it.
    pub version: u64,
    /// The content, or `null` for an object that was deleted.
    pub value: Value,
}

/// The response to a list or watch request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The version of the store at which the list was read; it rises with each write to any object.
    pub version: u64,
    /// The objects, sorted by key.
    pub objects: Vec<Object>,
}

/// The response to a successful write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The version of the object after the write, see [`Object::version`].
    pub version: u64,
}

/// The kind of an entry in the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EntryKind {
    /// An instance of this system.
    Instance,
    /// A target.
    Target,
}

/// Whether an instance or target in the platform's instance list takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EntryState {
    /// It takes new work.
    Live,
    /// It will be removed and takes no new work.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The unique name of the instance or target.
    pub name: String,
    /// Whether this is an instance or a target.
    pub kind: EntryKind,
    /// The service of a target; empty for an instance.
    #[serde(default)]
    pub service: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The HTTP address of a target, or the address of an instance for other instances.
    pub address: String,
    /// Whether the instance or target takes new work.
    pub state: EntryState,
}

/// The platform's instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision, which rises with each change of the list.
    pub revision: u64,
    /// The age of the state that the list reflects.
    #[serde(default)]
    pub age_ms: Millis,
    /// The entries, sorted by name.
    pub entries: Vec<ListEntry>,
}
