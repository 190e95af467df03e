//! Errors of an event stream.

/// Why a stream of events is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event exceeds [`crate::MAX_EVENT_BYTES`].
    EventTooLarge,
    /// An event follows the end marker.
    AfterEnd,
}
