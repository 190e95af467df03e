//! Entries of the host list and the directory.

use serde::{Deserialize, Serialize};

/// Whether a host is live or about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host was live when the list was last updated.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// A host in the platform's host list or directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the host.
    pub host: String,
    /// The region of the host.
    pub region: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The address for callers.
    pub caller_address: String,
    /// The address for messages from other hosts.
    pub peer_address: String,
    /// Whether the host is live or about to stop.
    pub state: HostState,
}
