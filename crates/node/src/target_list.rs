//! The engines of the own region in an order that every host of the region shares.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_doc::{Fleet, ServiceKind};
use parking_lot::Mutex;

/// The engines of the own region, by name.
#[derive(Debug, Default)]
pub(crate) struct TargetList {
    revision: u64,
    /// A stable hash of the names: hosts with equal hashes give the same numbers to the targets.
    pub(crate) digest: u64,
    /// The targets.
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

/// Keeps the list of the newest fleet.
#[derive(Debug, Default)]
pub(crate) struct TargetLists {
    newest: Mutex<Arc<TargetList>>,
}

impl TargetLists {
    /// Returns the list of `fleet`.
    pub(crate) fn of(&self, fleet: &Fleet, region: &str) -> Arc<TargetList> {
        let mut newest = self.newest.lock();
        if newest.revision != fleet.revision || newest.targets.is_empty() {
            *newest = Arc::new(TargetList::build(fleet, region));
        }
        newest.clone()
    }
}
