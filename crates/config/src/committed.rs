//! The committed configuration, which is stored in the platform object `config`.
//!
//! The value of the object is a record with the files and the metadata of their commit. A record is
//! immutable: each change creates a new record with a higher generation. The digest covers every
//! other field, and decoding rejects a record whose digest does not match.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::resolve::ConfigSources;
use crate::source::Source;
use crate::validation_error::ValidationErrors;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;

/// The key of the platform object that stores the committed configuration.
pub const CONFIG_KEY: &str = "config";

/// The maximum size of a record as JSON, and of each file. The platform stores values of up to
/// 1 MB.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

const BASE_FILE: &str = "base.yaml";
const OVERLAY_DIRECTORY: &str = "overlays";
const OVERLAY_EXTENSION: &str = "yaml";

/// Describes the commit of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitMetadata {
    /// The generation of the new record.
    pub generation: u64,
    /// The generation that the record replaces; 0 if there is none.
    pub parent: u64,
    /// The name of the operator.
    pub author: String,
    /// A random token that identifies this attempt to commit.
    pub token: String,
    /// The time of the commit, in milliseconds since the Unix epoch.
    pub wall_ms: Millis,
    /// Why the configuration is changed, in the words of the operator.
    pub comment: String,
}

/// The record of a committed configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommittedConfig {
    /// The generation, which increases with each change.
    pub generation: u64,
    /// The generation that this one replaced; 0 if there was none.
    pub parent: u64,
    /// The name of the operator who committed it.
    pub author: String,
    /// The random token of the attempt to commit it.
    pub token: String,
    /// The time of the commit, in milliseconds since the Unix epoch.
    pub wall_ms: Millis,
    /// Why the configuration was changed, in the words of the operator.
    pub comment: String,
    /// The content of the base file.
    pub base: String,
    /// The contents of the overlay files by site.
    pub overlays: BTreeMap<String, String>,
    /// The digest of all other fields, as 16 hexadecimal digits.
    pub digest: String,
}

/// Why a configuration cannot be read, stored or used.
#[derive(Debug, Display)]
#[expect(
    clippy::doc_markdown,
    reason = "displaydoc takes field names from the doc comment"
)]
pub enum ConfigError {
    /// cannot read {path}: {cause}
    Read {
        /// The file or directory.
        path: String,
        /// The cause.
        cause: io::Error,
    },
    /// {0}
    Invalid(ValidationErrors),
    /// the configuration takes {size_bytes} bytes as JSON; the limit is {limit_bytes} bytes
    TooLarge {
        /// The size of the record, or of a file that is too large by itself.
        size_bytes: usize,
        /// The maximum size.
        limit_bytes: usize,
    },
    /// the committed configuration is not valid JSON: {0}
    Json(serde_json::Error),
    /// generation {generation} is damaged: its recorded digest is {recorded}, but the digest of its content is {computed}
    DigestMismatch {
        /// The generation of the record.
        generation: u64,
        /// The digest that the record contains.
        recorded: String,
        /// The digest of the content.
        computed: String,
    },
    /// the number of claim shards cannot change from {from} to {to}: this number determines in which shard a claim is stored, so a client retry would not find the claim and the request would be executed again
    ShardCountChanged {
        /// The number in the committed configuration.
        from: u32,
        /// The number in the new configuration.
        to: u32,
    },
    /// the section {0} is neither in the delta nor in the local record
    MissingSection(String),
}

impl std::error::Error for ConfigError {}

impl From<ValidationErrors> for ConfigError {
    fn from(errors: ValidationErrors) -> Self {
        Self::Invalid(errors)
    }
}

impl CommittedConfig {
    /// Validates the files of a configuration and creates a record of them.
    ///
    /// # Errors
    ///
    /// Returns all errors at every site, or an error if the record is too large.
    pub fn new(sources: &ConfigSources, metadata: CommitMetadata) -> Result<Self, ConfigError> {
        sources.validate()?;
        let overlays = sources.overlays.iter();
        let mut record = Self {
            generation: metadata.generation,
            parent: metadata.parent,
            author: metadata.author,
            token: metadata.token,
            wall_ms: metadata.wall_ms,
            comment: metadata.comment,
            base: sources.base.text().to_owned(),
            overlays: overlays
                .map(|(site, source)| (site.clone(), source.text().to_owned()))
                .collect(),
            digest: String::new(),
        };
        record.digest = record.compute_digest();
        record.check_size()?;
        Ok(record)
    }

    /// Creates a record from `base.yaml` and `overlays/{site}.yaml` in a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, all errors at every site, or an error if the
    /// record is too large.
    pub fn from_directory(directory: &Path, metadata: CommitMetadata) -> Result<Self, ConfigError> {
        Self::new(&read_sources(directory)?, metadata)
    }

    /// Decodes a record from JSON and verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is too large, is not a valid record or is damaged, that is,
    /// its digest does not match.
    pub fn from_json(json: &[u8]) -> Result<Self, ConfigError> {
        check_size(json.len())?;
        let record: Self = serde_json::from_slice(json).map_err(ConfigError::Json)?;
        record.verify_digest()?;
        Ok(record)
    }

    /// Decodes a record from a JSON value and verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is too large, is not a valid record or is damaged, that is,
    /// its digest does not match.
    pub fn from_value(value: &serde_json::Value) -> Result<Self, ConfigError> {
        let record: Self = Self::deserialize(value).map_err(ConfigError::Json)?;
        record.check_size()?;
        record.verify_digest()?;
        Ok(record)
    }

    /// Encodes the record as JSON.
    ///
    /// # Panics
    ///
    /// Never panics, because a record contains only strings and numbers, which always have a JSON
    /// encoding.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON encoding")
    }

    /// Returns the deployment configuration of a site. A site without an overlay gets the base, and
    /// so does an empty `site`, which is not a valid name of a site.
    ///
    /// # Errors
    ///
    /// Returns all errors in the base and in the overlay of the site.
    pub fn deployment(&self, site: &str) -> Result<Deployment, ValidationErrors> {
        self.sources().deployment(site)
    }

    /// Returns the files of the record, with names relative to the configuration directory.
    #[must_use]
    pub fn sources(&self) -> ConfigSources {
        let mut sources = ConfigSources::new(Source::new(BASE_FILE, &self.base));
        for (site, text) in &self.overlays {
            let source = Source::new(&overlay_file_name(site), text);
            sources.overlays.insert(site.clone(), source);
        }
        sources
    }

    /// Checks that the record may replace `previous`.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of claim shards differs, or if the base of one of the
    /// records is invalid.
    pub fn check_successor_of(&self, previous: &Self) -> Result<(), ConfigError> {
        let from = previous.deployment("")?.claims.shards;
        let to = self.deployment("")?.claims.shards;
        if from == to {
            return Ok(());
        }
        Err(ConfigError::ShardCountChanged { from, to })
    }

    /// Checks that the digest matches the content.
    ///
    /// # Errors
    ///
    /// Returns an error with both digests if they differ.
    pub fn verify_digest(&self) -> Result<(), ConfigError> {
        let computed = self.compute_digest();
        if computed == self.digest {
            return Ok(());
        }
        Err(ConfigError::DigestMismatch {
            generation: self.generation,
            recorded: self.digest.clone(),
            computed,
        })
    }

    fn compute_digest(&self) -> String {
        let without_digest = Self {
            digest: String::new(),
            ..self.clone()
        };
        digest_of(&without_digest.to_json())
    }

    fn check_size(&self) -> Result<(), ConfigError> {
        check_size(self.to_json().len())
    }
}

/// Returns the digest of bytes as 16 hexadecimal digits. It detects corruption, but does not
/// protect against forgery.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> String {
    format!("{:016x}", stable_hash(bytes))
}

fn check_size(size_bytes: usize) -> Result<(), ConfigError> {
    if size_bytes <= MAX_RECORD_BYTES {
        return Ok(());
    }
    Err(ConfigError::TooLarge {
        size_bytes,
        limit_bytes: MAX_RECORD_BYTES,
    })
}

/// Reads `base.yaml` and `overlays/{site}.yaml` in a directory. A missing directory `overlays`
/// means that there are no overlays, and hidden files in it are ignored.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is larger than [`MAX_RECORD_BYTES`], or if
/// `overlays` contains a file that is not hidden and lacks the extension `.yaml`.
pub fn read_sources(directory: &Path) -> Result<ConfigSources, ConfigError> {
    let mut sources = ConfigSources::new(read_source(&directory.join(BASE_FILE))?);
    for path in overlay_paths(&directory.join(OVERLAY_DIRECTORY))? {
        let site = path.file_stem().unwrap_or_default().to_string_lossy();
        sources
            .overlays
            .insert(site.into_owned(), read_source(&path)?);
    }
    Ok(sources)
}

fn overlay_paths(directory: &Path) -> Result<Vec<PathBuf>, ConfigError> {
    let entries = match fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(read_error(directory, error)),
    };
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| read_error(directory, error))?.path();
        let is_hidden = path
            .file_name()
            .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
        if is_hidden {
            continue;
        }
        if path
            .extension()
            .is_none_or(|found| found != OVERLAY_EXTENSION)
        {
            let cause = io::Error::other(
                "an overlay file must be named after its site and have the extension .yaml",
            );
            return Err(read_error(&path, cause));
        }
        paths.push(path);
    }
    paths.sort();
    Ok(paths)
}

fn read_source(path: &Path) -> Result<Source, ConfigError> {
    let file = fs::File::open(path).map_err(|error| read_error(path, error))?;
    let mut text = String::new();
    // One byte more than the limit is enough to detect a file that is too large.
    let limit = MAX_RECORD_BYTES as u64 + 1;
    file.take(limit)
        .read_to_string(&mut text)
        .map_err(|error| read_error(path, error))?;
    check_size(text.len())?;
    Ok(Source::new(&path.to_string_lossy(), &text))
}

fn read_error(path: &Path, cause: io::Error) -> ConfigError {
    ConfigError::Read {
        path: path.to_string_lossy().into_owned(),
        cause,
    }
}

fn overlay_file_name(site: &str) -> String {
    format!("{OVERLAY_DIRECTORY}/{site}.{OVERLAY_EXTENSION}")
}
