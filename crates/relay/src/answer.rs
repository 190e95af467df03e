//! Answers of targets and other hosts after their head has arrived.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming as HyperBody;
use lw_flow::AttemptFailure;
use tokio::time::Instant;

use crate::answer_buffer::{AnswerBuffer, BufferError};
use crate::connection::Connection;
use crate::held_memory::HeldRoom;
use crate::host::Host;
use crate::in_flight::InFlight;
use crate::pool::PoolKey;
use crate::target_health::AttemptEnd;

/// An answer whose head was checked and whose body is not yet read.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HyperBody,
    pub(crate) key: PoolKey,
    pub(crate) connection: Connection,
    /// The head states where the body ends, so the end of the connection is not taken for its end.
    pub(crate) is_framed: bool,
    /// Counts the request at its target; `None` when another host answers.
    pub(crate) in_flight: Option<InFlight>,
    /// The room for the incomplete event of a stream.
    pub(crate) event_room: HeldRoom,
}

/// An answer that is buffered completely.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl OpenAnswer {
    /// Records the result of the attempt for the health of its target.
    pub(crate) fn record_end(&mut self, end: AttemptEnd) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.record_end(end);
        }
    }

    /// Reads the next frame of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineAfterSend` when the deadline has passed, also when a frame is there.
    pub(crate) async fn next_frame(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<hyper::Result<Frame<Bytes>>>, AttemptFailure> {
        // The timeout below looks at the clock only while there is no frame.
        let frame = match Instant::now() < deadline {
            true => tokio::time::timeout_at(deadline, self.body.frame()).await,
            false => {
                self.record_end(AttemptEnd::Expired);
                return Err(AttemptFailure::DeadlineAfterSend);
            }
        };
        self.connection.progress.record();
        if frame.is_err() {
            self.record_end(AttemptEnd::Expired);
        }
        frame.map_err(|_| AttemptFailure::DeadlineAfterSend)
    }

    /// Reads the body to its end and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns `DeadlineAfterSend` when the deadline passes, and `AnswerIncomplete` when the body is truncated or exceeds
    /// the limits of [`check_buffered`](crate::check_buffered).
    pub(crate) async fn read_whole(
        mut self,
        host: &Host,
        deadline: Instant,
    ) -> Result<WholeAnswer, AttemptFailure> {
        let declared = self.body.size_hint().exact().unwrap_or(0);
        let declared_bytes = usize::try_from(declared).unwrap_or(usize::MAX);
        let room = host.memory.room_for_answer(declared_bytes);
        let mut buffer = AnswerBuffer::new(&host.metrics.buffered_bytes, room);
        loop {
            let frame = match self.next_frame(deadline).await? {
                Some(Err(_)) => {
                    self.record_end(AttemptEnd::BrokenOff);
                    return Err(AttemptFailure::AnswerIncomplete);
                }
                Some(Ok(frame)) => frame,
                None => break,
            };
            // Trailers are not forwarded.
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if !buffer.wait_for_room(part.len(), deadline).await {
                log::warn!(peer = self.key.0.to_string().as_str(); "an answer found no room before its deadline");
                return Err(AttemptFailure::DeadlineAfterSend);
            }
            if let Err(error) = buffer.push(&part) {
                log::warn!(peer = self.key.0.to_string().as_str(), reason = error.to_string().as_str(); "gave up reading an answer");
                if error == BufferError::AnswerTooLarge {
                    self.record_end(AttemptEnd::BrokenOff);
                }
                return Err(AttemptFailure::AnswerIncomplete);
            }
        }
        self.record_end(AttemptEnd::Answered);
        let body = buffer.take();
        host.pool.put(host.clock.now(), self.key, self.connection);
        Ok(WholeAnswer {
            status: self.status,
            headers: self.headers,
            body,
        })
    }
}
