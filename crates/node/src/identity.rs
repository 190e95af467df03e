//! Who a node is.

use std::sync::Arc;

use lw_idem::Instance;

/// The name and the place of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The name of the host.
    pub host: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Rises with every start of the process, for example the wall clock at the start in milliseconds.
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
