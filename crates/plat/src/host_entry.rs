//! Entries of the host list and the directory.

use serde::{Deserialize, Serialize};

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is up, as far as the list knows.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One host of the platform's host list or directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the host.
    pub host: String,
    /// The region that it stands in.
    pub region: String,
    /// The availability zone that it stands in.
    pub zone: String,
    /// The address that callers use.
    pub caller_address: String,
    /// The address that other hosts use for peer messages.
    pub peer_address: String,
    /// Whether it stays.
    pub state: HostState,
}
