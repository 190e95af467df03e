//! A hash function with the same results on every host and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of `bytes`, which is the same on every host.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the hash of `bytes` with `seed`; unlike hashing a concatenation, this keeps the two parts apart.
#[must_use]
pub fn stable_hash_pair(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
