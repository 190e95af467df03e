//! What a host is told about itself.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use lw_base::prelude::*;

/// The place and the addresses of a host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the host.
    pub host: Arc<str>,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The region of each availability zone.
    pub zones: FastMap<Arc<str>, Arc<str>>,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub ready_address: SocketAddr,
    /// Where callers ask for entry hosts.
    pub directory_address: SocketAddr,
    /// The port that hosts use among themselves, for TCP and UDP; it is the same on all hosts.
    pub peer_port: u16,
    /// Addresses of some other hosts; they may be down.
    pub seeds: Vec<Ipv4Addr>,
    /// Thousandths of a processor core that the host may use.
    pub capacity_permille: u16,
    /// The bounds of this deployment.
    pub bounds: Bounds,
}

/// The bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Repeats allowed for each request, over all hosts.
    pub retry_ratio: f64,
    /// Repeats that are always allowed in a window, over all hosts.
    pub retry_extra: f64,
    /// The window of the two bounds before, in milliseconds.
    pub retry_window_ms: u64,
    /// How far the requests to a cold target may exceed its rate.
    pub cold_factor: f64,
    /// The requests that a cold target takes beyond that in any second.
    pub cold_slack: f64,
    /// The longest time for which callers may use an answer of the directory, in seconds.
    pub directory_ttl_s: u64,
}

/// The thousandths of a core that the traffic of one Mbit/s keeps busy: a request that passes a host takes half a
/// millisecond of a core and 4 KB in each direction, measured on a grown deployment.
const CORE_PERMILLE_OF_MBPS: f64 = 15.0;

/// Returns the part of a core that a host can use, in thousandths, by its processor share and its link.
#[must_use]
pub fn capacity_permille(cores: f64, link_mbps: f64) -> u16 {
    (cores * 1_000.0).min(link_mbps * CORE_PERMILLE_OF_MBPS) as u16
}
