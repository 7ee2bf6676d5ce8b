//! Drains of failure domains, instances and targets.
//!
//! Each subject has one entry with a revision. The entry with the highest revision wins, and a
//! tie resolves to drained, so merging is commutative, associative and idempotent: instances
//! converge whatever the order in which entries arrive. A tie arises when two operators order
//! opposite changes on both sides of a partition; taking a subject out of service is then the
//! choice that does no harm to requests.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous::stable_hash;

/// What can be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSubject {
    /// A failure domain with its instances and targets.
    FailureDomain(String),
    /// One instance.
    Instance(String),
    /// One target.
    Target(String),
}

impl DrainSubject {
    /// Returns the name of the subject.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::FailureDomain(name) | Self::Instance(name) | Self::Target(name) => name,
        }
    }

    fn tag(&self) -> u8 {
        match self {
            Self::FailureDomain(_) => 0,
            Self::Instance(_) => 1,
            Self::Target(_) => 2,
        }
    }
}

/// The state of one subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DrainEntry {
    /// What the entry is about.
    pub subject: DrainSubject,
    /// The revision, which rises with each order for the subject.
    pub revision: u64,
    /// Whether the subject is out of service.
    pub drained: bool,
}

impl DrainEntry {
    /// Returns an upper bound of the encoded size, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        // Two lengths or tags, the revision of up to 10 bytes and the state.
        const FIXED_BYTES: usize = 16;
        FIXED_BYTES + self.subject.name().len()
    }

    fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.subject.name().len() + 10);
        bytes.push(self.subject.tag());
        bytes.push(u8::from(self.drained));
        bytes.extend_from_slice(&self.revision.to_be_bytes());
        bytes.extend_from_slice(self.subject.name().as_bytes());
        stable_hash(&bytes)
    }
}

/// A defect of a drain table.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DrainError {
    /// the digest of the drain table does not match its entries
    Digest,
    /// the drain entry of {0} has no revision
    NoRevision(String),
    /// a drain entry has no name
    NoName,
}

impl std::error::Error for DrainError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Value {
    revision: u64,
    drained: bool,
}

/// The drains that an instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainTable {
    entries: BTreeMap<DrainSubject, Value>,
    digest: u64,
}

impl DrainTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges entries, and returns whether the table changed.
    ///
    /// Entries without a name or a revision are ignored.
    pub fn merge(&mut self, entries: &[DrainEntry]) -> bool {
        !self.merge_reporting_changes(entries).is_empty()
    }

    /// Merges entries, and returns those that changed the table.
    pub fn merge_reporting_changes(&mut self, entries: &[DrainEntry]) -> Vec<DrainEntry> {
        entries
            .iter()
            .filter(|entry| self.merge_one(entry))
            .cloned()
            .collect()
    }

    fn merge_one(&mut self, entry: &DrainEntry) -> bool {
        if entry.revision == 0 || entry.subject.name().is_empty() {
            return false;
        }
        let offered = Value {
            revision: entry.revision,
            drained: entry.drained,
        };
        // `Value` orders by revision, then `drained` above not drained.
        if let Some(&present) = self.entries.get(&entry.subject) {
            if present >= offered {
                return false;
            }
            self.digest ^= to_entry(&entry.subject, present).hash();
        }
        self.digest ^= entry.hash();
        self.entries.insert(entry.subject.clone(), offered);
        true
    }

    /// Returns the entry that changes a subject, with a revision above the present one.
    ///
    /// The table is not changed; the caller merges the entry as it merges those of its peers.
    #[must_use]
    pub fn next_entry(&self, subject: DrainSubject, drained: bool) -> DrainEntry {
        let revision = self.entries.get(&subject).map_or(0, |value| value.revision);
        DrainEntry {
            subject,
            revision: revision.saturating_add(1),
            drained,
        }
    }

    /// Returns whether a subject itself is out of service.
    #[must_use]
    pub fn is_drained(&self, subject: &DrainSubject) -> bool {
        self.entries.get(subject).is_some_and(|value| value.drained)
    }

    /// Returns the digest of the entries; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entries in the order of their subjects.
    pub fn entries(&self) -> impl Iterator<Item = DrainEntry> + '_ {
        self.entries
            .iter()
            .map(|(subject, &value)| to_entry(subject, value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Checks the digest and every entry.
    ///
    /// # Errors
    ///
    /// Returns the first defect.
    pub fn verify(&self) -> Result<(), DrainError> {
        let mut digest = 0;
        for entry in self.entries() {
            if entry.subject.name().is_empty() {
                return Err(DrainError::NoName);
            }
            if entry.revision == 0 {
                return Err(DrainError::NoRevision(entry.subject.name().to_owned()));
            }
            digest ^= entry.hash();
        }
        if digest == self.digest {
            Ok(())
        } else {
            Err(DrainError::Digest)
        }
    }
}

fn to_entry(subject: &DrainSubject, value: Value) -> DrainEntry {
    DrainEntry {
        subject: subject.clone(),
        revision: value.revision,
        drained: value.drained,
    }
}
