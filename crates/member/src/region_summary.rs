//! Summaries of regions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What other regions know about a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The name of the region.
    pub region: Arc<str>,
    /// Rises with every new summary of the region: the wall clock of its relay in milliseconds.
    pub version: u64,
    /// The sum of the target slots.
    pub capacity_slots: u32,
    /// The use of the capacity in thousandths.
    pub load_permille: u16,
    /// The newest configuration revision in the region.
    pub conf_revision: u64,
    /// The peer addresses of its relays, at most two.
    pub relays: Vec<Arc<str>>,
}
