//! Reasons to refuse a frame.

use std::sync::atomic::{AtomicU64, Ordering};

use thiserror::Error;

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum FrameRefusal {
    /// The frame is shorter than its parts.
    #[error("the frame is truncated")]
    Truncated,
    /// The frame is larger than [`crate::FRAME_BYTES_MAX`].
    #[error("the frame is too large")]
    TooLarge,
    /// The frame has another version than this build.
    #[error("the frame has an unknown version")]
    Version,
    /// No accepted key matches the tag.
    #[error("no accepted key matches the tag")]
    Key,
    /// The sequence number was seen before, is too old, or belongs to a former incarnation.
    #[error("the frame is a repeat")]
    Replayed,
    /// The frame is for another host.
    #[error("the frame is for another host")]
    Misdirected,
    /// The body does not decode, or is not of the stated kind.
    #[error("the body is malformed")]
    Malformed,
}

impl FrameRefusal {
    /// Every reason.
    pub const ALL: [Self; 7] = [
        Self::Truncated,
        Self::TooLarge,
        Self::Version,
        Self::Key,
        Self::Replayed,
        Self::Misdirected,
        Self::Malformed,
    ];

    /// Returns the metric label.
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

/// Counts of refused frames by reason.
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
