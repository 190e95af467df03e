//! The shard map of a region: one value in the key-value service.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::{WallMs, ranked, stable_hash, stable_hash_pair};
use serde::{Deserialize, Serialize};

use crate::instance::{HostName, Instance};
use crate::record::RecordKey;

/// The number of shards of a region.
pub const SHARDS: usize = 64;

/// A host that may own shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapHost {
    /// The process.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// The issue time before which a missing record does not prove that a key has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cutoff {
    /// Keys without a record that were issued before this time are answered `outcome_unknown`.
    pub issued_before: WallMs,
    /// The epoch of the first view or of the takeover without consent that set the cutoff.
    pub epoch: u64,
}

/// The owner, the backup and the epoch of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// Rises with every change of owner, backup, cutoff or electorate.
    pub epoch: u64,
    /// The process that decides on requests.
    pub owner: Instance,
    /// The process that acknowledges claims.
    pub backup: Option<Instance>,
    /// True when the backup has every record of the owner.
    pub backup_complete: bool,
    /// Set in the first view and by a takeover without consent, and kept in later views.
    pub cutoff: Option<Cutoff>,
    /// The key in [`ShardMap::electorates`] of the hosts that count for authority evidence and takeover votes.
    pub electorate: u32,
}

impl ShardView {
    /// Returns true when `instance` is owner or backup.
    #[must_use]
    pub fn has(&self, instance: &Instance) -> bool {
        self.owner == *instance || self.backup.as_ref() == Some(instance)
    }

    /// Returns true when the two views name the same owner and backup.
    #[must_use]
    pub fn same_pair(&self, other: &Self) -> bool {
        self.owner == other.owner && self.backup == other.backup
    }
}

/// The shard map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Rises with every write.
    pub revision: u64,
    /// The hosts that may own shards, ordered by name.
    pub hosts: Vec<MapHost>,
    /// The ordered lists of host names that views refer to.
    pub electorates: BTreeMap<u32, Vec<HostName>>,
    /// One view per shard.
    pub shards: Vec<ShardView>,
}

/// Returns the shard of a key.
#[must_use]
pub fn shard_of(key: RecordKey) -> usize {
    (stable_hash_pair(key.scope, key.id.as_bytes()) % SHARDS as u64) as usize
}

/// Returns the scope of a customer and a service for [`RecordKey`].
#[must_use]
pub fn scope_of(customer: &str, service: &str) -> u64 {
    stable_hash_pair(stable_hash(customer.as_bytes()), service.as_bytes())
}

/// Returns the hosts for a shard in rendezvous order. The first is for the owner; the second, for the backup, is in
/// another availability zone if there is one.
pub(crate) fn ranked_hosts<'a>(shard: usize, hosts: &[&'a MapHost]) -> Vec<&'a MapHost> {
    let names: Vec<&[u8]> = hosts
        .iter()
        .map(|host| host.instance.host.as_bytes())
        .collect();
    let order = ranked(stable_hash(&(shard as u64).to_be_bytes()), &names);
    let mut sorted: Vec<&MapHost> = order.into_iter().map(|index| hosts[index]).collect();
    if let Some(other) = sorted
        .iter()
        .position(|host| host.zone != sorted[0].zone)
        .filter(|position| *position > 1)
    {
        let host = sorted.remove(other);
        sorted.insert(1, host);
    }
    sorted
}

impl ShardMap {
    /// Builds the first map of a region.
    ///
    /// The cutoff protects a region whose map was lost with its history: keys of the lost views are answered
    /// `outcome_unknown`.
    #[must_use]
    pub fn first(host: MapHost, cutoff: WallMs) -> Self {
        let view = ShardView {
            epoch: 1,
            owner: host.instance.clone(),
            backup: None,
            backup_complete: false,
            cutoff: Some(Cutoff {
                issued_before: cutoff,
                epoch: 1,
            }),
            electorate: 1,
        };
        Self {
            revision: 1,
            electorates: BTreeMap::from([(1, vec![host.instance.host.clone()])]),
            hosts: vec![host],
            shards: vec![view; SHARDS],
        }
    }

    /// Returns the host names of the electorate of `view`.
    #[must_use]
    pub fn electorate(&self, view: &ShardView) -> &[HostName] {
        self.electorates
            .get(&view.electorate)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns true when the map lists the process.
    #[must_use]
    pub fn lists(&self, instance: &Instance) -> bool {
        self.hosts.iter().any(|host| host.instance == *instance)
    }

    /// Returns `read` with its views replaced by those of `self` that have a higher epoch, or that have the same epoch
    /// and a backup which is complete only in `self`. Also returns true when a view was replaced.
    ///
    /// The key-value service may lose its last writes; a host then writes back the views that it still has.
    #[must_use]
    pub fn merged_over(&self, read: &Self) -> (Self, bool) {
        let mut map = read.clone();
        let mut replaced = false;
        for (shard, own) in self.shards.iter().enumerate() {
            let stored = &read.shards[shard];
            let completes = own.epoch == stored.epoch
                && own.same_pair(stored)
                && own.backup_complete
                && !stored.backup_complete;
            if own.epoch > stored.epoch || completes {
                let names = self.electorate(own).to_vec();
                let mut view = own.clone();
                view.electorate = map.electorate_id(names);
                map.shards[shard] = view;
                replaced = true;
            }
        }
        if replaced {
            map.revision = self.revision.max(read.revision);
            map.drop_unused_electorates();
        }
        (map, replaced)
    }

    pub(crate) fn electorate_id(&mut self, names: Vec<HostName>) -> u32 {
        if let Some((id, _)) = self.electorates.iter().find(|(_, list)| **list == names) {
            return *id;
        }
        let id = self.electorates.keys().last().map_or(1, |last| last + 1);
        self.electorates.insert(id, names);
        id
    }

    pub(crate) fn host_names(&self) -> Vec<HostName> {
        self.hosts
            .iter()
            .map(|host| host.instance.host.clone())
            .collect()
    }

    pub(crate) fn drop_unused_electorates(&mut self) {
        let shards = &self.shards;
        self.electorates
            .retain(|id, _| shards.iter().any(|view| view.electorate == *id));
    }
}
