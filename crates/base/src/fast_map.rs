//! Hash collections with a fast hasher.

use std::collections::{HashMap, HashSet};

use foldhash::fast::RandomState;

/// A hash map with a fast hasher that is seeded per process.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// A hash set with a fast hasher that is seeded per process.
pub type FastSet<T> = HashSet<T, RandomState>;
