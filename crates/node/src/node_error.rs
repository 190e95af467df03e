//! Why a node does not start.

use thiserror::Error;

/// Why a node does not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeError {
    /// The address for peer messages cannot be used.
    #[error("cannot listen on {address} for peer messages: {reason}; give a free address")]
    Listen {
        /// The address.
        address: String,
        /// The error of the transport.
        reason: String,
    },
    /// The address for peer messages stands for every address of the host.
    #[error("other hosts cannot reach {address}; give the IP address of this host")]
    Unspecified {
        /// The address.
        address: String,
    },
}
