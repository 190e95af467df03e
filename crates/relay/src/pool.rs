//! A pool of idle connections, by address and incarnation.

use std::cell::RefCell;
use std::net::SocketAddr;

use lw_base::prelude::*;

use crate::connection::Connection;

/// The fraction of the peer's keep-alive time for which a connection is reused; after it, the peer may already be
/// closing the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// The maximum number of idle connections per key.
const MAX_IDLE_PER_KEY: usize = 64;
/// Keys whose connections are all closed are removed when there are more than this many keys.
const PRUNE_ABOVE_KEYS: usize = 64;

/// The peer of a connection: its address and the hash of its incarnation, which is zero for hosts.
pub(crate) type PoolKey = (SocketAddr, u32);

/// A pool of idle connections.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<FastMap<PoolKey, Vec<Connection>>>,
}

impl Pool {
    /// Takes the most recently used connection that is open, was idle for less than `max_idle_ms` and satisfies `may_use`.
    pub(crate) fn take(
        &self,
        now: MonoMs,
        key: PoolKey,
        max_idle_ms: u64,
        may_use: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        let mut passed_over = Vec::new();
        let mut taken = None;
        while let Some(connection) = connections.pop() {
            let usable_ms = (connection.keep_alive_ms as f64 * KEEP_ALIVE_FRACTION) as u64;
            let idle_ms = now.since_ms(connection.idle_since);
            if !connection.sender.is_ready() || idle_ms >= usable_ms.min(max_idle_ms) {
                continue;
            }
            if may_use(&connection) {
                taken = Some(connection);
                break;
            }
            passed_over.push(connection);
        }
        connections.extend(passed_over.into_iter().rev());
        taken
    }

    /// Drops the idle connections of a key that the peer has closed. Returns whether it closed one before its keep-alive time
    /// had passed, for example because it restarted.
    pub(crate) fn drop_closed(&self, now: MonoMs, key: PoolKey) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&key) else {
            return false;
        };
        let mut is_early = false;
        connections.retain(|connection| {
            let is_closed = connection.sender.is_closed();
            let usable_ms = (connection.keep_alive_ms as f64 * KEEP_ALIVE_FRACTION) as u64;
            is_early |= is_closed && now.since_ms(connection.idle_since) < usable_ms;
            !is_closed
        });
        is_early
    }

    /// Returns a connection to the pool after its answer has ended.
    pub(crate) fn put(&self, now: MonoMs, key: PoolKey, mut connection: Connection) {
        connection.idle_since = now;
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        if idle.len() > PRUNE_ABOVE_KEYS {
            idle.retain(|_, connections| {
                connections.retain(|connection| !connection.sender.is_closed());
                !connections.is_empty()
            });
        }
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_KEY {
            connections.push(connection);
        }
    }

    /// Drops the idle connections of a key.
    pub(crate) fn drop_idle(&self, key: PoolKey) {
        self.idle.borrow_mut().remove(&key);
    }
}
