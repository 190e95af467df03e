//! Passing on a stream of events, with resume.

use bytes::Bytes;
use http::StatusCode;
use lw_base::prelude::*;
use lw_flow::{CutStream, Ending, ResumeDecision, StreamTracker};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;

use crate::answer::{Answer, Source};
use crate::body_relay::pass_on;
use crate::body_step::{BodyStep, next_step};
use crate::error_reply::error_json;
use crate::exchange::Exchange;
use crate::reply::BodyPart;

/// The time for the rest of a body after the end marker; then its connection is not used again.
const DRAIN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// A stream whose first events have arrived.
pub(crate) struct StreamRelay {
    pub(crate) answer: Answer,
    pub(crate) first: Bytes,
    pub(crate) tracker: StreamTracker,
}

impl StreamRelay {
    /// Passes the stream on until its end marker and returns whether it is whole. A stream that cannot go on ends with an error event, and the body is
    /// aborted by dropping the sender.
    pub(crate) async fn run(
        mut self,
        mut exchange: Exchange,
        parts: mpsc::Sender<BodyPart>,
    ) -> bool {
        let mut events = std::mem::take(&mut self.first);
        loop {
            let step = self.pass_events(&exchange, &parts, events).await;
            if step == BodyStep::End {
                self.complete(exchange).await;
                return true;
            }
            match self.after_cut(&mut exchange, step).await {
                Ok(answer) => self.answer = answer,
                Err(ending) => {
                    let _ = send_error(&parts, &exchange, &self.tracker, ending).await;
                    return false;
                }
            }
            events = Bytes::new();
        }
    }

    /// Passes events on; returns [`BodyStep::End`] after the end marker, and why the stream stopped otherwise.
    async fn pass_events(
        &mut self,
        exchange: &Exchange,
        parts: &mpsc::Sender<BodyPart>,
        first: Bytes,
    ) -> BodyStep {
        let deadline = exchange.deadline();
        let mut events = first;
        loop {
            if !events.is_empty()
                && let Err(step) = pass_on(parts, BodyPart::Data(events), deadline).await
            {
                return step;
            }
            if self.tracker.is_done() {
                let end = pass_on(parts, BodyPart::End, deadline).await;
                return end.map_or_else(|failed| failed, |()| BodyStep::End);
            }
            let step = next_step(&mut self.answer.body, &exchange.ask.gone, deadline).await;
            events = match step {
                BodyStep::Data(data) => match self.tracker.push(&data) {
                    Ok(events) => events,
                    Err(_) => return BodyStep::Broken,
                },
                // The connection ended before the end marker.
                BodyStep::End | BodyStep::Broken => return BodyStep::Broken,
                BodyStep::Gone | BodyStep::Deadline => return step,
            };
        }
    }

    async fn complete(self, mut exchange: Exchange) {
        let Answer {
            attempt,
            mut body,
            source,
            ..
        } = self.answer;
        exchange.finish_source(source, StatusCode::OK);
        exchange.complete(attempt, None);
        drop(exchange);
        // Reading up to the end lets the connection be used again.
        let rest = http_body_util::BodyExt::frame(&mut body);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
    }

    /// Resumes the stream on another engine, or ends the request.
    async fn after_cut(
        &mut self,
        exchange: &mut Exchange,
        step: BodyStep,
    ) -> Result<Answer, Ending> {
        let attempt = self.answer.attempt;
        let source = std::mem::replace(&mut self.answer.source, Source::Host);
        let kind = match step {
            BodyStep::Gone => ErrorKind::CallerGone,
            BodyStep::Deadline => ErrorKind::DeadlineAfterSend,
            _ => ErrorKind::AnswerIncomplete,
        };
        if kind != ErrorKind::AnswerIncomplete {
            exchange.abandon(attempt, source, AttemptEnd::Neutral);
            return Err(exchange.end(kind));
        }
        let cut = CutStream {
            engine_resumes: matches!(&source, Source::Target { resumes: true, .. }),
            tokens: self.tracker.tokens(),
        };
        exchange.abandon(attempt, source, AttemptEnd::Failure);
        let now = exchange.gate.clock.mono();
        let door = exchange.door.clone();
        let has_next = exchange.decide_next(true);
        let take = || has_next && door.is_some_and(|door| door.take_retry(now));
        match exchange.flow.stream_cut(attempt, cut, now, take) {
            ResumeDecision::Abort => Err(exchange.end(kind)),
            ResumeDecision::Resume { from_token } => self.resume(exchange, from_token).await,
        }
    }

    async fn resume(&mut self, exchange: &mut Exchange, from_token: u64) -> Result<Answer, Ending> {
        exchange
            .gate
            .metrics
            .attempt(&exchange.ask.service, "resume");
        self.tracker.restart();
        let answer = exchange.open(Some(from_token)).await?;
        if answer.is_event_stream() && answer.head.status == StatusCode::OK {
            return Ok(answer);
        }
        exchange.abandon(answer.attempt, answer.source, AttemptEnd::Failure);
        Err(exchange.end(ErrorKind::AnswerIncomplete))
    }
}

/// Tells the caller why the stream ends, unless another host has told it already.
async fn send_error(
    parts: &mpsc::Sender<BodyPart>,
    exchange: &Exchange,
    tracker: &StreamTracker,
    ending: Ending,
) -> Result<(), BodyStep> {
    if tracker.has_error() {
        return Ok(());
    }
    let kind = ending.kind.unwrap_or(ErrorKind::Internal);
    let json = error_json(kind, ending.outcome, &exchange.detail);
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend_from_slice(&json);
    event.extend_from_slice(b"\n\n");
    // A caller that does not read must not hold the request up any longer.
    let deadline = tokio::time::Instant::now() + DRAIN_TIMEOUT;
    pass_on(parts, BodyPart::Data(event.into()), deadline).await
}
