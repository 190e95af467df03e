//! The address of a host and its entry in the host table.

use std::net::Ipv4Addr;
use std::sync::Arc;

use lw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::datagrams::HashRange;
use crate::heartbeat::ServiceUsage;
use crate::host_status::HostStatus;

/// The address of a host process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// The name of the host.
    pub host: Arc<str>,
    /// The IPv4 address of the host.
    pub ip: Ipv4Addr,
    /// The availability zone of the host.
    pub zone: Arc<str>,
    /// The region of the host.
    pub region: Arc<str>,
    /// The wall-clock time at which the host process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// The entry of a host in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The address of the host.
    #[serde(flatten)]
    pub address: HostAddress,
    /// The share of a processor core that the host may use, in thousandths; zero if its version does not state it.
    #[serde(default)]
    pub capacity_permille: u16,
}

/// The entry of another host in the host table.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// The address of the host.
    pub address: HostAddress,
    /// When the last heartbeat was received; `None` if the host is known only from the platform.
    pub last_heartbeat_at: Option<MonoMs>,
    /// The status from the last heartbeat, without the usage of services. Without one, it is the default with the listed
    /// capacity.
    pub status: HostStatus,
    /// The usage of services, by their hash, with the time of its last report.
    pub services: FastMap<u32, (MonoMs, ServiceUsage)>,
    /// When another host last heard from this one, if that is known.
    pub last_sighting_at: Option<MonoMs>,
    /// The host has said in an answer that it is leaving, or another host has heard so.
    pub is_seen_leaving: bool,
    /// The platform lists the host.
    pub is_listed: bool,
    /// The sequence number of the last heartbeat of this process whose loans were accepted.
    pub last_loan_sequence: u32,
}

impl HostEntry {
    /// Records the usage of the services of a range. Those that are not listed have none.
    pub(crate) fn record_services(
        &mut self,
        now: MonoMs,
        range: HashRange,
        usages: &[ServiceUsage],
    ) {
        if range == HashRange::ALL {
            self.services.clear();
        } else {
            self.services.retain(|service, _| !range.contains(*service));
        }
        let usages = usages.iter().map(|usage| (usage.service, (now, *usage)));
        self.services.extend(usages);
    }

    /// Returns when the host was last heard from, by this host or by another one.
    #[must_use]
    pub fn heard_at(&self) -> Option<MonoMs> {
        self.last_heartbeat_at.max(self.last_sighting_at)
    }

    /// Returns the weight of the host in weighted selection, relative to other hosts.
    #[must_use]
    pub fn weight(&self) -> f64 {
        capacity_weight(self.status.capacity_permille)
    }
}

/// Returns the weight of a host from its share of a processor core in thousandths.
///
/// The weight is at least 1, so that a host with no known capacity still takes part in weighted selection.
pub(crate) fn capacity_weight(capacity_permille: u16) -> f64 {
    f64::from(capacity_permille.max(1))
}
