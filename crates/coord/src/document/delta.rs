//! Deltas between two contents of a document.
//!
//! Each commit of the configuration changes the recorded author, the edited settings and the
//! recorded time, which are far apart in the encoded content. A delta can therefore copy any number
//! of ranges of the old content and insert new bytes between them.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use super::Document;
use super::Version;
use crate::rendezvous::stable_hash;

/// The length of the blocks into which the old content is divided. Apart from the common prefix, a
/// delta copies only from the start of such a block, and only if the whole block matches.
const BLOCK_BYTES: usize = 32;

/// The difference between two contents of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version to which the delta applies.
    pub base: Version,
    /// The version that results.
    pub result: Version,
    /// The parts that make up the new content, in order.
    pub parts: Vec<DeltaPart>,
}

/// One part of the new content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaPart {
    /// A range of the old content.
    Copy {
        /// The offset of the first byte in the old content.
        offset: u32,
        /// The number of bytes.
        length: u32,
    },
    /// Bytes that are not copied from the old content.
    Insert(Vec<u8>),
}

/// A reason why a delta could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// the delta does not apply to the current version of the document
    BaseMismatch,
    /// applying the delta does not produce the announced document version
    Malformed,
}

impl std::error::Error for DeltaError {}

impl Delta {
    /// Computes the delta from an old content to a new document.
    ///
    /// Returns `None` when more than half of the new content would have to be inserted, which also
    /// bounds the CPU time of the search.
    pub(super) fn between(base: Version, old: &[u8], new: &Document) -> Option<Self> {
        let content = &new.content;
        let block_offsets: BTreeMap<u64, usize> = old
            .chunks_exact(BLOCK_BYTES)
            .enumerate()
            .map(|(index, block)| (stable_hash(block), index * BLOCK_BYTES))
            .collect();
        let mut parts = Vec::new();
        let mut inserted = Vec::new();
        let mut inserted_bytes = 0;
        let mut position = 0;
        // Most contents share a prefix, which may be shorter than a block.
        let mut copy = (0, common_prefix_len(old, content));
        while position < content.len() {
            if copy.1 > 0 {
                flush_insert(&mut parts, &mut inserted);
                let (offset, length) = (copy.0 as u32, copy.1 as u32);
                parts.push(DeltaPart::Copy { offset, length });
                position += copy.1;
            } else {
                inserted.push(content[position]);
                position += 1;
                inserted_bytes += 1;
                if inserted_bytes > content.len() / 2 {
                    return None;
                }
            }
            copy = find_copy(&block_offsets, old, &content[position..]);
        }
        flush_insert(&mut parts, &mut inserted);
        Some(Self {
            base,
            result: new.version(),
            parts,
        })
    }

    pub(super) fn apply(&self, old: &Document, version: Version) -> Result<Document, DeltaError> {
        if version != self.base {
            return Err(DeltaError::BaseMismatch);
        }
        let mut content = Vec::new();
        for part in &self.parts {
            match part {
                DeltaPart::Insert(bytes) => content.extend_from_slice(bytes),
                DeltaPart::Copy { offset, length } => {
                    let start = *offset as usize;
                    let end = start.saturating_add(*length as usize);
                    let copied = old.content.get(start..end);
                    content.extend_from_slice(copied.ok_or(DeltaError::Malformed)?);
                }
            }
            if content.len() > super::MAX_CONTENT_BYTES {
                return Err(DeltaError::Malformed);
            }
        }
        let document = Document {
            kind: old.kind.clone(),
            number: self.result.number,
            content,
        };
        if document.version() == self.result {
            Ok(document)
        } else {
            Err(DeltaError::Malformed)
        }
    }
}

/// Searches the old content for the first block of the remaining new content.
///
/// Returns the offset in the old content and the number of bytes that match from there on, or a
/// length of 0 when the old content has no such block.
fn find_copy(block_offsets: &BTreeMap<u64, usize>, old: &[u8], new: &[u8]) -> (usize, usize) {
    let Some(block) = new.get(..BLOCK_BYTES) else {
        return (0, 0);
    };
    let Some(&offset) = block_offsets.get(&stable_hash(block)) else {
        return (0, 0);
    };
    (offset, common_prefix_len(&old[offset..], new))
}

fn common_prefix_len(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(a, b)| a == b).count()
}

fn flush_insert(parts: &mut Vec<DeltaPart>, inserted: &mut Vec<u8>) {
    if !inserted.is_empty() {
        parts.push(DeltaPart::Insert(std::mem::take(inserted)));
    }
}
