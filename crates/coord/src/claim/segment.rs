//! Segments: immutable objects to which settled claims are moved from the shard object.
//!
//! A shard object has to stay small, because every commit writes it as a whole. Settled claims do
//! not change any more, so they can be moved to objects that are created once and never changed.
//! The shard object keeps the name of each segment, the time of its newest claim, by which the
//! segment expires, and a Bloom filter of its keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::command::ClaimCommand;
use crate::claim::command::ClaimResult;
use crate::claim::record::ClaimKey;
use crate::claim::record::ClaimRecord;
use crate::claim::record::ClaimState;
use crate::claim::shard::Shard;
use crate::claim::shard::entry_size_bytes;
use crate::clock::Millis;
use crate::rendezvous::stable_hash;

/// Upper limit of a segment's estimated size. The platform stores values of up to 1 MB.
const MAX_SEGMENT_BYTES: usize = 800_000;
/// Upper bound of the size of a segment reference in JSON, without its name and filter.
const REFERENCE_OVERHEAD_BYTES: usize = 90;
/// Bits of the Bloom filter for each key. With 16 bits per key and 8 hashes, 0.06 % of the look-ups
/// of absent keys are false positives.
const BITS_PER_KEY: u64 = 16;
const HASH_COUNT: u64 = 8;
const BITS_PER_CHARACTER: u64 = 6;
const FIRST_CHARACTER: u8 = b'0';

/// Content of a segment object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
}

impl Segment {
    /// Returns a segment with settled claims of a shard, as many as fit. Returns `None` when their
    /// estimated size is below `min_bytes`.
    #[must_use]
    pub fn from_settled(shard: &Shard, min_bytes: usize) -> Option<Self> {
        let mut size_bytes = 0;
        let mut claims = BTreeMap::new();
        for (key, record) in &shard.claims {
            if !matches!(record.state, ClaimState::Settled { .. }) {
                continue;
            }
            let entry_bytes = entry_size_bytes(key, record);
            if size_bytes + entry_bytes > MAX_SEGMENT_BYTES {
                break;
            }
            size_bytes += entry_bytes;
            claims.insert(key.clone(), record.clone());
        }
        (size_bytes >= min_bytes && !claims.is_empty()).then_some(Self { claims })
    }

    /// Returns the record of a key, if the segment contains it.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    fn reference(&self) -> SegmentRef {
        let times = self.claims.values().map(|record| record.changed_wall_ms);
        SegmentRef {
            newest_wall_ms: times.max().unwrap_or(Millis::ZERO),
            filter: BloomFilter::from_keys(self.claims.keys()),
        }
    }
}

/// Reference to a segment in the content of a shard object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SegmentRef {
    newest_wall_ms: Millis,
    filter: BloomFilter,
}

/// A Bloom filter as text, with 6 bits in each character from `0` to `o`, where `~` replaces the
/// backslash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct BloomFilter(String);

impl BloomFilter {
    fn from_keys<'a>(keys: impl ExactSizeIterator<Item = &'a ClaimKey>) -> Self {
        let character_count = (keys.len() as u64 * BITS_PER_KEY).div_ceil(BITS_PER_CHARACTER);
        let mut filter = vec![0_u8; character_count as usize];
        for key in keys {
            for (index, mask) in bit_positions(key, character_count) {
                filter[index] |= mask;
            }
        }
        let text = filter
            .into_iter()
            .map(|bits| char::from(FIRST_CHARACTER + bits));
        // The backslash is the only character of the range that JSON escapes.
        Self(
            text.map(|character| if character == '\\' { '~' } else { character })
                .collect(),
        )
    }

    fn may_contain(&self, key: &ClaimKey) -> bool {
        let characters = self.0.as_bytes();
        bit_positions(key, characters.len() as u64).all(|(index, mask)| {
            let bits = match characters[index] {
                b'~' => b'\\' - FIRST_CHARACTER,
                other => other.saturating_sub(FIRST_CHARACTER),
            };
            bits & mask != 0
        })
    }
}

/// Returns the index of the character and the bit mask for each hash of a key, by double hashing.
fn bit_positions(key: &ClaimKey, character_count: u64) -> impl Iterator<Item = (usize, u8)> {
    let hash = stable_hash(key.to_string().as_bytes());
    let (start, step) = (hash & u64::from(u32::MAX), (hash >> 32) | 1);
    let bit_count = character_count * BITS_PER_CHARACTER;
    let hash_count = if bit_count == 0 { 0 } else { HASH_COUNT };
    (0..hash_count).map(move |hash_index| {
        let bit = (start + hash_index * step) % bit_count;
        (
            (bit / BITS_PER_CHARACTER) as usize,
            1 << (bit % BITS_PER_CHARACTER),
        )
    })
}

impl Shard {
    /// Returns the names of the segments that may contain a key, by their Bloom filters.
    pub fn segments_that_may_contain(&self, key: &ClaimKey) -> impl Iterator<Item = &str> {
        self.segments
            .iter()
            .filter(|(_, segment)| segment.filter.may_contain(key))
            .map(|(name, _)| name.as_str())
    }

    /// Returns whether the shard refers to a segment.
    #[must_use]
    pub fn has_segment(&self, name: &str) -> bool {
        self.segments.contains_key(name)
    }

    /// Returns the number of segments to which the shard refers.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Replaces the claims of a segment by a reference to it. Changes nothing and returns `false`
    /// unless the shard contains all of these claims in the same state.
    pub fn archive(&mut self, name: &str, segment: &Segment) -> bool {
        let is_unchanged = segment.claims.iter().all(|(key, archived)| {
            self.get(key)
                .is_some_and(|record| record.state == archived.state)
        });
        if !is_unchanged {
            return false;
        }
        for key in segment.claims.keys() {
            self.remove(key);
        }
        self.insert_segment(name.to_owned(), segment.reference());
        true
    }

    /// Applies a command to a record that is stored in a segment. Neither the shard nor the segment
    /// changes, because the record is settled.
    #[must_use]
    pub fn apply_to_archived(&self, record: ClaimRecord, command: &ClaimCommand) -> ClaimResult {
        let mut temporary = Self::new(self.index(), self.shard_count());
        temporary.insert(command.key().clone(), record);
        temporary.apply(command)
    }

    pub(super) fn insert_segment(&mut self, name: String, segment: SegmentRef) {
        self.size_bytes += reference_size_bytes(&name, &segment);
        self.segments.insert(name, segment);
    }

    pub(super) fn expire_segments(&mut self, wall_ms: Millis, retention: Millis) -> Vec<String> {
        let is_expired = |segment: &SegmentRef| wall_ms - segment.newest_wall_ms > retention;
        let expired: Vec<String> = self
            .segments
            .iter()
            .filter(|(_, segment)| is_expired(segment))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            if let Some(segment) = self.segments.remove(name) {
                self.size_bytes -= reference_size_bytes(name, &segment);
            }
        }
        expired
    }
}

fn reference_size_bytes(name: &str, segment: &SegmentRef) -> usize {
    REFERENCE_OVERHEAD_BYTES + name.len() + segment.filter.0.len()
}
