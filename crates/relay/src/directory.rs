//! Which entry hosts callers are told of.

use std::net::SocketAddr;

use lw_mesh::Stage;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::host::Host;

/// The most addresses of an answer; callers use no more.
const MOST_ADDRESSES: usize = 64;

/// A host that may be named.
struct Entry<'a> {
    region: &'a str,
    address: SocketAddr,
    capacity: u16,
}

/// Returns the addresses of the entry hosts for callers of a region who ask for the host `name`.
///
/// Hosts of the region come first. Only when none of them takes requests, hosts of other regions take its callers:
/// those whose region may serve the most routes of `name`, because a body must not pass through other regions
/// needlessly.
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
            capacity: entry.status.capacity_permille,
        })
        .collect();
    if host.stage() == Stage::Ready {
        all.push(Entry {
            region: &host.settings.region,
            address: host.settings.caller_address,
            capacity: host.settings.capacity_permille,
        });
    }
    let plan = host.plan();
    let served_routes = |region: &str| {
        let routes = plan.routes.of_host(name);
        routes.filter(|route| route.allows(region)).count()
    };
    let rank = |of: &str| match of == region {
        true => usize::MAX,
        false => served_routes(of),
    };
    let best = all.iter().map(|entry| rank(entry.region)).max();
    all.retain(|entry| Some(rank(entry.region)) == best);
    let most = all.iter().map(|entry| entry.capacity).max().unwrap_or(0);
    let mut rng = rand::rng();
    // Callers choose among the addresses at random, so a weak host is named in some of the answers only.
    let mut named: Vec<SocketAddr> = all
        .iter()
        .filter(|entry| rng.random_range(0..=most) <= entry.capacity)
        .map(|entry| entry.address)
        .collect();
    named.shuffle(&mut rng);
    named.truncate(MOST_ADDRESSES);
    named
}
