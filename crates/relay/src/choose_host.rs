//! The choice of another host.

use std::net::{IpAddr, SocketAddr};

use lw_base::prelude::*;
use lw_base::stable_hash_pair;
use lw_mesh::ServiceUsage;
use rand::seq::IndexedRandom;

use crate::choose::{Chosen, NoTarget, PREFILL_WEIGHT, plain_cost_ms};
use crate::decide::Tried;
use crate::host::Host;
use crate::plan::Service;
use crate::prompt::Prompt;
use crate::spill::RegionOffer;
use crate::target::Target;

/// Another host of the region that serves a request better than this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NearHost {
    pub(crate) address: SocketAddr,
    /// What the request costs there, in milliseconds.
    pub(crate) cost_ms: f64,
}

/// The way to another host of the region and its work, in milliseconds.
const NEAR_MS: f64 = 60.0;

/// What a request with a long beginning expects to wait at its home, at most, while all places for short queries are
/// taken there: targets keep more places for it.
const HOME_WAIT_MS: f64 = 600.0;

/// A host with fewer free slots is full before a request arrives, by what others send it meanwhile.
const LEAST_FREE: u16 = 2;

impl Host {
    /// Returns what the regions that may serve a request offer: the freshest word of each.
    pub(crate) fn offers(
        &self,
        now: MonoMs,
        service: &Service,
        tried: &Tried,
        home: Option<&Target>,
        allows: impl Fn(&str) -> bool,
    ) -> Vec<RegionOffer> {
        let hosts = self.hosts.borrow();
        let sent_away = self.sent_away.borrow();
        let mut freshest: FastMap<&str, (MonoMs, RegionOffer)> = FastMap::default();
        for (entry, heard_at, used) in hosts.service_usage(now, service.hash) {
            let region = &entry.address.region;
            let is_own = *region == self.settings.region;
            let is_home = home.is_some_and(|home| home.region == *region);
            let is_usable = (is_home || has_room(used)) && allows(region);
            if is_own || !is_usable || tried.regions.contains(region) {
                continue;
            }
            let wait_ms = f64::from(used.wait_ms);
            let offer = RegionOffer {
                region: region.clone(),
                wait_ms: if is_home {
                    wait_ms.min(HOME_WAIT_MS)
                } else {
                    wait_ms
                },
                targets: u32::from(used.targets).max(u32::from(is_home)),
                has_room: has_room(used),
                sent_since: sent_away.count(now, region, service.hash),
            };
            let known = freshest.get(&**region).map(|(at, _)| *at);
            if known.is_none_or(|known| known < heard_at) {
                freshest.insert(region, (heard_at, offer));
            }
        }
        freshest.into_values().map(|(_, offer)| offer).collect()
    }

    /// Returns whether another region that may serve a request has the service.
    pub(crate) fn serves_elsewhere(
        &self,
        now: MonoMs,
        service: &Service,
        allows: impl Fn(&str) -> bool,
    ) -> bool {
        let hosts = self.hosts.borrow();
        let mut uses = hosts.service_usage(now, service.hash);
        uses.any(|(entry, ..)| {
            let region = &entry.address.region;
            *region != self.settings.region && allows(region)
        })
    }

    /// Returns the peer address of a host in another region: the one of two that waits less for the service.
    pub(crate) fn host_in(
        &self,
        now: MonoMs,
        service: u32,
        offer: &RegionOffer,
    ) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let in_region: Vec<(SocketAddr, u16, f64)> = hosts
            .service_usage(now, service)
            .filter(|(entry, _, used)| {
                entry.address.region == offer.region && (has_room(*used) || !offer.has_room)
            })
            .map(|(entry, _, used)| {
                let address = SocketAddr::from((entry.address.ip, self.settings.peer_port));
                (address, used.wait_ms, entry.weight())
            })
            .collect();
        Some(one_of_two(&in_region)?.0)
    }

    /// Returns another host of the region, when it serves a request better than this one: it covers the home of the
    /// request's beginning, or it has room where this host has none.
    pub(crate) fn host_near(
        &self,
        now: MonoMs,
        service: &Service,
        tried: &Tried,
        local: &Result<Chosen, NoTarget>,
        home: Option<&Target>,
        prompt: &Prompt,
    ) -> Option<NearHost> {
        let own_ms = prompt.own_tokens() as f64 * self.pace(service).token_ms;
        let coverage = self.coverage.borrow();
        let address = |ip| SocketAddr::from((ip, self.settings.peer_port));
        if let Some(home) = home
            && home.region == self.settings.region
            && !coverage.covered_by_self(home.hash)
        {
            let at_home_ms = NEAR_MS + PREFILL_WEIGHT * own_ms;
            let is_better = local
                .as_ref()
                .map_or(true, |chosen| at_home_ms < chosen.cost_ms);
            let covering = coverage
                .other_hosts(home.hash)
                .iter()
                .map(|ip| address(*ip));
            let covering: Vec<_> = covering
                .filter(|host| !tried.hosts.contains(host))
                .collect();
            if is_better && !covering.is_empty() {
                // The same host for a beginning, which then knows for certain what the home keeps of it.
                let beginning = prompt.shared_beginning().unwrap_or_default();
                let weight = |host: &SocketAddr| stable_hash_pair(beginning, &octets(host));
                let chosen = covering.into_iter().max_by_key(weight);
                return chosen.map(|address| NearHost {
                    address,
                    cost_ms: PREFILL_WEIGHT * own_ms,
                });
            }
        }
        if local.is_ok() {
            return None;
        }
        let hosts = self.hosts.borrow();
        let with_room: Vec<(SocketAddr, u16, f64)> = hosts
            .service_usage(now, service.hash)
            .filter(|(entry, _, used)| {
                entry.address.region == self.settings.region && has_room(*used)
            })
            .map(|(entry, _, used)| (address(entry.address.ip), used.wait_ms, entry.weight()))
            .filter(|(host, ..)| !tried.hosts.contains(host))
            .collect();
        let (address, wait_ms) = one_of_two(&with_room)?;
        let wait_ms = f64::from(wait_ms);
        let cost_ms = match service.engine {
            Some(_) => wait_ms + NEAR_MS + PREFILL_WEIGHT * own_ms,
            None => plain_cost_ms(wait_ms, self.pace(service).answer_ms),
        };
        Some(NearHost { address, cost_ms })
    }
}

/// Draws two hosts by weight and returns the one with the shorter wait, with that wait in milliseconds.
///
/// Hosts differ four-fold in processor time and twenty-fold in their links: with equal chances, the links of the small
/// ones were full at peak, and requests reached their first target after 2 s.
fn one_of_two(hosts: &[(SocketAddr, u16, f64)]) -> Option<(SocketAddr, u16)> {
    let mut rng = rand::rng();
    let mut draw = || hosts.choose_weighted(&mut rng, |host| host.2).ok();
    let (first, second) = (draw()?, draw()?);
    let best = if second.1 < first.1 { second } else { first };
    Some((best.0, best.1))
}

fn octets(host: &SocketAddr) -> [u8; 4] {
    match host.ip() {
        IpAddr::V4(ip) => ip.octets(),
        // Hosts have addresses of the older kind only.
        IpAddr::V6(_) => [0; 4],
    }
}

/// Returns whether a host can take more requests of a service.
fn has_room(used: ServiceUsage) -> bool {
    used.targets > 0 && used.free_slots >= LEAST_FREE
}
