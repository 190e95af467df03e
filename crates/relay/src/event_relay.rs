//! Passing on a stream of events as they arrive, with resume at another target.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, EventCursor};
use tokio::time::Instant;

use crate::answer::OpenAnswer;
use crate::exchange::{Exchange, Started, Step};
use crate::reply::Parts;
use crate::route::AnswerForm;

/// An answer whose first whole event has arrived, or whose body has ended.
pub(crate) struct FirstEvents {
    pub(crate) answer: OpenAnswer,
    pub(crate) cursor: EventCursor,
    pub(crate) events: Bytes,
    pub(crate) ended: bool,
}

/// A part of a body.
enum Part {
    Events(Bytes),
    End,
    Broken(AttemptFailure),
}

impl FirstEvents {
    /// Reads up to the first whole event: before it, another target can still take the request unseen.
    pub(crate) async fn read(
        mut answer: OpenAnswer,
        mut cursor: EventCursor,
        deadline: Instant,
    ) -> Result<Self, AttemptFailure> {
        if cursor.last_id().is_some() {
            cursor.resume();
        }
        let mut events = BytesMut::new();
        loop {
            match next_part(&mut answer, &mut cursor, deadline).await {
                Part::Broken(failure) => return Err(failure),
                Part::End => {
                    return Ok(Self {
                        answer,
                        cursor,
                        events: events.freeze(),
                        ended: true,
                    });
                }
                Part::Events(more) => {
                    events.extend_from_slice(&more);
                    if !events.is_empty() {
                        return Ok(Self {
                            answer,
                            cursor,
                            events: events.freeze(),
                            ended: false,
                        });
                    }
                }
            }
        }
    }
}

/// A stream that is passed on.
pub(crate) struct EventRelay {
    exchange: Exchange,
    answer: Option<OpenAnswer>,
    cursor: EventCursor,
    first: Bytes,
    ended: bool,
    is_logged: bool,
}

impl EventRelay {
    pub(crate) fn new(exchange: Exchange, started: Started) -> Self {
        let FirstEvents {
            answer,
            cursor,
            events,
            ended,
        } = started.first;
        Self {
            exchange,
            answer: Some(answer),
            cursor,
            first: events,
            ended,
            is_logged: false,
        }
    }

    /// Returns the body. It is read in the task of the caller's connection, so an event takes no detour.
    pub(crate) fn into_parts(self) -> Parts {
        let parts = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(relay))),
                Ok(None) => {
                    relay.finish("answered");
                    None
                }
                Err(failure) => {
                    relay.finish("the stream was cut");
                    let error = io::Error::new(io::ErrorKind::ConnectionAborted, failure);
                    Some((Err(error), None))
                }
            }
        });
        Box::pin(parts)
    }

    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            if !self.first.is_empty() {
                return Ok(Some(std::mem::take(&mut self.first)));
            }
            let Some(answer) = &mut self.answer else {
                return Err("no answer");
            };
            if self.ended {
                if let Some(answer) = self.answer.take() {
                    let host = &self.exchange.host;
                    host.pool
                        .put(host.clock.now(), answer.key, answer.connection);
                }
                return Ok(None);
            }
            let deadline = self
                .exchange
                .host
                .clock
                .instant(self.exchange.incoming.deadline);
            match next_part(answer, &mut self.cursor, deadline).await {
                Part::Events(events) => self.first = events,
                Part::End => self.ended = true,
                Part::Broken(failure) => {
                    if let Some(answer) = self.answer.take()
                        && failure != AttemptFailure::DeadlineAfterSend
                    {
                        log::info!(id = &*self.exchange.incoming.id, to = self.exchange.last_peer.as_str(), events = self.cursor.events(); "the stream broke");
                        drop(answer);
                    }
                    self.resume(failure).await?;
                }
            }
        }
    }

    /// Goes on at another target after the last whole event.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), &'static str> {
        let resumable = AnswerForm::Events { resumable: true };
        if self.exchange.incoming.route.form != resumable
            || failure == AttemptFailure::DeadlineAfterSend
        {
            return Err("the stream cannot be resumed");
        }
        self.exchange.runs += 1;
        let after = self.cursor.last_id();
        let mut last = failure;
        loop {
            let destination = self.exchange.next(Some(last), false).await;
            let destination = destination.map_err(|end| end.reason)?;
            match self.exchange.attempt(&destination, after).await {
                Step::Events(started) => {
                    let first = started.first;
                    self.answer = Some(first.answer);
                    self.cursor = first.cursor;
                    self.first = first.events;
                    self.ended = first.ended;
                    return Ok(());
                }
                Step::Failure(failure) => {
                    if failure.outcome() == Outcome::Unknown {
                        self.exchange.runs += 1;
                    }
                    last = failure;
                }
                Step::Whole(_) | Step::TargetFailed(_) => {
                    return Err("the target did not resume the stream");
                }
            }
        }
    }

    fn finish(&mut self, reason: &str) {
        self.is_logged = true;
        self.exchange.log_end(http::StatusCode::OK, reason);
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_logged {
            self.finish("the caller left");
        }
    }
}

async fn next_part(answer: &mut OpenAnswer, cursor: &mut EventCursor, deadline: Instant) -> Part {
    let Ok(frame) = tokio::time::timeout_at(deadline, answer.body.frame()).await else {
        return Part::Broken(AttemptFailure::DeadlineAfterSend);
    };
    match frame {
        None if cursor.is_whole() => Part::End,
        None | Some(Err(_)) => Part::Broken(AttemptFailure::AnswerIncomplete),
        Some(Ok(frame)) => {
            if let Some(in_flight) = &answer.in_flight {
                in_flight.record_received();
            }
            let Ok(data) = frame.into_data() else {
                return Part::Events(Bytes::new());
            };
            match cursor.push(&data) {
                Ok(events) => Part::Events(events),
                Err(fault) => {
                    log::warn!(reason = fault.to_string().as_str(); "a stream is out of order");
                    Part::Broken(AttemptFailure::AnswerIncomplete)
                }
            }
        }
    }
}
