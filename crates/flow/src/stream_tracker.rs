//! Completeness of a stream of server-sent events.

use bytes::{Bytes, BytesMut};

use crate::stream_fault::StreamError;

/// The largest event that is held while its end is missing; engines send a few hundred bytes per token.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

const END_MARKER: &[u8] = b"[DONE]";

/// Cuts a stream into whole events, counts tokens and finds the end marker.
///
/// Only whole events are passed on, so that a cut in the middle of an event neither reaches the caller nor is counted
/// as a token.
#[derive(Debug, Default)]
pub struct StreamTracker {
    partial: BytesMut,
    tokens: u64,
    done: bool,
    error_seen: bool,
}

impl StreamTracker {
    /// Takes bytes of the stream and returns the whole events that they end.
    ///
    /// # Errors
    ///
    /// Returns a fault when an event is too large or follows the end marker.
    pub fn push(&mut self, chunk: &Bytes) -> Result<Bytes, StreamError> {
        let events = self.take_whole(chunk);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge);
        }
        self.count(&events)?;
        Ok(events)
    }

    /// Returns the number of tokens in the whole events so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns true when the end marker was seen.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns true when an error event was seen.
    #[must_use]
    pub fn has_error(&self) -> bool {
        self.error_seen
    }

    /// Forgets a partial event, before the stream goes on from another engine.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    fn take_whole(&mut self, chunk: &Bytes) -> Bytes {
        if self.partial.is_empty() {
            let end = whole_events_end(chunk);
            self.partial.extend_from_slice(&chunk[end..]);
            return chunk.slice(..end);
        }
        self.partial.extend_from_slice(chunk);
        let end = whole_events_end(&self.partial);
        self.partial.split_to(end).freeze()
    }

    /// Counts whole events; an error event and an event without data, such as a comment, are no tokens.
    fn count(&mut self, events: &[u8]) -> Result<(), StreamError> {
        let mut event_data: Option<&[u8]> = None;
        let mut is_error = false;
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = line.strip_prefix(b"data:") {
                event_data.get_or_insert(data.trim_ascii());
            }
            if let Some(name) = line.strip_prefix(b"event:") {
                is_error = name.trim_ascii() == b"error";
            }
            if !line.is_empty() {
                continue;
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
            self.error_seen = true;
        } else if data == END_MARKER {
            self.done = true;
        } else {
            self.tokens += 1;
        }
        Ok(())
    }
}

/// Returns the position after the last empty line, which ends an event.
pub(crate) fn whole_events_end(bytes: &[u8]) -> usize {
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
