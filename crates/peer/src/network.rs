//! The interface to the transport.

use std::sync::Arc;

use bytes::Bytes;

/// The result of handing a frame to the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The frame is queued; it may still be lost.
    Queued,
    /// The queue to the peer is full, and the frame was dropped.
    Full,
    /// The address is invalid or the send failed, and the frame was dropped.
    Unreachable,
}

type SendFrame = dyn Fn(&str, Bytes) -> SendOutcome + Send + Sync;

/// The sending side of the transport. It is a closure, so that tests can replace it.
#[derive(Clone)]
pub struct Network {
    send: Arc<SendFrame>,
}

impl Network {
    /// Creates a transport from a closure that sends a frame to an address without blocking.
    pub fn new(send: impl Fn(&str, Bytes) -> SendOutcome + Send + Sync + 'static) -> Self {
        Self {
            send: Arc::new(send),
        }
    }

    /// Sends a frame to `address` without blocking.
    pub fn send(&self, address: &str, frame: Bytes) -> SendOutcome {
        (self.send)(address, frame)
    }
}
