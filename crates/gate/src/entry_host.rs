//! Lookups of other hosts.

use std::sync::Arc;

use serde::Serialize;

/// A host that accepts requests from callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// The address for callers.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

type HostsOfRegion<T> = Arc<dyn Fn(&str) -> Vec<T> + Send + Sync>;

/// Closures of the daemon that look up other hosts.
#[derive(Clone)]
pub struct HostView {
    /// Returns the known entry hosts of a region.
    pub entry_hosts: HostsOfRegion<EntryHost>,
    /// Returns the addresses in another region that accept forwarded requests.
    pub forward_addresses: HostsOfRegion<String>,
    /// Returns the number of live hosts in the region of this host, including this one.
    pub live_hosts: Arc<dyn Fn() -> u32 + Send + Sync>,
}

impl HostView {
    /// Returns lookups that find no other hosts.
    #[must_use]
    pub fn alone() -> Self {
        Self {
            entry_hosts: Arc::new(|_| Vec::new()),
            forward_addresses: Arc::new(|_| Vec::new()),
            live_hosts: Arc::new(|| 1),
        }
    }
}
