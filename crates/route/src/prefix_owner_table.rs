//! Prefix owners: a table from prefixes to the two best targets by rendezvous hashing.

use lw_base::prelude::*;
use lw_base::{stable_hash, stable_hash_pair};

/// Buckets per target. With eight, the number of prefixes per target varies by at most about a third.
const BUCKETS_PER_TARGET: usize = 8;
/// The range of the number of buckets; the maximum keeps the table below 300 KiB.
const BUCKETS: std::ops::RangeInclusive<usize> = 256..=8_192;

/// The table is rebuilt completely when more than one in this many targets changed.
const REBUILD_ONE_IN: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RankedTarget {
    score: u64,
    index: u16,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OwnerPair {
    first: RankedTarget,
    second: RankedTarget,
}

/// Maps a prefix to two targets in constant time.
///
/// The table depends only on the names of the targets, so every host has the same table for the same names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixOwnerTable {
    /// The hash of each target name.
    name_hashes: Vec<u64>,
    buckets: Vec<OwnerPair>,
}

impl PrefixOwnerTable {
    /// Builds the table of the targets with these names.
    #[must_use]
    pub fn new<N: AsRef<str>>(names: &[N]) -> Self {
        Self::build(hash_names(names))
    }

    /// Returns the table for a changed set of targets.
    ///
    /// The cost is the number of buckets times the number of added targets. A complete rebuild hashes every target for
    /// every bucket: 20 million hashes at 2,500 targets, too many for each configuration change.
    #[must_use]
    pub fn updated<N: AsRef<str>>(&self, names: &[N]) -> Self {
        let name_hashes = hash_names(names);
        let new_indices: FastMap<u64, u16> = name_hashes
            .iter()
            .enumerate()
            .map(|(index, hash)| (*hash, index as u16))
            .collect();
        let remapped: Vec<Option<u16>> = self
            .name_hashes
            .iter()
            .map(|hash| new_indices.get(hash).copied())
            .collect();
        let old: FastSet<u64> = self.name_hashes.iter().copied().collect();
        let added: Vec<usize> = (0..name_hashes.len())
            .filter(|index| !old.contains(&name_hashes[*index]))
            .collect();
        let removed = remapped.iter().filter(|index| index.is_none()).count();
        let is_large = (added.len() + removed) * REBUILD_ONE_IN > name_hashes.len();
        if is_large || bucket_count(name_hashes.len()) != self.buckets.len() {
            return Self::build(name_hashes);
        }
        let buckets = self
            .buckets
            .iter()
            .enumerate()
            .map(|(bucket, pair)| {
                let bucket = bucket as u64;
                match pair.remapped(&remapped) {
                    Some(pair) => pair.with_candidates(bucket, &name_hashes, added.iter().copied()),
                    None => OwnerPair::default().with_candidates(
                        bucket,
                        &name_hashes,
                        0..name_hashes.len(),
                    ),
                }
            })
            .collect();
        Self {
            name_hashes,
            buckets,
        }
    }

    /// Returns the indices of the first and the second owner of a prefix, or `None` without targets. Both are equal
    /// when there is only one target.
    #[must_use]
    pub fn owners(&self, prefix: u64) -> Option<(usize, usize)> {
        if self.buckets.is_empty() {
            return None;
        }
        let position = (prefix % self.buckets.len() as u64) as usize;
        let pair = self.buckets[position];
        Some((
            usize::from(pair.first.index),
            usize::from(pair.second.index),
        ))
    }

    fn build(name_hashes: Vec<u64>) -> Self {
        let buckets = (0..bucket_count(name_hashes.len()) as u64)
            .map(|bucket| {
                OwnerPair::default().with_candidates(bucket, &name_hashes, 0..name_hashes.len())
            })
            .collect();
        Self {
            name_hashes,
            buckets,
        }
    }
}

impl OwnerPair {
    /// Returns the owners under their new indices, or `None` when one of them was removed.
    fn remapped(&self, new_indices: &[Option<u16>]) -> Option<Self> {
        let remapped = |ranked: RankedTarget| {
            let index = new_indices[usize::from(ranked.index)]?;
            Some(RankedTarget { index, ..ranked })
        };
        Some(Self {
            first: remapped(self.first)?,
            second: remapped(self.second)?,
        })
    }

    /// Returns the best two of these owners and the targets with the given indices.
    fn with_candidates(
        mut self,
        bucket: u64,
        name_hashes: &[u64],
        indices: impl IntoIterator<Item = usize>,
    ) -> Self {
        for index in indices {
            let ranked = RankedTarget {
                score: stable_hash_pair(name_hashes[index], &bucket.to_le_bytes()),
                index: index as u16,
            };
            if ranked.score > self.first.score {
                self.second = self.first;
                self.first = ranked;
            } else if ranked.score > self.second.score {
                self.second = ranked;
            }
        }
        self
    }
}

fn hash_names<N: AsRef<str>>(names: &[N]) -> Vec<u64> {
    names
        .iter()
        .take(usize::from(u16::MAX))
        .map(|name| stable_hash(name.as_ref().as_bytes()))
        .collect()
}

fn bucket_count(targets: usize) -> usize {
    if targets == 0 {
        return 0;
    }
    (targets * BUCKETS_PER_TARGET)
        .next_power_of_two()
        .clamp(*BUCKETS.start(), *BUCKETS.end())
}
