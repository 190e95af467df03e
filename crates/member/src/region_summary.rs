//! Summaries of regions.

use std::sync::Arc;

use lw_base::{stable_hash, stable_hash_pair};
use serde::{Deserialize, Serialize};

use crate::region_load::RegionLoad;

/// The summary of a region that other regions receive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The name of the region.
    pub region: Arc<str>,
    /// The version, which rises with every new summary: the wall clock of the region's relay in milliseconds.
    pub version: u64,
    /// The capacity and the load of the region.
    pub load: RegionLoad,
    /// The newest configuration revision in the region.
    pub conf_revision: u64,
    /// The peer addresses of its relays, at most two.
    pub relays: Vec<Arc<str>>,
}

impl RegionSummary {
    /// Returns the hash of the parts that a [`ShortSummary`](crate::ShortSummary) omits.
    pub(crate) fn base_hash(&self) -> [u8; 4] {
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

    /// Returns the hash of the region's name for digests; with names, digests would be twice as large.
    pub(crate) fn region_hash(&self) -> u32 {
        (stable_hash(self.region.as_bytes()) >> 32) as u32
    }
}
