//! Assigns to each target of a region the subset of hosts that send requests to it.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::{ranked_by_weight, stable_hash};

/// The minimum number of targets of a service that a host covers, if the service has that many. With fewer targets,
/// load would not balance.
const MIN_TARGETS_PER_HOST: usize = 6;
/// The minimum number of hosts that cover a target, so that it stays in use after the loss of one host.
const MIN_HOSTS_PER_TARGET: usize = 2;
/// The maximum number of hosts that cover a target. With more hosts, each host's view of the others' requests is too
/// stale: with all 25 hosts of a region at each target, targets of 16 slots rejected more than half of the requests.
pub(crate) const MAX_HOSTS_PER_TARGET: usize = 4;

/// The hosts that cover each target of a region.
///
/// Because only a few hosts send requests to a target, each of them knows its load almost exactly, and the work of a
/// host does not grow with the product of hosts and targets.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// The addresses of the covering hosts by target, without the local host.
    others: FastMap<u32, Vec<Ipv4Addr>>,
    own: FastSet<u32>,
}

/// A host of the region that targets can be assigned to.
#[derive(Clone, Debug)]
pub(crate) struct CoveringHost {
    pub(crate) name: Arc<str>,
    /// `None` for the local host.
    pub(crate) ip: Option<Ipv4Addr>,
    /// The weight of the host relative to others; a covering host carries the traffic of its targets.
    pub(crate) weight: f64,
}

impl Coverage {
    /// Assigns covering hosts to the targets of one service in the region, given as hash and incarnation, by weighted
    /// rendezvous hashing.
    pub(crate) fn assign(&mut self, hosts: &[CoveringHost], targets: &[(u32, Arc<str>)]) {
        let hosts_per_target = (MIN_TARGETS_PER_HOST * hosts.len()).div_ceil(targets.len().max(1));
        let count = hosts_per_target.clamp(MIN_HOSTS_PER_TARGET, MAX_HOSTS_PER_TARGET);
        let names: Vec<(&[u8], f64)> = hosts
            .iter()
            .map(|host| (host.name.as_bytes(), host.weight))
            .collect();
        for (hash, incarnation) in targets {
            let order = ranked_by_weight(stable_hash(incarnation.as_bytes()), &names);
            for index in order.into_iter().take(count) {
                match hosts[index].ip {
                    None => drop(self.own.insert(*hash)),
                    Some(ip) => self.others.entry(*hash).or_default().push(ip),
                }
            }
        }
    }

    /// Returns whether the local host covers a target.
    #[must_use]
    pub fn covered_by_self(&self, target: u32) -> bool {
        self.own.contains(&target)
    }

    /// Returns the other hosts that cover a target.
    #[must_use]
    pub fn other_hosts(&self, target: u32) -> &[Ipv4Addr] {
        self.others.get(&target).map_or(&[], Vec::as_slice)
    }
}
