//! The inputs of a routing decision.

use lw_base::prelude::*;

use crate::region_set::RegionSet;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, for durations.
    pub mono: MonoMs,
    /// The wall clock, for planned stops.
    pub wall: WallMs,
}

/// The properties of a request that its routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The requested service.
    pub service: ServiceKey,
    /// The regions that may process the request, from [`crate::allowed_regions`].
    pub allowed: RegionSet,
    /// The stable hash of the reusable prompt prefix, if any.
    pub prefix: Option<u64>,
    /// The prefill time that a cached prefix saves, in milliseconds.
    pub prefix_prefill_ms: f64,
    /// The expected wait in the local admission queue, in milliseconds.
    pub local_wait_ms: f64,
    /// Targets that earlier attempts used.
    pub tried: &'a [TargetKey],
    /// Regions that earlier attempts used.
    pub tried_regions: RegionSet,
}

impl Query<'_> {
    /// Creates a query without a prefix, queue wait or earlier attempts.
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
