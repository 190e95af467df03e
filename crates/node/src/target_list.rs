//! Numbers the engines of a region in the same way on every host of the region.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::{Fleet, ServiceKind};
use parking_lot::Mutex;

/// The engines of the region of this host, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct TargetList {
    revision: u64,
    /// The stable hash of the names; hosts with equal digests number the targets in the same way.
    pub(crate) digest: u64,
    /// The targets, by number.
    pub(crate) targets: Vec<TargetKey>,
}

impl TargetList {
    fn build(fleet: &Fleet, region: &str) -> Self {
        let region = fleet.regions.key(region);
        let engines = fleet.targets.iter().filter(|(_, _, target)| {
            let kind = &fleet.services[target.service].kind;
            Some(target.region) == region && *kind == ServiceKind::Model
        });
        let mut named: Vec<(&Arc<str>, TargetKey)> =
            engines.map(|(key, name, _)| (name, key)).collect();
        named.sort();
        let digest = named.iter().fold(0, |digest, (name, _)| {
            stable_hash_pair(digest, name.as_bytes())
        });
        Self {
            revision: fleet.revision,
            digest,
            targets: named.into_iter().map(|(_, key)| key).collect(),
        }
    }
}

/// Caches the target list of the newest fleet revision.
#[derive(Debug, Default)]
pub(crate) struct TargetListCache {
    newest: Mutex<Arc<TargetList>>,
}

impl TargetListCache {
    /// Returns the target list of `fleet`, and builds it if the cached one is of another revision.
    pub(crate) fn for_fleet(&self, fleet: &Fleet, region: &str) -> Arc<TargetList> {
        let mut newest = self.newest.lock();
        if newest.revision != fleet.revision || newest.targets.is_empty() {
            *newest = Arc::new(TargetList::build(fleet, region));
        }
        newest.clone()
    }
}
