//! Faults of a stream.

/// Why a stream of events cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is larger than the gateway holds.
    EventTooLarge,
    /// Events follow the end marker.
    AfterEnd,
}
