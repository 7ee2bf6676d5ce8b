//! The drain table: which failure domains, instances and targets are out of service.
//!
//! The table holds one entry for each subject, which is a failure domain, an instance or a target.
//! An entry has a revision. The entry with the highest revision wins, and a tie resolves to
//! drained. Merging is therefore commutative, associative and idempotent, and instances converge in
//! whatever order entries arrive. A tie occurs when two operators make opposite changes on the two
//! sides of a partition; keeping the subject out of service is then safe, since requests go
//! elsewhere.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous::stable_hash;

/// A part of the system that can be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSubject {
    /// All instances and targets of the failure domain with this name.
    FailureDomain(String),
    /// The instance with this name.
    Instance(String),
    /// The target with this name.
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

    fn hash_tag(&self) -> u8 {
        match self {
            Self::FailureDomain(_) => 0,
            Self::Instance(_) => 1,
            Self::Target(_) => 2,
        }
    }
}

/// One entry of the drain table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DrainEntry {
    /// The subject that is drained or returned to service.
    pub subject: DrainSubject,
    /// The revision, which starts at 1 and increases with each change of the entry.
    pub revision: u64,
    /// Whether the subject is out of service.
    pub drained: bool,
}

impl DrainEntry {
    /// Returns an upper bound on the encoded size, in bytes.
    #[must_use]
    pub fn max_encoded_bytes(&self) -> usize {
        // An upper bound for the variant of the subject, the length of its name, the revision
        // (up to 10 bytes) and the flag.
        const FIXED_BYTES: usize = 16;
        FIXED_BYTES + self.subject.name().len()
    }

    fn hash(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.subject.name().len() + 10);
        bytes.push(self.subject.hash_tag());
        bytes.push(u8::from(self.drained));
        bytes.extend_from_slice(&self.revision.to_be_bytes());
        bytes.extend_from_slice(self.subject.name().as_bytes());
        stable_hash(&bytes)
    }
}

/// An inconsistency in a drain table.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DrainError {
    /// the digest of the drain table does not match its entries
    DigestMismatch,
    /// the revision of the drain entry for {0} is 0
    ZeroRevision(String),
    /// the name of a drain subject is empty
    EmptyName,
}

impl std::error::Error for DrainError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrainState {
    revision: u64,
    drained: bool,
}

/// The drain entries that an instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainTable {
    entries: BTreeMap<DrainSubject, DrainState>,
    digest: u64,
}

impl DrainTable {
    /// Creates a table without entries.
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
            .filter(|entry| self.merge_entry(entry))
            .cloned()
            .collect()
    }

    fn merge_entry(&mut self, entry: &DrainEntry) -> bool {
        if entry.revision == 0 || entry.subject.name().is_empty() {
            return false;
        }
        let new = DrainState {
            revision: entry.revision,
            drained: entry.drained,
        };
        // `DrainState` is ordered by revision; at the same revision, `drained: true` is greater.
        if let Some(&current) = self.entries.get(&entry.subject) {
            if current >= new {
                return false;
            }
            self.digest ^= to_entry(&entry.subject, current).hash();
        }
        self.digest ^= entry.hash();
        self.entries.insert(entry.subject.clone(), new);
        true
    }

    /// Builds the entry that drains a subject or returns it to service.
    ///
    /// Its revision is one above the current one of the subject. The table does not change; the
    /// caller merges the entry as it merges those of its peers.
    #[must_use]
    pub fn next_entry(&self, subject: DrainSubject, drained: bool) -> DrainEntry {
        let revision = self.entries.get(&subject).map_or(0, |state| state.revision);
        DrainEntry {
            subject,
            revision: revision.saturating_add(1),
            drained,
        }
    }

    /// Returns whether a subject is drained by its own entry.
    ///
    /// The failure domain of an instance or target is a subject of its own and is not considered.
    #[must_use]
    pub fn is_drained(&self, subject: &DrainSubject) -> bool {
        self.entries.get(subject).is_some_and(|state| state.drained)
    }

    /// Returns the hash of all entries; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all entries, sorted by subject.
    pub fn entries(&self) -> impl Iterator<Item = DrainEntry> + '_ {
        self.entries
            .iter()
            .map(|(subject, &state)| to_entry(subject, state))
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

    /// Checks that every entry is valid and that the digest matches the entries.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn verify(&self) -> Result<(), DrainError> {
        let mut digest = 0;
        for entry in self.entries() {
            if entry.subject.name().is_empty() {
                return Err(DrainError::EmptyName);
            }
            if entry.revision == 0 {
                return Err(DrainError::ZeroRevision(entry.subject.name().to_owned()));
            }
            digest ^= entry.hash();
        }
        if digest == self.digest {
            Ok(())
        } else {
            Err(DrainError::DigestMismatch)
        }
    }
}

fn to_entry(subject: &DrainSubject, state: DrainState) -> DrainEntry {
    DrainEntry {
        subject: subject.clone(),
        revision: state.revision,
        drained: state.drained,
    }
}
