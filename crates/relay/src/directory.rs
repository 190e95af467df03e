//! Which entry hosts callers are told of.

use std::net::SocketAddr;

use lw_mesh::Stage;

use crate::host::Host;

/// The most addresses of an answer; callers use no more.
const MOST_ADDRESSES: usize = 64;

/// Returns the addresses of the entry hosts for callers of a region.
///
/// Hosts of the region come first; only when none of them is up, hosts of other regions take its callers.
#[must_use]
pub fn entry_hosts(host: &Host, region: &str) -> Vec<SocketAddr> {
    let now = host.clock.now();
    let port = host.settings.caller_address.port();
    let hosts = host.hosts.borrow();
    let mut near = Vec::new();
    let mut far = Vec::new();
    for entry in hosts.ready(now) {
        let address = SocketAddr::from((entry.address.ip, port));
        match *entry.address.region == *region {
            true => near.push(address),
            false => far.push(address),
        }
    }
    if host.stage() == Stage::Ready {
        match *host.settings.region == *region {
            true => near.push(host.settings.caller_address),
            false => far.push(host.settings.caller_address),
        }
    }
    let mut addresses = match near.is_empty() {
        true => far,
        false => near,
    };
    addresses.truncate(MOST_ADDRESSES);
    addresses
}
