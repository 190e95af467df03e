//! Errors at the start of the daemon.

use thiserror::Error;

/// Reason that the daemon could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(
        "listen.{listener}: cannot listen on {address}: {error}; use a free address of this host"
    )]
    Listen {
        /// Name of the field under `listen`.
        listener: &'static str,
        /// Address that was refused.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The node could not start, for example because its address for peer messages is in use.
    #[error("listen.nng: {0}; use a free address of this host")]
    Node(String),
    /// The document file cannot be used.
    #[error("document_file: {0}")]
    Document(String),
    /// The token digest of the named operator is malformed.
    #[error("operators.{0}.token_digest: is not a SHA-256 digest; give 64 hex digits")]
    Operator(String),
}
