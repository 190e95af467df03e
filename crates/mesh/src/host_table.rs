//! The table of known hosts.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_base::{ranked_by_weight, stable_hash};

use crate::coverage::{Coverage, CoveringHost, MAX_HOSTS_PER_TARGET};
use crate::forgotten_hosts::ForgottenHosts;
use crate::heartbeat::{Heartbeat, ServiceUsage};
use crate::host_entry::{HostAddress, HostEntry, ListedHost, capacity_weight};
use crate::host_status::HostStatus;
use crate::sighting::Sighting;
use crate::stage::Stage;
use crate::state_evidence::OtherHosts;
use crate::state_version::StateVersion;
use crate::watch_duty::{RegionWatch, WatchDuty, watch_wait_ms};

/// A host counts as live for this long after its last heartbeat, which tolerates six lost heartbeats in a row.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 2_500;
/// A host without a heartbeat for this long is removed; longer than the longest outage expected in a day.
const FORGET_AFTER_MS: u64 = 30_000;
/// A heartbeat with an earlier start time is accepted after this long without heartbeats of the later-started process,
/// because the wall clock of a restarted host may have gone back.
const RESTART_SILENCE_MS: u64 = 900;
/// The minimum number of hosts of its region that a host sends each heartbeat to, if there are so many. Larger regions
/// are covered in round-robin order.
const MIN_REGION_FAN_OUT: usize = 12;
/// The number of recipients in a large region, as a multiple of the square root of its hosts: a heartbeat and its
/// sightings then reach each host in two steps, and the bytes that a host sends grow with that root.
const REGION_FAN_OUT_RATIO: f64 = 1.5;
/// The exclusive upper bound of a host's initial round. Hosts start together; if all began with the same round, they
/// would all send to the same three hosts at a time, and each host would receive nothing from other regions for 6 s.
const INITIAL_ROUND_LIMIT: u64 = 1 << 16;
/// The maximum number of sightings in a heartbeat, which bounds its datagram. A host hears from a dozen others in an
/// interval, so there is room for what they have heard.
const MAX_SIGHTINGS: usize = 60;
/// A heartbeat that was received within this time is passed on first, in milliseconds: the interval of heartbeats and a
/// margin.
const FIRST_HAND_MS: u64 = 450;
/// The maximum number of known hosts of other regions that a host sends each heartbeat to.
const REMOTE_FAN_OUT: usize = 3;

/// The key by which the hosts that watch the platform are selected.
const WATCH_KEY: &str = "platform watch";

/// The recipients of the next heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// The addresses of hosts in the sender's region.
    pub same_region: Vec<Ipv4Addr>,
    /// The addresses of hosts in other regions, and of seeds that are not known hosts yet.
    pub other_regions: Vec<Ipv4Addr>,
}

/// A host that shares the limits of the region's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharingHost {
    /// The low half of the stable hash of its name.
    pub name_hash: u32,
    /// Its address; `None` for the local host, and for a host that is no longer known.
    pub ip: Option<Ipv4Addr>,
    /// It is the local host.
    pub is_local: bool,
}

/// The hosts known to the local host, without itself.
#[derive(Debug)]
pub struct HostTable {
    name: Arc<str>,
    region: Arc<str>,
    hosts: FastMap<Arc<str>, HostEntry>,
    forgotten: ForgottenHosts,
    seeds: Vec<Ipv4Addr>,
    capacity_permille: u16,
    watch_duty: WatchDuty,
    round: usize,
    /// The largest number of hosts known at one time in the region, including the local host.
    peak_in_region: usize,
    /// The largest number of hosts known at one time, including the local host.
    peak_overall: usize,
}

impl HostTable {
    /// Creates the table of the host `name` in `region`, which may use `capacity_permille` thousandths of a processor
    /// core.
    #[must_use]
    pub fn new(
        name: Arc<str>,
        region: Arc<str>,
        seeds: Vec<Ipv4Addr>,
        capacity_permille: u16,
    ) -> Self {
        let round = (stable_hash(name.as_bytes()) % INITIAL_ROUND_LIMIT) as usize;
        Self {
            name,
            region,
            hosts: FastMap::default(),
            forgotten: ForgottenHosts::default(),
            seeds,
            capacity_permille,
            watch_duty: WatchDuty::default(),
            round,
            peak_in_region: 1,
            peak_overall: 1,
        }
    }

    /// Records a host from its entry in the platform's store, unless the same or a later process of it is known.
    pub fn record_listed_host(&mut self, listed: ListedHost) {
        let ListedHost {
            address,
            capacity_permille,
        } = listed;
        if address.host == self.name {
            return;
        }
        let mut status = HostStatus {
            capacity_permille,
            ..HostStatus::default()
        };
        if let Some(known) = self.hosts.get_mut(&address.host) {
            known.is_listed = true;
            if known.address.started_ms >= address.started_ms {
                return;
            }
            if capacity_permille == 0 {
                status.capacity_permille = known.status.capacity_permille;
            }
        }
        let entry = HostEntry {
            address,
            last_heartbeat_at: None,
            status,
            services: FastMap::default(),
            last_sighting_at: None,
            is_seen_leaving: false,
            is_listed: true,
            last_loan_sequence: 0,
        };
        self.forgotten.remove(&entry.address.host);
        self.hosts.insert(entry.address.host.clone(), entry);
        self.update_peaks();
    }

    /// Records that the platform no longer lists a host, and removes it unless a heartbeat of it was received.
    pub fn remove_unlisted_host(&mut self, now: MonoMs, host: &str) {
        let Some(entry) = self.hosts.get_mut(host) else {
            return;
        };
        entry.is_listed = false;
        if entry.last_heartbeat_at.is_none()
            && let Some(entry) = self.hosts.remove(host)
        {
            self.forget(now, &entry);
        }
    }

    fn forget(&mut self, now: MonoMs, entry: &HostEntry) {
        // A host that has announced its stop has ended, and uses nothing any more.
        let has_ended = entry.is_seen_leaving || entry.status.stage == Stage::Leaving;
        if self.is_same_region(entry) && !has_ended {
            let name = entry.address.host.clone();
            self.forgotten.add(now, name, entry.weight());
        }
    }

    /// Records a heartbeat. Returns false, and records nothing, if it comes from the local host, or from an earlier
    /// process of a host whose current process is not silent.
    pub fn record_heartbeat(&mut self, now: MonoMs, heartbeat: &Heartbeat) -> bool {
        if heartbeat.address.host == self.name {
            return false;
        }
        let mut is_listed = false;
        let mut last_loan_sequence = 0;
        let mut services = FastMap::default();
        if let Some(known) = self.hosts.get_mut(&heartbeat.address.host) {
            is_listed = known.is_listed;
            if known.address.started_ms == heartbeat.address.started_ms {
                last_loan_sequence = known.last_loan_sequence;
                services = std::mem::take(&mut known.services);
            }
            let is_earlier_process = heartbeat.address.started_ms < known.address.started_ms;
            let is_silent = known
                .last_heartbeat_at
                .is_none_or(|at| now.since_ms(at) > RESTART_SILENCE_MS);
            if is_earlier_process && !is_silent {
                return false;
            }
        }
        let status = HostStatus {
            services: Vec::new(),
            ..heartbeat.status.clone()
        };
        let mut entry = HostEntry {
            address: heartbeat.address.clone(),
            last_heartbeat_at: Some(now),
            status,
            services,
            last_sighting_at: None,
            is_seen_leaving: false,
            is_listed,
            last_loan_sequence,
        };
        entry.record_services(now, heartbeat.services_range, &heartbeat.status.services);
        if self.is_same_region(&entry) {
            self.watch_duty.record_heartbeat(now, &entry.status);
        }
        self.forgotten.remove(&entry.address.host);
        self.hosts.insert(entry.address.host.clone(), entry);
        self.record_sightings(now, &heartbeat.sightings);
        self.update_peaks();
        true
    }

    /// Returns whether a heartbeat of this process of a host was received before.
    #[must_use]
    pub fn has_heard(&self, address: &HostAddress) -> bool {
        let known = self.hosts.get(&address.host);
        known.is_some_and(|known| {
            known.last_heartbeat_at.is_some() && known.address.started_ms == address.started_ms
        })
    }

    /// Returns whether the loans of a recorded heartbeat count: not if it is a copy of an earlier one, or was overtaken.
    pub fn accepts_loans(&mut self, heartbeat: &Heartbeat) -> bool {
        let Some(entry) = self.hosts.get_mut(&heartbeat.address.host) else {
            return false;
        };
        let is_new = heartbeat.loan_sequence > entry.last_loan_sequence;
        entry.last_loan_sequence = entry.last_loan_sequence.max(heartbeat.loan_sequence);
        is_new
    }

    /// Records when another host has heard from hosts of this region. Hosts from which this host has had no heartbeat yet
    /// stay unknown, since nothing is known of their status.
    fn record_sightings(&mut self, now: MonoMs, sightings: &[Sighting]) {
        if sightings.is_empty() {
            return;
        }
        let by_hash: FastMap<u32, &Sighting> =
            sightings.iter().map(|seen| (seen.host, seen)).collect();
        for entry in self.hosts.values_mut() {
            let Some(seen) = by_hash.get(&short_name_hash(&entry.address.host)) else {
                continue;
            };
            let heard_at = seen.heard_at(now);
            if entry.last_heartbeat_at.is_some() && entry.heard_at() < Some(heard_at) {
                entry.last_sighting_at = Some(heard_at);
                entry.is_seen_leaving |= seen.is_leaving();
            }
        }
    }

    /// Returns the news of live hosts of the region for the next heartbeat: none while each heartbeat reaches every host
    /// of the region, otherwise the latest.
    #[must_use]
    pub fn sightings(&self, now: MonoMs) -> Vec<Sighting> {
        if self.peak_in_region <= self.region_fan_out() + 1 {
            return Vec::new();
        }
        let mut live: Vec<(bool, Reverse<MonoMs>, &HostEntry)> = self
            .live_hosts(now)
            .filter(|entry| self.is_same_region(entry))
            .filter_map(|entry| {
                let heard_at = entry.heard_at()?;
                let is_second_hand = entry
                    .last_heartbeat_at
                    .is_none_or(|at| now.since_ms(at) > FIRST_HAND_MS);
                Some((is_second_hand, Reverse(heard_at), entry))
            })
            .collect();
        // Each heartbeat is passed on once by each host that received it; the rest of the room is for the latest of what
        // others have told.
        live.sort_unstable_by_key(|(is_second_hand, heard_at, _)| (*is_second_hand, *heard_at));
        let latest = live.into_iter().take(MAX_SIGHTINGS);
        let sightings = latest.filter_map(|(_, Reverse(heard_at), entry)| {
            let is_leaving = entry.is_seen_leaving || entry.status.stage == Stage::Leaving;
            let hash = short_name_hash(&entry.address.host);
            Sighting::new(now, hash, heard_at, is_leaving)
        });
        sightings.collect()
    }

    /// Removes hosts without a recent heartbeat that the platform does not list.
    pub fn prune(&mut self, now: MonoMs) {
        self.forgotten.expire(now);
        let silent: Vec<Arc<str>> = self
            .hosts
            .iter()
            .filter(|(_, entry)| {
                let heard_at = entry.heard_at();
                !entry.is_listed && heard_at.is_some_and(|at| now.since_ms(at) >= FORGET_AFTER_MS)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            if let Some(entry) = self.hosts.remove(&name) {
                self.forget(now, &entry);
            }
        }
    }

    /// Records that a host has said that it is leaving, until its next heartbeat. Returns false if it was known to leave, or
    /// is not known.
    pub fn record_leaving_host(&mut self, ip: Ipv4Addr) -> bool {
        let mut hosts = self.hosts.values_mut();
        let Some(entry) = hosts.find(|entry| entry.address.ip == ip) else {
            return false;
        };
        let was_known = entry.status.stage == Stage::Leaving || entry.is_seen_leaving;
        entry.is_seen_leaving = true;
        !was_known
    }

    /// Returns whether another host of the region accepts requests.
    #[must_use]
    pub fn has_ready_neighbour(&self, now: MonoMs) -> bool {
        self.ready(now).any(|entry| self.is_same_region(entry))
    }

    /// Returns the live hosts that accept requests.
    pub fn ready(&self, now: MonoMs) -> impl Iterator<Item = &HostEntry> {
        self.live_hosts(now)
            .filter(|entry| entry.status.stage == Stage::Ready && !entry.is_seen_leaving)
    }

    /// Returns the hosts that were heard from at most [`HEARTBEAT_TIMEOUT_MS`] ago, by this host or by another one.
    pub fn live_hosts(&self, now: MonoMs) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values().filter(move |entry| {
            entry.last_heartbeat_at.is_some()
                && entry
                    .heard_at()
                    .is_some_and(|at| now.since_ms(at) <= HEARTBEAT_TIMEOUT_MS)
        })
    }

    /// Returns what the other hosts mean for the evidence that the state of this host is current.
    #[must_use]
    pub fn others(&self, now: MonoMs) -> OtherHosts {
        OtherHosts {
            are_known: self.peak_overall > 1,
            live: self.live_hosts(now).count(),
        }
    }

    /// Returns a live host whose copy of the platform's state is newer than `as_of`, preferably of the same region.
    #[must_use]
    pub fn host_with_newer_state(&self, now: MonoMs, as_of: StateVersion) -> Option<&HostEntry> {
        let newer = self
            .live_hosts(now)
            .filter(|entry| entry.status.as_of > as_of);
        newer.max_by_key(|entry| (self.is_same_region(entry), entry.status.as_of))
    }

    /// Returns a live host of the era that holds states from before a restore of the store, preferably of the same
    /// region.
    #[must_use]
    pub fn host_with_earlier_states(&self, now: MonoMs, era: u64) -> Option<&HostEntry> {
        let holding = self
            .live_hosts(now)
            .filter(|entry| entry.status.as_of.era == era && entry.status.earlier_states > 0);
        holding.max_by_key(|entry| (self.is_same_region(entry), entry.status.as_of))
    }

    /// Returns the largest number of hosts known at one time in the region, including the local host. It never falls.
    #[must_use]
    pub fn peak_hosts_in_region(&self) -> usize {
        self.peak_in_region
    }

    /// Returns the number of hosts that share the limits of the region's targets: the local host, the known ones, and those
    /// that were forgotten lately.
    #[must_use]
    pub fn sharing_hosts(&self) -> usize {
        let known = self.hosts.values();
        let known = known.filter(|entry| self.is_same_region(entry)).count();
        known + self.forgotten.len() + 1
    }

    /// Returns for how long no other host of the region was heard from, in milliseconds; `None` if no other one is known,
    /// and [`u64::MAX`] if no known one was ever heard from.
    #[must_use]
    pub fn region_silence_ms(&self, now: MonoMs) -> Option<u64> {
        let known = self.hosts.values();
        let known = known.filter(|entry| self.is_same_region(entry));
        known
            .map(|entry| entry.heard_at().map_or(u64::MAX, |at| now.since_ms(at)))
            .min()
    }

    /// Returns the number of live hosts in the region, including the local host.
    #[must_use]
    pub fn live_hosts_in_region(&self, now: MonoMs) -> usize {
        let same_region = self
            .live_hosts(now)
            .filter(|entry| self.is_same_region(entry));
        same_region.count() + 1
    }

    /// Returns the largest number of hosts known at one time in all regions, including the local host. They share the
    /// limits of a service.
    #[must_use]
    pub fn peak_hosts_overall(&self) -> usize {
        self.peak_overall
    }

    /// Returns whether the local host is one of the `count` live hosts of the region that weighted rendezvous hashing
    /// selects for `key`.
    #[must_use]
    pub fn is_selected(&self, now: MonoMs, key: &str, count: usize) -> bool {
        self.rank_among(self.live_hosts(now), key) < count
    }

    /// Returns the hosts that share the limits of the region's targets, silent and forgotten ones included, in the order of
    /// weighted rendezvous hashing for `key`. A limit with `n` parts belongs to the first `n` of them.
    ///
    /// Hosts that do not hear one another cannot agree on which of them are alive. If each of them divided the limit among
    /// the hosts that it hears from, they would hand out more parts than there are, and a host that is heard again would
    /// use its part beside the one that had replaced it.
    #[must_use]
    pub fn sharing_order(&self, key: &str) -> Vec<SharingHost> {
        let known = self.hosts.values();
        let known = known.filter(|entry| self.is_same_region(entry));
        let known = known.map(|entry| {
            let ip = Some(entry.address.ip);
            (&*entry.address.host, entry.weight(), ip)
        });
        let forgotten = self.forgotten.iter();
        let forgotten = forgotten.map(|(name, weight)| (&**name, weight, None));
        let own_weight = capacity_weight(self.capacity_permille);
        let local = std::iter::once((&*self.name, own_weight, None));
        let hosts: Vec<_> = known.chain(forgotten).chain(local).collect();
        let names: Vec<(&[u8], f64)> = hosts
            .iter()
            .map(|(name, weight, _)| (name.as_bytes(), *weight))
            .collect();
        let order = ranked_by_weight(stable_hash(key.as_bytes()), &names);
        let order = order.into_iter().map(|index| {
            let (name, _, ip) = hosts[index];
            SharingHost {
                name_hash: short_name_hash(name),
                ip,
                is_local: *name == *self.name,
            }
        });
        order.collect()
    }

    /// Returns the rank of the local host, from zero, in [`Self::sharing_order`].
    #[must_use]
    pub fn share_rank(&self, key: &str) -> usize {
        let order = self.sharing_order(key);
        let own = order.iter().position(|host| host.is_local);
        own.unwrap_or(order.len())
    }

    /// Returns whether the local host knows other hosts of its region, and the weight of each of them.
    #[must_use]
    pub fn knows_region(&self) -> bool {
        let others = self.hosts.values();
        let mut others = others.filter(|entry| self.is_same_region(entry)).peekable();
        others.peek().is_some() && others.all(|entry| entry.status.capacity_permille > 0)
    }

    /// Returns the rank of the local host among itself and `others`.
    fn rank_among<'a>(&'a self, others: impl Iterator<Item = &'a HostEntry>, key: &str) -> usize {
        let same_region = others.filter(|entry| self.is_same_region(entry));
        let mut names: Vec<(&[u8], f64)> = same_region
            .map(|entry| (entry.address.host.as_bytes(), entry.weight()))
            .collect();
        names.push((
            self.name.as_bytes(),
            capacity_weight(self.capacity_permille),
        ));
        let order = ranked_by_weight(stable_hash(key.as_bytes()), &names);
        let own = order
            .iter()
            .position(|index| names[*index].0 == self.name.as_bytes());
        own.unwrap_or(order.len())
    }

    /// Records that the platform has answered a watch of the local host.
    pub fn record_watch_answer(&mut self, now: MonoMs) {
        self.watch_duty.record_own_answer(now);
    }

    /// Records that the local host has read the platform's keys, in a state that may be old.
    pub fn record_listing(&mut self, now: MonoMs) {
        self.watch_duty.record_listing(now);
    }

    /// Records that a watch of the local host was refused or not answered. Returns whether other hosts should learn of it.
    pub fn record_watch_failure(&mut self, now: MonoMs) -> bool {
        self.watch_duty.record_failure(now)
    }

    /// Returns whether the watches of the local host fail.
    #[must_use]
    pub fn is_watch_failing(&self, now: MonoMs) -> bool {
        self.watch_duty.is_failing(now)
    }

    /// Returns the age of the last answer of the platform to a watch of a host of the region, in milliseconds; `None` if no
    /// answer is known.
    #[must_use]
    pub fn region_watch_age_ms(&self, now: MonoMs) -> Option<u64> {
        self.watch_duty.answer_age_ms(now)
    }

    /// Returns whether the local host has to watch the platform: it is one of the selected hosts, or the platform does not
    /// answer these.
    #[must_use]
    pub fn is_watcher(&self, now: MonoMs) -> bool {
        self.watch_duty.is_due(now, self.region_watch(now))
    }

    /// Returns how long the next watch of the local host waits for changes, in milliseconds. `has_waited` states that the
    /// wait of its last one has ended without a change.
    #[must_use]
    pub fn watch_wait_ms(&self, now: MonoMs, has_waited: bool) -> u64 {
        watch_wait_ms(self.region_watch(now), has_waited)
    }

    /// Returns the selection of the hosts that watch: those whose watches do not fail come first.
    fn region_watch(&self, now: MonoMs) -> RegionWatch {
        let is_failing = self.is_watch_failing(now);
        let own_weight = capacity_weight(self.capacity_permille);
        let own = (&*self.name, own_weight, is_failing, None);
        let live = self
            .live_hosts(now)
            .filter(|entry| self.is_same_region(entry));
        let hosts: Vec<_> = live
            .map(|entry| {
                let name = &*entry.address.host;
                let is_failing = entry.status.is_watch_failing;
                (name, entry.weight(), is_failing, Some(entry))
            })
            .chain(std::iter::once(own))
            .collect();
        let names: Vec<(&[u8], f64)> = hosts
            .iter()
            .map(|(name, weight, _, _)| (name.as_bytes(), *weight))
            .collect();
        let mut order = ranked_by_weight(stable_hash(WATCH_KEY.as_bytes()), &names);
        order.sort_by_key(|index| hosts[*index].2);
        let first = order.first().and_then(|index| hosts[*index].3);
        let first_answer_age_ms = first.and_then(|entry| {
            let reported_ms = entry.status.platform_age_ms;
            let silent_ms = now.since_ms(entry.last_heartbeat_at?);
            (reported_ms < u16::MAX).then(|| u64::from(reported_ms) + silent_ms)
        });
        let rank = order.iter().position(|index| hosts[*index].3.is_none());
        RegionWatch {
            hosts: hosts.len(),
            answered_hosts: hosts.iter().filter(|(_, _, failing, _)| !failing).count(),
            rank: rank.unwrap_or(order.len()),
            first_answer_age_ms,
            is_reached_at_once: self.heartbeats_per_region_round() == 1,
        }
    }

    /// Returns which hosts of the region cover which targets. `services` holds the targets of each service as hash and
    /// incarnation.
    #[must_use]
    pub fn coverage(&self, now: MonoMs, services: &[Vec<(u32, Arc<str>)>]) -> Coverage {
        let same_region = self.ready(now).filter(|entry| self.is_same_region(entry));
        let mut hosts: Vec<CoveringHost> = same_region
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

    /// Returns the largest number of hosts of the region that can cover a target at a time, including the local host.
    #[must_use]
    pub fn max_covering_hosts(&self) -> usize {
        self.peak_in_region.min(MAX_HOSTS_PER_TARGET)
    }

    /// Returns the usage of a service as reported by each ready host, with the time of the report.
    pub fn service_usage(
        &self,
        now: MonoMs,
        service: u32,
    ) -> impl Iterator<Item = (&HostEntry, MonoMs, ServiceUsage)> {
        self.ready(now).filter_map(move |entry| {
            let (at, usage) = entry.services.get(&service)?;
            Some((entry, *at, *usage))
        })
    }

    /// Returns the addresses of at most `count` hosts of the region, those that were heard from last.
    #[must_use]
    pub fn neighbours(&self, count: usize) -> Vec<Ipv4Addr> {
        let same_region = self.hosts.values();
        let mut neighbours: Vec<&HostEntry> = same_region
            .filter(|entry| self.is_same_region(entry))
            .collect();
        neighbours.sort_unstable_by_key(|entry| Reverse(entry.heard_at()));
        let latest = neighbours.iter().take(count);
        latest.map(|entry| entry.address.ip).collect()
    }

    /// Returns the number of heartbeats after which each host of the region has received one.
    #[must_use]
    pub fn heartbeats_per_region_round(&self) -> usize {
        let others = self.peak_in_region.saturating_sub(1);
        others.div_ceil(self.region_fan_out()).max(1)
    }

    /// Returns the recipients of the next heartbeat and advances the round.
    pub fn recipients(&mut self) -> Recipients {
        self.round += 1;
        let mut same_region = Vec::new();
        let mut other_regions = Vec::new();
        for entry in self.hosts.values() {
            if self.is_same_region(entry) {
                same_region.push(entry.address.ip);
            } else {
                other_regions.push(entry.address.ip);
            }
        }
        let mut seeds: Vec<Ipv4Addr> = self.seeds.clone();
        seeds.retain(|seed| !same_region.contains(seed) && !other_regions.contains(seed));
        same_region.sort_unstable();
        other_regions.sort_unstable();
        let mut other_regions = round_robin(&other_regions, self.round, REMOTE_FAN_OUT);
        // Seeds that are not known hosts yet also receive heartbeats, so that hosts find one another without the
        // platform.
        other_regions.extend(seeds);
        Recipients {
            same_region: round_robin(&same_region, self.round, self.region_fan_out()),
            other_regions,
        }
    }

    /// Returns the number of hosts of the region that a heartbeat is sent to.
    fn region_fan_out(&self) -> usize {
        let two_steps = REGION_FAN_OUT_RATIO * (self.peak_in_region as f64).sqrt();
        MIN_REGION_FAN_OUT.max(two_steps.ceil() as usize)
    }

    fn is_same_region(&self, entry: &HostEntry) -> bool {
        entry.address.region == self.region
    }

    fn update_peaks(&mut self) {
        let same_region = self.hosts.values();
        let same_region = same_region
            .filter(|entry| self.is_same_region(entry))
            .count();
        self.peak_in_region = self.peak_in_region.max(same_region + 1);
        self.peak_overall = self.peak_overall.max(self.hosts.len() + 1);
    }
}

/// Returns the low half of the stable hash of a host's name.
fn short_name_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

/// Returns at most `count` items of `all`, in round-robin order over the rounds.
fn round_robin(all: &[Ipv4Addr], round: usize, count: usize) -> Vec<Ipv4Addr> {
    if all.len() <= count {
        return all.to_vec();
    }
    let start = round * count;
    (0..count)
        .map(|step| all[(start + step) % all.len()])
        .collect()
}
