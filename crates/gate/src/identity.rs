//! The place of a host.

use std::sync::Arc;

/// The names of a host and of the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The host.
    pub host: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
}
