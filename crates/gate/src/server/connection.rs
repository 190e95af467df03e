//! A second handle on a caller's socket.

use std::future::pending;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A second handle on a caller's socket, beside the one that the HTTP library uses.
///
/// The HTTP library does not read while it waits for a response, so it does not detect that the caller disconnects.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: TcpStream,
    busy: AtomicBool,
}

/// Marks a connection as busy until the guard is dropped.
pub(crate) struct BusyGuard(Arc<Connection>);

impl Connection {
    pub(crate) fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            busy: AtomicBool::new(false),
        }
    }

    /// Marks the connection as serving a request until the guard is dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> BusyGuard {
        self.busy.store(true, Ordering::Release);
        BusyGuard(self.clone())
    }

    /// Closes the connection for reading when it is idle; a request that was already received is still served.
    pub(crate) fn close_if_idle(&self) {
        if !self.busy.load(Ordering::Acquire) {
            let _ = self.socket.shutdown(Shutdown::Read);
        }
    }

    /// Shuts down the connection in both directions.
    pub(crate) fn shut_down(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    /// Returns true when the caller closed the connection or its sending side, and all data from the caller was read.
    pub(crate) fn is_closed_by_caller(&self) -> bool {
        // The peek does not block: the HTTP library uses the socket in non-blocking mode.
        matches!(self.socket.peek(&mut [0]), Ok(0))
    }

    /// Completes when the caller closes the connection or its sending side.
    ///
    /// Never completes when a pipelined request is waiting, because its data hides the end of the connection.
    pub(crate) async fn caller_gone(&self) {
        let socket = self
            .socket
            .try_clone()
            .and_then(tokio::net::TcpStream::from_std);
        let Ok(socket) = socket else {
            return pending().await;
        };
        match socket.peek(&mut [0]).await {
            Ok(0) | Err(_) => {}
            Ok(_) => pending().await,
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::Release);
    }
}
