//! Which entry hosts callers are told of.

use std::net::SocketAddr;

use lw_mesh::Stage;

use crate::host::Host;

/// The most addresses of an answer; callers use no more.
const MOST_ADDRESSES: usize = 64;

/// Returns the addresses of the entry hosts for callers of a region who ask for the host `name`.
///
/// Hosts of the region come first. Only when none of them takes requests, hosts of other regions take its callers:
/// those whose region may serve every route of `name`, if there are any, because a body must not pass through other
/// regions needlessly.
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
    let is_home = |region: &str| plan.routes.of_host(name).all(|route| route.allows(region));
    let near = |(of, _): &&(&str, SocketAddr)| *of == region;
    let home = |(of, _): &&(&str, SocketAddr)| is_home(of);
    let chosen: Vec<_> = if all.iter().any(|entry| near(&entry)) {
        all.iter().filter(near).collect()
    } else if all.iter().any(|entry| home(&entry)) {
        all.iter().filter(home).collect()
    } else {
        all.iter().collect()
    };
    let addresses = chosen.into_iter().map(|(_, address)| *address);
    addresses.take(MOST_ADDRESSES).collect()
}
