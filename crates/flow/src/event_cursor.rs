//! The position in a stream of events whose ids rise.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::stream_tracker::{MAX_EVENT_BYTES, whole_events_end};

/// Why bytes cannot follow in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventCursorError {
    /// An event is larger than the bound.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An id does not rise.
    #[error("the id of an event does not follow the last one")]
    OutOfOrder,
}

/// Cuts a stream into whole events and remembers the id of the last one.
///
/// A target may stop in the middle of an event; only whole events are passed on, so that another target can go on after
/// the last id.
#[derive(Debug, Default)]
pub struct EventCursor {
    partial: BytesMut,
    last_id: Option<u64>,
    events: u64,
    resumed: bool,
}

impl EventCursor {
    /// Starts after the event that the caller has already received.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes bytes of the stream and returns the whole events that they end.
    ///
    /// # Errors
    ///
    /// Returns a fault when an event is too large, or when the first event after a resume does not follow.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, EventCursorError> {
        let events = if self.partial.is_empty() {
            let end = whole_events_end(chunk);
            self.partial.extend_from_slice(&chunk[end..]);
            chunk.slice(..end)
        } else {
            self.partial.extend_from_slice(chunk);
            let end = whole_events_end(&self.partial);
            self.partial.split_to(end).freeze()
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventCursorError::TooLarge);
        }
        for line in events.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id.trim_ascii()).unwrap_or_default();
            let Ok(id) = id.parse::<u64>() else {
                continue;
            };
            if self.resumed && self.last_id.is_some_and(|last| id != last + 1) {
                return Err(EventCursorError::OutOfOrder);
            }
            self.resumed = false;
            self.last_id = Some(id);
            self.events += 1;
        }
        Ok(events)
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events that carried an id.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns true when the bytes so far end with a whole event.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops a partial event; the next events come from another target and must follow the last id.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed = self.last_id.is_some();
    }
}
