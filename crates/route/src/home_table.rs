//! The homes of prefixes: a table from prefix to the two best targets by rendezvous hashing.

use lw_base::{stable_hash, stable_hash_pair};

/// Buckets per target; with eight, the number of prefixes of two targets differs by about a third at most.
const BUCKETS_PER_TARGET: usize = 8;
/// Bounds of the number of buckets; the upper one keeps the table below 64 KiB.
const BUCKETS: std::ops::RangeInclusive<usize> = 256..=8_192;

#[derive(Clone, Copy, Debug)]
struct Homes {
    first: u16,
    second: u16,
}

/// Maps a prefix to two targets without looking at the others.
///
/// The table is built when the set of targets changes. Every host builds the same table from the same names.
#[derive(Clone, Debug, Default)]
pub struct HomeTable {
    buckets: Vec<Homes>,
}

impl HomeTable {
    /// Builds the table of the targets with these names.
    #[must_use]
    pub fn new<N: AsRef<str>>(names: &[N]) -> Self {
        if names.is_empty() {
            return Self::default();
        }
        let seeds: Vec<u64> = names
            .iter()
            .take(usize::from(u16::MAX))
            .map(|name| stable_hash(name.as_ref().as_bytes()))
            .collect();
        let count = (seeds.len() * BUCKETS_PER_TARGET)
            .next_power_of_two()
            .clamp(*BUCKETS.start(), *BUCKETS.end());
        let buckets = (0..count as u64)
            .map(|bucket| best_two(bucket, &seeds))
            .collect();
        Self { buckets }
    }

    /// Returns the indices of the first and the second home of a prefix; both are equal when there is one target.
    #[must_use]
    pub fn homes(&self, prefix: u64) -> Option<(usize, usize)> {
        if self.buckets.is_empty() {
            return None;
        }
        let position = (prefix % self.buckets.len() as u64) as usize;
        let homes = self.buckets[position];
        Some((usize::from(homes.first), usize::from(homes.second)))
    }
}

fn best_two(bucket: u64, seeds: &[u64]) -> Homes {
    let mut first = (0, 0);
    let mut second = (0, 0);
    for (index, seed) in seeds.iter().enumerate() {
        let score = stable_hash_pair(*seed, &bucket.to_le_bytes());
        if score >= first.0 {
            second = first;
            first = (score, index);
        } else if score >= second.0 {
            second = (score, index);
        }
    }
    Homes {
        first: first.1 as u16,
        second: second.1 as u16,
    }
}
