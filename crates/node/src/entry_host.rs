//! A host that accepts requests of callers.

use std::sync::Arc;

/// A host that accepts requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The name of the host.
    pub host: Arc<str>,
    /// The address for callers.
    pub address: String,
    /// The availability zone; empty if it is not known.
    pub zone: Arc<str>,
    /// Whether the host is leaving.
    pub leaving: bool,
}
