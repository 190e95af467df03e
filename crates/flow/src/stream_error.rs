//! Errors of an event stream.

/// Why a stream of events is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event exceeds [`crate::MAX_EVENT_BYTES`].
    EventTooLarge,
    /// An event follows the end marker.
    AfterEnd,
    /// The engine reports an error.
    ErrorEvent,
    /// A text between events is neither an event nor a comment.
    NotAnEvent,
}
