//! Errors of the demonstration and of the process that runs the fakes.

use lw_conf::{ConfigStoreError, PublishError};
use lw_daemon::{SettingsError, StartError};
use lw_doc::ParseError;
use thiserror::Error;

/// An error that ends the demonstration or the process that runs the fakes.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A fake service cannot listen on its address.
    #[error("{what}: cannot listen on {address}: {error}; use a free address of this host")]
    Listen {
        /// The name of the service.
        what: String,
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The address of a target is malformed.
    #[error(
        "targets.{target}.address: {address:?} is not an IP address with a port; give one such as 127.0.0.1:9000"
    )]
    Address {
        /// The target.
        target: String,
        /// Its address.
        address: String,
    },
    /// A file cannot be read.
    #[error("{file}: cannot be read: {error}; check the path and its permissions")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A file cannot be parsed.
    #[error("{0}")]
    Parse(#[from] ParseError),
    /// The settings of a host are invalid.
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
    #[error("publishing the document failed: {0}")]
    Publish(#[from] PublishError),
    /// The key-value service failed.
    #[error("key-value service: {0}")]
    Service(#[from] ConfigStoreError),
    /// A step exceeded its time limit.
    #[error("{what} took longer than {limit_s} s")]
    TimedOut {
        /// The step.
        what: String,
        /// The limit in seconds.
        limit_s: u64,
    },
    /// The arguments are invalid.
    #[error("{0}")]
    Usage(&'static str),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(std::io::Error),
}
