//! Chooses another host, in the same region or in another one.

use std::net::{IpAddr, SocketAddr};

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_mesh::ServiceUsage;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::choose::{ChosenTarget, NoTarget, PREFILL_WEIGHT, plain_cost_ms};
use crate::closed_peers::ClosedPeer;
use crate::decide::AttemptHistory;
use crate::host::Host;
use crate::plan::{Plan, Service};
use crate::prompt::Prompt;
use crate::spill::RegionCandidate;
use crate::target::Target;

/// Another host of the region that can serve a request at a lower cost than this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegionalHost {
    pub(crate) address: SocketAddr,
    /// The cost of the request on that host, in milliseconds.
    pub(crate) cost_ms: f64,
}

/// The network time to another host of the region and its processing time, in milliseconds.
const REGION_HOP_MS: f64 = 60.0;

/// Upper bound on the wait of a request with a long shared prefix at its owner when all slots for short queries are
/// taken there: targets allow it a longer queue.
const MAX_OWNER_WAIT_MS: f64 = 600.0;

/// A host with fewer free slots than this counts as full: requests of other hosts take them before the request arrives.
const MIN_FREE_SLOTS: u16 = 2;

impl Host {
    /// Returns the regions that may serve a request, each as described by its most recent heartbeat.
    pub(crate) fn region_candidates(
        &self,
        now: MonoMs,
        service: &Service,
        tried: &AttemptHistory,
        owner: Option<&Target>,
        is_within_share: impl Fn() -> bool,
        allows: impl Fn(&str) -> bool,
    ) -> Vec<RegionCandidate> {
        let hosts = self.hosts.borrow();
        let recent_spills = self.recent_spills.borrow();
        let closed_peers = self.closed_peers.borrow();
        let may_use_reserve = is_within_share();
        let mut latest: FastMap<&str, (MonoMs, RegionCandidate)> = FastMap::default();
        for (entry, received_at, usage) in hosts.service_usage(now, service.hash) {
            let region = &entry.address.region;
            let is_own_region = *region == self.settings.region;
            let is_owner = owner.is_some_and(|owner| owner.region == *region);
            let has_places = usage.targets > 0 && may_use_reserve;
            let is_usable = (is_owner || has_places || has_free_slots(usage)) && allows(region);
            let is_closed = || {
                let peer = ClosedPeer::Region(region.clone());
                closed_peers.is_closed(now, peer, &service.name)
            };
            if is_own_region || !is_usable || tried.regions.contains(region) || is_closed() {
                continue;
            }
            let wait_ms = f64::from(usage.wait_ms);
            let candidate = RegionCandidate {
                region: region.clone(),
                wait_ms: if is_owner {
                    wait_ms.min(MAX_OWNER_WAIT_MS)
                } else {
                    wait_ms
                },
                targets: u32::from(usage.targets).max(u32::from(is_owner)),
                has_free_slots: has_free_slots(usage),
                unreported_requests: recent_spills.count(now, region, service.hash),
            };
            let known = latest.get(&**region).map(|(at, _)| *at);
            if known.is_none_or(|known| known < received_at) {
                latest.insert(region, (received_at, candidate));
            }
        }
        latest
            .into_values()
            .map(|(_, candidate)| candidate)
            .collect()
    }

    /// Returns whether another region that may serve the request has the service.
    pub(crate) fn serves_elsewhere(
        &self,
        now: MonoMs,
        service: &Service,
        allows: impl Fn(&str) -> bool,
    ) -> bool {
        let hosts = self.hosts.borrow();
        let mut usages = hosts.service_usage(now, service.hash);
        usages.any(|(entry, ..)| {
            let region = &entry.address.region;
            *region != self.settings.region && allows(region)
        })
    }

    /// Returns the address of a host that covers a target of the service in this region and was not tried yet. Such a
    /// host has places for routes within their share although its targets are full.
    pub(crate) fn find_covering_host(
        &self,
        plan: &Plan,
        service: ServiceKey,
        tried: &AttemptHistory,
    ) -> Option<SocketAddr> {
        let coverage = self.coverage.borrow();
        let targets = plan.targets_of(service).iter();
        let usable = targets.filter(|target| {
            target.region == self.settings.region
                && plan.accepts_requests(target)
                && !tried.targets.contains(&target.hash)
        });
        let covering = usable.flat_map(|target| coverage.other_hosts(target.hash));
        let addresses = covering.map(|ip| SocketAddr::from((*ip, self.settings.peer_port)));
        let untried = addresses.filter(|address| !tried.hosts.contains(address));
        untried.choose(&mut rand::rng())
    }

    /// Returns the time at which the targets of a service open again, if each host of the region that covers them
    /// reports that they are closed to it.
    pub(crate) fn closed_until(&self, now: MonoMs, service: &Service) -> Option<MonoMs> {
        let hosts = self.hosts.borrow();
        let usages = hosts.service_usage(now, service.hash);
        let in_region = usages.filter(|(entry, ..)| entry.address.region == self.settings.region);
        let paused = in_region.filter(|(.., usage)| usage.targets == 0 && usage.wait_ms < u16::MAX);
        let opens_at = paused.map(|(_, at, usage)| at.plus_ms(u64::from(usage.wait_ms)));
        opens_at.min()
    }

    /// Returns the peer address of a host in another region: of two random hosts, the one with the shorter wait for the
    /// service.
    pub(crate) fn find_host_in_region(
        &self,
        now: MonoMs,
        service: u32,
        candidate: &RegionCandidate,
        tried: &AttemptHistory,
    ) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let in_region: Vec<(SocketAddr, u16, f64)> = hosts
            .service_usage(now, service)
            .filter(|(entry, _, usage)| {
                entry.address.region == candidate.region
                    && (has_free_slots(*usage) || !candidate.has_free_slots)
            })
            .map(|(entry, _, usage)| {
                let address = SocketAddr::from((entry.address.ip, self.settings.peer_port));
                (address, usage.wait_ms, entry.weight())
            })
            .filter(|(address, ..)| !tried.hosts.contains(address))
            .collect();
        Some(pick_of_two(&in_region)?.0)
    }

    /// Returns another host of the region if it can serve the request better than this one: it covers the owner of the
    /// shared prefix, or it has free slots while this host has none.
    pub(crate) fn find_host_in_own_region(
        &self,
        now: MonoMs,
        service: &Service,
        tried: &AttemptHistory,
        local: &Result<ChosenTarget, NoTarget>,
        owner: Option<&Target>,
        prompt: &Prompt,
    ) -> Option<RegionalHost> {
        let unshared_ms =
            prompt.unshared_tokens() as f64 * self.timings_of(service).prefill_ms_per_token;
        let coverage = self.coverage.borrow();
        let address = |ip| SocketAddr::from((ip, self.settings.peer_port));
        if let Some(owner) = owner
            && owner.region == self.settings.region
            && !coverage.covered_by_self(owner.hash)
        {
            let owner_cost_ms = REGION_HOP_MS + PREFILL_WEIGHT * unshared_ms;
            let is_better = local
                .as_ref()
                .map_or(true, |chosen| owner_cost_ms < chosen.cost_ms);
            let covering = coverage
                .other_hosts(owner.hash)
                .iter()
                .map(|ip| address(*ip));
            let covering: Vec<_> = covering
                .filter(|host| !tried.hosts.contains(host))
                .collect();
            if is_better && !covering.is_empty() {
                // Every host sends a prefix to the same covering host, which then knows what the owner has cached of
                // it.
                let prefix = prompt.shared_prefix().unwrap_or_default();
                let weight = |host: &SocketAddr| stable_hash_pair(prefix, &octets(host));
                let chosen = covering.into_iter().max_by_key(weight);
                return chosen.map(|address| RegionalHost {
                    address,
                    cost_ms: PREFILL_WEIGHT * unshared_ms,
                });
            }
        }
        if local.is_ok() {
            return None;
        }
        let hosts = self.hosts.borrow();
        let closed_peers = self.closed_peers.borrow();
        let with_free_slots: Vec<(SocketAddr, u16, f64)> = hosts
            .service_usage(now, service.hash)
            .filter(|(entry, _, usage)| {
                entry.address.region == self.settings.region && has_free_slots(*usage)
            })
            .map(|(entry, _, usage)| (address(entry.address.ip), usage.wait_ms, entry.weight()))
            .filter(|(host, ..)| {
                let peer = ClosedPeer::Host(*host);
                !tried.hosts.contains(host) && !closed_peers.is_closed(now, peer, &service.name)
            })
            .collect();
        let (address, wait_ms) = pick_of_two(&with_free_slots)?;
        let wait_ms = f64::from(wait_ms);
        let cost_ms = match service.engine {
            Some(_) => wait_ms + REGION_HOP_MS + PREFILL_WEIGHT * unshared_ms,
            None => plain_cost_ms(wait_ms, self.timings_of(service).answer_ms),
        };
        Some(RegionalHost { address, cost_ms })
    }
}

/// Draws two hosts at random by weight and returns the one with the shorter wait, with that wait in milliseconds.
///
/// Processor time differs between hosts by a factor of four and bandwidth by a factor of twenty. With equal weights,
/// the links of small hosts are saturated at peak load, and requests reach their first target after 2 s.
fn pick_of_two(hosts: &[(SocketAddr, u16, f64)]) -> Option<(SocketAddr, u16)> {
    let mut rng = rand::rng();
    let mut draw = || hosts.choose_weighted(&mut rng, |host| host.2).ok();
    let (first, second) = (draw()?, draw()?);
    let best = if second.1 < first.1 { second } else { first };
    Some((best.0, best.1))
}

fn octets(host: &SocketAddr) -> [u8; 4] {
    match host.ip() {
        IpAddr::V4(ip) => ip.octets(),
        // Hosts have IPv4 addresses only.
        IpAddr::V6(_) => [0; 4],
    }
}

/// Returns whether a host has free slots for a service.
fn has_free_slots(usage: ServiceUsage) -> bool {
    usage.targets > 0 && usage.free_slots >= MIN_FREE_SLOTS
}
