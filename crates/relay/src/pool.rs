//! Idle connections, by address and incarnation.

use std::cell::RefCell;
use std::net::SocketAddr;

use lw_base::prelude::*;

use crate::connection::Connection;

/// The part of the idle time announced by the other side that is used; its close may already be on the way.
const KEPT_PART: f64 = 0.7;
/// The most idle connections of one address.
const MOST_IDLE: usize = 64;
/// Keys without a fresh connection are dropped when there are more than this many.
const MOST_KEYS: usize = 64;

/// The other end of a connection. The incarnation is zero for hosts.
pub(crate) type PoolKey = (SocketAddr, u32);

/// Idle connections.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<FastMap<PoolKey, Vec<Connection>>>,
}

impl Pool {
    /// Takes the connection that was used last, if it is fresh and open.
    pub(crate) fn take(
        &self,
        now: MonoMs,
        key: PoolKey,
        longest_idle_ms: u64,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            let usable_ms = (connection.kept_ms as f64 * KEPT_PART) as u64;
            let idle_ms = now.since_ms(connection.idle_since);
            if connection.sender.is_ready() && idle_ms < usable_ms.min(longest_idle_ms) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended.
    pub(crate) fn put(&self, now: MonoMs, key: PoolKey, mut connection: Connection) {
        connection.idle_since = now;
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        if idle.len() > MOST_KEYS {
            idle.retain(|_, connections| {
                connections.retain(|connection| !connection.sender.is_closed());
                !connections.is_empty()
            });
        }
        let connections = idle.entry(key).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// Drops the idle connections of an address.
    pub(crate) fn forget(&self, key: PoolKey) {
        self.idle.borrow_mut().remove(&key);
    }
}
