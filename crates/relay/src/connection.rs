//! Connections to targets and hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lw_base::prelude::*;
use thiserror::Error;
use tokio::net::TcpStream;

/// The time after which unacknowledged bytes end a connection: a cut path gives no other sign.
const UNACKNOWLEDGED: Duration = Duration::from_millis(4_000);

/// An open connection that serves one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// When its last answer ended.
    pub(crate) idle_since: MonoMs,
    /// How long the other side keeps it open while it is idle, in milliseconds.
    pub(crate) kept_ms: u64,
    /// It has served a request before.
    pub(crate) reused: bool,
}

/// Why no connection was opened. Nothing was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("no connection within {0} ms")]
    TooSlow(u128),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// How long a connection stays usable when the other side does not say, in milliseconds.
const DEFAULT_KEPT_MS: u64 = 4_000;

/// Opens a connection.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    now: MonoMs,
) -> Result<Connection, ConnectError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TooSlow(timeout.as_millis()))??;
    stream.set_nodelay(true)?;
    if let Err(error) = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)) {
        log::debug!(reason = error.to_string().as_str(); "the time-out for unacknowledged bytes is not set");
    }
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(peer = address.to_string().as_str(), reason = error.to_string().as_str(); "a connection ended");
        }
    });
    Ok(Connection {
        sender,
        idle_since: now,
        kept_ms: DEFAULT_KEPT_MS,
        reused: false,
    })
}
