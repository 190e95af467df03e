//! What is known about one host.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::host_status::HostStatus;

/// How a host is reached; the platform keeps one entry a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// The name of the host.
    pub host: Arc<str>,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The wall clock at the start of its process, in milliseconds.
    pub started_ms: u64,
}

/// What is known about one host.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// How it is reached.
    pub address: HostAddress,
    /// When it was last heard; `None` when only the platform named it.
    pub last_heartbeat_at: Option<MonoMs>,
    /// What it said of itself in its last beat.
    pub status: HostStatus,
}

impl HostEntry {
    /// Returns its share of the work, relative to other hosts.
    #[must_use]
    pub fn weight(&self) -> f64 {
        capacity_weight(self.status.capacity_permille)
    }
}

/// Returns the weight of a host by the thousandths of a processor core that it may use.
///
/// A host that was not heard yet, or says nothing, still has some.
pub(crate) fn capacity_weight(capacity_permille: u16) -> f64 {
    f64::from(capacity_permille.max(1))
}
