//! A hash function with the same results on every host and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of `bytes`, which is the same on every host.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns a hash of `bytes` with `seed`. To hash two texts, use the hash of one as the seed of the other: the hash of
/// their concatenation would not depend on where one text ends.
#[must_use]
pub fn stable_hash_pair(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
