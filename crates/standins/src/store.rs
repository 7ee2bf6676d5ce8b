//! Data of the stand-in for the platform: objects with versions, and the history of the instance
//! list.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde_json::Value;

use arbutus_coord::Millis;
use arbutus_wire::platform::InstanceList;
use arbutus_wire::platform::ListEntry;
use arbutus_wire::platform::Object;
use arbutus_wire::platform::ObjectList;

/// Number of states of the instance list that are kept, which limits how old a served list can be.
const MAX_LIST_STATES: usize = 256;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The write always takes effect.
    Any,
    /// The object does not exist.
    Absent,
    /// The object exists and has this version.
    Version(u64),
}

/// Why a write did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The condition does not hold.
    Mismatch,
    /// The object to delete does not exist.
    Absent,
}

/// One state of an object; the value of a deleted object is `None`.
#[derive(Clone, Debug)]
struct ObjectVersion {
    version: u64,
    value: Option<Value>,
}

#[derive(Clone, Debug)]
struct Entry {
    current: ObjectVersion,
    previous: Option<ObjectVersion>,
}

/// Objects by key, each with its state before the last write.
///
/// Deleted objects keep an entry, so that watches report the deletion.
#[derive(Clone, Debug, Default)]
pub struct Store {
    version: u64,
    entries: BTreeMap<String, Entry>,
}

impl Store {
    /// Returns the version of the last write to any object; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of objects that are not deleted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.current.value.is_some())
            .count()
    }

    /// Returns whether the store holds no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the current state of an object, or `None` if it does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Object> {
        to_object(key, &self.entries.get(key)?.current)
    }

    /// Returns an object as it was before its last write, or `None` if it did not exist then.
    #[must_use]
    pub fn get_previous(&self, key: &str) -> Option<Object> {
        to_object(key, self.entries.get(key)?.previous.as_ref()?)
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold.
    pub fn put(
        &mut self,
        key: &str,
        condition: WriteCondition,
        value: Value,
    ) -> Result<u64, WriteError> {
        self.check_condition(key, condition)?;
        Ok(self.write(key, Some(value)))
    }

    /// Deletes an object and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold or the object does not exist.
    pub fn delete(&mut self, key: &str, condition: WriteCondition) -> Result<u64, WriteError> {
        self.check_condition(key, condition)?;
        if self.get(key).is_none() {
            return Err(WriteError::Absent);
        }
        Ok(self.write(key, None))
    }

    /// Returns the objects whose keys start with a prefix.
    #[must_use]
    pub fn list(&self, prefix: &str) -> ObjectList {
        self.select(prefix, |entry| Some(&entry.current))
    }

    /// Returns the objects whose keys start with a prefix as they were before their last write,
    /// without those that did not exist before it.
    #[must_use]
    pub fn list_previous(&self, prefix: &str) -> ObjectList {
        self.select(prefix, |entry| entry.previous.as_ref())
    }

    /// Returns the objects with this key prefix that changed after a version.
    ///
    /// The value of a deleted object is `null`.
    #[must_use]
    pub fn changed_after(&self, prefix: &str, after: u64) -> ObjectList {
        let objects = self
            .with_prefix(prefix)
            .filter(|(_, entry)| entry.current.version > after)
            .map(|(key, entry)| Object {
                key: key.clone(),
                version: entry.current.version,
                value: entry.current.value.clone().unwrap_or(Value::Null),
            })
            .collect();
        ObjectList {
            version: self.version,
            objects,
        }
    }

    fn select(
        &self,
        prefix: &str,
        choose_version: impl Fn(&Entry) -> Option<&ObjectVersion>,
    ) -> ObjectList {
        let objects = self
            .with_prefix(prefix)
            .filter_map(|(key, entry)| to_object(key, choose_version(entry)?))
            .collect();
        ObjectList {
            version: self.version,
            objects,
        }
    }

    fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn check_condition(&self, key: &str, condition: WriteCondition) -> Result<(), WriteError> {
        let version = self.get(key).map(|object| object.version);
        let holds = match condition {
            WriteCondition::Any => true,
            WriteCondition::Absent => version.is_none(),
            WriteCondition::Version(expected) => version == Some(expected),
        };
        if holds {
            Ok(())
        } else {
            Err(WriteError::Mismatch)
        }
    }

    fn write(&mut self, key: &str, value: Option<Value>) -> u64 {
        self.version += 1;
        let current = ObjectVersion {
            version: self.version,
            value,
        };
        let previous = self.entries.remove(key).map(|entry| entry.current);
        let entry = Entry { current, previous };
        self.entries.insert(key.to_owned(), entry);
        self.version
    }
}

fn to_object(key: &str, state: &ObjectVersion) -> Option<Object> {
    Some(Object {
        key: key.to_owned(),
        version: state.version,
        value: state.value.clone()?,
    })
}

/// The instance list and its recent states, so that an older state can be served.
#[derive(Clone, Debug, Default)]
pub struct InstanceListHistory {
    entries: BTreeMap<String, ListEntry>,
    revision: u64,
    states: VecDeque<(Millis, InstanceList)>,
}

impl InstanceListHistory {
    /// Adds or replaces an entry and returns the revision of the list.
    pub fn put(&mut self, now: Millis, entry: ListEntry) -> u64 {
        if self.entries.get(&entry.name) != Some(&entry) {
            self.entries.insert(entry.name.clone(), entry);
            self.record_state(now);
        }
        self.revision
    }

    /// Removes an entry and returns the revision of the list.
    pub fn remove(&mut self, now: Millis, name: &str) -> u64 {
        if self.entries.remove(name).is_some() {
            self.record_state(now);
        }
        self.revision
    }

    /// Returns the list as it was `lag` before `now`; it is empty if it had no entries yet.
    #[must_use]
    pub fn list_at(&self, now: Millis, lag: Millis) -> InstanceList {
        let newest = self
            .states
            .iter()
            .rev()
            .find(|(changed_at, _)| *changed_at + lag <= now);
        let mut list = newest.map(|(_, list)| list.clone()).unwrap_or_default();
        list.age_ms = lag;
        list
    }

    fn record_state(&mut self, now: Millis) {
        self.revision += 1;
        let list = InstanceList {
            revision: self.revision,
            age_ms: Millis::ZERO,
            entries: self.entries.values().cloned().collect(),
        };
        self.states.push_back((now, list));
        if self.states.len() > MAX_LIST_STATES {
            self.states.pop_front();
        }
    }
}
