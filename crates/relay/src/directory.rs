//! Which entry hosts callers are told of.

use std::net::SocketAddr;

use lw_mesh::Stage;

use crate::host::Host;

/// The most addresses of an answer; callers use no more.
const MOST_ADDRESSES: usize = 64;

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
    let mut all: Vec<(&str, SocketAddr)> = ready
        .map(|entry| {
            let address = SocketAddr::from((entry.address.ip, port));
            (&*entry.address.region, address)
        })
        .collect();
    if host.stage() == Stage::Ready {
        all.push((&host.settings.region, host.settings.caller_address));
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
    let best = all.iter().map(|(of, _)| rank(of)).max();
    let chosen = all.iter().filter(|(of, _)| Some(rank(of)) == best);
    let addresses = chosen.map(|(_, address)| *address);
    addresses.take(MOST_ADDRESSES).collect()
}
