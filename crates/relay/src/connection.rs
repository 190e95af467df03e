//! HTTP/1 client connections to targets and other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lw_base::prelude::*;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::headers::MAX_PEER_HEADERS;
use crate::paced_stream::{PacedStream, ReadProgress};

/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the connection is closed. Nothing else
/// detects a broken network path.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4_000);

/// An open connection that serves one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// When the last answer ended.
    pub(crate) idle_since: MonoMs,
    /// How long the peer keeps the idle connection open, in milliseconds.
    pub(crate) keep_alive_ms: u64,
    /// The connection has served a request before.
    pub(crate) reused: bool,
    /// The ids of the attempts that the peer has rejected on this connection.
    pub(crate) rejected_ids: Vec<HeaderValue>,
    pub(crate) progress: ReadProgress,
}

/// Why no connection was opened. Nothing was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("the connect timeout of {0} ms expired")]
    TimedOut(u128),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The keep-alive time assumed when the peer announces none, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;

/// Opens a connection and drives it in a task of its own.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    now: MonoMs,
) -> Result<Connection, ConnectError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut(timeout.as_millis()))??;
    stream.set_nodelay(true)?;
    if let Err(error) =
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
    {
        log::debug!(reason = error.to_string().as_str(); "TCP_USER_TIMEOUT could not be set");
    }
    let progress = ReadProgress::default();
    let stream = PacedStream::new(stream, progress.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_PEER_HEADERS)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(peer = address.to_string().as_str(), reason = error.to_string().as_str(); "a connection closed with an error");
        }
    });
    Ok(Connection {
        sender,
        idle_since: now,
        keep_alive_ms: DEFAULT_KEEP_ALIVE_MS,
        reused: false,
        rejected_ids: Vec::new(),
        progress,
    })
}
