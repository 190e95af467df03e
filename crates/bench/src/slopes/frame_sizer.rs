//! Measures the size of encoded messages.

use lw_peer::{Codec, Message, PeerKeys};

use crate::slopes::target::host_name;

/// Measures frames with the codec that hosts use.
pub(crate) struct FrameSizer {
    codec: Codec,
    receiver: String,
}

impl FrameSizer {
    pub(crate) fn new() -> Self {
        Self {
            // Incarnations are wall-clock times in milliseconds.
            codec: Codec::new(
                &host_name(44, 21),
                1_800_000_000_000,
                PeerKeys::new(&[7; 32]),
            ),
            receiver: host_name(44, 20),
        }
    }

    /// Returns the bytes of the frame that carries `message`.
    pub(crate) fn frame_bytes(&self, message: &Message) -> usize {
        let frame = self.codec.encode(&self.receiver, message);
        frame.map_or(0, |frame| frame.len())
    }
}
