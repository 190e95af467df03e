//! Relays a stream of events as they arrive, and resumes it at another target when the stream of its target fails.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, EventCursor, MAX_EVENT_BYTES};
use lw_quarantine::CrashStage;
use tokio::time::Instant;

use crate::answer::OpenAnswer;
use crate::exchange::{AttemptStep, Exchange, StartedStream};
use crate::in_flight::InFlight;
use crate::open_requests::RequestPhase;
use crate::reply::BodyStream;
use crate::route::AnswerForm;
use crate::route_measurements::CompletedStream;
use crate::stream_head::StreamHead;
use crate::target_health::AttemptEnd;

/// A target that still runs this long after the first event of a stream has begun to answer it without a crash, in
/// milliseconds.
const SURVIVAL_MS: u64 = 250;

/// Smaller incomplete events belong to the bytes that each request takes besides its body.
const MIN_COUNTED_EVENT_BYTES: usize = 16 * 1024;

/// An answer of which the first complete event was read, or whose body has ended.
pub(crate) struct FirstEvents {
    pub(crate) answer: OpenAnswer,
    pub(crate) cursor: EventCursor,
    pub(crate) events: Bytes,
    pub(crate) ended: bool,
}

/// What the next read of a body returned.
enum StreamPart {
    Events(Bytes),
    End,
    Failed(AttemptFailure),
}

impl FirstEvents {
    /// Reads up to the first complete event: before it, the request can move to another target unnoticed by the caller.
    ///
    /// # Errors
    ///
    /// Returns the failure when the stream fails or the deadline passes before the first event.
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
            match next_stream_part(&mut answer, &mut cursor, deadline).await {
                StreamPart::Failed(failure) => return Err(failure),
                // Only a stream that continues after its last event has none left. A body without a length or chunks also
                // ends when its target crashes before the first event.
                StreamPart::End if cursor.last_id().is_none() || !answer.is_framed => {
                    answer.record_end(AttemptEnd::BrokenOff);
                    return Err(AttemptFailure::AnswerIncomplete);
                }
                StreamPart::End => {
                    answer.record_end(AttemptEnd::Answered);
                    return Ok(Self {
                        answer,
                        cursor,
                        events: events.freeze(),
                        ended: true,
                    });
                }
                StreamPart::Events(more) => {
                    events.extend_from_slice(&more);
                    if cursor.has_event() {
                        answer.record_end(AttemptEnd::Answered);
                        return Ok(Self {
                            answer,
                            cursor,
                            events: events.freeze(),
                            ended: false,
                        });
                    }
                    if events.len() > MAX_EVENT_BYTES {
                        log::warn!("a stream begins with too many comments");
                        answer.record_end(AttemptEnd::BrokenOff);
                        return Err(AttemptFailure::AnswerIncomplete);
                    }
                }
            }
        }
    }
}

/// A stream of events on its way to the caller.
pub(crate) struct EventRelay {
    exchange: Exchange,
    /// The head of the answer as the caller has received it.
    head: StreamHead,
    answer: Option<OpenAnswer>,
    cursor: EventCursor,
    unsent: Bytes,
    ended: bool,
    is_end_logged: bool,
    /// When the first event arrived, and how many requests ran on the engine then; `None` after a resume, whose events
    /// come from two engines.
    began: Option<(MonoMs, u32)>,
    /// The time from which a further event shows that the target survives the request; `None` once it is shown.
    survival_due: Option<MonoMs>,
}

impl EventRelay {
    pub(crate) fn new(exchange: Exchange, started: StartedStream) -> Self {
        let FirstEvents {
            answer,
            cursor,
            events,
            ended,
        } = started.first;
        let now = exchange.host.clock.now();
        let load = answer.in_flight.as_ref().map(InFlight::load);
        let running = load.map_or(0, |load| load.borrow().total_usage(now).running);
        Self {
            exchange,
            head: StreamHead::of(&answer),
            began: Some((now, running)),
            answer: Some(answer),
            cursor,
            unsent: events,
            ended,
            is_end_logged: false,
            survival_due: Some(now.plus_ms(SURVIVAL_MS)),
        }
    }

    /// Returns the body. It is polled in the task of the caller's connection, so events pass through no channel.
    pub(crate) fn into_body_stream(self) -> BodyStream {
        let events = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(relay))),
                Ok(None) => {
                    relay.finish("answered");
                    None
                }
                Err(failure) => {
                    relay.finish("the response stream was aborted");
                    let error = io::Error::new(io::ErrorKind::ConnectionAborted, failure);
                    Some((Err(error), None))
                }
            }
        });
        Box::pin(events)
    }

    async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            if !self.unsent.is_empty() {
                let events = self.cursor.events();
                let phase = RequestPhase::Streaming { events };
                self.exchange.record_phase(phase);
                return Ok(Some(std::mem::take(&mut self.unsent)));
            }
            let Some(answer) = &mut self.answer else {
                return Err("the stream has no open answer");
            };
            if self.ended {
                let exchange = &self.exchange;
                exchange
                    .host
                    .record_completion(exchange.incoming.suspects());
                if let Some(answer) = self.answer.take() {
                    self.record_measurements(&answer);
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
            match next_stream_part(answer, &mut self.cursor, deadline).await {
                StreamPart::Events(events) => {
                    self.unsent = events;
                    let now = self.exchange.host.clock.now();
                    if self.survival_due.is_some_and(|due| now >= due) {
                        self.record_survival();
                    }
                }
                StreamPart::End => self.ended = true,
                StreamPart::Failed(failure) => {
                    let stage = match self.survival_due {
                        Some(_) => CrashStage::Starting,
                        None => CrashStage::Streaming,
                    };
                    self.exchange.record_broken(failure, stage);
                    if let Some(answer) = self.answer.take()
                        && failure != AttemptFailure::DeadlineAfterSend
                    {
                        log::info!(id = &*self.exchange.incoming.id, to = self.exchange.last_peer.to_string().as_str(), peer = self.exchange.last_peer.kind(), events = self.cursor.events(), parts = self.exchange.prompt_parts(), request = self.exchange.incoming.request_key.to_string().as_str(); "the target's stream ended before its end marker");
                        drop(answer);
                    }
                    self.resume(failure).await?;
                }
            }
        }
    }

    fn record_survival(&mut self) {
        self.survival_due = None;
        let exchange = &self.exchange;
        exchange.host.record_survival(&exchange.incoming.prompt);
    }

    fn record_measurements(&self, answer: &OpenAnswer) {
        let Some((began_at, running_at_start)) = self.began else {
            return;
        };
        let host = &self.exchange.host;
        let stream = CompletedStream {
            events: self.cursor.events(),
            took_ms: host.clock.now().since_ms(began_at),
            running_at_start,
            load: answer.in_flight.as_ref().map(InFlight::load),
        };
        host.record_stream(&self.exchange.incoming, &stream);
    }

    /// Resumes the stream at another target after the last complete event.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), &'static str> {
        let resumable = AnswerForm::Events { resumable: true };
        if self.exchange.incoming.route.form != resumable
            || failure == AttemptFailure::DeadlineAfterSend
            || !self.cursor.is_resumable()
        {
            return Err("the stream cannot be resumed");
        }
        self.exchange.runs += 1;
        self.began = None;
        let after = self.cursor.last_id();
        let mut last = failure;
        loop {
            let destination = self.exchange.next_destination(Some(last), false).await;
            let destination = destination.map_err(|reply| reply.reason)?;
            match self.exchange.attempt(&destination, after).await {
                AttemptStep::Events(started)
                    if StreamHead::of(&started.first.answer) == self.head =>
                {
                    let first = started.first;
                    let now = self.exchange.host.clock.now();
                    self.survival_due = Some(now.plus_ms(SURVIVAL_MS));
                    self.answer = Some(first.answer);
                    self.cursor = first.cursor;
                    self.unsent = first.events;
                    self.ended = first.ended;
                    return Ok(());
                }
                AttemptStep::NoAnswer(failure) => {
                    if failure.outcome() == Outcome::Unknown {
                        self.exchange.runs += 1;
                    }
                    last = failure;
                }
                AttemptStep::Events(_) | AttemptStep::Whole(_) | AttemptStep::TargetError(_) => {
                    return Err("the target did not resume the stream");
                }
            }
        }
    }

    fn finish(&mut self, reason: &str) {
        self.is_end_logged = true;
        self.exchange.log_end(http::StatusCode::OK, reason);
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        if !self.is_end_logged {
            self.finish("the caller disconnected");
        }
    }
}

/// Counts the bytes of an incomplete event. Returns whether there is room for them.
fn resize_event_room(answer: &mut OpenAnswer, event_bytes: usize) -> bool {
    let counted_bytes = match event_bytes > MIN_COUNTED_EVENT_BYTES {
        true => event_bytes,
        false => 0,
    };
    answer.event_room.try_resize(counted_bytes)
}

async fn next_stream_part(
    answer: &mut OpenAnswer,
    cursor: &mut EventCursor,
    deadline: Instant,
) -> StreamPart {
    let frame = match answer.next_frame(deadline).await {
        Ok(frame) => frame,
        Err(failure) => return StreamPart::Failed(failure),
    };
    match frame {
        None if cursor.is_whole() => StreamPart::End,
        None | Some(Err(_)) => {
            answer.record_end(AttemptEnd::BrokenOff);
            StreamPart::Failed(AttemptFailure::AnswerIncomplete)
        }
        Some(Ok(frame)) => {
            if let Some(in_flight) = &answer.in_flight {
                in_flight.record_received();
            }
            let Ok(data) = frame.into_data() else {
                return StreamPart::Events(Bytes::new());
            };
            // Before the cursor passes events that would have to be dropped.
            if !resize_event_room(answer, cursor.partial_bytes() + data.len()) {
                log::warn!(peer = answer.key.0.to_string().as_str(); "there is no room for an incomplete event of a stream");
                return StreamPart::Failed(AttemptFailure::AnswerIncomplete);
            }
            let pushed = cursor.push(&data);
            resize_event_room(answer, cursor.partial_bytes());
            match pushed {
                Ok(events) => StreamPart::Events(events),
                Err(error) => {
                    log::warn!(reason = error.to_string().as_str(); "a stream violates the event format");
                    answer.record_end(AttemptEnd::BrokenOff);
                    StreamPart::Failed(AttemptFailure::AnswerIncomplete)
                }
            }
        }
    }
}
