//! Options of placement.

use std::sync::Arc;

use lw_lease::{LeaseTimes, SingleHolderCheck};
use lw_place::PlacementTimes;
use parking_lot::Mutex;

/// Options of placement.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// The weight loads that the region may start per second, which is its share of the rate of the weight store.
    pub weight_loads_per_s: f64,
    /// The maximum number of weight loads that may start at once.
    pub weight_burst: u32,
    /// The durations of the lease protocol.
    pub lease_times: LeaseTimes,
    /// The durations of the placement controller.
    pub placement_times: PlacementTimes,
    /// Checks that no two lease holders act under one epoch. Hosts in one process share it.
    pub single_holder_check: Arc<Mutex<SingleHolderCheck>>,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            weight_loads_per_s: 0.5,
            weight_burst: 2,
            lease_times: LeaseTimes::default(),
            placement_times: PlacementTimes::default(),
            single_holder_check: Arc::default(),
        }
    }
}
