//! A link between one client and the key-value service, with injected connection failures.

use std::sync::Arc;

use lw_plat::{Kv, KvError};
use parking_lot::Mutex;

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Calls and replies are delivered.
    #[default]
    Up,
    /// Calls fail because no connection can be opened.
    Down,
    /// Calls reach the service, but replies are lost.
    RepliesLost,
}

/// A link that can fail for one client while others still reach the service; clones share one link.
#[derive(Clone, Debug, Default)]
pub struct KvLink {
    state: Arc<Mutex<LinkState>>,
}

impl KvLink {
    /// Returns a client that calls `kv` over this link.
    #[must_use]
    pub fn attach(&self, kv: Kv) -> Kv {
        let link = self.clone();
        Kv::new(move |call| {
            let link = link.clone();
            let kv = kv.clone();
            Box::pin(async move {
                if link.state() == LinkState::Down {
                    return Err(KvError::Unreachable);
                }
                let reply = kv.call(call).await;
                // A link that goes down during the call loses the reply.
                match link.state() {
                    LinkState::Up => reply,
                    LinkState::Down | LinkState::RepliesLost => Err(KvError::ReplyLost),
                }
            })
        })
    }

    /// Sets the state of the link.
    pub fn set(&self, state: LinkState) {
        *self.state.lock() = state;
    }

    /// Returns the state of the link.
    #[must_use]
    pub fn state(&self) -> LinkState {
        *self.state.lock()
    }
}
