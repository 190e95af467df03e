//! The inputs of a decision.

use lw_base::prelude::*;

use crate::region_set::RegionSet;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, for spans.
    pub mono: MonoMs,
    /// The wall clock, for planned stops.
    pub wall: WallMs,
}

/// A request as far as its decision depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The requested service.
    pub service: ServiceKey,
    /// The regions that may process the request, from [`crate::allowed_regions`].
    pub allowed: RegionSet,
    /// The stable hash of the reusable prefix, when there is one.
    pub prefix: Option<u64>,
    /// The prefill time that a cached prefix saves, in milliseconds.
    pub prefix_prefill_ms: f64,
    /// The wait that the local admission queue expects, in milliseconds.
    pub local_wait_ms: f64,
    /// Targets that earlier attempts used.
    pub tried: &'a [TargetKey],
    /// Regions that earlier attempts used.
    pub tried_regions: RegionSet,
}

impl Query<'_> {
    /// Returns a query without a prefix, without a queue and without earlier attempts.
    #[must_use]
    pub fn new(service: ServiceKey, allowed: RegionSet) -> Self {
        Self {
            service,
            allowed,
            prefix: None,
            prefix_prefill_ms: 0.0,
            local_wait_ms: 0.0,
            tried: &[],
            tried_regions: RegionSet::EMPTY,
        }
    }
}
