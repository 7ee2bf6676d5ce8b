//! Versioned documents: the configuration and the target list of a failure domain.
//!
//! A higher version replaces a lower one, and a lower version is never applied. Two different
//! contents with the same version are a fault of the writer (for example, a platform that was
//! restored from a backup). They are counted, and the content with the smaller digest wins: every
//! instance then ends up with the same content, and exchanges between instances come to rest.

mod delta;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous::stable_hash;

pub use delta::Delta;
pub use delta::DeltaError;
pub use delta::DeltaPart;

/// The number of older contents from which a document's holder can compute a difference.
const HISTORY_LEN: usize = 4;

/// The largest content that results from a difference; the platform stores values of up to 1 MB.
const MAX_CONTENT_BYTES: usize = 4 * 1024 * 1024;

/// The kind of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration; its version is the generation.
    Configuration,
    /// The targets of a failure domain; the version is the revision of the platform's list.
    TargetList {
        /// The name of the failure domain.
        failure_domain: String,
    },
}

/// The version of a document with a digest of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The number, 0 when there is no document.
    pub number: u64,
    /// The digest of the content.
    pub content_hash: u64,
}

impl Version {
    /// Returns whether a document of this version replaces one of the other version.
    #[must_use]
    pub fn replaces(self, other: Self) -> bool {
        self.number > other.number
            || (self.number == other.number
                && self.number > 0
                && self.content_hash < other.content_hash)
    }
}

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind.
    pub kind: DocumentKind,
    /// The number of the version, 1 or above.
    pub number: u64,
    /// The content.
    pub content: Vec<u8>,
}

impl Document {
    /// Returns the version with the digest of the content.
    #[must_use]
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            content_hash: stable_hash(&self.content),
        }
    }
}

/// The versions that are piggybacked on messages between instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: Version,
    /// The version of the target list of the sender's failure domain.
    pub target_list: Version,
}

/// An answer to an instance that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The asked instance has nothing newer.
    NotNewer,
    /// The whole document.
    Full(Document),
    /// The difference from the version that the asking instance holds.
    Delta(DocumentKind, Delta),
}

/// The result of offering a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document replaced the present one.
    Applied,
    /// The document is the present one.
    Same,
    /// The document has a lower version and was not applied.
    Older,
    /// The document has the present version with another content, and was not applied.
    Conflict,
}

#[derive(Clone, Debug)]
struct Held {
    document: Document,
    version: Version,
    history: VecDeque<(Version, Vec<u8>)>,
}

/// The documents that an instance holds, one of each kind.
#[derive(Clone, Debug)]
pub struct DocumentStore {
    target_list_kind: DocumentKind,
    documents: BTreeMap<DocumentKind, Held>,
    conflicts: u64,
}

impl DocumentStore {
    /// Creates an empty store for an instance in a failure domain.
    #[must_use]
    pub fn new(failure_domain: &str) -> Self {
        Self {
            target_list_kind: DocumentKind::TargetList {
                failure_domain: failure_domain.to_owned(),
            },
            documents: BTreeMap::new(),
            conflicts: 0,
        }
    }

    /// Offers a document, which is applied only when its version replaces the present one.
    pub fn offer(&mut self, document: &Document) -> OfferOutcome {
        let offered = document.version();
        let present = self.version(&document.kind);
        let conflict =
            offered.number == present.number && offered.content_hash != present.content_hash;
        if offered.number > 0 && conflict {
            self.conflicts += 1;
        }
        if !offered.replaces(present) {
            return match (conflict, offered == present) {
                (_, true) => OfferOutcome::Same,
                (true, false) => OfferOutcome::Conflict,
                (false, false) => OfferOutcome::Older,
            };
        }
        self.replace(document, offered);
        OfferOutcome::Applied
    }

    fn replace(&mut self, document: &Document, version: Version) {
        let history = match self.documents.remove(&document.kind) {
            Some(held) => {
                let mut history = held.history;
                history.push_front((held.version, held.document.content));
                history.truncate(HISTORY_LEN);
                history
            }
            None => VecDeque::new(),
        };
        let held = Held {
            document: document.clone(),
            version,
            history,
        };
        self.documents.insert(document.kind.clone(), held);
    }

    /// Returns the document of a kind.
    #[must_use]
    pub fn get(&self, kind: &DocumentKind) -> Option<&Document> {
        self.documents.get(kind).map(|held| &held.document)
    }

    /// Returns the version of a kind, with the number 0 when there is no document.
    #[must_use]
    pub fn version(&self, kind: &DocumentKind) -> Version {
        self.documents
            .get(kind)
            .map_or_else(Version::default, |held| held.version)
    }

    /// Returns the kind of the target list of the instance's own failure domain.
    #[must_use]
    pub fn target_list_kind(&self) -> &DocumentKind {
        &self.target_list_kind
    }

    /// Returns the versions to piggyback.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.version(&DocumentKind::Configuration),
            target_list: self.version(&self.target_list_kind),
        }
    }

    /// Returns how often two contents with the same version were seen.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns what an instance that holds a version needs.
    #[must_use]
    pub fn reply_to_fetch(&self, kind: &DocumentKind, held_by_peer: Version) -> DocumentReply {
        let Some(held) = self.documents.get(kind) else {
            return DocumentReply::NotNewer;
        };
        if !held.version.replaces(held_by_peer) {
            return DocumentReply::NotNewer;
        }
        let base = held.history.iter().find(|(old, _)| *old == held_by_peer);
        let difference = match base {
            Some((version, content)) => Delta::between(*version, content, &held.document),
            None => None,
        };
        match difference {
            Some(difference) => DocumentReply::Delta(kind.clone(), difference),
            None => DocumentReply::Full(held.document.clone()),
        }
    }

    /// Applies what a peer transferred.
    ///
    /// # Errors
    ///
    /// Returns an error when a difference does not apply; the present document stays, and the
    /// caller asks for the whole document by naming no version.
    pub fn apply_reply(&mut self, transfer: &DocumentReply) -> Result<OfferOutcome, DeltaError> {
        match transfer {
            DocumentReply::NotNewer => Ok(OfferOutcome::Same),
            DocumentReply::Full(document) => Ok(self.offer(document)),
            DocumentReply::Delta(kind, difference) => {
                let held = self.documents.get(kind).ok_or(DeltaError::OtherBase)?;
                let document = difference.apply(&held.document, held.version)?;
                Ok(self.offer(&document))
            }
        }
    }
}
