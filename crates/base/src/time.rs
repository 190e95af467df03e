//! Points in time. Functions that make decisions take them as arguments and never read a clock.

use serde::{Deserialize, Serialize};

/// A time of this process's monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoMs(pub u64);

/// A time of the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallMs(pub u64);

impl MonoMs {
    /// Returns the time `duration_ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl WallMs {
    /// Returns the time `duration_ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
