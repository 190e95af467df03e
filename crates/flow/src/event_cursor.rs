//! The position in an event stream with increasing ids.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::stream_tracker::{MAX_EVENT_BYTES, complete_events_end};

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventCursorError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event after a resume does not have the id that follows the last one.
    #[error("the first event after a resume does not have the next id")]
    OutOfOrder,
    /// The first event after a resume has no id.
    #[error("the first event after a resume has no id")]
    Unnumbered,
}

/// The position after a complete event.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    last_id: Option<u64>,
    /// The number of events that had an id.
    events: u64,
    /// The next event is the first one after a resume.
    is_resumed: bool,
    /// An event came since the start or the last resume.
    has_event: bool,
    /// An event without an id came after the last one with an id.
    is_unnumbered: bool,
}

impl Position {
    /// Advances past an event; `id` is `None` when it has no id that is a number.
    fn advance(&mut self, id: Option<u64>) -> Result<(), EventCursorError> {
        if self.is_resumed {
            let id = id.ok_or(EventCursorError::Unnumbered)?;
            let next = self.last_id.and_then(|last| last.checked_add(1));
            if Some(id) != next {
                return Err(EventCursorError::OutOfOrder);
            }
        }
        self.is_resumed = false;
        self.has_event = true;
        self.is_unnumbered = id.is_none();
        if id.is_some() {
            self.last_id = id;
            self.events += 1;
        }
        Ok(())
    }
}

/// Splits a stream into complete events and tracks the id of the last one.
///
/// A target may stop in the middle of an event. Only complete events are passed on, so that another target can resume
/// the stream after the last id.
#[derive(Debug, Default)]
pub struct EventCursor {
    partial: BytesMut,
    position: Position,
}

impl EventCursor {
    /// Creates a cursor whose stream continues after the event that the caller has already received.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            position: Position {
                last_id,
                ..Position::default()
            },
            ..Self::default()
        }
    }

    /// Adds a chunk of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error when an event is too large, or when the first event after a resume does not have the next id.
    /// None of the chunk's events is returned then.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, EventCursorError> {
        let events = if self.partial.is_empty() {
            let end = complete_events_end(chunk);
            self.partial.extend_from_slice(&chunk[end..]);
            chunk.slice(..end)
        } else {
            self.partial.extend_from_slice(chunk);
            let end = complete_events_end(&self.partial);
            self.partial.split_to(end).freeze()
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventCursorError::TooLarge);
        }
        // Events before the invalid one are not returned either, so the position stays before them.
        self.position = position_after(self.position, &events)?;
        Ok(events)
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.position.last_id
    }

    /// Returns the number of complete events that had an id.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.position.events
    }

    /// Returns true when the received bytes end with a complete event.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns whether an event has come since the start or the last resume. Comments are no events.
    #[must_use]
    pub fn has_event(&self) -> bool {
        self.position.has_event
    }

    /// Returns whether the stream can be continued after the last id: no event without an id has followed it.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.position.is_unnumbered
    }

    /// Returns the size of the incomplete event in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards a partial event. The next event comes from another target and must have the next id.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.position.is_resumed = self.position.last_id.is_some();
        self.position.has_event = false;
    }
}

/// Returns the position after complete events.
fn position_after(mut position: Position, events: &[u8]) -> Result<Position, EventCursorError> {
    let mut is_event = false;
    let mut id = None;
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if std::mem::take(&mut is_event) {
                position.advance(id.take())?;
            }
        } else if let Some(value) = line.strip_prefix(b"id:") {
            let value = std::str::from_utf8(value.trim_ascii()).unwrap_or_default();
            id = value.parse().ok();
            is_event = true;
        } else {
            let is_comment = line.starts_with(b":") || line.starts_with(b"retry:");
            is_event |= !is_comment;
        }
    }
    Ok(position)
}
