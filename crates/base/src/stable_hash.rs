//! A hash that is equal on every host and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes `bytes` to the same value on every host.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes `bytes` under a seed, so that two parts cannot run into each other.
#[must_use]
pub fn stable_hash_pair(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
