//! Errors at the start of the daemon.

use thiserror::Error;

/// Why the daemon cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(
        "listen.{listener}: cannot listen on {address}: {error}; use a free address of this host"
    )]
    Listen {
        /// The name of the setting.
        listener: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The address for peer messages cannot be used.
    #[error("listen.nng: {0}; use a free address of this host")]
    Node(String),
    /// The document file cannot be used.
    #[error("document_file: {0}")]
    Document(String),
    /// An operator's digest is malformed.
    #[error("operators.{0}.token_digest: is not a SHA-256 digest; give 64 hex digits")]
    Operator(String),
}
