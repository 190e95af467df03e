//! A listener that closes on demand while its connections go on.

use std::future::pending;
use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A bound socket that becomes a [`ClosingListener`] inside the server.
pub(crate) struct BoundSocket {
    pub(crate) socket: std::net::TcpListener,
    pub(crate) closing: CancellationToken,
    pub(crate) ended: CancellationToken,
}

/// Accepts connections until `closing` is cancelled; then the socket is closed and new connections are refused.
///
/// `ended` ends the workers together with the connections that they still serve.
pub(crate) struct ClosingListener {
    socket: Mutex<Option<Arc<TcpListener>>>,
    closing: CancellationToken,
    ended: CancellationToken,
}

impl IntoListener for BoundSocket {
    type Listener = ClosingListener;

    fn into_listener(self) -> io::Result<ClosingListener> {
        self.socket.set_nonblocking(true)?;
        let socket = TcpListener::from_std(self.socket)?;
        Ok(ClosingListener {
            socket: Mutex::new(Some(Arc::new(socket))),
            closing: self.closing,
            ended: self.ended,
        })
    }
}

impl Listen for ClosingListener {
    async fn accept(&self) -> io::Result<Stream> {
        tokio::select! {
            biased;
            () = self.ended.cancelled() => Err(io::ErrorKind::BrokenPipe.into()),
            accepted = self.accept_until_closed() => accepted,
        }
    }
}

impl ClosingListener {
    async fn accept_until_closed(&self) -> io::Result<Stream> {
        let socket = self.socket.lock().clone();
        let Some(socket) = socket else {
            return pending().await;
        };
        tokio::select! {
            () = self.closing.cancelled() => {
                drop(socket);
                self.socket.lock().take();
                pending().await
            }
            accepted = socket.accept() => {
                let (stream, address) = accepted?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream.into_std()?, address))
            }
        }
    }
}
