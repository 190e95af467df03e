//! Summaries of regions.

use std::sync::Arc;

use lw_base::{stable_hash, stable_hash_pair};
use serde::{Deserialize, Serialize};

use crate::region_load::RegionLoad;

/// What other regions know about a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The name of the region.
    pub region: Arc<str>,
    /// Rises with every new summary of the region: the wall clock of its relay in milliseconds.
    pub version: u64,
    /// Capacity and use.
    pub load: RegionLoad,
    /// The newest configuration revision in the region.
    pub conf_revision: u64,
    /// The peer addresses of its relays, at most two.
    pub relays: Vec<Arc<str>>,
}

impl RegionSummary {
    /// Returns the hash of the parts that seldom change.
    pub(crate) fn base(&self) -> [u8; 4] {
        let mut hash = stable_hash(self.region.as_bytes());
        hash = stable_hash_pair(hash, &self.load.capacity_slots.to_be_bytes());
        for entry in &self.load.services {
            hash = stable_hash_pair(hash, &entry.service);
            hash = stable_hash_pair(hash, &entry.slots.to_be_bytes());
        }
        for relay in &self.relays {
            hash = stable_hash_pair(hash, relay.as_bytes());
        }
        ((hash >> 32) as u32).to_be_bytes()
    }

    /// Returns the name of the region as digests carry it; names would double the size of a digest.
    pub(crate) fn short_hash(&self) -> u32 {
        (stable_hash(self.region.as_bytes()) >> 32) as u32
    }
}
