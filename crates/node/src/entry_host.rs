//! A host that callers can use.

use std::sync::Arc;

/// A host that callers can use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The name of the host.
    pub host: Arc<str>,
    /// The address for callers.
    pub address: String,
    /// The availability zone; empty when it is not known.
    pub zone: Arc<str>,
    /// Whether the host is about to stop.
    pub leaving: bool,
}
