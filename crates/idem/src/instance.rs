//! Hosts and their incarnations.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a host.
pub type HostName = Arc<str>;

/// One run of a host's process.
///
/// A restarted host has lost its tables, so a view names the incarnation and not only the host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the host.
    pub host: HostName,
    /// A number that rises with every start of the process.
    pub incarnation: u64,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}
