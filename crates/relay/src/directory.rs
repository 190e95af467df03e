//! Selects the entry hosts that the directory returns to callers.

use std::net::SocketAddr;

use lw_mesh::Stage;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::host::Host;
use crate::plan::Plan;

/// The maximum number of addresses in an answer; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// A candidate for the answer.
struct Entry<'a> {
    region: &'a str,
    address: SocketAddr,
    capacity_permille: u16,
}

/// Returns the regions, out of those with `ready` hosts, whose hosts callers in `region` may use for the host name `name`.
///
/// Callers use the hosts of their own region. Without one, they use only regions that may see the requests of every route
/// of the name, because the directory does not know the path of a request. Without a configuration, no such region is
/// known.
#[must_use]
pub fn entry_regions<'a>(
    plan: &Plan,
    name: &str,
    region: &str,
    ready: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    let ready: Vec<&str> = ready.collect();
    let is_own_ready = ready.contains(&region);
    let is_configured = plan.version > 0;
    let may_use = |of: &&str| match is_own_ready {
        true => *of == region,
        false => is_configured && plan.routes.of_host(name).all(|route| route.allows(of)),
    };
    let mut regions: Vec<&str> = ready.into_iter().filter(may_use).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}

/// Returns the addresses of the entry hosts for callers in `region` that look up the host `name`; see [`entry_regions`].
#[must_use]
pub fn entry_hosts(host: &Host, name: &str, region: &str) -> Vec<SocketAddr> {
    let now = host.clock.now();
    let port = host.settings.caller_address.port();
    let hosts = host.hosts.borrow();
    let ready = hosts.ready(now);
    let mut all: Vec<Entry<'_>> = ready
        .map(|entry| Entry {
            region: &entry.address.region,
            address: SocketAddr::from((entry.address.ip, port)),
            capacity_permille: entry.status.capacity_permille,
        })
        .collect();
    if host.stage() == Stage::Ready {
        all.push(Entry {
            region: &host.settings.region,
            address: host.settings.caller_address,
            capacity_permille: host.settings.capacity_permille,
        });
    }
    let plan = host.plan();
    let ready_regions = all.iter().map(|entry| entry.region);
    let regions = entry_regions(&plan, name, region, ready_regions);
    all.retain(|entry| regions.contains(&entry.region));
    let max_capacity_permille = all
        .iter()
        .map(|entry| entry.capacity_permille)
        .max()
        .unwrap_or(0);
    let mut rng = rand::rng();
    // Callers pick an address at random, so a host with less capacity is included in fewer answers.
    let mut selected: Vec<SocketAddr> = all
        .iter()
        .filter(|entry| rng.random_range(0..=max_capacity_permille) <= entry.capacity_permille)
        .map(|entry| entry.address)
        .collect();
    selected.shuffle(&mut rng);
    selected.truncate(MAX_ADDRESSES);
    selected
}
