//! Running an accepted request until its response to the caller starts.

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, BodyLength, FinalOutcome, StreamTracker};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::accepted_response::{AcceptedResponse, ResponseSource};
use crate::body_read::{BodyRead, read_next};
use crate::body_relay::BodyRelay;
use crate::exchange::Exchange;
use crate::header_names::{OUTCOME, REPLAYED, REQUEST_ID, REVISION};
use crate::headers::{caller_response_headers, header_value};
use crate::limits::{BODY_CHANNEL_PARTS, MAX_BUFFERED_BODY_BYTES};
use crate::reply::{Reply, ReplyBody};
use crate::stream_relay::StreamRelay;

/// How the response to the caller starts.
enum ResponseStart {
    /// The complete body was received.
    Whole(AcceptedResponse, Bytes),
    /// The body is forwarded while it arrives.
    Relay(BodyRelay),
    /// Events are forwarded while they arrive.
    Stream(StreamRelay),
    /// The body failed before any part was sent to the caller.
    Failed(AttemptId, AttemptFailure),
    /// The request has ended.
    Ended(FinalOutcome),
}

impl Exchange {
    /// Makes attempts until the response to the caller starts. A streamed body is forwarded by a separate task.
    pub(crate) async fn run(mut self) -> Reply {
        loop {
            let response = match self.open(None).await {
                Ok(response) => response,
                Err(final_outcome) => return self.rejection_reply(final_outcome),
            };
            match self.start_response(response).await {
                ResponseStart::Failed(attempt, failure) => {
                    if let Err(final_outcome) = self.check_retry(attempt, failure) {
                        return self.rejection_reply(final_outcome);
                    }
                }
                start => return self.reply_for(start),
            }
        }
    }

    /// Forwards `response` to the caller, without another attempt when it fails.
    pub(crate) async fn reply_with(mut self, response: AcceptedResponse) -> Reply {
        let start = self.start_response(response).await;
        self.reply_for(start)
    }

    fn reply_for(mut self, start: ResponseStart) -> Reply {
        match start {
            ResponseStart::Whole(response, body) => self.whole_reply(response, body),
            ResponseStart::Relay(relay) => self.relay_reply(relay),
            ResponseStart::Stream(relay) => self.stream_reply(relay),
            ResponseStart::Ended(final_outcome) => self.rejection_reply(final_outcome),
            ResponseStart::Failed(_, failure) => {
                let final_outcome = self.end_with_failure(failure);
                self.rejection_reply(final_outcome)
            }
        }
    }

    async fn start_response(&mut self, response: AcceptedResponse) -> ResponseStart {
        if response.is_event_stream() && response.head.status == StatusCode::OK {
            return self.read_first_event(response).await;
        }
        self.buffer_body(response).await
    }

    /// Buffers a body until it is complete or exceeds [`MAX_BUFFERED_BODY_BYTES`].
    async fn buffer_body(&mut self, mut response: AcceptedResponse) -> ResponseStart {
        let is_head = self.request.method == Method::HEAD;
        let declared_bytes = response.declared_bytes().filter(|_| !is_head);
        let mut length = BodyLength::new(declared_bytes);
        let mut buffered = BytesMut::new();
        loop {
            let step = read_next(
                &mut response.body,
                &self.request.caller_gone,
                self.deadline(),
            )
            .await;
            match step {
                BodyRead::Data(data) => {
                    length.add(data.len());
                    buffered.extend_from_slice(&data);
                }
                BodyRead::End if length.is_whole() => {
                    return ResponseStart::Whole(response, buffered.freeze());
                }
                _ => return self.abandon_incomplete(response, &step),
            }
            if buffered.len() > MAX_BUFFERED_BODY_BYTES {
                let buffered = buffered.freeze();
                return ResponseStart::Relay(BodyRelay {
                    response,
                    buffered,
                    declared_bytes,
                    length,
                });
            }
        }
    }

    /// Reads an event stream until its first event.
    async fn read_first_event(&mut self, mut response: AcceptedResponse) -> ResponseStart {
        let mut tracker = match response.source {
            ResponseSource::Target { .. } => StreamTracker::of_engine(),
            ResponseSource::Host => StreamTracker::default(),
        };
        loop {
            let step = read_next(
                &mut response.body,
                &self.request.caller_gone,
                self.deadline(),
            )
            .await;
            let BodyRead::Data(data) = &step else {
                return self.abandon_incomplete(response, &step);
            };
            match tracker.push(data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    return ResponseStart::Stream(StreamRelay {
                        response,
                        first_events: events,
                        tracker,
                    });
                }
                Err(_) => return self.abandon_incomplete(response, &BodyRead::Broken),
            }
        }
    }

    /// Ends an attempt whose response failed before any part was sent to the caller.
    fn abandon_incomplete(&mut self, response: AcceptedResponse, step: &BodyRead) -> ResponseStart {
        let attempt = response.attempt;
        match step {
            BodyRead::CallerGone => {
                self.abandon(attempt, response.source, AttemptEnd::Neutral);
                ResponseStart::Ended(self.end(ErrorKind::CallerGone))
            }
            BodyRead::Deadline => {
                self.abandon(attempt, response.source, AttemptEnd::Neutral);
                ResponseStart::Ended(self.end(ErrorKind::DeadlineAfterSend))
            }
            BodyRead::Data(_) | BodyRead::End | BodyRead::Broken => {
                let failure = AttemptFailure::AnswerIncomplete;
                self.abandon_failed(attempt, response.source, failure);
                ResponseStart::Failed(attempt, failure)
            }
        }
    }

    fn whole_reply(mut self, response: AcceptedResponse, body: Bytes) -> Reply {
        let mut headers = self.reply_headers(&response);
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        headers.insert(OUTCOME, outcome);
        let status = response.head.status;
        let content_type = headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let buffered_response = (
            status.as_u16(),
            content_type.unwrap_or("").to_owned(),
            body.clone(),
        );
        self.finish_source(response.source, status);
        self.complete(response.attempt, Some(buffered_response));
        Reply {
            status,
            headers,
            body: ReplyBody::Whole(body),
        }
    }

    fn relay_reply(self, relay: BodyRelay) -> Reply {
        let (sender, parts) = mpsc::channel(BODY_CHANNEL_PARTS);
        let headers = self.reply_headers(&relay.response);
        let status = relay.response.head.status;
        let length_bytes = relay.declared_bytes;
        let aborted = CancellationToken::new();
        let guard = aborted.clone().drop_guard();
        tokio::spawn(async move {
            if relay.run(self, sender).await {
                guard.disarm();
            }
        });
        Reply {
            status,
            headers,
            body: ReplyBody::Stream {
                length_bytes,
                parts,
                aborted,
            },
        }
    }

    fn stream_reply(self, relay: StreamRelay) -> Reply {
        let (sender, parts) = mpsc::channel(BODY_CHANNEL_PARTS);
        let headers = self.reply_headers(&relay.response);
        let aborted = CancellationToken::new();
        let guard = aborted.clone().drop_guard();
        tokio::spawn(async move {
            if relay.run(self, sender).await {
                guard.disarm();
            }
        });
        Reply {
            status: StatusCode::OK,
            headers,
            body: ReplyBody::Stream {
                length_bytes: None,
                parts,
                aborted,
            },
        }
    }

    fn reply_headers(&self, response: &AcceptedResponse) -> HeaderMap {
        let mut headers = caller_response_headers(&response.head.headers);
        headers.insert(REQUEST_ID, header_value(&self.request.id.to_string()));
        headers.insert(REVISION, HeaderValue::from(self.revision));
        if let ResponseSource::Host = response.source
            && let Some(replayed) = response.head.headers.get(REPLAYED)
        {
            headers.insert(REPLAYED, replayed.clone());
        }
        headers
    }

    /// Ends the attempt after a complete response; a server error counts as a failure of the target.
    pub(crate) fn finish_source(&self, source: ResponseSource, status: StatusCode) {
        let ResponseSource::Target { in_flight, .. } = source else {
            return;
        };
        let end = match status.is_server_error() {
            true => AttemptEnd::Failure,
            false => AttemptEnd::Success,
        };
        in_flight.finish(self.gate.clock.mono(), end);
    }
}
