//! The hosts that callers and other regions can use.

use std::sync::Arc;

use lw_base::prelude::*;
use lw_member::MemberState;
use lw_plat::{HostEntry, HostState};

use crate::contact::Contact;
use crate::core::Core;
use crate::entry_host::EntryHost;

/// How long a region is kept up to date after it was last asked for.
pub(crate) const ASKED_MS: u64 = 300_000;

/// What the directory showed of the regions that were asked for.
#[derive(Debug, Default)]
pub(crate) struct RegionDirectory {
    regions: FastMap<Arc<str>, (MonoMs, Arc<[HostEntry]>)>,
}

impl RegionDirectory {
    /// Notes that a region was asked for and returns its hosts.
    fn ask(&mut self, region: &str, now: MonoMs) -> Arc<[HostEntry]> {
        if let Some(known) = self.regions.get_mut(region) {
            known.0 = now;
            return known.1.clone();
        }
        let none: Arc<[HostEntry]> = Arc::new([]);
        self.regions.insert(region.into(), (now, none.clone()));
        none
    }

    /// Returns the regions that were asked for recently, and forgets the others.
    pub(crate) fn asked(&mut self, now: MonoMs) -> Vec<Arc<str>> {
        self.regions
            .retain(|_, (asked, _)| now.since_ms(*asked) <= ASKED_MS);
        self.regions.keys().cloned().collect()
    }

    pub(crate) fn set(&mut self, region: &str, hosts: Vec<HostEntry>) {
        if let Some(known) = self.regions.get_mut(region) {
            known.1 = hosts.into();
        }
    }
}

impl Core {
    /// Returns the entry hosts of a region, the own availability zone first.
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
        let marked = self.marked_leaving();
        for update in self.members.lock().members() {
            let Some(address) = Contact::parse(&update.address).caller else {
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
                address: self.contact.caller.clone().unwrap_or_default(),
                zone: self.identity.zone.clone(),
                leaving: marked.contains(&*self.identity.host),
            });
        }
        hosts
    }

    /// Returns the hosts that the host list marks as leaving.
    fn marked_leaving(&self) -> FastSet<String> {
        let listed = self.listed.lock().clone();
        let leaving = listed
            .iter()
            .filter(|entry| entry.state == HostState::Leaving);
        leaving.map(|entry| entry.host.clone()).collect()
    }

    fn other_entry_hosts(&self, region: &str) -> Vec<EntryHost> {
        let listed = self.listed_in(region);
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

    /// Returns what the directory showed of a region; callers name regions, so unknown ones are not looked up.
    fn listed_in(&self, region: &str) -> Arc<[HostEntry]> {
        if self.router.view().fleet().regions.key(region).is_none() {
            return Arc::new([]);
        }
        self.directory_view.lock().ask(region, self.clock.mono())
    }

    fn relay_hosts(&self, region: &str) -> Vec<EntryHost> {
        let contacts = self.relay_contacts(region);
        let hosts = contacts.into_iter().filter_map(|contact| {
            Some(EntryHost {
                host: contact.nng.as_str().into(),
                address: contact.caller?,
                zone: "".into(),
                leaving: false,
            })
        });
        hosts.collect()
    }

    fn relay_contacts(&self, region: &str) -> Vec<Contact> {
        let members = self.members.lock();
        let summary = members
            .region_summaries()
            .find(|summary| *summary.region == *region);
        let relays = summary.map(|summary| &summary.relays);
        let relays = relays.into_iter().flatten();
        relays.map(|relay| Contact::parse(relay)).collect()
    }

    /// Returns the addresses in another region that take forwarded requests, in random order.
    pub(crate) fn forward_addresses(&self, region: &str) -> Vec<String> {
        let listed = self.listed_in(region);
        let live = listed
            .iter()
            .filter(|entry| entry.state == HostState::Live)
            .filter_map(|entry| Contact::parse(&entry.peer_address).peer_http);
        let mut addresses: Vec<String> = live.collect();
        if addresses.is_empty() {
            let relays = self.relay_contacts(region).into_iter();
            addresses = relays.filter_map(|contact| contact.peer_http).collect();
        }
        for last in (1..addresses.len()).rev() {
            let other = self.random(last as u64 + 1) as usize;
            addresses.swap(last, other);
        }
        addresses
    }

    /// Returns the number of live hosts of the own region, this one included.
    pub(crate) fn live_hosts(&self) -> u32 {
        let members = self.members.lock();
        let others = members
            .members()
            .filter(|update| update.state <= MemberState::Leaving);
        u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
    }
}
