//! A small set of regions.

use lw_base::prelude::*;

/// The highest number of regions that a set can hold; three times the regions of the target size.
const MAX_REGIONS: usize = 128;

/// A set of regions of one snapshot.
///
/// A region whose index does not fit is never contained, so an oversized document fails closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RegionSet(u128);

impl RegionSet {
    /// The set without a region.
    pub const EMPTY: Self = Self(0);
    /// The set of all regions.
    pub const ALL: Self = Self(u128::MAX);

    /// Returns the set that holds only `region`.
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

    /// Returns true when the set holds `region`.
    #[must_use]
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 & Self::single(region).0 != 0
    }

    /// Returns the regions that both sets hold.
    #[must_use]
    pub fn intersect(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the regions of this set that `other` does not hold.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns true when the set holds no region.
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
