//! A listener that can be closed while its connections stay open.

use std::future::pending;
use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A bound socket that the server converts to a [`ClosingListener`].
pub(crate) struct BoundSocket {
    pub(crate) socket: std::net::TcpListener,
    pub(crate) closing: CancellationToken,
    pub(crate) stopped: CancellationToken,
}

/// Accepts connections until `closing` is cancelled; then the socket is closed and new connections are refused.
///
/// Cancelling `stopped` makes `accept` fail, which stops the workers and the connections that they still serve.
pub(crate) struct ClosingListener {
    socket: Mutex<Option<Arc<TcpListener>>>,
    closing: CancellationToken,
    stopped: CancellationToken,
}

impl IntoListener for BoundSocket {
    type Listener = ClosingListener;

    fn into_listener(self) -> io::Result<ClosingListener> {
        self.socket.set_nonblocking(true)?;
        let socket = TcpListener::from_std(self.socket)?;
        Ok(ClosingListener {
            socket: Mutex::new(Some(Arc::new(socket))),
            closing: self.closing,
            stopped: self.stopped,
        })
    }
}

impl Listen for ClosingListener {
    async fn accept(&self) -> io::Result<Stream> {
        tokio::select! {
            biased;
            () = self.stopped.cancelled() => Err(io::ErrorKind::BrokenPipe.into()),
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
