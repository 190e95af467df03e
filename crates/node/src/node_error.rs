//! Errors of starting a node.

use thiserror::Error;

/// The reason why a node cannot start.
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
    /// The address for peer messages is unspecified, such as `0.0.0.0`, so that other hosts cannot use it.
    #[error("other hosts cannot reach {address}; give the IP address of this host")]
    Unspecified {
        /// The address.
        address: String,
    },
}
