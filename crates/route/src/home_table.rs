//! The homes of prefixes: a table from prefix to the two best targets by rendezvous hashing.

use lw_base::prelude::*;
use lw_base::{stable_hash, stable_hash_pair};

/// Buckets per target; with eight, the number of prefixes of two targets differs by about a third at most.
const BUCKETS_PER_TARGET: usize = 8;
/// Bounds of the number of buckets; the upper one keeps the table below 300 KiB.
const BUCKETS: std::ops::RangeInclusive<usize> = 256..=8_192;

/// A table is built anew when more than one target in this many changed.
const REBUILD_FRACTION: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Home {
    score: u64,
    index: u16,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Homes {
    first: Home,
    second: Home,
}

/// Maps a prefix to two targets without looking at the others.
///
/// The table changes when the set of targets changes. Every host has the same table for the same names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixOwnerTable {
    /// The hash of each name.
    seeds: Vec<u64>,
    buckets: Vec<Homes>,
}

impl PrefixOwnerTable {
    /// Builds the table of the targets with these names.
    #[must_use]
    pub fn new<N: AsRef<str>>(names: &[N]) -> Self {
        Self::build(seeds_of(names))
    }

    /// Returns the table of a changed set of targets.
    ///
    /// The cost grows with the buckets times the added targets, instead of all targets: at 2,500 targets a new table
    /// takes 20 million hashes, too many for each of the configuration changes of a day.
    #[must_use]
    pub fn updated<N: AsRef<str>>(&self, names: &[N]) -> Self {
        let seeds = seeds_of(names);
        let new_indices: FastMap<u64, u16> = seeds
            .iter()
            .enumerate()
            .map(|(index, seed)| (*seed, index as u16))
            .collect();
        let moved: Vec<Option<u16>> = self
            .seeds
            .iter()
            .map(|seed| new_indices.get(seed).copied())
            .collect();
        let old: FastSet<u64> = self.seeds.iter().copied().collect();
        let added: Vec<usize> = (0..seeds.len())
            .filter(|index| !old.contains(&seeds[*index]))
            .collect();
        let removed = moved.iter().filter(|index| index.is_none()).count();
        let is_large = (added.len() + removed) * REBUILD_FRACTION > seeds.len();
        if is_large || bucket_count(seeds.len()) != self.buckets.len() {
            return Self::build(seeds);
        }
        let buckets = self
            .buckets
            .iter()
            .enumerate()
            .map(|(bucket, homes)| {
                let bucket = bucket as u64;
                match homes.moved(&moved) {
                    Some(homes) => homes.with(bucket, &seeds, added.iter().copied()),
                    None => Homes::default().with(bucket, &seeds, 0..seeds.len()),
                }
            })
            .collect();
        Self { seeds, buckets }
    }

    /// Returns the indices of the first and the second home of a prefix; both are equal when there is one target.
    #[must_use]
    pub fn homes(&self, prefix: u64) -> Option<(usize, usize)> {
        if self.buckets.is_empty() {
            return None;
        }
        let position = (prefix % self.buckets.len() as u64) as usize;
        let homes = self.buckets[position];
        Some((
            usize::from(homes.first.index),
            usize::from(homes.second.index),
        ))
    }

    fn build(seeds: Vec<u64>) -> Self {
        let buckets = (0..bucket_count(seeds.len()) as u64)
            .map(|bucket| Homes::default().with(bucket, &seeds, 0..seeds.len()))
            .collect();
        Self { seeds, buckets }
    }
}

impl Homes {
    /// Returns the homes under their new indices, or `None` when one of them is gone.
    fn moved(&self, new_indices: &[Option<u16>]) -> Option<Self> {
        let moved = |home: Home| {
            let index = new_indices[usize::from(home.index)]?;
            Some(Home { index, ..home })
        };
        Some(Self {
            first: moved(self.first)?,
            second: moved(self.second)?,
        })
    }

    /// Returns the best two of these homes and the targets with the given indices.
    fn with(
        mut self,
        bucket: u64,
        seeds: &[u64],
        indices: impl IntoIterator<Item = usize>,
    ) -> Self {
        for index in indices {
            let home = Home {
                score: stable_hash_pair(seeds[index], &bucket.to_le_bytes()),
                index: index as u16,
            };
            if home.score > self.first.score {
                self.second = self.first;
                self.first = home;
            } else if home.score > self.second.score {
                self.second = home;
            }
        }
        self
    }
}

fn seeds_of<N: AsRef<str>>(names: &[N]) -> Vec<u64> {
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
