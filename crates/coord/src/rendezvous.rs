//! Rendezvous hashing.
//!
//! Instances with the same view of the members compute the same ranking for a key without
//! communicating. Removing a member moves only the keys that it owned, and adding one moves only
//! the keys that it takes over. The hash is keyed with constants, so all processes and all versions
//! of the software compute the same value.

use std::cmp::Reverse;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

const HASH_KEY_0: u64 = 0x6172_6275_7475_7331;
const HASH_KEY_1: u64 = 0x7265_6e64_657a_766f;

/// Returns the 64-bit hash of a byte string, which is the same in every process and version.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEY_0, HASH_KEY_1);
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the weight of a member for a key.
#[must_use]
pub fn weight(key: &[u8], member: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEY_0, HASH_KEY_1);
    hasher.write(key);
    // Without the length, ("ab", "c") and ("a", "bc") would have the same weight.
    hasher.write_usize(key.len());
    hasher.write(member.as_bytes());
    hasher.finish()
}

/// Returns the members in descending order of their weight for a key.
pub fn ranked<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = members
        .map(|member| (weight(key, member), member))
        .collect();
    weighted.sort_unstable_by_key(|&(weight, member)| (Reverse(weight), member));
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// Returns the member with the highest weight for a key.
pub fn owner<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.min_by_key(|member| (Reverse(weight(key, member)), *member))
}
