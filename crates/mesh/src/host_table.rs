//! The hosts that this host knows.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::{ranked_by_weight, stable_hash};

use crate::coverage::{Coverage, CoveringHost};
use crate::heartbeat::{Heartbeat, ServiceUsage};
use crate::host_entry::{HostAddress, HostEntry, capacity_weight};
use crate::host_status::HostStatus;
use crate::stage::Stage;

/// A host counts as up for this long after its last beat: six lost beats in a row.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 2_500;
/// A host that is silent for this long is forgotten; above the longest outage that a day holds.
const FORGET_MS: u64 = 30_000;
/// A restarted host whose wall clock went back is taken for newer after this silence of the former process.
const REPLACE_MS: u64 = 900;
/// The most hosts of its region that a host sends each beat to. Larger regions are covered in turns, which keeps the
/// bytes of a host independent of the size of its region.
const REGION_FAN_OUT: usize = 12;
/// The first turn of a host lies below this. Hosts start together, and with the same first turn all of them spoke to the
/// same three hosts at a time: each heard all other regions at once, and then nothing for 6 s.
const FIRST_TURNS: u64 = 1 << 16;
/// Hosts of other regions that a host sends each beat to.
const REMOTE_FAN_OUT: usize = 3;

/// The hosts of a region that watch the platform; the others take its state from them. Each call is priced, and with
/// 77 hosts every change cost 77 calls.
pub const WATCHERS_PER_REGION: usize = 3;
/// The platform's answers to a host count as fresh up to this age: the time that a watch waits, and some more.
const FRESH_PLATFORM_MS: u64 = 5_500;

/// Where the next beat goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Hosts of the sender's region.
    pub same_region: Vec<Ipv4Addr>,
    /// Hosts of other regions.
    pub other_regions: Vec<Ipv4Addr>,
}

/// The hosts that a host knows, without itself.
#[derive(Debug)]
pub struct HostTable {
    name: Arc<str>,
    region: Arc<str>,
    hosts: FastMap<Arc<str>, HostEntry>,
    seeds: Vec<Ipv4Addr>,
    capacity_permille: u16,
    turn: usize,
    /// The most hosts of the region that were known together with this host.
    most_near: usize,
    most_all: usize,
}

impl HostTable {
    /// Creates the table of the host `name` in `region`, which may use `capacity_permille` of a processor core.
    #[must_use]
    pub fn new(
        name: Arc<str>,
        region: Arc<str>,
        seeds: Vec<Ipv4Addr>,
        capacity_permille: u16,
    ) -> Self {
        let turn = (stable_hash(name.as_bytes()) % FIRST_TURNS) as usize;
        Self {
            name,
            region,
            hosts: FastMap::default(),
            seeds,
            capacity_permille,
            turn,
            most_near: 1,
            most_all: 1,
        }
    }

    /// Takes the platform's entry of a host.
    pub fn record_listed_host(&mut self, address: HostAddress) {
        if address.host == self.name {
            return;
        }
        let known = self.hosts.get(&address.host);
        if known.is_some_and(|known| known.address.started_ms >= address.started_ms) {
            return;
        }
        let entry = HostEntry {
            address,
            last_heartbeat_at: None,
            status: HostStatus::default(),
        };
        self.hosts.insert(entry.address.host.clone(), entry);
        self.note_sizes();
    }

    /// Forgets a host that the platform no longer names and that was never heard.
    pub fn remove_unlisted_host(&mut self, host: &str) {
        if self
            .hosts
            .get(host)
            .is_some_and(|entry| entry.last_heartbeat_at.is_none())
        {
            self.hosts.remove(host);
        }
    }

    /// Takes a beat; returns false when it comes from a former process or from this host.
    pub fn record_heartbeat(&mut self, now: MonoMs, beat: &Heartbeat) -> bool {
        if beat.address.host == self.name {
            return false;
        }
        if let Some(known) = self.hosts.get(&beat.address.host) {
            let former = beat.address.started_ms < known.address.started_ms;
            let silent = known
                .last_heartbeat_at
                .is_none_or(|at| now.since_ms(at) > REPLACE_MS);
            if former && !silent {
                return false;
            }
        }
        let entry = HostEntry {
            address: beat.address.clone(),
            last_heartbeat_at: Some(now),
            status: beat.status.clone(),
        };
        self.hosts.insert(entry.address.host.clone(), entry);
        self.note_sizes();
        true
    }

    /// Forgets hosts that have been silent for long.
    pub fn prune(&mut self, now: MonoMs) {
        self.hosts.retain(|_, entry| {
            entry
                .last_heartbeat_at
                .is_none_or(|at| now.since_ms(at) < FORGET_MS)
        });
    }

    /// Returns the hosts that are up and take requests.
    pub fn ready(&self, now: MonoMs) -> impl Iterator<Item = &HostEntry> {
        self.live_hosts(now)
            .filter(|entry| entry.status.stage == Stage::Ready)
    }

    /// Returns the hosts that were heard lately.
    pub fn live_hosts(&self, now: MonoMs) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values().filter(move |entry| {
            entry
                .last_heartbeat_at
                .is_some_and(|at| now.since_ms(at) <= HEARTBEAT_TIMEOUT_MS)
        })
    }

    /// Returns a host that knows a newer state of the platform than `as_of`.
    #[must_use]
    pub fn host_with_newer_state(&self, now: MonoMs, as_of: u64) -> Option<&HostEntry> {
        let ahead = self
            .live_hosts(now)
            .filter(|entry| entry.status.as_of > as_of);
        ahead.max_by_key(|entry| (self.is_near(entry), entry.status.as_of))
    }

    /// Returns how many hosts of the region, with this one, share a limit of a target.
    ///
    /// The largest number ever seen counts, so that hosts that do not hear one another do not exceed the limit
    /// together.
    #[must_use]
    pub fn peak_hosts_in_region(&self) -> usize {
        self.most_near
    }

    /// Returns how many hosts, with this one, share a limit of a service.
    #[must_use]
    pub fn peak_hosts_overall(&self) -> usize {
        self.most_all
    }

    /// Returns whether this host is among the `count` hosts of the region that may use the scarce thing `key`.
    #[must_use]
    pub fn is_selected(&self, now: MonoMs, key: &str, count: usize) -> bool {
        let near = self.live_hosts(now).filter(|entry| self.is_near(entry));
        let mut names: Vec<(&[u8], f64)> = near
            .map(|entry| (entry.address.host.as_bytes(), entry.weight()))
            .collect();
        names.push((
            self.name.as_bytes(),
            capacity_weight(self.capacity_permille),
        ));
        let order = ranked_by_weight(stable_hash(key.as_bytes()), &names);
        order
            .into_iter()
            .take(count)
            .any(|index| names[index].0 == self.name.as_bytes())
    }

    /// Returns whether this host watches the platform: it is one of the few of its region, or none of them hears it.
    #[must_use]
    pub fn is_watcher(&self, now: MonoMs) -> bool {
        if self.is_selected(now, "platform watch", WATCHERS_PER_REGION) {
            return true;
        }
        let mut near = self.live_hosts(now).filter(|entry| self.is_near(entry));
        !near.any(|entry| {
            let silent_ms = entry
                .last_heartbeat_at
                .map_or(u64::MAX, |at| now.since_ms(at));
            u64::from(entry.status.platform_age_ms) + silent_ms < FRESH_PLATFORM_MS
        })
    }

    /// Returns which hosts of the region cover the targets, given by service as hash and incarnation.
    #[must_use]
    pub fn coverage(&self, now: MonoMs, services: &[Vec<(u32, Arc<str>)>]) -> Coverage {
        let near = self.ready(now).filter(|entry| self.is_near(entry));
        let mut hosts: Vec<CoveringHost> = near
            .map(|entry| CoveringHost {
                name: entry.address.host.clone(),
                ip: Some(entry.address.ip),
                weight: entry.weight(),
            })
            .collect();
        hosts.push(CoveringHost {
            name: self.name.clone(),
            ip: None,
            weight: capacity_weight(self.capacity_permille),
        });
        let mut coverage = Coverage::default();
        for targets in services {
            coverage.assign(&hosts, targets);
        }
        coverage
    }

    /// Returns what each ready host says of a service.
    pub fn service_usage(
        &self,
        now: MonoMs,
        service: u32,
    ) -> impl Iterator<Item = (&HostEntry, MonoMs, ServiceUsage)> {
        self.ready(now).filter_map(move |entry| {
            let mut uses = entry.status.services.iter();
            let found = uses.find(|used| used.service == service)?;
            Some((entry, entry.last_heartbeat_at?, *found))
        })
    }

    /// Returns in how many beats each host of the region is told once.
    #[must_use]
    pub fn heartbeats_per_region_round(&self) -> usize {
        let others = self.most_near.saturating_sub(1);
        others.div_ceil(REGION_FAN_OUT).max(1)
    }

    /// Returns the addresses for the next beat and moves on to the next turn.
    pub fn recipients(&mut self) -> Recipients {
        self.turn += 1;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for entry in self.hosts.values() {
            if self.is_near(entry) {
                near.push(entry.address.ip);
            } else {
                far.push(entry.address.ip);
            }
        }
        let mut seeds: Vec<Ipv4Addr> = self.seeds.clone();
        seeds.retain(|seed| !near.contains(seed) && !far.contains(seed));
        near.sort_unstable();
        far.sort_unstable();
        let mut far = in_turn(&far, self.turn, REMOTE_FAN_OUT);
        // Seeds that no entry names yet are asked as well, so that a host finds others without the platform.
        far.extend(seeds);
        Recipients {
            same_region: in_turn(&near, self.turn, REGION_FAN_OUT),
            other_regions: far,
        }
    }

    fn is_near(&self, entry: &HostEntry) -> bool {
        entry.address.region == self.region
    }

    fn note_sizes(&mut self) {
        let near = self.hosts.values();
        let near = near.filter(|entry| self.is_near(entry)).count();
        self.most_near = self.most_near.max(near + 1);
        self.most_all = self.most_all.max(self.hosts.len() + 1);
    }
}

/// Returns `count` of `all`, going round with each turn.
fn in_turn(all: &[Ipv4Addr], turn: usize, count: usize) -> Vec<Ipv4Addr> {
    if all.len() <= count {
        return all.to_vec();
    }
    let start = turn * count;
    (0..count)
        .map(|step| all[(start + step) % all.len()])
        .collect()
}
