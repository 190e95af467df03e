//! Attempts at targets and at other regions.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, VIA as VIA_NAME};
use http::{HeaderMap, HeaderValue, StatusCode};
use lw_base::prelude::*;
use lw_doc::ServiceKind;
use lw_flow::{AttemptFailure, Ending};
use lw_route::{AttemptEnd, RouteView};

use crate::answer::{Answer, Source};
use crate::exchange::Exchange;
use crate::header_names::{ATTEMPT_ID, ENGINE_PRIORITY, NOT_STARTED, VIA};
use crate::headers::{for_target, text, value_of};
use crate::placement::Place;
use crate::target_client::Opened;

/// What an attempt came to when it brought no answer.
pub(crate) enum Attempted {
    /// The attempt failed.
    Failed(AttemptId, AttemptFailure),
    /// The request has ended.
    Ended(Ending),
    /// Nothing was tried, because the target stopped in the meantime.
    Again,
}

impl Exchange {
    /// Makes attempts until the head of an answer is accepted or the request ends.
    ///
    /// With `resume_from`, the engine leaves out the tokens that the caller has received.
    pub(crate) async fn open(&mut self, resume_from: Option<u64>) -> Result<Answer, Ending> {
        loop {
            // A host of another region does not know which tokens the caller has received.
            let stays = resume_from.is_some();
            let tried = match self.place(stays).await? {
                Place::Target(view, target) => self.try_target(&view, target, resume_from).await,
                Place::Region(region) => self.try_region(&region).await,
            };
            match tried {
                Ok(answer) => return Ok(answer),
                Err(Attempted::Failed(attempt, failure)) => self.failed(attempt, failure)?,
                Err(Attempted::Ended(ending)) => return Err(ending),
                Err(Attempted::Again) => {}
            }
        }
    }

    async fn try_target(
        &mut self,
        view: &Arc<RouteView>,
        target: TargetKey,
        resume_from: Option<u64>,
    ) -> Result<Answer, Attempted> {
        let now = self.gate.clock.now();
        self.tried_target(view.fleet().targets.name(target).clone());
        if resume_from.is_some() && !view.fleet().targets[target].resume {
            return Err(Attempted::Again);
        }
        let Some(in_flight) = view.begin(now, target) else {
            return Err(Attempted::Again);
        };
        if !self.check_residency(view, target) {
            return Err(Attempted::Ended(self.end(ErrorKind::ResidencyRefused)));
        }
        if !in_flight.may_send(now) {
            return Err(Attempted::Again);
        }
        let attempt = match self.flow.start_attempt(now.mono) {
            Ok(attempt) => attempt,
            Err(kind) => return Err(Attempted::Ended(self.end(kind))),
        };
        if attempt.number == 1 {
            self.gate.metrics.attempt(&self.ask.service, "first");
        }
        let entry = &view.fleet().targets[target];
        let source = Source::Target {
            in_flight,
            address: entry.address.clone(),
            resumes: entry.resume,
            cancels: self.ask.kind == ServiceKind::Model,
        };
        self.send(attempt, source, &entry.address, resume_from)
            .await
    }

    async fn send(
        &mut self,
        attempt: AttemptId,
        source: Source,
        address: &str,
        resume_from: Option<u64>,
    ) -> Result<Answer, Attempted> {
        let body = match resume_from {
            Some(tokens) => resumed_body(&self.ask.body, tokens),
            None => self.ask.body.clone(),
        };
        if let Source::Target { in_flight, .. } = &source {
            in_flight.sent(self.gate.clock.now());
        }
        let headers = self.target_headers(attempt);
        let client = self.gate.targets.clone();
        let send = client.send(address, &self.ask.method, &self.ask.path, headers, body);
        let gone = self.ask.gone.clone();
        let sent = tokio::select! {
            sent = send => sent,
            () = gone.cancelled() => {
                self.abandon(attempt, source, AttemptEnd::Neutral);
                return Err(Attempted::Ended(self.end(ErrorKind::CallerGone)));
            }
            () = tokio::time::sleep_until(self.deadline()) => {
                self.abandon(attempt, source, AttemptEnd::Neutral);
                return Err(Attempted::Ended(self.end(self.flow.deadline_kind())));
            }
        };
        match sent {
            Ok(opened) => self.accept(attempt, source, opened),
            Err(failure) => {
                self.abandon_failed(attempt, source, failure);
                Err(Attempted::Failed(attempt, failure))
            }
        }
    }

    /// Checks the head of a target's response.
    fn accept(
        &mut self,
        attempt: AttemptId,
        source: Source,
        opened: Opened,
    ) -> Result<Answer, Attempted> {
        let failure = self.fault_of_head(attempt, &opened);
        if failure.is_none() && self.flow.accept_head(attempt) {
            let (head, body) = opened.response.into_parts();
            return Ok(Answer {
                attempt,
                head,
                body,
                source,
            });
        }
        let failure = failure.unwrap_or(AttemptFailure::CrossedAnswer);
        if failure == AttemptFailure::CrossedAnswer {
            log::warn!("gate: attempt {attempt} received the response of another attempt");
            opened.poison();
        }
        self.abandon_failed(attempt, source, failure);
        Err(Attempted::Failed(attempt, failure))
    }

    fn fault_of_head(&self, attempt: AttemptId, opened: &Opened) -> Option<AttemptFailure> {
        let headers = opened.response.headers();
        let echoed = headers.get(ATTEMPT_ID);
        let expected = attempt.to_string();
        if echoed.is_some_and(|echoed| echoed.as_bytes() != expected.as_bytes()) {
            return Some(AttemptFailure::CrossedAnswer);
        }
        let status = opened.response.status();
        // A target that switches protocols sends no response; the caller's client would leave HTTP on its connection.
        if status.is_informational() {
            return Some(AttemptFailure::AnswerIncomplete);
        }
        let refuses =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        if refuses && text(headers, &NOT_STARTED) == Some("true") {
            return Some(AttemptFailure::TargetRefused);
        }
        // Engines echo the id with every answer that they worked on.
        if self.ask.kind == ServiceKind::Model && echoed.is_none() && status.is_success() {
            return Some(AttemptFailure::CrossedAnswer);
        }
        None
    }

    /// Gives up a failed attempt; work that may still go on is cancelled.
    pub(crate) fn abandon_failed(
        &self,
        attempt: AttemptId,
        source: Source,
        failure: AttemptFailure,
    ) {
        if failure.outcome() == Outcome::Unknown {
            return self.abandon(attempt, source, AttemptEnd::Failure);
        }
        if let Source::Target { in_flight, .. } = source {
            in_flight.finish(self.gate.clock.mono(), AttemptEnd::Failure);
        }
    }

    fn target_headers(&self, attempt: AttemptId) -> HeaderMap {
        let mut headers = for_target(&self.ask.headers);
        headers.insert(ATTEMPT_ID, value_of(&attempt.to_string()));
        headers.insert(
            ENGINE_PRIORITY,
            HeaderValue::from_static(self.ask.class.as_str()),
        );
        headers.append(VIA_NAME, HeaderValue::from_static(VIA));
        if self.ask.kind == ServiceKind::Model {
            let json = HeaderValue::from_static("application/json");
            headers.entry(CONTENT_TYPE).or_insert(json);
        }
        headers
    }
}

/// Adds the number of delivered tokens to the body of a chat request.
fn resumed_body(body: &Bytes, tokens: u64) -> Bytes {
    let Ok(serde_json::Value::Object(mut object)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    object.insert("resume_from".to_owned(), tokens.into());
    serde_json::to_vec(&object).map_or_else(|_| body.clone(), Bytes::from)
}
