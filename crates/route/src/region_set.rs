//! A compact set of regions.

use lw_base::prelude::*;

/// The maximum number of regions in a set; three times the number of regions that the product is designed for.
const MAX_REGIONS: usize = 128;

/// A set of regions of one configuration revision.
///
/// A region whose index exceeds the maximum is never contained, so an oversized document fails closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RegionSet(u128);

impl RegionSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);
    /// The set of all regions.
    pub const ALL: Self = Self(u128::MAX);

    /// Returns the set that contains only `region`.
    #[must_use]
    pub fn single(region: RegionKey) -> Self {
        if region.index() >= MAX_REGIONS {
            return Self::EMPTY;
        }
        Self(1 << region.index())
    }

    /// Adds a region.
    pub fn insert(&mut self, region: RegionKey) {
        self.0 |= Self::single(region).0;
    }

    /// Returns true when the set contains `region`.
    #[must_use]
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 & Self::single(region).0 != 0
    }

    /// Returns the intersection of both sets.
    #[must_use]
    pub fn intersect(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the regions of this set that are not in `other`.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns true when the set is empty.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the regions in order of their index.
    pub fn iter(self) -> impl Iterator<Item = RegionKey> {
        let mut rest = self.0;
        std::iter::from_fn(move || {
            if rest == 0 {
                return None;
            }
            let index = rest.trailing_zeros() as usize;
            rest &= rest - 1;
            Some(RegionKey::from_index(index))
        })
    }
}

impl FromIterator<RegionKey> for RegionSet {
    fn from_iter<I: IntoIterator<Item = RegionKey>>(regions: I) -> Self {
        let mut set = Self::EMPTY;
        for region in regions {
            set.insert(region);
        }
        set
    }
}
