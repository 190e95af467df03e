//! Forwarding a stream of events, with resume on another engine.

use bytes::Bytes;
use http::StatusCode;
use lw_base::prelude::*;
use lw_flow::{CutStream, FinalOutcome, ResumeDecision, StreamTracker};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;

use crate::accepted_response::{AcceptedResponse, ResponseSource};
use crate::body_read::{BodyRead, read_next};
use crate::body_relay::send_part;
use crate::error_reply::error_json;
use crate::exchange::Exchange;
use crate::reply::BodyPart;

/// The timeout for receiving the rest of a body after the end marker, without which its connection is not reused, and
/// for sending an error event.
const DRAIN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// An event stream whose first events were received.
pub(crate) struct StreamRelay {
    pub(crate) response: AcceptedResponse,
    pub(crate) first_events: Bytes,
    pub(crate) tracker: StreamTracker,
}

impl StreamRelay {
    /// Forwards the stream until its end marker and returns whether it was complete.
    ///
    /// A stream that cannot be resumed ends with an error event; then the sender is dropped, which aborts the caller's
    /// response.
    pub(crate) async fn run(
        mut self,
        mut exchange: Exchange,
        parts: mpsc::Sender<BodyPart>,
    ) -> bool {
        let mut events = std::mem::take(&mut self.first_events);
        loop {
            let step = self.forward_events(&exchange, &parts, events).await;
            if step == BodyRead::End {
                self.complete(exchange).await;
                return true;
            }
            match self.resume_or_end(&mut exchange, step).await {
                Ok(response) => self.response = response,
                Err(final_outcome) => {
                    let _ = send_error(&parts, &exchange, &self.tracker, final_outcome).await;
                    return false;
                }
            }
            events = Bytes::new();
        }
    }

    /// Forwards events until the end marker and returns [`BodyRead::End`], or returns why the stream stopped earlier.
    async fn forward_events(
        &mut self,
        exchange: &Exchange,
        parts: &mpsc::Sender<BodyPart>,
        first_events: Bytes,
    ) -> BodyRead {
        let deadline = exchange.deadline();
        let mut events = first_events;
        loop {
            if !events.is_empty()
                && let Err(step) = send_part(parts, BodyPart::Data(events), deadline).await
            {
                return step;
            }
            if self.tracker.is_done() {
                let end = send_part(parts, BodyPart::End, deadline).await;
                return end.map_or_else(|failed| failed, |()| BodyRead::End);
            }
            let step = read_next(
                &mut self.response.body,
                &exchange.request.caller_gone,
                deadline,
            )
            .await;
            events = match step {
                BodyRead::Data(data) => match self.tracker.push(&data) {
                    Ok(events) => events,
                    Err(_) => return BodyRead::Broken,
                },
                // The connection ended before the end marker.
                BodyRead::End | BodyRead::Broken => return BodyRead::Broken,
                BodyRead::CallerGone | BodyRead::Deadline => return step,
            };
        }
    }

    async fn complete(self, mut exchange: Exchange) {
        let AcceptedResponse {
            attempt,
            mut body,
            source,
            ..
        } = self.response;
        exchange.finish_source(source, StatusCode::OK);
        exchange.complete(attempt, None);
        drop(exchange);
        // The connection can be reused only after the end of the body was read.
        let rest = http_body_util::BodyExt::frame(&mut body);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
    }

    /// Resumes the stream on another engine, or ends the request.
    async fn resume_or_end(
        &mut self,
        exchange: &mut Exchange,
        step: BodyRead,
    ) -> Result<AcceptedResponse, FinalOutcome> {
        let attempt = self.response.attempt;
        let source = std::mem::replace(&mut self.response.source, ResponseSource::Host);
        let kind = match step {
            BodyRead::CallerGone => ErrorKind::CallerGone,
            BodyRead::Deadline => ErrorKind::DeadlineAfterSend,
            _ => ErrorKind::AnswerIncomplete,
        };
        if kind != ErrorKind::AnswerIncomplete {
            exchange.abandon(attempt, source, AttemptEnd::Neutral);
            return Err(exchange.end(kind));
        }
        let cut = CutStream {
            engine_resumes: matches!(
                &source,
                ResponseSource::Target {
                    supports_resume: true,
                    ..
                }
            ),
            tokens: self.tracker.tokens(),
        };
        exchange.abandon(attempt, source, AttemptEnd::Failure);
        let now = exchange.gate.clock.mono();
        let admission = exchange.admission.clone();
        let has_next = exchange.choose_next(true);
        let take_retry =
            || has_next && admission.is_some_and(|admission| admission.take_retry(now));
        match exchange.flow.stream_cut(attempt, cut, now, take_retry) {
            ResumeDecision::Abort => Err(exchange.end(kind)),
            ResumeDecision::Resume { from_token } => self.resume(exchange, from_token).await,
        }
    }

    async fn resume(
        &mut self,
        exchange: &mut Exchange,
        from_token: u64,
    ) -> Result<AcceptedResponse, FinalOutcome> {
        exchange
            .gate
            .metrics
            .count_attempt(&exchange.request.service, "resume");
        self.tracker.restart();
        let response = exchange.open(Some(from_token)).await?;
        if response.is_event_stream() && response.head.status == StatusCode::OK {
            return Ok(response);
        }
        exchange.abandon(response.attempt, response.source, AttemptEnd::Failure);
        Err(exchange.end(ErrorKind::AnswerIncomplete))
    }
}

/// Sends an error event to the caller, unless the stream already contains one from another host.
async fn send_error(
    parts: &mpsc::Sender<BodyPart>,
    exchange: &Exchange,
    tracker: &StreamTracker,
    final_outcome: FinalOutcome,
) -> Result<(), BodyRead> {
    if tracker.has_error() {
        return Ok(());
    }
    let kind = final_outcome.kind.unwrap_or(ErrorKind::Internal);
    let json = error_json(kind, final_outcome.outcome, &exchange.detail);
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend_from_slice(&json);
    event.extend_from_slice(b"\n\n");
    // A caller that does not read must not delay the end of the request.
    let deadline = tokio::time::Instant::now() + DRAIN_TIMEOUT;
    send_part(parts, BodyPart::Data(event.into()), deadline).await
}
