//! Which hosts of a region send requests to which targets.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::{ranked_by_weight, stable_hash};

/// The targets of a service that a host covers at least, as far as there are so many; fewer would not even out.
const LEAST_TARGETS: usize = 6;
/// The hosts that cover a target at least, so that the loss of one leaves it in use.
const LEAST_HOSTS: usize = 2;
/// The hosts that cover a target at most. Above it, what they know of one another's requests is too old: with all 25
/// hosts of a region at each target, targets of 16 slots rejected more than half of the requests.
const MOST_HOSTS: usize = 4;

/// The hosts that cover the targets of a region.
///
/// A few hosts for each target know its load almost exactly, and no work of a host grows with hosts times targets.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// The addresses of the covering hosts by target; the own one is missing.
    others: FastMap<u32, Vec<Ipv4Addr>>,
    own: FastSet<u32>,
}

/// A host of the region.
#[derive(Clone, Debug)]
pub(crate) struct CoveringHost {
    pub(crate) name: Arc<str>,
    /// `None` for the own host.
    pub(crate) ip: Option<Ipv4Addr>,
    /// Its share of the work, relative to other hosts: a covering host carries the traffic of its targets.
    pub(crate) weight: f64,
}

impl Coverage {
    /// Assigns the targets of one service in the region, given as hash and incarnation.
    pub(crate) fn assign(&mut self, hosts: &[CoveringHost], targets: &[(u32, Arc<str>)]) {
        let wanted = (LEAST_TARGETS * hosts.len()).div_ceil(targets.len().max(1));
        let count = wanted.clamp(LEAST_HOSTS, MOST_HOSTS);
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

    /// Returns whether the own host covers a target.
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
