//! Settled claims that were moved out of the shard object.
//!
//! A shard object has to stay small, because every commit writes it as a whole. Settled claims do
//! not change any more, so they are moved to segments: objects that are created once and never
//! changed. The shard object keeps the name, the newest time and a Bloom filter of the keys of each
//! segment.

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

/// Largest content of a segment. The platform stores values of up to 1 MB.
const MAX_SEGMENT_BYTES: usize = 800_000;
const REFERENCE_OVERHEAD_BYTES: usize = 90;
/// 16 bits a key and 8 hashes give 0.06 % of false positives.
const BITS_PER_KEY: u64 = 16;
const HASHES: u64 = 8;
const BITS_PER_SYMBOL: u64 = 6;
const FIRST_SYMBOL: u8 = b'0';

/// Content of a segment object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
}

impl Segment {
    /// Returns a segment of settled claims of a shard, unless they have less than `min_bytes`.
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

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(key)
    }

    fn reference(&self) -> SegmentRef {
        let times = self.claims.values().map(|record| record.changed_wall_ms);
        SegmentRef {
            newest_wall_ms: times.max().unwrap_or(Millis::ZERO),
            filter: KeyFilter::of(self.claims.keys()),
        }
    }
}

/// What a shard object knows about a segment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SegmentRef {
    newest_wall_ms: Millis,
    filter: KeyFilter,
}

/// A Bloom filter, as text with 6 bits in each character from `0` to `o`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct KeyFilter(String);

impl KeyFilter {
    fn of<'a>(keys: impl ExactSizeIterator<Item = &'a ClaimKey>) -> Self {
        let symbols = (keys.len() as u64 * BITS_PER_KEY).div_ceil(BITS_PER_SYMBOL);
        let mut filter = vec![0_u8; symbols as usize];
        for key in keys {
            for (symbol, mask) in positions(key, symbols) {
                filter[symbol] |= mask;
            }
        }
        let text = filter
            .into_iter()
            .map(|bits| char::from(FIRST_SYMBOL + bits));
        // JSON escapes only the backslash of this range.
        Self(
            text.map(|symbol| if symbol == '\\' { '~' } else { symbol })
                .collect(),
        )
    }

    fn may_contain(&self, key: &ClaimKey) -> bool {
        let symbols = self.0.as_bytes();
        positions(key, symbols.len() as u64).all(|(symbol, mask)| {
            let bits = match symbols[symbol] {
                b'~' => b'\\' - FIRST_SYMBOL,
                other => other.saturating_sub(FIRST_SYMBOL),
            };
            bits & mask != 0
        })
    }
}

/// Returns the symbols and bits of a key by double hashing.
fn positions(key: &ClaimKey, symbols: u64) -> impl Iterator<Item = (usize, u8)> {
    let hash = stable_hash(key.to_string().as_bytes());
    let (start, step) = (hash & u64::from(u32::MAX), (hash >> 32) | 1);
    let bits = symbols * BITS_PER_SYMBOL;
    let rounds = if bits == 0 { 0 } else { HASHES };
    (0..rounds).map(move |round| {
        let bit = (start + round * step) % bits;
        (
            (bit / BITS_PER_SYMBOL) as usize,
            1 << (bit % BITS_PER_SYMBOL),
        )
    })
}

impl Shard {
    /// Returns the names of the segments that may contain a key.
    pub fn segments_that_may_contain(&self, key: &ClaimKey) -> impl Iterator<Item = &str> {
        self.segments
            .iter()
            .filter(|(_, segment)| segment.filter.may_contain(key))
            .map(|(name, _)| name.as_str())
    }

    /// Returns whether the content refers to a segment.
    #[must_use]
    pub fn has_segment(&self, name: &str) -> bool {
        self.segments.contains_key(name)
    }

    /// Returns the number of segments.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Replaces the claims of a segment by a reference to it. Changes nothing and returns `false`
    /// unless the content has all of these claims.
    pub fn archive(&mut self, name: &str, segment: &Segment) -> bool {
        let is_complete = segment.claims.iter().all(|(key, sealed)| {
            self.get(key)
                .is_some_and(|record| record.state == sealed.state)
        });
        if !is_complete {
            return false;
        }
        for key in segment.claims.keys() {
            self.take(key);
        }
        self.put_segment(name.to_owned(), segment.reference());
        true
    }

    /// Applies a command to a claim that is in a segment. Settled claims do not change.
    #[must_use]
    pub fn apply_to_archived(&self, record: ClaimRecord, command: &ClaimCommand) -> ClaimResult {
        let mut scratch = Self::new(self.index(), self.shard_count());
        scratch.put(command.key().clone(), record);
        scratch.apply(command)
    }

    pub(super) fn put_segment(&mut self, name: String, segment: SegmentRef) {
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
