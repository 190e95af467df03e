//! Hosts and regions that have refused a request because all targets of its service are closed to them for a time.

use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::prelude::*;

/// Where a request could have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ClosedPeer {
    /// A host of this region.
    Host(SocketAddr),
    /// Another region.
    Region(Arc<str>),
}

/// The closed hosts and regions of each service.
///
/// Load: the limits of all targets are used up, and more requests arrive than they allow. Without this, each of them would
/// be forwarded and refused by several hosts, because their heartbeats tell of the requests that the limits allow next.
#[derive(Debug, Default)]
pub(crate) struct ClosedPeers {
    closed_until: FastMap<(ClosedPeer, Arc<str>), MonoMs>,
}

impl ClosedPeers {
    pub(crate) fn close(
        &mut self,
        now: MonoMs,
        peer: ClosedPeer,
        service: &Arc<str>,
        until: MonoMs,
    ) {
        self.closed_until.retain(|_, until| now < *until);
        self.closed_until.insert((peer, service.clone()), until);
    }

    pub(crate) fn is_closed(&self, now: MonoMs, peer: ClosedPeer, service: &Arc<str>) -> bool {
        if self.closed_until.is_empty() {
            return false;
        }
        let until = self.closed_until.get(&(peer, service.clone()));
        until.is_some_and(|until| now < *until)
    }
}
