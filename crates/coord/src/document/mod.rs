//! Versioned documents: the configuration and the target list of a failure domain.
//!
//! A document is replaced by one with a higher version number, never by one with a lower number.
//! Documents with the same number and different contents are caused by a faulty writer (for
//! example, a platform that was restored from a backup). They are counted as conflicts, and the
//! content with the smaller hash wins. All instances then converge on the same content and stop
//! fetching the document from each other.

mod delta;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous::stable_hash;

pub use delta::Delta;
pub use delta::DeltaError;
pub use delta::DeltaPart;

/// The number of previous contents that are kept for each document, as bases of deltas.
const HISTORY_LEN: usize = 4;

/// The largest content that a delta may produce. It exceeds the platform's limit of 1 MB for a
/// stored value.
const MAX_CONTENT_BYTES: usize = 4 * 1024 * 1024;

/// The kind of a document; an instance holds at most one document of each kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration; its version number is the generation.
    Configuration,
    /// The targets of a failure domain; the version number is the revision of the platform's list.
    TargetList {
        /// The name of the failure domain.
        failure_domain: String,
    },
}

/// The version number of a document and the hash of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version number, or 0 when there is no document.
    pub number: u64,
    /// The hash of the content, which decides between two contents with the same number.
    pub content_hash: u64,
}

impl Version {
    /// Returns whether a document of this version replaces a document of the other version.
    #[must_use]
    pub fn replaces(self, other: Self) -> bool {
        self.number > other.number
            || (self.number == other.number
                && self.number > 0
                && self.content_hash < other.content_hash)
    }
}

/// A document with its version number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind.
    pub kind: DocumentKind,
    /// The version number, 1 or above.
    pub number: u64,
    /// The encoded content, which this module does not interpret.
    pub content: Vec<u8>,
}

impl Document {
    /// Returns the version number and the hash of the content.
    #[must_use]
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            content_hash: stable_hash(&self.content),
        }
    }
}

/// The document versions of an instance, which it piggybacks on messages to other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: Version,
    /// The version of the target list of the sender's failure domain.
    pub target_list: Version,
}

/// The reply to an instance that fetches a newer document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The replying instance does not have a newer document.
    NotNewer,
    /// The whole document.
    Full(Document),
    /// The delta from the version that the requester named.
    Delta(DocumentKind, Delta),
}

/// The result of [`DocumentStore::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document replaced the current one.
    Applied,
    /// The document equals the current one.
    Same,
    /// The document has a lower version number than the current one and was not applied.
    Older,
    /// The document has the current version number with other content and was not applied.
    Conflict,
}

#[derive(Clone, Debug)]
struct StoredDocument {
    document: Document,
    version: Version,
    history: VecDeque<(Version, Vec<u8>)>,
}

/// The documents that an instance holds, one of each kind.
#[derive(Clone, Debug)]
pub struct DocumentStore {
    target_list_kind: DocumentKind,
    documents: BTreeMap<DocumentKind, StoredDocument>,
    conflicts: u64,
}

impl DocumentStore {
    /// Creates an empty store for an instance in the given failure domain.
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

    /// Applies a document if its version replaces the current one.
    pub fn offer(&mut self, document: &Document) -> OfferOutcome {
        let offered = document.version();
        let current = self.version(&document.kind);
        let conflict =
            offered.number == current.number && offered.content_hash != current.content_hash;
        if offered.number > 0 && conflict {
            self.conflicts += 1;
        }
        if !offered.replaces(current) {
            return match (conflict, offered == current) {
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
            Some(previous) => {
                let mut history = previous.history;
                history.push_front((previous.version, previous.document.content));
                history.truncate(HISTORY_LEN);
                history
            }
            None => VecDeque::new(),
        };
        let stored = StoredDocument {
            document: document.clone(),
            version,
            history,
        };
        self.documents.insert(document.kind.clone(), stored);
    }

    /// Returns the current document of a kind.
    #[must_use]
    pub fn get(&self, kind: &DocumentKind) -> Option<&Document> {
        self.documents.get(kind).map(|stored| &stored.document)
    }

    /// Returns the version of the current document of a kind, with number 0 when there is none.
    #[must_use]
    pub fn version(&self, kind: &DocumentKind) -> Version {
        self.documents
            .get(kind)
            .map_or_else(Version::default, |stored| stored.version)
    }

    /// Returns the kind of the target list of the local failure domain.
    #[must_use]
    pub fn target_list_kind(&self) -> &DocumentKind {
        &self.target_list_kind
    }

    /// Returns the versions of the documents, which are piggybacked on messages to other instances.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            configuration: self.version(&DocumentKind::Configuration),
            target_list: self.version(&self.target_list_kind),
        }
    }

    /// Returns how often a document was offered with the current version number and other content.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns the reply to a peer that fetches a document and has the given version of it.
    #[must_use]
    pub fn reply_to_fetch(&self, kind: &DocumentKind, peer_version: Version) -> DocumentReply {
        let Some(stored) = self.documents.get(kind) else {
            return DocumentReply::NotNewer;
        };
        if !stored.version.replaces(peer_version) {
            return DocumentReply::NotNewer;
        }
        let base = stored.history.iter().find(|(old, _)| *old == peer_version);
        let delta = match base {
            Some((version, content)) => Delta::between(*version, content, &stored.document),
            None => None,
        };
        match delta {
            Some(delta) => DocumentReply::Delta(kind.clone(), delta),
            None => DocumentReply::Full(stored.document.clone()),
        }
    }

    /// Applies the reply of a peer from which a document was fetched.
    ///
    /// # Errors
    ///
    /// Returns an error when a delta cannot be applied. The current document stays, and the caller
    /// has to fetch the whole document by requesting it with the default [`Version`].
    pub fn apply_reply(&mut self, reply: &DocumentReply) -> Result<OfferOutcome, DeltaError> {
        match reply {
            DocumentReply::NotNewer => Ok(OfferOutcome::Same),
            DocumentReply::Full(document) => Ok(self.offer(document)),
            DocumentReply::Delta(kind, delta) => {
                let stored = self.documents.get(kind).ok_or(DeltaError::BaseMismatch)?;
                let document = delta.apply(&stored.document, stored.version)?;
                Ok(self.offer(&document))
            }
        }
    }
}
