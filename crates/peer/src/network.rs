//! The transport as a struct of closures.

use std::sync::Arc;

use bytes::Bytes;

/// What became of a frame that was handed to the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The frame is queued; delivery is not certain.
    Queued,
    /// The queue to the peer is full, and the frame was dropped.
    Full,
    /// The address is not usable, and the frame was dropped.
    Unreachable,
}

type SendFrame = dyn Fn(&str, Bytes) -> SendOutcome + Send + Sync;

/// Sends frames to addresses; received frames go to the closure that the transport was built with.
#[derive(Clone)]
pub struct Network {
    send: Arc<SendFrame>,
}

impl Network {
    /// Builds a transport from the closure that sends a frame to an address without blocking.
    pub fn new(send: impl Fn(&str, Bytes) -> SendOutcome + Send + Sync + 'static) -> Self {
        Self {
            send: Arc::new(send),
        }
    }

    /// Sends a frame without blocking.
    pub fn send(&self, address: &str, frame: Bytes) -> SendOutcome {
        (self.send)(address, frame)
    }
}
