//! A second handle on a caller's connection.

use std::future::pending;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A connection of a caller, beside the handle that the HTTP code reads and writes.
///
/// The HTTP code does not read while it waits for a response, so it cannot see that a caller goes away.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: TcpStream,
    busy: AtomicBool,
}

/// Marks a connection as busy while it lives.
pub(crate) struct Busy(Arc<Connection>);

impl Connection {
    pub(crate) fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            busy: AtomicBool::new(false),
        }
    }

    /// Marks that a request is being served, until the returned value is dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> Busy {
        self.busy.store(true, Ordering::Release);
        Busy(self.clone())
    }

    /// Ends the connection when it is idle; a request that has already arrived is still served.
    pub(crate) fn close_if_idle(&self) {
        if !self.busy.load(Ordering::Acquire) {
            let _ = self.socket.shutdown(Shutdown::Read);
        }
    }

    /// Cuts the connection off.
    pub(crate) fn cut(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    /// Returns true when the caller has closed the connection or its sending side and everything that it sent was read.
    pub(crate) fn is_ended(&self) -> bool {
        // The socket does not block, because the HTTP code polls it.
        matches!(self.socket.peek(&mut [0]), Ok(0))
    }

    /// Returns when the caller has closed the connection or its sending side.
    ///
    /// A pipelined request hides the end of the connection; then this never returns.
    pub(crate) async fn gone(&self) {
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

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::Release);
    }
}
