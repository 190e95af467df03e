//! Reasons to reject a frame.

use std::sync::atomic::{AtomicU64, Ordering};

use thiserror::Error;

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum FrameRefusal {
    /// The frame is too short to contain a message and a tag.
    #[error("the frame is truncated")]
    Truncated,
    /// The frame is larger than [`crate::FRAME_BYTES_MAX`].
    #[error("the frame is too large")]
    TooLarge,
    /// The frame has another version than [`crate::FRAME_VERSION`].
    #[error("the frame has an unknown version")]
    Version,
    /// No accepted key matches the tag.
    #[error("no accepted key matches the tag")]
    Key,
    /// The sequence number was received before or is too old, or the frame is from a former incarnation of the sender.
    #[error("the frame was already received or is too old")]
    Replayed,
    /// The frame is addressed to another host.
    #[error("the frame is addressed to another host")]
    Misdirected,
    /// The frame cannot be decoded, or the message is not of the kind in the header.
    #[error("the frame cannot be decoded")]
    Malformed,
}

impl FrameRefusal {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Truncated,
        Self::TooLarge,
        Self::Version,
        Self::Key,
        Self::Replayed,
        Self::Misdirected,
        Self::Malformed,
    ];

    /// Returns the metric label of the reason.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::TooLarge => "too-large",
            Self::Version => "version",
            Self::Key => "key",
            Self::Replayed => "replayed",
            Self::Misdirected => "misdirected",
            Self::Malformed => "malformed",
        }
    }
}

/// Counts of rejected frames by reason.
#[derive(Debug, Default)]
pub struct FrameRefusalCounts {
    counts: [AtomicU64; 7],
}

impl FrameRefusalCounts {
    pub(crate) fn add(&self, refusal: FrameRefusal) {
        self.counts[refusal as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count of one reason.
    #[must_use]
    pub fn get(&self, refusal: FrameRefusal) -> u64 {
        self.counts[refusal as usize].load(Ordering::Relaxed)
    }
}
