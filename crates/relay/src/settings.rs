//! The settings of a host.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use lw_base::prelude::*;

/// The location, addresses and limits of a host.
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
    /// The address to which callers send requests.
    pub caller_address: SocketAddr,
    /// The address on which the platform checks whether the host is ready.
    pub ready_address: SocketAddr,
    /// The address on which callers look up entry hosts.
    pub directory_address: SocketAddr,
    /// The port for TCP and UDP traffic between hosts; it is the same on all hosts.
    pub peer_port: u16,
    /// Addresses of some other hosts for the first contact; these hosts may be down.
    pub seeds: Vec<Ipv4Addr>,
    /// The capacity of the host, in thousandths of a processor core.
    pub capacity_permille: u16,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The limits of this deployment.
    pub bounds: Bounds,
}

/// The limits that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time from the stop signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// The retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// The retries that are always allowed in a window, over all hosts.
    pub retry_extra: f64,
    /// The length of the window for `retry_ratio` and `retry_extra`, in milliseconds.
    pub retry_window_ms: u64,
    /// The factor by which the requests to a cold target may exceed its rate limit.
    pub cold_factor: f64,
    /// The requests per second that a cold target accepts in addition to its rate limit times `cold_factor`.
    pub cold_slack: f64,
    /// The longest time for which callers may cache an answer of the directory, in seconds.
    pub directory_ttl_s: u64,
}

/// The thousandths of a core that traffic of one Mbit/s uses: forwarding a request takes half a millisecond of a core
/// and 4 KB in each direction.
const CORE_PERMILLE_PER_MBPS: f64 = 15.0;

/// Returns the capacity of a host in thousandths of a core, limited by its processor share and its link.
#[must_use]
pub fn capacity_permille(cores: f64, link_mbps: f64) -> u16 {
    (cores * 1_000.0).min(link_mbps * CORE_PERMILLE_PER_MBPS) as u16
}

/// The part of the memory of a host that its budget for requests and answers may take, as a divisor. The rest is for the
/// process itself, the copy of the platform's state, and the buffers of connections.
const BUDGET_DIVISOR: usize = 2;

/// Returns the budget for request bodies and answers of a host that may use `memory_bytes`, in bytes.
#[must_use]
pub fn budget_bytes(memory_bytes: usize) -> usize {
    memory_bytes / BUDGET_DIVISOR
}
