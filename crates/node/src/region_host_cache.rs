//! The entry hosts of each region, and the hosts of other regions that accept forwarded requests.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_member::MemberState;
use lw_plat::{HostEntry, HostState};

use crate::core::Core;
use crate::entry_host::EntryHost;
use crate::host_addresses::HostAddresses;

/// How long the cached hosts of a region are refreshed after the region was last requested.
pub(crate) const REGION_CACHE_TTL_MS: u64 = 300_000;

/// Caches the directory entries of requested regions.
#[derive(Debug, Default)]
pub(crate) struct RegionHostCache {
    /// When each region was last requested, and its cached hosts.
    regions: FastMap<Arc<str>, (MonoMs, Arc<[HostEntry]>)>,
}

impl RegionHostCache {
    /// Records a request for a region and returns its cached hosts, which are empty at first.
    fn request(&mut self, region: &str, now: MonoMs) -> Arc<[HostEntry]> {
        if let Some(known) = self.regions.get_mut(region) {
            known.0 = now;
            return known.1.clone();
        }
        let none: Arc<[HostEntry]> = Arc::new([]);
        self.regions.insert(region.into(), (now, none.clone()));
        none
    }

    /// Returns the recently requested regions and evicts the others.
    pub(crate) fn requested(&mut self, now: MonoMs) -> Vec<Arc<str>> {
        self.regions
            .retain(|_, (requested_at, _)| now.since_ms(*requested_at) <= REGION_CACHE_TTL_MS);
        self.regions.keys().cloned().collect()
    }

    pub(crate) fn set(&mut self, region: &str, hosts: Vec<HostEntry>) {
        if let Some(known) = self.regions.get_mut(region) {
            known.1 = hosts.into();
        }
    }
}

impl Core {
    /// Returns the entry hosts of a region, those in the availability zone of this host first.
    pub(crate) fn entry_hosts(&self, region: &str) -> Vec<EntryHost> {
        let mut hosts = if *region == *self.identity.region {
            self.own_entry_hosts()
        } else {
            self.other_entry_hosts(region)
        };
        let zone = &self.identity.zone;
        hosts.sort_by(|a, b| {
            (a.zone != *zone, &a.zone, &a.host).cmp(&(b.zone != *zone, &b.zone, &b.host))
        });
        hosts
    }

    fn own_entry_hosts(&self) -> Vec<EntryHost> {
        let mut hosts = Vec::new();
        let marked = self.hosts_marked_leaving();
        for update in self.members.lock().members() {
            let Some(address) = HostAddresses::parse(&update.address).caller else {
                continue;
            };
            if update.state > MemberState::Leaving {
                continue;
            }
            let leaving = update.state == MemberState::Leaving || marked.contains(&*update.host);
            hosts.push(EntryHost {
                host: update.host.clone(),
                address,
                zone: update.zone.clone(),
                leaving,
            });
        }
        if !self.is_leaving() {
            hosts.push(EntryHost {
                host: self.identity.host.clone(),
                address: self.own_addresses.caller.clone().unwrap_or_default(),
                zone: self.identity.zone.clone(),
                leaving: marked.contains(&*self.identity.host),
            });
        }
        hosts
    }

    /// Returns the names of the hosts that the host list marks as leaving.
    fn hosts_marked_leaving(&self) -> FastSet<String> {
        let listed = self.last_host_list.lock().clone();
        let leaving = listed
            .iter()
            .filter(|entry| entry.state == HostState::Leaving);
        leaving.map(|entry| entry.host.clone()).collect()
    }

    fn other_entry_hosts(&self, region: &str) -> Vec<EntryHost> {
        let listed = self.directory_hosts_in(region);
        if listed.is_empty() {
            return self.relay_hosts(region);
        }
        let hosts = listed.iter().map(|entry| EntryHost {
            host: entry.host.as_str().into(),
            address: entry.caller_address.clone(),
            zone: entry.zone.as_str().into(),
            leaving: entry.state == HostState::Leaving,
        });
        hosts.collect()
    }

    /// Returns the cached directory entries of a region.
    ///
    /// Callers choose the region name, so names outside the configuration are not added to the cache.
    fn directory_hosts_in(&self, region: &str) -> Arc<[HostEntry]> {
        if self.router.view().fleet().regions.key(region).is_none() {
            return Arc::new([]);
        }
        self.region_hosts.lock().request(region, self.clock.mono())
    }

    /// Returns the relays of a region as entry hosts, for a region without directory entries.
    fn relay_hosts(&self, region: &str) -> Vec<EntryHost> {
        let relays = self.relay_addresses(region);
        let hosts = relays.into_iter().filter_map(|relay| {
            Some(EntryHost {
                host: relay.nng.as_str().into(),
                address: relay.caller?,
                zone: "".into(),
                leaving: false,
            })
        });
        hosts.collect()
    }

    fn relay_addresses(&self, region: &str) -> Vec<HostAddresses> {
        let members = self.members.lock();
        let summary = members
            .region_summaries()
            .find(|summary| *summary.region == *region);
        let relays = summary.map(|summary| &summary.relays);
        let relays = relays.into_iter().flatten();
        relays.map(|relay| HostAddresses::parse(relay)).collect()
    }

    /// Returns addresses in another region that accept forwarded requests, in random order.
    pub(crate) fn forward_addresses(&self, region: &str) -> Vec<String> {
        let listed = self.directory_hosts_in(region);
        let live = listed
            .iter()
            .filter(|entry| entry.state == HostState::Live)
            .filter_map(|entry| HostAddresses::parse(&entry.peer_address).peer_http);
        let mut addresses: Vec<String> = live.collect();
        if addresses.is_empty() {
            let relays = self.relay_addresses(region).into_iter();
            addresses = relays.filter_map(|relay| relay.peer_http).collect();
        }
        for last in (1..addresses.len()).rev() {
            let other = self.random(last as u64 + 1) as usize;
            addresses.swap(last, other);
        }
        addresses
    }

    /// Returns the number of live hosts in the region of this host, itself included.
    pub(crate) fn live_hosts(&self) -> u32 {
        let members = self.members.lock();
        let others = members
            .members()
            .filter(|update| update.state <= MemberState::Leaving);
        u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
    }
}
