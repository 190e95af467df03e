//! The kinds of calls to the key-value service, for metrics.

use crate::kv::KvCall;

/// The kind of a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KvCallKind {
    /// Reads a key.
    Get,
    /// Waits for a newer version of a key.
    Watch,
    /// Writes a key.
    Put,
    /// Removes a key.
    Delete,
    /// Lists keys.
    List,
    /// Opens a lease.
    LeaseOpen,
    /// Renews a lease.
    LeaseRenew,
    /// Ends a lease.
    LeaseClose,
}

impl KvCallKind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Get,
        Self::Watch,
        Self::Put,
        Self::Delete,
        Self::List,
        Self::LeaseOpen,
        Self::LeaseRenew,
        Self::LeaseClose,
    ];

    /// Returns the kind of `call`.
    #[must_use]
    pub fn of(call: &KvCall) -> Self {
        match call {
            KvCall::Get { .. } => Self::Get,
            KvCall::Watch { .. } => Self::Watch,
            KvCall::Put { .. } => Self::Put,
            KvCall::Delete { .. } => Self::Delete,
            KvCall::List { .. } => Self::List,
            KvCall::LeaseOpen { .. } => Self::LeaseOpen,
            KvCall::LeaseRenew { .. } => Self::LeaseRenew,
            KvCall::LeaseClose { .. } => Self::LeaseClose,
        }
    }

    /// Returns whether calls of this kind count against the write rate limit of the service.
    #[must_use]
    pub fn is_write(self) -> bool {
        match self {
            Self::Get | Self::Watch | Self::List => false,
            Self::Put | Self::Delete | Self::LeaseOpen | Self::LeaseRenew | Self::LeaseClose => {
                true
            }
        }
    }

    /// Returns the metric label of the kind.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Watch => "watch",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::LeaseOpen => "lease-open",
            Self::LeaseRenew => "lease-renew",
            Self::LeaseClose => "lease-close",
        }
    }
}
