//! The difference between two contents of a document.
//!
//! The configuration is a record whose time, token and digest change with each commit, at places
//! far from each other. The difference therefore consists of any number of copied and new parts.

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use super::Document;
use super::Version;
use crate::rendezvous::stable_hash;

/// The length of the blocks of the old content that are looked for in the new one.
const BLOCK_BYTES: usize = 32;

/// The difference between two contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The version to which the difference applies.
    pub base: Version,
    /// The version that results.
    pub result: Version,
    /// The parts of the new content in their order.
    pub parts: Vec<Part>,
}

/// One part of the new content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Bytes of the old content.
    Copy {
        /// The position of the first byte.
        start: u32,
        /// The number of bytes.
        bytes: u32,
    },
    /// New bytes.
    New(Vec<u8>),
}

/// A transfer that could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TransferError {
    /// the difference applies to another version of the document
    OtherBase,
    /// the difference does not fit the document
    Malformed,
}

impl std::error::Error for TransferError {}

impl Difference {
    /// Returns the difference, or nothing when the new content has more than half new bytes. The
    /// limit also bounds the work.
    pub(super) fn between(base: Version, old: &[u8], new: &Document) -> Option<Self> {
        let content = &new.content;
        let blocks: BTreeMap<u64, usize> = old
            .chunks_exact(BLOCK_BYTES)
            .enumerate()
            .map(|(index, block)| (stable_hash(block), index * BLOCK_BYTES))
            .collect();
        let mut parts = Vec::new();
        let mut fresh = Vec::new();
        let mut fresh_bytes = 0;
        let mut at = 0;
        // Most contents start alike, whatever the length of the common start.
        let mut copy = (0, common_start(old, content));
        while at < content.len() {
            if copy.1 > 0 {
                push_new(&mut parts, &mut fresh);
                let (start, bytes) = (copy.0 as u32, copy.1 as u32);
                parts.push(Part::Copy { start, bytes });
                at += copy.1;
            } else {
                fresh.push(content[at]);
                at += 1;
                fresh_bytes += 1;
                if fresh_bytes > content.len() / 2 {
                    return None;
                }
            }
            copy = find(&blocks, old, &content[at..]);
        }
        push_new(&mut parts, &mut fresh);
        Some(Self {
            base,
            result: new.version(),
            parts,
        })
    }

    pub(super) fn apply(
        &self,
        old: &Document,
        version: Version,
    ) -> Result<Document, TransferError> {
        if version != self.base {
            return Err(TransferError::OtherBase);
        }
        let mut content = Vec::new();
        for part in &self.parts {
            match part {
                Part::New(bytes) => content.extend_from_slice(bytes),
                Part::Copy { start, bytes } => {
                    let start = *start as usize;
                    let end = start.saturating_add(*bytes as usize);
                    let copied = old.content.get(start..end);
                    content.extend_from_slice(copied.ok_or(TransferError::Malformed)?);
                }
            }
            if content.len() > super::MAX_CONTENT_BYTES {
                return Err(TransferError::Malformed);
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
            Err(TransferError::Malformed)
        }
    }
}

/// Returns the position in the old content and the length of the bytes with which the new ones
/// start, or a length of 0 when no block of the old content is there.
fn find(blocks: &BTreeMap<u64, usize>, old: &[u8], new: &[u8]) -> (usize, usize) {
    let Some(block) = new.get(..BLOCK_BYTES) else {
        return (0, 0);
    };
    let Some(&start) = blocks.get(&stable_hash(block)) else {
        return (0, 0);
    };
    (start, common_start(&old[start..], new))
}

fn common_start(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(a, b)| a == b).count()
}

fn push_new(parts: &mut Vec<Part>, fresh: &mut Vec<u8>) {
    if !fresh.is_empty() {
        parts.push(Part::New(std::mem::take(fresh)));
    }
}
