//! The identity of a node.

use std::sync::Arc;

use lw_idem::Instance;

/// The name, location and incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The name of the host.
    pub host: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Increases with every start of the process, for example the wall clock at startup in milliseconds.
    pub incarnation: u64,
}

impl NodeIdentity {
    pub(crate) fn instance(&self) -> Instance {
        Instance {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }
}
