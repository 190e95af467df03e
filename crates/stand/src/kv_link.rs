//! A link between one client and the key-value service that can be cut.

use std::sync::Arc;

use lw_plat::{Kv, KvError};
use parking_lot::Mutex;

/// What passes a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Calls and replies pass.
    #[default]
    Up,
    /// No connection can be opened.
    Down,
    /// Calls reach the service, replies do not come back.
    RepliesLost,
}

/// A link that can be cut for one client while others still reach the service.
#[derive(Clone, Debug, Default)]
pub struct KvLink {
    state: Arc<Mutex<LinkState>>,
}

impl KvLink {
    /// Returns a client that reaches `kv` only over this link.
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
                // A cut while the call was on its way loses the reply.
                match link.state() {
                    LinkState::Up => reply,
                    LinkState::Down | LinkState::RepliesLost => Err(KvError::ReplyLost),
                }
            })
        })
    }

    /// Changes what passes.
    pub fn set(&self, state: LinkState) {
        *self.state.lock() = state;
    }

    /// Returns what passes now.
    #[must_use]
    pub fn state(&self) -> LinkState {
        *self.state.lock()
    }
}
