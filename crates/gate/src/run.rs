//! Running an accepted request until there is a response for its caller.

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use lw_base::prelude::*;
use lw_flow::{AttemptFailure, BodyLength, Ending, StreamTracker};
use lw_route::AttemptEnd;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::answer::{Answer, Source};
use crate::body_relay::BodyRelay;
use crate::body_step::{BodyStep, next_step};
use crate::exchange::Exchange;
use crate::header_names::{OUTCOME, REPLAYED, REQUEST_ID, REVISION};
use crate::headers::{for_caller, value_of};
use crate::limits::{BODY_PARTS, HELD_ANSWER_BYTES};
use crate::reply::{Reply, ReplyBody};
use crate::stream_relay::StreamRelay;

/// How a response begins.
enum Begun {
    /// The whole body has arrived.
    Whole(Answer, Bytes),
    /// The body is passed on while it arrives.
    Relay(BodyRelay),
    /// Events are passed on while they arrive.
    Stream(StreamRelay),
    /// The body failed before any of it reached the caller.
    Failed(AttemptId, AttemptFailure),
    /// The request has ended.
    Ended(Ending),
}

impl Exchange {
    /// Makes attempts until there is a response for the caller. A streamed body goes on in a task of its own.
    pub(crate) async fn run(mut self) -> Reply {
        loop {
            let answer = match self.open(None).await {
                Ok(answer) => answer,
                Err(ending) => return self.rejection(ending),
            };
            match self.begin(answer).await {
                Begun::Failed(attempt, failure) => {
                    if let Err(ending) = self.failed(attempt, failure) {
                        return self.rejection(ending);
                    }
                }
                begun => return self.pass(begun),
            }
        }
    }

    /// Passes on the only answer that the request may have.
    pub(crate) async fn pass_answer(mut self, answer: Answer) -> Reply {
        let begun = self.begin(answer).await;
        self.pass(begun)
    }

    fn pass(mut self, begun: Begun) -> Reply {
        match begun {
            Begun::Whole(answer, body) => self.whole(answer, body),
            Begun::Relay(relay) => self.relay(relay),
            Begun::Stream(relay) => self.stream(relay),
            Begun::Ended(ending) => self.rejection(ending),
            Begun::Failed(_, failure) => {
                let ending = self.end_failed(failure);
                self.rejection(ending)
            }
        }
    }

    async fn begin(&mut self, answer: Answer) -> Begun {
        if answer.is_event_stream() && answer.head.status == StatusCode::OK {
            return self.begin_stream(answer).await;
        }
        self.begin_body(answer).await
    }

    /// Holds a body until it is whole or too large to hold.
    async fn begin_body(&mut self, mut answer: Answer) -> Begun {
        let is_head = self.ask.method == Method::HEAD;
        let declared = answer.declared_bytes().filter(|_| !is_head);
        let mut length = BodyLength::new(declared);
        let mut held = BytesMut::new();
        loop {
            let step = next_step(&mut answer.body, &self.ask.gone, self.deadline()).await;
            match step {
                BodyStep::Data(data) => {
                    length.add(data.len());
                    held.extend_from_slice(&data);
                }
                BodyStep::End if length.is_whole() => return Begun::Whole(answer, held.freeze()),
                _ => return self.unfinished(answer, &step),
            }
            if held.len() > HELD_ANSWER_BYTES {
                let held = held.freeze();
                return Begun::Relay(BodyRelay {
                    answer,
                    held,
                    declared,
                    length,
                });
            }
        }
    }

    /// Reads a stream up to its first event.
    async fn begin_stream(&mut self, mut answer: Answer) -> Begun {
        let mut tracker = StreamTracker::default();
        loop {
            let step = next_step(&mut answer.body, &self.ask.gone, self.deadline()).await;
            let BodyStep::Data(data) = &step else {
                return self.unfinished(answer, &step);
            };
            match tracker.push(data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    return Begun::Stream(StreamRelay {
                        answer,
                        first: events,
                        tracker,
                    });
                }
                Err(_) => return self.unfinished(answer, &BodyStep::Broken),
            }
        }
    }

    /// Gives up an answer that did not get as far as the caller.
    fn unfinished(&mut self, answer: Answer, step: &BodyStep) -> Begun {
        let attempt = answer.attempt;
        match step {
            BodyStep::Gone => {
                self.abandon(attempt, answer.source, AttemptEnd::Neutral);
                Begun::Ended(self.end(ErrorKind::CallerGone))
            }
            BodyStep::Deadline => {
                self.abandon(attempt, answer.source, AttemptEnd::Neutral);
                Begun::Ended(self.end(ErrorKind::DeadlineAfterSend))
            }
            BodyStep::Data(_) | BodyStep::End | BodyStep::Broken => {
                let failure = AttemptFailure::AnswerIncomplete;
                self.abandon_failed(attempt, answer.source, failure);
                Begun::Failed(attempt, failure)
            }
        }
    }

    fn whole(mut self, answer: Answer, body: Bytes) -> Reply {
        let mut headers = self.reply_headers(&answer);
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        headers.insert(OUTCOME, outcome);
        let status = answer.head.status;
        let content_type = headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let kept = (
            status.as_u16(),
            content_type.unwrap_or("").to_owned(),
            body.clone(),
        );
        self.finish_source(answer.source, status);
        self.complete(answer.attempt, Some(kept));
        Reply {
            status,
            headers,
            body: ReplyBody::Whole(body),
        }
    }

    fn relay(self, relay: BodyRelay) -> Reply {
        let (sender, parts) = mpsc::channel(BODY_PARTS);
        let headers = self.reply_headers(&relay.answer);
        let status = relay.answer.head.status;
        let length_bytes = relay.declared;
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

    fn stream(self, relay: StreamRelay) -> Reply {
        let (sender, parts) = mpsc::channel(BODY_PARTS);
        let headers = self.reply_headers(&relay.answer);
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

    fn reply_headers(&self, answer: &Answer) -> HeaderMap {
        let mut headers = for_caller(&answer.head.headers);
        headers.insert(REQUEST_ID, value_of(&self.ask.id.to_string()));
        headers.insert(REVISION, HeaderValue::from(self.revision));
        if let Source::Host = answer.source
            && let Some(replayed) = answer.head.headers.get(REPLAYED)
        {
            headers.insert(REPLAYED, replayed.clone());
        }
        headers
    }

    /// Ends the attempt at a target that answered whole; a server error counts against it.
    pub(crate) fn finish_source(&self, source: Source, status: StatusCode) {
        let Source::Target { in_flight, .. } = source else {
            return;
        };
        let end = match status.is_server_error() {
            true => AttemptEnd::Failure,
            false => AttemptEnd::Success,
        };
        in_flight.finish(self.gate.clock.mono(), end);
    }
}
