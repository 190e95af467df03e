//! Options of placement.

use std::sync::Arc;

use lw_lease::{LeaseTimes, SingleHolderCheck};
use lw_place::PlacementTimes;
use parking_lot::Mutex;

/// Options of placement.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// How many weight loads the region starts per second; its share of the rate of the weight store.
    pub weight_loads_per_s: f64,
    /// How many weight loads may start at once.
    pub weight_burst: u32,
    /// The time spans of the lease.
    pub lease_times: LeaseTimes,
    /// The time spans of the decisions.
    pub decider_times: PlacementTimes,
    /// Checks that no two holders act under one number; hosts in one process share it.
    pub act_check: Arc<Mutex<SingleHolderCheck>>,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            weight_loads_per_s: 0.5,
            weight_burst: 2,
            lease_times: LeaseTimes::default(),
            decider_times: PlacementTimes::default(),
            act_check: Arc::default(),
        }
    }
}
