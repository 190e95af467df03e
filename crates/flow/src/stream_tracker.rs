//! Tracks the completeness of a stream of server-sent events.

use bytes::{Bytes, BytesMut};

use crate::stream_error::StreamError;

/// The maximum size of an incomplete event that is buffered. Engines send a few hundred bytes per token.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

const END_MARKER: &[u8] = b"[DONE]";

/// Splits a stream into complete events, counts tokens and detects the end marker.
///
/// Only complete events are passed on, so that an event that breaks off neither reaches the caller nor counts as a
/// token.
#[derive(Debug, Default)]
pub struct StreamTracker {
    partial: BytesMut,
    tokens: u64,
    done: bool,
    has_error_event: bool,
    /// The stream comes from an engine, and not from another host, whose error events are meant for the caller.
    is_of_engine: bool,
}

impl StreamTracker {
    /// Creates a tracker for the stream of an engine: its error events, and what is not an event, are errors.
    #[must_use]
    pub fn of_engine() -> Self {
        Self {
            is_of_engine: true,
            ..Self::default()
        }
    }

    /// Adds a chunk of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error when an event is too large, follows the end marker, or must not reach the caller. None of the
    /// chunk's events is returned or counted then.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, StreamError> {
        let events = self.take_complete_events(chunk);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge);
        }
        let before = (self.tokens, self.done, self.has_error_event);
        if let Err(error) = self.count_tokens(&events) {
            (self.tokens, self.done, self.has_error_event) = before;
            return Err(error);
        }
        Ok(events)
    }

    /// Returns the number of tokens in the complete events so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns true when the end marker was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns true when an error event was received.
    #[must_use]
    pub fn has_error(&self) -> bool {
        self.has_error_event
    }

    /// Discards a partial event before the stream is resumed from another engine.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    fn take_complete_events(&mut self, chunk: &Bytes) -> Bytes {
        if self.partial.is_empty() {
            let end = complete_events_end(chunk);
            self.partial.extend_from_slice(&chunk[end..]);
            return chunk.slice(..end);
        }
        self.partial.extend_from_slice(chunk);
        let end = complete_events_end(&self.partial);
        self.partial.split_to(end).freeze()
    }

    /// Counts the tokens in complete events. Error events and events without data, such as comments, are not tokens.
    fn count_tokens(&mut self, events: &[u8]) -> Result<(), StreamError> {
        let mut event_data: Option<&[u8]> = None;
        let mut is_error = false;
        let mut has_other_line = false;
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                event_data.get_or_insert(data.trim_ascii());
            }
            if let Some(name) = line.strip_prefix(b"event:") {
                is_error = name.trim_ascii() == b"error";
            }
            if !line.is_empty() {
                has_other_line |= !is_field(line);
                continue;
            }
            if std::mem::take(&mut has_other_line) && event_data.is_none() && self.is_of_engine {
                return Err(StreamError::NotAnEvent);
            }
            let is_error = std::mem::take(&mut is_error);
            if let Some(data) = event_data.take() {
                self.count_event(data, is_error)?;
            }
        }
        Ok(())
    }

    fn count_event(&mut self, data: &[u8], is_error: bool) -> Result<(), StreamError> {
        if self.done {
            return Err(StreamError::AfterEnd);
        }
        if is_error {
            if self.is_of_engine {
                return Err(StreamError::ErrorEvent);
            }
            self.has_error_event = true;
        } else if data == END_MARKER {
            self.done = true;
        } else {
            self.tokens += 1;
        }
        Ok(())
    }
}

/// Returns whether a line is a field of an event or a comment.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next();
    let name = name.unwrap_or_default();
    [b"".as_slice(), b"data", b"event", b"id", b"retry"].contains(&name)
}

/// Returns the position after the last empty line, where the last complete event ends.
pub(crate) fn complete_events_end(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            end = position + 1;
        }
        line_start = position + 1;
    }
    end
}
