//! Identity of a host.

use std::sync::Arc;

/// The names of a host, its region and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name of the host.
    pub host: Arc<str>,
    /// The name of the region.
    pub region: Arc<str>,
    /// The name of the availability zone.
    pub zone: Arc<str>,
}
