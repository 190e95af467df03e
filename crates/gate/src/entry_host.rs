//! What a host knows about other hosts.

use std::sync::Arc;

use serde::Serialize;

/// A host that callers can use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryHost {
    /// The address for callers.
    pub address: String,
    /// The availability zone.
    pub zone: String,
    /// Whether the host is about to stop.
    pub leaving: bool,
}

type HostsOfRegion<T> = Arc<dyn Fn(&str) -> Vec<T> + Send + Sync>;

/// The knowledge of a host about other hosts, as closures.
#[derive(Clone)]
pub struct HostView {
    /// Returns the entry hosts of a region, as far as they are known.
    pub entry_hosts: HostsOfRegion<EntryHost>,
    /// Returns the addresses in another region that take forwarded requests.
    pub forward_addresses: HostsOfRegion<String>,
    /// Returns the number of live hosts of the own region, this one included.
    pub live_hosts: Arc<dyn Fn() -> u32 + Send + Sync>,
}

impl HostView {
    /// The view of a host that knows only itself.
    #[must_use]
    pub fn alone() -> Self {
        Self {
            entry_hosts: Arc::new(|_| Vec::new()),
            forward_addresses: Arc::new(|_| Vec::new()),
            live_hosts: Arc::new(|| 1),
        }
    }
}
