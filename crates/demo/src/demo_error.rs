//! Errors of the demonstration and of the stand-in process.

use lw_conf::{PublishError, ServiceError};
use lw_daemon::{SettingsError, StartError};
use lw_doc::ParseError;
use thiserror::Error;

/// Why the demonstration or the stand-in process cannot go on.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A stand-in cannot be started.
    #[error("{what}: cannot listen on {address}: {error}; use a free address of this host")]
    Listen {
        /// The stand-in.
        what: String,
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A target has an address that cannot be used.
    #[error("targets.{target}.address: {address:?} is not an IP address with a port")]
    Address {
        /// The target.
        target: String,
        /// Its address.
        address: String,
    },
    /// A file cannot be read.
    #[error("{file}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A file is not what it should be.
    #[error("{0}")]
    Parse(#[from] ParseError),
    /// The settings of a host are wrong.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A host cannot be started.
    #[error("{host}: {error}")]
    Host {
        /// The host.
        host: String,
        /// The reason.
        error: StartError,
    },
    /// A document cannot be published.
    #[error("publishing: {0}")]
    Publish(#[from] PublishError),
    /// The key-value service failed.
    #[error("key-value service: {0}")]
    Service(#[from] ServiceError),
    /// Something did not happen in time.
    #[error("{what} took longer than {limit_s} s")]
    TimedOut {
        /// What was waited for.
        what: String,
        /// The limit in seconds.
        limit_s: u64,
    },
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(&'static str),
    /// Signals cannot be received.
    #[error("cannot wait for signals: {0}")]
    Signals(std::io::Error),
}
