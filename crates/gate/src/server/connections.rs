//! The open connections of a listener.

use std::sync::Arc;

use lw_base::prelude::*;
use parking_lot::Mutex;

use crate::server::connection::Connection;

/// The open connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: Mutex<FastMap<u64, Arc<Connection>>>,
    next_id: std::sync::atomic::AtomicU64,
}

/// Keeps a connection registered until the registration is dropped.
pub(crate) struct Registration {
    connections: Arc<Connections>,
    id: u64,
}

impl Connections {
    /// Registers a connection until the registration is dropped.
    pub(crate) fn register(self: &Arc<Self>, connection: Arc<Connection>) -> Registration {
        let id = self
            .next_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        self.open.lock().insert(id, connection);
        Registration {
            connections: self.clone(),
            id,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.lock().len()
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        for connection in self.open.lock().values() {
            connection.close_if_idle();
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.open.lock().remove(&self.id);
    }
}
